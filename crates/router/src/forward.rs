//! HTTP client for backend servers.
//!
//! Connections count the bytes they write and read: whether a failed request may have run depends on whether any of its
//! bytes were written. Idempotent requests reuse idle connections from a pool per thread; every other request opens a
//! connection of its own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use guava_core::answer::is_final;
use guava_core::codes::Code;
use guava_node::intake::{BodyBuffer, Holder};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::answer::WholeAnswer;

/// Header with the request identifier, in requests to backend servers and in answers to callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Headers of a backend server's answer that are forwarded to callers.
const ANSWER_HEADERS: [HeaderName; 7] = [
    header::CONTENT_TYPE,
    header::CONTENT_LANGUAGE,
    header::CACHE_CONTROL,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];
const MAX_IDLE_PER_SERVER: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_HEADERS: usize = 128;
/// Informational answers (1xx) that may precede an answer. A sound server sends one or two; a faulty one may send them
/// without end.
const MAX_INFORMATIONAL: u32 = 16;
/// Largest part of an answer that is read ahead, for example while the answer waits for room; by default hyper reads
/// 400 KB ahead.
const READ_BUF_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why a call got no complete answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FailureKind {
        /// No connection could be opened; nothing was written.
        Connect {
            display("no connection")
        }
        /// The connection failed, or the answer was truncated or did not mark its end.
        Broken {
            display("connection broke")
        }
        /// The deadline of the request passed.
        Timeout {
            display("timeout")
        }
        /// The answer carries the identifier of another request.
        Mismatch {
            display("answer belongs to another request")
        }
        /// The answer, or one event of a stream, exceeds the limit on its size.
        TooLarge {
            display("answer too large")
        }
    }
}

impl FailureKind {
    /// Code to report to the caller if no further attempt is made.
    pub fn code(self) -> Code {
        match self {
            Self::Connect => Code::NoCapacity,
            Self::Broken => Code::BackendFailed,
            Self::Timeout => Code::TimedOut,
            Self::Mismatch => Code::AnswerMismatch,
            Self::TooLarge => Code::AnswerTooLarge,
        }
    }
}

/// Byte counts of one call. They stay readable after the call has been cancelled.
#[derive(Debug, Default)]
pub struct Progress {
    baseline: Mutex<Option<Baseline>>,
}

/// Counters of the connection that a call uses, with their values when the call started. Those of a reused connection
/// include the bytes of earlier calls.
#[derive(Debug)]
struct Baseline {
    counters: Arc<Counters>,
    written: u64,
    read: u64,
}

impl Progress {
    /// Bytes of the request that were written to the socket; 0 before a connection is open.
    pub fn bytes_sent(&self) -> u64 {
        let baseline = self.baseline.lock();
        baseline
            .as_ref()
            .map_or(0, |it| it.counters.written.load(Ordering::Relaxed) - it.written)
    }

    /// Bytes of the answer that were read from the socket; 0 before a connection is open.
    pub fn bytes_received(&self) -> u64 {
        let baseline = self.baseline.lock();
        baseline
            .as_ref()
            .map_or(0, |it| it.counters.read.load(Ordering::Relaxed) - it.read)
    }

    fn start(&self, counters: &Arc<Counters>) {
        *self.baseline.lock() = Some(Baseline {
            counters: Arc::clone(counters),
            written: counters.written.load(Ordering::Relaxed),
            read: counters.read.load(Ordering::Relaxed),
        });
    }
}

/// A call to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query, without the caller's key.
    pub path: &'a str,
    /// Identifier to send as [`REQUEST_ID_HEADER`]; an answer that echoes another one is rejected.
    pub request_id: &'a str,
    /// Headers to send, in addition to `host` and the request identifier.
    pub headers: &'a HeaderMap,
    /// Request body, sent whole.
    pub body: &'a Bytes,
    /// Whether the call may take an idle connection from the pool and return its own to it.
    pub reuse: bool,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
}

/// Bytes written to and read from a connection since it was opened.
#[derive(Debug, Default)]
struct Counters {
    written: AtomicU64,
    read: AtomicU64,
}

/// TCP stream that counts the bytes written and read.
#[derive(Debug)]
struct CountingStream {
    inner: TcpStream,
    counters: Arc<Counters>,
}

