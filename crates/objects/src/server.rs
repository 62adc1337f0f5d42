//! HTTP server of the stand-ins.
//!
//! In addition to the platform's API it serves `GET` and `PUT /faults`, `GET /counts`, `PUT` and `DELETE /vms/{name}`
//! and `PUT /weights/{name}` for tests. It closes the connection of a call whose answer is to be lost.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::config::Kind;
use guava_core::derive_value;
use guava_core::ids::VmName;
use http::Method;
use serde::Serialize;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt as _, RequestBody, ResponseBody};
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue};
use xitca_web::http::{Request, RequestExt, Response, StatusCode};
use xitca_web::service::fn_service;

use crate::faults::Faults;
use crate::http_lists::{Fetched, VmItems};
use crate::objects::{CallCounts, MemoryObjectStore};
use crate::vms::MemoryVmList;
use crate::weights::{CheckpointKind, MemoryWeightStore, WeightStoreCounts, WeightStoreSpeed};
use crate::wire::{self, Cause, DeleteOptions, Document, DocumentList, Metadata, Status, WatchEvent};
use crate::{Expect, ObjectStore as _, PlatformError, VmInfo, VmList as _, WeightStore as _};

/// Largest request body that is accepted: a value of the largest size and its metadata.
const BODY_LIMIT_BYTES: usize = 2 * 1024 * 1024;
/// Timeout of a watch that gives none.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest timeout of a watch; longer ones are reduced to it.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_mins(5);

/// Stand-ins of the whole platform.
#[derive(Debug, Clone)]
pub struct StandInPlatform {
    /// Stand-in of the object service.
    pub objects: Arc<MemoryObjectStore>,
    /// Stand-in of the list of VMs.
    pub vms: Arc<MemoryVmList>,
    /// Stand-in of the weight store.
    pub weights: Arc<MemoryWeightStore>,
}

impl StandInPlatform {
    /// Creates empty stand-ins without rate limit, lag or faults, with a weight store of default speed.
    pub fn new() -> Self {
        Self {
            objects: Arc::new(MemoryObjectStore::new()),
            vms: Arc::new(MemoryVmList::new()),
            weights: Arc::new(MemoryWeightStore::new(WeightStoreSpeed::default())),
        }
    }
}

impl Default for StandInPlatform {
    fn default() -> Self {
        Self::new()
    }
}

derive_value! {
    /// Faults of the whole platform; `PUT /faults` leaves the faults of absent parts as they are.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// Faults of the object service.
        pub objects: Option<Faults>,
        /// Faults of the list of VMs.
        pub vms: Option<Faults>,
        /// Faults of the weight store.
        pub weights: Option<Faults>,
    }

    /// Calls and loads since the stand-ins were created: the answer to `GET /counts`.
    pub struct PlatformCounts {
        /// Calls to the object service.
        pub objects: CallCounts,
        /// Loads from the weight store.
        pub weights: WeightStoreCounts,
    }

    /// Body of `PUT /weights/{name}`.
    struct NewCheckpoint {
        kind: CheckpointKind,
        bytes: u64,
    }
}

/// Running HTTP server of the stand-ins; dropping it stops it.
#[derive(Debug)]
pub struct PlatformServer {
    addr: SocketAddr,
    running: Option<Server>,
}

struct Server {
    stop: Box<dyn Fn() + Send + Sync>,
    thread: std::thread::JoinHandle<()>,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl PlatformServer {
    /// Address on which the server listens, with the port that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections, and waits for the server's threads.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        if let Some(server) = self.running.take() {
            (server.stop)();
            if server.thread.join().is_err() {
                log::error!("server thread of the platform stand-in panicked");
            }
        }
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Serves the stand-ins on `addr` with the given number of worker threads.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn serve_platform(platform: &StandInPlatform, addr: SocketAddr, workers: usize) -> io::Result<PlatformServer> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let platform = platform.clone();
    let service = fn_service(async move |request: Request<RequestExt<RequestBody>>| respond(&platform, request).await);
    let mut http_server = HttpServer::serve(service)
        .worker_threads(workers)
        .disable_signal()
        .listen(listener)?
        .run();
    let handle = http_server.handle()?;
    let thread = std::thread::Builder::new()
        .name("standin-platform".to_owned())
        .spawn(move || {
            if let Err(error) = http_server.wait() {
                log::error!("server of the platform stand-in failed: {error}");
            }
        })?;
    Ok(PlatformServer {
        addr,
        running: Some(Server {
            stop: Box::new(move || handle.stop(false)),
            thread,
        }),
    })
}

type HttpResponse = Response<ResponseBody>;

/// Error that makes the server close the connection without an answer.
#[derive(Debug)]
struct LostAnswer;

/// Result of a call before a failure is converted to an HTTP answer.
type Outcome = Result<HttpResponse, Failure>;

enum Failure {
    Platform(PlatformError),
    /// The object to create already exists with this version.
    AlreadyExists(u64),
    Invalid(String),
    NotFound,
}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

