//! Placement of models and adapters on model engines.
//!
//! One process at a time, the coordinator, decides and sends the orders. Models that requests wait for come first, then
//! additional replicas of models whose replicas are at capacity, then models that no engine has on its disk yet. A load
//! from the weight store takes seconds and is rate-limited, while a load from an engine's own disk does not count
//! towards the limit, so each model is preloaded once before its first request. An engine carries out one order at a
//! time and numbers the orders. Every order states the number that it follows, so an order that arrives late is
//! rejected once a later one was accepted, and it is always known what an engine holds.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use guava_core::demand::Decaying;
use guava_core::derive_value;
use guava_core::units::Millis;

use crate::model::{BackendServer, EngineSpec, HeldModel, ServerState};
use crate::statements::Rest;

mod doubts;
mod need;
mod orders;
mod rank;

use doubts::Doubts;
use need::Unserved;
pub use need::{DEFAULT_URGENCY, Need};
pub use orders::{Order, OrderKind, OrderOutcome};

/// Concurrent loads from the weight store that run at full speed; any more only share its bandwidth.
pub const MAX_STORE_LOADS: usize = 4;
/// Concurrent loads from the weight store for models without a replica; the remaining ones are kept for models whose
/// replicas are at capacity.
const MAX_STORE_LOADS_FOR_WAITING: usize = 3;
/// Concurrent preloads from the weight store, which happen ahead of demand.
const MAX_PRELOADS: usize = 2;
/// Window over which the weight store counts loads for its rate limit.
const STORE_WINDOW_MS: u64 = 5_000;
/// Largest number of servers whose load is published to the VMs; fleets of the present sizes have fewer servers. Without
/// the limit, the data sent in answers to reports would grow with VMs x servers in a larger fleet. A VM counts
/// a server whose load is not published like the least loaded of the published ones.
pub const MAX_PUBLISHED_LOADS: usize = 128;
/// Minimum time for which a VM's report is valid. Reports of a large fleet, which come less often, stay valid long
/// enough that one may be lost.
const MIN_REPORT_VALID_MS: u64 = 1_500;
/// Half-life of the average of arrivals that decides what a loaded model is worth.
const LONG_HALF_LIFE_MS: f64 = 6_000.0;
/// Half-life of the average of arrivals that shows a rise in demand.
const SHORT_HALF_LIFE_MS: f64 = 1_500.0;
/// Fraction of an engine's slots above which its models get another replica.
const MAX_SLOT_UTILISATION: f64 = 0.4;
/// Number of engines above which the models without a local copy are cached for a while: finding them means a look at
/// every copy on every engine, and a preload can wait.
const LARGE_FLEET_ENGINES: usize = 200;
/// Time for which the models without a local copy are cached in a large fleet.
const ABSENT_CACHE_MS: u64 = 500;
/// Time after which an unanswered poll of an engine's state counts as lost. An answer ends the wait earlier.
const POLL_TIMEOUT_MS: u64 = 500;
/// Limit on the rests of one report.
const MAX_RESTS: usize = 256;
/// Minimum time for which a model stays loaded before it may be evicted for another model that requests wait for, so
/// that the requests that waited for it can start.
const MIN_RESIDENCY_MS: u64 = 1_000;

