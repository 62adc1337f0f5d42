//! Loading policy: what to load next, where, and what to evict for it.
//!
//! A scheduler takes demand reports and looks at a plan, the configuration and the engines' reports; it answers with
//! decisions in order of importance. It does not change the plan, asks for no permits and sends nothing, so that a
//! recorded history can be replayed against any [`Scheduler`].

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Adapter, Model, Pool};
use crate::demand::{Decaying, DemandBook, Merged, Source};
use crate::ids::{AdapterName, ModelName, OrganisationName, ReplicaId, ServerName, Zone};
use crate::permits::PermitKind;
use crate::placement::{Demand, ReplicaState};
use crate::plan::{CacheTier, EngineView, Plan, PlannedReplica, Reservation, ServerState};
use crate::snapshot::Snapshot;
use crate::units::Millis;

mod load_times;
pub mod naive;

use load_times::LoadTimes;

/// Least time a replica stays loaded.
pub const LEAST_RESIDENCE_MS: u64 = 2_000;
/// Time ahead for which the probability of a wake is taken.
const WAKE_HORIZON_MS: u64 = 60_000;
/// Wake probability within the horizon of a model without history: 15% of the models become active or idle within an
/// hour, which is 0.27% in 60 s.
const PRIOR_WAKE_PROBABILITY: f64 = 0.002_7;
/// Loads ahead of demand use at most this part of the loads at once, so that a request finds a free slot.
const KEEP_WARM_DIVISOR: u32 = 2;
/// Expected time for an engine to unload a replica.
const UNLOAD_MS: u64 = 500;
/// Unloading replicas older than this are not expected to free their memory soon.
const UNLOAD_STUCK_MS: u64 = 10_000;
/// Time assumed until a busy replica can be evicted.
const BUSY_WAIT_MS: u64 = 2_000;
/// Least time assumed until a load in progress ends.
const LEAST_REST_MS: u64 = 50;
/// Half-life of the loads counted for an organisation.
const SHARE_HALF_LIFE_MS: f64 = 10_000.0;
/// Part of the wake value that a further replica of the same model has.
const SPARE_REPLICA_VALUE: f64 = 0.25;
/// Penalty of a server that holds the model already, in milliseconds.
const SAME_SERVER_PENALTY_MS: f64 = 100.0;
/// Penalty of a server in an availability zone that holds the model already, in milliseconds.
const SAME_ZONE_PENALTY_MS: f64 = 20.0;
/// Bonus of a server in the availability zone with most waiting requests, in milliseconds.
const DEMAND_ZONE_BONUS_MS: f64 = 10.0;
/// Bonus of a server for each of the model's adapters that is present there, in milliseconds.
const ADAPTER_BONUS_MS: f64 = 5.0;

/// What a scheduler looks at.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// Plan of the pool.
    pub plan: &'a Plan,
    /// Configuration.
    pub config: &'a Snapshot,
    /// Latest report of each engine that answers.
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

    /// Where a server has a checkpoint.
    pub fn tier(&self, server: &ServerName, name: &str, version: u64) -> CacheTier {
        let view = self.engines.get(server);
        view.map_or(CacheTier::Remote, |it| it.tier(name, version))
    }

    /// Servers that take new replicas and whose engine answers.
    ///
    /// A server that holds replicas outside the plan is left out until they are unloaded: after the loss of a plan
    /// object its memory would otherwise count as free.
    fn open_servers(&self) -> impl Iterator<Item = &'a ServerName> {
        let plan = self.plan;
        let engines = self.engines;
        let is_planned = |view: &EngineView| {
            let held = view.replicas.iter().filter(|it| it.presence.holds_memory());
            held.into_iter().all(|it| plan.replicas.contains_key(&it.replica))
        };
        plan.servers
            .keys()
            .filter(move |name| plan.accepts(name) && engines.get(*name).is_some_and(is_planned))
    }

    /// Replicas that count as supply: of the configured version, loading or ready, on a server that stays.
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
    /// Reserve memory and load.
    Load {
        /// Reservation to make.
        want: Reservation,
        /// Permit that the load needs.
        permit: Option<PermitKind>,
    },
    /// Unload a replica.
    Evict {
        /// Replica.
        replica: ReplicaId,
    },
}

