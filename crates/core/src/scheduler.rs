//! Loading policy: what to load next, where, and what to evict for it.
//!
//! A scheduler receives demand reports. From them, the plan, the configuration and the engines' reports it derives
//! decisions, most important first. It does not change the plan, acquire permits or send orders, so that a recorded
//! history can be replayed against any [`Scheduler`].

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Adapter, Model, Pool};
use crate::demand::{Decaying, DemandReports, MergedDemand, Source};
use crate::ids::{AdapterName, ModelName, OrganisationName, ReplicaId, ServerName, Zone};
use crate::permits::PermitKind;
use crate::placement::{Demand, ReplicaState};
use crate::plan::{CacheTier, EngineView, Plan, PlannedReplica, Reservation, ServerState};
use crate::snapshot::Snapshot;
use crate::units::Millis;

mod load_times;
pub mod naive;

use load_times::LoadTimes;

/// Minimum time in milliseconds that a replica stays loaded before it may be evicted.
pub const MIN_RESIDENCE_MS: u64 = 2_000;
/// Horizon of activation probabilities: only demand that is expected within it counts.
const ACTIVATION_HORIZON_MS: u64 = 60_000;
/// Activation probability within the horizon for a model without history: 15% of the models become active or idle
/// within an hour, which is 0.27% in 60 s.
const PRIOR_ACTIVATION_PROBABILITY: f64 = 0.002_7;
/// Divisor of the pool's `loads_at_once` that limits preloads, so that a load for waiting requests finds a free slot.
const PRELOAD_DIVISOR: u32 = 2;
/// Expected time for an engine to unload a replica, in milliseconds.
const UNLOAD_MS: u64 = 500;
/// Replicas that have been unloading for this long are not expected to free their memory soon.
const UNLOAD_STUCK_MS: u64 = 10_000;
/// Assumed time in milliseconds until a busy replica can be evicted.
const BUSY_REPLICA_WAIT_MS: u64 = 2_000;
/// Smallest estimate of the remaining time of a load in progress, in milliseconds.
const MIN_REMAINING_LOAD_MS: u64 = 50;
/// Half-life of the count of an organisation's recent loads.
const RECENT_LOADS_HALF_LIFE_MS: f64 = 10_000.0;
/// Factor on the eviction cost of a replica whose model or adapter has other replicas.
const EXTRA_REPLICA_FACTOR: f64 = 0.25;
/// Penalty for a server that already holds a replica of the model, in milliseconds.
const SAME_SERVER_PENALTY_MS: f64 = 100.0;
/// Penalty for a server whose availability zone already holds a replica of the model, in milliseconds.
const SAME_ZONE_PENALTY_MS: f64 = 20.0;
/// Bonus for a server in the availability zone with the most waiting requests, in milliseconds.
const DEMAND_ZONE_BONUS_MS: f64 = 10.0;
/// Bonus for each of the model's adapters that a server has cached, in milliseconds.
const ADAPTER_BONUS_MS: f64 = 5.0;

/// State that a scheduler decides from.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// Plan of the pool; only its servers and replicas are considered.
    pub plan: &'a Plan,
    /// Current configuration. Models of other pools are ignored.
    pub config: &'a Snapshot,
    /// Latest report of each engine that responds. A server without one gets no new replicas.
    pub engines: &'a BTreeMap<ServerName, EngineView>,
}

impl<'a> Input<'a> {
    fn limits(&self) -> Option<&'a Pool> {
        self.config.pools.get(&self.plan.pool)
    }

    fn model(&self, name: &ModelName) -> Option<&'a Model> {
        self.config.models.get(name).filter(|it| it.pool == self.plan.pool)
    }

    fn adapter(&self, name: &AdapterName) -> Option<&'a Adapter> {
        self.config.adapters.get(name)
    }

    fn zone(&self, server: &ServerName) -> Option<&'a Zone> {
        self.config.servers.get(server).map(|it| &it.zone)
    }

    /// Fastest tier from which a server can load a checkpoint; remote when its engine has sent no report.
    pub fn tier(&self, server: &ServerName, name: &str, version: u64) -> CacheTier {
        let view = self.engines.get(server);
        view.map_or(CacheTier::Remote, |it| it.tier(name, version))
    }

    /// Servers that accept new replicas and whose engine responds.
    ///
    /// A server that holds replicas outside the plan is excluded until they are unloaded: after the loss of a plan
    /// object their memory would otherwise count as free.
    fn available_servers(&self) -> impl Iterator<Item = &'a ServerName> {
        let plan = self.plan;
        let engines = self.engines;
        let holds_only_planned = |view: &EngineView| {
            let loaded = view.replicas.iter().filter(|it| it.presence.holds_memory());
            loaded.into_iter().all(|it| plan.replicas.contains_key(&it.replica))
        };
        plan.servers
            .keys()
            .filter(move |name| plan.accepts(name) && engines.get(*name).is_some_and(holds_only_planned))
    }

    /// Replicas that serve or will serve demand: of the configured version, loading or ready, on a live server.
    fn supply(&self, model: &ModelName, adapter: Option<&AdapterName>) -> Vec<(&'a ReplicaId, &'a PlannedReplica)> {
        let version = match adapter {
            Some(name) => self.adapter(name).map(|it| it.version),
            None => self.model(model).map(|it| it.version),
        };
        let plan = self.plan;
        plan.replicas
            .iter()
            .filter(|(_, it)| it.model == *model && it.adapter.as_ref() == adapter && Some(it.version) == version)
            .filter(|(_, it)| matches!(it.state, ReplicaState::Loading | ReplicaState::Ready))
            .filter(|(_, it)| {
                plan.servers
                    .get(&it.server)
                    .is_some_and(|server| server.state == ServerState::Live)
            })
            .collect()
    }

    fn is_idle(&self, id: &ReplicaId, replica: &PlannedReplica) -> bool {
        let view = self.engines.get(&replica.server).and_then(|it| it.replica(id));
        view.is_some_and(|it| it.running == 0 && it.waiting == 0)
    }
}

