//! Listener of the JSON-RPC server, which bounds what the process holds for its peers.
//!
//! The server of jsonrpsee accepts connections itself and bounds only their number, so the connections are accepted here
//! and its service is called for each request.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use jsonrpsee::RpcModule;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::{HttpBody, Server, ServerConfig, ServerHandle, StopHandle, stop_channel};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};

use crate::intake::{ClientBudget, HeldBytes, Holder};

/// Longest time for the head of a request. It also ends idle connections, so it is longer than the 90 s for which the
/// clients of peers keep theirs: a call could be sent just when its connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Longest time for the body of a request after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head, which is small between processes of the system.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// jsonrpsee collects a body in a buffer that doubles, so up to twice the bytes received are in memory.
const BUFFER_FACTOR: u64 = 2;
/// Pause after a failure to accept a connection, for example because no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves a module's methods on `listener`. Must be called within a tokio runtime.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime.
pub(crate) fn start(
    listener: std::net::TcpListener,
    module: RpcModule<()>,
    cfg: ServerConfig,
    budget: &Arc<ClientBudget>,
) -> std::io::Result<ServerHandle> {
    let listener = TcpListener::from_std(listener)?;
    let (stop, handle) = stop_channel();
    let service = Server::builder()
        .set_config(cfg)
        .to_service_builder()
        .build(module, stop.clone());
    let service = TowerToHyperService::new(service);
    tokio::spawn(accept(listener, service, stop, Arc::clone(budget)));
    Ok(handle)
}

/// Service of jsonrpsee that answers one request.
trait RpcService:
    Service<Request<HeldBody>, Response = Response<HttpBody>, Error = BoxError, Future: Send>
    + Clone
    + Send
    + Sync
    + 'static
{
}

impl<S> RpcService for S where
    S: Service<Request<HeldBody>, Response = Response<HttpBody>, Error = BoxError, Future: Send>
        + Clone
        + Send
        + Sync
        + 'static
{
}

async fn accept(listener: TcpListener, service: impl RpcService, stop: StopHandle, budget: Arc<ClientBudget>) {
    let stopped = stop.clone().shutdown();
    tokio::pin!(stopped);
    loop {
        let accept = async {
            budget.wait_for_connection().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            () = &mut stopped => return,
        };
        match accepted {
            Ok((socket, addr)) => {
                let holder = budget.open(addr.ip());
                if holder.check().is_ok() {
                    tokio::spawn(serve_connection(socket, addr, holder, service.clone(), stop.clone()));
                }
            }
            Err(error) => {
                log::debug!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    addr: SocketAddr,
    holder: Holder,
    service: impl RpcService,
    stop: StopHandle,
) {
    // Fails only if the connection has closed already.
    drop(socket.set_nodelay(true));
    let call_holder = holder.clone();
    let service = hyper::service::service_fn(move |req| call(req, call_holder.clone(), service.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let stopped = stop.shutdown();
    tokio::pin!(stopped);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = holder.rejected() => return,
        () = &mut stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection from {addr} failed: {error}");
    }
}

async fn call(
    req: Request<Incoming>,
    holder: Holder,
    service: impl RpcService,
) -> Result<Response<HttpBody>, BoxError> {
    if holder.begin().is_err() {
        return Ok(refusal());
    }
    let held = Arc::new(Mutex::new(holder.take(0)));
    let req = req.map(|body| HeldBody {
        body,
        holder: holder.clone(),
        held: Arc::clone(&held),
        received: 0,
        expires: Box::pin(tokio::time::sleep(BODY_TIMEOUT)),
    });
    let response = service.call(req).await;
    drop(held);
    holder.end();
    response
}

/// Refuses a call that has not run; the caller takes this status as a call without effect.
fn refusal() -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::from(Vec::new()));
    *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Body of a call whose bytes are taken from the budget as they arrive.
struct HeldBody {
    body: Incoming,
    holder: Holder,
    /// Shared with the call, since the server keeps the body until it has answered.
    held: Arc<Mutex<HeldBytes>>,
    received: u64,
    expires: Pin<Box<tokio::time::Sleep>>,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_pending() {
            ready!(self.expires.as_mut().poll(cx));
            return Poll::Ready(Some(Err("the body did not arrive in time".into())));
        }
        let frame = ready!(polled);
        match &frame {
            Some(Ok(frame)) => {
                self.received += frame.data_ref().map_or(0, Bytes::len) as u64;
                self.held.lock().set(self.received * BUFFER_FACTOR);
                if self.holder.check().is_err() {
                    return Poll::Ready(Some(Err("the client is rejected".into())));
                }
            }
            Some(Err(_)) => {}
            // The call runs only after the end of its body, and is not rejected from then on.
            None => {
                if self.holder.serve().is_err() {
                    return Poll::Ready(Some(Err("the client is rejected".into())));
                }
            }
        }
        Poll::Ready(frame.map(|it| it.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        // The end is reported by `poll_frame` alone, so that it is always seen there.
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
