//! Replay of one trace against one policy in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guava_core::config::Profile;
use guava_core::demand::Source;
use guava_core::ids::{AdapterName, ModelName, PoolName, ProfileName, RequestId, ServerName, Zone};
use guava_core::permits::{Permits, StoreLimits};
use guava_core::plan::CacheTier;
use guava_core::queue::Waiting;
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use guava_load::report::{Limit, ideal_admissions};
use guava_load::trace::TraceRequest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::bound;
use crate::engine::{Engine, Job};
use crate::pool::{Policy, Pool, Shared};
use crate::queues::{Answer, Queue};
use crate::scenario::Recorded;
use crate::store::Store;

/// Step of virtual time in milliseconds.
const STEP_MS: u64 = 10;
/// Time between controller rounds while something waits, loads or unloads.
const BUSY_ROUND_MS: u64 = 50;
/// Time between controller rounds otherwise; nothing changes between them but the clock.
const QUIET_ROUND_MS: u64 = 500;
/// Time between demand reports for a cold model.
const COLD_REPORT_MS: u64 = 100;
/// Time between demand reports for a model with running requests.
const RUNNING_REPORT_MS: u64 = 2_000;
/// Time between looks at the deferred requests.
const JOB_LOOK_MS: u64 = 100;
/// Deferred requests that one router runs at once.
const JOBS_AT_ONCE: usize = 16;
/// Time after a trace's window within which what still waits or runs may end.
const DRAIN_MS: u64 = 300_000;
/// Entry VMs of a deployment, each with one router.
const ROUTERS: usize = 6;
/// Servers whose disk may hold a model at the start: none, one or two.
const DISK_COPIES: u64 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum End {
    /// It still waited or ran when the replay ended.
    #[default]
    Open,
    /// Beyond its organisation's rate and burst.
    OverRate,
    /// Refused although within the rate.
    Refused,
    /// Its backend server ended while it ran.
    Interrupted,
    /// Answered whole, so many milliseconds after its arrival.
    Answered(u64),
}

/// What became of a request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// Whether no replica was ready when it came.
    pub cold: bool,
    /// Whether it is a deferred request.
    pub deferred: bool,
    /// Longest wait that its profile allows, in milliseconds.
    pub limit_ms: u64,
    /// Unavoidable time to the first token of a cold start, in milliseconds.
    pub bound_ms: u64,
    /// Time from arrival to the first token in milliseconds.
    pub first_ms: Option<u64>,
}

impl Outcome {
    /// Whether its organisation's rate and burst admit it.
    pub fn is_admitted(&self) -> bool {
        self.end != End::OverRate
    }

    /// Whether it was answered whole.
    pub fn is_answered(&self) -> bool {
        matches!(self.end, End::Answered(_))
    }
}

/// Result of a replay.
#[derive(Debug, Clone)]
pub struct Outcomes {
    /// By request of the trace.
    pub requests: Vec<Outcome>,
    /// Time of backend servers without a running request in the window, in milliseconds.
    pub idle_ms: u64,
    /// The same for servers that hold replicas.
    pub idle_held_ms: u64,
    /// Loads of models and adapters.
    pub loads: u64,
}

struct Target {
    model: ModelName,
    adapter: Option<AdapterName>,
    pool: usize,
    /// Start of the present cold start at any router, and its unavoidable load time.
    cold: Option<(u64, f64)>,
}

impl Target {
    fn name(&self) -> &str {
        self.adapter
            .as_ref()
            .map_or_else(|| self.model.as_str(), AdapterName::as_str)
    }
}

struct Replay<'a> {
    recorded: &'a Recorded,
    now: u64,
    targets: Vec<Target>,
    by_name: BTreeMap<&'a str, usize>,
    /// By router, then target.
    queues: Vec<Vec<Queue>>,
    /// Queues with waiting or running requests.
    active: BTreeSet<(usize, usize)>,
    backlog: Vec<VecDeque<usize>>,
    /// Profile of each request.
    profiles: Vec<Profile>,
    /// Router and target of each request that has been sent or waits.
    place: Vec<(usize, usize)>,
    sent: Vec<u64>,
    jobs_running: Vec<usize>,
    outcomes: Vec<Outcome>,
    pools: Vec<Pool>,
    engines: BTreeMap<ServerName, Engine>,
    store: Store,
    permits: Permits,
    open: usize,
}

