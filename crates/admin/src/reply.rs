//! Requests and replies of the administration API, independent of the HTTP library.

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_node::PeerError;
use guava_objects::PlatformError;
use serde_json::{Value, json};

/// A parsed request whose token has been checked.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    /// HTTP method in upper case.
    pub method: String,
    /// Percent-decoded path segments after `/admin/v1`.
    pub path: Vec<String>,
    /// Percent-decoded names and values of the query parameters, in order.
    pub query: Vec<(String, String)>,
    /// Object version from `If-Match`; `None` if the header is absent.
    pub version: Option<u64>,
    /// Body as received; empty if the request has none.
    pub body: Bytes,
}

impl ApiRequest {
    /// Returns the first value of a query parameter, or `None` if it is absent.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns `MalformedJson` with the parser's message.
    pub fn json(&self) -> Result<Value, Failure> {
        serde_json::from_slice(&self.body).map_err(|error| Failure::new(Code::MalformedJson, error.to_string()))
    }
}

/// A successful response.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status, 200 or 201.
    pub status: u16,
    /// Body, sent as JSON.
    pub body: Value,
}

impl Reply {
    /// Creates a response with status 200.
    pub fn ok(body: Value) -> Self {
        Self { status: 200, body }
    }

    /// Creates a response with status 201.
    pub fn created(body: Value) -> Self {
        Self { status: 201, body }
    }
}

/// An error response.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// Numbered code, which also determines the HTTP status.
    pub code: Code,
    /// Details of this failure, for the operator.
    pub detail: String,
    /// JSON object with additional fields of the error body; null if there are none.
    pub fields: Value,
}

impl Failure {
    /// Creates an error response without additional fields.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            fields: Value::Null,
        }
    }

    /// Sets the additional fields of the error body to the members of a JSON object.
    #[must_use]
    pub fn with_fields(mut self, fields: Value) -> Self {
        self.fields = fields;
        self
    }

    /// Returns the JSON body. Its field `run` says whether the call may have taken effect.
    pub fn body(&self) -> Value {
        let run = if self.code == Code::PlatformOutcomeUnknown {
            Run::OutcomeUnknown
        } else {
            Run::NotRun
        };
        let mut error = json!({
            "code": self.code.to_string(),
            "message": self.code.text(),
            "detail": self.detail,
            "run": run,
        });
        if let (Value::Object(error), Value::Object(fields)) = (&mut error, &self.fields) {
            error.extend(fields.clone());
        }
        json!({ "error": error })
    }
}

impl From<PeerError> for Failure {
    fn from(error: PeerError) -> Self {
        let code = match error {
            PeerError::Refused(..) => Code::InvalidField,
            _ => Code::UnknownMember,
        };
        Self::new(code, error.to_string())
    }
}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        let code = match &error {
            PlatformError::Conflict(_) => Code::VersionConflict,
            PlatformError::OutcomeUnknown(_) => Code::PlatformOutcomeUnknown,
            PlatformError::TooLarge => Code::InvalidObject,
            _ => Code::PlatformUnavailable,
        };
        let fields = match &error {
            PlatformError::Conflict(current) => json!({ "current_version": current }),
            _ => Value::Null,
        };
        Self::new(code, error.to_string()).with_fields(fields)
    }
}
