//! Load generator for the data path: closed loop for throughput, open loop for latency, held streams for memory.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::error::BenchError;

/// Time before each arrival during which the pacing thread spins instead of sleeping, because a sleep may end late by
/// this much.
const SPIN_TIME: Duration = Duration::from_micros(120);
/// Largest latency that the histogram records; longer ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Limit of concurrent connections of the open loop, so that a stalled server does not exhaust file descriptors.
const MAX_CONNECTIONS: usize = 2_048;
/// Time to wait for outstanding responses after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

type Connection = SendRequest<Full<Bytes>>;

/// Server and request of a measurement.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the router or backend server.
    pub addr: SocketAddr,
    /// API key of the caller, sent as a bearer token; `None` for backend servers, which need no key.
    pub key: Option<String>,
    /// JSON body of every request.
    pub body: Bytes,
}

/// Numbers of calls that did not get a complete response with status 200, by kind of failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Failures {
    /// The connection could not be opened: either process has run out of file descriptors or ports, or the server does
    /// not listen.
    pub connect: u64,
    /// The connection broke before the end of the response.
    pub broken: u64,
    /// The status was not 200: the router refused the request or the backend server failed.
    pub status: u64,
    /// The response had not ended when the measurement did. Only the open loop counts these.
    pub unanswered: u64,
}

impl Failures {
    /// Sum over all kinds.
    pub fn total(&self) -> u64 {
        self.connect + self.broken + self.status + self.unanswered
    }

    fn count(&mut self, failure: Failure) {
        match failure {
            Failure::Connect => self.connect += 1,
            Failure::Broken => self.broken += 1,
            Failure::Status => self.status += 1,
        }
    }
}

impl AddAssign for Failures {
    fn add_assign(&mut self, rhs: Self) {
        self.connect += rhs.connect;
        self.broken += rhs.broken;
        self.status += rhs.status;
        self.unanswered += rhs.unanswered;
    }
}

impl Display for Failures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} failures", self.total())?;
        let kinds = [
            ("no connection", self.connect),
            ("connection broken", self.broken),
            ("other status", self.status),
            ("unanswered", self.unanswered),
        ];
        for (kind, count) in kinds.into_iter().filter(|(_, count)| *count > 0) {
            write!(f, ", {kind} {count}")?;
        }
        Ok(())
    }
}

/// Kind of failure of one call.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Connect,
    Broken,
    Status,
}

/// Result of a closed-loop measurement.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throughput {
    /// Number of complete responses with status 200.
    pub responses: u64,
    /// Calls without such a response.
    pub failures: Failures,
    /// Time from the first call to the end of the last.
    pub elapsed: Duration,
}

impl Throughput {
    /// Complete responses with status 200 per second.
    pub fn per_second(&self) -> f64 {
        self.responses as f64 / self.elapsed.as_secs_f64()
    }
}

/// Result of an open-loop measurement.
#[derive(Debug)]
pub struct Latencies {
    /// Time from the scheduled arrival to the end of the response in microseconds, for successful calls.
    pub latency_micros: Histogram<u64>,
    /// Calls without a complete response with status 200.
    pub failures: Failures,
    /// Arrivals that the pacing thread started more than 1 ms after their scheduled time.
    pub late: u64,
}

impl Target {
    async fn connect(&self) -> Result<Connection, BenchError> {
        let socket = TcpStream::connect(self.addr).await?;
        socket.set_nodelay(true)?;
        let (connection, connection_task) = http1::handshake(TokioIo::new(socket)).await?;
        tokio::spawn(connection_task);
        Ok(connection)
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::post("/v1/completions")
            .header(header::HOST, "bench")
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            req = req.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        req.body(Full::new(self.body.clone())).expect("request parts are valid")
    }

    /// Sends one request and reads the complete response. A status other than 200 is a failure.
    async fn call(&self, connection: &mut Connection) -> Result<(), Failure> {
        let broken = |_error: hyper::Error| Failure::Broken;
        connection.ready().await.map_err(broken)?;
        let response = connection.send_request(self.request()).await.map_err(broken)?;
        let status = response.status();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            frame.map_err(broken)?;
        }
        if status == StatusCode::OK {
            Ok(())
        } else {
            Err(Failure::Status)
        }
    }
}

/// Closed loop: each of `connections` connections sends its next request when the previous response has ended.
///
/// Calls that are in flight after `duration` are completed and counted.
///
/// # Errors
///
/// Fails when a connection cannot be opened.
pub async fn run_closed_loop(
    target: &Target,
    connections: usize,
    duration: Duration,
) -> Result<Throughput, BenchError> {
    let mut open_connections = Vec::new();
    for _ in 0..connections {
        open_connections.push(target.connect().await?);
    }
    let start = Instant::now();
    let end = start + duration;
    let workers = open_connections.into_iter().map(|connection| {
        let target = target.clone();
        tokio::spawn(call_repeatedly(target, connection, end))
    });
    let mut total = Throughput::default();
    for result in join_all(workers).await.into_iter().flatten() {
        total.responses += result.responses;
        total.failures += result.failures;
    }
    total.elapsed = start.elapsed();
    Ok(total)
}

async fn call_repeatedly(target: Target, mut connection: Connection, end: Instant) -> Throughput {
    let mut throughput = Throughput::default();
    while Instant::now() < end {
        match target.call(&mut connection).await {
            Ok(()) => throughput.responses += 1,
            Err(Failure::Broken) => {
                throughput.failures.count(Failure::Broken);
                let Ok(next) = target.connect().await else {
                    throughput.failures.count(Failure::Connect);
                    break;
                };
                connection = next;
            }
            Err(failure) => throughput.failures.count(failure),
        }
    }
    throughput
}