/// Replays a trace against a policy.
pub fn replay(recorded: &Recorded, policy: Policy) -> Outcomes {
    let mut replay = Replay::new(recorded, policy);
    let mut next = 0;
    let mut idle_ms = 0;
    let mut idle_held_ms = 0;
    let window_ms = recorded.scenario.window_ms;
    while replay.now < window_ms || (replay.open > 0 && replay.now < window_ms + DRAIN_MS) {
        while let Some(req) = recorded.requests.get(next).filter(|it| it.at_ms <= replay.now) {
            replay.arrive(next, req.at_ms);
            next += 1;
        }
        replay.step();
        if replay.now < window_ms {
            let (idle, held) = replay.idle_servers();
            idle_ms += idle * STEP_MS;
            idle_held_ms += held * STEP_MS;
        }
        replay.now += STEP_MS;
    }
    Outcomes {
        loads: replay.pools.iter().map(|it| it.loads).sum(),
        requests: replay.outcomes,
        idle_ms,
        idle_held_ms,
    }
}

fn profile_of<'a>(req: &TraceRequest, config: &'a Snapshot) -> &'a Profile {
    let named = req.profile.as_ref().map(ProfileName::new);
    let of_model = || {
        let adapter = config.adapters.get(req.model.as_str());
        let model = adapter.map_or(req.model.as_str(), |it| it.model.as_str());
        config.models[model].profile.clone()
    };
    &config.profiles[&named.unwrap_or_else(of_model)]
}

fn id(index: usize) -> RequestId {
    RequestId::new(index.to_string())
}

fn index(id: &RequestId) -> usize {
    id.as_str().parse().expect("request ids are indexes")
}

pub(crate) fn engines(recorded: &Recorded) -> BTreeMap<ServerName, Engine> {
    let config = &recorded.config;
    let mut disks: BTreeMap<ServerName, BTreeSet<String>> = BTreeMap::new();
    for model in config.models.values() {
        let score = |text: &str| xxh3_64_with_seed(text.as_bytes(), recorded.scenario.disk_seed);
        let copies = score(model.name.as_str()) % DISK_COPIES;
        let mut servers: Vec<&ServerName> = config
            .servers
            .values()
            .filter(|it| it.pool == model.pool)
            .map(|it| &it.name)
            .collect();
        servers.sort_by_key(|it| score(&format!("{} {it}", model.name)));
        for server in servers.into_iter().take(copies as usize) {
            disks.entry(server.clone()).or_default().insert(model.name.to_string());
        }
    }
    let with_engine = config.servers.values().filter(|it| it.memory_bytes > 0);
    with_engine
        .map(|it| {
            let disk = disks.remove(&it.name).unwrap_or_default();
            (it.name.clone(), Engine::new(it.memory_bytes, disk))
        })
        .collect()
}

impl<'a> Replay<'a> {
    fn new(recorded: &'a Recorded, policy: Policy) -> Self {
        let config = &recorded.config;
        let pool_names: BTreeSet<&PoolName> = config.models.values().map(|it| &it.pool).collect();
        let pool_names: Vec<&PoolName> = pool_names.into_iter().collect();
        let names: BTreeSet<&str> = recorded.requests.iter().map(|it| it.model.as_str()).collect();
        let target = |name: &str| {
            let adapter = config.adapters.get(name);
            let model = adapter.map_or_else(|| ModelName::new(name), |it| it.model.clone());
            let known = &config.models[&model];
            Target {
                pool: pool_names
                    .iter()
                    .position(|it| **it == known.pool)
                    .expect("the pool of a model"),
                adapter: adapter.map(|it| it.name.clone()),
                model,
                cold: None,
            }
        };
        let targets: Vec<Target> = names.iter().map(|it| target(it)).collect();
        let zones: BTreeSet<&Zone> = config.servers.values().map(|it| &it.zone).collect();
        let zones: Vec<&Zone> = zones.into_iter().collect();
        let queue = |router: usize, it: &Target| {
            Queue::new(
                it.model.clone(),
                it.adapter.clone(),
                zones[router % zones.len()].clone(),
            )
        };
        let queues = (0..ROUTERS).map(|router| targets.iter().map(|it| queue(router, it)).collect());
        let limits = config.organisations.values().map(|it| {
            let limit = Limit {
                rate: it.rate,
                burst: it.burst,
            };
            (it.name.to_string(), limit)
        });
        let profiles = recorded.requests.iter().map(|it| profile_of(it, config).clone());
        let admitted = ideal_admissions(&recorded.requests, &limits.collect());
        let outcomes = admitted.into_iter().map(|admitted| Outcome {
            end: if admitted { End::Open } else { End::OverRate },
            ..Outcome::default()
        });
        let of_models = || config.pools.values().filter(|it| pool_names.contains(&&it.name));
        let limits = StoreLimits {
            loads_at_once: of_models().map(|it| it.loads_at_once).max().unwrap_or(1),
            loads_per_1000_seconds: (of_models().map(|it| it.loads_per_second).fold(0.1, f64::max) * 1_000.0) as u64,
            adapter_loads_at_once: of_models().map(|it| it.adapter_loads_at_once).max().unwrap_or(1),
        };
        Self {
            recorded,
            now: 0,
            by_name: names.iter().enumerate().map(|(index, name)| (*name, index)).collect(),
            queues: queues.collect(),
            active: BTreeSet::new(),
            backlog: vec![VecDeque::new(); ROUTERS],
            profiles: profiles.collect(),
            place: vec![(0, 0); recorded.requests.len()],
            sent: vec![0; recorded.requests.len()],
            jobs_running: vec![0; ROUTERS],
            outcomes: outcomes.collect(),
            pools: pool_names.iter().map(|it| Pool::new(it, policy)).collect(),
            engines: engines(recorded),
            store: Store::new(config),
            permits: Permits::new(limits, Millis(0)),
            open: 0,
            targets,
        }
    }

