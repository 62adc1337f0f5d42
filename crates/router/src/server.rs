//! HTTP server for callers.
//!
//! Accepted sockets are watched beside xitca-web, which reads a connection only between requests: without the watch, a
//! caller that leaves would be noticed only when its answer is written.

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

use crate::answer::{Answer, Cut, Part, WholeAnswer};
use crate::api::{Endpoint, Head, model_list};
use crate::forward::REQUEST_ID_HEADER;
use crate::input;
use crate::listener::Unregistered;
use crate::path::{InFlight, Router};
use crate::refusal::Refusal;

const MAX_HEADERS: usize = 128;
/// Twice the header limit, so that headers above the limit are still read and get a numbered answer.
const READ_BUF_BYTES: usize = 2 * input::HEADER_LIMIT_BYTES;
const WRITE_BUF_BYTES: usize = 64 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time after which a connection without a request is closed when the server closes.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Limits on reading the body of a refused request. Closing a socket with unread data resets it, and the caller
/// would not see the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
const DISCARD_BYTES: usize = 16 * 1024 * 1024;

/// A caller's connection.
#[derive(Debug)]
struct Connection {
    watch: tokio::net::TcpStream,
    busy: Cell<u32>,
    requests: Cell<u64>,
}

impl Connection {
    /// Waits until the caller has closed its side.
    async fn closed(&self) {
        loop {
            match self.watch.ready(Interest::READABLE).await {
                Err(_) => return,
                Ok(ready) if ready.is_read_closed() => return,
                // Data for xitca-web: nothing is read here, `WouldBlock` only clears the readiness of the copy.
                Ok(_) => drop(self.watch.try_io(Interest::READABLE, would_block)),
            }
        }
    }
}

fn would_block() -> std::io::Result<()> {
    Err(std::io::ErrorKind::WouldBlock.into())
}

thread_local! {
    /// Connections served by this thread, because a request carries only its peer's address.
    static CONNECTIONS: RefCell<HashMap<SocketAddr, Rc<Connection>>> = RefCell::default();
}

/// Marks a connection as busy until the body of its answer has been taken.
#[derive(Debug)]
struct Busy(Option<Rc<Connection>>);

impl Busy {
    fn new(addr: &SocketAddr) -> Self {
        let connection = CONNECTIONS.with_borrow(|it| it.get(addr).map(Rc::clone));
        if let Some(it) = &connection {
            it.busy.set(it.busy.get() + 1);
            it.requests.set(it.requests.get() + 1);
        }
        Self(connection)
    }

    async fn closed(&self) {
        match &self.0 {
            Some(connection) => connection.closed().await,
            None => std::future::pending().await,
        }
    }
}

