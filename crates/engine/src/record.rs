//! Record of the orders and requests that a stand-in engine received and of what it did, for tests to check.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use guava_core::ids::{ReplicaId, Term};
use guava_core::{derive_scalar, derive_value};
use http::HeaderMap;
use parking_lot::Mutex;

use crate::{Action, EngineError, Order};

/// Maximum number of entries in each list of requests, calls, orders or replica events; later ones are left out.
/// Counters include them.
pub(crate) const MAX_RECORD_ENTRIES: usize = 200_000;

/// Header that names the organisation a request runs for.
const ORGANISATION_HEADER: &str = "x-guava-organisation";

derive_scalar! {
    /// State of a recorded request.
    #[serde(rename_all = "snake_case")]
    pub enum RequestState {
        /// Waiting for a slot or being processed.
        Running,
        /// The whole answer was passed to the HTTP connection, which may still have been sending it.
        Finished,
        /// The connection closed before the answer was complete.
        Cancelled,
        /// An injected fault truncated the answer.
        Died,
    }
}

derive_scalar! {
    /// Kind of change to a replica.
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaEventKind {
        /// Its memory was reserved and its load started.
        LoadStarted,
        /// Its load finished and it accepts requests.
        Loaded,
        /// Its load failed after it had started.
        LoadFailed,
        /// It was unloaded, its load was cancelled, or its id was ended after a failed load.
        Unloaded,
    }
}

derive_value! {
    /// A change to a replica.
    pub struct ReplicaEvent {
        /// Wall time in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Replica that changed.
        pub replica: ReplicaId,
        /// Name of its adapter, or of its model if it has no adapter.
        pub model: String,
        /// Kind of the change.
        pub event: ReplicaEventKind,
    }

    /// Outcome of an order.
    #[serde(rename_all = "snake_case")]
    pub enum OrderOutcome {
        /// Accepted, whether or not the answer was lost. Also recorded for an order without effect that arrived while
        /// the engine was down.
        Taken,
        /// Refused because its term is older than the newest one seen.
        Fenced,
        /// Refused for the given reason.
        Refused(String),
    }

    /// An order that the engine received.
    pub struct OrderRecord {
        /// Wall time in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Replica that the order applies to; empty for the whole engine.
        pub replica: ReplicaId,
        /// Term of the sender.
        pub term: Term,
        /// What the order asked for.
        pub action: Action,
        /// Whether it was accepted.
        pub outcome: OrderOutcome,
    }

    /// A load order that failed because too little memory was free.
    pub struct Overcommit {
        /// Replica to load.
        pub replica: ReplicaId,
        /// Memory that the order asked for, in bytes.
        pub bytes: u64,
        /// Memory that was free, in bytes.
        pub free: u64,
    }

    /// A request that the engine ran.
    pub struct RequestRecord {
        /// Wall time in milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Value of the `x-request-id` header; `none` without one.
        pub request: String,
        /// Value of the `Idempotency-Key` header.
        pub idempotency_key: Option<String>,
        /// Model or adapter named in the request.
        pub model: String,
        /// Replica that ran it.
        pub replica: ReplicaId,
        /// Value of the `x-guava-organisation` header.
        pub organisation: Option<String>,
        /// Names of all request headers.
        pub headers: Vec<String>,
        /// Latest state.
        pub state: RequestState,
    }

    /// What a stand-in engine has received and done since it started.
    #[derive(Default)]
    pub struct EngineRecord {
        /// Number of loads started.
        pub loads: u64,
        /// Number of loads that succeeded.
        pub loaded: u64,
        /// Number of replicas unloaded, cancelled while loading, or ended after a failed load.
        pub unloads: u64,
        /// Memory that replicas hold now, in bytes.
        pub memory_bytes: u64,
        /// Largest amount of memory held at any time, in bytes.
        pub peak_memory_bytes: u64,
        /// Load orders that failed because too little memory was free.
        pub overcommits: Vec<Overcommit>,
        /// Changes to replicas, in the order in which they happened.
        pub replicas: Vec<ReplicaEvent>,
        /// Orders in the order of arrival.
        pub orders: Vec<OrderRecord>,
        /// Requests in the order of arrival, while recording is enabled.
        pub requests: Vec<RequestRecord>,
        /// Number of requests run, including those that were not recorded.
        pub request_count: u64,
    }
}

