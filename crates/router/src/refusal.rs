//! Error answers to callers.

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::QuotaRefusal;
use crate::answer::WholeAnswer;

/// An error answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Error code, which also gives the HTTP status.
    pub code: Code,
    /// Sentence that follows the code's text in the message, to name the cause in this request.
    pub detail: Option<String>,
    /// Whether the request may have run.
    pub run: Run,
    /// Time in milliseconds after which a retry may succeed; `None` sends no `retry-after` header.
    pub retry_after_ms: Option<u64>,
    /// Limit that was exceeded, in the unit that the code implies; `None` if there is no limit to state.
    pub limit: Option<u64>,
    /// Amount still available below the limit, in the same unit.
    pub remaining: Option<u64>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: String,
    message: &'a str,
    run: Run,
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    remaining: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    pub fn not_run(code: Code) -> Self {
        Self {
            code,
            detail: None,
            run: Run::NotRun,
            retry_after_ms: None,
            limit: None,
            remaining: None,
        }
    }

    /// Creates the failure of a request that may have run.
    pub fn outcome_unknown(code: Code) -> Self {
        Self {
            run: Run::OutcomeUnknown,
            ..Self::not_run(code)
        }
    }

    /// Sets the sentence that follows the code's text in the message.
    #[must_use]
    pub fn detail(self, detail: impl Into<String>) -> Self {
        Self {
            detail: Some(detail.into()),
            ..self
        }
    }

    /// Sets the time in milliseconds after which a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Sets the limit that was exceeded and the amount still available below it.
    #[must_use]
    pub fn limit(self, limit: u64, remaining: u64) -> Self {
        Self {
            limit: Some(limit),
            remaining: Some(remaining),
            ..self
        }
    }

    /// Serializes the error as the JSON body of an answer.
    pub fn body(&self) -> Vec<u8> {
        let text = self.code.text();
        let message = match &self.detail {
            Some(detail) => format!("{text} {detail}"),
            None => text.to_owned(),
        };
        let fields = ErrorFields {
            code: self.code.to_string(),
            message: &message,
            run: self.run,
            limit: self.limit,
            remaining: self.remaining,
        };
        serde_json::to_vec(&ErrorBody { error: fields }).unwrap_or_default()
    }

    /// Creates the HTTP answer. The `retry-after` header is rounded up to whole seconds, at least 1.
    pub fn answer(&self) -> WholeAnswer {
        let mut headers = vec![(header::CONTENT_TYPE, HeaderValue::from_static("application/json"))];
        if let Some(ms) = self.retry_after_ms {
            headers.push((header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000).max(1))));
        }
        WholeAnswer {
            status: StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
            body: Bytes::from(self.body()),
        }
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self::not_run(code)
    }
}

impl From<QuotaRefusal> for Refusal {
    fn from(it: QuotaRefusal) -> Self {
        Self {
            retry_after_ms: it.retry_after_ms,
            ..Self::not_run(it.code).limit(it.limit, it.remaining)
        }
    }
}
