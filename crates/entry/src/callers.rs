//! Listeners: callers, readiness checks, other entry processes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use guava_telemetry::Metrics;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::coordinator::Coordinator;
use crate::peers;
use crate::reply::Body;
use crate::request;
use crate::state::{Entry, now};

/// Largest message between entry processes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Time between checks of a connection's idle time.
const IDLE_CHECK: Duration = Duration::from_millis(500);
/// Pause after a failed accept, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle time of a connection before any configuration is known.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Requests in hand, for the graceful shutdown.
#[derive(Debug, Default)]
pub struct Connections {
    open: AtomicUsize,
}

impl Connections {
    /// Open connections of callers.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Fails when the address is not free.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Serves callers until `closing` says so; then idle connections are closed and the others after their request.
pub async fn serve_callers(
    entry: Arc<Entry>,
    listener: TcpListener,
    connections: Arc<Connections>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|it| *it) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_caller(Arc::clone(&entry), stream, Arc::clone(&connections), closing.clone());
                tokio::spawn(serving);
            }
            Err(e) => {
                log::warn!("accept: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Use of one connection.
#[derive(Debug, Default)]
struct Use {
    busy: AtomicUsize,
    idle_since: AtomicU64,
}

async fn serve_caller(
    entry: Arc<Entry>,
    stream: TcpStream,
    connections: Arc<Connections>,
    mut closing: watch::Receiver<bool>,
) {
    connections.open.fetch_add(1, Ordering::Relaxed);
    // Fails only on a connection that is closed already.
    let _ = stream.set_nodelay(true);
    let usage = Arc::new(Use::default());
    usage.idle_since.store(now().0, Ordering::Relaxed);
    let limits = entry.config().map(|it| it.config.limits.clone());
    let idle_ms = limits.as_ref().map_or(DEFAULT_IDLE_MS, |it| it.idle_timeout_ms);
    let head_bytes = limits.as_ref().map_or(16_384, |it| it.head_bytes);
    let service = service_fn({
        let entry = Arc::clone(&entry);
        let usage = Arc::clone(&usage);
        move |req: Request<Incoming>| serve_request(Arc::clone(&entry), Arc::clone(&usage), req)
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // A connection whose next head is not whole after the idle time is closed, however slowly it sends.
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes.max(8_192) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A connection that fails has told its requests; the caller sees it closed.
            _ = serving.as_mut() => break,
            _ = closing.wait_for(|it| *it), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
            () = sleep(IDLE_CHECK) => {
                let idle = now().since(guava_core::units::Millis(usage.idle_since.load(Ordering::Relaxed)));
                if usage.busy.load(Ordering::Relaxed) == 0 && idle > idle_ms {
                    break;
                }
            }
        }
    }
    connections.open.fetch_sub(1, Ordering::Relaxed);
}

async fn serve_request(
    entry: Arc<Entry>,
    usage: Arc<Use>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let guard = UseGuard::new(usage);
    let mut answer = request::serve(Arc::clone(&entry), req).await;
    if entry.is_stopping() {
        answer
            .headers_mut()
            .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    // The body counts as use until it has been sent or dropped.
    Ok(answer.map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed()
    }))
}

struct UseGuard(Arc<Use>);

impl UseGuard {
    fn new(usage: Arc<Use>) -> Self {
        usage.busy.fetch_add(1, Ordering::Relaxed);
        Self(usage)
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.0.idle_since.store(now().0, Ordering::Relaxed);
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers the balancer's readiness checks.
pub async fn serve_readiness(entry: Arc<Entry>, listener: TcpListener) {
    serve_small(listener, move |_| {
        let status = if entry.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { (status, Vec::new()) }
    })
    .await;
}

/// Serves the metrics.
pub async fn serve_metrics(metrics: Metrics, listener: TcpListener) {
    serve_small(listener, move |_| {
        let text = metrics.text();
        async move { (StatusCode::OK, text.into_bytes()) }
    })
    .await;
}

/// Answers messages of other entry processes.
pub async fn serve_peers(entry: Arc<Entry>, coordinator: Arc<Coordinator>, listener: TcpListener) {
    serve_small(listener, move |req: Request<Incoming>| {
        let entry = Arc::clone(&entry);
        let coordinator = Arc::clone(&coordinator);
        async move {
            let name = req.uri().path().trim_start_matches('/').to_owned();
            let Ok(body) = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect().await else {
                return (StatusCode::BAD_REQUEST, Vec::new());
            };
            match peers::answer(&entry, &coordinator, &name, &body.to_bytes()).await {
                Some(answer) => (StatusCode::OK, answer),
                None => (StatusCode::BAD_REQUEST, Vec::new()),
            }
        }
    })
    .await;
}

async fn serve_small<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = (StatusCode, Vec<u8>)> + Send + 'static,
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
                async move {
                    let (status, body) = answering.await;
                    let mut answer = Response::new(Full::new(Bytes::from(body)));
                    *answer.status_mut() = status;
                    Ok::<_, Infallible>(answer)
                }
            });
            // The other side sees a failed connection closed and asks again.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(30))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
