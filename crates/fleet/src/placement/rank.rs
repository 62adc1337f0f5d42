//! Planning of the next orders.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use guava_core::units::Millis;

use super::need::{Waiting, WantedModel};
use super::{
    ABSENT_CACHE_MS, AbsentModels, Engine, LARGE_FLEET_ENGINES, LoadPlan, MAX_PRELOADS, MAX_SLOT_UTILISATION,
    MAX_STORE_LOADS, MAX_STORE_LOADS_FOR_WAITING, MIN_RESIDENCY_MS, ModelState, Order, OrderKind, Placement,
    STORE_WINDOW_MS, Tier, VmReport, Wait,
};
use crate::model::{EngineSpec, ServerState};

/// Number of running requests that count as much as one arrival per second in the eviction cost, which keeps
/// models in use loaded.
const RUNNING_PER_ARRIVAL: f64 = 50.0;

/// Prompt tokens per second for which one replica is enough. It is half of what pacing lets an engine process, which
/// leaves the other half to the engine's other models.
const TOKENS_PER_REPLICA: f64 = 5_000.0;
/// Factor on the eviction cost of a replica while the other replicas of its model are enough.
const SPARE_REPLICA_FACTOR: f64 = 0.1;
/// Cost of each arrival per second that an engine already receives, in seconds of load time: another model makes its
/// streams pause more.
const ARRIVAL_RATE_COST: f64 = 0.4;
/// Cost of each model on an engine's disk, in seconds of load time; spreads copies over the engines.
const DISK_COPY_COST: f64 = 0.01;
/// Cost of a second that a request waits for a reload, in seconds of load time.
const RELOAD_WAIT_COST: f64 = 4.0;
/// Maximum number of additional replicas of one model that are planned in one round.
const MAX_REPLICAS_PER_ROUND: usize = 2;
/// Time after its last request before an adapter may be unloaded; most streams end within it.
const ADAPTER_IDLE_MS: u64 = 1_500;

/// Demand for one model over all VMs.
#[derive(Debug, Default, Clone)]
struct ModelDemand {
    waiting: u32,
    /// Waiting requests by the software version that they are bound to; `None` for those that any engine may run.
    by_version: BTreeMap<Option<String>, Waiting>,
    running: u32,
    rate: f64,
    tokens_per_s: f64,
    /// Adapters that requests wait for, with the version that these are bound to.
    adapters: Vec<(String, Option<String>)>,
}

/// Model that requests wait for.
struct RankedModel {
    model: String,
    /// Software version that the requests are bound to.
    version: Option<String>,
    waiting: Waiting,
    /// Milliseconds for which nothing has served them.
    unserved_ms: u64,
    /// Shortest time that a load takes.
    load_ms: u64,
}

impl RankedModel {
    /// Requests that are bound to a version have fewer engines than those that any engine may run.
    fn rank(&self) -> (bool, f64) {
        (
            self.version.is_some(),
            self.waiting.worth(self.load_ms, self.unserved_ms),
        )
    }
}

/// Number of running requests, by engine and model.
type RunningCounts = HashMap<String, HashMap<String, u32>>;

/// Engine that can take a load, with the cost of loading there.
struct LoadCandidate {
    engine: String,
    victims: Vec<String>,
    from_store: bool,
    cost: f64,
}

impl Placement {
    /// Returns the orders to send now, and records each as sent.
    pub fn next_orders(&mut self, now: Millis) -> Vec<Order> {
        self.recent_store_loads.retain(|it| now.since(*it) < STORE_WINDOW_MS);
        let mut orders = Vec::new();
        let services: Vec<String> = self.specs.keys().cloned().collect();
        let running = self.running(now);
        for service in services {
            let mut round = PlanningRound {
                demand: self.model_demand(&service, now),
                counts: self.model_counts(&service, None, now),
                store: self.store_load_counts(),
                running: &running,
                now,
            };
            self.plan_adapters(&service, &round, &mut orders);
            self.plan_extra_replicas(&service, &mut round);
            self.plan_missing_models(&service, &mut round);
            self.plan_preloads(&service, &mut round);
        }
        self.send_plans(now, &mut orders);
        orders
    }

