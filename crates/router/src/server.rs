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

use bytes::Bytes;
use guava_core::codes::Code;
use guava_node::intake::{BodyBuffer, Holder, Rejected};
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
/// As `DISCARD_TIMEOUT`, for a request that is refused because its client holds too much.
const REJECTED_DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which the connection of a rejected client is closed if it has not received its refusal.
const REJECTED_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in milliseconds after which a rejected client may try again. What clients hold changes within a second, since
/// those behind the others are rejected first.
const REJECTED_RETRY_MS: u64 = 1_000;
/// Largest part of an answer that is copied into the write buffer at once. The rest stays in the answer, for which the
/// caller is held accountable.
const ANSWER_PART_BYTES: usize = 64 * 1024;

/// State of a caller's connection, in addition to what xitca-web keeps.
#[derive(Debug)]
struct Connection {
    /// Copy of the socket that reports readiness and is never read.
    socket_copy: tokio::net::TcpStream,
    /// Number of requests in progress.
    active_requests: Cell<u32>,
    /// Number of requests received so far.
    total_requests: Cell<u64>,
    /// Whether a request is being received. A rejected client is then sent a refusal.
    is_receiving: Cell<bool>,
    /// Entry of the connection in the budget of the process.
    holder: Holder,
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

    fn holder(&self) -> Option<&Holder> {
        self.0.as_ref().map(|it| &it.holder)
    }

    /// Registers that a request is being received, until its body is complete or the request is refused.
    fn begin(&self) -> Result<(), Refusal> {
        let Some(connection) = &self.0 else { return Ok(()) };
        connection.is_receiving.set(true);
        connection.holder.begin().map_err(rejected)
    }

    /// Registers that the request has been received whole. It has not run if this fails.
    fn serve(&self) -> Result<(), Refusal> {
        let Some(connection) = &self.0 else { return Ok(()) };
        connection.holder.serve().map_err(rejected)?;
        connection.is_receiving.set(false);
        Ok(())
    }

    /// Completes when the client has been rejected.
    async fn rejected(&self) {
        match &self.0 {
            Some(connection) => connection.holder.rejected().await,
            None => std::future::pending().await,
        }
    }

    async fn wait_closed(&self) {
        match &self.0 {
            Some(connection) => connection.wait_closed().await,
            None => std::future::pending().await,
        }
    }
}

fn rejected(_rejected: Rejected) -> Refusal {
    Refusal::not_run(Code::IntakeFull).retry_after_ms(REJECTED_RETRY_MS)
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
            it.is_receiving.set(false);
            it.holder.end();
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
    /// Bytes of the part that was last handed to the connection, which asks for the next part once it has written this
    /// one.
    in_writing: u64,
    /// Whether the connection has asked for a part that was not there yet.
    is_waiting: bool,
    active: ActiveGuard,
}

enum BodyContent {
    Whole(Bytes),
    Stream {
        rx: mpsc::Receiver<StreamPart>,
        disconnected: Pin<Box<dyn Future<Output = ()>>>,
    },
}

impl BodyContent {
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedStream>>> {
        match self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(bytes.split_to(bytes.len().min(ANSWER_PART_BYTES))))),
            Self::Stream { rx, disconnected } => {
                if let Poll::Ready(part) = rx.poll_recv(cx) {
                    return Poll::Ready(match part {
                        Some(StreamPart::Data(bytes)) => Some(Ok(bytes)),
                        Some(StreamPart::End) => None,
                        None => Some(Err(TruncatedStream)),
                    });
                }
                let closed = disconnected.as_mut().poll(cx);
                closed.map(|()| Some(Err(TruncatedStream)))
            }
        }
    }
}