/// A decision of a scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Reserve memory for a replica and load it.
    Load {
        /// Reservation to make in the plan.
        want: Reservation,
        /// Permit that the load needs; `None` for a model whose checkpoint the server has cached.
        permit: Option<PermitKind>,
    },
    /// Unload a replica.
    Evict {
        /// Identifier of the replica in the plan.
        replica: ReplicaId,
    },
}

/// A loading policy.
pub trait Scheduler: std::fmt::Debug + Send {
    /// Records a router's demand report. It replaces that router's earlier report for the same model and adapter.
    fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand);

    /// Decisions for the present state, most important first.
    ///
    /// The caller applies them to the plan; a replica that does not fit yet is loaded by a later call.
    fn decide(&mut self, now: Millis, input: &Input<'_>) -> Vec<Decision>;

    /// Estimated time in milliseconds until a replica is ready: zero when one is, `None` when none can be loaded.
    fn ready_in(&self, now: Millis, input: &Input<'_>, model: &ModelName, adapter: Option<&AdapterName>)
    -> Option<u64>;
}

#[derive(Debug, Clone, Copy)]
struct ObservedReplica {
    state: ReplicaState,
    state_since: Millis,
    tier: CacheTier,
}

/// A model or adapter for which one more replica should be loaded.
#[derive(Debug, Clone)]
struct LoadCandidate {
    model: ModelName,
    adapter: Option<AdapterName>,
    score: f64,
}

/// Memory of a server that is free, and memory that will be once the unloads in progress end, in bytes.
#[derive(Debug, Clone, Copy, Default)]
struct ServerMemory {
    free: u64,
    pending: u64,
}

/// Replicas on one server that can only be evicted together.
#[derive(Debug, Clone)]
struct EvictionGroup {
    ids: Vec<ReplicaId>,
    bytes: u64,
    /// Expected cost of evicting them, in milliseconds of waiting.
    cost: f64,
}

#[derive(Debug, Clone)]
struct ServerChoice {
    server: ServerName,
    eviction_groups: Vec<EvictionGroup>,
    tier: CacheTier,
    fits_now: bool,
    cost: f64,
}

/// Cost-based policy: weighs loads and evictions in the same unit, milliseconds of expected waiting.
#[derive(Debug, Default)]
pub struct CostScheduler {
    demand_reports: DemandReports,
    observed: BTreeMap<ReplicaId, ObservedReplica>,
    load_times: LoadTimes,
    recent_loads: BTreeMap<OrganisationName, Decaying>,
}

impl CostScheduler {
    /// Creates a scheduler without history: load times and activation probabilities start from defaults.
    pub fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, now: Millis, input: &Input<'_>) {
        self.load_times.derive_from_limits(input);
        self.observed.retain(|id, _| input.plan.replicas.contains_key(id));
        for (id, replica) in &input.plan.replicas {
            let Some(known) = self.observed.get(id).copied() else {
                self.observe_new(id, replica, now, input);
                continue;
            };
            if known.state == replica.state {
                continue;
            }
            let is_loaded = known.state == ReplicaState::Loading && replica.state == ReplicaState::Ready;
            if is_loaded && replica.adapter.is_none() {
                self.load_times
                    .record(known.tier, replica.bytes, now.since(known.state_since));
            }
            let changed = ObservedReplica {
                state: replica.state,
                state_since: now,
                ..known
            };
            self.observed.insert(id.clone(), changed);
        }
    }

    fn observe_new(&mut self, id: &ReplicaId, replica: &PlannedReplica, now: Millis, input: &Input<'_>) {
        let observed = ObservedReplica {
            state: replica.state,
            state_since: now,
            tier: input.tier(&replica.server, replica.name(), replica.version),
        };
        self.observed.insert(id.clone(), observed);
        let merged = self.demand_reports.merged(input.config, now);
        let Some(demand) = merged.get(&(replica.model.clone(), replica.adapter.clone())) else {
            return;
        };
        let total = demand.organisations.values().sum::<u32>().max(1);
        for (name, waiting) in &demand.organisations {
            let fraction = f64::from(*waiting) / f64::from(total);
            let loads = self.recent_loads.entry(name.clone()).or_default();
            loads.add(fraction, RECENT_LOADS_HALF_LIFE_MS, now);
        }
    }

    /// Fair-share factor of the waiting organisations: their weight relative to the mean, reduced by recent loads.
    fn fair_share(&self, demand: &MergedDemand, config: &Snapshot, now: Millis) -> f64 {
        let weight = |name: &OrganisationName| config.organisations.get(name).map_or(1.0, |it| f64::from(it.weight));
        let total = demand.organisations.values().sum::<u32>();
        if total == 0 {
            return 1.0;
        }
        let count = config.organisations.len().max(1) as f64;
        let mean_weight = config.organisations.keys().map(weight).sum::<f64>().max(1.0) / count;
        let shares = demand.organisations.iter().map(|(name, waiting)| {
            let recent = self
                .recent_loads
                .get(name)
                .map_or(0.0, |it| it.get(RECENT_LOADS_HALF_LIFE_MS, now));
            f64::from(*waiting) / f64::from(total) * weight(name) / mean_weight / (1.0 + recent / weight(name))
        });
        shares.sum()
    }

    fn score(&self, demand: &MergedDemand, fastest_load_ms: u64, config: &Snapshot, now: Millis) -> f64 {
        let urgency = (demand.oldest_ms + fastest_load_ms) as f64 / demand.target_ms.max(1) as f64;
        let queue_factor = 1.0 + f64::from(demand.waiting.max(1)).ln();
        let weight = demand.cold_start_weight;
        urgency * (weight + (1.0 - weight) * queue_factor) * self.fair_share(demand, config, now)
    }

    fn fastest_load_ms(&self, input: &Input<'_>, name: &str, version: u64, bytes: u64) -> u64 {
        input
            .available_servers()
            .map(|server| self.load_times.estimate_ms(input.tier(server, name, version), bytes))
            .min()
            .unwrap_or_else(|| self.load_times.estimate_ms(CacheTier::Remote, bytes))
    }

    /// Models and adapters that need more replicas, most urgent first.
    fn candidates(&self, now: Millis, input: &Input<'_>) -> Vec<LoadCandidate> {
        let merged = self.demand_reports.merged(input.config, now);
        let mut candidates = Vec::new();
        for demand in merged.values() {
            let Some(model) = input.model(&demand.model) else {
                continue;
            };
            let missing = missing_replicas(demand, model, input);
            let adapter = demand.adapter.as_ref().and_then(|it| input.adapter(it));
            let (name, version, bytes) = adapter.map_or((model.name.as_str(), model.version, model.bytes), |it| {
                (it.name.as_str(), it.version, it.bytes)
            });
            let fastest = self.fastest_load_ms(input, name, version, bytes);
            let score = self.score(demand, fastest, input.config, now);
            let candidate = LoadCandidate {
                model: demand.model.clone(),
                adapter: demand.adapter.clone(),
                score,
            };
            candidates.extend(std::iter::repeat_n(candidate, missing as usize));
        }
        candidates.extend(min_replica_candidates(input, &merged));
        candidates.sort_by(|a, b| b.score.total_cmp(&a.score));
        candidates
    }

    fn server_memory(&self, now: Millis, input: &Input<'_>) -> BTreeMap<ServerName, ServerMemory> {
        input
            .available_servers()
            .map(|name| {
                let unloading = input.plan.on_server(name).filter(|(id, it)| {
                    let known = self.observed.get(*id);
                    let is_recent = known.is_none_or(|it| now.since(it.state_since) < UNLOAD_STUCK_MS);
                    it.state == ReplicaState::Unloading && is_recent
                });
                let memory = ServerMemory {
                    free: input.plan.servers[name].free_bytes(),
                    pending: unloading.map(|(_, it)| it.bytes).sum(),
                };
                (name.clone(), memory)
            })
            .collect()
    }

    /// Whether a replica may be evicted now, regardless of its adapters and of its model's minimum.
    fn is_evictable(
        &self,
        id: &ReplicaId,
        replica: &PlannedReplica,
        now: Millis,
        input: &Input<'_>,
        merged: &BTreeMap<(ModelName, Option<AdapterName>), MergedDemand>,
    ) -> bool {
        let is_past_min_residence = self
            .observed
            .get(id)
            .is_some_and(|it| it.state == ReplicaState::Ready && now.since(it.state_since) >= MIN_RESIDENCE_MS);
        let demand = merged.get(&(replica.model.clone(), replica.adapter.clone()));
        let has_demand = demand.is_some_and(|it| it.waiting > 0 || it.running > 0);
        replica.state == ReplicaState::Ready && is_past_min_residence && !has_demand && input.is_idle(id, replica)
    }

    /// Groups of replicas on a server that may be evicted, lowest cost per byte first.
    fn eviction_groups(
        &self,
        server: &ServerName,
        now: Millis,
        input: &Input<'_>,
        merged: &BTreeMap<(ModelName, Option<AdapterName>), MergedDemand>,
        evicting: &BTreeSet<ReplicaId>,
    ) -> Vec<EvictionGroup> {
        let mut eviction_groups = Vec::new();
        let evictable = |id: &ReplicaId, it: &PlannedReplica| {
            !evicting.contains(id) && self.is_evictable(id, it, now, input, merged)
        };
        for (id, replica) in input.plan.on_server(server).filter(|(id, it)| evictable(id, it)) {
            let cost = self.eviction_cost(replica, now, input);
            if replica.adapter.is_some() {
                eviction_groups.push(EvictionGroup {
                    ids: vec![id.clone()],
                    bytes: replica.bytes,
                    cost,
                });
                continue;
            }
            let supply_count = input.supply(&replica.model, None).len();
            let evicting_replicas = evicting.iter().filter_map(|id| input.plan.replicas.get(id));
            let evicting_count = evicting_replicas
                .filter(|it| it.model == replica.model && it.adapter.is_none())
                .count();
            let min_replicas = input.model(&replica.model).map_or(0, |it| it.min_replicas) as usize;
            let adapters: Vec<_> = input
                .plan
                .on_server(server)
                .filter(|(_, it)| it.model == replica.model && it.adapter.is_some())
                .filter(|(id, it)| it.state != ReplicaState::Unloading && !evicting.contains(*id))
                .collect();
            let is_needed = supply_count.saturating_sub(evicting_count) <= min_replicas && min_replicas > 0;
            if is_needed || !adapters.iter().all(|(id, it)| evictable(id, it)) {
                continue;
            }
            let adapters_cost: f64 = adapters.iter().map(|(_, it)| self.eviction_cost(it, now, input)).sum();
            let mut ids: Vec<ReplicaId> = adapters.iter().map(|(id, _)| (*id).clone()).collect();
            ids.push(id.clone());
            eviction_groups.push(EvictionGroup {
                ids,
                bytes: replica.bytes + adapters.iter().map(|(_, it)| it.bytes).sum::<u64>(),
                cost: cost + adapters_cost,
            });
        }
        eviction_groups.sort_by(|a, b| (a.cost / a.bytes.max(1) as f64).total_cmp(&(b.cost / b.bytes.max(1) as f64)));
        eviction_groups
    }

    /// Probability that the replica is needed again, times the time to reload it.
    fn eviction_cost(&self, replica: &PlannedReplica, now: Millis, input: &Input<'_>) -> f64 {
        let probability = self.demand_reports.activation_probability(
            &replica.model,
            replica.adapter.as_ref(),
            ACTIVATION_HORIZON_MS,
            now,
        );
        let tier = input.tier(&replica.server, replica.name(), replica.version);
        let reload_ms = self.load_times.estimate_ms(tier, replica.bytes) as f64;
        let is_extra = input.supply(&replica.model, replica.adapter.as_ref()).len() > 1;
        probability * reload_ms * if is_extra { EXTRA_REPLICA_FACTOR } else { 1.0 }
    }

    fn choose_server(
        &self,
        spec: &ReplicaSpec<'_>,
        now: Millis,
        input: &Input<'_>,
        context: &PlacementContext<'_>,
    ) -> Option<ServerChoice> {
        let choices = context
            .server_memory
            .iter()
            .filter(|(server, _)| spec.can_run_on(server, input))
            .filter_map(|(server, memory)| self.choice_on(server, *memory, spec, now, input, context));
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn choice_on(
        &self,
        server: &ServerName,
        memory: ServerMemory,
        spec: &ReplicaSpec<'_>,
        now: Millis,
        input: &Input<'_>,
        context: &PlacementContext<'_>,
    ) -> Option<ServerChoice> {
        let tier = input.tier(server, spec.name, spec.version);
        let mut cost = self.load_times.estimate_ms(tier, spec.required_bytes) as f64
            + placement_penalty(server, spec, input, context);
        let mut eviction_groups = Vec::new();
        let fits_now = memory.free >= spec.required_bytes;
        if !fits_now {
            cost += UNLOAD_MS as f64;
            let mut available = memory.free + memory.pending;
            let base_model = spec.adapter.is_some().then_some(spec.model);
            for group in self.eviction_groups(server, now, input, context.merged, context.evicting) {
                if available >= spec.required_bytes {
                    break;
                }
                let holds_base = group.ids.iter().any(|id| {
                    let it = &input.plan.replicas[id];
                    it.adapter.is_none() && Some(&it.model) == base_model
                });
                let is_counted = eviction_groups
                    .iter()
                    .any(|it: &EvictionGroup| it.ids.iter().any(|id| group.ids.contains(id)));
                if holds_base || is_counted {
                    continue;
                }
                available += group.bytes;
                cost += group.cost;
                eviction_groups.push(group);
            }
            if available < spec.required_bytes {
                return None;
            }
        }
        Some(ServerChoice {
            server: server.clone(),
            eviction_groups,
            tier,
            fits_now,
            cost,
        })
    }

    /// Models without replicas, by activation probability times load time per byte, largest first.
    fn preload_candidates(&self, now: Millis, input: &Input<'_>) -> Vec<LoadCandidate> {
        let models = input.config.models.values().filter(|it| it.pool == input.plan.pool);
        let value = |it: &Model| {
            let probability = self
                .demand_reports
                .activation_probability(&it.name, None, ACTIVATION_HORIZON_MS, now)
                + PRIOR_ACTIVATION_PROBABILITY;
            let load = self.fastest_load_ms(input, it.name.as_str(), it.version, it.bytes);
            probability * load as f64 / it.bytes.max(1) as f64
        };
        let unloaded = models.filter(|it| input.supply(&it.name, None).is_empty());
        let mut valued: Vec<(f64, &Model)> = unloaded.map(|it| (value(it), it)).collect();
        valued.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.name.cmp(&y.name)));
        let candidates = valued.into_iter().map(|(_, it)| LoadCandidate {
            model: it.name.clone(),
            adapter: None,
            score: 0.0,
        });
        candidates.collect()
    }

    /// Replicas to unload regardless of memory: on leaving servers, of old versions, of removed models or adapters, and
    /// adapters without a replica of their model.
    fn obsolete(&self, now: Millis, input: &Input<'_>) -> Vec<ReplicaId> {
        let mut ids: BTreeSet<ReplicaId> = input.plan.orphaned_adapters().into_iter().collect();
        for (id, replica) in &input.plan.replicas {
            let is_past_min_residence = self
                .observed
                .get(id)
                .is_some_and(|it| now.since(it.state_since) >= MIN_RESIDENCE_MS);
            if replica.state != ReplicaState::Ready || !is_past_min_residence || !input.is_idle(id, replica) {
                continue;
            }
            let is_leaving = input
                .plan
                .servers
                .get(&replica.server)
                .is_some_and(|it| it.state == ServerState::Leaving);
            if is_leaving || is_outdated(replica, input) {
                ids.insert(id.clone());
            }
        }
        ids.into_iter().collect()
    }
}