derive_value! {
    /// Requests of one VM for a model, as reported to the coordinator.
    pub struct Demand {
        /// Service that the requests are for.
        pub service: String,
        /// Model that the requests need.
        pub model: String,
        /// Adapter of the model that they need, if any.
        pub adapter: Option<String>,
        /// Software version of the servers that may run them; `None` for any.
        pub version: Option<String>,
        /// Number of requests that wait now.
        pub waiting: u32,
        /// Time in milliseconds for which the oldest of them has waited.
        pub oldest_ms: u64,
        /// Number of requests that arrived since the last report.
        pub arrived: u32,
        /// Prompt tokens of the requests that arrived.
        pub prompt_tokens: u64,
    }

    /// Model that a backend server does not hold although it is listed there: it has answered a request so.
    pub struct LackedModel {
        /// Id of the backend server.
        pub server: String,
        /// Wall-clock time of the server's start, in milliseconds.
        pub born_ms: u64,
        /// Name of the model.
        pub model: String,
        /// Adapter that it lacks; `None` if it lacks the model.
        pub adapter: Option<String>,
    }

    /// Requests of one VM that run at a backend server.
    pub struct Running {
        /// Id of the backend server.
        pub server: String,
        /// Name of the model; empty for a plain service.
        pub model: String,
        /// Number of requests.
        pub count: u32,
    }

    /// Shortest time until a model can take requests.
    pub struct Wait {
        /// Service that offers the model.
        pub service: String,
        /// Name of the model.
        pub model: String,
        /// Software version that the requests are bound to; `None` for requests that any engine may run.
        pub version: Option<String>,
        /// Time in milliseconds; zero if an engine of the version already holds the model.
        pub ms: u64,
    }

    /// Models that an engine serves, as the coordinator publishes them to the VMs.
    pub struct EngineModels {
        /// Id of the backend server.
        pub server: String,
        /// Wall-clock time of the server's start, in milliseconds, which distinguishes restarts under the same id.
        pub born_ms: u64,
        /// Loaded models that take requests, with their adapters.
        pub held: Vec<HeldModel>,
    }

    /// Ages of the last orders that engines may have received, in milliseconds, which a resigning coordinator sends to
    /// its successor.
    #[derive(Default)]
    pub struct OrderAges {
        /// Age of the last order, by id of the engine.
        pub by_engine: Vec<(String, u64)>,
        /// Age for all other engines; `None` if their last orders are too old to matter.
        pub others_ms: Option<u64>,
    }

    /// State of an engine as it reports it.
    pub struct EngineReport {
        /// Number of orders accepted since the engine's start.
        pub orders: u64,
        /// Whether an order is being carried out.
        pub is_busy: bool,
        /// Loaded models, with the adapters that are loaded or being loaded.
        pub held: Vec<HeldModel>,
        /// Models whose weights are in host memory.
        pub in_memory: Vec<String>,
        /// Models whose weights are on disk.
        pub on_disk: Vec<String>,
    }
}

impl EngineReport {
    fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let model = self.held.iter().find(|it| it.name == model);
        model.is_some_and(|it| it.adapters.iter().any(|held| held == adapter))
    }
}

/// Latest report of a VM, as far as placement uses it.
#[derive(Debug, Default)]
struct VmReport {
    at: Millis,
    valid_until: Millis,
    demand: Vec<Demand>,
    /// What is needed for each entry of `demand`.
    needs: Vec<Need>,
    running: Vec<Running>,
    /// End of the rests that servers have asked the VM for, with the server's start.
    rests: HashMap<String, (u64, Millis)>,
}

impl VmReport {
    fn rests_from(&self, engine: &Engine, now: Millis) -> bool {
        let rest = self.rests.get(&engine.server.id);
        rest.is_some_and(|(born_ms, until)| *born_ms == engine.server.born_ms && now < *until)
    }
}

/// Decaying sums of a model's arrivals.
#[derive(Debug, Default)]
struct ArrivalRate {
    long: Decaying,
    short: Decaying,
    tokens: Decaying,
}

impl ArrivalRate {
    /// Arrivals per second. A rise shows within about a second, a fall after several.
    fn per_second(&self, now: Millis) -> f64 {
        let long = per_second(self.long.get(LONG_HALF_LIFE_MS, now), LONG_HALF_LIFE_MS);
        let short = per_second(self.short.get(SHORT_HALF_LIFE_MS, now), SHORT_HALF_LIFE_MS);
        long.max(short)
    }

    /// Recent prompt tokens per second.
    fn tokens_per_second(&self, now: Millis) -> f64 {
        per_second(self.tokens.get(SHORT_HALF_LIFE_MS, now), SHORT_HALF_LIFE_MS)
    }
}

/// Rate at which a decaying sum stays at `sum`.
fn per_second(sum: f64, half_life_ms: f64) -> f64 {
    sum * std::f64::consts::LN_2 / (half_life_ms / 1_000.0)
}

