//! HTTP server on xitca-web whose connections are bounded by the budget of the process.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_io::net::Stream;
use xitca_server::Builder;
use xitca_web::body::{Body, Frame, RequestBody};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::ready::ReadyService;
use xitca_web::service::{Service, ServiceExt};

use crate::http::HttpServer;
use crate::intake::{BodyBuffer, ClientBudget, Holder, Rejected};

const WORKER_THREADS: usize = 1;
const MAX_HEADERS: usize = 64;
const READ_BUF_BYTES: usize = 64 * 1024;
const WRITE_BUF_BYTES: usize = 64 * 1024;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the connection of a rejected client is closed if it has not received its refusal.
const REJECTED_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body could not be received; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive in time.
    Timeout,
    /// The connection failed.
    Broken,
    /// The process holds too much for its clients.
    Rejected,
}

/// State of a client's connection, in addition to what xitca-web keeps.
#[derive(Debug)]
struct Connection {
    holder: Holder,
    /// Whether a body is being received. A rejected client is then sent a refusal.
    is_receiving: Cell<bool>,
}

thread_local! {
    /// Connections served by this thread, by the client's address: a request carries nothing else to identify its
    /// connection.
    static CONNECTIONS: RefCell<HashMap<SocketAddr, Rc<Connection>>> = RefCell::default();
}

/// A request in progress on a connection. From the end of its body until it is dropped, the connection is not rejected.
#[derive(Debug)]
pub struct ActiveRequest(Option<Rc<Connection>>);

impl ActiveRequest {
    /// Registers a request from a client with this address.
    ///
    /// # Errors
    ///
    /// Fails if the client has been rejected.
    pub fn begin(addr: &SocketAddr) -> Result<Self, Rejected> {
        let active = Self(CONNECTIONS.with_borrow(|it| it.get(addr).map(Rc::clone)));
        if let Some(connection) = &active.0 {
            connection.is_receiving.set(true);
            connection.holder.begin()?;
        }
        Ok(active)
    }

    /// Receives the body, of which up to `limit` bytes are accepted. Its bytes are held until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, does not arrive in time or the client is rejected.
    pub async fn receive(
        &self,
        body: &mut RequestBody,
        announced: Option<u64>,
        limit: usize,
    ) -> Result<Bytes, BodyError> {
        let Some(connection) = &self.0 else {
            return Err(BodyError::Broken);
        };
        if announced.is_some_and(|it| it > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        let buffer = BodyBuffer::new(&connection.holder, announced, limit);
        let bytes = tokio::select! {
            bytes = tokio::time::timeout(BODY_TIMEOUT, collect(body, limit, buffer)) => {
                bytes.unwrap_or(Err(BodyError::Timeout))?
            }
            () = connection.holder.rejected() => return Err(BodyError::Rejected),
        };
        if announced.is_some_and(|it| it != bytes.len() as u64) {
            return Err(BodyError::Broken);
        }
        connection.holder.serve().map_err(|Rejected| BodyError::Rejected)?;
        connection.is_receiving.set(false);
        Ok(bytes)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.is_receiving.set(false);
            connection.holder.end();
        }
    }
}

async fn collect(body: &mut RequestBody, limit: usize, mut buffer: BodyBuffer) -> Result<Bytes, BodyError> {
    while let Some(frame) = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
        let Frame::Data(part) = frame.map_err(|_broken| BodyError::Broken)? else {
            continue;
        };
        if buffer.len() + part.len() > limit {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&part).await.map_err(|Rejected| BodyError::Rejected)?;
    }
    Ok(buffer.freeze())
}

/// Serves an application on `listener`.
///
/// # Errors
///
/// Fails when the server did not start.
pub fn serve<S, B>(listener: TcpListener, app: S, budget: Arc<ClientBudget>) -> std::io::Result<HttpServer>
where
    S: Service + Send + Sync + 'static,
    S::Response: ReadyService + Service<WebRequest, Response = WebResponse<B>> + 'static,
    S::Error: fmt::Debug + 'static,
    <S::Response as Service<WebRequest>>::Error: fmt::Debug,
    B: Body<Data = Bytes> + 'static,
    B::Error: fmt::Debug + 'static,
{
    let addr = listener.local_addr()?;
    let config = HttpServiceConfig::new()
        .request_head_timeout(HEAD_TIMEOUT)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<READ_BUF_BYTES>()
        .max_write_buf_size::<WRITE_BUF_BYTES>();
    let service = app
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed(LimitConnections(budget));
    let server = Builder::new()
        .disable_signal()
        .worker_threads(WORKER_THREADS)
        .listen("limited", listener, service)
        .build();
    HttpServer::spawn(addr, server)
}

/// Middleware that registers accepted connections with the budget and closes those that are rejected.
struct LimitConnections(Arc<ClientBudget>);

impl<S, E> Service<Result<S, E>> for LimitConnections {
    type Response = LimitedService<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Self::Response, Self::Error> {
        req.map(|service| LimitedService {
            service,
            budget: Arc::clone(&self.0),
        })
    }
}

struct LimitedService<S> {
    service: S,
    budget: Arc<ClientBudget>,
}

impl<S: ReadyService> ReadyService for LimitedService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> Self::Ready {
        self.budget.wait_for_connection().await;
        self.service.ready().await
    }
}

impl<S: Service<Stream>> Service<Stream> for LimitedService<S> {
    type Response = ();
    type Error = ();

    async fn call(&self, req: Stream) -> Result<(), ()> {
        let Stream::Tcp(_, addr) = &req else {
            return Err(());
        };
        let addr = *addr;
        let holder = self.budget.open(addr.ip());
        if holder.check().is_err() {
            return Err(());
        }
        let connection = Rc::new(Connection {
            holder,
            is_receiving: Cell::new(false),
        });
        CONNECTIONS.with_borrow_mut(|it| it.insert(addr, Rc::clone(&connection)));
        let rejected = async {
            connection.holder.rejected().await;
            if connection.is_receiving.get() {
                tokio::time::sleep(REJECTED_CLOSE_TIMEOUT).await;
            }
        };
        tokio::select! {
            result = self.service.call(req) => drop(result),
            () = rejected => {}
        }
        CONNECTIONS.with_borrow_mut(|it| it.remove(&addr));
        Ok(())
    }
}