async fn respond(
    platform: &StandInPlatform,
    request: Request<RequestExt<RequestBody>>,
) -> Result<HttpResponse, LostAnswer> {
    match route(platform, request).await {
        Ok(response) => Ok(response),
        Err(Failure::Platform(PlatformError::OutcomeUnknown(_))) => Err(LostAnswer),
        Err(failure) => Ok(failure_answer(failure)),
    }
}

async fn route(platform: &StandInPlatform, request: Request<RequestExt<RequestBody>>) -> Outcome {
    let (parts, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let body = read_body(body).await?;
    let path = parts.uri.path();
    let query = parts.uri.query().unwrap_or("");
    let segments = path.trim_start_matches('/').split('/').map(wire::decode_segment);
    let segments = segments.collect::<Option<Vec<_>>>().ok_or(Failure::NotFound)?;
    let segments = segments.iter().map(String::as_str).collect::<Vec<_>>();
    match segments.as_slice() {
        ["apis", "guavaarch.io", "v1", plural] => {
            let kind = Kind::from_plural(plural).ok_or(Failure::NotFound)?;
            route_kind(platform, &parts.method, kind, query, &body).await
        }
        ["apis", "guavaarch.io", "v1", plural, name] => {
            let kind = Kind::from_plural(plural).ok_or(Failure::NotFound)?;
            route_object(platform, &parts.method, kind, name, &body).await
        }
        ["vms", rest @ ..] => route_vms(platform, &parts.method, rest, &body).await,
        ["weights", name, rest @ ..] => route_weights(platform, &parts.method, name, rest, &body).await,
        ["faults"] => route_faults(platform, &parts.method, &body),
        ["counts"] => json(
            StatusCode::OK,
            &PlatformCounts {
                objects: platform.objects.counts(),
                weights: platform.weights.counts(),
            },
        ),
        _ => Err(Failure::NotFound),
    }
}

async fn route_kind(platform: &StandInPlatform, method: &Method, kind: Kind, query: &str, body: &[u8]) -> Outcome {
    match *method {
        Method::GET if query_parameter(query, "watch") == Some("true") => watch(platform, kind, query).await,
        Method::GET => {
            let list = platform.objects.list(kind).await?;
            let document = DocumentList {
                api_version: wire::API_VERSION.to_owned(),
                kind: format!("{}List", wire::kind_name(kind)),
                metadata: Metadata {
                    resource_version: list.version.to_string(),
                    ..Metadata::default()
                },
                items: list.items.into_iter().map(Document::from).collect(),
            };
            json(StatusCode::OK, &document)
        }
        Method::POST => {
            let document = parse::<Document>(body)?;
            let name = document.metadata.name.clone();
            put(platform, kind, &name, document, Expect::Absent).await
        }
        _ => Err(Failure::NotFound),
    }
}

async fn route_object(platform: &StandInPlatform, method: &Method, kind: Kind, name: &str, body: &[u8]) -> Outcome {
    match *method {
        Method::GET => {
            let object = platform.objects.get(kind, name).await?.ok_or(Failure::NotFound)?;
            json(StatusCode::OK, &Document::from(object))
        }
        Method::PUT => {
            let document = parse::<Document>(body)?;
            let version = document.metadata.version()?;
            put(platform, kind, name, document, Expect::Version(version)).await
        }
        Method::DELETE => {
            let options = parse::<DeleteOptions>(body)?;
            let text = options.preconditions.resource_version;
            let version = text
                .parse()
                .map_err(|error| Failure::Invalid(format!("resourceVersion {text:?}: {error}")))?;
            let version = platform.objects.delete(kind, name, version).await?;
            let operation = guava_core::ids::OperationId::new("");
            let document = Document::new(kind, name, Some(version), &operation, serde_json::Value::Null);
            json(StatusCode::OK, &document)
        }
        _ => Err(Failure::NotFound),
    }
}

async fn put(platform: &StandInPlatform, kind: Kind, name: &str, document: Document, expect: Expect) -> Outcome {
    if name.is_empty() {
        return Err(Failure::Invalid("metadata.name is empty".to_owned()));
    }
    let operation = document.operation();
    let put = platform.objects.put(kind, name, &document.spec, expect, &operation);
    let version = match (put.await, expect) {
        (Err(PlatformError::Conflict(Some(current))), Expect::Absent) => return Err(Failure::AlreadyExists(current)),
        (outcome, _) => outcome?,
    };
    let status = match expect {
        Expect::Absent => StatusCode::CREATED,
        Expect::Version(_) => StatusCode::OK,
    };
    let stored = Document::new(kind, name, Some(version), &operation, document.spec);
    json(status, &stored)
}

async fn watch(platform: &StandInPlatform, kind: Kind, query: &str) -> Outcome {
    let since = query_parameter(query, "resourceVersion").and_then(|it| it.parse().ok());
    let since = since.ok_or_else(|| Failure::Invalid("resourceVersion is missing".to_owned()))?;
    let seconds = query_parameter(query, "timeoutSeconds").and_then(|it| it.parse::<f64>().ok());
    let timeout = seconds.and_then(|it| Duration::try_from_secs_f64(it).ok());
    let timeout = timeout.unwrap_or(DEFAULT_WATCH_TIMEOUT).min(MAX_WATCH_TIMEOUT);
    let changes = platform.objects.watch_changes(kind, since, timeout).await?;
    let mut lines = Vec::new();
    for change in changes {
        serde_json::to_writer(&mut lines, &WatchEvent::new(change))?;
        lines.push(b'\n');
    }
    Ok(json_answer(StatusCode::OK, lines))
}

async fn route_vms(platform: &StandInPlatform, method: &Method, rest: &[&str], body: &[u8]) -> Outcome {
    match (method, rest) {
        (&Method::GET, []) => {
            let items = platform.vms.vms().await?;
            json(StatusCode::OK, &VmItems { items })
        }
        (&Method::PUT, [_name]) => {
            platform.vms.set(parse::<VmInfo>(body)?);
            json(StatusCode::OK, &())
        }
        (&Method::DELETE, [name]) => {
            platform.vms.remove(&VmName::new(name));
            json(StatusCode::OK, &())
        }
        _ => Err(Failure::NotFound),
    }
}

async fn route_weights(platform: &StandInPlatform, method: &Method, name: &str, rest: &[&str], body: &[u8]) -> Outcome {
    match (method, rest) {
        (&Method::GET, []) => {
            let checkpoint = platform.weights.checkpoint(name).await?;
            json(StatusCode::OK, &checkpoint.ok_or(Failure::NotFound)?)
        }
        (&Method::PUT, []) => {
            let checkpoint = parse::<NewCheckpoint>(body)?;
            platform.weights.add(name, checkpoint.kind, checkpoint.bytes);
            json(StatusCode::OK, &())
        }
        (&Method::POST, ["fetch"]) => match platform.weights.fetch(name).await {
            Ok(bytes) => json(StatusCode::OK, &Fetched { bytes }),
            Err(PlatformError::Conflict(None)) => Err(Failure::NotFound),
            Err(error) => Err(error.into()),
        },
        _ => Err(Failure::NotFound),
    }
}

fn route_faults(platform: &StandInPlatform, method: &Method, body: &[u8]) -> Outcome {
    if *method == Method::PUT {
        let faults = parse::<PlatformFaults>(body)?;
        faults
            .objects
            .into_iter()
            .for_each(|it| platform.objects.set_faults(it));
        faults.vms.into_iter().for_each(|it| platform.vms.set_faults(it));
        faults
            .weights
            .into_iter()
            .for_each(|it| platform.weights.set_faults(it));
    }
    let faults = PlatformFaults {
        objects: Some(platform.objects.faults()),
        vms: Some(platform.vms.faults()),
        weights: Some(platform.weights.faults()),
    };
    json(StatusCode::OK, &faults)
}

async fn read_body(mut body: RequestBody) -> Result<Vec<u8>, Failure> {
    let mut received = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| Failure::Invalid(error.to_string()))?;
        if received.len() + chunk.len() > BODY_LIMIT_BYTES {
            return Err(Failure::Platform(PlatformError::TooLarge));
        }
        received.extend_from_slice(&chunk);
    }
    Ok(received)
}

