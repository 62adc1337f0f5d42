//! One attempt of a request at a backend server.
//!
//! Every attempt uses a connection of its own: an answer that arrives late, twice or longer than announced then cannot
//! meet another request, and a kept connection that the server closes cannot swallow a request that must not be
//! repeated. Dropping an attempt closes its connection, which makes the server drop the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use guava_platform::headers::{self, AnswerHead};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time for a connection. A round trip takes about 3 ms, and a lost packet is sent again after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which sent bytes may stay unacknowledged, so that a silent peer is noticed.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 3_000;

quick_error! {
    /// Why an attempt has no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AttemptError {
        /// Nothing was sent.
        NotSent(why: String) {
            display("not sent: {why}")
        }
        /// The server says that it did not run the request.
        NotRun {
            display("the server did not run the request")
        }
        /// The server lacks the model, or another server has the address.
        Misdirected {
            display("the server lacks the model, or another server has its address")
        }
        /// The request was sent, and its outcome is unknown.
        Unknown(why: String) {
            display("outcome unknown: {why}")
        }
    }
}

/// Request as it goes to backend servers.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Answer whose body is still arriving.
#[derive(Debug)]
pub struct Arriving {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Incoming,
    /// Connection, closed when this is dropped.
    pub connection: Connection,
}

/// Task that drives a connection and ends with this value.
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// Tells whether the request may have run.
pub async fn send(address: SocketAddr, out: Outgoing, attempt_id: &str) -> Result<Arriving, AttemptError> {
    let stream = connect(address).await.map_err(AttemptError::NotSent)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| AttemptError::NotSent(e.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        // The request's own future reports the failure.
        let _ = connection.await;
    }));
    let mut req = Request::new(Full::new(out.body));
    *req.method_mut() = out.method;
    *req.uri_mut() = out.uri;
    *req.headers_mut() = out.headers;
    let answer = sender
        .send_request(req)
        .await
        .map_err(|e| AttemptError::Unknown(e.to_string()))?;
    let (head, body) = answer.into_parts();
    match headers::read_answer(head.status, &head.headers, attempt_id) {
        AnswerHead::Ran => Ok(Arriving {
            status: head.status,
            headers: head.headers,
            body,
            connection,
        }),
        AnswerHead::NotRun => Err(AttemptError::NotRun),
        AnswerHead::OtherServer => Err(AttemptError::Misdirected),
        AnswerHead::Foreign => Err(AttemptError::Unknown(format!(
            "an answer with status {} that does not belong to the request",
            head.status
        ))),
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(e.to_string()),
        Err(_) => return Err("no connection in time".to_owned()),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let timeout = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
    timeout.map_err(|e| e.to_string())?;
    Ok(stream)
}