    fn arrive(&mut self, index: usize, at: u64) {
        let target = self.by_name[self.recorded.requests[index].model.as_str()];
        // The balancer spreads connections evenly.
        let router = index % ROUTERS;
        self.place[index] = (router, target);
        let profile = &self.profiles[index];
        self.outcomes[index].limit_ms = profile.cold_start_ms;
        let is_deferred = profile.deferred || self.recorded.scenario.deferred_profiles.contains(&profile.name);
        self.outcomes[index].deferred = is_deferred;
        if !self.outcomes[index].is_admitted() {
            return;
        }
        self.open += 1;
        if is_deferred {
            self.backlog[router].push_back(index);
        } else {
            self.enqueue(index, at);
        }
    }

    /// Puts a request into its queue, or sends it when a slot is free.
    fn enqueue(&mut self, index: usize, at: u64) {
        let (router, target) = self.place[index];
        let req = &self.recorded.requests[index];
        let profile = &self.profiles[index];
        let cold = self.queues[router][target].is_cold();
        let wait = if cold {
            profile.cold_start_ms
        } else {
            profile.first_token_ms
        };
        let organisation = &self.recorded.config.organisations[req.organisation.as_str()];
        let item = Waiting {
            request: id(index),
            organisation: organisation.name.clone(),
            weight: organisation.weight,
            tokens: req.tokens(),
            priority: profile.priority,
            deadline: Millis(at + wait),
            since: Millis(at),
        };
        let (name, limit) = (profile.name.clone(), profile.queue_limit);
        if cold && !self.outcomes[index].deferred {
            self.outcomes[index].cold = true;
            self.outcomes[index].bound_ms = self.cold_bound(index, target, at);
        }
        self.active.insert((router, target));
        match self.queues[router][target].acquire(item, &name, limit) {
            Answer::Sent(replica) => self.send(index, &replica),
            Answer::Queued => {}
            Answer::Refused => self.refuse(index),
        }
    }

    fn cold_bound(&mut self, index: usize, target: usize, at: u64) -> u64 {
        let cold = self.targets[target].cold.unwrap_or_else(|| {
            let it = &self.targets[target];
            let is_ready = !self.pools[it.pool]
                .placement(it.model.as_str(), &self.recorded.config)
                .is_empty();
            let adapter = it.adapter.as_ref();
            (
                at,
                bound::load_ms(
                    &it.model,
                    adapter,
                    is_ready,
                    &self.recorded.config,
                    &self.engines,
                    &self.store,
                ),
            )
        });
        self.targets[target].cold = Some(cold);
        let (since, load_ms) = cold;
        let left = (since as f64 + load_ms - at as f64).max(0.0);
        (left + crate::engine::first_token_ms(self.recorded.requests[index].prompt_tokens)) as u64
    }

