//! Which order comes next.

use std::collections::{BTreeMap, HashMap, HashSet};

use guava_core::units::Millis;

use super::{
    ABSENT_MS, AHEAD_AT_ONCE, Absent, DWELL_MS, Engine, FULL_PART, Held, LoadPlan, MANY_ENGINES, Order, OrderKind,
    Placement, STORE_LOADS_AT_ONCE, STORE_WINDOW_MS, Tier, WAITING_AT_ONCE, Wait,
};
use crate::model::{EngineSpec, ServerState};

/// Value of a model's presence per request that runs there, in requests per reload second; keeps models in use.
const RUNNING_VALUE: f64 = 50.0;

/// Prompt tokens per second for which one replica is enough: half of what pacing lets an engine read, which leaves the
/// other half to the other models of the engine.
const TOKENS_PER_REPLICA: f64 = 5_000.0;
/// Part of a replica's worth that is left while the other replicas of its model are enough.
const SPARE_PART: f64 = 0.1;
/// Cost of each arrival per second that an engine gets already, in seconds of load time: its streams would pause more.
const LOAD_COST: f64 = 0.4;
/// Cost of each model on an engine's disk, in seconds of load time; spreads copies over the engines.
const DISK_COST: f64 = 0.01;
/// Cost of a second that a request waits for a reload, in seconds of load time.
const WAITING_COST: f64 = 4.0;
/// Replicas of one model that are planned in one round.
const LOADS_PER_ROUND: usize = 2;
/// Time after its last request from which on an adapter may make way; most streams end within it.
const ADAPTER_IDLE_MS: u64 = 1_500;

/// Demand for one model over all VMs.
#[derive(Debug, Default, Clone)]
struct Wanted {
    waiting: u32,
    running: u32,
    oldest_ms: u64,
    rate: f64,
    tokens_per_s: f64,
    adapters: Vec<String>,
}

/// Requests that run, by engine and model.
type RunningCounts = HashMap<String, HashMap<String, u32>>;

/// Where a load costs least.
struct Choice {
    engine: String,
    victims: Vec<String>,
    from_store: bool,
    cost: f64,
}

impl Placement {
    /// Orders to send now; each is marked as sent.
    pub fn next_orders(&mut self, now: Millis) -> Vec<Order> {
        self.store_loads.retain(|it| now.since(*it) < STORE_WINDOW_MS);
        let mut orders = Vec::new();
        let services: Vec<String> = self.specs.keys().cloned().collect();
        let running = self.running(now);
        for service in services {
            let mut round = Round {
                wanted: self.wanted(&service, now),
                counts: self.counts(&service),
                store: self.store_use(),
                running: &running,
                now,
            };
            self.plan_adapters(&service, &round, &mut orders);
            self.plan_full(&service, &mut round);
            self.plan_waiting(&service, &mut round);
            self.plan_ahead(&service, &mut round);
        }
        self.send_plans(now, &mut orders);
        orders
    }

    /// Requests from all VMs by engine and model.
    fn running(&self, now: Millis) -> RunningCounts {
        let mut counts = RunningCounts::new();
        for it in self.live_reports(now).flat_map(|it| &it.running) {
            let models = counts.entry(it.server.clone()).or_default();
            *models.entry(it.model.clone()).or_default() += it.count;
        }
        counts
    }

    /// Least time until each model that requests wait for can take them.
    ///
    /// The times are never too long by design: a request is refused when even they are too long for it.
    pub fn waits(&self, now: Millis) -> Vec<Wait> {
        let mut waits = Vec::new();
        for (service, spec) in &self.specs {
            let wanted = self.wanted(service, now);
            let counts = self.counts(service);
            let mut waiting: Vec<(&String, &Wanted)> = wanted.iter().filter(|(_, it)| it.waiting > 0).collect();
            waiting.sort_by_key(|(_, it)| std::cmp::Reverse(it.oldest_ms));
            let mut queued = 0;
            for (model, _) in waiting {
                let Some(size) = spec.models.get(model) else {
                    continue;
                };
                let count = counts.get(model).copied().unwrap_or_default();
                let engines = || self.engines_of(service);
                let left = || engines().filter_map(|it| it.load_left_ms(spec, model, now)).min();
                let ms = match count {
                    _ if count.held > 0 => 0,
                    _ if count.loads > 0 => left().unwrap_or(0),
                    _ if engines().any(|it| it.has_at_hand(model)) => size.host_ms,
                    _ => {
                        let rounds_before = queued / STORE_LOADS_AT_ONCE as u64;
                        queued += 1;
                        size.store_ms * (rounds_before + 1)
                    }
                };
                waits.push(Wait {
                    service: service.clone(),
                    model: model.clone(),
                    ms,
                });
            }
        }
        waits
    }

