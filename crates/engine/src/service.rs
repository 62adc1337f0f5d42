//! Stand-in for a plain service. It counts how often it was called with each id, given in the query or the body.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use guava_core::derive_value;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::front::{
    AbortReason, AnswerBody, Handler, HttpAnswer, OnDown, ServerHandle, json_answer, query_parameter, read_body,
    refusal, serve,
};
use crate::record::{MAX_RECORD_ENTRIES, RequestState, header, header_names, wall_ms};
use crate::settings::EngineFaults;

derive_value! {
    /// A call that the service received.
    pub struct CallRecord {
        /// Wall time of its arrival in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Id in the query or the body; empty if there is none.
        pub id: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Value of the `x-request-id` header.
        pub request: Option<String>,
        /// Value of the `Idempotency-Key` header.
        pub idempotency_key: Option<String>,
        /// Value of the `x-guava-organisation` header.
        pub organisation: Option<String>,
        /// Names of all request headers.
        pub headers: Vec<String>,
        /// Latest state.
        pub state: RequestState,
    }

    /// What a stand-in service has received since it started.
    #[derive(Default)]
    pub struct ServiceRecord {
        /// Number of calls for each id, including those without a complete answer.
        pub counts: BTreeMap<String, u64>,
        /// Calls in the order of arrival, while recording is enabled.
        pub calls: Vec<CallRecord>,
    }

    /// Body of `PUT /record`.
    struct Recording {
        enabled: bool,
    }

    /// Body of the answer to a call. `count` is the number of calls with this id so far.
    struct CallAnswer<'a> {
        #[serde(borrow)]
        id: std::borrow::Cow<'a, str>,
        count: u64,
        request: Option<String>,
    }
}

/// Stand-in for a plain service.
#[derive(Debug)]
pub struct StandInService {
    /// Duration of a call.
    latency_ms: u64,
    faults: Mutex<EngineFaults>,
    down: watch::Sender<bool>,
    recording: AtomicBool,
    record: Mutex<ServiceRecord>,
}

impl StandInService {
    /// Creates a service whose calls take `latency_ms` milliseconds.
    pub fn new(latency_ms: u64) -> Arc<Self> {
        Arc::new(Self {
            latency_ms,
            faults: Mutex::default(),
            down: watch::Sender::new(false),
            recording: AtomicBool::new(true),
            record: Mutex::default(),
        })
    }