impl Scheduler for CostScheduler {
    fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand) {
        self.demand_reports.report(now, source, demand);
    }

    fn decide(&mut self, now: Millis, input: &Input<'_>) -> Vec<Decision> {
        self.demand_reports.expire(now);
        self.observe(now, input);
        let obsolete = self.obsolete(now, input);
        let mut round = Round {
            merged: self.demand_reports.merged(input.config, now),
            server_memory: self.server_memory(now, input),
            evicting: obsolete.iter().cloned().collect(),
            placed: Vec::new(),
            budget: self.budget(input),
            decisions: obsolete
                .into_iter()
                .map(|replica| Decision::Evict { replica })
                .collect(),
        };
        let candidates = self.candidates(now, input);
        for candidate in &candidates {
            self.place(candidate, now, input, &mut round);
        }
        let max_concurrent = input.limits().map_or(1, |it| it.loads_at_once);
        if candidates.is_empty() && self.loads_in_flight(input) < (max_concurrent / PRELOAD_DIVISOR).max(1) {
            let mut candidates = self.preload_candidates(now, input).into_iter();
            candidates.find(|it| leaves_headroom(it, input) && self.place_if_free(it, now, input, &mut round));
        }
        round.decisions
    }

    fn ready_in(
        &self,
        now: Millis,
        input: &Input<'_>,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> Option<u64> {
        let supply = input.supply(model, adapter);
        if supply.iter().any(|(_, it)| it.state == ReplicaState::Ready) {
            return Some(0);
        }
        if let Some(ms) = supply.iter().map(|(id, it)| self.remaining_load_ms(id, it, now)).min() {
            return Some(ms);
        }
        let candidate = LoadCandidate {
            model: model.clone(),
            adapter: adapter.cloned(),
            score: 0.0,
        };
        let merged = self.demand_reports.merged(input.config, now);
        let spec = ReplicaSpec::new(&candidate, input, &merged)?;
        let fits = |server: &&ServerName| input.plan.servers[*server].memory_bytes >= spec.required_bytes;
        let fastest = input
            .available_servers()
            .filter(fits)
            .map(|server| {
                self.load_times
                    .estimate_ms(input.tier(server, spec.name, spec.version), spec.replica_bytes)
            })
            .min()?;
        if adapter.is_some() {
            let base_ready_ms = self.ready_in(now, input, model, None)?;
            return Some((base_ready_ms + fastest).max(1));
        }
        let server_memory = self.server_memory(now, input);
        let context = PlacementContext {
            server_memory: &server_memory,
            merged: &merged,
            evicting: &BTreeSet::new(),
            placed: &[],
        };
        let eviction_ms = match self.choose_server(&spec, now, input, &context) {
            Some(choice) if choice.fits_now => 0,
            Some(_) => UNLOAD_MS,
            None => BUSY_REPLICA_WAIT_MS,
        };
        // Zero would mean that a replica is ready, so even the smallest model gets an estimate of 1 ms.
        Some((eviction_ms + fastest + self.load_queue_ms(model, fastest, now, input)).max(1))
    }
}

