//! Client of the data path: closed loop for saturation, open loop for latency, held streams for memory.

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

/// Time before an arrival for which the pacing thread spins, because a sleep may end late by this much.
const SPIN: Duration = Duration::from_micros(120);
/// Largest recorded latency in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Most connections of the open loop; keeps a stall from using up descriptors.
const MAX_CONNECTIONS: usize = 2_048;
/// Time for the last answers after the last arrival.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

type Connection = SendRequest<Full<Bytes>>;

/// What is called.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address.
    pub addr: SocketAddr,
    /// Caller's key; backend servers need none.
    pub key: Option<String>,
    /// JSON body.
    pub body: Bytes,
}

/// Calls without a whole answer of status 200, by the side that failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Failures {
    /// No connection: this process or the called one has no descriptor or port left, or does not listen.
    pub connect: u64,
    /// The connection broke before the end of the answer.
    pub broken: u64,
    /// Other statuses: the router refused or the backend server failed.
    pub status: u64,
    /// No answer before the end of the measurement.
    pub unanswered: u64,
}

impl Failures {
    /// All failures.
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

/// Why a call failed.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Connect,
    Broken,
    Status,
}

/// Result of a closed loop.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throughput {
    /// Whole answers with status 200.
    pub answers: u64,
    /// Other calls.
    pub failures: Failures,
    /// Duration.
    pub elapsed: Duration,
}

impl Throughput {
    /// Answers a second.
    pub fn per_second(&self) -> f64 {
        self.answers as f64 / self.elapsed.as_secs_f64()
    }
}

/// Result of an open loop.
#[derive(Debug)]
pub struct Latencies {
    /// From the scheduled arrival to the end of the answer, in microseconds.
    pub micros: Histogram<u64>,
    /// Calls without a whole answer of status 200.
    pub failures: Failures,
    /// Arrivals that were sent more than a millisecond late by the pacing thread.
    pub late: u64,
}

