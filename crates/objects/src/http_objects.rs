//! HTTP adapter of the object service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use guava_core::config::Kind;
use guava_core::ids::OperationId;
use http::{Method, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::client::{Answer, CALL_TIMEOUT, CallError, HttpClient};
use crate::wire::{self, DeleteOptions, Document, DocumentList, Status, WatchEvent};
use crate::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject};

/// Time for which a watch reads on after its first change, so that changes that arrive together are returned together.
const WATCH_BATCH_TIME: Duration = Duration::from_millis(5);
/// Time after the timeout of a watch within which the platform must end it; later the watch counts as unanswered.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// HTTP adapter of the object service; calls other than watches take at most [`CALL_TIMEOUT`].
#[derive(Debug)]
pub struct HttpObjectStore {
    server: SocketAddr,
    client: HttpClient,
}

impl HttpObjectStore {
    /// Creates the adapter for the object service at `server`, with a connection pool of its own.
    pub fn new(server: SocketAddr) -> Self {
        Self {
            server,
            client: HttpClient::new(),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, PlatformError> {
        let answer = self.client.call(method, self.server, path, body, CALL_TIMEOUT).await?;
        Ok(answer)
    }

    /// `Conflict` with the current version that the answer reports; reads the object when the answer reports none.
    async fn conflict_error(&self, kind: Kind, name: &str, answer: &Answer) -> PlatformError {
        if answer.status == StatusCode::NOT_FOUND {
            return PlatformError::Conflict(None);
        }
        let current = wire::parse::<Status>(&answer.body)
            .ok()
            .and_then(|it| it.current_version());
        if current.is_some() {
            return PlatformError::Conflict(current);
        }
        match self.get(kind, name).await {
            Ok(object) => PlatformError::Conflict(object.map(|it| it.version)),
            Err(error) => error,
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjectStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        let answer = self.call(Method::GET, &object_path(kind, name), Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => wire::parse::<Document>(&answer.body)?.into_object(kind).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(error_for_status(&answer)),
        }
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        let answer = self.call(Method::GET, &kind_path(kind), Bytes::new()).await?;
        if answer.status != StatusCode::OK {
            return Err(error_for_status(&answer));
        }
        let list = wire::parse::<DocumentList>(&answer.body)?;
        let version = list.metadata.version()?;
        let items = list.items.into_iter().map(|it| it.into_object(kind));
        let mut items = items.collect::<Result<Vec<_>, _>>()?;
        items.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(ObjectList { version, items })
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        let (method, path, version) = match expect {
            Expect::Absent => (Method::POST, kind_path(kind), None),
            Expect::Version(version) => (Method::PUT, object_path(kind, name), Some(version)),
        };
        let document = Document::new(kind, name, version, operation, spec.clone());
        let answer = self.call(method, &path, to_json(&document)?).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => wire::parse::<Document>(&answer.body)?.metadata.version(),
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => Err(self.conflict_error(kind, name, &answer).await),
            _ => Err(error_for_status(&answer)),
        }
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        let options = to_json(&DeleteOptions::at_version(version))?;
        let answer = self.call(Method::DELETE, &object_path(kind, name), options).await?;
        match answer.status {
            StatusCode::OK => wire::parse::<Document>(&answer.body)?.metadata.version(),
            StatusCode::CONFLICT | StatusCode::NOT_FOUND => Err(self.conflict_error(kind, name, &answer).await),
            _ => Err(error_for_status(&answer)),
        }
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        let seconds = timeout.as_secs_f64();
        let base = kind_path(kind);
        let path = format!("{base}?watch=true&resourceVersion={since}&timeoutSeconds={seconds}");
        let deadline = tokio::time::Instant::now() + timeout + WATCH_GRACE;
        let call = self
            .client
            .open(Method::GET, self.server, &path, Bytes::new(), timeout + WATCH_GRACE);
        let response = call.await?;
        let status = response.status();
        let mut reader = LineReader::new(response.into_body());
        if status != StatusCode::OK {
            let body = reader.read_rest(deadline).await?;
            return Err(error_for_status(&Answer { status, body }));
        }
        let mut changes = Vec::new();
        let mut read_until = deadline;
        while let Some(line) = reader.next_line(read_until).await? {
            let event = wire::parse::<WatchEvent>(&line)?;
            changes.extend(event.into_change(kind)?);
            if !changes.is_empty() && read_until == deadline {
                read_until = deadline.min(tokio::time::Instant::now() + WATCH_BATCH_TIME);
                reader.ends_on_error = true;
            }
        }
        Ok(changes)
    }
}

/// Reads the lines of a body that arrives in chunks.
struct LineReader {
    body: Incoming,
    buf: BytesMut,
    /// Whether a timeout or a read error ends the lines instead of failing.
    ends_on_error: bool,
}

impl LineReader {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
            ends_on_error: false,
        }
    }

    /// Next complete line that is not blank; an incomplete line at the end of the body is dropped.
    async fn next_line(&mut self, until: tokio::time::Instant) -> Result<Option<Bytes>, PlatformError> {
        loop {
            if let Some(end) = self.buf.iter().position(|&byte| byte == b'\n') {
                let line = self.buf.split_to(end + 1).freeze();
                if line.trim_ascii().is_empty() {
                    continue;
                }
                return Ok(Some(line));
            }
            match tokio::time::timeout_at(until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => self.buf.extend(frame.into_data().ok()),
                Ok(None) => return Ok(None),
                Err(_) | Ok(Some(Err(_))) if self.ends_on_error => return Ok(None),
                Ok(Some(Err(error))) => return Err(PlatformError::OutcomeUnknown(error.to_string())),
                Err(_elapsed) => return Err(PlatformError::OutcomeUnknown("watch timed out".to_owned())),
            }
        }
    }

    /// Rest of the body, as far as it arrives by `until`.
    async fn read_rest(mut self, until: tokio::time::Instant) -> Result<Bytes, PlatformError> {
        while let Ok(Some(Ok(frame))) = tokio::time::timeout_at(until, self.body.frame()).await {
            self.buf.extend(frame.into_data().ok());
        }
        Ok(self.buf.freeze())
    }
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) => Self::Unavailable(reason),
            CallError::NoAnswer(reason) => Self::OutcomeUnknown(reason),
        }
    }
}

/// Error for an HTTP status whose meaning does not depend on the call.
pub(crate) fn error_for_status(answer: &Answer) -> PlatformError {
    let status = wire::parse::<Status>(&answer.body).unwrap_or_default();
    let reason = format!("{} {}", answer.status, status.message);
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => PlatformError::RateLimited,
        StatusCode::PAYLOAD_TOO_LARGE => PlatformError::TooLarge,
        StatusCode::GONE => PlatformError::Expired,
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable(reason),
        // The server can return any other server error after the call took effect.
        code if code.is_server_error() => PlatformError::OutcomeUnknown(reason),
        _ => PlatformError::Malformed(reason),
    }
}

fn kind_path(kind: Kind) -> String {
    format!("{}{}", wire::API_PATH, kind.plural())
}

fn object_path(kind: Kind, name: &str) -> String {
    format!("{}/{}", kind_path(kind), wire::encode_segment(name))
}

fn to_json(value: &impl serde::Serialize) -> Result<Bytes, PlatformError> {
    let encoded = serde_json::to_vec(value);
    encoded
        .map(Bytes::from)
        .map_err(|error| PlatformError::Malformed(error.to_string()))
}