impl CostScheduler {
    /// Number of models being loaded from the weight store, to which `loads_at_once` applies.
    fn loads_in_flight(&self, input: &Input<'_>) -> u32 {
        let loading = input.plan.replicas.iter().filter(|(id, it)| {
            let is_remote = self.observed.get(*id).is_none_or(|it| it.tier == CacheTier::Remote);
            it.state == ReplicaState::Loading && it.adapter.is_none() && is_remote
        });
        loading.count() as u32
    }

    fn budget(&self, input: &Input<'_>) -> LoadBudget {
        let adapter_loads_in_flight = input
            .plan
            .replicas
            .values()
            .filter(|it| it.state == ReplicaState::Loading && it.adapter.is_some())
            .count() as u32;
        let limits = input.limits();
        LoadBudget {
            model_loads: limits
                .map_or(1, |it| it.loads_at_once)
                .saturating_sub(self.loads_in_flight(input)),
            adapter_loads: limits
                .map_or(1, |it| it.adapter_loads_at_once)
                .saturating_sub(adapter_loads_in_flight),
        }
    }

    fn place(&self, candidate: &LoadCandidate, now: Millis, input: &Input<'_>, round: &mut Round) {
        let Some(spec) = ReplicaSpec::new(candidate, input, &round.merged) else {
            return;
        };
        let context = PlacementContext {
            server_memory: &round.server_memory,
            merged: &round.merged,
            evicting: &round.evicting,
            placed: &round.placed,
        };
        let choice = self.choose_server(&spec, now, input, &context);
        if let Some(choice) = choice {
            round.commit(&spec, choice);
        } else if candidate.adapter.is_some() {
            self.place_base_elsewhere(candidate, now, input, round);
        }
    }

