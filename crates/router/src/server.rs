//! HTTP server for callers.
//!
//! xitca-web reads a connection only between requests, so it notices that a caller has disconnected only when it writes
//! the answer. Accepted sockets are therefore watched separately.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use guava_core::codes::Code;
use http::{HeaderValue, StatusCode, header};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::sync::mpsc;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_server::{Builder, ServerFuture};
use xitca_web::body::{Body, Frame, RequestBody, SizeHint};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::ready::ReadyService;
use xitca_web::service::{Service, ServiceExt, fn_service};

use crate::answer::{Answer, StreamPart, TruncatedStream, WholeAnswer};
use crate::api::{Endpoint, RequestHead, model_list};
use crate::forward::REQUEST_ID_HEADER;
use crate::input;
use crate::listener::UnregisteredListener;
use crate::path::{InFlight, Router};
use crate::refusal::Refusal;

const MAX_HEADERS: usize = 128;
/// Twice the header limit, so that headers above the limit are still read and the request is refused with an error
/// code.
const READ_BUF_BYTES: usize = 2 * input::HEADER_LIMIT_BYTES;
const WRITE_BUF_BYTES: usize = 64 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time without a request after which a connection is closed during shutdown.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits on reading and discarding the body of a refused request. Closing a socket with unread data resets the
/// connection, and the caller would not receive the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
const DISCARD_BYTES: usize = 16 * 1024 * 1024;

/// State of a caller's connection, in addition to what xitca-web keeps.
#[derive(Debug)]
struct Connection {
    /// Copy of the socket that reports readiness and is never read.
    socket_copy: tokio::net::TcpStream,
    /// Number of requests in progress.
    active_requests: Cell<u32>,
    /// Number of requests received so far.
    total_requests: Cell<u64>,
}

impl Connection {
    /// Waits until the caller has closed its side of the connection.
    async fn wait_closed(&self) {
        loop {
            match self.socket_copy.ready(Interest::READABLE).await {
                Err(_) => return,
                Ok(ready) if ready.is_read_closed() => return,
                // The data is for xitca-web: nothing is read here, `WouldBlock` only clears the readiness of the copy.
                Ok(_) => drop(self.socket_copy.try_io(Interest::READABLE, would_block)),
            }
        }
    }
}

fn would_block() -> std::io::Result<()> {
    Err(std::io::ErrorKind::WouldBlock.into())
}

thread_local! {
    /// Connections served by this thread, by the caller's address: a request carries nothing else to identify its
    /// connection.
    static CONNECTIONS: RefCell<HashMap<SocketAddr, Rc<Connection>>> = RefCell::default();
}

/// Counts a request as active on its connection; lives as long as the body of the answer.
#[derive(Debug)]
struct ActiveGuard(Option<Rc<Connection>>);

impl ActiveGuard {
    fn new(addr: &SocketAddr) -> Self {
        let connection = CONNECTIONS.with_borrow(|it| it.get(addr).map(Rc::clone));
        if let Some(it) = &connection {
            it.active_requests.set(it.active_requests.get() + 1);
            it.total_requests.set(it.total_requests.get() + 1);
        }
        Self(connection)
    }

    async fn wait_closed(&self) {
        match &self.0 {
            Some(connection) => connection.wait_closed().await,
            None => std::future::pending().await,
        }
    }
}