    fn refuse(&mut self, index: usize) {
        if self.outcomes[index].deferred {
            // A deferred request that was not run stays stored and is tried again.
            self.jobs_running[self.place[index].0] -= 1;
            self.backlog[self.place[index].0].push_back(index);
            return;
        }
        self.outcomes[index].end = End::Refused;
        self.open -= 1;
    }

    fn send(&mut self, index: usize, replica: &guava_core::placement::ReplicaAddress) {
        let req = &self.recorded.requests[index];
        let (router, target) = self.place[index];
        let job = Job {
            index,
            prompt: req.prompt_tokens,
            output: req.output_tokens,
            priority: self.profiles[index].priority,
        };
        self.sent[index] = self.now;
        let engine = self.engines.get_mut(&replica.server);
        if !engine.is_some_and(|it| it.submit(&replica.replica, job)) {
            self.queues[router][target].release(&id(index), None);
            self.refuse(index);
        }
    }

    fn step(&mut self) {
        self.reclaim();
        let slowdown = self.recorded.scenario.slowdown(self.now);
        for (server, replica) in self.store.advance(STEP_MS as f64, slowdown) {
            if let Some(engine) = self.engines.get_mut(&server) {
                engine.loaded(&replica);
            }
        }
        self.advance_engines();
        for (router, target) in self.active.clone() {
            for request in self.queues[router][target].expire(Millis(self.now)) {
                self.refuse(index(&request));
            }
        }
        if self.now.is_multiple_of(JOB_LOOK_MS) {
            self.start_jobs();
        }
        self.report_demand();
        self.rounds();
        self.hand_out();
        let queues = &self.queues;
        self.active.retain(|(router, target)| {
            let it = &queues[*router][*target];
            it.waiting() > 0 || it.running() > 0
        });
    }

    fn reclaim(&mut self) {
        let mut lost = Vec::new();
        for it in &self.recorded.scenario.reclaims {
            let Some(engine) = self.engines.get_mut(&it.server) else {
                continue;
            };
            let ends_at = it.at_ms + it.notice_ms;
            if (it.at_ms..ends_at).contains(&self.now) {
                engine.is_leaving = true;
            } else if (ends_at..it.back_ms).contains(&self.now) && engine.is_up {
                lost.extend(engine.end());
                self.store.drop_server(&it.server);
            } else if self.now >= it.back_ms && !engine.is_up {
                engine.start();
            }
        }
        for (index, _) in lost {
            self.interrupt(index);
        }
    }

    /// Tries a request elsewhere that may run again and of which no byte was forwarded.
    fn interrupt(&mut self, index: usize) {
        let (router, target) = self.place[index];
        let may_repeat = self.profiles[index].idempotent;
        if self.outcomes[index].deferred && may_repeat {
            self.queues[router][target].release(&id(index), None);
            self.jobs_running[router] -= 1;
            self.backlog[router].push_back(index);
        } else if may_repeat && self.outcomes[index].first_ms.is_none() {
            self.queues[router][target].release(&id(index), None);
            self.enqueue(index, self.now);
        } else {
            self.end(index, None);
            self.outcomes[index].end = End::Interrupted;
        }
    }

    fn advance_engines(&mut self) {
        let mut first = Vec::new();
        let mut done = Vec::new();
        for engine in self.engines.values_mut().filter(|it| !it.is_idle() || it.is_up) {
            let progress = engine.advance(self.now, STEP_MS as f64);
            first.extend(progress.first);
            done.extend(progress.done);
        }
        for index in first {
            let at = self.recorded.requests[index].at_ms;
            self.outcomes[index].first_ms = Some(self.now - at);
        }
        for (index, _) in done {
            let at = self.recorded.requests[index].at_ms;
            self.outcomes[index].end = End::Answered(self.now - at);
            let tokens = self.recorded.requests[index].tokens();
            self.end(index, Some((tokens, self.now - self.sent[index])));
        }
    }

    fn end(&mut self, index: usize, served: Option<(u64, u64)>) {
        let (router, target) = self.place[index];
        self.queues[router][target].release(&id(index), served);
        if self.outcomes[index].deferred {
            self.jobs_running[router] -= 1;
        }
        self.open -= 1;
    }