/// A loading policy.
pub trait Scheduler: std::fmt::Debug + Send {
    /// Takes a router's demand report.
    fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand);

    /// Decisions in order of importance.
    fn decide(&mut self, now: Millis, input: &Input<'_>) -> Vec<Decision>;

    /// Estimated time until a replica is ready; `None` when none can be loaded at all.
    fn ready_in(&self, now: Millis, input: &Input<'_>, model: &ModelName, adapter: Option<&AdapterName>)
    -> Option<u64>;
}

#[derive(Debug, Clone, Copy)]
struct Tracked {
    state: ReplicaState,
    since: Millis,
    tier: CacheTier,
}

/// A model or adapter that lacks replicas.
#[derive(Debug, Clone)]
struct Want {
    model: ModelName,
    adapter: Option<AdapterName>,
    score: f64,
}

/// Memory of a server that is free, and that will be when present unloads end.
#[derive(Debug, Clone, Copy, Default)]
struct Space {
    free: u64,
    coming: u64,
}

/// Replicas on one server that can only be evicted together.
#[derive(Debug, Clone)]
struct Victim {
    ids: Vec<ReplicaId>,
    bytes: u64,
    /// Expected cost of evicting them in milliseconds.
    cost: f64,
}

#[derive(Debug, Clone)]
struct Choice {
    server: ServerName,
    victims: Vec<Victim>,
    tier: CacheTier,
    fits_now: bool,
    cost: f64,
}

/// The policy in use: cost of eviction and of loading in the same unit, milliseconds of expected waiting.
#[derive(Debug, Default)]
pub struct CostScheduler {
    book: DemandBook,
    tracked: BTreeMap<ReplicaId, Tracked>,
    load_times: LoadTimes,
    loads_of: BTreeMap<OrganisationName, Decaying>,
}

impl CostScheduler {
    /// A scheduler without history.
    pub fn new() -> Self {
        Self::default()
    }

    fn observe(&mut self, now: Millis, input: &Input<'_>) {
        self.load_times.assume(input);
        self.tracked.retain(|id, _| input.plan.replicas.contains_key(id));
        for (id, replica) in &input.plan.replicas {
            let Some(known) = self.tracked.get(id).copied() else {
                self.observe_new(id, replica, now, input);
                continue;
            };
            if known.state == replica.state {
                continue;
            }
            let loaded = known.state == ReplicaState::Loading && replica.state == ReplicaState::Ready;
            if loaded && replica.adapter.is_none() {
                self.load_times.learn(known.tier, replica.bytes, now.since(known.since));
            }
            let changed = Tracked {
                state: replica.state,
                since: now,
                ..known
            };
            self.tracked.insert(id.clone(), changed);
        }
    }

    fn observe_new(&mut self, id: &ReplicaId, replica: &PlannedReplica, now: Millis, input: &Input<'_>) {
        let tracked = Tracked {
            state: replica.state,
            since: now,
            tier: input.tier(&replica.server, replica.name(), replica.version),
        };
        self.tracked.insert(id.clone(), tracked);
        let merged = self.book.merged(input.config, now);
        let Some(demand) = merged.get(&(replica.model.clone(), replica.adapter.clone())) else {
            return;
        };
        let total = demand.organisations.values().sum::<u32>().max(1);
        for (name, waiting) in &demand.organisations {
            let part = f64::from(*waiting) / f64::from(total);
            let loads = self.loads_of.entry(name.clone()).or_default();
            loads.add(part, SHARE_HALF_LIFE_MS, now);
        }
    }

    /// Claim of the waiting organisations: their weight relative to the mean, less for those with recent loads.
    fn share(&self, demand: &Merged, config: &Snapshot, now: Millis) -> f64 {
        let weight = |name: &OrganisationName| config.organisations.get(name).map_or(1.0, |it| f64::from(it.weight));
        let total = demand.organisations.values().sum::<u32>();
        if total == 0 {
            return 1.0;
        }
        let count = config.organisations.len().max(1) as f64;
        let mean = config.organisations.keys().map(weight).sum::<f64>().max(1.0) / count;
        let claims = demand.organisations.iter().map(|(name, waiting)| {
            let recent = self
                .loads_of
                .get(name)
                .map_or(0.0, |it| it.get(SHARE_HALF_LIFE_MS, now));
            f64::from(*waiting) / f64::from(total) * weight(name) / mean / (1.0 + recent / weight(name))
        });
        claims.sum()
    }

    fn score(&self, demand: &Merged, best_load_ms: u64, config: &Snapshot, now: Millis) -> f64 {
        let urgency = (demand.oldest_ms + best_load_ms) as f64 / demand.target_ms.max(1) as f64;
        let crowd = 1.0 + f64::from(demand.waiting.max(1)).ln();
        let weight = demand.cold_start_weight;
        urgency * (weight + (1.0 - weight) * crowd) * self.share(demand, config, now)
    }

    fn best_load_ms(&self, input: &Input<'_>, name: &str, version: u64, bytes: u64) -> u64 {
        input
            .open_servers()
            .map(|server| self.load_times.ms(input.tier(server, name, version), bytes))
            .min()
            .unwrap_or_else(|| self.load_times.ms(CacheTier::Remote, bytes))
    }

    /// Everything that lacks replicas, most urgent first.
    fn wants(&self, now: Millis, input: &Input<'_>) -> Vec<Want> {
        let merged = self.book.merged(input.config, now);
        let mut wants = Vec::new();
        for demand in merged.values() {
            let Some(model) = input.model(&demand.model) else {
                continue;
            };
            let missing = missing_replicas(demand, model, input);
            let version = demand.adapter.as_ref().and_then(|it| input.adapter(it));
            let (name, version, bytes) = version.map_or((model.name.as_str(), model.version, model.bytes), |it| {
                (it.name.as_str(), it.version, it.bytes)
            });
            let best = self.best_load_ms(input, name, version, bytes);
            let score = self.score(demand, best, input.config, now);
            let want = Want {
                model: demand.model.clone(),
                adapter: demand.adapter.clone(),
                score,
            };
            wants.extend(std::iter::repeat_n(want, missing as usize));
        }
        wants.extend(minimum_wants(input, &merged));
        wants.sort_by(|a, b| b.score.total_cmp(&a.score));
        wants
    }

    fn spaces(&self, now: Millis, input: &Input<'_>) -> BTreeMap<ServerName, Space> {
        input
            .open_servers()
            .map(|name| {
                let unloading = input.plan.on_server(name).filter(|(id, it)| {
                    let known = self.tracked.get(*id);
                    let recent = known.is_none_or(|it| now.since(it.since) < UNLOAD_STUCK_MS);
                    it.state == ReplicaState::Unloading && recent
                });
                let space = Space {
                    free: input.plan.servers[name].free_bytes(),
                    coming: unloading.map(|(_, it)| it.bytes).sum(),
                };
                (name.clone(), space)
            })
            .collect()
    }

    /// Whether a replica may be evicted now, as far as it alone is concerned.
    fn is_evictable(
        &self,
        id: &ReplicaId,
        replica: &PlannedReplica,
        now: Millis,
        input: &Input<'_>,
        merged: &BTreeMap<(ModelName, Option<AdapterName>), Merged>,
    ) -> bool {
        let resident = self
            .tracked
            .get(id)
            .is_some_and(|it| it.state == ReplicaState::Ready && now.since(it.since) >= LEAST_RESIDENCE_MS);
        let demand = merged.get(&(replica.model.clone(), replica.adapter.clone()));
        let wanted = demand.is_some_and(|it| it.waiting > 0 || it.running > 0);
        replica.state == ReplicaState::Ready && resident && !wanted && input.is_idle(id, replica)
    }

    /// Groups of replicas on a server that may be evicted, cheapest per byte first.
    fn victims(
        &self,
        server: &ServerName,
        now: Millis,
        input: &Input<'_>,
        merged: &BTreeMap<(ModelName, Option<AdapterName>), Merged>,
        taken: &BTreeSet<ReplicaId>,
    ) -> Vec<Victim> {
        let mut victims = Vec::new();
        let evictable =
            |id: &ReplicaId, it: &PlannedReplica| !taken.contains(id) && self.is_evictable(id, it, now, input, merged);
        for (id, replica) in input.plan.on_server(server).filter(|(id, it)| evictable(id, it)) {
            let cost = self.eviction_cost(replica, now, input);
            if replica.adapter.is_some() {
                victims.push(Victim {
                    ids: vec![id.clone()],
                    bytes: replica.bytes,
                    cost,
                });
                continue;
            }
            let spare = input.supply(&replica.model, None).len();
            let taken_here = taken.iter().filter_map(|id| input.plan.replicas.get(id));
            let leaving = taken_here
                .filter(|it| it.model == replica.model && it.adapter.is_none())
                .count();
            let least = input.model(&replica.model).map_or(0, |it| it.min_replicas) as usize;
            let adapters: Vec<_> = input
                .plan
                .on_server(server)
                .filter(|(_, it)| it.model == replica.model && it.adapter.is_some())
                .filter(|(id, it)| it.state != ReplicaState::Unloading && !taken.contains(*id))
                .collect();
            let is_needed = spare.saturating_sub(leaving) <= least && least > 0;
            if is_needed || !adapters.iter().all(|(id, it)| evictable(id, it)) {
                continue;
            }
            let adapters_cost: f64 = adapters.iter().map(|(_, it)| self.eviction_cost(it, now, input)).sum();
            let mut ids: Vec<ReplicaId> = adapters.iter().map(|(id, _)| (*id).clone()).collect();
            ids.push(id.clone());
            victims.push(Victim {
                ids,
                bytes: replica.bytes + adapters.iter().map(|(_, it)| it.bytes).sum::<u64>(),
                cost: cost + adapters_cost,
            });
        }
        victims.sort_by(|a, b| (a.cost / a.bytes.max(1) as f64).total_cmp(&(b.cost / b.bytes.max(1) as f64)));
        victims
    }

    /// Probability that the replica is needed again times the time to load it again.
    fn eviction_cost(&self, replica: &PlannedReplica, now: Millis, input: &Input<'_>) -> f64 {
        let wake = self
            .book
            .wake_probability(&replica.model, replica.adapter.as_ref(), WAKE_HORIZON_MS, now);
        let tier = input.tier(&replica.server, replica.name(), replica.version);
        let reload = self.load_times.ms(tier, replica.bytes) as f64;
        let is_spare = input.supply(&replica.model, replica.adapter.as_ref()).len() > 1;
        wake * reload * if is_spare { SPARE_REPLICA_VALUE } else { 1.0 }
    }

    fn choose(&self, need: &Need<'_>, now: Millis, input: &Input<'_>, pass: &Pass<'_>) -> Option<Choice> {
        let choices = pass
            .spaces
            .iter()
            .filter(|(server, _)| need.may_use(server, input))
            .filter_map(|(server, space)| self.choice_at(server, *space, need, now, input, pass));
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn choice_at(
        &self,
        server: &ServerName,
        space: Space,
        need: &Need<'_>,
        now: Millis,
        input: &Input<'_>,
        pass: &Pass<'_>,
    ) -> Option<Choice> {
        let tier = input.tier(server, need.name, need.version);
        let mut cost = self.load_times.ms(tier, need.bytes) as f64 + preference(server, need, input, pass);
        let mut victims = Vec::new();
        let fits_now = space.free >= need.bytes;
        if !fits_now {
            cost += UNLOAD_MS as f64;
            let mut room = space.free + space.coming;
            let base = need.adapter.is_some().then_some(need.model);
            for victim in self.victims(server, now, input, pass.merged, pass.taken) {
                if room >= need.bytes {
                    break;
                }
                let holds_base = victim.ids.iter().any(|id| {
                    let it = &input.plan.replicas[id];
                    it.adapter.is_none() && Some(&it.model) == base
                });
                let counted = victims
                    .iter()
                    .any(|it: &Victim| it.ids.iter().any(|id| victim.ids.contains(id)));
                if holds_base || counted {
                    continue;
                }
                room += victim.bytes;
                cost += victim.cost;
                victims.push(victim);
            }
            if room < need.bytes {
                return None;
            }
        }
        Some(Choice {
            server: server.clone(),
            victims,
            tier,
            fits_now,
            cost,
        })
    }

    /// Models worth loading ahead of demand, by probability of need times load time per byte, largest first.
    fn keep_warm(&self, now: Millis, input: &Input<'_>) -> Vec<Want> {
        let models = input.config.models.values().filter(|it| it.pool == input.plan.pool);
        let value = |it: &Model| {
            let wake = self.book.wake_probability(&it.name, None, WAKE_HORIZON_MS, now) + PRIOR_WAKE_PROBABILITY;
            let load = self.best_load_ms(input, it.name.as_str(), it.version, it.bytes);
            wake * load as f64 / it.bytes.max(1) as f64
        };
        let cold = models.filter(|it| input.supply(&it.name, None).is_empty());
        let mut valued: Vec<(f64, &Model)> = cold.map(|it| (value(it), it)).collect();
        valued.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.name.cmp(&y.name)));
        let wants = valued.into_iter().map(|(_, it)| Want {
            model: it.name.clone(),
            adapter: None,
            score: 0.0,
        });
        wants.collect()
    }

    /// Replicas that no longer belong where they are: on leaving servers, of old versions, of removed models or
    /// adapters, and adapters without a replica of their model.
    fn misplaced(&self, now: Millis, input: &Input<'_>) -> Vec<ReplicaId> {
        let mut ids: BTreeSet<ReplicaId> = input.plan.orphaned_adapters().into_iter().collect();
        for (id, replica) in &input.plan.replicas {
            let resident = self
                .tracked
                .get(id)
                .is_some_and(|it| now.since(it.since) >= LEAST_RESIDENCE_MS);
            if replica.state != ReplicaState::Ready || !resident || !input.is_idle(id, replica) {
                continue;
            }
            let leaving = input
                .plan
                .servers
                .get(&replica.server)
                .is_some_and(|it| it.state == ServerState::Leaving);
            if leaving || is_outdated(replica, input) {
                ids.insert(id.clone());
            }
        }
        ids.into_iter().collect()
    }
}