    fn wanted(&self, service: &str, now: Millis) -> BTreeMap<String, Wanted> {
        let mut wanted: BTreeMap<String, Wanted> = BTreeMap::new();
        for report in self.live_reports(now) {
            for it in report.demand.iter().filter(|it| it.service == service) {
                let entry = wanted.entry(it.model.clone()).or_default();
                entry.waiting += it.waiting;
                entry.oldest_ms = entry.oldest_ms.max(it.oldest_ms);
                if it.waiting > 0 {
                    entry.adapters.extend(it.adapter.clone());
                }
            }
            for it in &report.running {
                let is_here = self
                    .engines
                    .get(&it.server)
                    .is_some_and(|e| e.server.service == service);
                if is_here {
                    wanted.entry(it.model.clone()).or_default().running += it.count;
                }
            }
        }
        for ((of, model), rate) in &self.rates {
            if of == service {
                let entry = wanted.entry(model.clone()).or_default();
                entry.rate = rate.per_second(now);
                entry.tokens_per_s = rate.tokens_per_second(now);
            }
        }
        wanted
    }

    /// Loads adapters that requests wait for at an engine that holds their model.
    fn plan_adapters(&mut self, service: &str, round: &Round<'_>, orders: &mut Vec<Order>) {
        let now = round.now;
        let Some(slots) = self.specs.get(service).map(|it| it.adapter_slots as usize) else {
            return;
        };
        let asked = round
            .wanted
            .iter()
            .flat_map(|(model, it)| it.adapters.iter().map(move |adapter| (model, adapter)));
        let asked: HashSet<(&String, &String)> = asked.collect();
        let mut holders: HashMap<&String, Vec<String>> = asked.iter().map(|(model, _)| (*model, Vec::new())).collect();
        for engine in self.engines_of(service).filter(|_| !asked.is_empty()) {
            for model in engine.held.keys().filter(|it| engine.serves(it)) {
                if let Some(holders) = holders.get_mut(model) {
                    holders.push(engine.server.id.clone());
                }
            }
        }
        for (model, adapter) in asked {
            let holders = holders[model].iter().filter_map(|id| self.engines.get(id));
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
                let Some((owner, name)) = self.oldest_adapter(service, engine, now) else {
                    continue;
                };
                engine.order(OrderKind::UnloadAdapter(name), &owner)
            };
            self.start_order(&order, false, now);
            orders.push(order);
        }
    }

    /// Adapter that was used longest ago, unless that is so recent that a request may still use it.
    fn oldest_adapter(&self, service: &str, engine: &Engine, now: Millis) -> Option<(String, String)> {
        let all = engine.held.iter().flat_map(|(model, held)| {
            let names = held.adapters.iter();
            names.map(move |(name, since)| (model.clone(), name.clone(), *since))
        });
        let used = |model: &String, name: &String, since: Millis| {
            let key = (service.to_owned(), model.clone(), name.clone());
            self.adapter_use.get(&key).copied().unwrap_or(since).max(since)
        };
        let ranked = all.map(|(model, name, since)| (used(&model, &name, since), model, name));
        let oldest = ranked.min().filter(|(used, ..)| now.since(*used) >= ADAPTER_IDLE_MS);
        oldest.map(|(_, model, name)| (model, name))
    }

    /// Plans loads for models that requests wait for and that no engine holds.
    fn plan_waiting(&mut self, service: &str, round: &mut Round<'_>) {
        let missing = round.wanted.iter();
        let missing = missing.filter(|(model, it)| it.waiting > 0 && !round.count(model).is_placed());
        let mut missing: Vec<(u32, f64, String)> = missing
            .map(|(model, it)| (it.waiting, it.rate, model.clone()))
            .collect();
        missing.sort_by(|a, b| (b.0, b.1).partial_cmp(&(a.0, a.1)).expect("finite"));
        for (_, _, model) in missing {
            self.plan_load(service, &model, round, WAITING_AT_ONCE, true);
        }
    }

    /// Plans another replica for models that get more requests than their replicas answer in time.
    fn plan_full(&mut self, service: &str, round: &mut Round<'_>) {
        let Some(slots) = self.specs.get(service).map(|it| f64::from(it.slots)) else {
            return;
        };
        let mut full: Vec<(f64, usize, String)> = Vec::new();
        for (model, it) in &round.wanted {
            let count = round.count(model);
            let (replicas, coming) = (count.replicas, count.loads);
            let by_rate = it.tokens_per_s / TOKENS_PER_REPLICA;
            let by_running = f64::from(it.running + it.waiting) / (FULL_PART * slots);
            let wished = by_rate.max(by_running).ceil() as usize;
            if replicas > 0 && wished > replicas + coming {
                let excess = wished as f64 / (replicas + coming) as f64;
                full.push((excess, (wished - replicas - coming).min(LOADS_PER_ROUND), model.clone()));
            }
        }
        full.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, count, model) in full {
            for _ in 0..count {
                self.plan_load(service, &model, round, STORE_LOADS_AT_ONCE, false);
            }
        }
    }

    /// Plans loads of models that no engine has at hand.
    fn plan_ahead(&mut self, service: &str, round: &mut Round<'_>) {
        let Some(spec) = self.specs.get(service) else {
            return;
        };
        if !self.may_use_store(spec, round, AHEAD_AT_ONCE) {
            return;
        }
        let mut absent = self.absent_models(service, round.now);
        let rate = |model: &String| round.wanted.get(model).map_or(0.0, |it| it.rate);
        absent.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        // No engine has room for a model as large as one for which none had room.
        let mut too_large = f64::INFINITY;
        for model in absent {
            let Some(spec) = self.specs.get(service) else {
                return;
            };
            if !self.may_use_store(spec, round, AHEAD_AT_ONCE) {
                return;
            }
            let mb = spec.models.get(&model).map_or(f64::INFINITY, |it| it.mb);
            let is_absent = || !self.engines_of(service).any(|it| it.has_at_hand(&model));
            if mb < too_large && is_absent() && !self.plan_load(service, &model, round, AHEAD_AT_ONCE, false) {
                too_large = mb;
            }
        }
    }

    /// Models that no engine of a service has at hand; in a large fleet as found a moment ago.
    fn absent_models(&mut self, service: &str, now: Millis) -> Vec<String> {
        let is_large = self.engines.len() > MANY_ENGINES;
        let known = self.absent.get(service);
        if let Some(known) = known.filter(|it| is_large && now.since(it.at) < ABSENT_MS) {
            return known.models.clone();
        }
        let engines = self.engines_of(service);
        let at_hand: HashSet<&String> = engines
            .flat_map(|it| it.held.keys().chain(&it.in_memory).chain(&it.on_disk))
            .collect();
        let models = self.specs.get(service).into_iter().flat_map(|it| it.models.keys());
        let models: Vec<String> = models.filter(|it| !at_hand.contains(it)).cloned().collect();
        let absent = Absent {
            models: models.clone(),
            at: now,
        };
        self.absent.insert(service.to_owned(), absent);
        models
    }

    /// Plans a load where it costs least; false when no engine can take it now.
    fn plan_load(
        &mut self,
        service: &str,
        model: &str,
        round: &mut Round<'_>,
        at_once: usize,
        is_urgent: bool,
    ) -> bool {
        let now = round.now;
        let Some(spec) = self.specs.get(service).filter(|it| it.models.contains_key(model)) else {
            return false;
        };
        let may_use_store = self.may_use_store(spec, round, at_once);
        let outlook = Outlook {
            spec,
            round,
            room_mb: spec.memory_mb - adapter_room_mb(spec),
        };
        let choices = self.engines_of(service).filter(|it| {
            it.pending.is_none()
                && it.plan.is_none()
                && !it.held.contains_key(model)
                && (may_use_store || it.has_at_hand(model))
                && it.takes_orders(&self.order_times, now)
        });
        let choices = choices.filter_map(|it| weigh(it, &outlook, model, is_urgent));
        let Some(best) = choices.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&best.engine) else {
            return false;
        };
        round.note_plan(model, best.from_store);
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
            let need = spec.models.get(&plan.model).map_or(f64::MAX, |it| it.mb);
            if engine.weights_mb(spec) + adapter_room_mb(spec) + need <= spec.memory_mb {
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

    /// Loads from the weight store that run or are planned.
    fn store_use(&self) -> StoreUse {
        let mut store = StoreUse::default();
        for engine in self.engines.values() {
            store.planned += usize::from(engine.plans_store_load());
            store.pending += usize::from(engine.pending.as_ref().is_some_and(|it| it.from_store));
        }
        store
    }

    /// Whether one more load from the weight store may be planned beside at most `at_once`.
    fn may_use_store(&self, spec: &EngineSpec, round: &Round<'_>, at_once: usize) -> bool {
        let allowed = spec.loads_per_s * STORE_WINDOW_MS as f64 / 1_000.0;
        let in_window = self.store_loads.len() + round.store.planned + 1;
        round.store.planned + round.store.pending < at_once && in_window as f64 <= allowed
    }

    fn engines_of(&self, service: &str) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(move |it| it.server.service == service)
    }

    /// Engines that hold or load each model of a service.
    fn counts(&self, service: &str) -> HashMap<String, ModelCount> {
        let mut counts: HashMap<String, ModelCount> = HashMap::new();
        for engine in self.engines_of(service) {
            let takes_requests = usize::from(engine.server.state == ServerState::Ready);
            for (model, _) in engine.held.iter().filter(|(_, held)| held.is_ready) {
                let count = count_of(&mut counts, model);
                count.held += 1;
                count.replicas += takes_requests;
            }
            for model in engine.coming() {
                let count = count_of(&mut counts, model);
                count.loads += 1;
                count.coming += takes_requests;
            }
        }
        counts
    }
}

