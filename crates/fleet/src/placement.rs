//! Which model engine holds which model and adapter.
//!
//! One process at a time, the coordinator, decides and sends the orders. Waiting requests come first, then copies for
//! models whose replicas are full, then models that no engine has on its disk yet: a load from the weight store takes
//! seconds and is rationed, one from an engine's own disk does not count, so each model is brought in once ahead of
//! its first request. Engines take one order at a time and number them; every order names the number that it follows, so
//! an order that is carried out late is void once a later one was accepted, and what an engine holds is always known.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use guava_core::demand::Decaying;
use guava_core::derive_value;
use guava_core::units::Millis;

use crate::model::{BackendServer, EngineSpec, HeldModel, ServerState};

mod orders;
mod rank;

pub use orders::{Order, OrderKind, OrderOutcome};

/// Loads from the weight store that run at full speed together; more only share its bandwidth.
pub const STORE_LOADS_AT_ONCE: usize = 4;
/// Loads from the weight store for models without a replica; the others stay free for models whose replicas are full.
const WAITING_AT_ONCE: usize = 3;
/// Loads from the weight store ahead of demand.
const AHEAD_AT_ONCE: usize = 2;
/// Window in which the weight store counts loads.
const STORE_WINDOW_MS: u64 = 5_000;
/// Servers whose load is told to the VMs: all in a fleet of the present sizes. In a larger one the answers to reports
/// would grow with VMs x servers; a server with less load than those told is as good as an idle one.
const TOLD_LOADS: usize = 128;
/// Least time after which a VM's report no longer counts; reports of a large fleet count until one more could be lost.
const REPORT_VALID_MS: u64 = 1_500;
/// Half-life of the average of arrivals that tells what a model is worth.
const RATE_HALF_LIFE_MS: f64 = 6_000.0;
/// Half-life of the average of arrivals that tells a rise of demand.
const RISE_HALF_LIFE_MS: f64 = 1_500.0;
/// Part of an engine's slots beyond which its models get another replica.
const FULL_PART: f64 = 0.4;
/// Engines from which on the models that no engine has at hand are looked for at intervals: that takes a look at every
/// copy on every engine, and a load ahead of demand can wait.
const MANY_ENGINES: usize = 200;
/// Such an interval.
const ABSENT_MS: u64 = 500;
/// Time after which a question for an engine's state counts as lost; its answer ends the wait.
const POLL_LOST_MS: u64 = 500;
/// Time for which a model stays after its load, so that the requests that waited for it can start.
const DWELL_MS: u64 = 1_000;

derive_value! {
    /// Requests of one VM that wait for a model.
    pub struct Demand {
        /// Service.
        pub service: String,
        /// Model.
        pub model: String,
        /// Adapter of the model.
        pub adapter: Option<String>,
        /// Requests that wait.
        pub waiting: u32,
        /// Time for which the oldest of them has waited, in milliseconds.
        pub oldest_ms: u64,
        /// Requests that arrived since the last report.
        pub arrived: u32,
        /// Prompt tokens of these requests.
        pub prompt_tokens: u64,
    }

    /// Requests of one VM that run at an engine.
    pub struct Running {
        /// Backend server.
        pub server: String,
        /// Model; empty for a plain service.
        pub model: String,
        /// Requests.
        pub count: u32,
    }

    /// Least time until a model can take requests.
    pub struct Wait {
        /// Service.
        pub service: String,
        /// Model.
        pub model: String,
        /// Time in milliseconds.
        pub ms: u64,
    }

    /// What an engine holds, as the coordinator tells the VMs.
    pub struct EngineModels {
        /// Backend server.
        pub server: String,
        /// Start of its present life.
        pub born_ms: u64,
        /// Models that take requests.
        pub held: Vec<HeldModel>,
    }

    /// Times since engines may last have had an order, in milliseconds, as a holder tells them to its successor.
    #[derive(Default)]
    pub struct OrderAges {
        /// By engine.
        pub by_engine: Vec<(String, u64)>,
        /// For all other engines; `None` when that is long ago.
        pub others_ms: Option<u64>,
    }

    /// State that an engine reports.
    pub struct EngineReport {
        /// Orders accepted since its start.
        pub orders: u64,
        /// Whether an order is under way.
        pub is_busy: bool,
        /// Models that it holds, with the adapters that are there or on their way.
        pub held: Vec<HeldModel>,
        /// Models in host memory.
        pub in_memory: Vec<String>,
        /// Models on disk.
        pub on_disk: Vec<String>,
    }
}