impl AsyncRead for CountingStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.counters.read.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.count_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.count_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl CountingStream {
    fn count_written(&self, polled: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(written)) = polled {
            self.counters.written.fetch_add(*written as u64, Ordering::Relaxed);
        }
    }
}

/// HTTP/1.1 connection to a backend server, used by one call at a time.
#[derive(Debug)]
struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    counters: Arc<Counters>,
    idle_since: Instant,
}

thread_local! {
    /// Idle connections of this thread, by backend server.
    static IDLE: RefCell<HashMap<SocketAddr, Vec<Connection>>> = RefCell::default();
}

impl Connection {
    async fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let inner = TcpStream::connect(addr).await?;
        inner.set_nodelay(true)?;
        let counters = Arc::new(Counters::default());
        let stream = CountingStream {
            inner,
            counters: Arc::clone(&counters),
        };
        let mut builder = http1::Builder::new();
        builder.max_headers(MAX_ANSWER_HEADERS);
        builder.max_buf_size(READ_BUF_BYTES);
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::trace!("connection to {addr} closed with an error: {error}");
            }
        });
        Ok(Self {
            addr,
            sender,
            counters,
            idle_since: Instant::now(),
        })
    }

    async fn checkout(call: &Call<'_>) -> std::io::Result<Self> {
        if call.reuse {
            while let Some(mut idle) = Self::pop_idle(call.addr) {
                if idle.sender.ready().await.is_ok() {
                    return Ok(idle);
                }
            }
        }
        Self::open(call.addr).await
    }

    fn pop_idle(addr: SocketAddr) -> Option<Self> {
        IDLE.with_borrow_mut(|idle| {
            let connections = idle.get_mut(&addr)?;
            let usable = |it: &Self| !it.sender.is_closed() && it.idle_since.elapsed() < IDLE_TIMEOUT;
            while let Some(connection) = connections.pop() {
                if usable(&connection) {
                    return Some(connection);
                }
            }
            None
        })
    }

    fn return_to_pool(mut self) {
        if self.sender.is_closed() {
            return;
        }
        self.idle_since = Instant::now();
        IDLE.with_borrow_mut(|idle| {
            let connections = idle.entry(self.addr).or_default();
            if connections.len() < MAX_IDLE_PER_SERVER {
                connections.push(self);
            }
        });
    }
}

/// An answer whose status and headers have been received and whose body has not been read completely.
#[derive(Debug)]
pub struct IncomingAnswer {
    connection: Connection,
    reuse: bool,
    response: Response<Incoming>,
    /// Whether the method or the status rules out a body.
    no_body: bool,
}

/// Sends a request and waits for the status and headers of its answer. There is no timeout except for connecting; the
/// caller applies the request's deadline.
///
/// # Errors
///
/// Fails if no connection can be opened, no answer is received or the answer carries the identifier of another request.
pub async fn send(call: Call<'_>, progress: &Progress) -> Result<IncomingAnswer, FailureKind> {
    let mut connection = match tokio::time::timeout(call.connect_timeout, Connection::checkout(&call)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log::debug!("failed to connect to {}: {error}", call.addr);
            return Err(FailureKind::Connect);
        }
        Err(_) => return Err(FailureKind::Connect),
    };
    let mut request = build_request(&call).ok_or(FailureKind::Connect)?;
    let too_many = limit_informational(&mut request);
    progress.start(&connection.counters);
    let response = tokio::select! {
        biased;
        () = too_many.notified() => Err("informational answers without end".to_owned()),
        response = connection.sender.send_request(request) => response.map_err(|e| e.to_string()),
    };
    let response = response.map_err(|error| {
        log::debug!("request to {} failed: {error}", call.addr);
        FailureKind::Broken
    })?;
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|it| it.as_bytes() != call.request_id.as_bytes()) {
        return Err(FailureKind::Mismatch);
    }
    let status = response.status();
    if !is_final(status, response.headers()) {
        log::debug!("answer of {} has the status {status}, which does not fit", call.addr);
        return Err(FailureKind::Broken);
    }
    let no_body =
        *call.method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    Ok(IncomingAnswer {
        connection,
        reuse: call.reuse,
        response,
        no_body,
    })
}