    /// Running requests of all VMs, by engine and model.
    fn running(&self, now: Millis) -> RunningCounts {
        let mut counts = RunningCounts::new();
        for it in self.valid_reports(now).flat_map(|it| &it.running) {
            let models = counts.entry(it.server.clone()).or_default();
            *models.entry(it.model.clone()).or_default() += it.count;
        }
        counts
    }

    /// Shortest time until each model that requests wait for can take them.
    ///
    /// The times are lower bounds by design: a request is refused only if even the lower bound is too long for it.
    pub fn waits(&self, now: Millis) -> Vec<Wait> {
        let mut waits = Vec::new();
        for (service, spec) in &self.specs {
            let demand = self.model_demand(service, now);
            let waiting = self.ranked(service, &demand, now);
            let versions: BTreeSet<Option<&str>> = waiting.iter().map(|it| it.version.as_deref()).collect();
            let counts = versions.into_iter().map(|it| (it, self.model_counts(service, it, now)));
            let counts: HashMap<Option<&str>, HashMap<String, ModelCount>> = counts.collect();
            let mut queued = 0;
            for ranked in &waiting {
                let (model, version) = (&ranked.model, ranked.version.as_deref());
                let Some(model_spec) = spec.models.get(model) else {
                    continue;
                };
                let count = counts[&version].get(model).copied().unwrap_or_default();
                let engines = || self.engines_of(service).filter(move |it| it.runs(version));
                if version.is_some() && engines().next().is_none() {
                    continue;
                }
                let time_left = || engines().filter_map(|it| it.load_left_ms(spec, model, now)).min();
                let ms = match count {
                    _ if count.replicas > 0 && !self.is_stranded(service, model, version, now) => 0,
                    _ if count.loads > 0 => time_left().unwrap_or(0),
                    _ if engines().any(|it| it.has_local_copy(model)) => model_spec.host_ms,
                    // A load for another version of the same model may serve these requests as well.
                    _ if version.is_some() => model_spec.store_ms,
                    _ => {
                        let rounds_before = queued / MAX_STORE_LOADS as u64;
                        queued += 1;
                        model_spec.store_ms * (rounds_before + 1)
                    }
                };
                waits.push(Wait {
                    service: service.clone(),
                    model: model.clone(),
                    version: version.map(str::to_owned),
                    ms,
                });
            }
        }
        waits
    }

    fn model_demand(&self, service: &str, now: Millis) -> BTreeMap<String, ModelDemand> {
        let mut demand: BTreeMap<String, ModelDemand> = BTreeMap::new();
        for report in self.valid_reports(now) {
            let wanted = report.demand.iter().zip(&report.needs);
            for (it, need) in wanted.filter(|(it, _)| it.service == service) {
                let entry = demand.entry(it.model.clone()).or_default();
                entry.waiting += it.waiting;
                if it.waiting > 0 {
                    let waiting = entry.by_version.entry(it.version.clone()).or_default();
                    waiting.add(it, need, now.since(report.at));
                    let adapter = it.adapter.iter().cloned();
                    entry
                        .adapters
                        .extend(adapter.map(|adapter| (adapter, it.version.clone())));
                }
            }
            for it in &report.running {
                let is_of_service = self
                    .engines
                    .get(&it.server)
                    .is_some_and(|e| e.server.service == service);
                if is_of_service {
                    demand.entry(it.model.clone()).or_default().running += it.count;
                }
            }
        }
        for ((rate_service, model), rate) in &self.arrival_rates {
            if rate_service == service {
                let entry = demand.entry(model.clone()).or_default();
                entry.rate = rate.per_second(now);
                entry.tokens_per_s = rate.tokens_per_second(now);
            }
        }
        demand
    }

