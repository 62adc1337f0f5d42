//! Answers to callers.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use crate::StoredAnswer;
use crate::refusal::Refusal;

/// Response header with the time in milliseconds for which the request waited for its model to be loaded.
pub const COLD_START_HEADER: HeaderName = HeaderName::from_static("x-guava-cold-start-ms");

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers without those that the server sets: request identifier, length and connection.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Response body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Creates an answer of type `application/json`.
    pub fn json(status: StatusCode, value: &serde_json::Value) -> Self {
        Self {
            status,
            headers: vec![(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))],
            body: Bytes::from(value.to_string()),
        }
    }

    /// Creates an answer of type `text/plain`.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
        Self {
            status,
            headers: vec![(header::CONTENT_TYPE, content_type)],
            body: Bytes::from(text.into()),
        }
    }

    /// Converts the answer to the form in which records and jobs store it. Only the content type is kept of the
    /// headers.
    pub fn to_stored(&self) -> StoredAnswer {
        let content_type = self.headers.iter().find(|(name, _)| *name == header::CONTENT_TYPE);
        let content_type = content_type.and_then(|(_, value)| value.to_str().ok());
        StoredAnswer {
            status: self.status.as_u16(),
            content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
            body: self.body.to_vec(),
        }
    }

    /// Restores a stored answer. An invalid status becomes 502, an invalid content type `application/octet-stream`.
    pub fn from_stored(stored: StoredAnswer) -> Self {
        let content_type = HeaderValue::from_str(&stored.content_type);
        let fallback = HeaderValue::from_static("application/octet-stream");
        Self {
            status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY),
            headers: vec![(header::CONTENT_TYPE, content_type.unwrap_or(fallback))],
            body: Bytes::from(stored.body),
        }
    }
}

/// Error that ends the body of a truncated stream; it aborts the connection to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedStream;

impl std::fmt::Display for TruncatedStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was truncated")
    }
}

impl std::error::Error for TruncatedStream {}

/// Part of a stream to be forwarded to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes of the body: one or more complete events.
    Data(Bytes),
    /// End of a complete answer.
    End,
}

/// An answer that is forwarded to the caller while it is received from the backend server.
#[derive(Debug)]
pub struct StreamAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers without those that the server sets: request identifier and connection.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Parts of the body. The answer is truncated if the channel closes without [`StreamPart::End`], so that an answer
    /// whose forwarding task ends unexpectedly does not look complete.
    pub parts: mpsc::Receiver<StreamPart>,
}

/// Answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// An answer that is already complete.
    Whole(WholeAnswer),
    /// An answer that is forwarded while it is received.
    Stream(StreamAnswer),
    /// An error of the router.
    Refused(Refusal),
}

impl Answer {
    /// Adds [`COLD_START_HEADER`] unless `ms` is `None` or the answer is a refusal.
    #[must_use]
    pub fn with_cold_start(mut self, ms: Option<u64>) -> Self {
        let headers = match &mut self {
            Self::Whole(it) => &mut it.headers,
            Self::Stream(it) => &mut it.headers,
            Self::Refused(_) => return self,
        };
        headers.extend(ms.map(|ms| (COLD_START_HEADER, HeaderValue::from(ms))));
        self
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
