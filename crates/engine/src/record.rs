//! What a stand-in engine was asked and did, for tests to assert on.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use guava_core::ids::{ReplicaId, Term};
use guava_core::{derive_scalar, derive_value};
use http::HeaderMap;
use parking_lot::Mutex;

use crate::{Action, EngineError, Order};

/// Requests and orders kept; later ones are only counted.
pub(crate) const RECORD_LIMIT: usize = 200_000;

/// Header with the organisation a request runs for.
const ORGANISATION_HEADER: &str = "x-guava-organisation";

derive_scalar! {
    /// How a recorded request stands.
    #[serde(rename_all = "snake_case")]
    pub enum RequestState {
        /// Waits or runs.
        Running,
        /// The whole answer was handed to the connection.
        Finished,
        /// The connection closed before the answer was whole.
        Cancelled,
        /// A fault cut the answer.
        Died,
    }
}

derive_scalar! {
    /// What happened to a replica.
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaEventKind {
        /// Its memory was taken and its load started.
        LoadStarted,
        /// It is ready.
        Loaded,
        /// Its load failed.
        LoadFailed,
        /// It was unloaded or its load was cancelled.
        Unloaded,
    }
}

derive_value! {
    /// A change of a replica.
    pub struct ReplicaEvent {
        /// Wall time in milliseconds since the epoch.
        pub wall_ms: u64,
        /// Replica.
        pub replica: ReplicaId,
        /// Model or adapter.
        pub model: String,
        /// Change.
        pub event: ReplicaEventKind,
    }

    /// How an order was answered.
    #[serde(rename_all = "snake_case")]
    pub enum OrderOutcome {
        /// Taken.
        Taken,
        /// Refused because of its term.
        Fenced,
        /// Refused for another reason.
        Refused(String),
    }

    /// An order as it arrived.
    pub struct OrderRecord {
        /// Wall time in milliseconds since the epoch.
        pub wall_ms: u64,
        /// Replica.
        pub replica: ReplicaId,
        /// Term.
        pub term: Term,
        /// Action.
        pub action: Action,
        /// Answer.
        pub outcome: OrderOutcome,
    }

    /// A load that did not fit into memory.
    pub struct Overcommit {
        /// Replica.
        pub replica: ReplicaId,
        /// Bytes it asked for.
        pub bytes: u64,
        /// Bytes that were free.
        pub free: u64,
    }

    /// A request as it arrived.
    pub struct RequestRecord {
        /// Wall time in milliseconds since the epoch.
        pub wall_ms: u64,
        /// `x-request-id`.
        pub request: String,
        /// `Idempotency-Key`.
        pub idempotency_key: Option<String>,
        /// Model or adapter.
        pub model: String,
        /// Replica that ran it.
        pub replica: ReplicaId,
        /// `x-guava-organisation`.
        pub organisation: Option<String>,
        /// Names of all headers.
        pub headers: Vec<String>,
        /// State.
        pub state: RequestState,
    }

    /// Record of a stand-in engine.
    #[derive(Default)]
    pub struct EngineRecord {
        /// Loads started.
        pub loads: u64,
        /// Loads finished.
        pub loaded: u64,
        /// Replicas unloaded or cancelled.
        pub unloads: u64,
        /// Memory held now, in bytes.
        pub memory_bytes: u64,
        /// Most memory held, in bytes.
        pub peak_memory_bytes: u64,
        /// Loads that did not fit into memory.
        pub overcommits: Vec<Overcommit>,
        /// Changes of replicas.
        pub replicas: Vec<ReplicaEvent>,
        /// Orders in order of arrival.
        pub orders: Vec<OrderRecord>,
        /// Requests in order of arrival.
        pub requests: Vec<RequestRecord>,
        /// Number of requests run, also while single ones are not recorded.
        pub request_count: u64,
    }
}

/// Collects the record of an engine.
#[derive(Debug)]
pub(crate) struct Recorder {
    enabled: AtomicBool,
    request_count: AtomicU64,
    record: Mutex<EngineRecord>,
}

/// Place of a request in the record.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestSlot(Option<usize>);

impl Recorder {
    pub(crate) fn new(enabled: bool) -> Self {
        Self {
            enabled: AtomicBool::new(enabled),
            request_count: AtomicU64::new(0),
            record: Mutex::default(),
        }
    }

    pub(crate) fn set_enabled(&self, enabled: bool) {
        self.enabled.store(enabled, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> EngineRecord {
        let mut record = self.record.lock().clone();
        record.request_count = self.request_count.load(Ordering::Relaxed);
        record
    }

    pub(crate) fn edit(&self, change: impl FnOnce(&mut EngineRecord)) {
        change(&mut self.record.lock());
    }

    pub(crate) fn replica(&self, replica: &ReplicaId, model: &str, event: ReplicaEventKind) {
        let mut record = self.record.lock();
        match event {
            ReplicaEventKind::LoadStarted => record.loads += 1,
            ReplicaEventKind::Loaded => record.loaded += 1,
            ReplicaEventKind::Unloaded => record.unloads += 1,
            ReplicaEventKind::LoadFailed => (),
        }
        if record.replicas.len() < RECORD_LIMIT {
            record.replicas.push(ReplicaEvent {
                wall_ms: wall_ms(),
                replica: replica.clone(),
                model: model.to_owned(),
                event,
            });
        }
    }

    pub(crate) fn order(&self, order: &Order, result: &Result<(), EngineError>) {
        let outcome = match result {
            Err(EngineError::Fenced(_)) => OrderOutcome::Fenced,
            Err(EngineError::Refused(reason)) => OrderOutcome::Refused(reason.clone()),
            _ => OrderOutcome::Taken,
        };
        let mut record = self.record.lock();
        if record.orders.len() < RECORD_LIMIT {
            record.orders.push(OrderRecord {
                wall_ms: wall_ms(),
                replica: order.replica.clone(),
                term: order.term,
                action: order.action.clone(),
                outcome,
            });
        }
    }

    pub(crate) fn request(&self, request: &str, model: &str, replica: &ReplicaId, headers: &HeaderMap) -> RequestSlot {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        if !self.enabled.load(Ordering::Relaxed) {
            return RequestSlot(None);
        }
        let entry = RequestRecord {
            wall_ms: wall_ms(),
            request: request.to_owned(),
            idempotency_key: header(headers, "idempotency-key"),
            model: model.to_owned(),
            replica: replica.clone(),
            organisation: header(headers, ORGANISATION_HEADER),
            headers: header_names(headers),
            state: RequestState::Running,
        };
        let mut record = self.record.lock();
        if record.requests.len() >= RECORD_LIMIT {
            return RequestSlot(None);
        }
        record.requests.push(entry);
        RequestSlot(Some(record.requests.len() - 1))
    }

    pub(crate) fn end_request(&self, slot: RequestSlot, state: RequestState) {
        let Some(index) = slot.0 else { return };
        if let Some(entry) = self.record.lock().requests.get_mut(index) {
            entry.state = state;
        }
    }
}

/// Wall time in milliseconds since the epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// Text of a header, lossily decoded.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Names of all headers.
pub(crate) fn header_names(headers: &HeaderMap) -> Vec<String> {
    headers.keys().map(|name| name.as_str().to_owned()).collect()
}