    /// Loads the adapters that requests wait for, at engines that hold their model.
    fn plan_adapters(&mut self, service: &str, round: &PlanningRound<'_>, orders: &mut Vec<Order>) {
        let now = round.now;
        let Some(slots) = self.specs.get(service).map(|it| it.adapter_slots as usize) else {
            return;
        };
        let requested = round.demand.iter().flat_map(|(model, it)| {
            it.adapters
                .iter()
                .map(move |(adapter, version)| (model, adapter, version))
        });
        let requested: HashSet<(&String, &String, &Option<String>)> = requested.collect();
        let mut holders: HashMap<&String, Vec<String>> =
            requested.iter().map(|(model, ..)| (*model, Vec::new())).collect();
        for engine in self.engines_of(service).filter(|_| !requested.is_empty()) {
            for model in engine.held.keys().filter(|it| engine.serves(it)) {
                if let Some(holders) = holders.get_mut(model) {
                    holders.push(engine.server.id.clone());
                }
            }
        }
        for (model, adapter, version) in requested {
            let holders = holders[model].iter().filter_map(|id| self.engines.get(id));
            let holders = holders.filter(|it| it.runs(version.as_deref()));
            let holders: Vec<&Engine> = holders.filter(|it| it.takes_orders(&self.order_times, now)).collect();
            if holders.iter().any(|it| it.held[model].adapters.contains_key(adapter)) {
                continue;
            }
            let free = holders
                .into_iter()
                .filter(|it| it.pending.is_none() && it.plan.is_none());
            let Some(engine) = free.min_by_key(|it| adapter_count(it)) else {
                continue;
            };
            let order = if adapter_count(engine) < slots {
                engine.order(OrderKind::LoadAdapter(adapter.clone()), model)
            } else {
                let Some((adapter_model, name)) = self.oldest_adapter(service, engine, now) else {
                    continue;
                };
                engine.order(OrderKind::UnloadAdapter(name), &adapter_model)
            };
            self.start_order(&order, false, now);
            orders.push(order);
        }
    }

    /// Least recently used adapter of an engine, with its model; `None` if its last use is so recent that a request may
    /// still use it.
    fn oldest_adapter(&self, service: &str, engine: &Engine, now: Millis) -> Option<(String, String)> {
        let all = engine.held.iter().flat_map(|(model, held)| {
            let names = held.adapters.iter();
            names.map(move |(name, since)| (model.clone(), name.clone(), *since))
        });
        let last_used = |model: &String, name: &String, since: Millis| {
            let key = (service.to_owned(), model.clone(), name.clone());
            self.adapter_last_used.get(&key).copied().unwrap_or(since).max(since)
        };
        let ranked = all.map(|(model, name, since)| (last_used(&model, &name, since), model, name));
        let oldest = ranked
            .min()
            .filter(|(last_used, ..)| now.since(*last_used) >= ADAPTER_IDLE_MS);
        oldest.map(|(_, model, name)| (model, name))
    }

    /// Plans loads of models that requests wait for, if no engine that accepts new requests holds or loads them.
    fn plan_missing_models(&mut self, service: &str, round: &mut PlanningRound<'_>) {
        let is_missing = |model: &str, version: Option<&str>| {
            !self.is_placed(service, round, model, version)
                || (round.count(model).loads == 0 && self.is_stranded(service, model, version, round.now))
        };
        let wanted = round.demand.iter().flat_map(|(model, it)| {
            let versions = it.by_version.iter();
            versions.map(move |(version, waiting)| (model, version, waiting.oldest_ms))
        });
        let wanted = wanted.filter(|(model, version, _)| is_missing(model, version.as_deref()));
        let wanted: Vec<(WantedModel, u64)> = wanted
            .map(|(model, version, oldest_ms)| {
                let wanted = (service.to_owned(), model.clone(), version.clone());
                (wanted, oldest_ms)
            })
            .collect();
        let known = self.unserved.models_of(service);
        let served = known.filter(|(_, model, version)| !is_missing(model, version.as_deref()));
        let served: Vec<WantedModel> = served.cloned().collect();
        self.unserved.observe(&wanted, &served, round.now);
        let mut missing = self.ranked(service, &round.demand, round.now);
        missing.retain(|it| {
            wanted
                .iter()
                .any(|((_, model, version), _)| *model == it.model && *version == it.version)
                && !it.waiting.is_too_late(it.load_ms, it.unserved_ms)
        });
        while !missing.is_empty() {
            let longest = missing.iter().enumerate().max_by_key(|(_, it)| it.unserved_ms);
            let next = longest.filter(|_| self.unserved.is_turn_of_longest());
            let index = next.map_or(0, |(index, _)| index);
            let it = missing.remove(index);
            let version = it.version.as_deref();
            // A load for requests of another version may have been planned before.
            if !self.is_placed(service, round, &it.model, version) || round.count(&it.model).loads == 0 {
                let planned = round.store.planned;
                self.plan_load(service, &it.model, version, round, MAX_STORE_LOADS_FOR_WAITING, true);
                if round.store.planned > planned {
                    self.unserved.record_load();
                }
            }
        }
    }

