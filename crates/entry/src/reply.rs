//! Answers to callers: failures of the system's own, and answers forwarded from backend servers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_platform::headers;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde_json::json;

/// Error that ends a body early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of an answer to a caller.
pub type Body = BoxBody<Bytes, BodyError>;

/// Refusal or failure of a request, reported with a numbered code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// HTTP status, if it differs from that of the code.
    pub status: Option<u16>,
    /// Whether the request may have run.
    pub run: Run,
    /// Time after which a retry may succeed; `None` sends no `Retry-After` header.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Failure of a request that has not run and will not run.
    pub fn not_run(code: Code) -> Self {
        Self {
            code,
            status: None,
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// Failure of a request that may have run.
    pub fn unknown(code: Code) -> Self {
        Self {
            run: Run::OutcomeUnknown,
            ..Self::not_run(code)
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(self, time: Duration) -> Self {
        Self {
            retry_after: Some(time),
            ..self
        }
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        let number = self.status.unwrap_or_else(|| self.code.status());
        StatusCode::from_u16(number).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Builds the answer to the caller, with a JSON body.
    pub fn response(&self) -> Response<Body> {
        let body = json!({
            "error": { "code": self.code.to_string(), "message": self.code.text(), "run": self.run }
        });
        let mut answer = Response::new(full_body(Bytes::from(body.to_string())));
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

/// Builds the answer to the caller from a backend server's answer. `Content-Length` is removed, because the length
/// follows from `body`.
pub fn forwarded_response(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers::for_caller(headers);
    answer.headers_mut().remove(header::CONTENT_LENGTH);
    answer
}

/// Body whose bytes are all available.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}