impl ActiveGuard {
    /// Whether the caller has closed its side of the connection and everything it sent has been read. This queries the
    /// socket itself, because readiness may be reported only after xitca-web has read the end of the stream.
    fn is_at_eof(&self) -> bool {
        let Some(connection) = &self.0 else { return false };
        let mut buf = [MaybeUninit::uninit()];
        match SockRef::from(&connection.socket_copy).peek(&mut buf) {
            Ok(unread) => unread == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        if let Some(it) = &self.0 {
            it.active_requests.set(it.active_requests.get() - 1);
        }
    }
}

/// Keeps a connection registered in `CONNECTIONS` until dropped.
struct Registration(SocketAddr);

impl Drop for Registration {
    fn drop(&mut self) {
        CONNECTIONS.with_borrow_mut(|it| it.remove(&self.0));
    }
}

/// Body of an answer to a caller.
struct CallerBody {
    content: BodyContent,
    _active: ActiveGuard,
}

enum BodyContent {
    Whole(Bytes),
    Stream {
        rx: mpsc::Receiver<StreamPart>,
        disconnected: Pin<Box<dyn Future<Output = ()>>>,
    },
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        match &mut self.content {
            BodyContent::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            BodyContent::Whole(bytes) => Poll::Ready(Some(Ok(Frame::Data(std::mem::take(bytes))))),
            BodyContent::Stream { rx, disconnected } => {
                if let Poll::Ready(part) = rx.poll_recv(cx) {
                    return Poll::Ready(match part {
                        Some(StreamPart::Data(bytes)) => Some(Ok(Frame::Data(bytes))),
                        Some(StreamPart::End) => None,
                        None => Some(Err(TruncatedStream)),
                    });
                }
                let closed = disconnected.as_mut().poll(cx);
                closed.map(|()| Some(Err(TruncatedStream)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            BodyContent::Whole(bytes) => SizeHint::Exact(bytes.len() as u64),
            BodyContent::Stream { .. } => SizeHint::Unknown,
        }
    }
}

/// Builds the server, which runs once the returned future is waited for.
pub(crate) fn build(router: &Arc<Router>, listener: TcpListener) -> ServerFuture {
    let service_router = Arc::clone(router);
    let service = fn_service(async move |req: WebRequest| {
        let response = handle(&service_router, req).await;
        Ok::<_, Infallible>(response)
    });
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(HEADER_TIMEOUT)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<READ_BUF_BYTES>()
        .max_write_buf_size::<WRITE_BUF_BYTES>();
    let watch_router = Arc::clone(router);
    let service = service
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed(WatchConnections(watch_router));
    let drain_seconds = router.args.drain_timeout_ms.div_ceil(1000);
    let mut builder = Builder::new().disable_signal().shutdown_timeout(drain_seconds);
    if router.args.worker_threads > 0 {
        builder = builder.worker_threads(router.args.worker_threads);
    }
    builder
        .listen("callers", UnregisteredListener(listener), service)
        .build()
}

/// Middleware that registers accepted sockets, to detect disconnects and to close idle connections during shutdown.
struct WatchConnections(Arc<Router>);

impl<S, E> Service<Result<S, E>> for WatchConnections {
    type Response = WatchedService<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Self::Response, Self::Error> {
        req.map(|service| WatchedService {
            service,
            router: Arc::clone(&self.0),
        })
    }
}

struct WatchedService<S> {
    service: S,
    router: Arc<Router>,
}

impl<S: ReadyService> ReadyService for WatchedService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> Self::Ready {
        self.service.ready().await
    }
}

impl<S: Service<Stream>> Service<Stream> for WatchedService<S> {
    type Response = ();
    type Error = ();