    /// Loads another replica of an adapter's model on a server where the adapter fits. On the servers that hold the
    /// model, memory may be occupied by replicas that stay busy past the adapter's deadline.
    fn place_base_elsewhere(&self, candidate: &LoadCandidate, now: Millis, input: &Input<'_>, round: &mut Round) {
        let base = LoadCandidate {
            adapter: None,
            ..candidate.clone()
        };
        let demand = round.merged.get(&(candidate.model.clone(), candidate.adapter.clone()));
        let max_replicas = demand.map_or(1, |it| it.max_replicas) as usize;
        let supply = input.supply(&candidate.model, None);
        let is_loading = supply.iter().any(|(_, it)| it.state == ReplicaState::Loading);
        let is_placed = round.placed.iter().any(|(model, _)| *model == candidate.model);
        if supply.is_empty() || is_loading || is_placed || supply.len() >= max_replicas {
            return;
        }
        let Some(spec) = ReplicaSpec::new(&base, input, &round.merged) else {
            return;
        };
        let holders: BTreeSet<&ServerName> = supply.iter().map(|(_, it)| &it.server).collect();
        let server_memory = round
            .server_memory
            .iter()
            .filter(|(server, _)| !holders.contains(server));
        let server_memory = server_memory
            .map(|(server, memory)| (server.clone(), *memory))
            .collect();
        let context = PlacementContext {
            server_memory: &server_memory,
            merged: &round.merged,
            evicting: &round.evicting,
            placed: &round.placed,
        };
        if let Some(choice) = self.choose_server(&spec, now, input, &context) {
            round.commit(&spec, choice);
        }
    }

