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
use crate::engine::{Engine, EngineRequest};
use crate::pool::{Policy, Pool, SharedState};
use crate::queues::{AcquireResult, Queue};
use crate::scenario::RecordedTrace;
use crate::store::WeightStore;

/// Increment of virtual time in milliseconds.
const STEP_MS: u64 = 10;
/// Interval of controller rounds while requests wait or replicas load or unload, in milliseconds.
const BUSY_ROUND_INTERVAL_MS: u64 = 50;
/// Interval of controller rounds otherwise, in milliseconds. Only the time changes between such rounds.
const IDLE_ROUND_INTERVAL_MS: u64 = 500;
/// Interval of demand reports while requests wait and no replica is ready, in milliseconds.
const COLD_REPORT_INTERVAL_MS: u64 = 100;
/// Interval of demand reports otherwise, while requests wait or run, in milliseconds.
const WARM_REPORT_INTERVAL_MS: u64 = 2_000;
/// Interval at which routers try to start a deferred request, in milliseconds.
const JOB_START_INTERVAL_MS: u64 = 100;
/// Maximum number of concurrent deferred requests per router.
const MAX_RUNNING_JOBS: usize = 16;
/// Maximum time after the window of the trace in which remaining requests may finish, in milliseconds.
const MAX_DRAIN_MS: u64 = 300_000;
/// Routers of a deployment, one per entry VM.
const ROUTER_COUNT: usize = 6;
/// Number of possible values of the initial disk copies of a model: none, one or two.
const DISK_COPY_VARIANTS: u64 = 3;

/// Final state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestEnd {
    /// Still waiting or running when the replay ended.
    #[default]
    Unfinished,
    /// Rejected because it exceeds the rate and burst of its organisation.
    OverRate,
    /// Refused although within the rate and burst of its organisation.
    Refused,
    /// Failed because its backend server was stopped.
    Interrupted,
    /// Answered completely, this many milliseconds after its arrival.
    Answered(u64),
}

/// Outcome of one request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Final state.
    pub end: RequestEnd,
    /// Whether no replica was ready when the request arrived or was retried. Always false for deferred requests.
    pub is_cold_start: bool,
    /// Whether the request is deferred, by its profile or by the scenario.
    pub is_deferred: bool,
    /// Longest wait in a cold start that its profile allows, in milliseconds.
    pub cold_start_limit_ms: u64,
    /// Lower bound on the time to the first token of a cold start, in milliseconds; 0 for other requests.
    pub min_first_token_ms: u64,
    /// Time from arrival to the first token in milliseconds, absent when none was produced.
    pub first_token_ms: Option<u64>,
}

impl Outcome {
    /// Returns whether the rate and burst of its organisation admit the request.
    pub fn is_admitted(&self) -> bool {
        self.end != RequestEnd::OverRate
    }

    /// Returns whether the request was answered completely.
    pub fn is_answered(&self) -> bool {
        matches!(self.end, RequestEnd::Answered(_))
    }
}

/// Result of a replay.
#[derive(Debug, Clone)]
pub struct ReplayResult {
    /// Outcome of each request, in the order of the trace.
    pub requests: Vec<Outcome>,
    /// Total time of running backend servers without a running request, within the window of the trace, in
    /// milliseconds.
    pub idle_ms: u64,
    /// The part of `idle_ms` in which the backend server had memory reserved for replicas.
    pub idle_loaded_ms: u64,
    /// Number of model and adapter loads that were started.
    pub loads: u64,
}

/// Model or adapter that requests of the trace name.
struct Target {
    model: ModelName,
    adapter: Option<AdapterName>,
    pool: usize,
    /// Start of the current cold start at any router and its minimum load time, both in milliseconds. Absent while a
    /// replica is ready.
    cold_start: Option<(u64, f64)>,
}

impl Target {
    fn name(&self) -> &str {
        self.adapter
            .as_ref()
            .map_or_else(|| self.model.as_str(), AdapterName::as_str)
    }
}