    /// Replaces all faults in force. Those that concern loads, orders or reports have no effect on a service.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.down.send_replace(faults.down);
        *self.faults.lock() = faults;
    }

    /// Returns the faults in force; the defaults if there are none.
    pub fn faults(&self) -> EngineFaults {
        self.faults.lock().clone()
    }

    /// Returns what the service has received since it started.
    pub fn record(&self) -> ServiceRecord {
        self.record.lock().clone()
    }

    /// Enables or disables the recording of each call. Calls are counted by id in either case.
    pub fn set_recording(&self, enabled: bool) {
        self.recording.store(enabled, Ordering::Relaxed);
    }

    /// Counts a call and records it if recording is enabled. Returns the number of calls with this id so far, and the
    /// call's index in the record, if any.
    fn count_call(&self, id: &str, parts: &Parts) -> (u64, Option<usize>) {
        let call = self.recording.load(Ordering::Relaxed).then(|| CallRecord {
            wall_ms: wall_ms(),
            id: id.to_owned(),
            method: parts.method.to_string(),
            path: parts.uri.to_string(),
            request: header(&parts.headers, "x-request-id"),
            idempotency_key: header(&parts.headers, "idempotency-key"),
            organisation: header(&parts.headers, "x-guava-organisation"),
            headers: header_names(&parts.headers),
            state: RequestState::Running,
        });
        let mut record = self.record.lock();
        let count = record.counts.entry(id.to_owned()).or_default();
        *count += 1;
        let count = *count;
        let call = call.filter(|_| record.calls.len() < MAX_RECORD_ENTRIES);
        let index = call.map(|call| {
            record.calls.push(call);
            record.calls.len() - 1
        });
        (count, index)
    }

    async fn handle_call(&self, parts: &Parts, body: &[u8]) -> HttpAnswer {
        let id = call_id(parts, body);
        let (count, index) = self.count_call(&id, parts);
        let mut call_guard = CallGuard {
            service: self,
            index,
            state: RequestState::Cancelled,
        };
        let (faults, cut_after_tokens) = {
            let mut faults = self.faults.lock();
            let cut_after_tokens = faults.consume_truncation();
            (faults.clone(), cut_after_tokens)
        };
        let work = faults.apply_slowdown(Duration::from_millis(self.latency_ms));
        let delay = work + Duration::from_millis(faults.answer_late_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if let Some(tokens) = cut_after_tokens {
            call_guard.state = RequestState::Died;
            return truncated_answer(&id, count, tokens);
        }
        call_guard.state = RequestState::Finished;
        let answer = CallAnswer {
            id: id.into(),
            count,
            request: header(&parts.headers, "x-request-id"),
        };
        Ok(json_answer(StatusCode::OK, &answer))
    }

    fn handle_faults(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<EngineFaults>(body) {
            Ok(faults) => {
                self.set_faults(faults);
                json_answer(StatusCode::OK, &self.faults())
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_faults", &error.to_string()),
        }
    }

    fn handle_recording(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<Recording>(body) {
            Ok(recording) => {
                self.set_recording(recording.enabled);
                json_answer(StatusCode::OK, &recording)
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_body", &error.to_string()),
        }
    }
}

/// Records the final state of a call when dropped, even if the call is cancelled.
struct CallGuard<'a> {
    service: &'a StandInService,
    index: Option<usize>,
    state: RequestState,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let Some(index) = self.index else { return };
        if let Some(call) = self.service.record.lock().calls.get_mut(index) {
            call.state = self.state;
        }
    }
}

/// Sends the beginning of an answer and closes the connection, or only closes it if the fault allows no token.
fn truncated_answer(id: &str, count: u64, tokens: u32) -> HttpAnswer {
    if tokens == 0 {
        return Err(AbortReason::InjectedFault);
    }
    let body = format!("{{\"id\":{},\"count\":{count},", serde_json::Value::from(id));
    let chunks = futures::stream::iter([Ok(body.into()), Err(AbortReason::InjectedFault)]);
    let body = AnswerBody::Chunks(Box::pin(chunks));
    Ok(crate::front::answer(StatusCode::OK, "application/json", body))
}

/// Id in the query, or else in the JSON body; empty if there is none.
fn call_id(parts: &Parts, body: &[u8]) -> String {
    if let Some(id) = query_parameter(parts.uri.query(), "id") {
        return id.to_owned();
    }
    let parsed = serde_json::from_slice::<serde_json::Value>(body).unwrap_or_default();
    match &parsed["id"] {
        serde_json::Value::String(id) => id.clone(),
        serde_json::Value::Null => String::new(),
        other => other.to_string(),
    }
}

impl Handler for StandInService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        let (parts, body) = request.into_parts();
        let Some(body) = read_body(body).await? else {
            return Ok(refusal(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "body too large"));
        };
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/record") => Ok(json_answer(StatusCode::OK, &self.record())),
            (&Method::PUT, "/record") => Ok(self.handle_recording(&body)),
            (&Method::GET, "/faults") => Ok(json_answer(StatusCode::OK, &self.faults())),
            (&Method::PUT, "/faults") => Ok(self.handle_faults(&body)),
            _ => self.handle_call(&parts, &body).await,
        }
    }

    fn watch_down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }
}

/// Serves a plain service on `addr` in the current Tokio runtime. The `down` fault closes the listener and all
/// connections.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_service(service: &Arc<StandInService>, addr: SocketAddr) -> io::Result<ServerHandle> {
    serve(Arc::clone(service), addr, OnDown::Close).await
}

/// Serves a plain service on another address that stays open while the `down` fault is in force, so that the fault
/// can be ended.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_service_control(service: &Arc<StandInService>, addr: SocketAddr) -> io::Result<ServerHandle> {
    serve(Arc::clone(service), addr, OnDown::StayOpen).await
}
