//! State that the tasks and the JSON-RPC methods of a controller share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use guava_core::config::Pool;
use guava_core::ids::{LeaseName, MemberId, PoolName, ReplicaId, ServerName, Term};
use guava_core::orders::Ledger;
use guava_core::plan::{EngineView, Plan};
use guava_core::scheduler::naive::NaiveScheduler;
use guava_core::scheduler::{CostScheduler, Scheduler};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use guava_engine::Engine;
use guava_node::Node;
use guava_objects::VmInfo;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};

use crate::config::ControllerArgs;
use crate::metrics::Metrics;
use crate::store_permits::StorePermits;

/// Confirmations of unsent orders kept for a pool; older terms are dropped first.
const UNSENT_TERMS_KEPT: usize = 64;
/// Age from which an engine's report is no longer used for decisions.
pub const REPORT_STALE_MS: u64 = 3_000;

/// An engine's latest report.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// Report.
    pub view: EngineView,
    /// Time before the report was requested.
    pub requested: Millis,
    /// Whether the plan has not been compared with it yet.
    pub is_new: bool,
}

/// What a pool's worker, its report reader and the JSON-RPC methods share.
#[derive(Debug)]
pub struct PoolState {
    /// Pool.
    pub name: PoolName,
    /// Its lease.
    pub lease: LeaseName,
    /// Loading policy with the demand reports.
    pub scheduler: Mutex<Box<dyn Scheduler>>,
    /// Plan as last confirmed, while this process holds the lease.
    pub plan: RwLock<Option<Arc<Plan>>>,
    /// Latest reports.
    pub engines: Mutex<BTreeMap<ServerName, EngineState>>,
    /// Orders of the present term. Orders of an earlier term keep their own ledger until they are answered.
    pub ledger: RwLock<Arc<Mutex<Ledger>>>,
    /// Confirmations by previous holders that load orders were not sent.
    pub unsent: Mutex<BTreeMap<Term, BTreeSet<ReplicaId>>>,
    /// Wakes the worker.
    pub wake: Notify,
    /// Counts published changes.
    pub changes: watch::Sender<u64>,
}

impl PoolState {
    fn new(name: PoolName, policy: &str) -> Self {
        let scheduler: Box<dyn Scheduler> = if policy == "naive" {
            Box::new(NaiveScheduler::new())
        } else {
            Box::new(CostScheduler::new())
        };
        Self {
            lease: LeaseName::new(format!("pool/{name}")),
            name,
            scheduler: Mutex::new(scheduler),
            plan: RwLock::new(None),
            engines: Mutex::new(BTreeMap::new()),
            ledger: RwLock::new(Arc::default()),
            unsent: Mutex::new(BTreeMap::new()),
            wake: Notify::new(),
            changes: watch::Sender::new(0),
        }
    }

    /// Ledger of the present term.
    pub fn ledger(&self) -> Arc<Mutex<Ledger>> {
        Arc::clone(&self.ledger.read())
    }

    /// Reports that are recent enough to decide by.
    pub fn recent_views(&self, now: Millis) -> BTreeMap<ServerName, EngineView> {
        let engines = self.engines.lock();
        let recent = engines
            .iter()
            .filter(|(_, it)| now.since(it.requested) < REPORT_STALE_MS);
        recent.map(|(name, it)| (name.clone(), it.view.clone())).collect()
    }

    /// Keeps a previous holder's confirmation until it is used.
    pub fn keep_unsent(&self, term: Term, replicas: impl IntoIterator<Item = ReplicaId>) {
        let mut unsent = self.unsent.lock();
        unsent.entry(term).or_default().extend(replicas);
        while unsent.len() > UNSENT_TERMS_KEPT {
            unsent.pop_first();
        }
    }
}

/// State of the controller process.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub args: ControllerArgs,
    /// Process runtime.
    pub node: Node,
    /// Orders and reports.
    pub engine: Arc<dyn Engine>,
    /// Metrics.
    pub metrics: Metrics,
    /// Permits of the weight store.
    pub permits: StorePermits,
    /// Configuration in force.
    pub config: RwLock<Arc<Snapshot>>,
    /// Pools with a worker.
    pub pools: RwLock<BTreeMap<PoolName, Arc<PoolState>>>,
    /// The platform's list of VMs as last read.
    pub vms: RwLock<Arc<Vec<VmInfo>>>,
    /// Becomes true when the controller stops.
    pub stop: watch::Sender<bool>,
}

impl Shared {
    /// Configuration in force.
    pub fn config(&self) -> Arc<Snapshot> {
        Arc::clone(&self.config.read())
    }

    /// The pool's state, created when it is new; the flag tells whether it is.
    pub fn pool(&self, pool: &Pool) -> (Arc<PoolState>, bool) {
        let mut pools = self.pools.write();
        if let Some(known) = pools.get(&pool.name) {
            return (Arc::clone(known), false);
        }
        let state = Arc::new(PoolState::new(pool.name.clone(), &self.args.loading_policy));
        pools.insert(pool.name.clone(), Arc::clone(&state));
        (state, true)
    }

    /// State of a pool that has a worker.
    pub fn known_pool(&self, name: &PoolName) -> Option<Arc<PoolState>> {
        self.pools.read().get(name).map(Arc::clone)
    }

    /// Term under which this process may act for the pool now.
    pub fn held(&self, lease: &LeaseName) -> Option<Term> {
        self.node.leases.held(lease)
    }

    /// Whether the controller is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() || *self.node.shutdown.borrow()
    }

    /// Current time.
    pub fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// This process.
    pub fn me(&self) -> &MemberId {
        &self.node.members.me().id
    }
}
