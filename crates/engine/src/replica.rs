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

/// A replica that takes requests.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) id: ReplicaId,
    /// Slots; an adapter shares those of its model.
    pub(crate) batch: Arc<Batch>,
    /// Requests running or waiting.
    pub(crate) active: AtomicU32,
    /// Requests waiting.
    pub(crate) waiting: AtomicU32,
    pub(crate) closing: AtomicBool,
}

impl Replica {
    pub(crate) fn count(&self) -> RequestCount {
        let waiting = self.waiting.load(Ordering::Relaxed);
        let active = self.active.load(Ordering::Relaxed);
        RequestCount {
            running: active.saturating_sub(waiting),
            waiting,
        }
    }
}

/// A request's place at a replica; dropping it may end a drain.
#[derive(Debug)]
pub(crate) struct ReplicaGuard {
    pub(crate) engine: Arc<StandInEngine>,
    pub(crate) replica: Arc<Replica>,
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        let was_last = self.replica.active.fetch_sub(1, Ordering::SeqCst) == 1;
        if was_last && self.replica.closing.load(Ordering::SeqCst) {
            self.engine.finish_drain(&self.replica.id);
        }
    }
}

/// A replica in any state.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) state: HeldState,
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) bytes: u64,
    /// Replica of the model that an adapter belongs to.
    pub(crate) base: Option<Arc<Replica>>,
    pub(crate) replica: Option<Arc<Replica>>,
    pub(crate) load: Option<AbortHandle>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldState {
    Loading,
    Ready,
    /// Unloaded by order, held until its running requests have finished.
    Draining,
    Failed,
    Ended,
}

impl Held {
    pub(crate) fn name(&self) -> &str {
        self.adapter.as_ref().map_or(self.model.as_str(), AdapterName::as_str)
    }

    pub(crate) fn report(&self, id: &ReplicaId) -> EngineReplica {
        let state = match self.state {
            HeldState::Loading => EngineReplicaState::Loading,
            HeldState::Ready | HeldState::Draining => EngineReplicaState::Ready,
            HeldState::Failed => EngineReplicaState::Failed,
            HeldState::Ended => EngineReplicaState::Ended,
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

    /// A replica id that was cancelled before its load order came.
    pub(crate) fn cancelled() -> Self {
        Self {
            state: HeldState::Ended,
            model: ModelName::new(""),
            version: 0,
            adapter: None,
            bytes: 0,
            base: None,
            replica: None,
            load: None,
        }
    }
}

/// Requests at each replica when they were last counted.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) at: Instant,
    pub(crate) requests: HashMap<ReplicaId, RequestCount>,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RequestCount {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

impl Counts {
    pub(crate) fn add_to(&self, replica: &EngineReplica) -> EngineReplica {
        let count = self.requests.get(&replica.replica).copied().unwrap_or_default();
        EngineReplica {
            running: count.running,
            waiting: count.waiting,
            ..replica.clone()
        }
    }
}