    /// Loads the model without any eviction; returns whether a server has enough free memory.
    fn place_if_free(&self, candidate: &LoadCandidate, now: Millis, input: &Input<'_>, round: &mut Round) -> bool {
        let Some(spec) = ReplicaSpec::new(candidate, input, &round.merged) else {
            return false;
        };
        let server_memory = round
            .server_memory
            .iter()
            .filter(|(_, memory)| memory.free >= spec.required_bytes);
        let server_memory = server_memory
            .map(|(server, memory)| (server.clone(), *memory))
            .collect();
        let context = PlacementContext {
            server_memory: &server_memory,
            merged: &round.merged,
            evicting: &round.evicting,
            placed: &round.placed,
        };
        let choice = self.choose_server(&spec, now, input, &context);
        let is_found = choice.is_some();
        if let Some(choice) = choice {
            round.commit(&spec, choice);
        }
        is_found
    }

    fn remaining_load_ms(&self, id: &ReplicaId, replica: &PlannedReplica, now: Millis) -> u64 {
        let known = self.observed.get(id);
        let tier = known.map_or(CacheTier::Remote, |it| it.tier);
        let elapsed = known.map_or(0, |it| now.since(it.state_since));
        let total = self.load_times.estimate_ms(tier, replica.bytes);
        total.saturating_sub(elapsed).max(MIN_REMAINING_LOAD_MS)
    }

    /// Expected time in milliseconds until the weight store has a load slot, behind more urgent loads.
    fn load_queue_ms(&self, model: &ModelName, load_ms: u64, now: Millis, input: &Input<'_>) -> u64 {
        let limits = input.limits();
        let max_concurrent = limits.map_or(1, |it| it.loads_at_once).max(1);
        let per_second = limits.map_or(1.0, |it| it.loads_per_second).max(0.001);
        let candidates_ahead = self
            .candidates(now, input)
            .iter()
            .take_while(|it| it.model != *model)
            .filter(|it| it.adapter.is_none() && it.score > 0.0)
            .count() as u32;
        let loads_ahead = candidates_ahead + self.loads_in_flight(input);
        let by_slots = u64::from(loads_ahead / max_concurrent) * load_ms;
        let by_rate = (f64::from(candidates_ahead) / per_second * 1_000.0) as u64;
        by_slots.max(by_rate)
    }
}