impl EngineReport {
    fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let model = self.held.iter().find(|it| it.name == model);
        model.is_some_and(|it| it.adapters.iter().any(|held| held == adapter))
    }
}

/// What must be known of a VM's report to weigh it.
#[derive(Debug, Default)]
struct VmReport {
    valid_until: Millis,
    demand: Vec<Demand>,
    running: Vec<Running>,
}

/// Averages of a model's arrivals.
#[derive(Debug, Default)]
struct Rate {
    long: Decaying,
    short: Decaying,
    tokens: Decaying,
}

impl Rate {
    /// Arrivals per second; a rise shows within about a second, a fall after several.
    fn per_second(&self, now: Millis) -> f64 {
        let long = per_second(self.long.get(RATE_HALF_LIFE_MS, now), RATE_HALF_LIFE_MS);
        let short = per_second(self.short.get(RISE_HALF_LIFE_MS, now), RISE_HALF_LIFE_MS);
        long.max(short)
    }

    /// Prompt tokens per second of late.
    fn tokens_per_second(&self, now: Millis) -> f64 {
        per_second(self.tokens.get(RISE_HALF_LIFE_MS, now), RISE_HALF_LIFE_MS)
    }
}

/// Rate that keeps a decaying sum at this level.
fn per_second(sum: f64, half_life_ms: f64) -> f64 {
    sum * std::f64::consts::LN_2 / (half_life_ms / 1_000.0)
}

/// Model at an engine.
#[derive(Debug, Clone)]
struct Held {
    is_ready: bool,
    since: Millis,
    adapters: BTreeMap<String, Millis>,
}

/// Load and the models that make way for it.
#[derive(Debug, Clone)]
struct LoadPlan {
    model: String,
    victims: Vec<String>,
    from_store: bool,
}

/// Order that was sent and is not finished.
#[derive(Debug, Clone)]
struct Pending {
    order: Order,
    from_store: bool,
    accepted: bool,
    sent: bool,
    /// When the engine should be asked for its state.
    poll_at: Millis,
}

/// Where an engine finds the weights of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// In its host memory.
    Memory,
    /// On its disk.
    Disk,
    /// In the weight store.
    Store,
}

impl Tier {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }
}

/// Engine and what it holds.
#[derive(Debug)]
struct Engine {
    server: BackendServer,
    orders: u64,
    held: BTreeMap<String, Held>,
    in_memory: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    plan: Option<LoadPlan>,
    pending: Option<Pending>,
    /// Whether its state was confirmed by a report since this process became coordinator.
    is_known: bool,
    next_poll: Millis,
    /// Time of a question for its state that is not answered yet.
    asked: Option<Millis>,
    failures: u32,
}

/// First times at which this process may send orders, and when it last did; engines may come and go in between.
#[derive(Debug, Default)]
struct OrderTimes {
    /// Engines that another process has sent orders of late.
    quiet_until: HashMap<String, Millis>,
    /// All other engines.
    others_from: Millis,
    /// Time until which an earlier life of this VM may have sent orders; this process needs no gap after them.
    own_until: Option<Millis>,
    last: HashMap<String, Millis>,
}

impl OrderTimes {
    fn allows(&self, engine: &str, now: Millis) -> bool {
        now >= self.quiet_until.get(engine).copied().unwrap_or(self.others_from)
    }
}

/// What a new coordinator knows of the orders before its own.
#[derive(Debug, Default)]
pub struct QuietPeriods {
    /// Engines to which another process has sent orders of late, and the first time for an order to each.
    pub until: HashMap<String, Millis>,
    /// First time for an order to any other engine.
    pub others_from: Millis,
    /// Time until which an earlier life of this VM may have sent orders, if it has.
    pub own_until: Option<Millis>,
}

/// Changes of what engines hold for requests.
#[derive(Debug, Default)]
struct Untold {
    version: u64,
    /// Engines whose models or adapters changed, or that are gone, since the changes were last taken.
    engines: BTreeSet<String>,
}

impl Untold {
    fn note(&mut self, engine: &str) {
        self.version += 1;
        self.engines.insert(engine.to_owned());
    }
}

/// Models of a service that no engine has at hand.
#[derive(Debug)]
struct Absent {
    models: Vec<String>,
    at: Millis,
}

