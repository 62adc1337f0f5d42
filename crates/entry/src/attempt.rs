//! One attempt of a request at a backend server.
//!
//! Every attempt uses its own connection. An answer that arrives late, twice or longer than announced then cannot be
//! taken for the answer to another request, and a kept-alive connection that the server closes cannot lose a request
//! that must not be retried. Dropping an attempt closes its connection, which makes the server drop the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use guava_core::units::Millis;
use guava_platform::headers::{self, AnswerKind, StatementSink};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::state::now;

/// Timeout for opening a connection. A round trip takes about 3 ms, and a lost packet is retransmitted after 200 ms or
/// more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest head of an answer, and most bytes that are buffered of its body. A faulty server may send a head without end.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Informational answers (1xx) that may precede an answer. A sound server sends one or two; a faulty one may send them
/// without end.
const MAX_INFORMATIONAL: u32 = 16;
/// Time for which sent bytes may stay unacknowledged before the connection fails, so that an unresponsive peer is
/// detected.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 3_000;

quick_error! {
    /// Why an attempt failed without a usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AttemptError {
        /// The request was not sent.
        NotSent(why: String) {
            display("not sent: {why}")
        }
        /// The server reported that it did not run the request.
        NotRun {
            display("the server did not run the request")
        }
        /// The server does not hold the model, or a different server now uses the address. The request did not run.
        Misdirected {
            display("the server lacks the model, or another server has its address")
        }
        /// The request was sent and may have run.
        Unknown(why: String) {
            display("outcome unknown: {why}")
        }
    }
}

/// Request as it is sent to a backend server.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub uri: Uri,
    /// The caller's headers, changed for the backend server.
    pub headers: HeaderMap,
    /// Whole body of the caller's request.
    pub body: Bytes,
}

/// Answer whose head has been read and whose body is still being received.
#[derive(Debug)]
pub struct IncomingAnswer {
    /// Status from the backend server.
    pub status: StatusCode,
    /// Headers from the backend server.
    pub headers: HeaderMap,
    /// When the head had arrived.
    pub begun: Millis,
    /// Body, not read yet.
    pub body: Incoming,
    /// Keeps the connection open; dropping it closes the connection.
    pub connection: Connection,
}

/// Task that drives a connection. Dropping the value aborts the task.
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection to a backend server on which nothing has been sent yet.
#[derive(Debug)]
pub struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
}

impl OpenConnection {
    /// Opens a connection to a backend server.
    ///
    /// # Errors
    ///
    /// Fails with [`AttemptError::NotSent`] if the connection is refused or not established in time.
    pub async fn open(address: SocketAddr) -> Result<Self, AttemptError> {
        let stream = connect(address).await.map_err(AttemptError::NotSent)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| AttemptError::NotSent(e.to_string()))?;
        let connection = Connection(tokio::spawn(async move {
            // A failure is also reported by `send_request`.
            let _ = connection.await;
        }));
        Ok(Self { sender, connection })
    }

    /// Whether the server has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer, whose statements are passed to `sink`, also those of an
    /// answer that is an error here.
    ///
    /// # Errors
    ///
    /// The variant of the error says whether the request may have run.
    pub async fn send(
        mut self,
        outgoing: OutgoingRequest,
        attempt_id: &str,
        sink: StatementSink<'_>,
    ) -> Result<IncomingAnswer, AttemptError> {
        let mut req = Request::new(Full::new(outgoing.body));
        *req.method_mut() = outgoing.method;
        *req.uri_mut() = outgoing.uri;
        *req.headers_mut() = outgoing.headers;
        let too_many = limit_informational(&mut req);
        let answer = tokio::select! {
            biased;
            () = too_many.notified() => Err("informational answers without end".to_owned()),
            answer = self.sender.send_request(req) => answer.map_err(|e| e.to_string()),
        };
        let answer = answer.map_err(AttemptError::Unknown)?;
        let (head, body) = answer.into_parts();
        headers::pass_statements(head.status, &head.headers, sink);
        match headers::classify_answer(head.status, &head.headers, attempt_id) {
            AnswerKind::Ran => Ok(IncomingAnswer {
                status: head.status,
                headers: head.headers,
                begun: now(),
                body,
                connection: self.connection,
            }),
            AnswerKind::NotRun => Err(AttemptError::NotRun),
            AnswerKind::OtherServer => Err(AttemptError::Misdirected),
            AnswerKind::Untrusted => Err(AttemptError::Unknown(format!(
                "answer with status {} does not belong to the request",
                head.status
            ))),
        }
    }
}

/// Notifies the returned value when more than [`MAX_INFORMATIONAL`] informational answers to the request have arrived.
fn limit_informational(req: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notified, received) = (Arc::clone(&too_many), AtomicU32::new(0));
    hyper::ext::on_informational(req, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notified.notify_one();
        }
    });
    too_many
}

async fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(e.to_string()),
        Err(_) => return Err("connection not established in time".to_owned()),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let timeout = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
    timeout.map_err(|e| e.to_string())?;
    Ok(stream)
}
