//! Simulated controller of one pool, whose scheduler is the policy under test.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::demand::Source;
use guava_core::ids::{Incarnation, MemberId, PoolName, ReplicaId, Role, ServerName, Term};
use guava_core::permits::{PERMIT_RENEW_MS, PermitKind, PermitRequest, Permits};
use guava_core::placement::{Demand, ReplicaAddress, ReplicaState};
use guava_core::plan::{EngineView, Holder, Plan, Proof, ServerSpec, ServerState};
use guava_core::scheduler::naive::NaiveScheduler;
use guava_core::scheduler::{CostScheduler, Decision, Input, Scheduler};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;

use crate::engine::Engine;
use crate::store::WeightStore;

/// Term of the only controller; no other one takes over during a replay.
const TERM: Term = Term(1);

/// Policy that decides which models and adapters are loaded and evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Policy {
    /// The cost-based policy, the default of the controller.
    Cost,
    /// The baseline against which the cost policy is compared.
    Naive,
}

impl Policy {
    /// Both policies, baseline first.
    pub const ALL: [Self; 2] = [Self::Naive, Self::Cost];

    /// Returns the name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::Naive => "naive",
        }
    }

    fn scheduler(self) -> Box<dyn Scheduler> {
        match self {
            Self::Cost => Box::new(CostScheduler::new()),
            Self::Naive => Box::new(NaiveScheduler::new()),
        }
    }
}

/// State that all pools share in a round.
#[derive(Debug)]
pub struct SharedState<'a> {
    /// Configuration of the deployment.
    pub config: &'a Snapshot,
    /// Engines of all pools.
    pub engines: &'a mut BTreeMap<ServerName, Engine>,
    /// Simulated weight store.
    pub store: &'a mut WeightStore,
    /// Permits that limit concurrent loads from the weight store.
    pub permits: &'a mut Permits,
}

/// Plan and scheduler of one pool.
#[derive(Debug)]
pub struct Pool {
    /// Current plan: replicas and the state of the backend servers of the pool.
    pub plan: Plan,
    scheduler: Box<dyn Scheduler>,
    engine_views: BTreeMap<ServerName, EngineView>,
    /// Permits of the loads in progress, with the time of their last renewal.
    held_permits: BTreeMap<ReplicaId, (PermitKind, Millis)>,
    /// Number of model and adapter loads started so far.
    pub loads: u64,
}

impl Pool {
    /// Creates a pool with an empty plan.
    ///
    /// # Panics
    ///
    /// Does not panic: a new plan accepts any holder.
    pub fn new(name: &PoolName, policy: Policy) -> Self {
        let mut plan = Plan::new(name.clone());
        let holder = Holder {
            term: TERM,
            member: MemberId::new("vm-1", Role::Controller),
            incarnation: Incarnation(1),
            vm_instance: None,
            ended: false,
        };
        plan.take_over(holder).expect("a new plan accepts any holder");
        Self {
            plan,
            scheduler: policy.scheduler(),
            engine_views: BTreeMap::new(),
            held_permits: BTreeMap::new(),
            loads: 0,
        }
    }

    /// Passes a router's demand report to the scheduler. Returns the estimated time until a replica is ready, in
    /// milliseconds, or `None` when the scheduler has no estimate.
    pub fn report_demand(
        &mut self,
        now: Millis,
        source: Source<'_>,
        demand: &Demand,
        config: &Snapshot,
    ) -> Option<u64> {
        self.scheduler.demand(now, source, demand);
        let input = Input {
            plan: &self.plan,
            config,
            engines: &self.engine_views,
        };
        self.scheduler
            .ready_in(now, &input, &demand.model, demand.adapter.as_ref())
    }

    /// Returns whether a load or unload is in progress.
    pub fn is_busy(&self) -> bool {
        let is_in_transition = |it: ReplicaState| matches!(it, ReplicaState::Loading | ReplicaState::Unloading);
        self.plan.replicas.values().any(|it| is_in_transition(it.state))
    }

