//! Stand-in of a plain service: it counts each call by the id in its query or body.

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

use crate::front::{AnswerBody, Cut, Front, Handler, HttpAnswer, Outage, json, parameter, read_body, refusal, serve};
use crate::record::{RECORD_LIMIT, RequestState, header, header_names, wall_ms};
use crate::settings::EngineFaults;

derive_value! {
    /// A call as it arrived.
    pub struct CallRecord {
        /// Wall time in milliseconds since the epoch.
        pub wall_ms: u64,
        /// Id in the query or body; empty when there is none.
        pub id: String,
        /// Method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// `x-request-id`.
        pub request: Option<String>,
        /// `Idempotency-Key`.
        pub idempotency_key: Option<String>,
        /// `x-guava-organisation`.
        pub organisation: Option<String>,
        /// Names of all headers.
        pub headers: Vec<String>,
        /// State.
        pub state: RequestState,
    }

    /// Record of a stand-in service.
    #[derive(Default)]
    pub struct ServiceRecord {
        /// Number of times each id took effect.
        pub counts: BTreeMap<String, u64>,
        /// Calls in order of arrival.
        pub calls: Vec<CallRecord>,
    }

    /// Body of `PUT /record`.
    struct Recording {
        enabled: bool,
    }

    /// Answer to a call.
    struct CallAnswer<'a> {
        #[serde(borrow)]
        id: std::borrow::Cow<'a, str>,
        count: u64,
        request: Option<String>,
    }
}

/// Stand-in of a plain service.
#[derive(Debug)]
pub struct StandInService {
    /// Time a call takes, in milliseconds.
    latency_ms: u64,
    faults: Mutex<EngineFaults>,
    down: watch::Sender<bool>,
    recording: AtomicBool,
    record: Mutex<ServiceRecord>,
}

impl StandInService {
    /// Creates a service whose calls take `latency_ms`.
    pub fn new(latency_ms: u64) -> Arc<Self> {
        Arc::new(Self {
            latency_ms,
            faults: Mutex::default(),
            down: watch::Sender::new(false),
            recording: AtomicBool::new(true),
            record: Mutex::default(),
        })
    }

    /// Replaces the faults in force; those about loads and orders have no meaning here.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.down.send_replace(faults.down);
        *self.faults.lock() = faults;
    }

    /// Faults in force.
    pub fn faults(&self) -> EngineFaults {
        self.faults.lock().clone()
    }

    /// Calls seen so far.
    pub fn record(&self) -> ServiceRecord {
        self.record.lock().clone()
    }

    /// Switches the record of single calls on or off; counts by id go on.
    pub fn set_recording(&self, enabled: bool) {
        self.recording.store(enabled, Ordering::Relaxed);
    }

    /// Lets a call take effect and returns how often its id has, with the call's place in the record.
    fn take_effect(&self, id: &str, parts: &Parts) -> (u64, Option<usize>) {
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
        let call = call.filter(|_| record.calls.len() < RECORD_LIMIT);
        let index = call.map(|call| {
            record.calls.push(call);
            record.calls.len() - 1
        });
        (count, index)
    }

    async fn call(&self, parts: &Parts, body: &[u8]) -> HttpAnswer {
        let id = call_id(parts, body);
        let (count, index) = self.take_effect(&id, parts);
        let mut ending = Ending {
            service: self,
            index,
            state: RequestState::Cancelled,
        };
        let (faults, death) = {
            let mut faults = self.faults.lock();
            let death = faults.take_death();
            (faults.clone(), death)
        };
        let work = faults.slowed(Duration::from_millis(self.latency_ms));
        let delay = work + Duration::from_millis(faults.answer_late_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if let Some(tokens) = death {
            ending.state = RequestState::Died;
            return cut(&id, count, tokens);
        }
        ending.state = RequestState::Finished;
        let answer = CallAnswer {
            id: id.into(),
            count,
            request: header(&parts.headers, "x-request-id"),
        };
        Ok(json(StatusCode::OK, &answer))
    }

    fn answer_faults(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<EngineFaults>(body) {
            Ok(faults) => {
                self.set_faults(faults);
                json(StatusCode::OK, &self.faults())
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_faults", &error.to_string()),
        }
    }

    fn answer_recording(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<Recording>(body) {
            Ok(recording) => {
                self.set_recording(recording.enabled);
                json(StatusCode::OK, &recording)
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_body", &error.to_string()),
        }
    }
}

/// Writes the end of a call into the record, also when it is cancelled.
struct Ending<'a> {
    service: &'a StandInService,
    index: Option<usize>,
    state: RequestState,
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        let Some(index) = self.index else { return };
        if let Some(call) = self.service.record.lock().calls.get_mut(index) {
            call.state = self.state;
        }
    }
}

/// Part of an answer and a closed connection, or only the latter.
fn cut(id: &str, count: u64, tokens: u32) -> HttpAnswer {
    if tokens == 0 {
        return Err(Cut::Fault);
    }
    let body = format!("{{\"id\":{},\"count\":{count},", serde_json::Value::from(id));
    let pieces = futures::stream::iter([Ok(body.into()), Err(Cut::Fault)]);
    let body = AnswerBody::Pieces(Box::pin(pieces));
    Ok(crate::front::answer(StatusCode::OK, "application/json", body))
}

fn call_id(parts: &Parts, body: &[u8]) -> String {
    if let Some(id) = parameter(parts.uri.query(), "id") {
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
            (&Method::GET, "/record") => Ok(json(StatusCode::OK, &self.record())),
            (&Method::PUT, "/record") => Ok(self.answer_recording(&body)),
            (&Method::GET, "/faults") => Ok(json(StatusCode::OK, &self.faults())),
            (&Method::PUT, "/faults") => Ok(self.answer_faults(&body)),
            _ => self.call(&parts, &body).await,
        }
    }

    fn watch_down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }
}

/// Serves a plain service on `addr` in the current runtime.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_service(service: &Arc<StandInService>, addr: SocketAddr) -> io::Result<Front> {
    serve(Arc::clone(service), addr, Outage::Obey).await
}

/// Serves a plain service on a second address that stays open while the `down` fault is in force.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_service_control(service: &Arc<StandInService>, addr: SocketAddr) -> io::Result<Front> {
    serve(Arc::clone(service), addr, Outage::Ignore).await
}