/// Model that is loaded at an engine or is being loaded or unloaded.
#[derive(Debug, Clone)]
struct ModelState {
    is_ready: bool,
    /// When the model became ready, or when its load started if it is not ready yet.
    since: Millis,
    /// Adapters, each with the time since which it is known to be loaded.
    adapters: BTreeMap<String, Millis>,
}

/// Planned load of a model, with the models to evict first.
#[derive(Debug, Clone)]
struct LoadPlan {
    model: String,
    victims: Vec<String>,
    from_store: bool,
}

/// Order that was sent and has not finished.
#[derive(Debug, Clone)]
struct PendingOrder {
    order: Order,
    /// Whether it loads weights from the weight store.
    from_store: bool,
    /// Whether the engine answered that it accepted the order.
    accepted: bool,
    /// True from the start of the call; false once the call ended without an answer, so that it is unknown whether the
    /// engine received the order.
    sent: bool,
    /// When to poll the engine's state.
    poll_at: Millis,
}

/// Where an engine finds the weights of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// In the engine's host memory.
    Memory,
    /// On the engine's disk.
    Disk,
    /// Only in the weight store.
    Store,
}

impl Tier {
    /// Value of the `tier` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }
}

/// Model engine with its known state.
#[derive(Debug)]
struct Engine {
    server: BackendServer,
    accepted_orders: u64,
    held: BTreeMap<String, ModelState>,
    in_memory: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    plan: Option<LoadPlan>,
    pending: Option<PendingOrder>,
    /// Whether a report has confirmed its state. Reset when this process becomes coordinator, when the engine's entry
    /// lists other models, and after an order with an uncertain effect.
    is_confirmed: bool,
    next_poll: Millis,
    /// Time of the last poll, while it is unanswered.
    polled_at: Option<Millis>,
    failed_calls: u32,
    /// End of the rest that it has asked this VM for.
    rests_until: Millis,
    /// Models that it is said to lack.
    doubts: Doubts,
}

/// Quiet periods in which this process may not send orders yet, and the times of its own last orders. They are kept by
/// id because engines may leave and come back in between.
#[derive(Debug, Default)]
struct OrderTimes {
    /// End of the quiet period of each engine to which another process has recently sent orders.
    quiet_until: HashMap<String, Millis>,
    /// End of the quiet period of all other engines.
    others_from: Millis,
    /// Time until which an earlier process on this VM may have sent orders. This process needs no quiet period after
    /// them.
    own_until: Option<Millis>,
    last_order: HashMap<String, Millis>,
}

impl OrderTimes {
    fn allows(&self, engine: &str, now: Millis) -> bool {
        now >= self.quiet_until.get(engine).copied().unwrap_or(self.others_from)
    }
}

/// Quiet periods of a new coordinator, in which orders of its predecessors may still arrive.
#[derive(Debug, Default)]
pub struct QuietPeriods {
    /// Engines to which another process has recently sent orders, each with the earliest time for an order to it.
    pub until: HashMap<String, Millis>,
    /// Earliest time for an order to any other engine.
    pub others_from: Millis,
    /// Time until which an earlier process on this VM may have sent orders; `None` if there was none. No quiet period
    /// applies to these orders, but they count in [`Placement::order_ages`].
    pub own_until: Option<Millis>,
}

/// Changes of the models that engines serve, which are not published to the VMs yet.
#[derive(Debug, Default)]
struct UnpublishedChanges {
    version: u64,
    /// Engines whose models or adapters changed, or that are gone, since the changes were last taken.
    engines: BTreeSet<String>,
}

impl UnpublishedChanges {
    fn note(&mut self, engine: &str) {
        self.version += 1;
        self.engines.insert(engine.to_owned());
    }
}

/// Models of a service of which no engine has a local copy.
#[derive(Debug)]
struct AbsentModels {
    models: Vec<String>,
    at: Millis,
}

/// Placement decisions of the coordinator and the state that they are based on.
#[derive(Debug, Default)]
pub struct Placement {
    engines: BTreeMap<String, Engine>,
    specs: HashMap<String, EngineSpec>,
    vm_reports: HashMap<String, VmReport>,
    arrival_rates: HashMap<(String, String), ArrivalRate>,
    adapter_last_used: HashMap<(String, String, String), Millis>,
    recent_store_loads: Vec<Millis>,
    order_times: OrderTimes,
    unpublished: UnpublishedChanges,
    absent: HashMap<String, AbsentModels>,
    /// Evacuated availability zones, whose engines get no orders and hold nothing that counts.
    evacuated: BTreeSet<String>,
    unserved: Unserved,
}

