//! Answers of the system itself.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_platform::headers;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde_json::json;

/// Why a body ends early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of an answer to a caller.
pub type Body = BoxBody<Bytes, BodyError>;

/// Refusal or failure with its numbered code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Status where it differs from the code's.
    pub status: Option<u16>,
    /// Whether the request may have run.
    pub run: Run,
    /// When a repeat may succeed.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Request that has not run and never will.
    pub fn not_run(code: Code) -> Self {
        Self {
            code,
            status: None,
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// Request that may have run.
    pub fn unknown(code: Code) -> Self {
        Self {
            run: Run::OutcomeUnknown,
            ..Self::not_run(code)
        }
    }

    /// Tells when a repeat may succeed.
    #[must_use]
    pub fn retry_after(self, time: Duration) -> Self {
        Self {
            retry_after: Some(time),
            ..self
        }
    }

    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        let number = self.status.unwrap_or_else(|| self.code.status());
        StatusCode::from_u16(number).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Answer to the caller.
    pub fn response(&self) -> Response<Body> {
        let text = json!({
            "error": { "code": self.code.to_string(), "message": self.code.text(), "run": self.run }
        });
        let mut answer = Response::new(full(Bytes::from(text.to_string())));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(time) = self.retry_after {
            let seconds = format!("{:.3}", time.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// Answer of a backend server as its caller gets it; the length of its body follows from the body.
pub fn passed_on(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers::for_caller(headers);
    answer.headers_mut().remove(header::CONTENT_LENGTH);
    answer
}

/// Body that is there as a whole.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}
