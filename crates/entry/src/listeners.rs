//! Listeners for callers, readiness checks, metrics and other entry processes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_platform::headers::ATTEMPT_ID;
use guava_telemetry::Metrics;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::caller_stream::CallerStream;
use crate::coordinator::Coordinator;
use crate::handover;
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
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Serves callers for as long as the process runs. Once `closing` is true, connections are closed when they are idle.
///
/// Connections are accepted to the end: a caller whose connection was established before the balancer removed this VM
/// is told that its request has not run.
pub async fn serve_callers(
    state: Arc<EntryState>,
    listener: TcpListener,
    connections: Arc<Connections>,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving =
                    serve_caller_connection(Arc::clone(&state), stream, Arc::clone(&connections), closing.clone());
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
    connections: Arc<Connections>,
    mut closing: watch::Receiver<bool>,
) {
    connections.open.fetch_add(1, Ordering::Relaxed);
    // Fails only on a connection that is already closed.
    let _ = stream.set_nodelay(true);
    let socket = CallerStream::new(stream);
    let usage = Arc::new(ConnectionUse::default());
    usage.idle_since.store(now().0, Ordering::Relaxed);
    let head_bytes = state.config().map_or(16_384, |it| it.config.limits.head_bytes);
    let service = service_fn({
        let state = Arc::clone(&state);
        let usage = Arc::clone(&usage);
        let connections = Arc::clone(&connections);
        move |req: Request<Incoming>| {
            let guard = ConnectionUseGuard::new(Arc::clone(&usage), Arc::clone(&connections));
            serve_request(Arc::clone(&state), guard, req)
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Connections without a complete head are closed below, by the timeout that is then in force.
        .header_read_timeout(None)
        .max_buf_size(head_bytes.max(8_192) * 2)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut serving = pin!(serving);
    let mut is_closing = false;
    let end = loop {
        let interval = if is_closing {
            CLOSING_CHECK_INTERVAL
        } else {
            IDLE_CHECK_INTERVAL
        };
        tokio::select! {
            result = serving.as_mut() => break result.err().map(|e| e.to_string()),
            _ = closing.wait_for(|it| *it), if !is_closing => is_closing = true,
            () = sleep(interval) => {
                // A caller that reads slowly still receives its answer.
                let is_sent = !socket.has_unsent_bytes();
                let max_idle_ms = if is_closing && is_sent { CLOSING_IDLE_MS } else { idle_timeout_ms(&state) };
                let unused_ms = usage.idle_ms().min(now().since(socket.last_write()));
                if unused_ms > max_idle_ms && !socket.has_unread_bytes() {
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
    connections.open.fetch_sub(1, Ordering::Relaxed);
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
    let mut answer = request::serve(Arc::clone(&state), req).await;
    if state.is_stopping() {
        answer
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // The connection is in use until the body has been sent or dropped.
    Ok(answer.map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed()
    }))
}

struct ConnectionUseGuard {
    usage: Arc<ConnectionUse>,
    connections: Arc<Connections>,
}

impl ConnectionUseGuard {
    fn new(usage: Arc<ConnectionUse>, connections: Arc<Connections>) -> Self {
        usage.busy.fetch_add(1, Ordering::Relaxed);
        connections.unanswered.fetch_add(1, Ordering::Relaxed);
        Self { usage, connections }
    }
}

impl Drop for ConnectionUseGuard {
    fn drop(&mut self) {
        self.usage.idle_since.store(now().0, Ordering::Relaxed);
        self.usage.busy.fetch_sub(1, Ordering::Relaxed);
        self.connections.unanswered.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers the balancer's readiness checks: 200 when the process is ready, else 503.
pub async fn serve_readiness(state: Arc<EntryState>, listener: TcpListener) {
    serve_internal(listener, move |_| {
        let status = if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { message(status, Vec::new()) }
    })
    .await;
}

/// Serves the metrics page.
pub async fn serve_metrics(metrics: Metrics, listener: TcpListener) {
    serve_internal(listener, move |_| {
        let text = metrics.text();
        async move { message(StatusCode::OK, text.into_bytes()) }
    })
    .await;
}

/// Answers messages from other entry processes, and serves requests that they hand on.
pub async fn serve_peers(state: Arc<EntryState>, coordinator: Arc<Coordinator>, listener: TcpListener) {
    serve_internal(listener, move |req: Request<Incoming>| {
        let state = Arc::clone(&state);
        let coordinator = Arc::clone(&coordinator);
        async move {
            if handover::is_handed_over(&req) {
                return handover::serve(state, req).await;
            }
            let name = req.uri().path().trim_start_matches('/').to_owned();
            let Ok(body) = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect().await else {
                return message(StatusCode::BAD_REQUEST, Vec::new());
            };
            match peers::answer(&state, &coordinator, &name, &body.to_bytes()).await {
                Some(answer) => message(StatusCode::OK, answer),
                None => message(StatusCode::BAD_REQUEST, Vec::new()),
            }
        }
    })
    .await;
}

fn message(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut answer = Response::new(full_body(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}

async fn serve_internal<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let answering = handle(req);
                async move { Ok::<_, Infallible>(answering.await) }
            });
            // On a failure the other side sees the connection closed and retries.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(30))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