    /// Models of a service that requests wait for, in the order in which they are loaded.
    fn ranked(&self, service: &str, demand: &BTreeMap<String, ModelDemand>, now: Millis) -> Vec<RankedModel> {
        let Some(spec) = self.specs.get(service) else {
            return Vec::new();
        };
        let waiting = demand.iter().flat_map(|(model, it)| {
            let versions = it.by_version.iter();
            versions.map(move |(version, waiting)| (model, version, *waiting))
        });
        let mut ranked: Vec<RankedModel> = waiting
            .map(|(model, version, waiting)| {
                let wanted = (service.to_owned(), model.clone(), version.clone());
                let engines = self.engines_of(service);
                let engines = engines.filter(|it| it.runs(version.as_deref()) && it.server.state == ServerState::Ready);
                let load_ms = engines.map(|it| load_ms(it, spec, model)).min();
                RankedModel {
                    unserved_ms: self.unserved.unserved_ms(&wanted, now),
                    load_ms: load_ms.unwrap_or(0),
                    model: wanted.1,
                    version: wanted.2,
                    waiting,
                }
            })
            .collect();
        ranked.sort_by(|a, b| b.rank().partial_cmp(&a.rank()).expect("finite"));
        ranked
    }

    /// Whether most VMs with requests that wait for a model have been asked for a rest by all engines that serve it.
    fn is_stranded(&self, service: &str, model: &str, version: Option<&str>, now: Millis) -> bool {
        if self.valid_reports(now).all(|it| it.rests.is_empty()) {
            return false;
        }
        let engines = self
            .engines_of(service)
            .filter(|it| it.runs(version) && it.server.state == ServerState::Ready && it.serves(model));
        let engines: Vec<&Engine> = engines.collect();
        let waits = |it: &&VmReport| {
            let mut demand = it.demand.iter();
            demand.any(|it| {
                it.waiting > 0 && it.service == service && it.model == model && it.version.as_deref() == version
            })
        };
        let waiting: Vec<&VmReport> = self.valid_reports(now).filter(waits).collect();
        let has_rest = |vm: &&&VmReport| engines.iter().all(|it| vm.rests_from(it, now));
        !engines.is_empty() && 2 * waiting.iter().filter(has_rest).count() > waiting.len()
    }

    /// Whether an engine that runs `version` and accepts requests holds the model or will hold it.
    fn is_placed(&self, service: &str, round: &PlanningRound<'_>, model: &str, version: Option<&str>) -> bool {
        if version.is_none() {
            return round.count(model).is_placed();
        }
        let mut engines = self
            .engines_of(service)
            .filter(|it| it.runs(version) && it.server.state == ServerState::Ready);
        engines.any(|it| it.serves(model) || it.loading_models().any(|loading| loading == model))
    }

