//! Requests and answers as stored in objects of the object service.
//!
//! Objects are JSON and limited in size, so a body is stored as text if it is valid UTF-8 and otherwise in Base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use guava_core::derive_value;

use crate::{JobRequest, StoredAnswer};

derive_value! {
    /// Body of a request or an answer.
    #[serde(rename_all = "snake_case")]
    pub(crate) enum Body {
        /// A body that is valid UTF-8, as it is.
        Text(String),
        /// Any other body, in standard Base64 with padding.
        Base64(String),
    }

    /// Stored form of [`StoredAnswer`].
    pub(crate) struct Answer {
        status: u16,
        content_type: String,
        body: Body,
    }

    /// Stored form of [`JobRequest`].
    pub(crate) struct Request {
        path: String,
        method: String,
        profile: Option<String>,
        idempotent: bool,
        content_type: String,
        body: Body,
    }
}

impl Body {
    fn from_bytes(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Base64(STANDARD.encode(bytes)),
        }
    }

    /// Decodes the body. Invalid Base64, which no router writes, gives an empty body.
    fn into_bytes(self) -> Vec<u8> {
        match self {
            Self::Text(text) => text.into_bytes(),
            Self::Base64(text) => STANDARD.decode(text).unwrap_or_default(),
        }
    }
}

impl From<&StoredAnswer> for Answer {
    fn from(answer: &StoredAnswer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: Body::from_bytes(&answer.body),
        }
    }
}

impl From<Answer> for StoredAnswer {
    fn from(answer: Answer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body.into_bytes(),
        }
    }
}

impl From<&JobRequest> for Request {
    fn from(request: &JobRequest) -> Self {
        Self {
            path: request.path.clone(),
            method: request.method.clone(),
            profile: request.profile.clone(),
            idempotent: request.idempotent,
            content_type: request.content_type.clone(),
            body: Body::from_bytes(&request.body),
        }
    }
}

impl From<Request> for JobRequest {
    fn from(request: Request) -> Self {
        Self {
            path: request.path,
            method: request.method,
            profile: request.profile,
            idempotent: request.idempotent,
            content_type: request.content_type,
            body: request.body.into_bytes(),
        }
    }
}