    /// Runs one round of the pool's controller: reconciles the plan with the engines, lets the scheduler decide, starts
    /// loads and unloads and renews permits.
    pub fn run_round(&mut self, now: Millis, shared: &mut SharedState<'_>) {
        self.reconcile_engines(shared);
        let input = Input {
            plan: &self.plan,
            config: shared.config,
            engines: &self.engine_views,
        };
        let mut denied_kinds = BTreeSet::new();
        for decision in self.scheduler.decide(now, &input) {
            match decision {
                Decision::Evict { replica } => self.evict(&replica, shared),
                Decision::Load { want, permit } => {
                    let id = self.plan.next_id();
                    if permit.is_some_and(|kind| denied_kinds.contains(&kind)) || !self.plan.accepts(&want.server) {
                        continue;
                    }
                    if let Some(kind) = permit {
                        if !shared
                            .permits
                            .request(&permit_request(&id, kind, false, false), now)
                            .granted
                        {
                            denied_kinds.insert(kind);
                            continue;
                        }
                        self.held_permits.insert(id.clone(), (kind, now));
                    }
                    let Some(engine) = shared.engines.get_mut(&want.server) else {
                        continue;
                    };
                    if self.plan.reserve(want.clone()).is_err() {
                        continue;
                    }
                    let kind = if want.adapter.is_some() {
                        PermitKind::Adapter
                    } else {
                        PermitKind::Model
                    };
                    let slots = shared.config.models.get(&want.model).map_or(1, |it| it.slots);
                    engine.start_load(id.clone(), want.name(), want.bytes, slots);
                    let tier = engine.tier(want.name());
                    shared.store.start(&want.server, &id, kind, tier, want.bytes);
                    self.loads += 1;
                }
            }
        }
        self.renew_permits(now, shared.permits);
    }

    fn evict(&mut self, id: &ReplicaId, shared: &mut SharedState<'_>) {
        let server = self.plan.replicas.get(id).map(|it| it.server.clone());
        if self.plan.evict(id).is_ok()
            && let Some(engine) = server.and_then(|it| shared.engines.get_mut(&it))
        {
            engine.request_unload(id);
        }
    }

    fn reconcile_engines(&mut self, shared: &mut SharedState<'_>) {
        let servers = shared.config.servers.values();
        let servers = servers.filter(|it| it.pool == self.plan.pool && it.memory_bytes > 0);
        let specs = servers.map(|it| {
            let spec = ServerSpec {
                memory_bytes: it.memory_bytes,
                checks_fence: it.checks_fence,
                forgets_orders: it.forgets_orders,
                leaving: shared.engines.get(&it.name).is_some_and(|it| it.is_leaving),
            };
            (it.name.clone(), spec)
        });
        let specs: BTreeMap<_, _> = specs.collect();
        self.plan.configure(&specs);
        for name in specs.keys() {
            let Some(engine) = shared.engines.get_mut(name) else {
                continue;
            };
            if !engine.is_up {
                self.engine_views.remove(name);
                if self.plan.servers[name].state != ServerState::Gone {
                    self.plan.server_ended(name);
                }
                continue;
            }
            let view = engine.view(TERM);
            let proof = Proof {
                fenced: true,
                cancelled: &|_| false,
            };
            self.plan.reconcile(name, &view, proof);
            engine.remove_ended();
            self.engine_views.insert(name.clone(), view);
        }
    }

    fn renew_permits(&mut self, now: Millis, permits: &mut Permits) {
        let plan = &self.plan;
        self.held_permits.retain(|id, (kind, last_renewal)| {
            let is_loading = plan
                .replicas
                .get(id)
                .is_some_and(|it| it.state == ReplicaState::Loading);
            if !is_loading {
                permits.request(&permit_request(id, *kind, false, true), now);
            } else if now.since(*last_renewal) >= PERMIT_RENEW_MS {
                permits.request(&permit_request(id, *kind, true, false), now);
                *last_renewal = now;
            }
            is_loading
        });
    }

    /// Returns the ready replicas to which requests for the model or adapter `name` may be routed.
    pub fn placement(&self, name: &str, config: &Snapshot) -> Vec<ReplicaAddress> {
        let is_usable = |it: &&guava_core::plan::PlannedReplica| {
            let accepts_requests = it.state == ReplicaState::Ready && self.plan.accepts(&it.server);
            accepts_requests && it.name() == name && (it.adapter.is_none() || self.plan.has_ready_base(it))
        };
        let usable = self.plan.replicas.iter().filter(|(_, it)| is_usable(it));
        usable
            .filter_map(|(id, it)| {
                let server = config.servers.get(&it.server)?;
                Some(ReplicaAddress {
                    replica: id.clone(),
                    server: it.server.clone(),
                    addr: server.addr,
                    zone: server.zone.clone(),
                    slots: config.models.get(&it.model)?.slots,
                    state: it.state,
                })
            })
            .collect()
    }
}

fn permit_request(id: &ReplicaId, kind: PermitKind, renew: bool, release: bool) -> PermitRequest {
    PermitRequest {
        replica: id.clone(),
        kind,
        renew,
        release,
    }
}
