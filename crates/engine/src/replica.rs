//! Replicas of a stand-in engine.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Instant;

use guava_core::ids::{AdapterName, ModelName, ReplicaId};
use tokio::task::AbortHandle;

use crate::batch::Batch;
use crate::standin::StandInEngine;
use crate::{EngineReplica, EngineReplicaState};

/// A loaded replica, which runs requests.
#[derive(Debug)]
pub(crate) struct ServingReplica {
    pub(crate) id: ReplicaId,
    /// Slots for running requests; an adapter shares those of its base model.
    pub(crate) batch: Arc<Batch>,
    /// Number of requests running or waiting.
    pub(crate) active: AtomicU32,
    /// Number of requests waiting for a slot.
    pub(crate) waiting: AtomicU32,
    /// Set by an unload order: new requests are refused, and the last one to finish ends the replica.
    pub(crate) draining: AtomicBool,
}

impl ServingReplica {
    pub(crate) fn request_count(&self) -> RequestCount {
        let waiting = self.waiting.load(Ordering::Relaxed);
        let active = self.active.load(Ordering::Relaxed);
        RequestCount {
            running: active.saturating_sub(waiting),
            waiting,
        }
    }
}

/// Counts a request as active at a replica. Dropping the last guard of a draining replica ends the replica.
#[derive(Debug)]
pub(crate) struct ReplicaGuard {
    pub(crate) engine: Arc<StandInEngine>,
    pub(crate) replica: Arc<ServingReplica>,
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        let was_last = self.replica.active.fetch_sub(1, Ordering::SeqCst) == 1;
        if was_last && self.replica.draining.load(Ordering::SeqCst) {
            self.engine.finish_drain(&self.replica.id);
        }
    }
}

/// What the engine remembers about a replica id, in any state.
#[derive(Debug)]
pub(crate) struct ReplicaEntry {
    pub(crate) state: ReplicaState,
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) bytes: u64,
    /// Loaded replica of the base model; `None` unless this is an adapter.
    pub(crate) base: Option<Arc<ServingReplica>>,
    /// Set from the end of the load until the replica has ended.
    pub(crate) serving: Option<Arc<ServingReplica>>,
    /// Task of a load that is running.
    pub(crate) load_task: Option<AbortHandle>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicaState {
    Loading,
    Ready,
    /// Unloaded by an order; memory is held until the remaining requests have finished. Reported as ready.
    Draining,
    Failed,
    Ended,
}

impl ReplicaEntry {
    /// Name under which requests address the replica: its adapter, or its model if it has no adapter.
    pub(crate) fn served_name(&self) -> &str {
        self.adapter.as_ref().map_or(self.model.as_str(), AdapterName::as_str)
    }

    /// Entry of the engine's report, with the request counts left at 0.
    pub(crate) fn to_report(&self, id: &ReplicaId) -> EngineReplica {
        let state = match self.state {
            ReplicaState::Loading => EngineReplicaState::Loading,
            ReplicaState::Ready | ReplicaState::Draining => EngineReplicaState::Ready,
            ReplicaState::Failed => EngineReplicaState::Failed,
            ReplicaState::Ended => EngineReplicaState::Ended,
        };
        EngineReplica {
            replica: id.clone(),
            state,
            model: self.model.clone(),
            version: self.version,
            adapter: self.adapter.clone(),
            bytes: self.bytes,
            running: 0,
            waiting: 0,
        }
    }

    /// Entry for a replica id that must never be loaded: it was cancelled before its load order arrived, or the load
    /// order was refused.
    pub(crate) fn cancelled() -> Self {
        Self {
            state: ReplicaState::Ended,
            model: ModelName::new(""),
            version: 0,
            adapter: None,
            bytes: 0,
            base: None,
            serving: None,
            load_task: None,
        }
    }
}

/// Number of requests at each loaded replica when they were last counted.
#[derive(Debug)]
pub(crate) struct RequestCounts {
    pub(crate) counted_at: Instant,
    pub(crate) requests: HashMap<ReplicaId, RequestCount>,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RequestCount {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

impl RequestCounts {
    /// Copies a report entry with its request counts filled in; 0 for replicas that were not counted.
    pub(crate) fn with_counts(&self, replica: &EngineReplica) -> EngineReplica {
        let request_count = self.requests.get(&replica.replica).copied().unwrap_or_default();
        EngineReplica {
            running: request_count.running,
            waiting: request_count.waiting,
            ..replica.clone()
        }
    }
}