#[derive(Debug)]
struct OpenLoop {
    target: Target,
    idle: Mutex<Vec<Connection>>,
    /// Permits for concurrent calls. Arrivals wait for a permit, and the wait counts towards their latency.
    permits: Semaphore,
    latency_micros: Mutex<Histogram<u64>>,
    failures: Mutex<Failures>,
    in_flight: AtomicU64,
}

impl OpenLoop {
    async fn handle_arrival(self: Arc<Self>, scheduled_at: Instant) {
        match self.call().await {
            Ok(()) => {
                let latency_micros = scheduled_at.elapsed().as_micros() as u64;
                self.latency_micros.lock().saturating_record(latency_micros);
            }
            Err(failure) => self.failures.lock().count(failure),
        }
        self.in_flight.fetch_sub(1, Ordering::Release);
    }

    /// Takes an idle connection that the server has not closed.
    fn idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        std::iter::from_fn(|| idle.pop()).find(|it| !it.is_closed())
    }

    /// Sends one request on an idle connection, or on a new one if there is none.
    async fn call(&self) -> Result<(), Failure> {
        let _permit = self.permits.acquire().await;
        let mut connection = match self.idle_connection() {
            Some(it) => it,
            None => self.target.connect().await.map_err(|_error| Failure::Connect)?,
        };
        self.target.call(&mut connection).await?;
        self.idle.lock().push(connection);
        Ok(())
    }
}

/// Open loop: sends `rate` requests per second at evenly spaced times, without waiting for earlier responses.
///
/// `connections` connections are opened beforehand and more when needed.
///
/// # Errors
///
/// Fails when the first connections cannot be opened.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn run_open_loop(
    target: &Target,
    connections: usize,
    rate: f64,
    duration: Duration,
) -> Result<Latencies, BenchError> {
    let mut idle = Vec::new();
    for _ in 0..connections {
        idle.push(target.connect().await?);
    }
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("bounds are valid");
    let open_loop = Arc::new(OpenLoop {
        target: target.clone(),
        idle: Mutex::new(idle),
        permits: Semaphore::new(MAX_CONNECTIONS),
        latency_micros: Mutex::new(histogram),
        failures: Mutex::default(),
        in_flight: AtomicU64::new(0),
    });
    let handle = Handle::current();
    let run_arrivals = {
        let open_loop = Arc::clone(&open_loop);
        move || start_arrivals(&handle, &open_loop, rate, duration)
    };
    let late = tokio::task::spawn_blocking(run_arrivals)
        .await
        .map_err(|error| BenchError::Failed(error.to_string()))?;
    let end = Instant::now() + DRAIN_TIMEOUT;
    while open_loop.in_flight.load(Ordering::Acquire) > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut failures = *open_loop.failures.lock();
    failures.unanswered = open_loop.in_flight.load(Ordering::Acquire);
    let latency_micros = open_loop.latency_micros.lock().clone();
    Ok(Latencies {
        latency_micros,
        failures,
        late,
    })
}

/// Starts the arrivals and returns the number of late ones. Blocks its thread, because the runtime's timers have a
/// resolution of only 1 ms.
fn start_arrivals(handle: &Handle, open_loop: &Arc<OpenLoop>, rate: f64, duration: Duration) -> u64 {
    let start = Instant::now();
    let count = (duration.as_secs_f64() * rate) as u64;
    let mut late = 0;
    for index in 0..count {
        let scheduled_at = start + Duration::from_secs_f64(index as f64 / rate);
        let wait = scheduled_at.saturating_duration_since(Instant::now());
        if wait > SPIN_TIME {
            std::thread::sleep(wait.saturating_sub(SPIN_TIME));
        }
        while Instant::now() < scheduled_at {
            std::hint::spin_loop();
        }
        late += u64::from(scheduled_at.elapsed() > Duration::from_millis(1));
        open_loop.in_flight.fetch_add(1, Ordering::Relaxed);
        handle.spawn(Arc::clone(open_loop).handle_arrival(scheduled_at));
    }
    late
}

/// Streamed response whose first frame has been received and which is then not read. Dropping it closes the connection.
#[derive(Debug)]
pub struct HeldStream {
    _connection: Connection,
    _body: Incoming,
}

/// Opens `count` streams and waits for the first frame of each.
///
/// # Errors
///
/// Fails when a stream cannot be opened, gets a status other than 200 or ends without a frame.
pub async fn open_held_streams(target: &Target, count: usize) -> Result<Vec<HeldStream>, BenchError> {
    let streams = (0..count).map(|_| open_held_stream(target));
    join_all(streams).await.into_iter().collect()
}

async fn open_held_stream(target: &Target) -> Result<HeldStream, BenchError> {
    let mut connection = target.connect().await?;
    let response = connection.send_request(target.request()).await?;
    let status = response.status();
    let mut body = response.into_body();
    if status != StatusCode::OK {
        let error_body = body.collect().await?.to_bytes();
        let error_body = String::from_utf8_lossy(&error_body);
        return Err(BenchError::Failed(format!(
            "stream refused with status {status}: {error_body}"
        )));
    }
    let first_frame = body.frame().await;
    first_frame.ok_or_else(|| BenchError::Failed("stream ended before its first frame".to_owned()))??;
    Ok(HeldStream {
        _connection: connection,
        _body: body,
    })
}