/// Whether some server still has room for the pool's largest model once the candidate is loaded.
fn leaves_headroom(candidate: &LoadCandidate, input: &Input<'_>) -> bool {
    let models = input.config.models.values().filter(|it| it.pool == input.plan.pool);
    let largest = models.map(|it| it.bytes).max().unwrap_or(0);
    let bytes = input.model(&candidate.model).map_or(0, |it| it.bytes);
    let free: Vec<u64> = input
        .available_servers()
        .map(|it| input.plan.servers[it].free_bytes())
        .collect();
    let servers_with_room = free.iter().filter(|it| **it >= largest).count();
    servers_with_room > 1 || free.iter().any(|it| *it >= largest + bytes)
}

/// Loads that may still be started.
#[derive(Debug, Clone, Copy)]
struct LoadBudget {
    model_loads: u32,
    adapter_loads: u32,
}

/// Decisions of one call of `decide`, and the memory and load slots they leave.
#[derive(Debug)]
struct Round {
    merged: BTreeMap<(ModelName, Option<AdapterName>), MergedDemand>,
    server_memory: BTreeMap<ServerName, ServerMemory>,
    evicting: BTreeSet<ReplicaId>,
    /// Models, or models of adapters, with the servers on which this round loads them.
    placed: Vec<(ModelName, ServerName)>,
    budget: LoadBudget,
    decisions: Vec<Decision>,
}

impl Round {
    fn commit(&mut self, spec: &ReplicaSpec<'_>, choice: ServerChoice) {
        let permit = match spec.adapter {
            Some(_) => Some(PermitKind::Adapter),
            None if choice.tier == CacheTier::Remote => Some(PermitKind::Model),
            None => None,
        };
        let remaining = match permit {
            Some(PermitKind::Model) => &mut self.budget.model_loads,
            Some(PermitKind::Adapter) => &mut self.budget.adapter_loads,
            None => &mut 1,
        };
        if *remaining == 0 {
            return;
        }
        *remaining -= 1;
        let Some(memory) = self.server_memory.get_mut(&choice.server) else {
            return;
        };
        if choice.fits_now {
            memory.free -= spec.required_bytes;
            self.placed.push((spec.model.clone(), choice.server.clone()));
            let want = spec.reservation(choice.server);
            self.decisions.push(Decision::Load { want, permit });
            return;
        }
        let freed: u64 = choice.eviction_groups.iter().map(|it| it.bytes).sum();
        memory.pending = (memory.free + memory.pending + freed).saturating_sub(spec.required_bytes);
        memory.free = 0;
        for replica in choice.eviction_groups.into_iter().flat_map(|it| it.ids) {
            self.evicting.insert(replica.clone());
            self.decisions.push(Decision::Evict { replica });
        }
    }
}

/// Whether a replica's model or adapter is no longer configured, or its version is old and a replica of the configured
/// version is ready.
fn is_outdated(replica: &PlannedReplica, input: &Input<'_>) -> bool {
    let version = match &replica.adapter {
        Some(name) => input
            .adapter(name)
            .filter(|it| it.model == replica.model)
            .map(|it| it.version),
        None => input.model(&replica.model).map(|it| it.version),
    };
    let Some(version) = version else {
        return true;
    };
    let is_replaced = input
        .supply(&replica.model, replica.adapter.as_ref())
        .iter()
        .any(|(_, it)| it.state == ReplicaState::Ready);
    version != replica.version && is_replaced
}

/// A replica to be placed on a server.
#[derive(Debug, Clone, Copy)]
struct ReplicaSpec<'a> {
    model: &'a ModelName,
    adapter: Option<&'a AdapterName>,
    name: &'a str,
    version: u64,
    /// Memory that must be free: the replica, and for a model the largest of its adapters with waiting requests.
    required_bytes: u64,
    replica_bytes: u64,
}

impl<'a> ReplicaSpec<'a> {
    fn new(
        candidate: &'a LoadCandidate,
        input: &Input<'a>,
        merged: &BTreeMap<(ModelName, Option<AdapterName>), MergedDemand>,
    ) -> Option<Self> {
        let model = input.model(&candidate.model)?;
        if let Some(name) = &candidate.adapter {
            let adapter = input.adapter(name).filter(|it| it.model == candidate.model)?;
            return Some(Self {
                model: &candidate.model,
                adapter: candidate.adapter.as_ref(),
                name: name.as_str(),
                version: adapter.version,
                required_bytes: adapter.bytes,
                replica_bytes: adapter.bytes,
            });
        }
        let waiting_adapter_bytes = merged
            .values()
            .filter(|it| it.model == candidate.model && it.waiting > 0)
            .filter_map(|it| it.adapter.as_ref().and_then(|name| input.adapter(name)))
            .map(|it| it.bytes)
            .max();
        Some(Self {
            model: &candidate.model,
            adapter: None,
            name: candidate.model.as_str(),
            version: model.version,
            required_bytes: model.bytes + waiting_adapter_bytes.unwrap_or(0),
            replica_bytes: model.bytes,
        })
    }