/// Entry of a model; most are there already, and a look-up needs no copy of the name.
fn count_of<'a>(counts: &'a mut HashMap<String, ModelCount>, model: &str) -> &'a mut ModelCount {
    if !counts.contains_key(model) {
        counts.insert(model.to_owned(), ModelCount::default());
    }
    counts.get_mut(model).expect("inserted above")
}

/// Engines that hold or load a model.
#[derive(Debug, Default, Clone, Copy)]
struct ModelCount {
    /// Engines that hold it.
    held: usize,
    /// Those of them that take requests.
    replicas: usize,
    /// Loads that are planned or under way.
    loads: usize,
    /// Those of them at engines that take requests.
    coming: usize,
}

impl ModelCount {
    /// Whether an engine that takes requests holds the model or is about to.
    fn is_placed(self) -> bool {
        self.replicas + self.coming > 0
    }
}

/// Loads from the weight store.
#[derive(Debug, Default)]
struct StoreUse {
    planned: usize,
    pending: usize,
}

/// What holds for all decisions of one round about a service.
struct Round<'a> {
    wanted: BTreeMap<String, Wanted>,
    counts: HashMap<String, ModelCount>,
    store: StoreUse,
    running: &'a RunningCounts,
    now: Millis,
}

impl Round<'_> {
    fn count(&self, model: &str) -> ModelCount {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// Counts a load that was planned at an engine that takes requests.
    fn note_plan(&mut self, model: &str, from_store: bool) {
        let count = count_of(&mut self.counts, model);
        count.loads += 1;
        count.coming += 1;
        self.store.planned += usize::from(from_store);
    }
}