struct Replay<'a> {
    recorded: &'a RecordedTrace,
    now: u64,
    targets: Vec<Target>,
    target_by_name: BTreeMap<&'a str, usize>,
    /// Queues by router, then target.
    queues: Vec<Vec<Queue>>,
    /// Router and target of the queues with waiting or running requests.
    active_queues: BTreeSet<(usize, usize)>,
    /// Deferred requests that are not started yet, by router.
    job_backlogs: Vec<VecDeque<usize>>,
    /// Profile by request.
    profiles: Vec<Profile>,
    /// Router and target by request; meaningful once it has arrived.
    queue_of: Vec<(usize, usize)>,
    /// Time in milliseconds at which each request was last sent to a replica.
    sent_at: Vec<u64>,
    /// Number of running deferred requests by router.
    running_jobs: Vec<usize>,
    outcomes: Vec<Outcome>,
    pools: Vec<Pool>,
    engines: BTreeMap<ServerName, Engine>,
    store: WeightStore,
    permits: Permits,
    /// Number of admitted requests that have arrived but not reached a final state.
    unfinished: usize,
}

/// Replays a trace against a policy until the window of the scenario has passed and all requests have finished, but for
/// at most five minutes after the window.
pub fn replay(recorded: &RecordedTrace, policy: Policy) -> ReplayResult {
    let mut replay = Replay::new(recorded, policy);
    let mut next_index = 0;
    let mut idle_ms = 0;
    let mut idle_loaded_ms = 0;
    let window_ms = recorded.scenario.window_ms;
    while replay.now < window_ms || (replay.unfinished > 0 && replay.now < window_ms + MAX_DRAIN_MS) {
        while let Some(req) = recorded.requests.get(next_index).filter(|it| it.at_ms <= replay.now) {
            replay.arrive(next_index, req.at_ms);
            next_index += 1;
        }
        replay.step();
        if replay.now < window_ms {
            let (idle, idle_loaded) = replay.idle_servers();
            idle_ms += idle * STEP_MS;
            idle_loaded_ms += idle_loaded * STEP_MS;
        }
        replay.now += STEP_MS;
    }
    ReplayResult {
        loads: replay.pools.iter().map(|it| it.loads).sum(),
        requests: replay.outcomes,
        idle_ms,
        idle_loaded_ms,
    }
}

fn profile_of<'a>(req: &TraceRequest, config: &'a Snapshot) -> &'a Profile {
    let named = req.profile.as_ref().map(ProfileName::new);
    let profile_of_model = || {
        let adapter = config.adapters.get(req.model.as_str());
        let model = adapter.map_or(req.model.as_str(), |it| it.model.as_str());
        config.models[model].profile.clone()
    };
    &config.profiles[&named.unwrap_or_else(profile_of_model)]
}

fn request_id(index: usize) -> RequestId {
    RequestId::new(index.to_string())
}

fn request_index(id: &RequestId) -> usize {
    id.as_str().parse().expect("a request id is an index in the trace")
}

/// Creates the engines as at the start of the trace. The disks that cache a model follow from the scenario's seed.
pub(crate) fn initial_engines(recorded: &RecordedTrace) -> BTreeMap<ServerName, Engine> {
    let config = &recorded.config;
    let mut disks: BTreeMap<ServerName, BTreeSet<String>> = BTreeMap::new();
    for model in config.models.values() {
        let seeded_hash = |text: &str| xxh3_64_with_seed(text.as_bytes(), recorded.scenario.disk_seed);
        let copies = seeded_hash(model.name.as_str()) % DISK_COPY_VARIANTS;
        let mut servers: Vec<&ServerName> = config
            .servers
            .values()
            .filter(|it| it.pool == model.pool)
            .map(|it| &it.name)
            .collect();
        servers.sort_by_key(|it| seeded_hash(&format!("{} {it}", model.name)));
        for server in servers.into_iter().take(copies as usize) {
            disks.entry(server.clone()).or_default().insert(model.name.to_string());
        }
    }
    let backend_servers = config.servers.values().filter(|it| it.memory_bytes > 0);
    backend_servers
        .map(|it| {
            let disk = disks.remove(&it.name).unwrap_or_default();
            (it.name.clone(), Engine::new(it.memory_bytes, disk))
        })
        .collect()
}

