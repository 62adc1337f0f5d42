//! HTTP client shared by the adapters.
//!
//! It tells a call that was not sent from one that was sent and got no answer, since only the first has surely had no
//! effect.

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

/// Longest duration of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read: a list may hold many objects.
const ANSWER_LIMIT_BYTES: usize = 256 * 1024 * 1024;
/// Time for which an unused connection is kept; below the keep-alive time of usual servers.
const POOL_IDLE: Duration = Duration::from_secs(4);

quick_error! {
    /// Failure of an HTTP call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// Nothing of the request was sent.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The request may have been received, and no whole answer came.
        NoAnswer(reason: String) {
            display("no answer: {reason}")
        }
    }
}

/// Answer whose body has been read.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// HTTP client with pooled connections.
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
    /// Creates a client.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .build(connector);
        Self { client }
    }

    /// Calls `path` at `server` and reads the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Tells whether the request can have been received.
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

    /// Calls `path` at `server` and returns when the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Tells whether the request can have been received.
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
            Ok(Err(error)) if was_not_sent(&error) => Err(CallError::NotSent(describe(&error))),
            Ok(Err(error)) => Err(CallError::NoAnswer(describe(&error))),
            Err(_elapsed) if connection.connection_metadata().is_none() => {
                Err(CallError::NotSent("timed out while connecting".to_owned()))
            }
            Err(_elapsed) => Err(CallError::NoAnswer("timed out".to_owned())),
        }
    }
}

/// Whether the failure came before the first byte of the request was written.
fn was_not_sent(error: &Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<hyper::Error>());
    error.is_connect() || cause.is_some_and(hyper::Error::is_canceled)
}

fn describe(error: &Error) -> String {
    let cause = error.source().map(|it| format!(": {it}")).unwrap_or_default();
    format!("{error}{cause}")
}