/// Collects an engine's record.
#[derive(Debug)]
pub(crate) struct Recorder {
    /// Whether each request is recorded.
    enabled: AtomicBool,
    request_count: AtomicU64,
    record: Mutex<EngineRecord>,
}

/// Index of a request in the record; `None` if it was not recorded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestIndex(Option<usize>);

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

    pub(crate) fn snapshot(&self) -> EngineRecord {
        let mut record = self.record.lock().clone();
        record.request_count = self.request_count.load(Ordering::Relaxed);
        record
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut EngineRecord)) {
        change(&mut self.record.lock());
    }

    pub(crate) fn record_replica_event(&self, replica: &ReplicaId, model: &str, event: ReplicaEventKind) {
        let mut record = self.record.lock();
        match event {
            ReplicaEventKind::LoadStarted => record.loads += 1,
            ReplicaEventKind::Loaded => record.loaded += 1,
            ReplicaEventKind::Unloaded => record.unloads += 1,
            ReplicaEventKind::LoadFailed => (),
        }
        if record.replicas.len() < MAX_RECORD_ENTRIES {
            record.replicas.push(ReplicaEvent {
                wall_ms: wall_ms(),
                replica: replica.clone(),
                model: model.to_owned(),
                event,
            });
        }
    }

    pub(crate) fn record_order(&self, order: &Order, result: &Result<(), EngineError>) {
        let outcome = match result {
            Err(EngineError::Fenced(_)) => OrderOutcome::Fenced,
            Err(EngineError::Refused(reason)) => OrderOutcome::Refused(reason.clone()),
            _ => OrderOutcome::Taken,
        };
        let mut record = self.record.lock();
        if record.orders.len() < MAX_RECORD_ENTRIES {
            record.orders.push(OrderRecord {
                wall_ms: wall_ms(),
                replica: order.replica.clone(),
                term: order.term,
                action: order.action.clone(),
                outcome,
            });
        }
    }

    /// Counts a request, and records it as running if recording is enabled and the list is not full.
    pub(crate) fn start_request(
        &self,
        request_id: &str,
        model: &str,
        replica: &ReplicaId,
        headers: &HeaderMap,
    ) -> RequestIndex {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        if !self.enabled.load(Ordering::Relaxed) {
            return RequestIndex(None);
        }
        let entry = RequestRecord {
            wall_ms: wall_ms(),
            request: request_id.to_owned(),
            idempotency_key: header(headers, "idempotency-key"),
            model: model.to_owned(),
            replica: replica.clone(),
            organisation: header(headers, ORGANISATION_HEADER),
            headers: header_names(headers),
            state: RequestState::Running,
        };
        let mut record = self.record.lock();
        if record.requests.len() >= MAX_RECORD_ENTRIES {
            return RequestIndex(None);
        }
        record.requests.push(entry);
        RequestIndex(Some(record.requests.len() - 1))
    }

    /// Records the final state of a request; does nothing if it was not recorded.
    pub(crate) fn end_request(&self, request_index: RequestIndex, state: RequestState) {
        let Some(index) = request_index.0 else { return };
        if let Some(entry) = self.record.lock().requests.get_mut(index) {
            entry.state = state;
        }
    }
}

/// Wall time in milliseconds since the Unix epoch; 0 if the clock is set before it.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Value of a header, with invalid UTF-8 replaced.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Distinct names of all headers.
pub(crate) fn header_names(headers: &HeaderMap) -> Vec<String> {
    headers.keys().map(|name| name.as_str().to_owned()).collect()
}