impl Scheduler for CostScheduler {
    fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand) {
        self.book.report(now, source, demand);
    }

    fn decide(&mut self, now: Millis, input: &Input<'_>) -> Vec<Decision> {
        self.book.expire(now);
        self.observe(now, input);
        let misplaced = self.misplaced(now, input);
        let mut round = Round {
            merged: self.book.merged(input.config, now),
            spaces: self.spaces(now, input),
            taken: misplaced.iter().cloned().collect(),
            placed: Vec::new(),
            budget: self.budget(input),
            decisions: misplaced
                .into_iter()
                .map(|replica| Decision::Evict { replica })
                .collect(),
        };
        let wants = self.wants(now, input);
        for want in &wants {
            self.place(want, now, input, &mut round);
        }
        let at_once = input.limits().map_or(1, |it| it.loads_at_once);
        if wants.is_empty() && self.loads_in_flight(input) < (at_once / KEEP_WARM_DIVISOR).max(1) {
            let mut wants = self.keep_warm(now, input).into_iter();
            wants.find(|it| leaves_headroom(it, input) && self.place_if_free(it, now, input, &mut round));
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
        if let Some(ms) = supply.iter().map(|(id, it)| self.rest_of_load(id, it, now)).min() {
            return Some(ms);
        }
        let want = Want {
            model: model.clone(),
            adapter: adapter.cloned(),
            score: 0.0,
        };
        let merged = self.book.merged(input.config, now);
        let need = Need::new(&want, input, &merged)?;
        let fits = |server: &&ServerName| input.plan.servers[*server].memory_bytes >= need.bytes;
        let best = input
            .open_servers()
            .filter(fits)
            .map(|server| {
                self.load_times
                    .ms(input.tier(server, need.name, need.version), need.own_bytes)
            })
            .min()?;
        if adapter.is_some() {
            let base = self.ready_in(now, input, model, None)?;
            return Some((base + best).max(1));
        }
        let spaces = self.spaces(now, input);
        let pass = Pass {
            spaces: &spaces,
            merged: &merged,
            taken: &BTreeSet::new(),
            placed: &[],
        };
        let room = match self.choose(&need, now, input, &pass) {
            Some(choice) if choice.fits_now => 0,
            Some(_) => UNLOAD_MS,
            None => BUSY_WAIT_MS,
        };
        // Zero means that a replica is ready, which it is not, however small the model.
        Some((room + best + self.queue_ms(model, best, now, input)).max(1))
    }
}