impl Target {
    async fn connect(&self) -> Result<Connection, BenchError> {
        let socket = TcpStream::connect(self.addr).await?;
        socket.set_nodelay(true)?;
        let (connection, driver) = http1::handshake(TokioIo::new(socket)).await?;
        tokio::spawn(driver);
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

    /// Sends one request and reads the whole answer, which must have status 200.
    async fn call(&self, connection: &mut Connection) -> Result<(), Failure> {
        let broken = |_error: hyper::Error| Failure::Broken;
        connection.ready().await.map_err(broken)?;
        let answer = connection.send_request(self.request()).await.map_err(broken)?;
        let status = answer.status();
        let mut body = answer.into_body();
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

/// Calls on `connections` connections, each again as soon as it has its answer.
///
/// # Errors
///
/// Fails when a connection cannot be opened.
pub async fn saturate(target: &Target, connections: usize, duration: Duration) -> Result<Throughput, BenchError> {
    let mut opened = Vec::new();
    for _ in 0..connections {
        opened.push(target.connect().await?);
    }
    let start = Instant::now();
    let end = start + duration;
    let workers = opened.into_iter().map(|connection| {
        let target = target.clone();
        tokio::spawn(repeat(target, connection, end))
    });
    let mut sum = Throughput::default();
    for part in join_all(workers).await.into_iter().flatten() {
        sum.answers += part.answers;
        sum.failures += part.failures;
    }
    sum.elapsed = start.elapsed();
    Ok(sum)
}

async fn repeat(target: Target, mut connection: Connection, end: Instant) -> Throughput {
    let mut done = Throughput::default();
    while Instant::now() < end {
        match target.call(&mut connection).await {
            Ok(()) => done.answers += 1,
            Err(Failure::Broken) => {
                done.failures.count(Failure::Broken);
                let Ok(next) = target.connect().await else {
                    done.failures.count(Failure::Connect);
                    break;
                };
                connection = next;
            }
            Err(failure) => done.failures.count(failure),
        }
    }
    done
}

#[derive(Debug)]
struct Open {
    target: Target,
    idle: Mutex<Vec<Connection>>,
    /// Connections that may be in use; further arrivals wait, and their wait counts.
    places: Semaphore,
    micros: Mutex<Histogram<u64>>,
    failures: Mutex<Failures>,
    running: AtomicU64,
}

impl Open {
    async fn arrival(self: Arc<Self>, due: Instant) {
        match self.call().await {
            Ok(()) => {
                let micros = due.elapsed().as_micros() as u64;
                self.micros.lock().saturating_record(micros);
            }
            Err(failure) => self.failures.lock().count(failure),
        }
        self.running.fetch_sub(1, Ordering::Release);
    }

    /// Idle connection that the called side has not closed meanwhile.
    fn idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        std::iter::from_fn(|| idle.pop()).find(|it| !it.is_closed())
    }

    /// Calls on an idle connection or on a new one.
    async fn call(&self) -> Result<(), Failure> {
        let _place = self.places.acquire().await;
        let mut connection = match self.idle_connection() {
            Some(it) => it,
            None => self.target.connect().await.map_err(|_error| Failure::Connect)?,
        };
        self.target.call(&mut connection).await?;
        self.idle.lock().push(connection);
        Ok(())
    }
}

/// Sends requests at evenly spaced times, whatever the earlier ones do.
///
/// # Errors
///
/// Fails when the first connections cannot be opened.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn paced(
    target: &Target,
    connections: usize,
    rate: f64,
    duration: Duration,
) -> Result<Latencies, BenchError> {
    let mut idle = Vec::new();
    for _ in 0..connections {
        idle.push(target.connect().await?);
    }
    let histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("bounds are valid");
    let open = Arc::new(Open {
        target: target.clone(),
        idle: Mutex::new(idle),
        places: Semaphore::new(MAX_CONNECTIONS),
        micros: Mutex::new(histogram),
        failures: Mutex::default(),
        running: AtomicU64::new(0),
    });
    let handle = Handle::current();
    let pacing = {
        let open = Arc::clone(&open);
        move || pace(&handle, &open, rate, duration)
    };
    let late = tokio::task::spawn_blocking(pacing)
        .await
        .map_err(|error| BenchError::Part(error.to_string()))?;
    let end = Instant::now() + LAST_ANSWERS;
    while open.running.load(Ordering::Acquire) > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut failures = *open.failures.lock();
    failures.unanswered = open.running.load(Ordering::Acquire);
    let micros = open.micros.lock().clone();
    Ok(Latencies { micros, failures, late })
}

/// Starts the arrivals; a thread of its own keeps to times that the runtime's timers of 1 ms cannot.
fn pace(handle: &Handle, open: &Arc<Open>, rate: f64, duration: Duration) -> u64 {
    let start = Instant::now();
    let count = (duration.as_secs_f64() * rate) as u64;
    let mut late = 0;
    for index in 0..count {
        let due = start + Duration::from_secs_f64(index as f64 / rate);
        let wait = due.saturating_duration_since(Instant::now());
        if wait > SPIN {
            std::thread::sleep(wait.saturating_sub(SPIN));
        }
        while Instant::now() < due {
            std::hint::spin_loop();
        }
        late += u64::from(due.elapsed() > Duration::from_millis(1));
        open.running.fetch_add(1, Ordering::Relaxed);
        handle.spawn(Arc::clone(open).arrival(due));
    }
    late
}

/// A stream that has sent its first bytes; dropping it closes its connection.
#[derive(Debug)]
pub struct HeldStream {
    _connection: Connection,
    _body: Incoming,
}

/// Opens `count` streams and waits for the first bytes of each.
///
/// # Errors
///
/// Fails when a stream does not begin.
pub async fn hold(target: &Target, count: usize) -> Result<Vec<HeldStream>, BenchError> {
    let streams = (0..count).map(|_| hold_one(target));
    join_all(streams).await.into_iter().collect()
}

async fn hold_one(target: &Target) -> Result<HeldStream, BenchError> {
    let mut connection = target.connect().await?;
    let answer = connection.send_request(target.request()).await?;
    let status = answer.status();
    let mut body = answer.into_body();
    if status != StatusCode::OK {
        let refusal = body.collect().await?.to_bytes();
        let refusal = String::from_utf8_lossy(&refusal);
        return Err(BenchError::Part(format!(
            "a stream was answered with {status}: {refusal}"
        )));
    }
    let first = body.frame().await;
    first.ok_or_else(|| BenchError::Part("a stream ended at once".to_owned()))??;
    Ok(HeldStream {
        _connection: connection,
        _body: body,
    })
}