/// Value of a query parameter, not percent-decoded: the parameters used here need no decoding.
fn query_parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    Ok(serde_json::from_slice(body)?)
}

impl From<serde_json::Error> for Failure {
    fn from(error: serde_json::Error) -> Self {
        Self::Invalid(error.to_string())
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Outcome {
    Ok(json_answer(status, serde_json::to_vec(value)?))
}

fn json_answer(status: StatusCode, body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(ResponseBody::bytes(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn failure_answer(failure: Failure) -> HttpResponse {
    let status = match failure {
        Failure::NotFound => Status::failure(404, "NotFound", "not found".to_owned()),
        Failure::Invalid(message) => Status::failure(400, "BadRequest", message),
        Failure::AlreadyExists(current) => conflict_status("AlreadyExists", "already exists".to_owned(), current),
        Failure::Platform(error) => platform_status(&error),
    };
    let code = StatusCode::from_u16(status.code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json_answer(code, serde_json::to_vec(&status).unwrap_or_default())
}

fn conflict_status(reason: &str, message: String, current: u64) -> Status {
    let mut status = Status::failure(409, reason, message);
    status.details.causes.push(Cause {
        reason: wire::CURRENT_VERSION_REASON.to_owned(),
        message: current.to_string(),
    });
    status
}

fn platform_status(error: &PlatformError) -> Status {
    let message = error.to_string();
    match error {
        PlatformError::Conflict(None) => Status::failure(404, "NotFound", message),
        PlatformError::Conflict(Some(current)) => conflict_status("Conflict", message, *current),
        PlatformError::Unavailable(_) => Status::failure(503, "ServiceUnavailable", message),
        PlatformError::OutcomeUnknown(_) => Status::failure(504, "Timeout", message),
        PlatformError::RateLimited => Status::failure(429, "TooManyRequests", message),
        PlatformError::TooLarge => Status::failure(413, "RequestEntityTooLarge", message),
        PlatformError::Expired => Status::failure(410, "Expired", message),
        PlatformError::Malformed(_) => Status::failure(400, "BadRequest", message),
    }
}
