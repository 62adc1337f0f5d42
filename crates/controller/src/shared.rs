//! State shared by the tasks and the JSON-RPC methods of a controller.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use guava_core::config::Pool;
use guava_core::ids::{LeaseName, MemberId, PoolName, ReplicaId, ServerName, Term};
use guava_core::orders::OrderLedger;
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

/// Maximum number of terms for which a pool keeps unsent load orders; the oldest terms are dropped first.
const MAX_UNSENT_TERMS: usize = 64;
/// Age in milliseconds at which an engine's report is stale and no longer used for decisions.
pub const REPORT_STALE_MS: u64 = 3_000;

/// The latest report received from an engine.
#[derive(Debug, Clone)]
pub struct ReceivedReport {
    /// Contents of the report.
    pub view: EngineView,
    /// Time at which the report was requested. The reported state may be older by the engine's lag, which is at most
    /// `REPORT_LAG_LIMIT_MS`.
    pub requested_at: Millis,
    /// Whether the worker has not applied the report to the plan yet.
    pub is_unprocessed: bool,
}

/// State of one pool, shared by its worker, the task that requests reports, and the JSON-RPC methods.
#[derive(Debug)]
pub struct PoolState {
    /// Name of the pool.
    pub name: PoolName,
    /// Lease of the pool.
    pub lease: LeaseName,
    /// Loading policy, which also keeps the demand reports.
    pub scheduler: Mutex<Box<dyn Scheduler>>,
    /// Last confirmed plan of the current term; `None` until this process has taken over the plan.
    pub plan: RwLock<Option<Arc<Plan>>>,
    /// Latest report of each engine since the last take-over.
    pub engines: Mutex<BTreeMap<ServerName, ReceivedReport>>,
    /// Ledger of the current term's orders. Orders of an earlier term keep a reference to their own ledger until they
    /// are answered.
    pub ledger: RwLock<Arc<Mutex<OrderLedger>>>,
    /// Replicas whose load orders were never sent, as confirmed by previous holders, by the term of those orders.
    pub unsent: Mutex<BTreeMap<Term, BTreeSet<ReplicaId>>>,
    /// Starts the worker's next round without waiting for the end of its interval.
    pub wake: Notify,
    /// Number of publications of placements; demand reports that wait for a replica subscribe to it.
    pub publications: watch::Sender<u64>,
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
            publications: watch::Sender::new(0),
        }
    }

    /// Ledger of the current term's orders.
    pub fn ledger(&self) -> Arc<Mutex<OrderLedger>> {
        Arc::clone(&self.ledger.read())
    }

    /// Reports that are not stale, by server.
    pub fn recent_views(&self, now: Millis) -> BTreeMap<ServerName, EngineView> {
        let engines = self.engines.lock();
        let recent = engines
            .iter()
            .filter(|(_, it)| now.since(it.requested_at) < REPORT_STALE_MS);
        recent.map(|(name, it)| (name.clone(), it.view.clone())).collect()
    }

    /// Adds replicas whose load orders were never sent in `term`. They are applied to the plan in every round while
    /// this process holds the lease.
    pub fn add_unsent(&self, term: Term, replicas: impl IntoIterator<Item = ReplicaId>) {
        let mut unsent = self.unsent.lock();
        unsent.entry(term).or_default().extend(replicas);
        while unsent.len() > MAX_UNSENT_TERMS {
            unsent.pop_first();
        }
    }
}

/// State of the controller process.
#[derive(Debug)]
pub struct Shared {
    /// Validated settings.
    pub args: ControllerArgs,
    /// Process runtime.
    pub node: Node,
    /// Client for orders to engines and for their reports.
    pub engine: Arc<dyn Engine>,
    /// Metric instruments.
    pub metrics: Metrics,
    /// Permits for loads from the weight store.
    pub permits: StorePermits,
    /// Current configuration.
    pub config: RwLock<Arc<Snapshot>>,
    /// State of every pool that has a worker.
    pub pools: RwLock<BTreeMap<PoolName, Arc<PoolState>>>,
    /// The platform's list of VMs as last read; empty before the first read.
    pub vms: RwLock<Arc<Vec<VmInfo>>>,
    /// Becomes true when [`ControllerHandle::stop`](crate::ControllerHandle::stop) is called.
    pub stop: watch::Sender<bool>,
}

impl Shared {
    /// Current configuration.
    pub fn config(&self) -> Arc<Snapshot> {
        Arc::clone(&self.config.read())
    }

    /// Returns the pool's state, and true when this call created it.
    pub fn get_or_create_pool(&self, pool: &Pool) -> (Arc<PoolState>, bool) {
        let mut pools = self.pools.write();
        if let Some(existing) = pools.get(&pool.name) {
            return (Arc::clone(existing), false);
        }
        let state = Arc::new(PoolState::new(pool.name.clone(), &self.args.loading_policy));
        pools.insert(pool.name.clone(), Arc::clone(&state));
        (state, true)
    }

    /// Returns the pool's state, or `None` when the pool has no worker.
    pub fn find_pool(&self, name: &PoolName) -> Option<Arc<PoolState>> {
        self.pools.read().get(name).map(Arc::clone)
    }

    /// Term in which this process holds the lease, or `None` when it does not hold it now.
    pub fn held_term(&self, lease: &LeaseName) -> Option<Term> {
        self.node.leases.held(lease)
    }

    /// Whether the controller or the whole process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() || *self.node.shutdown.borrow()
    }

    /// Monotonic time of the process.
    pub fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// Member id of this process.
    pub fn own_id(&self) -> &MemberId {
        &self.node.members.me().id
    }
}