impl CostScheduler {
    fn loads_in_flight(&self, input: &Input<'_>) -> u32 {
        let loading = input.plan.replicas.iter().filter(|(id, it)| {
            let remote = self.tracked.get(*id).is_none_or(|it| it.tier == CacheTier::Remote);
            it.state == ReplicaState::Loading && it.adapter.is_none() && remote
        });
        loading.count() as u32
    }

    fn budget(&self, input: &Input<'_>) -> Budget {
        let adapters = input
            .plan
            .replicas
            .values()
            .filter(|it| it.state == ReplicaState::Loading && it.adapter.is_some())
            .count() as u32;
        let limits = input.limits();
        Budget {
            loads: limits
                .map_or(1, |it| it.loads_at_once)
                .saturating_sub(self.loads_in_flight(input)),
            adapters: limits.map_or(1, |it| it.adapter_loads_at_once).saturating_sub(adapters),
        }
    }

    fn place(&self, want: &Want, now: Millis, input: &Input<'_>, round: &mut Round) {
        let Some(need) = Need::new(want, input, &round.merged) else {
            return;
        };
        let pass = Pass {
            spaces: &round.spaces,
            merged: &round.merged,
            taken: &round.taken,
            placed: &round.placed,
        };
        let choice = self.choose(&need, now, input, &pass);
        if let Some(choice) = choice {
            round.take(&need, choice);
        } else if want.adapter.is_some() {
            self.place_base_elsewhere(want, now, input, round);
        }
    }