    /// Plans additional replicas of models that get more requests than their replicas can answer in time.
    fn plan_extra_replicas(&mut self, service: &str, round: &mut PlanningRound<'_>) {
        let Some(slots) = self.specs.get(service).map(|it| f64::from(it.slots)) else {
            return;
        };
        let mut overloaded: Vec<(f64, usize, String)> = Vec::new();
        for (model, it) in &round.demand {
            let count = round.count(model);
            let (replicas, loading) = (count.replicas, count.loads);
            let by_rate = it.tokens_per_s / TOKENS_PER_REPLICA;
            let by_running = f64::from(it.running + it.waiting) / (MAX_SLOT_UTILISATION * slots);
            let desired = by_rate.max(by_running).ceil() as usize;
            if replicas > 0 && desired > replicas + loading {
                let overload_ratio = desired as f64 / (replicas + loading) as f64;
                overloaded.push((
                    overload_ratio,
                    (desired - replicas - loading).min(MAX_REPLICAS_PER_ROUND),
                    model.clone(),
                ));
            }
        }
        overloaded.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, count, model) in overloaded {
            for _ in 0..count {
                self.plan_load(service, &model, None, round, MAX_STORE_LOADS, false);
            }
        }
    }

    /// Plans preloads of models of which no engine has a local copy.
    fn plan_preloads(&mut self, service: &str, round: &mut PlanningRound<'_>) {
        let Some(spec) = self.specs.get(service) else {
            return;
        };
        if !self.may_use_store(spec, round, MAX_PRELOADS) {
            return;
        }
        let mut absent = self.absent_models(service, round.now);
        let rate = |model: &String| round.demand.get(model).map_or(0.0, |it| it.rate);
        absent.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        // Size of the smallest model that did not fit on any engine; larger ones do not fit either.
        let mut smallest_unfit_mb = f64::INFINITY;
        for model in absent {
            let Some(spec) = self.specs.get(service) else {
                return;
            };
            if !self.may_use_store(spec, round, MAX_PRELOADS) {
                return;
            }
            let mb = spec.models.get(&model).map_or(f64::INFINITY, |it| it.mb);
            let is_absent = || !self.engines_of(service).any(|it| it.has_local_copy(&model));
            if mb < smallest_unfit_mb
                && is_absent()
                && !self.plan_load(service, &model, None, round, MAX_PRELOADS, false)
            {
                smallest_unfit_mb = mb;
            }
        }
    }

    /// Models of a service of which no engine has a local copy. In a large fleet the result is cached.
    fn absent_models(&mut self, service: &str, now: Millis) -> Vec<String> {
        let is_large = self.engines.len() > LARGE_FLEET_ENGINES;
        let cached = self.absent.get(service);
        if let Some(cached) = cached.filter(|it| is_large && now.since(it.at) < ABSENT_CACHE_MS) {
            return cached.models.clone();
        }
        let engines = self.engines_of(service);
        let local_copies: HashSet<&String> = engines
            .flat_map(|it| it.held.keys().chain(&it.in_memory).chain(&it.on_disk))
            .collect();
        let models = self.specs.get(service).into_iter().flat_map(|it| it.models.keys());
        let models: Vec<String> = models.filter(|it| !local_copies.contains(it)).cloned().collect();
        let absent = AbsentModels {
            models: models.clone(),
            at: now,
        };
        self.absent.insert(service.to_owned(), absent);
        models
    }

    /// Plans a load at the engine with the lowest cost, among those that run `version`. Returns false if no engine can
    /// take it now.
    ///
    /// `is_urgent` states that requests wait for the model and no engine that accepts requests holds or loads it. Models
    /// that became ready less than [`MIN_RESIDENCY_MS`] ago are then not evicted for it.
    fn plan_load(
        &mut self,
        service: &str,
        model: &str,
        version: Option<&str>,
        round: &mut PlanningRound<'_>,
        max_store_loads: usize,
        is_urgent: bool,
    ) -> bool {
        let now = round.now;
        let Some(spec) = self.specs.get(service).filter(|it| it.models.contains_key(model)) else {
            return false;
        };
        let may_use_store = self.may_use_store(spec, round, max_store_loads);
        let context = LoadContext {
            spec,
            round,
            weights_budget_mb: spec.memory_mb - reserved_adapter_mb(spec),
        };
        let candidates = self.engines_of(service).filter(|it| {
            it.runs(version)
                && it.pending.is_none()
                && it.plan.is_none()
                && !it.held.contains_key(model)
                && (may_use_store || it.has_local_copy(model))
                && it.takes_orders(&self.order_times, now)
        });
        let candidates = candidates.filter_map(|it| load_candidate(it, &context, model, is_urgent));
        let Some(best) = candidates.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&best.engine) else {
            return false;
        };
        round.record_plan(model, best.from_store);
        engine.plan = Some(LoadPlan {
            model: model.to_owned(),
            victims: best.victims,
            from_store: best.from_store,
        });
        true
    }

    fn send_plans(&mut self, now: Millis, orders: &mut Vec<Order>) {
        let mut next = Vec::new();
        for engine in self.engines.values_mut() {
            if engine.pending.is_some() || !engine.takes_orders(&self.order_times, now) {
                continue;
            }
            let Some(plan) = &mut engine.plan else {
                continue;
            };
            plan.victims.retain(|it| engine.held.contains_key(it));
            if let Some(victim) = plan.victims.pop() {
                next.push((engine.order(OrderKind::Unload, &victim), false));
                continue;
            }
            let plan = engine.plan.take().expect("present above");
            let Some(spec) = self.specs.get(&engine.server.service) else {
                continue;
            };
            let needed_mb = spec.models.get(&plan.model).map_or(f64::MAX, |it| it.mb);
            if engine.weights_mb(spec) + reserved_adapter_mb(spec) + needed_mb <= spec.memory_mb {
                next.push((engine.order(OrderKind::Load, &plan.model), plan.from_store));
            }
        }
        for (order, from_store) in next {
            self.start_order(&order, from_store, now);
            orders.push(order);
        }
    }

    pub(super) fn load_ms(&self, server: &str, model: &str) -> u64 {
        let engine = self.engines.get(server);
        let spec = engine.and_then(|it| self.specs.get(&it.server.service));
        engine
            .zip(spec)
            .map_or(0, |(engine, spec)| load_ms(engine, spec, model))
    }

    /// Counts the loads from the weight store that are pending or planned.
    fn store_load_counts(&self) -> StoreLoadCounts {
        let mut store = StoreLoadCounts::default();
        for engine in self.engines.values() {
            store.planned += usize::from(engine.plans_store_load());
            store.pending += usize::from(engine.pending.as_ref().is_some_and(|it| it.from_store));
        }
        store
    }

    /// Whether one more load from the weight store may be planned, within its rate limit and while fewer than
    /// `max_store_loads` are pending or planned.
    fn may_use_store(&self, spec: &EngineSpec, round: &PlanningRound<'_>, max_store_loads: usize) -> bool {
        let allowed = spec.loads_per_s * STORE_WINDOW_MS as f64 / 1_000.0;
        let in_window = self.recent_store_loads.len() + round.store.planned + 1;
        round.store.planned + round.store.pending < max_store_loads && in_window as f64 <= allowed
    }

    /// Engines of a service outside evacuated zones.
    fn engines_of(&self, service: &str) -> impl Iterator<Item = &Engine> {
        let engines = self.engines.values();
        engines.filter(move |it| it.server.service == service && !self.is_evacuated(it))
    }

    /// Number of engines that run `version` and hold or load each model of a service.
    fn model_counts(&self, service: &str, version: Option<&str>, now: Millis) -> HashMap<String, ModelCount> {
        let mut counts: HashMap<String, ModelCount> = HashMap::new();
        for engine in self.engines_of(service).filter(|it| it.runs(version)) {
            let takes_requests = usize::from(engine.server.state == ServerState::Ready);
            for (model, _) in engine.held.iter().filter(|(_, held)| held.is_ready) {
                let count = count_entry(&mut counts, model);
                count.held += 1;
                if !engine.doubts.is_refusing(model, now) {
                    count.replicas += takes_requests;
                }
            }
            for model in engine.loading_models() {
                let count = count_entry(&mut counts, model);
                count.loads += 1;
                count.future_replicas += takes_requests;
            }
        }
        counts
    }
}