impl Busy {
    /// Whether the caller has closed its side and all it sent has been read. Asks the socket itself, because readiness
    /// may be reported later than xitca-web has read the end.
    fn is_at_end(&self) -> bool {
        let Some(connection) = &self.0 else { return false };
        let mut buf = [MaybeUninit::uninit()];
        match SockRef::from(&connection.watch).peek(&mut buf) {
            Ok(waiting) => waiting == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(it) = &self.0 {
            it.busy.set(it.busy.get() - 1);
        }
    }
}

struct Registered(SocketAddr);

impl Drop for Registered {
    fn drop(&mut self) {
        CONNECTIONS.with_borrow_mut(|it| it.remove(&self.0));
    }
}

/// Body of an answer on its way to a caller.
struct CallerBody {
    parts: Parts,
    _busy: Busy,
}

enum Parts {
    Whole(Bytes),
    Stream {
        rx: mpsc::Receiver<Part>,
        caller_left: Pin<Box<dyn Future<Output = ()>>>,
    },
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.parts {
            Parts::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Parts::Whole(bytes) => Poll::Ready(Some(Ok(Frame::Data(std::mem::take(bytes))))),
            Parts::Stream { rx, caller_left } => {
                if let Poll::Ready(part) = rx.poll_recv(cx) {
                    return Poll::Ready(match part {
                        Some(Part::Data(bytes)) => Some(Ok(Frame::Data(bytes))),
                        Some(Part::End) => None,
                        None => Some(Err(Cut)),
                    });
                }
                let left = caller_left.as_mut().poll(cx);
                left.map(|()| Some(Err(Cut)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.parts {
            Parts::Whole(bytes) => SizeHint::Exact(bytes.len() as u64),
            Parts::Stream { .. } => SizeHint::Unknown,
        }
    }
}

/// Builds the server; it runs when the future is waited for.
pub(crate) fn build(router: &Arc<Router>, listener: TcpListener) -> ServerFuture {
    let handled = Arc::clone(router);
    let service = fn_service(async move |req: WebRequest| {
        let response = handle(&handled, req).await;
        Ok::<_, Infallible>(response)
    });
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(HEADER_TIMEOUT)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<READ_BUF_BYTES>()
        .max_write_buf_size::<WRITE_BUF_BYTES>();
    let watched = Arc::clone(router);
    let service = service
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed(Watch(watched));
    let drain_seconds = router.args.drain_timeout_ms.div_ceil(1000);
    let mut builder = Builder::new().disable_signal().shutdown_timeout(drain_seconds);
    if router.args.worker_threads > 0 {
        builder = builder.worker_threads(router.args.worker_threads);
    }
    builder.listen("callers", Unregistered(listener), service).build()
}

/// Middleware that watches accepted sockets.
struct Watch(Arc<Router>);

impl<S, E> Service<Result<S, E>> for Watch {
    type Response = Watched<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Self::Response, Self::Error> {
        req.map(|service| Watched {
            service,
            router: Arc::clone(&self.0),
        })
    }
}

struct Watched<S> {
    service: S,
    router: Arc<Router>,
}

impl<S: ReadyService> ReadyService for Watched<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> Self::Ready {
        self.service.ready().await
    }
}

impl<S: Service<Stream>> Service<Stream> for Watched<S> {
    type Response = ();
    type Error = ();

    async fn call(&self, req: Stream) -> Result<(), ()> {
        let Stream::Tcp(socket, addr) = &req else {
            return Err(());
        };
        let (connection, registered) = register(socket, *addr).map_err(|error| {
            log::debug!("connection from {addr}: {error}");
        })?;
        let idle = idle_after_close(&self.router, &connection);
        tokio::select! {
            result = self.service.call(req) => drop(result),
            () = idle => {}
        }
        drop(registered);
        Ok(())
    }
}

fn register(socket: &TcpStream, addr: SocketAddr) -> std::io::Result<(Rc<Connection>, Registered)> {
    socket.set_nodelay(true)?;
    // The copy is closed with the connection; it only reports readiness and is never read.
    let watch = tokio::net::TcpStream::from_std(socket.try_clone()?)?;
    let connection = Rc::new(Connection {
        watch,
        busy: Cell::new(0),
        requests: Cell::new(0),
    });
    CONNECTIONS.with_borrow_mut(|it| it.insert(addr, Rc::clone(&connection)));
    Ok((connection, Registered(addr)))
}

/// Completes when the server closes and the connection has had no request for a while.
async fn idle_after_close(router: &Arc<Router>, connection: &Rc<Connection>) {
    let mut closing = router.closing_signal.subscribe();
    if closing.wait_for(|it| *it).await.is_err() {
        return std::future::pending().await;
    }
    loop {
        let before = connection.requests.get();
        tokio::time::sleep(IDLE_GRACE).await;
        if connection.busy.get() == 0 && connection.requests.get() == before {
            return;
        }
    }
}

async fn handle(router: &Arc<Router>, req: WebRequest) -> WebResponse<CallerBody> {
    let id = router.ids.next();
    let (parts, ext) = req.into_parts();
    let busy = Busy::new(ext.socket_addr());
    let (_, mut body) = ext.replace_body(());
    let head = Head {
        id: id.clone(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().map(str::to_owned),
        method: parts.method,
        headers: parts.headers,
    };
    let answered = answer(router, head, &parts.uri, &mut body, &busy).await;
    let answer = match answered {
        Ok(answer) => answer,
        Err(refusal) => {
            router.metrics.refused(refusal.code, None);
            discard(&mut body).await;
            Answer::Refused(refusal)
        }
    };
    drop(body);
    respond(router, answer, id.as_str(), busy)
}

async fn answer(
    router: &Arc<Router>,
    head: Head,
    uri: &http::Uri,
    body: &mut RequestBody,
    busy: &Busy,
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
        Endpoint::Models => return Ok(Answer::Whole(model_list(&accepted.snapshot, router.started()))),
        Endpoint::Job(job) => {
            let organisation = accepted.caller.organisation.clone().ok_or(Code::MissingKey)?;
            let state = router.job_state(&organisation, job).await;
            return Ok(state.map_or_else(Answer::Refused, Answer::Whole));
        }
        _ => {}
    }
    let in_flight = InFlight::new(router);
    let body = read_body(router, &accepted.head, body, busy).await?;
    let answer = tokio::select! {
        answer = router.answer(accepted, body) => answer,
        () = busy.closed() => Answer::Refused(Refusal::outcome_unknown(Code::OutcomeUnknown)),
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

async fn read_body(router: &Router, head: &Head, body: &mut RequestBody, busy: &Busy) -> Result<Bytes, Refusal> {
    let limit = router.args.body_limit_bytes;
    let too_large = || Refusal::not_run(Code::BodyTooLarge).limit(limit as u64, 0);
    let announced = head.headers.get(header::CONTENT_LENGTH);
    let announced: Option<u64> = announced.and_then(|it| it.to_str().ok()).and_then(|it| it.parse().ok());
    if announced.is_some_and(|it| it > limit as u64) {
        return Err(too_large());
    }
    let timeout = Duration::from_millis(router.args.body_timeout_ms);
    let read = tokio::time::timeout(timeout, collect(body, limit)).await;
    let bytes = match read {
        Err(_) => return Err(Refusal::not_run(Code::BodyTimeout).limit(router.args.body_timeout_ms, 0)),
        Ok(Err(Unreadable::TooLarge)) => return Err(too_large()),
        Ok(Err(Unreadable::Broken)) => return Err(Code::TruncatedBody.into()),
        Ok(Ok(bytes)) => bytes,
    };
    // xitca-web ends the body in the same way whether it is complete or the caller has closed the connection.
    let is_short = match announced {
        Some(announced) => announced != bytes.len() as u64,
        None => head.headers.contains_key(header::TRANSFER_ENCODING) && busy.is_at_end(),
    };
    if is_short {
        return Err(Code::TruncatedBody.into());
    }
    Ok(bytes)
}

enum Unreadable {
    TooLarge,
    Broken,
}

async fn next_part(body: &mut RequestBody) -> Option<Result<Bytes, Unreadable>> {
    loop {
        let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await?;
        match frame {
            Ok(Frame::Data(part)) => return Some(Ok(part)),
            Ok(Frame::Trailers(_)) => {}
            Err(_) => return Some(Err(Unreadable::Broken)),
        }
    }
}

async fn collect(body: &mut RequestBody, limit: usize) -> Result<Bytes, Unreadable> {
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(part) = next_part(body).await {
        let part = part?;
        if first.len().max(all.len()) + part.len() > limit {
            return Err(Unreadable::TooLarge);
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

fn respond(router: &Router, answer: Answer, id: &str, busy: Busy) -> WebResponse<CallerBody> {
    let (status, headers, parts) = match answer {
        Answer::Whole(it) => (it.status, it.headers, Parts::Whole(it.body)),
        Answer::Stream(it) => {
            let connection = busy.0.clone();
            let caller_left = Box::pin(async move {
                match connection {
                    Some(it) => it.closed().await,
                    None => std::future::pending().await,
                }
            });
            let rx = it.parts;
            (it.status, it.headers, Parts::Stream { rx, caller_left })
        }
        Answer::Refused(refusal) => {
            let it = refusal.answer();
            (it.status, it.headers, Parts::Whole(it.body))
        }
    };
    let mut response = WebResponse::new(CallerBody { parts, _busy: busy });
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