    /// Loads a further replica of an adapter's model where the adapter fits. On the servers that hold the model, the
    /// memory may be taken by replicas that stay busy past the adapter's deadline.
    fn place_base_elsewhere(&self, want: &Want, now: Millis, input: &Input<'_>, round: &mut Round) {
        let base = Want {
            adapter: None,
            ..want.clone()
        };
        let demand = round.merged.get(&(want.model.clone(), want.adapter.clone()));
        let most = demand.map_or(1, |it| it.max_replicas) as usize;
        let supply = input.supply(&want.model, None);
        let is_loading = supply.iter().any(|(_, it)| it.state == ReplicaState::Loading);
        let is_placed = round.placed.iter().any(|(model, _)| *model == want.model);
        if supply.is_empty() || is_loading || is_placed || supply.len() >= most {
            return;
        }
        let Some(need) = Need::new(&base, input, &round.merged) else {
            return;
        };
        let held: BTreeSet<&ServerName> = supply.iter().map(|(_, it)| &it.server).collect();
        let spaces = round.spaces.iter().filter(|(server, _)| !held.contains(server));
        let spaces = spaces.map(|(server, space)| (server.clone(), *space)).collect();
        let pass = Pass {
            spaces: &spaces,
            merged: &round.merged,
            taken: &round.taken,
            placed: &round.placed,
        };
        if let Some(choice) = self.choose(&need, now, input, &pass) {
            round.take(&need, choice);
        }
    }

