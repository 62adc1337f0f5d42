//! Answers on their way to a caller.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use crate::StoredAnswer;
use crate::refusal::Refusal;

/// Response header with the time in milliseconds for which a request waited for a load.
pub const COLD_START_HEADER: HeaderName = HeaderName::from_static("x-guava-cold-start-ms");

/// An answer that is known to be complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// JSON answer.
    pub fn json(status: StatusCode, value: &serde_json::Value) -> Self {
        Self {
            status,
            headers: vec![(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))],
            body: Bytes::from(value.to_string()),
        }
    }

    /// Plain text answer.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
        Self {
            status,
            headers: vec![(header::CONTENT_TYPE, content_type)],
            body: Bytes::from(text.into()),
        }
    }

    /// Form in which the answer is stored.
    pub fn to_stored(&self) -> StoredAnswer {
        let content_type = self.headers.iter().find(|(name, _)| *name == header::CONTENT_TYPE);
        let content_type = content_type.and_then(|(_, value)| value.to_str().ok());
        StoredAnswer {
            status: self.status.as_u16(),
            content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
            body: self.body.to_vec(),
        }
    }

    /// Answer from its stored form.
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

/// End of a stream before it was complete; the connection to the caller must be aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream ended before it was complete")
    }
}

impl std::error::Error for Cut {}

/// Part of a stream on its way to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes to pass on.
    Data(Bytes),
    /// Marked end of a complete answer.
    End,
}

/// An answer that is passed on while it arrives.
#[derive(Debug)]
pub struct StreamAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Parts of the body. A channel that closes without [`Part::End`] means a cut answer, so that a task that ends
    /// unexpectedly cannot make one look complete.
    pub parts: mpsc::Receiver<Part>,
}

/// Answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// Complete.
    Whole(WholeAnswer),
    /// Passed on while it arrives.
    Stream(StreamAnswer),
    /// Error.
    Refused(Refusal),
}

impl Answer {
    /// Tells the caller how long its request waited for a load; refusals tell nothing.
    #[must_use]
    pub fn cold_start(mut self, ms: Option<u64>) -> Self {
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