    /// Starts a deferred request at each router that has idle capacity.
    fn start_jobs(&mut self) {
        for router in 0..ROUTERS {
            let queues = self.queues[router].iter();
            let nobody_waits = queues.clone().all(|it| it.waiting() == 0);
            let running: usize = queues.clone().map(Queue::running).sum();
            let free: usize = queues.map(Queue::free_slots).sum();
            if !nobody_waits || running > free || self.jobs_running[router] >= JOBS_AT_ONCE {
                continue;
            }
            if let Some(index) = self.backlog[router].pop_front() {
                self.jobs_running[router] += 1;
                self.enqueue(index, self.now);
            }
        }
    }

    fn report_demand(&mut self) {
        let now = Millis(self.now);
        let config = &self.recorded.config;
        let urgency = |it: &ProfileName| config.profiles.get(it).map_or(u64::MAX, |it| it.cold_start_ms);
        for &(router, target) in &self.active {
            let queue = &mut self.queues[router][target];
            let is_cold = queue.is_cold() && queue.waiting() > 0;
            let interval = if is_cold { COLD_REPORT_MS } else { RUNNING_REPORT_MS };
            let is_due = queue.reported.is_none_or(|at| now.since(at) >= interval);
            let is_idle = queue.waiting() == 0 && queue.running() == 0;
            if is_idle {
                // The last report tells the controller at once that nothing runs any more.
                if queue.reported.take().is_none() {
                    continue;
                }
            } else if is_due {
                queue.reported = Some(now);
            } else {
                continue;
            }
            let it = &self.targets[target];
            let fallback = &config.models[&it.model].profile;
            let demand = queue.demand(now, fallback, urgency);
            let name = format!("vm-{}/router", router + 1);
            let zones: BTreeSet<&Zone> = config.servers.values().map(|it| &it.zone).collect();
            let source = Source {
                router: &name,
                zone: zones.iter().nth(router % zones.len()).copied(),
            };
            let ready_in = self.pools[it.pool].demand(now, source, &demand, config);
            queue.expect_ready(now, ready_in);
        }
    }

    fn rounds(&mut self) {
        let waiting = self
            .active
            .iter()
            .filter(|(router, target)| self.queues[*router][*target].waiting() > 0);
        let waiting: BTreeSet<usize> = waiting.map(|(_, target)| self.targets[*target].pool).collect();
        let mut shared = Shared {
            config: &self.recorded.config,
            engines: &mut self.engines,
            store: &mut self.store,
            permits: &mut self.permits,
        };
        let mut rounds = Vec::new();
        for (index, pool) in self.pools.iter_mut().enumerate() {
            let interval = if waiting.contains(&index) || pool.is_busy() {
                BUSY_ROUND_MS
            } else {
                QUIET_ROUND_MS
            };
            if self.now.is_multiple_of(interval) {
                let before = pool.plan.clone();
                pool.round(Millis(self.now), &mut shared);
                if pool.plan != before {
                    rounds.push(index);
                }
            }
        }
        for index in rounds {
            self.publish(index);
        }
    }

    fn publish(&mut self, pool: usize) {
        for target in 0..self.targets.len() {
            if self.targets[target].pool != pool {
                continue;
            }
            let replicas = self.pools[pool].placement(self.targets[target].name(), &self.recorded.config);
            if !replicas.is_empty() {
                self.targets[target].cold = None;
            }
            for queues in &mut self.queues {
                queues[target].update(replicas.clone());
            }
        }
    }

    fn hand_out(&mut self) {
        for (router, target) in self.active.clone() {
            while let Some((request, replica)) = self.queues[router][target].take_next() {
                self.send(index(&request), &replica);
            }
        }
    }

    /// Servers without a running request, and those of them that hold replicas.
    fn idle_servers(&self) -> (u64, u64) {
        let idle = self.engines.iter().filter(|(_, it)| it.is_up && it.is_idle());
        let names: Vec<&ServerName> = idle.map(|(name, _)| name).collect();
        let held = |name: &&&ServerName| {
            let mut servers = self.pools.iter().filter_map(|it| it.plan.servers.get(**name));
            servers.any(|it| it.reserved_bytes > 0)
        };
        (names.len() as u64, names.iter().filter(held).count() as u64)
    }
}

/// Fastest tier of a model on any server that is up.
pub(crate) fn fastest_tier(model: &ModelName, engines: &BTreeMap<ServerName, Engine>) -> CacheTier {
    let up = engines.values().filter(|it| it.is_up);
    up.map(|it| it.tier(model.as_str())).min().unwrap_or(CacheTier::Remote)
}