impl Placement {
    /// Sets the capacities and models of engines, by service. Servers of other services are ignored.
    pub fn set_specs(&mut self, specs: HashMap<String, EngineSpec>) {
        self.specs = specs;
    }

    /// Replaces the list of backend servers; engines that are not on it any more are removed.
    pub fn set_servers<'a>(&mut self, servers: impl IntoIterator<Item = &'a BackendServer>, now: Millis) {
        let mut listed = BTreeSet::new();
        for server in servers {
            if !self.specs.contains_key(&server.service) {
                continue;
            }
            listed.insert(server.id.as_str());
            self.set_server(server, now);
        }
        let unpublished = &mut self.unpublished;
        self.engines.retain(|id, _| {
            let is_listed = listed.contains(id.as_str());
            if !is_listed {
                unpublished.note(id);
            }
            is_listed
        });
    }

    fn set_server(&mut self, server: &BackendServer, now: Millis) {
        let is_same_instance = self
            .engines
            .get(&server.id)
            .is_some_and(|it| it.server.born_ms == server.born_ms);
        if !is_same_instance {
            self.engines.insert(server.id.clone(), Engine::new(server.clone(), now));
            self.unpublished.note(&server.id);
            return;
        }
        let Some(engine) = self.engines.get_mut(&server.id).filter(|it| it.server != *server) else {
            return;
        };
        if engine.server.state != server.state {
            self.unpublished.note(&server.id);
        }
        let models_changed = engine.server.held != server.held;
        engine.server = server.clone();
        if engine.pending.is_none() && models_changed {
            engine.is_confirmed = false;
            engine.next_poll = now;
        }
        engine.in_memory.extend(server.in_memory.iter().cloned());
        engine.on_disk.extend(server.on_disk.iter().cloned());
    }

    /// Replaces the evacuated availability zones. Loads that are planned there are dropped.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        if self.evacuated == zones {
            return;
        }
        self.evacuated = zones;
        self.absent.clear();
        for engine in self.engines.values_mut() {
            if self.evacuated.contains(&engine.server.zone) {
                engine.plan = None;
            }
        }
    }

    fn is_evacuated(&self, engine: &Engine) -> bool {
        self.evacuated.contains(&engine.server.zone)
    }

    /// Records the rests that servers have asked this VM for. They get no orders and no polls meanwhile.
    pub fn set_rests(&mut self, rests: &[Rest], now: Millis) {
        for engine in self.engines.values_mut() {
            engine.rests_until = Millis(0);
        }
        for rest in rests {
            let engine = self.engines.get_mut(&rest.server);
            if let Some(engine) = engine.filter(|it| it.server.born_ms == rest.born_ms) {
                engine.rests_until = now + rest.left_ms;
            }
        }
    }

    /// Records the rests that servers have asked a VM for, as it reports them.
    pub fn record_rests(&mut self, vm: &str, rests: Vec<Rest>, now: Millis) {
        if let Some(report) = self.vm_reports.get_mut(vm) {
            let rests = rests.into_iter().take(MAX_RESTS);
            report.rests = rests.map(|it| (it.server, (it.born_ms, now + it.left_ms))).collect();
        }
    }

    /// Records a VM's report. `next_ms` is the longest time until the VM's next report, in milliseconds.
    pub fn record_report(&mut self, vm: &str, demand: Vec<Demand>, running: Vec<Running>, next_ms: u64, now: Millis) {
        for it in demand.iter().filter(|it| it.arrived > 0) {
            let key = (it.service.clone(), it.model.clone());
            let rate = self.arrival_rates.entry(key).or_default();
            rate.long.add(f64::from(it.arrived), LONG_HALF_LIFE_MS, now);
            rate.short.add(f64::from(it.arrived), SHORT_HALF_LIFE_MS, now);
            rate.tokens.add(it.prompt_tokens as f64, SHORT_HALF_LIFE_MS, now);
        }
        for it in &demand {
            if let Some(adapter) = &it.adapter {
                let key = (it.service.clone(), it.model.clone(), adapter.clone());
                self.adapter_last_used.insert(key, now);
            }
        }
        let report = VmReport {
            at: now,
            valid_until: now + MIN_REPORT_VALID_MS.max(2 * next_ms),
            needs: vec![Need::default(); demand.len()],
            demand,
            running,
            rests: HashMap::new(),
        };
        self.vm_reports.insert(vm.to_owned(), report);
    }

    /// Records what the requests of a VM's last report need, in the order of its demand. An older VM does not say so.
    pub fn record_needs(&mut self, vm: &str, needs: Vec<Need>) {
        if let Some(report) = self.vm_reports.get_mut(vm)
            && report.demand.len() == needs.len()
        {
            report.needs = needs;
        }
    }

    /// Starts a term after this process became coordinator: drops pending orders and plans, and has each engine polled.
    pub fn start_term(&mut self, now: Millis, quiet: QuietPeriods) {
        self.order_times = OrderTimes {
            quiet_until: quiet.until,
            others_from: quiet.others_from,
            own_until: quiet.own_until,
            last_order: HashMap::new(),
        };
        for (id, engine) in &mut self.engines {
            engine.plan = None;
            engine.pending = None;
            engine.is_confirmed = false;
            engine.next_poll = now;
            engine.polled_at = None;
            engine.doubts = Doubts::default();
            self.unpublished.note(id);
        }
    }

    /// Ages of the last orders of this process, and of those of its predecessors whose quiet period has not ended, for
    /// a successor that waits `gap_ms` after each.
    pub fn order_ages(&self, gap_ms: u64, now: Millis) -> OrderAges {
        // A quiet period that ends at `until` follows an order that was sent `gap_ms` before.
        let inherited_age = |until: Millis| gap_ms.saturating_sub(until.since(now));
        let times = &self.order_times;
        let mut by_engine: BTreeMap<&String, u64> =
            times.last_order.iter().map(|(id, at)| (id, now.since(*at))).collect();
        for (id, until) in times.quiet_until.iter().filter(|(_, until)| now < **until) {
            let age = by_engine.entry(id).or_insert(u64::MAX);
            *age = (*age).min(inherited_age(*until));
        }
        OrderAges {
            by_engine: by_engine.into_iter().map(|(id, age)| (id.clone(), age)).collect(),
            others_ms: [
                inherited_age(times.others_from),
                times.own_until.map_or(gap_ms, |it| now.since(it)),
            ]
            .into_iter()
            .min()
            .filter(|it| *it < gap_ms),
        }
    }

    /// Where an engine finds the weights of a model, according to its reports; `None` for an unknown engine.
    pub fn tier(&self, server: &str, model: &str) -> Option<Tier> {
        self.engines.get(server).map(|it| it.tier(model))
    }

    /// Number of known engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Counter that grows with each change of the models that engines serve.
    pub fn version(&self) -> u64 {
        self.unpublished.version
    }

    /// Takes the engines whose served models changed since the last call, and the ids of the engines that are gone.
    pub fn take_changes(&mut self) -> (Vec<EngineModels>, Vec<String>) {
        let changed = std::mem::take(&mut self.unpublished.engines);
        let (present, removed): (Vec<String>, Vec<String>) =
            changed.into_iter().partition(|id| self.engines.contains_key(id));
        let present = present.iter().filter_map(|id| self.engines.get(id));
        (present.map(Engine::engine_models).collect(), removed)
    }

    /// Requests that run at each backend server, from the valid reports of all VMs.
    pub fn running_by_server(&self, now: Millis) -> HashMap<&str, u32> {
        let mut counts = HashMap::new();
        for running in self.valid_reports(now).flat_map(|it| &it.running) {
            *counts.entry(running.server.as_str()).or_default() += running.count;
        }
        counts
    }

    /// Running requests by backend server, for publication to all VMs. In a large fleet only the servers with the most
    /// requests are included.
    pub fn published_loads(&self, now: Millis) -> Vec<(String, u32)> {
        let mut loads: Vec<(&str, u32)> = self.running_by_server(now).into_iter().collect();
        if loads.len() > MAX_PUBLISHED_LOADS {
            loads.select_nth_unstable_by_key(MAX_PUBLISHED_LOADS, |(_, count)| std::cmp::Reverse(*count));
            loads.truncate(MAX_PUBLISHED_LOADS);
        }
        loads
            .into_iter()
            .map(|(server, count)| (server.to_owned(), count))
            .collect()
    }

    /// Takes the engines whose state should be polled now, at most `limit`. Each counts as polled until it answers or
    /// the poll times out.
    pub fn polls(&mut self, limit: usize, now: Millis) -> Vec<BackendServer> {
        let mut due = Vec::new();
        for engine in self.engines.values_mut() {
            if due.len() >= limit {
                break;
            }
            let at = engine.pending.as_ref().map_or(engine.next_poll, |it| it.poll_at);
            let needs_poll = !engine.is_confirmed || engine.pending.as_ref().is_some_and(|it| !it.sent || it.accepted);
            let awaits_answer = engine.polled_at.is_some_and(|it| now.since(it) < POLL_TIMEOUT_MS);
            let is_evacuated = self.evacuated.contains(&engine.server.zone);
            if needs_poll && !awaits_answer && !is_evacuated && now >= at.max(engine.rests_until) {
                engine.delay_poll(now, orders::POLL_MS);
                engine.polled_at = Some(now);
                due.push(engine.server.clone());
            }
        }
        due
    }

    fn valid_reports(&self, now: Millis) -> impl Iterator<Item = &VmReport> {
        self.vm_reports.values().filter(move |it| now < it.valid_until)
    }
}

