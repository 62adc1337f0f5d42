//! Listeners for callers, readiness checks, metrics and other entry processes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_platform::headers::ATTEMPT_ID;
use guava_telemetry::Metrics;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller_stream::CallerStream;
use crate::coordinator::Coordinator;
use crate::explain;
use crate::handover;
use crate::intake::{Client, ClientIntake, SocketGuard, read_whole};
use crate::log_event;
use crate::peers;
use crate::reply::{Body, full_body};
use crate::request;
use crate::state::{EntryState, now};

/// Largest accepted message from another entry process.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Interval at which a connection's idle time is checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same during a graceful shutdown.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a request, in milliseconds, after which a connection is closed during a graceful shutdown.
const CLOSING_IDLE_MS: u64 = 100;
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Receive buffer of a connection in bytes, which is memory of this process. 32 KiB carry 10 MB/s at a round trip of 3 ms.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Longest time in which a rejected client is informed of the reason.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the rest of a refused body is read and dropped. A connection that is closed with unread bytes is reset,
/// and the client might not see the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for a message from another entry process; they wait for seconds at most for an answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for a head of a readiness check or of a request for metrics, and for an idle connection of such a client.
const MONITOR_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for other entry processes.
const PEER_TIMEOUT: Duration = Duration::from_secs(30);
/// Read buffer, in bytes, of a connection for monitoring.
const MONITOR_BUFFER_BYTES: usize = 16 << 10;
/// Timeout for a head before any configuration is known.
const DEFAULT_HEAD_MS: u64 = 3_000;
/// Idle timeout before any configuration is known.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Counts callers' connections, so that a graceful shutdown can wait for them.
#[derive(Debug, Default)]
pub struct Connections {
    open: AtomicUsize,
    unanswered: AtomicUsize,
}

impl Connections {
    /// Number of open connections of callers.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Number of requests whose answers have not been sent or dropped yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Relaxed)
    }
}