    /// Loads into memory that is free now; returns whether there is any.
    fn place_if_free(&self, want: &Want, now: Millis, input: &Input<'_>, round: &mut Round) -> bool {
        let Some(need) = Need::new(want, input, &round.merged) else {
            return false;
        };
        let spaces = round.spaces.iter().filter(|(_, space)| space.free >= need.bytes);
        let spaces = spaces.map(|(server, space)| (server.clone(), *space)).collect();
        let pass = Pass {
            spaces: &spaces,
            merged: &round.merged,
            taken: &round.taken,
            placed: &round.placed,
        };
        let choice = self.choose(&need, now, input, &pass);
        let is_found = choice.is_some();
        if let Some(choice) = choice {
            round.take(&need, choice);
        }
        is_found
    }

    fn rest_of_load(&self, id: &ReplicaId, replica: &PlannedReplica, now: Millis) -> u64 {
        let known = self.tracked.get(id);
        let tier = known.map_or(CacheTier::Remote, |it| it.tier);
        let elapsed = known.map_or(0, |it| now.since(it.since));
        let whole = self.load_times.ms(tier, replica.bytes);
        whole.saturating_sub(elapsed).max(LEAST_REST_MS)
    }

    /// Time until the weight store has a slot, after those that are more urgent.
    fn queue_ms(&self, model: &ModelName, load_ms: u64, now: Millis, input: &Input<'_>) -> u64 {
        let limits = input.limits();
        let at_once = limits.map_or(1, |it| it.loads_at_once).max(1);
        let per_second = limits.map_or(1.0, |it| it.loads_per_second).max(0.001);
        let ahead = self
            .wants(now, input)
            .iter()
            .take_while(|it| it.model != *model)
            .filter(|it| it.adapter.is_none() && it.score > 0.0)
            .count() as u32;
        let before = ahead + self.loads_in_flight(input);
        let by_slots = u64::from(before / at_once) * load_ms;
        let by_rate = (f64::from(ahead) / per_second * 1_000.0) as u64;
        by_slots.max(by_rate)
    }
}