impl Engine {
    fn new(server: BackendServer, now: Millis) -> Self {
        let mut engine = Self {
            accepted_orders: 0,
            held: BTreeMap::new(),
            in_memory: server.in_memory.iter().cloned().collect(),
            on_disk: server.on_disk.iter().cloned().collect(),
            plan: None,
            pending: None,
            is_confirmed: false,
            next_poll: now,
            polled_at: None,
            failed_calls: 0,
            rests_until: Millis(0),
            doubts: Doubts::default(),
            server,
        };
        let held = std::mem::take(&mut engine.server.held);
        engine.set_state(0, &held, now);
        engine.server.held = held;
        engine
    }

    /// Replaces the state that the engine is known to have.
    fn set_state(&mut self, accepted_orders: u64, held: &[HeldModel], now: Millis) {
        self.accepted_orders = accepted_orders;
        let previous = std::mem::take(&mut self.held);
        for model in held {
            let old = previous.get(&model.name);
            let adapter_since = |name: &String| old.and_then(|it| it.adapters.get(name)).copied().unwrap_or(now);
            let entry = ModelState {
                is_ready: true,
                since: old.filter(|it| it.is_ready).map_or(now, |it| it.since),
                adapters: model
                    .adapters
                    .iter()
                    .map(|it| (it.clone(), adapter_since(it)))
                    .collect(),
            };
            self.held.insert(model.name.clone(), entry);
            self.on_disk.insert(model.name.clone());
        }
    }

    fn engine_models(&self) -> EngineModels {
        let ready = self.held.iter().filter(|(_, it)| it.is_ready);
        let models = ready.map(|(name, it)| HeldModel {
            name: name.clone(),
            adapters: it.adapters.keys().cloned().collect(),
        });
        EngineModels {
            server: self.server.id.clone(),
            born_ms: self.server.born_ms,
            held: models.collect(),
        }
    }

    fn tier(&self, model: &str) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }

    fn delay_poll(&mut self, now: Millis, ms: u64) {
        self.next_poll = now + ms;
        if let Some(pending) = &mut self.pending {
            pending.poll_at = now + ms;
        }
    }

    fn takes_orders(&self, times: &OrderTimes, now: Millis) -> bool {
        times.allows(&self.server.id, now)
            && self.is_confirmed
            && self.server.state == ServerState::Ready
            && now >= self.rests_until
            && self.failed_calls < orders::MAX_FAILED_CALLS
    }
}