/// Notifies the returned value when more than [`MAX_INFORMATIONAL`] informational answers to the request have arrived.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notified, received) = (Arc::clone(&too_many), AtomicU32::new(0));
    hyper::ext::on_informational(request, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notified.notify_one();
        }
    });
    too_many
}

fn build_request(call: &Call<'_>) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().ok()?;
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    headers.insert(header::HOST, HeaderValue::from_str(&call.addr.to_string()).ok()?);
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(call.request_id).ok()?);
    Some(request)
}

impl IncomingAnswer {
    /// HTTP status that the backend server sent.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Whether the content type is that of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.response.headers().get(header::CONTENT_TYPE);
        content_type.is_some_and(|it| it.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Headers to forward to the caller: those on the allow list.
    pub fn caller_headers(&self) -> Vec<(HeaderName, HeaderValue)> {
        let all = self.response.headers();
        let allowed = ANSWER_HEADERS.iter();
        allowed
            .filter_map(|name| all.get(name).map(|value| (name.clone(), value.clone())))
            .collect()
    }

    /// Whether the body has a length, is chunked or is absent. A body that ends when the connection closes cannot be
    /// distinguished from a truncated one.
    fn has_marked_end(&self) -> bool {
        let chunked = self.response.headers().contains_key(header::TRANSFER_ENCODING);
        self.no_body || chunked || self.response.body().size_hint().exact().is_some()
    }

    /// Reads the whole answer and releases the connection.
    ///
    /// # Errors
    ///
    /// Fails if the answer is truncated, does not mark its end or has a body of more than `limit` bytes.
    pub async fn read_whole(mut self, limit: usize, holder: Option<&Holder>) -> Result<WholeAnswer, FailureKind> {
        if !self.has_marked_end() {
            return Err(FailureKind::Broken);
        }
        let body = match holder {
            Some(holder) => self.read_held(limit, holder).await?,
            None => self.read_all(limit).await?,
        };
        let answer = WholeAnswer {
            status: self.status(),
            headers: self.caller_headers(),
            body,
        };
        self.release_connection();
        Ok(answer)
    }

    /// Reads the whole body into one buffer that is held for the caller. A body with an announced length waits until the
    /// budget has room for it; until then, it stays with the backend server.
    async fn read_held(&mut self, limit: usize, holder: &Holder) -> Result<Bytes, FailureKind> {
        let limit = limit.min(holder.largest_answer() as usize);
        let announced = self.response.body().size_hint().exact().map(|it| it as usize);
        if announced.is_some_and(|it| it > limit) {
            return Err(FailureKind::TooLarge);
        }
        let mut buffer = match announced {
            Some(length) => BodyBuffer::with_room(holder, length).await,
            None => BodyBuffer::new(holder, None, limit),
        };
        while let Some(part) = self.next_part().await? {
            if buffer.len() + part.len() > limit {
                return Err(FailureKind::TooLarge);
            }
            buffer.append(&part);
        }
        Ok(buffer.freeze())
    }

    async fn read_all(&mut self, limit: usize) -> Result<Bytes, FailureKind> {
        let min_bytes = self.response.body().size_hint().lower();
        if min_bytes > limit as u64 {
            return Err(FailureKind::TooLarge);
        }
        // A body that arrives in one part is returned without copying it.
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            if first.len() + rest.len() + part.len() > limit {
                return Err(FailureKind::TooLarge);
            }
            if first.is_empty() {
                first = part;
                continue;
            }
            if rest.is_empty() {
                rest.reserve(first.len() + part.len());
                rest.extend_from_slice(&first);
            }
            rest.extend_from_slice(&part);
        }
        Ok(if rest.is_empty() { first } else { rest.freeze() })
    }

    /// Reads the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the body does not mark its end.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, FailureKind> {
        if !self.has_marked_end() {
            return Err(FailureKind::Broken);
        }
        loop {
            match self.response.body_mut().frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(FailureKind::Broken),
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return Ok(Some(part));
                    }
                }
            }
        }
    }

    /// Returns the connection to the pool if the call allowed its reuse. Must only be called after the end of the body.
    pub fn release_connection(self) {
        if self.reuse {
            self.connection.return_to_pool();
        }
    }
}