impl<'a> Replay<'a> {
    fn new(recorded: &'a RecordedTrace, policy: Policy) -> Self {
        let config = &recorded.config;
        let pool_names: BTreeSet<&PoolName> = config.models.values().map(|it| &it.pool).collect();
        let pool_names: Vec<&PoolName> = pool_names.into_iter().collect();
        let names: BTreeSet<&str> = recorded.requests.iter().map(|it| it.model.as_str()).collect();
        let new_target = |name: &str| {
            let adapter = config.adapters.get(name);
            let model = adapter.map_or_else(|| ModelName::new(name), |it| it.model.clone());
            let model_config = &config.models[&model];
            Target {
                pool: pool_names
                    .iter()
                    .position(|it| **it == model_config.pool)
                    .expect("pool_names contains the pool of every model"),
                adapter: adapter.map(|it| it.name.clone()),
                model,
                cold_start: None,
            }
        };
        let targets: Vec<Target> = names.iter().map(|it| new_target(it)).collect();
        let zones: BTreeSet<&Zone> = config.servers.values().map(|it| &it.zone).collect();
        let zones: Vec<&Zone> = zones.into_iter().collect();
        let new_queue = |router: usize, it: &Target| {
            Queue::new(
                it.model.clone(),
                it.adapter.clone(),
                zones[router % zones.len()].clone(),
            )
        };
        let queues = (0..ROUTER_COUNT).map(|router| targets.iter().map(|it| new_queue(router, it)).collect());
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
            end: if admitted {
                RequestEnd::Unfinished
            } else {
                RequestEnd::OverRate
            },
            ..Outcome::default()
        });
        let pools_with_models = || config.pools.values().filter(|it| pool_names.contains(&&it.name));
        let limits = StoreLimits {
            loads_at_once: pools_with_models().map(|it| it.loads_at_once).max().unwrap_or(1),
            loads_per_1000_seconds: (pools_with_models().map(|it| it.loads_per_second).fold(0.1, f64::max) * 1_000.0)
                as u64,
            adapter_loads_at_once: pools_with_models()
                .map(|it| it.adapter_loads_at_once)
                .max()
                .unwrap_or(1),
        };
        Self {
            recorded,
            now: 0,
            target_by_name: names.iter().enumerate().map(|(index, name)| (*name, index)).collect(),
            queues: queues.collect(),
            active_queues: BTreeSet::new(),
            job_backlogs: vec![VecDeque::new(); ROUTER_COUNT],
            profiles: profiles.collect(),
            queue_of: vec![(0, 0); recorded.requests.len()],
            sent_at: vec![0; recorded.requests.len()],
            running_jobs: vec![0; ROUTER_COUNT],
            outcomes: outcomes.collect(),
            pools: pool_names.iter().map(|it| Pool::new(it, policy)).collect(),
            engines: initial_engines(recorded),
            store: WeightStore::new(config),
            permits: Permits::new(limits, Millis(0)),
            unfinished: 0,
            targets,
        }
    }

    fn arrive(&mut self, index: usize, at_ms: u64) {
        let target = self.target_by_name[self.recorded.requests[index].model.as_str()];
        // The load balancer distributes connections evenly over the routers.
        let router = index % ROUTER_COUNT;
        self.queue_of[index] = (router, target);
        let profile = &self.profiles[index];
        self.outcomes[index].cold_start_limit_ms = profile.cold_start_ms;
        let is_deferred = profile.deferred || self.recorded.scenario.deferred_profiles.contains(&profile.name);
        self.outcomes[index].is_deferred = is_deferred;
        if !self.outcomes[index].is_admitted() {
            return;
        }
        self.unfinished += 1;
        if is_deferred {
            self.job_backlogs[router].push_back(index);
        } else {
            self.enqueue(index, at_ms);
        }
    }

    /// Passes a request to the queue of its router and target, which sends, queues or refuses it.
    fn enqueue(&mut self, index: usize, at_ms: u64) {
        let (router, target) = self.queue_of[index];
        let req = &self.recorded.requests[index];
        let profile = &self.profiles[index];
        let is_cold = self.queues[router][target].is_cold();
        let max_wait_ms = if is_cold {
            profile.cold_start_ms
        } else {
            profile.first_token_ms
        };
        let organisation = &self.recorded.config.organisations[req.organisation.as_str()];
        let item = Waiting {
            request: request_id(index),
            organisation: organisation.name.clone(),
            weight: organisation.weight,
            tokens: req.tokens(),
            priority: profile.priority,
            deadline: Millis(at_ms + max_wait_ms),
            since: Millis(at_ms),
        };
        let (profile_name, queue_limit) = (profile.name.clone(), profile.queue_limit);
        if is_cold && !self.outcomes[index].is_deferred {
            self.outcomes[index].is_cold_start = true;
            self.outcomes[index].min_first_token_ms = self.min_first_token_ms(index, target, at_ms);
        }
        self.active_queues.insert((router, target));
        match self.queues[router][target].acquire(item, &profile_name, queue_limit) {
            AcquireResult::Sent(replica) => self.send(index, &replica),
            AcquireResult::Queued => {}
            AcquireResult::Refused => self.refuse(index),
        }
    }

    /// Lower bound on the time to the first token of a request that arrives at `at_ms` during a cold start.
    fn min_first_token_ms(&mut self, index: usize, target: usize, at_ms: u64) -> u64 {
        let cold_start = self.targets[target].cold_start.unwrap_or_else(|| {
            let it = &self.targets[target];
            let is_base_ready = !self.pools[it.pool]
                .placement(it.model.as_str(), &self.recorded.config)
                .is_empty();
            let adapter = it.adapter.as_ref();
            (
                at_ms,
                bound::min_load_ms(
                    &it.model,
                    adapter,
                    is_base_ready,
                    &self.recorded.config,
                    &self.engines,
                    &self.store,
                ),
            )
        });
        self.targets[target].cold_start = Some(cold_start);
        let (since, load_ms) = cold_start;
        let remaining_load_ms = (since as f64 + load_ms - at_ms as f64).max(0.0);
        (remaining_load_ms + crate::engine::first_token_ms(self.recorded.requests[index].prompt_tokens)) as u64
    }

    fn refuse(&mut self, index: usize) {
        if self.outcomes[index].is_deferred {
            // A deferred request that did not run stays stored and is retried.
            self.running_jobs[self.queue_of[index].0] -= 1;
            self.job_backlogs[self.queue_of[index].0].push_back(index);
            return;
        }
        self.outcomes[index].end = RequestEnd::Refused;
        self.unfinished -= 1;
    }

    fn send(&mut self, index: usize, replica: &guava_core::placement::ReplicaAddress) {
        let req = &self.recorded.requests[index];
        let (router, target) = self.queue_of[index];
        let request = EngineRequest {
            index,
            prompt_tokens: req.prompt_tokens,
            output_tokens: req.output_tokens,
            priority: self.profiles[index].priority,
        };
        self.sent_at[index] = self.now;
        let engine = self.engines.get_mut(&replica.server);
        if !engine.is_some_and(|it| it.submit(&replica.replica, request)) {
            self.queues[router][target].release(&request_id(index), None);
            self.refuse(index);
        }
    }

    fn step(&mut self) {
        self.apply_reclaims();
        let slowdown = self.recorded.scenario.slowdown(self.now);
        for (server, replica) in self.store.advance(STEP_MS as f64, slowdown) {
            if let Some(engine) = self.engines.get_mut(&server) {
                engine.finish_load(&replica);
            }
        }
        self.advance_engines();
        for (router, target) in self.active_queues.clone() {
            for request in self.queues[router][target].remove_expired(Millis(self.now)) {
                self.refuse(request_index(&request));
            }
        }
        if self.now.is_multiple_of(JOB_START_INTERVAL_MS) {
            self.start_jobs();
        }
        self.report_demand();
        self.run_controller_rounds();
        self.send_waiting();
        let queues = &self.queues;
        self.active_queues.retain(|(router, target)| {
            let it = &queues[*router][*target];
            it.waiting() > 0 || it.running() > 0
        });
    }

    fn apply_reclaims(&mut self) {
        let mut lost = Vec::new();
        for it in &self.recorded.scenario.reclaims {
            let Some(engine) = self.engines.get_mut(&it.server) else {
                continue;
            };
            let stops_at = it.at_ms + it.notice_ms;
            if (it.at_ms..stops_at).contains(&self.now) {
                engine.is_leaving = true;
            } else if (stops_at..it.back_ms).contains(&self.now) && engine.is_up {
                lost.extend(engine.stop());
                self.store.cancel_loads_of(&it.server);
            } else if self.now >= it.back_ms && !engine.is_up {
                engine.restart();
            }
        }
        for (index, _) in lost {
            self.interrupt(index);
        }
    }

    /// Handles a request that its backend server lost when it was stopped. An idempotent request is retried if it is
    /// deferred or has not produced a token; any other one fails.
    fn interrupt(&mut self, index: usize) {
        let (router, target) = self.queue_of[index];
        let is_idempotent = self.profiles[index].idempotent;
        if self.outcomes[index].is_deferred && is_idempotent {
            self.queues[router][target].release(&request_id(index), None);
            self.running_jobs[router] -= 1;
            self.job_backlogs[router].push_back(index);
        } else if is_idempotent && self.outcomes[index].first_token_ms.is_none() {
            self.queues[router][target].release(&request_id(index), None);
            self.enqueue(index, self.now);
        } else {
            self.finish(index, None);
            self.outcomes[index].end = RequestEnd::Interrupted;
        }
    }

    fn advance_engines(&mut self) {
        let mut first_tokens = Vec::new();
        let mut finished = Vec::new();
        for engine in self.engines.values_mut().filter(|it| !it.is_idle() || it.is_up) {
            let events = engine.advance(self.now, STEP_MS as f64);
            first_tokens.extend(events.first_tokens);
            finished.extend(events.finished);
        }
        for index in first_tokens {
            let arrival_ms = self.recorded.requests[index].at_ms;
            self.outcomes[index].first_token_ms = Some(self.now - arrival_ms);
        }
        for (index, _) in finished {
            let arrival_ms = self.recorded.requests[index].at_ms;
            self.outcomes[index].end = RequestEnd::Answered(self.now - arrival_ms);
            let tokens = self.recorded.requests[index].tokens();
            self.finish(index, Some((tokens, self.now - self.sent_at[index])));
        }
    }

    fn finish(&mut self, index: usize, served: Option<(u64, u64)>) {
        let (router, target) = self.queue_of[index];
        self.queues[router][target].release(&request_id(index), served);
        if self.outcomes[index].is_deferred {
            self.running_jobs[router] -= 1;
        }
        self.unfinished -= 1;
    }

    /// Starts one deferred request at each router that has no waiting requests, no more running requests than free
    /// slots and fewer than the maximum number of running deferred requests.
    fn start_jobs(&mut self) {
        for router in 0..ROUTER_COUNT {
            let queues = self.queues[router].iter();
            let are_queues_empty = queues.clone().all(|it| it.waiting() == 0);
            let running: usize = queues.clone().map(Queue::running).sum();
            let free_slots: usize = queues.map(Queue::free_slots).sum();
            if !are_queues_empty || running > free_slots || self.running_jobs[router] >= MAX_RUNNING_JOBS {
                continue;
            }
            if let Some(index) = self.job_backlogs[router].pop_front() {
                self.running_jobs[router] += 1;
                self.enqueue(index, self.now);
            }
        }
    }

    fn report_demand(&mut self) {
        let now = Millis(self.now);
        let config = &self.recorded.config;
        let urgency = |it: &ProfileName| config.profiles.get(it).map_or(u64::MAX, |it| it.cold_start_ms);
        for &(router, target) in &self.active_queues {
            let queue = &mut self.queues[router][target];
            let is_cold = queue.is_cold() && queue.waiting() > 0;
            let interval = if is_cold {
                COLD_REPORT_INTERVAL_MS
            } else {
                WARM_REPORT_INTERVAL_MS
            };
            let is_due = queue.last_report.is_none_or(|at| now.since(at) >= interval);
            let is_idle = queue.waiting() == 0 && queue.running() == 0;
            if is_idle {
                // Reported without delay, so that the controller learns at once that the demand has ended.
                if queue.last_report.take().is_none() {
                    continue;
                }
            } else if is_due {
                queue.last_report = Some(now);
            } else {
                continue;
            }
            let it = &self.targets[target];
            let fallback = &config.models[&it.model].profile;
            let demand = queue.demand(now, fallback, urgency);
            let router_name = format!("vm-{}/router", router + 1);
            let zones: BTreeSet<&Zone> = config.servers.values().map(|it| &it.zone).collect();
            let source = Source {
                router: &router_name,
                zone: zones.iter().nth(router % zones.len()).copied(),
            };
            let ready_in_ms = self.pools[it.pool].report_demand(now, source, &demand, config);
            queue.set_ready_estimate(now, ready_in_ms);
        }
    }

    fn run_controller_rounds(&mut self) {
        let waiting_queues = self
            .active_queues
            .iter()
            .filter(|(router, target)| self.queues[*router][*target].waiting() > 0);
        let waiting_pools: BTreeSet<usize> = waiting_queues.map(|(_, target)| self.targets[*target].pool).collect();
        let mut shared = SharedState {
            config: &self.recorded.config,
            engines: &mut self.engines,
            store: &mut self.store,
            permits: &mut self.permits,
        };
        let mut changed_pools = Vec::new();
        for (index, pool) in self.pools.iter_mut().enumerate() {
            let interval = if waiting_pools.contains(&index) || pool.is_busy() {
                BUSY_ROUND_INTERVAL_MS
            } else {
                IDLE_ROUND_INTERVAL_MS
            };
            if self.now.is_multiple_of(interval) {
                let before = pool.plan.clone();
                pool.run_round(Millis(self.now), &mut shared);
                if pool.plan != before {
                    changed_pools.push(index);
                }
            }
        }
        for index in changed_pools {
            self.publish_replicas(index);
        }
    }

    /// Passes the ready replicas of a pool to the queues of all routers.
    fn publish_replicas(&mut self, pool: usize) {
        for target in 0..self.targets.len() {
            if self.targets[target].pool != pool {
                continue;
            }
            let replicas = self.pools[pool].placement(self.targets[target].name(), &self.recorded.config);
            if !replicas.is_empty() {
                self.targets[target].cold_start = None;
            }
            for queues in &mut self.queues {
                queues[target].set_replicas(replicas.clone());
            }
        }
    }

    fn send_waiting(&mut self) {
        for (router, target) in self.active_queues.clone() {
            while let Some((request, replica)) = self.queues[router][target].assign_next() {
                self.send(request_index(&request), &replica);
            }
        }
    }

    /// Numbers of running backend servers without a running request, and of those among them with memory reserved for
    /// replicas.
    fn idle_servers(&self) -> (u64, u64) {
        let idle = self.engines.iter().filter(|(_, it)| it.is_up && it.is_idle());
        let idle_names: Vec<&ServerName> = idle.map(|(name, _)| name).collect();
        let has_reservation = |name: &&&ServerName| {
            let mut servers = self.pools.iter().filter_map(|it| it.plan.servers.get(**name));
            servers.any(|it| it.reserved_bytes > 0)
        };
        (
            idle_names.len() as u64,
            idle_names.iter().filter(has_reservation).count() as u64,
        )
    }
}

/// Fastest tier that caches a model on any running backend server; `Remote` when none does.
pub(crate) fn fastest_tier(model: &ModelName, engines: &BTreeMap<ServerName, Engine>) -> CacheTier {
    let running = engines.values().filter(|it| it.is_up);
    running
        .map(|it| it.tier(model.as_str()))
        .min()
        .unwrap_or(CacheTier::Remote)
}