/// Whether some server still has room for the pool's largest model once the wanted one is loaded.
fn leaves_headroom(want: &Want, input: &Input<'_>) -> bool {
    let models = input.config.models.values().filter(|it| it.pool == input.plan.pool);
    let largest = models.map(|it| it.bytes).max().unwrap_or(0);
    let bytes = input.model(&want.model).map_or(0, |it| it.bytes);
    let free: Vec<u64> = input
        .open_servers()
        .map(|it| input.plan.servers[it].free_bytes())
        .collect();
    let roomy = free.iter().filter(|it| **it >= largest).count();
    roomy > 1 || free.iter().any(|it| *it >= largest + bytes)
}

/// Loads that may still be begun.
#[derive(Debug, Clone, Copy)]
struct Budget {
    loads: u32,
    adapters: u32,
}

/// Decisions of one call and the space they leave.
#[derive(Debug)]
struct Round {
    merged: BTreeMap<(ModelName, Option<AdapterName>), Merged>,
    spaces: BTreeMap<ServerName, Space>,
    taken: BTreeSet<ReplicaId>,
    /// Models with the servers on which this round loads them.
    placed: Vec<(ModelName, ServerName)>,
    budget: Budget,
    decisions: Vec<Decision>,
}

impl Round {
    fn take(&mut self, need: &Need<'_>, choice: Choice) {
        let permit = match need.adapter {
            Some(_) => Some(PermitKind::Adapter),
            None if choice.tier == CacheTier::Remote => Some(PermitKind::Model),
            None => None,
        };
        let left = match permit {
            Some(PermitKind::Model) => &mut self.budget.loads,
            Some(PermitKind::Adapter) => &mut self.budget.adapters,
            None => &mut 1,
        };
        if *left == 0 {
            return;
        }
        *left -= 1;
        let Some(space) = self.spaces.get_mut(&choice.server) else {
            return;
        };
        if choice.fits_now {
            space.free -= need.bytes;
            self.placed.push((need.model.clone(), choice.server.clone()));
            let want = need.reservation(choice.server);
            self.decisions.push(Decision::Load { want, permit });
            return;
        }
        let freed: u64 = choice.victims.iter().map(|it| it.bytes).sum();
        space.coming = (space.free + space.coming + freed).saturating_sub(need.bytes);
        space.free = 0;
        for replica in choice.victims.into_iter().flat_map(|it| it.ids) {
            self.taken.insert(replica.clone());
            self.decisions.push(Decision::Evict { replica });
        }
    }
}

/// Whether a replica's model or adapter is no longer configured, or one of the configured version is ready.
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
    let replaced = input
        .supply(&replica.model, replica.adapter.as_ref())
        .iter()
        .any(|(_, it)| it.state == ReplicaState::Ready);
    version != replica.version && replaced
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
struct Need<'a> {
    model: &'a ModelName,
    adapter: Option<&'a AdapterName>,
    name: &'a str,
    version: u64,
    /// Bytes that must fit: the replica, and for a cold model its waiting adapter.
    bytes: u64,
    own_bytes: u64,
}

impl<'a> Need<'a> {
    fn new(
        want: &'a Want,
        input: &Input<'a>,
        merged: &BTreeMap<(ModelName, Option<AdapterName>), Merged>,
    ) -> Option<Self> {
        let model = input.model(&want.model)?;
        if let Some(name) = &want.adapter {
            let adapter = input.adapter(name).filter(|it| it.model == want.model)?;
            return Some(Self {
                model: &want.model,
                adapter: want.adapter.as_ref(),
                name: name.as_str(),
                version: adapter.version,
                bytes: adapter.bytes,
                own_bytes: adapter.bytes,
            });
        }
        let waiting_adapter = merged
            .values()
            .filter(|it| it.model == want.model && it.waiting > 0)
            .filter_map(|it| it.adapter.as_ref().and_then(|name| input.adapter(name)))
            .map(|it| it.bytes)
            .max();
        Some(Self {
            model: &want.model,
            adapter: None,
            name: want.model.as_str(),
            version: model.version,
            bytes: model.bytes + waiting_adapter.unwrap_or(0),
            own_bytes: model.bytes,
        })
    }