/// Decisions of the coordinator.
#[derive(Debug, Default)]
pub struct Placement {
    engines: BTreeMap<String, Engine>,
    specs: HashMap<String, EngineSpec>,
    vms: HashMap<String, VmReport>,
    rates: HashMap<(String, String), Rate>,
    adapter_use: HashMap<(String, String, String), Millis>,
    store_loads: Vec<Millis>,
    order_times: OrderTimes,
    untold: Untold,
    absent: HashMap<String, Absent>,
}

impl Placement {
    /// Takes the engines' capacities from the configuration.
    pub fn set_specs(&mut self, specs: HashMap<String, EngineSpec>) {
        self.specs = specs;
    }

    /// Takes the list of backend servers.
    pub fn set_servers<'a>(&mut self, servers: impl IntoIterator<Item = &'a BackendServer>, now: Millis) {
        let mut listed = BTreeSet::new();
        for server in servers {
            if !self.specs.contains_key(&server.service) {
                continue;
            }
            listed.insert(server.id.as_str());
            self.set_server(server, now);
        }
        let untold = &mut self.untold;
        self.engines.retain(|id, _| {
            let is_listed = listed.contains(id.as_str());
            if !is_listed {
                untold.note(id);
            }
            is_listed
        });
    }

    fn set_server(&mut self, server: &BackendServer, now: Millis) {
        let same_life = self
            .engines
            .get(&server.id)
            .is_some_and(|it| it.server.born_ms == server.born_ms);
        if !same_life {
            self.engines.insert(server.id.clone(), Engine::new(server.clone(), now));
            self.untold.note(&server.id);
            return;
        }
        let Some(engine) = self.engines.get_mut(&server.id).filter(|it| it.server != *server) else {
            return;
        };
        if engine.server.state != server.state {
            self.untold.note(&server.id);
        }
        let has_changed = engine.server.held != server.held;
        engine.server = server.clone();
        if engine.pending.is_none() && has_changed {
            engine.is_known = false;
            engine.next_poll = now;
        }
        engine.in_memory.extend(server.in_memory.iter().cloned());
        engine.on_disk.extend(server.on_disk.iter().cloned());
    }

    /// Takes a VM's report; the next one comes after `next_ms` at the latest.
    pub fn note_report(&mut self, vm: &str, demand: Vec<Demand>, running: Vec<Running>, next_ms: u64, now: Millis) {
        for it in demand.iter().filter(|it| it.arrived > 0) {
            let key = (it.service.clone(), it.model.clone());
            let rate = self.rates.entry(key).or_default();
            rate.long.add(f64::from(it.arrived), RATE_HALF_LIFE_MS, now);
            rate.short.add(f64::from(it.arrived), RISE_HALF_LIFE_MS, now);
            rate.tokens.add(it.prompt_tokens as f64, RISE_HALF_LIFE_MS, now);
        }
        for it in &demand {
            if let Some(adapter) = &it.adapter {
                let key = (it.service.clone(), it.model.clone(), adapter.clone());
                self.adapter_use.insert(key, now);
            }
        }
        let report = VmReport {
            valid_until: now + REPORT_VALID_MS.max(2 * next_ms),
            demand,
            running,
        };
        self.vms.insert(vm.to_owned(), report);
    }

    /// Forgets the order under way and asks each engine for its state, after this process became coordinator.
    pub fn start_term(&mut self, now: Millis, quiet: QuietPeriods) {
        self.order_times = OrderTimes {
            quiet_until: quiet.until,
            others_from: quiet.others_from,
            own_until: quiet.own_until,
            last: HashMap::new(),
        };
        for (id, engine) in &mut self.engines {
            engine.plan = None;
            engine.pending = None;
            engine.is_known = false;
            engine.next_poll = now;
            engine.asked = None;
            self.untold.note(id);
        }
    }

    /// Ages of the last orders of this process and of the ones before it whose gap has not passed, for a successor that
    /// keeps `gap_ms` after each.
    pub fn order_ages(&self, gap_ms: u64, now: Millis) -> OrderAges {
        // An engine that is kept quiet until a time counts as ordered a gap before it.
        let inherited = |until: Millis| gap_ms.saturating_sub(until.since(now));
        let times = &self.order_times;
        let mut by_engine: BTreeMap<&String, u64> = times.last.iter().map(|(id, at)| (id, now.since(*at))).collect();
        for (id, until) in times.quiet_until.iter().filter(|(_, until)| now < **until) {
            let age = by_engine.entry(id).or_insert(u64::MAX);
            *age = (*age).min(inherited(*until));
        }
        OrderAges {
            by_engine: by_engine.into_iter().map(|(id, age)| (id.clone(), age)).collect(),
            others_ms: [
                inherited(times.others_from),
                times.own_until.map_or(gap_ms, |it| now.since(it)),
            ]
            .into_iter()
            .min()
            .filter(|it| *it < gap_ms),
        }
    }

    /// Where an engine finds the weights of a model, as far as it has told.
    pub fn tier(&self, server: &str, model: &str) -> Option<Tier> {
        self.engines.get(server).map(|it| it.tier(model))
    }

    /// Engines that are known.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Grows with each change of what engines hold for requests.
    pub fn version(&self) -> u64 {
        self.untold.version
    }

    /// What engines hold for requests, as far as it changed since the last call, and the engines that are gone.
    pub fn take_changes(&mut self) -> (Vec<EngineModels>, Vec<String>) {
        let changed = std::mem::take(&mut self.untold.engines);
        let (there, gone): (Vec<String>, Vec<String>) =
            changed.into_iter().partition(|id| self.engines.contains_key(id));
        let there = there.iter().filter_map(|id| self.engines.get(id));
        (there.map(Engine::placed).collect(), gone)
    }

    /// Requests that run at each backend server, from the reports of all VMs.
    pub fn running_by_server(&self, now: Millis) -> HashMap<&str, u32> {
        let mut counts = HashMap::new();
        for running in self.live_reports(now).flat_map(|it| &it.running) {
            *counts.entry(running.server.as_str()).or_default() += running.count;
        }
        counts
    }

    /// Requests that run at the backend servers, for all VMs: in a large fleet only those with most.
    pub fn published_loads(&self, now: Millis) -> Vec<(String, u32)> {
        let mut loads: Vec<(&str, u32)> = self.running_by_server(now).into_iter().collect();
        if loads.len() > TOLD_LOADS {
            loads.select_nth_unstable_by_key(TOLD_LOADS, |(_, count)| std::cmp::Reverse(*count));
            loads.truncate(TOLD_LOADS);
        }
        loads
            .into_iter()
            .map(|(server, count)| (server.to_owned(), count))
            .collect()
    }

    /// Engines whose state should be asked for now, at most so many.
    pub fn polls(&mut self, most: usize, now: Millis) -> Vec<BackendServer> {
        let mut due = Vec::new();
        for engine in self.engines.values_mut() {
            if due.len() >= most {
                break;
            }
            let at = engine.pending.as_ref().map_or(engine.next_poll, |it| it.poll_at);
            let is_wanted = !engine.is_known || engine.pending.as_ref().is_some_and(|it| !it.sent || it.accepted);
            let is_asked = engine.asked.is_some_and(|it| now.since(it) < POLL_LOST_MS);
            if is_wanted && !is_asked && now >= at {
                engine.delay_poll(now, orders::POLL_MS);
                engine.asked = Some(now);
                due.push(engine.server.clone());
            }
        }
        due
    }

    fn live_reports(&self, now: Millis) -> impl Iterator<Item = &VmReport> {
        self.vms.values().filter(move |it| now < it.valid_until)
    }
}

impl Engine {
    fn new(server: BackendServer, now: Millis) -> Self {
        let mut engine = Self {
            orders: 0,
            held: BTreeMap::new(),
            in_memory: server.in_memory.iter().cloned().collect(),
            on_disk: server.on_disk.iter().cloned().collect(),
            plan: None,
            pending: None,
            is_known: false,
            next_poll: now,
            asked: None,
            failures: 0,
            server,
        };
        let held = std::mem::take(&mut engine.server.held);
        engine.adopt(0, &held, now);
        engine.server.held = held;
        engine
    }

    /// Replaces what the engine is believed to hold.
    fn adopt(&mut self, orders: u64, held: &[HeldModel], now: Millis) {
        self.orders = orders;
        let before = std::mem::take(&mut self.held);
        for model in held {
            let old = before.get(&model.name);
            let adapter_since = |name: &String| old.and_then(|it| it.adapters.get(name)).copied().unwrap_or(now);
            let entry = Held {
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

    fn placed(&self) -> EngineModels {
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
            && self.is_known
            && self.server.state == ServerState::Ready
            && self.failures < orders::FAILURES_TO_AVOID
    }
}