    fn can_run_on(&self, server: &ServerName, input: &Input<'_>) -> bool {
        let here = input.plan.on_server(server).filter(|(_, it)| it.model == *self.model);
        let mut here = here.filter(|(_, it)| matches!(it.state, ReplicaState::Loading | ReplicaState::Ready));
        match self.adapter {
            None => true,
            Some(adapter) => {
                let all: Vec<_> = here.by_ref().collect();
                let has_base = all.iter().any(|(_, it)| it.adapter.is_none());
                let has_own = all.iter().any(|(_, it)| it.adapter.as_ref() == Some(adapter));
                has_base && !has_own
            }
        }
    }

    fn reservation(&self, server: ServerName) -> Reservation {
        Reservation {
            model: self.model.clone(),
            version: self.version,
            adapter: self.adapter.cloned(),
            server,
            bytes: self.replica_bytes,
        }
    }
}

/// Penalty of a server in milliseconds, below zero for a bonus. It decides between servers that load equally fast.
fn placement_penalty(
    server: &ServerName,
    spec: &ReplicaSpec<'_>,
    input: &Input<'_>,
    context: &PlacementContext<'_>,
) -> f64 {
    let zone = input.zone(server);
    let holders = input.supply(spec.model, spec.adapter);
    let placed = context.placed.iter().filter(|(model, _)| model == spec.model);
    let holders: BTreeSet<&ServerName> = holders
        .iter()
        .map(|(_, it)| &it.server)
        .chain(placed.map(|(_, server)| server))
        .collect();
    let same_zone = holders.iter().any(|it| input.zone(it) == zone);
    let same_server = holders.contains(server);
    let demand = context.merged.get(&(spec.model.clone(), spec.adapter.cloned()));
    let busiest = demand.and_then(|it| it.zones.iter().max_by_key(|(_, waiting)| **waiting));
    let is_busiest = busiest.is_some_and(|(it, _)| Some(it) == zone);
    let cached = input.engines.get(server).into_iter().flat_map(|it| &it.cached);
    let cached_adapters = cached
        .filter(|it| it.tier != CacheTier::Remote)
        .filter(|it| {
            let adapter = input.config.adapters.get(it.name.as_str());
            adapter.is_some_and(|adapter| adapter.model == *spec.model)
        })
        .count();
    let zone_penalty = if same_zone { SAME_ZONE_PENALTY_MS } else { 0.0 };
    let zone_bonus = if is_busiest { DEMAND_ZONE_BONUS_MS } else { 0.0 };
    let server_penalty = if same_server { SAME_SERVER_PENALTY_MS } else { 0.0 };
    let server = &input.plan.servers[server];
    let used_fraction = server.reserved_bytes as f64 / server.memory_bytes.max(1) as f64;
    server_penalty + zone_penalty - zone_bonus - ADAPTER_BONUS_MS * cached_adapters as f64 + used_fraction
}

/// State that the choice of a server depends on.
#[derive(Debug)]
struct PlacementContext<'a> {
    server_memory: &'a BTreeMap<ServerName, ServerMemory>,
    merged: &'a BTreeMap<(ModelName, Option<AdapterName>), MergedDemand>,
    evicting: &'a BTreeSet<ReplicaId>,
    placed: &'a [(ModelName, ServerName)],
}

/// Number of replicas that demand needs beyond the present supply.
fn missing_replicas(demand: &MergedDemand, model: &Model, input: &Input<'_>) -> u32 {
    if demand.waiting == 0 {
        return 0;
    }
    let supply = input.supply(&demand.model, demand.adapter.as_ref());
    let supply_count = supply.len() as u32;
    if supply_count == 0 {
        return 1;
    }
    // Requests that wait for a load in progress say nothing about how many replicas the model needs.
    if supply.iter().any(|(_, it)| it.state == ReplicaState::Loading) {
        return 0;
    }
    let engine_load: u32 = supply
        .iter()
        .filter_map(|(id, it)| input.engines.get(&it.server).and_then(|view| view.replica(id)))
        .map(|it| it.running + it.waiting)
        .sum();
    // Routers and engines report the same requests; routers' reports may be up to `DEMAND_TTL_MS` old.
    let load = (demand.waiting + demand.running).max(engine_load);
    let needed = load.div_ceil(model.slots.max(1)).min(demand.max_replicas);
    needed.saturating_sub(supply_count)
}

/// Candidates for the configured minimum of replicas. Their score is zero, so that waiting requests come first.
fn min_replica_candidates(
    input: &Input<'_>,
    merged: &BTreeMap<(ModelName, Option<AdapterName>), MergedDemand>,
) -> Vec<LoadCandidate> {
    let models = input.config.models.values().filter(|it| it.pool == input.plan.pool);
    let mut candidates: Vec<LoadCandidate> = models
        .filter(|it| it.min_replicas > 0)
        .filter(|it| {
            merged
                .get(&(it.name.clone(), None))
                .is_none_or(|demand| demand.waiting == 0)
        })
        .flat_map(|it| {
            let supply_count = input.supply(&it.name, None).len() as u32;
            let candidate = LoadCandidate {
                model: it.name.clone(),
                adapter: None,
                score: 0.0,
            };
            std::iter::repeat_n(candidate, it.min_replicas.saturating_sub(supply_count) as usize)
        })
        .collect();
    candidates.sort_by(|a, b| a.model.cmp(&b.model));
    candidates
}
