//! JSON documents of the platform's API, which follow the Kubernetes API conventions.

use std::collections::BTreeMap;

use guava_core::config::Kind;
use guava_core::ids::OperationId;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};

use crate::objects::WatchedChange;
use crate::{Change, PlatformError, StoredObject};

/// Path prefix of the API's group and version; the plural of a kind follows.
pub(crate) const API_PATH: &str = "/apis/guavaarch.io/v1/";
/// API group and version that documents state.
pub(crate) const API_VERSION: &str = "guavaarch.io/v1";
/// Annotation that holds the operation id of the last write.
pub(crate) const OPERATION_ANNOTATION: &str = "guavaarch.io/operation";
/// Reason of the cause whose message is the current version, in the status of a conflict.
pub(crate) const CURRENT_VERSION_REASON: &str = "CurrentResourceVersion";

/// Characters that are percent-encoded in a path segment: all but the unreserved ones of RFC 3986.
const SEGMENT_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Percent-encodes a name for use as one path segment.
pub(crate) fn encode_segment(name: &str) -> String {
    utf8_percent_encode(name, SEGMENT_ENCODE_SET).to_string()
}

/// Decodes a percent-encoded path segment; `None` when it is not UTF-8.
pub(crate) fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    Some(decoded.into_owned())
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Metadata {
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) name: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) resource_version: String,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) annotations: BTreeMap<String, String>,
}

impl Metadata {
    pub(crate) fn version(&self) -> Result<u64, PlatformError> {
        let text = &self.resource_version;
        text.parse()
            .map_err(|error| PlatformError::Malformed(format!("resourceVersion {text:?}: {error}")))
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Document {
    #[serde(default)]
    pub(crate) api_version: String,
    #[serde(default)]
    pub(crate) kind: String,
    #[serde(default)]
    pub(crate) metadata: Metadata,
    #[serde(default)]
    pub(crate) spec: serde_json::Value,
}

impl Document {
    pub(crate) fn new(
        kind: Kind,
        name: &str,
        version: Option<u64>,
        operation: &OperationId,
        spec: serde_json::Value,
    ) -> Self {
        let annotation = (OPERATION_ANNOTATION.to_owned(), operation.as_str().to_owned());
        Self {
            api_version: API_VERSION.to_owned(),
            kind: kind_name(kind),
            metadata: Metadata {
                name: name.to_owned(),
                resource_version: version.map(|it| it.to_string()).unwrap_or_default(),
                annotations: BTreeMap::from([annotation]),
            },
            spec,
        }
    }

    /// Operation id of the last write; empty when the document has none.
    pub(crate) fn operation(&self) -> OperationId {
        let text = self.metadata.annotations.get(OPERATION_ANNOTATION);
        OperationId::new(text.map_or("", String::as_str))
    }

    pub(crate) fn into_object(self, kind: Kind) -> Result<StoredObject, PlatformError> {
        Ok(StoredObject {
            kind,
            version: self.metadata.version()?,
            operation: self.operation(),
            name: self.metadata.name,
            spec: self.spec,
        })
    }
}

impl From<StoredObject> for Document {
    fn from(object: StoredObject) -> Self {
        let version = Some(object.version);
        Self::new(object.kind, &object.name, version, &object.operation, object.spec)
    }
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct DocumentList {
    #[serde(default)]
    pub(crate) api_version: String,
    #[serde(default)]
    pub(crate) kind: String,
    pub(crate) metadata: Metadata,
    pub(crate) items: Vec<Document>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Cause {
    pub(crate) reason: String,
    pub(crate) message: String,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StatusDetails {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) causes: Vec<Cause>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Status {
    pub(crate) api_version: String,
    pub(crate) kind: String,
    #[serde(rename = "status")]
    pub(crate) result: String,
    pub(crate) reason: String,
    pub(crate) message: String,
    pub(crate) code: u16,
    pub(crate) details: StatusDetails,
}

impl Status {
    pub(crate) fn failure(code: u16, reason: &str, message: String) -> Self {
        Self {
            api_version: "v1".to_owned(),
            kind: "Status".to_owned(),
            result: "Failure".to_owned(),
            reason: reason.to_owned(),
            message,
            code,
            details: StatusDetails::default(),
        }
    }

    /// Current version that the status of a conflict reports; `None` when it reports none.
    pub(crate) fn current_version(&self) -> Option<u64> {
        let cause = self
            .details
            .causes
            .iter()
            .find(|it| it.reason == CURRENT_VERSION_REASON)?;
        cause.message.parse().ok()
    }
}

/// Body of a deletion, which must have the expected version.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct DeleteOptions {
    pub(crate) api_version: String,
    pub(crate) kind: String,
    pub(crate) preconditions: Preconditions,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Preconditions {
    pub(crate) resource_version: String,
}

impl DeleteOptions {
    pub(crate) fn at_version(version: u64) -> Self {
        Self {
            api_version: "v1".to_owned(),
            kind: "DeleteOptions".to_owned(),
            preconditions: Preconditions {
                resource_version: version.to_string(),
            },
        }
    }
}

/// Event of a watch: one line of its answer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub(crate) event_type: String,
    pub(crate) object: serde_json::Value,
}

impl WatchEvent {
    /// Converts the event to a change; `None` for event types that carry none, such as bookmarks.
    pub(crate) fn into_change(self, kind: Kind) -> Result<Option<Change>, PlatformError> {
        match self.event_type.as_str() {
            "ADDED" | "MODIFIED" => {
                let object = parse_value::<Document>(self.object)?.into_object(kind)?;
                Ok(Some(Change::Put(object)))
            }
            "DELETED" => {
                let document = parse_value::<Document>(self.object)?;
                Ok(Some(Change::Deleted {
                    kind,
                    version: document.metadata.version()?,
                    name: document.metadata.name,
                }))
            }
            "ERROR" => {
                let status = parse_value::<Status>(self.object)?;
                if status.code == 410 {
                    return Err(PlatformError::Expired);
                }
                Err(PlatformError::Malformed(status.message))
            }
            _ => Ok(None),
        }
    }

    pub(crate) fn new(watched: WatchedChange) -> Self {
        let (event_type, document) = match watched.change {
            Change::Put(object) if watched.is_new => ("ADDED", Document::from(object)),
            Change::Put(object) => ("MODIFIED", Document::from(object)),
            Change::Deleted { kind, name, version } => {
                let operation = OperationId::new("");
                let spec = serde_json::Value::Null;
                ("DELETED", Document::new(kind, &name, Some(version), &operation, spec))
            }
        };
        Self {
            event_type: event_type.to_owned(),
            object: serde_json::to_value(document).unwrap_or_default(),
        }
    }
}

/// Name of a kind in documents.
pub(crate) fn kind_name(kind: Kind) -> String {
    format!("{kind:?}")
}

fn parse_value<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, PlatformError> {
    serde_json::from_value(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Parses the JSON body of an answer.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed(error.to_string()))
}