/// Entry of a model. Most entries exist already, and looking them up needs no copy of the name.
fn count_entry<'a>(counts: &'a mut HashMap<String, ModelCount>, model: &str) -> &'a mut ModelCount {
    if !counts.contains_key(model) {
        counts.insert(model.to_owned(), ModelCount::default());
    }
    counts.get_mut(model).expect("inserted above")
}

/// Number of engines that hold or load a model.
#[derive(Debug, Default, Clone, Copy)]
struct ModelCount {
    /// Engines that hold it.
    held: usize,
    /// Engines that hold it and accept new requests.
    replicas: usize,
    /// Engines where its load is planned or pending.
    loads: usize,
    /// Engines where its load is planned or pending and that accept new requests.
    future_replicas: usize,
}

impl ModelCount {
    /// Whether an engine that accepts new requests holds the model or will hold it.
    fn is_placed(self) -> bool {
        self.replicas + self.future_replicas > 0
    }
}

/// Number of loads from the weight store.
#[derive(Debug, Default)]
struct StoreLoadCounts {
    planned: usize,
    pending: usize,
}

/// State that all decisions of one planning round about a service share.
struct PlanningRound<'a> {
    demand: BTreeMap<String, ModelDemand>,
    counts: HashMap<String, ModelCount>,
    store: StoreLoadCounts,
    running: &'a RunningCounts,
    now: Millis,
}

