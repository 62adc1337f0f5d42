//! Plan of one pool, decided by the policy under test.

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
use crate::store::Store;

const TERM: Term = Term(1);

/// Loading policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Policy {
    /// The policy in use.
    Cost,
    /// The baseline.
    Naive,
}

impl Policy {
    /// Both policies.
    pub const ALL: [Self; 2] = [Self::Naive, Self::Cost];

    /// Name in tables.
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

/// What all pools share.
#[derive(Debug)]
pub struct Shared<'a> {
    /// Configuration.
    pub config: &'a Snapshot,
    /// Engines of all pools.
    pub engines: &'a mut BTreeMap<ServerName, Engine>,
    /// Weight store.
    pub store: &'a mut Store,
    /// Permits of the weight store.
    pub permits: &'a mut Permits,
}

/// A pool.
#[derive(Debug)]
pub struct Pool {
    /// Plan.
    pub plan: Plan,
    scheduler: Box<dyn Scheduler>,
    views: BTreeMap<ServerName, EngineView>,
    permits: BTreeMap<ReplicaId, (PermitKind, Millis)>,
    /// Loads decided so far.
    pub loads: u64,
}

impl Pool {
    /// An empty plan.
    ///
    /// # Panics
    ///
    /// Never in practice: a new plan takes any holder.
    pub fn new(name: &PoolName, policy: Policy) -> Self {
        let mut plan = Plan::new(name.clone());
        let holder = Holder {
            term: TERM,
            member: MemberId::new("vm-1", Role::Controller),
            incarnation: Incarnation(1),
            vm_instance: None,
            ended: false,
        };
        plan.take_over(holder).expect("the plan is new");
        Self {
            plan,
            scheduler: policy.scheduler(),
            views: BTreeMap::new(),
            permits: BTreeMap::new(),
            loads: 0,
        }
    }

    /// Takes a router's report; returns the estimated time until a replica is ready.
    pub fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand, config: &Snapshot) -> Option<u64> {
        self.scheduler.demand(now, source, demand);
        let input = Input {
            plan: &self.plan,
            config,
            engines: &self.views,
        };
        self.scheduler
            .ready_in(now, &input, &demand.model, demand.adapter.as_ref())
    }

    /// Whether a load or unload is in progress.
    pub fn is_busy(&self) -> bool {
        let is_moving = |it: ReplicaState| matches!(it, ReplicaState::Loading | ReplicaState::Unloading);
        self.plan.replicas.values().any(|it| is_moving(it.state))
    }

    /// One round of the pool's controller: reports, decisions, orders.
    pub fn round(&mut self, now: Millis, shared: &mut Shared<'_>) {
        self.read_reports(shared);
        let input = Input {
            plan: &self.plan,
            config: shared.config,
            engines: &self.views,
        };
        let mut denied = BTreeSet::new();
        for decision in self.scheduler.decide(now, &input) {
            match decision {
                Decision::Evict { replica } => self.evict(&replica, shared),
                Decision::Load { want, permit } => {
                    let id = self.plan.next_id();
                    if permit.is_some_and(|kind| denied.contains(&kind)) || !self.plan.accepts(&want.server) {
                        continue;
                    }
                    if let Some(kind) = permit {
                        if !shared
                            .permits
                            .request(&permit_request(&id, kind, false, false), now)
                            .granted
                        {
                            denied.insert(kind);
                            continue;
                        }
                        self.permits.insert(id.clone(), (kind, now));
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
                    engine.load(id.clone(), want.name(), want.bytes, slots);
                    let tier = engine.tier(want.name());
                    shared.store.start(&want.server, &id, kind, tier, want.bytes);
                    self.loads += 1;
                }
            }
        }
        self.renew_permits(now, shared.permits);
    }

    fn evict(&mut self, id: &ReplicaId, shared: &mut Shared<'_>) {
        let server = self.plan.replicas.get(id).map(|it| it.server.clone());
        if self.plan.evict(id).is_ok()
            && let Some(engine) = server.and_then(|it| shared.engines.get_mut(&it))
        {
            engine.unload(id);
        }
    }

    fn read_reports(&mut self, shared: &mut Shared<'_>) {
        let of_pool = shared.config.servers.values();
        let of_pool = of_pool.filter(|it| it.pool == self.plan.pool && it.memory_bytes > 0);
        let specs = of_pool.map(|it| {
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
                self.views.remove(name);
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
            engine.forget_ended();
            self.views.insert(name.clone(), view);
        }
    }

    fn renew_permits(&mut self, now: Millis, permits: &mut Permits) {
        let plan = &self.plan;
        self.permits.retain(|id, (kind, renewed)| {
            let is_loading = plan
                .replicas
                .get(id)
                .is_some_and(|it| it.state == ReplicaState::Loading);
            if !is_loading {
                permits.request(&permit_request(id, *kind, false, true), now);
            } else if now.since(*renewed) >= PERMIT_RENEW_MS {
                permits.request(&permit_request(id, *kind, true, false), now);
                *renewed = now;
            }
            is_loading
        });
    }

    /// Replicas that take requests for a model or adapter.
    pub fn placement(&self, name: &str, config: &Snapshot) -> Vec<ReplicaAddress> {
        let is_usable = |it: &&guava_core::plan::PlannedReplica| {
            let serves = it.state == ReplicaState::Ready && self.plan.accepts(&it.server);
            serves && it.name() == name && (it.adapter.is_none() || self.plan.has_ready_base(it))
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