    fn may_use(&self, server: &ServerName, input: &Input<'_>) -> bool {
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
            bytes: self.own_bytes,
        }
    }
}

/// Small differences between servers that load equally fast.
fn preference(server: &ServerName, need: &Need<'_>, input: &Input<'_>, pass: &Pass<'_>) -> f64 {
    let zone = input.zone(server);
    let others = input.supply(need.model, need.adapter);
    let placed = pass.placed.iter().filter(|(model, _)| model == need.model);
    let others: BTreeSet<&ServerName> = others
        .iter()
        .map(|(_, it)| &it.server)
        .chain(placed.map(|(_, server)| server))
        .collect();
    let same_zone = others.iter().any(|it| input.zone(it) == zone);
    let same_server = others.contains(server);
    let demand = pass.merged.get(&(need.model.clone(), need.adapter.cloned()));
    let busiest = demand.and_then(|it| it.zones.iter().max_by_key(|(_, waiting)| **waiting));
    let is_busiest = busiest.is_some_and(|(it, _)| Some(it) == zone);
    let cached = input.engines.get(server).into_iter().flat_map(|it| &it.cached);
    let adapters = cached
        .filter(|it| it.tier != CacheTier::Remote)
        .filter(|it| {
            let adapter = input.config.adapters.get(it.name.as_str());
            adapter.is_some_and(|adapter| adapter.model == *need.model)
        })
        .count();
    let zone_penalty = if same_zone { SAME_ZONE_PENALTY_MS } else { 0.0 };
    let zone_bonus = if is_busiest { DEMAND_ZONE_BONUS_MS } else { 0.0 };
    let server_penalty = if same_server { SAME_SERVER_PENALTY_MS } else { 0.0 };
    let server = &input.plan.servers[server];
    let used = server.reserved_bytes as f64 / server.memory_bytes.max(1) as f64;
    server_penalty + zone_penalty - zone_bonus - ADAPTER_BONUS_MS * adapters as f64 + used
}

/// State of one pass over the wants.
#[derive(Debug)]
struct Pass<'a> {
    spaces: &'a BTreeMap<ServerName, Space>,
    merged: &'a BTreeMap<(ModelName, Option<AdapterName>), Merged>,
    taken: &'a BTreeSet<ReplicaId>,
    placed: &'a [(ModelName, ServerName)],
}

/// Replicas that demand asks for beyond the present supply.
fn missing_replicas(demand: &Merged, model: &Model, input: &Input<'_>) -> u32 {
    if demand.waiting == 0 {
        return 0;
    }
    let supply = input.supply(&demand.model, demand.adapter.as_ref());
    let have = supply.len() as u32;
    if have == 0 {
        return 1;
    }
    // What queues behind a load in progress says nothing about how many replicas the model needs.
    if supply.iter().any(|(_, it)| it.state == ReplicaState::Loading) {
        return 0;
    }
    let at_engines: u32 = supply
        .iter()
        .filter_map(|(id, it)| input.engines.get(&it.server).and_then(|view| view.replica(id)))
        .map(|it| it.running + it.waiting)
        .sum();
    // Both count the same requests; reports of routers are up to `DEMAND_TTL_MS` old.
    let load = (demand.waiting + demand.running).max(at_engines);
    let wanted = load.div_ceil(model.slots.max(1)).min(demand.max_replicas);
    wanted.saturating_sub(have)
}

/// Replicas that the configured minimum asks for; they come after all waiting requests.
fn minimum_wants(input: &Input<'_>, merged: &BTreeMap<(ModelName, Option<AdapterName>), Merged>) -> Vec<Want> {
    let models = input.config.models.values().filter(|it| it.pool == input.plan.pool);
    let mut wants: Vec<Want> = models
        .filter(|it| it.min_replicas > 0)
        .filter(|it| {
            merged
                .get(&(it.name.clone(), None))
                .is_none_or(|demand| demand.waiting == 0)
        })
        .flat_map(|it| {
            let have = input.supply(&it.name, None).len() as u32;
            let want = Want {
                model: it.name.clone(),
                adapter: None,
                score: 0.0,
            };
            std::iter::repeat_n(want, it.min_replicas.saturating_sub(have) as usize)
        })
        .collect();
    wants.sort_by(|a, b| a.model.cmp(&b.model));
    wants
}