/// What decides between the engines for one load.
struct Outlook<'a> {
    spec: &'a EngineSpec,
    round: &'a Round<'a>,
    /// Memory of an engine for weights.
    room_mb: f64,
}

impl Outlook<'_> {
    fn copies(&self, model: &str) -> f64 {
        self.round.count(model).held.max(1) as f64
    }

    /// Arrivals per second at an engine, if the replicas of each model share them evenly.
    fn rate_at(&self, engine: &Engine) -> f64 {
        let rates = engine.held.keys().map(|model| {
            let rate = self.round.wanted.get(model).map_or(0.0, |it| it.rate);
            rate / self.copies(model)
        });
        rates.sum()
    }

    /// What the presence of a model at an engine is worth, in seconds of load time that it saves.
    fn worth(&self, engine: &Engine, model: &str) -> f64 {
        let demand = self.round.wanted.get(model);
        let (rate, running) = demand.map_or((0.0, 0), |it| (it.rate, it.running));
        let tokens_per_s = demand.map_or(0.0, |it| it.tokens_per_s);
        let copies = self.copies(model);
        let reload_s = load_ms(engine, self.spec, model) as f64 / 1_000.0;
        let use_per_copy = (rate + f64::from(running) / RUNNING_VALUE) / copies;
        // A model with one replica sends its next request into a load; with more, the others may be enough.
        let is_spare = copies > 1.0 && tokens_per_s < TOKENS_PER_REPLICA * (copies - 1.0);
        let part = if is_spare { SPARE_PART } else { 1.0 };
        use_per_copy * reload_s * part * WAITING_COST
    }

    /// Whether a model must stay at an engine.
    fn is_in_use(&self, engine: &Engine, model: &str, held: &Held, is_urgent: bool) -> bool {
        let running = self.round.running.get(&engine.server.id).and_then(|it| it.get(model));
        let waiting = self.round.wanted.get(model).map_or(0, |it| it.waiting);
        let is_fresh = self.round.now.since(held.since) < DWELL_MS && is_urgent;
        running.is_some_and(|it| *it > 0) || waiting > 0 || is_fresh
    }
}