    async fn call(&self, req: Stream) -> Result<(), ()> {
        let Stream::Tcp(socket, addr) = &req else {
            return Err(());
        };
        let (connection, registration) = register(socket, *addr).map_err(|error| {
            log::debug!("failed to register the connection from {addr}: {error}");
        })?;
        let idle_closed = idle_during_shutdown(&self.router, &connection);
        tokio::select! {
            result = self.service.call(req) => drop(result),
            () = idle_closed => {}
        }
        drop(registration);
        Ok(())
    }
}

fn register(socket: &TcpStream, addr: SocketAddr) -> std::io::Result<(Rc<Connection>, Registration)> {
    socket.set_nodelay(true)?;
    // The copy is dropped together with the connection.
    let socket_copy = tokio::net::TcpStream::from_std(socket.try_clone()?)?;
    let connection = Rc::new(Connection {
        socket_copy,
        active_requests: Cell::new(0),
        total_requests: Cell::new(0),
    });
    CONNECTIONS.with_borrow_mut(|it| it.insert(addr, Rc::clone(&connection)));
    Ok((connection, Registration(addr)))
}

/// Completes once the router is closing its connections and this one has had no request for `SHUTDOWN_IDLE_TIMEOUT`.
async fn idle_during_shutdown(router: &Arc<Router>, connection: &Rc<Connection>) {
    let mut closing = router.closing_signal.subscribe();
    if closing.wait_for(|it| *it).await.is_err() {
        return std::future::pending().await;
    }
    loop {
        let before = connection.total_requests.get();
        tokio::time::sleep(SHUTDOWN_IDLE_TIMEOUT).await;
        if connection.active_requests.get() == 0 && connection.total_requests.get() == before {
            return;
        }
    }
}

async fn handle(router: &Arc<Router>, req: WebRequest) -> WebResponse<CallerBody> {
    let id = router.ids.next();
    let (parts, ext) = req.into_parts();
    let active = ActiveGuard::new(ext.socket_addr());
    let (_, mut body) = ext.replace_body(());
    let head = RequestHead {
        id: id.clone(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().map(str::to_owned),
        method: parts.method,
        headers: parts.headers,
    };
    let result = answer(router, head, &parts.uri, &mut body, &active).await;
    let answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            router.metrics.count_error(refusal.code, None);
            discard(&mut body).await;
            Answer::Refused(refusal)
        }
    };
    drop(body);
    respond(router, answer, id.as_str(), active)
}

async fn answer(
    router: &Arc<Router>,
    head: RequestHead,
    uri: &http::Uri,
    body: &mut RequestBody,
    active: &ActiveGuard,
) -> Result<Answer, Refusal> {
    input::check_header_size(&head.headers, uri)?;
    let endpoint = Endpoint::find(&head.method, &head.path)?;
    match &endpoint {
        Endpoint::Healthz => return Ok(Answer::Whole(WholeAnswer::text(StatusCode::OK, "ok\n"))),
        Endpoint::Readyz => return Ok(Answer::Whole(readiness(router))),
        Endpoint::Metrics => {
            let text = (router.metrics_text)();
            return Ok(Answer::Whole(WholeAnswer::text(StatusCode::OK, text)));
        }
        _ => {}
    }
    let accepted = router.accept(head, endpoint)?;
    match &accepted.endpoint {
        Endpoint::Models => return Ok(Answer::Whole(model_list(&accepted.snapshot, router.start_unix_s()))),
        Endpoint::Job(job) => {
            let organisation = accepted.caller.organisation.clone().ok_or(Code::MissingKey)?;
            let state = router.job_state(&organisation, job).await;
            return Ok(state.map_or_else(Answer::Refused, Answer::Whole));
        }
        _ => {}
    }
    let in_flight = InFlight::new(router);
    let body = read_body(router, &accepted.head, body, active).await?;
    let answer = tokio::select! {
        answer = router.answer(accepted, body) => answer,
        () = active.wait_closed() => Answer::Refused(Refusal::outcome_unknown(Code::OutcomeUnknown)),
    };
    drop(in_flight);
    Ok(answer)
}

fn readiness(router: &Router) -> WholeAnswer {
    let stopping = router.stopping.load(Ordering::Relaxed);
    let isolated = router.node.members.isolated();
    let ready = (router.ready)();
    if ready {
        router.was_ready.store(true, Ordering::Relaxed);
    }
    if ready && !stopping && !isolated {
        return WholeAnswer::text(StatusCode::OK, "ready\n");
    }
    WholeAnswer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

async fn read_body(
    router: &Router,
    head: &RequestHead,
    body: &mut RequestBody,
    active: &ActiveGuard,
) -> Result<Bytes, Refusal> {
    let limit = router.args.body_limit_bytes;
    let too_large = || Refusal::not_run(Code::BodyTooLarge).limit(limit as u64, 0);
    let content_length = head.headers.get(header::CONTENT_LENGTH);
    let content_length: Option<u64> = content_length
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse().ok());
    if content_length.is_some_and(|it| it > limit as u64) {
        return Err(too_large());
    }
    let timeout = Duration::from_millis(router.args.body_timeout_ms);
    let read = tokio::time::timeout(timeout, collect(body, limit)).await;
    let bytes = match read {
        Err(_) => return Err(Refusal::not_run(Code::BodyTimeout).limit(router.args.body_timeout_ms, 0)),
        Ok(Err(BodyError::TooLarge)) => return Err(too_large()),
        Ok(Err(BodyError::Broken)) => return Err(Code::TruncatedBody.into()),
        Ok(Ok(bytes)) => bytes,
    };
    // xitca-web reports the end of the body in the same way whether it is complete or the caller has closed the
    // connection.
    let is_truncated = match content_length {
        Some(content_length) => content_length != bytes.len() as u64,
        None => head.headers.contains_key(header::TRANSFER_ENCODING) && active.is_at_eof(),
    };
    if is_truncated {
        return Err(Code::TruncatedBody.into());
    }
    Ok(bytes)
}

enum BodyError {
    TooLarge,
    Broken,
}

async fn next_part(body: &mut RequestBody) -> Option<Result<Bytes, BodyError>> {
    loop {
        let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await?;
        match frame {
            Ok(Frame::Data(part)) => return Some(Ok(part)),
            Ok(Frame::Trailers(_)) => {}
            Err(_) => return Some(Err(BodyError::Broken)),
        }
    }
}

async fn collect(body: &mut RequestBody, limit: usize) -> Result<Bytes, BodyError> {
    // A body that arrives in one part is returned without copying it.
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(part) = next_part(body).await {
        let part = part?;
        if first.len().max(all.len()) + part.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if first.is_empty() {
            first = part;
            continue;
        }
        if all.is_empty() {
            all.extend_from_slice(&first);
        }
        all.extend_from_slice(&part);
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}

/// Reads the rest of a body up to the limits, so that closing the connection does not reset it.
async fn discard(body: &mut RequestBody) {
    let read = async {
        let mut total = 0;
        while let Some(Ok(part)) = next_part(body).await {
            total += part.len();
            if total > DISCARD_BYTES {
                return;
            }
        }
    };
    drop(tokio::time::timeout(DISCARD_TIMEOUT, read).await);
}

fn respond(router: &Router, answer: Answer, id: &str, active: ActiveGuard) -> WebResponse<CallerBody> {
    let (status, headers, content) = match answer {
        Answer::Whole(it) => (it.status, it.headers, BodyContent::Whole(it.body)),
        Answer::Stream(it) => {
            let connection = active.0.clone();
            let disconnected = Box::pin(async move {
                match connection {
                    Some(it) => it.wait_closed().await,
                    None => std::future::pending().await,
                }
            });
            let rx = it.parts;
            (it.status, it.headers, BodyContent::Stream { rx, disconnected })
        }
        Answer::Refused(refusal) => {
            let it = refusal.answer();
            (it.status, it.headers, BodyContent::Whole(it.body))
        }
    };
    let mut response = WebResponse::new(CallerBody {
        content,
        _active: active,
    });
    *response.status_mut() = status;
    let map = response.headers_mut();
    map.extend(headers);
    if let Ok(value) = HeaderValue::from_str(id) {
        map.insert(REQUEST_ID_HEADER, value);
    }
    if router.closing.load(Ordering::Relaxed) {
        map.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