impl PlanningRound<'_> {
    fn count(&self, model: &str) -> ModelCount {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// Counts a load that was planned at an engine that accepts new requests.
    fn record_plan(&mut self, model: &str, from_store: bool) {
        let count = count_entry(&mut self.counts, model);
        count.loads += 1;
        count.future_replicas += 1;
        self.store.planned += usize::from(from_store);
    }
}

/// Inputs for comparing engines for one load.
struct LoadContext<'a> {
    spec: &'a EngineSpec,
    round: &'a PlanningRound<'a>,
    /// Memory of an engine that is available for weights, in MB.
    weights_budget_mb: f64,
}

impl LoadContext<'_> {
    /// Number of engines that hold a model; zero counts as one.
    fn holder_count(&self, model: &str) -> f64 {
        self.round.count(model).held.max(1) as f64
    }

    /// Arrivals per second at an engine, assuming that the replicas of each model share them evenly.
    fn rate_at(&self, engine: &Engine) -> f64 {
        let rates = engine.held.keys().map(|model| {
            let rate = self.round.demand.get(model).map_or(0.0, |it| it.rate);
            rate / self.holder_count(model)
        });
        rates.sum()
    }

    /// Cost of evicting a model from an engine, as the seconds of load time that keeping it is expected to save.
    fn eviction_cost(&self, engine: &Engine, model: &str) -> f64 {
        let demand = self.round.demand.get(model);
        let (rate, running) = demand.map_or((0.0, 0), |it| (it.rate, it.running));
        let tokens_per_s = demand.map_or(0.0, |it| it.tokens_per_s);
        let holders = self.holder_count(model);
        let reload_s = load_ms(engine, self.spec, model) as f64 / 1_000.0;
        let use_per_holder = (rate + f64::from(running) / RUNNING_PER_ARRIVAL) / holders;
        // If the only replica is evicted, the model's next request has to wait for a load. With several replicas, the
        // others may be enough.
        let is_spare = holders > 1.0 && tokens_per_s < TOKENS_PER_REPLICA * (holders - 1.0);
        let factor = if is_spare { SPARE_REPLICA_FACTOR } else { 1.0 };
        use_per_holder * reload_s * factor * RELOAD_WAIT_COST
    }

    /// Whether a model must not be evicted from an engine.
    fn is_in_use(&self, engine: &Engine, model: &str, held: &ModelState, is_urgent: bool) -> bool {
        let running = self.round.running.get(&engine.server.id).and_then(|it| it.get(model));
        let waiting = self.round.demand.get(model).map_or(0, |it| it.waiting);
        let is_recently_loaded = self.round.now.since(held.since) < MIN_RESIDENCY_MS && is_urgent;
        running.is_some_and(|it| *it > 0) || waiting > 0 || is_recently_loaded
    }
}