/// Cost of loading `model` at an engine: the load time and what the models that make way are worth there.
fn weigh(engine: &Engine, outlook: &Outlook<'_>, model: &str, is_urgent: bool) -> Option<Choice> {
    let spec = outlook.spec;
    let need = spec.models.get(model)?.mb;
    let mut free = outlook.room_mb - engine.weights_mb(spec);
    let mut cost = load_ms(engine, spec, model) as f64 / 1_000.0;
    let movable = engine
        .held
        .iter()
        .filter(|(name, held)| held.is_ready && !outlook.is_in_use(engine, name, held, is_urgent));
    let mut movable: Vec<(f64, &String)> = movable.map(|(name, _)| (outlook.worth(engine, name), name)).collect();
    movable.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut victims = Vec::new();
    for (worth, name) in movable {
        if free >= need {
            break;
        }
        free += spec.models.get(name).map_or(0.0, |it| it.mb);
        cost += worth;
        victims.push(name.clone());
    }
    cost += LOAD_COST * outlook.rate_at(engine);
    cost += DISK_COST * engine.on_disk.len() as f64;
    (free >= need).then(|| Choice {
        engine: engine.server.id.clone(),
        victims,
        from_store: !engine.has_at_hand(model),
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
            follows: self.orders,
        }
    }

    fn weights_mb(&self, spec: &EngineSpec) -> f64 {
        let models = self.held.keys().filter_map(|it| spec.models.get(it));
        models.map(|it| it.mb).sum()
    }

    /// Models whose load is planned or under way.
    fn coming(&self) -> impl Iterator<Item = &String> {
        let loading = self.pending.as_ref().map(|it| &it.order);
        let loading = loading.filter(|it| it.kind == OrderKind::Load).map(|it| &it.model);
        let planned = self.plan.as_ref().map(|it| &it.model);
        loading.into_iter().chain(planned)
    }

    /// Time until a load that is under way or planned has ended, if all goes well.
    fn load_left_ms(&self, spec: &EngineSpec, model: &str, now: Millis) -> Option<u64> {
        if self.plans(model) {
            return Some(load_ms(self, spec, model));
        }
        let held = self.held.get(model).filter(|_| self.is_loading(model))?;
        Some(load_ms(self, spec, model).saturating_sub(now.since(held.since)))
    }

    fn has_at_hand(&self, model: &str) -> bool {
        self.held.contains_key(model) || self.in_memory.contains(model) || self.on_disk.contains(model)
    }

    /// Whether it holds the model and takes requests for it.
    fn serves(&self, model: &str) -> bool {
        self.held.get(model).is_some_and(|held| held.is_ready)
    }

    /// Whether a load of the model is planned.
    fn plans(&self, model: &str) -> bool {
        self.plan.as_ref().is_some_and(|it| it.model == model)
    }

    fn plans_store_load(&self) -> bool {
        self.plan.as_ref().is_some_and(|it| it.from_store)
    }

    fn is_loading(&self, model: &str) -> bool {
        let is_load = |it: &super::Pending| it.order.kind == OrderKind::Load && it.order.model == model;
        self.pending.as_ref().is_some_and(is_load)
    }
}

/// Memory that every adapter slot may take, so that adapters never need a model to make way.
fn adapter_room_mb(spec: &EngineSpec) -> f64 {
    let largest = spec.models.values().map(|it| it.adapter_mb).fold(0.0, f64::max);
    largest * f64::from(spec.adapter_slots)
}

fn adapter_count(engine: &Engine) -> usize {
    engine.held.values().map(|it| it.adapters.len()).sum()
}

fn load_ms(engine: &Engine, spec: &EngineSpec, model: &str) -> u64 {
    let Some(size) = spec.models.get(model) else {
        return 0;
    };
    match engine.tier(model) {
        Tier::Memory => size.host_ms,
        Tier::Disk => size.disk_ms,
        Tier::Store => size.store_ms,
    }
}