impl CallerBody {
    /// Records for the budget whether the answer waits until the caller reads.
    fn record_poll(&mut self, polled: &Poll<Option<Result<Bytes, TruncatedStream>>>) {
        let Some(holder) = self.active.holder() else { return };
        match polled {
            Poll::Ready(Some(Ok(part))) => {
                holder.set_blocked(true);
                self.in_writing = part.len() as u64;
                self.is_waiting = false;
            }
            Poll::Ready(None) => holder.set_blocked(false),
            // The connection writes everything before it asks a second time.
            Poll::Pending if self.is_waiting => holder.set_blocked(false),
            Poll::Pending => self.is_waiting = true,
            Poll::Ready(Some(Err(TruncatedStream))) => {}
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let this = self.get_mut();
        let written = std::mem::take(&mut this.in_writing);
        if let Some(holder) = this.active.holder().filter(|_| written > 0) {
            holder.progress(written);
        }
        let polled = this.content.poll_part(cx);
        this.record_poll(&polled);
        polled.map(|part| part.map(|it| it.map(Frame::Data)))
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
        self.router.budget.wait_for_connection().await;
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
        let holder = self.router.budget.open(addr.ip());
        if holder.check().is_err() {
            return Err(());
        }
        let (connection, registration) = register(socket, *addr, holder).map_err(|error| {
            log::debug!("failed to register the connection from {addr}: {error}");
        })?;
        let idle_closed = idle_during_shutdown(&self.router, &connection);
        tokio::select! {
            result = self.service.call(req) => drop(result),
            () = idle_closed => {}
            () = rejected_and_notified(&connection) => {}
        }
        drop(registration);
        Ok(())
    }
}

/// Completes when the client has been rejected and, if a request is being received, has had time to get its refusal.
async fn rejected_and_notified(connection: &Connection) {
    connection.holder.rejected().await;
    if connection.is_receiving.get() {
        tokio::time::sleep(REJECTED_CLOSE_TIMEOUT).await;
    }
}

fn register(socket: &TcpStream, addr: SocketAddr, holder: Holder) -> std::io::Result<(Rc<Connection>, Registration)> {
    socket.set_nodelay(true)?;
    // The copy is dropped together with the connection.
    let socket_copy = tokio::net::TcpStream::from_std(socket.try_clone()?)?;
    let connection = Rc::new(Connection {
        socket_copy,
        active_requests: Cell::new(0),
        total_requests: Cell::new(0),
        is_receiving: Cell::new(false),
        holder,
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
            discard(&mut body, &active).await;
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
    active.begin()?;
    input::check_header_size(&head.headers, uri)?;
    let endpoint = Endpoint::find(&head.method, &head.path)?;
    if !matches!(endpoint, Endpoint::Inference(_) | Endpoint::Route(..)) {
        active.serve()?;
    }
    match &endpoint {
        Endpoint::Healthz => return Ok(Answer::Whole(WholeAnswer::text(StatusCode::OK, "ok\n"))),
        Endpoint::Readyz => return Ok(Answer::Whole(readiness(router))),
        Endpoint::Metrics => {
            let text = (router.metrics_text)();
            return Ok(Answer::Whole(WholeAnswer::text(StatusCode::OK, text)));
        }
        _ => {}
    }
    let accepted = router.accept(head, endpoint, active.holder().cloned())?;
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
    active.serve()?;
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
    let holder = active.holder().ok_or(Code::Internal)?;
    let timeout = Duration::from_millis(router.args.body_timeout_ms);
    let read = tokio::time::timeout(
        timeout,
        collect(body, limit, BodyBuffer::new(holder, content_length, limit)),
    );
    let read = tokio::select! {
        read = read => read,
        () = active.rejected() => Ok(Err(BodyError::Rejected)),
    };
    let bytes = match read {
        Err(_) => return Err(Refusal::not_run(Code::BodyTimeout).limit(router.args.body_timeout_ms, 0)),
        Ok(Err(BodyError::TooLarge)) => return Err(too_large()),
        Ok(Err(BodyError::Rejected)) => return Err(rejected(Rejected)),
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
    Rejected,
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

async fn collect(body: &mut RequestBody, limit: usize, mut buffer: BodyBuffer) -> Result<Bytes, BodyError> {
    while let Some(part) = next_part(body).await {
        let part = part?;
        if buffer.len() + part.len() > limit {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&part).await.map_err(|Rejected| BodyError::Rejected)?;
    }
    Ok(buffer.freeze())
}

/// Reads the rest of a body up to the limits, so that closing the connection does not reset it.
async fn discard(body: &mut RequestBody, active: &ActiveGuard) {
    let is_rejected = active.holder().is_some_and(|it| it.check().is_err());
    let timeout = if is_rejected {
        REJECTED_DISCARD_TIMEOUT
    } else {
        DISCARD_TIMEOUT
    };
    let read = async {
        let mut total = 0;
        while let Some(Ok(part)) = next_part(body).await {
            total += part.len();
            if total > DISCARD_BYTES {
                return;
            }
        }
    };
    drop(tokio::time::timeout(timeout, read).await);
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
    let is_rejected = active.holder().is_some_and(|it| it.check().is_err());
    let mut response = WebResponse::new(CallerBody {
        content,
        in_writing: 0,
        is_waiting: false,
        active,
    });
    *response.status_mut() = status;
    let map = response.headers_mut();
    map.extend(headers);
    if let Ok(value) = HeaderValue::from_str(id) {
        map.insert(REQUEST_ID_HEADER, value);
    }
    if is_rejected || router.closing.load(Ordering::Relaxed) {
        map.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