/// Cost of loading `model` at an engine: the load time and the eviction cost of the models that it replaces. `None` if
/// the engine has too little memory even after all possible evictions.
fn load_candidate(engine: &Engine, context: &LoadContext<'_>, model: &str, is_urgent: bool) -> Option<LoadCandidate> {
    let spec = context.spec;
    let needed_mb = spec.models.get(model)?.mb;
    let mut free_mb = context.weights_budget_mb - engine.weights_mb(spec);
    let mut cost = load_ms(engine, spec, model) as f64 / 1_000.0;
    let evictable = engine
        .held
        .iter()
        .filter(|(name, held)| held.is_ready && !context.is_in_use(engine, name, held, is_urgent));
    let mut evictable: Vec<(f64, &String)> = evictable
        .map(|(name, _)| (context.eviction_cost(engine, name), name))
        .collect();
    evictable.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut victims = Vec::new();
    for (eviction_cost, name) in evictable {
        if free_mb >= needed_mb {
            break;
        }
        free_mb += spec.models.get(name).map_or(0.0, |it| it.mb);
        cost += eviction_cost;
        victims.push(name.clone());
    }
    cost += ARRIVAL_RATE_COST * context.rate_at(engine);
    cost += DISK_COPY_COST * engine.on_disk.len() as f64;
    (free_mb >= needed_mb).then(|| LoadCandidate {
        engine: engine.server.id.clone(),
        victims,
        from_store: !engine.has_local_copy(model),
        cost,
    })
}

impl Engine {
    fn order(&self, kind: OrderKind, model: &str) -> Order {
        Order {
            server: self.server.id.clone(),
            address: self.server.address,
            kind,
            model: model.to_owned(),
            follows: self.accepted_orders,
        }
    }

    /// Whether the engine runs a software version; `None` stands for any.
    fn runs(&self, version: Option<&str>) -> bool {
        version.is_none() || self.server.version.as_deref() == version
    }

    fn weights_mb(&self, spec: &EngineSpec) -> f64 {
        let models = self.held.keys().filter_map(|it| spec.models.get(it));
        models.map(|it| it.mb).sum()
    }

    /// Models whose load is pending or planned.
    fn loading_models(&self) -> impl Iterator<Item = &String> {
        let loading = self.pending.as_ref().map(|it| &it.order);
        let loading = loading.filter(|it| it.kind == OrderKind::Load).map(|it| &it.model);
        let planned = self.plan.as_ref().map(|it| &it.model);
        loading.into_iter().chain(planned)
    }

    /// Shortest time until a pending or planned load ends; `None` if the engine does not load the model.
    fn load_left_ms(&self, spec: &EngineSpec, model: &str, now: Millis) -> Option<u64> {
        if self.plans_load_of(model) {
            return Some(load_ms(self, spec, model));
        }
        let held = self.held.get(model).filter(|_| self.is_loading(model))?;
        Some(load_ms(self, spec, model).saturating_sub(now.since(held.since)))
    }

    fn has_local_copy(&self, model: &str) -> bool {
        self.held.contains_key(model) || self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Whether the engine holds the model and takes requests for it.
    fn serves(&self, model: &str) -> bool {
        self.held.get(model).is_some_and(|held| held.is_ready)
    }

    /// Whether a load of the model is planned.
    fn plans_load_of(&self, model: &str) -> bool {
        self.plan.as_ref().is_some_and(|it| it.model == model)
    }

    fn plans_store_load(&self) -> bool {
        self.plan.as_ref().is_some_and(|it| it.from_store)
    }

    fn is_loading(&self, model: &str) -> bool {
        let is_load = |it: &super::PendingOrder| it.order.kind == OrderKind::Load && it.order.model == model;
        self.pending.as_ref().is_some_and(is_load)
    }
}

/// Memory that the adapter slots may take at most, in MB. It is reserved so that adapters never require a model to be
/// evicted.
fn reserved_adapter_mb(spec: &EngineSpec) -> f64 {
    let largest = spec.models.values().map(|it| it.adapter_mb).fold(0.0, f64::max);
    largest * f64::from(spec.adapter_slots)
}

fn adapter_count(engine: &Engine) -> usize {
    engine.held.values().map(|it| it.adapters.len()).sum()
}

fn load_ms(engine: &Engine, spec: &EngineSpec, model: &str) -> u64 {
    let Some(model_spec) = spec.models.get(model) else {
        return 0;
    };
    match engine.tier(model) {
        Tier::Memory => model_spec.host_ms,
        Tier::Disk => model_spec.disk_ms,
        Tier::Store => model_spec.store_ms,
    }
}