/// Opens a TCP listener; IPv4 only.
///
/// # Errors
///
/// Fails when the address is in use.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Serves callers for as long as the process runs. Once `closing` is true, connections are closed when they are idle.
///
/// Connections are accepted to the end: a caller whose connection was established before the balancer removed this VM
/// is informed that its request has not run.
pub async fn serve_callers(
    state: Arc<EntryState>,
    listener: TcpListener,
    connections: Arc<Connections>,
    closing: watch::Receiver<bool>,
) {
    loop {
        state.callers.room().await;
        match listener.accept().await {
            Ok((stream, address)) => {
                let accepted = state.callers.accept(address.ip());
                let (connections, closing) = (Arc::clone(&connections), closing.clone());
                let serving = serve_caller_connection(Arc::clone(&state), stream, accepted, connections, closing);
                tokio::spawn(serving);
            }
            Err(e) => {
                log::warn!("accept failed: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Activity on one connection.
#[derive(Debug, Default)]
struct ConnectionUse {
    /// Number of requests whose answers have not been sent or dropped yet.
    busy: AtomicUsize,
    /// Time of the end of the last request, or of the start of the connection, in milliseconds of [`now`].
    idle_since: AtomicU64,
    /// Id of the last request, used in log lines.
    last_id: Mutex<Option<HeaderValue>>,
    /// Whether the last request was refused before its body was read whole.
    is_refused: AtomicBool,
}

impl ConnectionUse {
    /// Milliseconds since the end of the last request; zero while one is being answered.
    fn idle_ms(&self) -> u64 {
        if self.busy.load(Ordering::Relaxed) > 0 {
            return 0;
        }
        now().since(Millis(self.idle_since.load(Ordering::Relaxed)))
    }
}

async fn serve_caller_connection(
    state: Arc<EntryState>,
    stream: TcpStream,
    (client, _socket_guard): (Arc<Client>, SocketGuard),
    connections: Arc<Connections>,
    mut closing: watch::Receiver<bool>,
) {
    connections.open.fetch_add(1, Ordering::Relaxed);
    // Fails only on a connection that is already closed.
    let _ = stream.set_nodelay(true);
    let socket = CallerStream::new(stream, Arc::clone(&client));
    let usage = Arc::new(ConnectionUse::default());
    usage.idle_since.store(now().0, Ordering::Relaxed);
    let buffer_bytes = read_buffer_bytes(&state);
    let service = service_fn({
        let state = Arc::clone(&state);
        let usage = Arc::clone(&usage);
        let connections = Arc::clone(&connections);
        let client = Arc::clone(&client);
        move |req: Request<Incoming>| {
            let guard = ConnectionUseGuard::new(Arc::clone(&usage), Arc::clone(&connections), Arc::clone(&client));
            serve_request(Arc::clone(&state), guard, req)
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Connections without a complete head are closed below, by the timeout that is then in force.
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut serving = pin!(serving);
    let mut is_closing = false;
    let mut rejected_at = None;
    let end = loop {
        let interval = if is_closing {
            CLOSING_CHECK_INTERVAL
        } else {
            IDLE_CHECK_INTERVAL
        };
        tokio::select! {
            result = serving.as_mut() => break result.err().map(|e| e.to_string()),
            _ = closing.wait_for(|it| *it), if !is_closing => is_closing = true,
            () = client.rejected(), if rejected_at.is_none() => {
                rejected_at = Some(now());
                // A request whose body is being read is refused first.
                if !client.is_in_request() || socket.has_unsent_bytes() {
                    break None;
                }
            }
            () = sleep(interval) => {
                // A caller that reads slowly still receives its answer.
                let is_sent = !socket.has_unsent_bytes();
                let max_idle_ms = if is_closing && is_sent { CLOSING_IDLE_MS } else { idle_timeout_ms(&state) };
                let unused_ms = usage.idle_ms().min(now().since(socket.last_write()));
                if unused_ms > max_idle_ms && !socket.has_unread_bytes() {
                    break None;
                }
                let unread_ms = if is_sent { 0 } else { now().since(socket.last_write()) };
                let is_refusal_overdue = rejected_at.is_some_and(|at| now().since(at) > REJECTION_TIMEOUT.as_millis() as u64);
                if is_refusal_overdue || unread_ms > idle_timeout_ms(&state) || client.head_ms() > head_timeout_ms(&state) {
                    break None;
                }
            }
        }
    };
    let unanswered = usage.busy.load(Ordering::Relaxed) + usize::from(socket.has_unsent_bytes());
    if end.is_some() || unanswered > 0 {
        let why = end.as_deref().unwrap_or("closed");
        let last_id = usage.last_id.lock().take();
        let id = last_id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-");
        log_event!(Event::ConnectionCut, id, "unanswered={unanswered} why={why}");
    }
    if end.is_none() && usage.is_refused.load(Ordering::Relaxed) && state.callers.has_room() {
        let _ = timeout(DISCARD_TIMEOUT, socket.discard()).await;
    }
    connections.open.fetch_sub(1, Ordering::Relaxed);
}

fn head_timeout_ms(state: &EntryState) -> u64 {
    state
        .config()
        .map_or(DEFAULT_HEAD_MS, |it| it.config.limits.head_timeout_ms)
}

fn idle_timeout_ms(state: &EntryState) -> u64 {
    state
        .config()
        .map_or(DEFAULT_IDLE_MS, |it| it.config.limits.idle_timeout_ms)
}

async fn serve_request(
    state: Arc<EntryState>,
    guard: ConnectionUseGuard,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    *guard.usage.last_id.lock() = req.headers().get(ATTEMPT_ID).cloned();
    let client = Arc::clone(&guard.client);
    let mut answer = request::serve(Arc::clone(&state), &client, req).await;
    let is_refused = !client.is_received();
    guard.usage.is_refused.store(is_refused, Ordering::Relaxed);
    if state.is_stopping() || is_refused {
        answer
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // The connection is in use until the body has been sent or dropped.
    Ok(hold_answer(&client, answer).map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed()
    }))
}

/// Charges an answer that is all available until it has been written. Events of a stream are charged one by one.
fn hold_answer(client: &Arc<Client>, answer: Response<Body>) -> Response<Body> {
    if answer.body().size_hint().exact().is_none() {
        return answer;
    }
    let client = Arc::clone(client);
    answer.map(|body| {
        body.map_frame(move |frame| frame.map_data(|it| client.hold(it)))
            .boxed()
    })
}

struct ConnectionUseGuard {
    usage: Arc<ConnectionUse>,
    connections: Arc<Connections>,
    client: Arc<Client>,
}

impl ConnectionUseGuard {
    fn new(usage: Arc<ConnectionUse>, connections: Arc<Connections>, client: Arc<Client>) -> Self {
        client.begin_request();
        usage.busy.fetch_add(1, Ordering::Relaxed);
        connections.unanswered.fetch_add(1, Ordering::Relaxed);
        Self {
            usage,
            connections,
            client,
        }
    }
}

impl Drop for ConnectionUseGuard {
    fn drop(&mut self) {
        self.client.end_request();
        self.usage.idle_since.store(now().0, Ordering::Relaxed);
        self.usage.busy.fetch_sub(1, Ordering::Relaxed);
        self.connections.unanswered.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Read buffer, in bytes, of a connection on which requests of callers arrive: two heads of the largest size.
fn read_buffer_bytes(state: &EntryState) -> usize {
    let head_bytes = state.config().map_or(16_384, |it| it.config.limits.head_bytes);
    head_bytes.max(8_192) * 2
}

/// Answers the balancer's readiness checks: 200 when the process is ready, else 503.
pub async fn serve_readiness(state: Arc<EntryState>, listener: TcpListener) {
    let clients = ClientIntake::for_monitoring(&state.settings, "readiness");
    serve_internal(clients, MONITOR_TIMEOUT, monitor_buffer, listener, move |_, _| {
        let status = if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { message(status, Vec::new()) }
    })
    .await;
}

/// Serves the metrics page, and explanations of where a request would be sent.
pub async fn serve_metrics(state: Arc<EntryState>, metrics: Metrics, listener: TcpListener) {
    let clients = ClientIntake::for_monitoring(&state.settings, "metrics");
    let handle = move |client: Arc<Client>, req: Request<Incoming>| {
        let (state, metrics) = (Arc::clone(&state), metrics.clone());
        async move {
            if req.uri().path() == explain::PATH {
                return explain::serve(&state, &client, req).await;
            }
            message(StatusCode::OK, metrics.text().into_bytes())
        }
    };
    serve_internal(clients, MONITOR_TIMEOUT, monitor_buffer, listener, handle).await;
}

/// Answers messages from other entry processes, and serves requests that they hand on.
pub async fn serve_peers(state: Arc<EntryState>, coordinator: Arc<Coordinator>, listener: TcpListener) {
    let clients = Arc::clone(&state.peer_clients);
    let buffer_state = Arc::clone(&state);
    serve_internal(
        clients,
        PEER_TIMEOUT,
        // Requests that other VMs hand on have the heads of callers.
        move || read_buffer_bytes(&buffer_state),
        listener,
        move |client: Arc<Client>, req: Request<Incoming>| {
            let state = Arc::clone(&state);
            let coordinator = Arc::clone(&coordinator);
            async move {
                if handover::is_handed_over(&req) {
                    return handover::serve(state, &client, req).await;
                }
                let name = req.uri().path().trim_start_matches('/').to_owned();
                let reading = read_whole(&client, req.into_body(), MAX_MESSAGE_BYTES);
                let Ok(Ok(body)) = timeout(MESSAGE_TIMEOUT, reading).await else {
                    return message(StatusCode::BAD_REQUEST, Vec::new());
                };
                match peers::answer(&state, &coordinator, &name, &body).await {
                    Some(answer) => message(StatusCode::OK, answer),
                    None => message(StatusCode::BAD_REQUEST, Vec::new()),
                }
            }
        },
    )
    .await;
}

fn message(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut answer = Response::new(full_body(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}

fn monitor_buffer() -> usize {
    MONITOR_BUFFER_BYTES
}

async fn serve_internal<F, R>(
    clients: Arc<ClientIntake>,
    read_timeout: Duration,
    buffer_bytes: impl Fn() -> usize,
    listener: TcpListener,
    handle: F,
) where
    F: Fn(Arc<Client>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        clients.room().await;
        let Ok((stream, address)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (client, guard) = clients.accept(address.ip());
        let handle = handle.clone();
        let buffer_bytes = buffer_bytes();
        tokio::spawn(async move {
            // Dropped after the socket.
            let _guard = guard;
            let service = service_fn({
                let client = Arc::clone(&client);
                move |req| serve_internal_request(Arc::clone(&client), handle.clone(), req)
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(read_timeout)
                .max_buf_size(buffer_bytes)
                .serve_connection(TokioIo::new(CallerStream::new(stream, Arc::clone(&client))), service);
            let mut serving = pin!(serving);
            // On a failure the other side sees the connection closed and retries.
            let is_rejected = tokio::select! {
                _ = serving.as_mut() => false,
                () = client.rejected() => true,
            };
            if is_rejected && client.is_in_request() {
                // Its request is refused first.
                let _ = timeout(REJECTION_TIMEOUT, serving).await;
            }
        });
    }
}

async fn serve_internal_request<F, R>(
    client: Arc<Client>,
    handle: F,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible>
where
    F: Fn(Arc<Client>, Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    client.begin_request();
    let guard = RequestGuard(Arc::clone(&client));
    let mut answer = handle(Arc::clone(&client), req).await;
    // The answer says all there is to say, whether or not a body was read.
    if client.is_rejected() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(hold_answer(&client, answer).map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed()
    }))
}

/// Marks the request of an internal client as ended when its answer has been sent or dropped.
struct RequestGuard(Arc<Client>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
