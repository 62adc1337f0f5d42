//! Requests and replies of the administration API, independent of the HTTP library.

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_node::PeerError;
use guava_objects::PlatformError;
use serde_json::{Value, json};

/// A request with its path split and decoded.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: String,
    /// Decoded path segments after `/admin/v1`.
    pub path: Vec<String>,
    /// Decoded query parameters.
    pub query: Vec<(String, String)>,
    /// Value of `If-Match` as a version.
    pub version: Option<u64>,
    /// Body.
    pub body: Bytes,
}

impl ApiRequest {
    /// Value of a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// Returns `MalformedJson` with the parser's message.
    pub fn json(&self) -> Result<Value, Failure> {
        serde_json::from_slice(&self.body).map_err(|error| Failure::new(Code::MalformedJson, error.to_string()))
    }
}

/// An accepted reply.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

impl Reply {
    /// Reply with status 200.
    pub fn ok(body: Value) -> Self {
        Self { status: 200, body }
    }

    /// Reply with status 201.
    pub fn created(body: Value) -> Self {
        Self { status: 201, body }
    }
}

/// A refusal with its numbered code.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// Code.
    pub code: Code,
    /// Detail for the operator.
    pub detail: String,
    /// Further fields of the error body.
    pub fields: Value,
}

impl Failure {
    /// Creates a refusal without further fields.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            fields: Value::Null,
        }
    }

    /// Adds further fields to the error body.
    #[must_use]
    pub fn with(mut self, fields: Value) -> Self {
        self.fields = fields;
        self
    }

    /// Error body.
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
        Self::new(code, error.to_string()).with(fields)
    }
}
