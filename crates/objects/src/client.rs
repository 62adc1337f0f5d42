//! HTTP client shared by the adapters.
//!
//! Its errors distinguish a request that was never sent from one that was sent and got no complete answer: only the
//! former is certain to have had no effect.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;

/// Timeout of a call other than a watch or the read of a checkpoint; also the connect timeout of every call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer body that is read; a list can hold many objects.
const ANSWER_LIMIT_BYTES: usize = 256 * 1024 * 1024;
/// Time after which an idle connection is closed: before common servers close it at the end of their keep-alive time.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

quick_error! {
    /// Failure of an HTTP call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// No byte of the request was sent.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The server may have received the request, but no complete answer arrived.
        NoAnswer(reason: String) {
            display("no answer: {reason}")
        }
    }
}

/// HTTP answer whose body has been read completely.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status; error statuses are answers too, not [`CallError`]s.
    pub status: StatusCode,
    /// Body; empty when the answer has none.
    pub body: Bytes,
}

/// HTTP client with pooled connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with an empty connection pool of its own.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a request to `path` at `server` and reads the complete answer; `timeout` covers all of it.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte of the request was sent, otherwise `NoAnswer`: also when the answer arrives incomplete or
    /// its body is larger than 256 MiB.
    pub async fn call(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let response = self.open(method, server, path, body, timeout).await?;
        let status = response.status();
        let read = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect();
        match tokio::time::timeout_at(deadline, read).await {
            Ok(Ok(body)) => Ok(Answer {
                status,
                body: body.to_bytes(),
            }),
            Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
            Err(_elapsed) => Err(CallError::NoAnswer("timed out while reading".to_owned())),
        }
    }

    /// Sends a request to `path` at `server` and returns when the head of the answer has arrived.
    ///
    /// `timeout` does not cover the body, which the caller reads.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte of the request was sent, otherwise `NoAnswer`.
    pub async fn open(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let mut builder = Request::builder().method(method).uri(format!("http://{server}{path}"));
        if !body.is_empty() {
            builder = builder
                .header(CONTENT_TYPE, "application/json")
                .header(CONTENT_LENGTH, body.len());
        }
        let mut request = builder
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let connection = capture_connection(&mut request);
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if was_not_sent(&error) => Err(CallError::NotSent(message_with_cause(&error))),
            Ok(Err(error)) => Err(CallError::NoAnswer(message_with_cause(&error))),
            Err(_elapsed) if connection.connection_metadata().is_none() => {
                Err(CallError::NotSent("timed out while connecting".to_owned()))
            }
            Err(_elapsed) => Err(CallError::NoAnswer("timed out".to_owned())),
        }
    }
}

/// Whether the call failed before the first byte of the request was written.
fn was_not_sent(error: &Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<hyper::Error>());
    error.is_connect() || cause.is_some_and(hyper::Error::is_canceled)
}

fn message_with_cause(error: &Error) -> String {
    let cause = error.source().map(|it| format!(": {it}")).unwrap_or_default();
    format!("{error}{cause}")
}
