//! Waiting and running requests by model or route.
//!
//! Each target has one lock that is held for short, synchronous steps only. A request takes a slot of a replica or
//! waits in the target's fair queue; a released slot goes to the next waiting request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::ids::{AdapterName, ModelName, OrganisationName, PoolName, ProfileName, ReplicaId, RequestId, Zone};
use guava_core::placement::{Demand, OrganisationDemand, ReplicaAddress, ReplicaState};
use guava_core::queue::{FairQueue, QueueError, ServiceTime, WaitEstimate, Waiting};
use guava_core::routing::{Preference, SlotRegistry, choose};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use guava_node::Clock;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, oneshot};

use crate::refusal::Refusal;

/// Time for which a replica that could not be reached is passed over while another has a free slot, in milliseconds.
const SUSPECT_MS: u64 = 1_000;

/// What a request is routed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetKey {
    /// Pool.
    pub pool: PoolName,
    /// What the pool serves.
    pub service: Service,
}

/// What a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Service {
    /// A model, or an adapter of it.
    Model(ModelName, Option<AdapterName>),
    /// Plain services.
    Plain,
}

impl TargetKey {
    /// Name of the target for callers and operators.
    pub fn name(&self) -> &str {
        match &self.service {
            Service::Model(_, Some(adapter)) => adapter.as_str(),
            Service::Model(model, None) => model.as_str(),
            Service::Plain => self.pool.as_str(),
        }
    }
}

/// Replicas that take new work for a target, according to a snapshot.
pub fn usable_replicas(snapshot: &Snapshot, key: &TargetKey) -> Vec<ReplicaAddress> {
    match &key.service {
        Service::Model(..) => {
            let placement = snapshot.placements.get(&(key.pool.clone(), key.name().to_owned()));
            let replicas = placement.into_iter().flat_map(|it| &it.replicas);
            replicas
                .filter(|it| it.state == ReplicaState::Ready && snapshot.accepts_work(&it.server))
                .cloned()
                .collect()
        }
        Service::Plain => {
            let servers = snapshot.servers.values();
            let usable = servers.filter(|it| it.pool == key.pool && snapshot.accepts_work(&it.name));
            let as_replica = |it: &guava_core::config::BackendServer| ReplicaAddress {
                replica: ReplicaId::new(it.name.as_str()),
                server: it.name.clone(),
                addr: it.addr,
                zone: it.zone.clone(),
                slots: u32::MAX,
                state: ReplicaState::Ready,
            };
            usable.map(as_replica).collect()
        }
    }
}

/// A request that asks for a replica.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Request in the queue.
    pub item: Waiting,
    /// Longest sub-queue of its organisation.
    pub queue_limit: u32,
    /// Profile.
    pub profile: Option<ProfileName>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Replicas on which an earlier attempt failed.
    pub avoid: Vec<ReplicaId>,
}

#[derive(Debug)]
struct Waiter {
    grant: oneshot::Sender<Result<Grant, Refusal>>,
    profile: Option<ProfileName>,
    prefix: Option<u64>,
    avoid: Vec<ReplicaId>,
}

#[derive(Debug, Default)]
struct State {
    queue: FairQueue,
    waiters: HashMap<RequestId, Waiter>,
    slots: SlotRegistry,
    replicas: Vec<ReplicaAddress>,
    service_time: ServiceTime,
    ready_at: Option<Millis>,
    /// Replicas that could not be reached, with the time until which others are preferred.
    suspects: HashMap<ReplicaId, Millis>,
}

impl State {
    fn has_free_slot(&self) -> bool {
        let mut replicas = self.replicas.iter();
        replicas.any(|it| self.slots.in_flight(&it.replica) < it.slots)
    }

    fn total_slots(&self) -> u64 {
        self.replicas.iter().map(|it| u64::from(it.slots)).sum()
    }
}

/// A model or route with its waiting and running requests.
#[derive(Debug)]
pub struct Target {
    /// What it is.
    pub key: TargetKey,
    zone: Zone,
    clock: Arc<dyn Clock>,
    demand_signal: Arc<Notify>,
    state: Mutex<State>,
}

/// A slot of a replica, given back when dropped.
#[derive(Debug)]
pub struct Grant {
    /// The replica.
    pub replica: ReplicaAddress,
    target: Arc<Target>,
    request: RequestId,
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.target.release(&self.request);
    }
}

/// Takes a waiting request out of its queue when the caller stops waiting.
struct WaitGuard<'a> {
    target: &'a Arc<Target>,
    request: &'a RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.target.state.lock();
        state.queue.cancel(self.request);
        let waiter = state.waiters.remove(self.request);
        drop(state);
        drop(waiter);
    }
}

impl Target {
    /// Takes a slot of a replica, waiting for one until the request's deadline.
    ///
    /// # Errors
    ///
    /// Refuses, not run, when the queue is full, the deadline cannot be met or it passes.
    pub async fn acquire(self: &Arc<Self>, claimant: SlotRequest) -> Result<Grant, Refusal> {
        let request = claimant.item.request.clone();
        let deadline = claimant.item.deadline;
        let granted = match self.grant_or_queue(claimant)? {
            Assigned::Now(grant) => return Ok(grant),
            Assigned::Later(granted) => granted,
        };
        let guard = WaitGuard {
            target: self,
            request: &request,
        };
        let left = Duration::from_millis(deadline.since(self.clock.now()));
        let result = match tokio::time::timeout(left, granted).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Code::DeadlineExceeded).retry_after_ms(1000)),
        };
        drop(guard);
        result
    }

    fn grant_or_queue(self: &Arc<Self>, claimant: SlotRequest) -> Result<Assigned, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.queue.is_empty()
            && let Some(grant) = self.assign(&mut state, &claimant.item.request, claimant.prefix, &claimant.avoid)
        {
            return Ok(Assigned::Now(grant));
        }
        if self.key.service == Service::Plain {
            return Err(Refusal::not_run(Code::NoCapacity).retry_after_ms(1000));
        }
        Self::refuse_early(&state, &claimant.item, now)?;
        let request = claimant.item.request.clone();
        state
            .queue
            .push(claimant.item, claimant.queue_limit)
            .map_err(|error| queue_refusal(error, claimant.queue_limit))?;
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            grant: tx,
            profile: claimant.profile,
            prefix: claimant.prefix,
            avoid: claimant.avoid,
        };
        state.waiters.insert(request, waiter);
        let cold = state.replicas.is_empty();
        drop(state);
        if cold {
            self.demand_signal.notify_one();
        }
        Ok(Assigned::Later(rx))
    }

    fn refuse_early(state: &State, item: &Waiting, now: Millis) -> Result<(), Refusal> {
        let cold = state.replicas.is_empty();
        let ahead = state.queue.tokens_ahead(&item.organisation, item.weight, item.priority);
        let queue_ms = state.service_time.wait_ms(ahead, state.total_slots());
        let estimate = WaitEstimate {
            ready_in_ms: state.ready_at.filter(|_| cold).map(|at| at.since(now)),
            queue_ms: queue_ms.filter(|_| !cold),
        };
        if estimate.misses(now, item.deadline) {
            let wait = estimate.ready_in_ms.or(estimate.queue_ms).unwrap_or(0);
            return Err(Refusal::not_run(Code::DeadlineUnreachable).retry_after_ms(wait));
        }
        Ok(())
    }

    fn assign(
        self: &Arc<Self>,
        state: &mut State,
        request: &RequestId,
        prefix: Option<u64>,
        avoid: &[ReplicaId],
    ) -> Option<Grant> {
        let now = self.clock.now();
        state.suspects.retain(|_, until| *until > now);
        let mut all_avoided = Vec::new();
        if !state.suspects.is_empty() {
            all_avoided.extend(state.suspects.keys().chain(avoid).cloned());
        }
        let preference = Preference {
            zone: &self.zone,
            prefix,
            avoid: if all_avoided.is_empty() { avoid } else { &all_avoided },
        };
        let replica = choose(&state.replicas, &state.slots, preference)?.clone();
        let acquired = state.slots.acquire(request, &replica.replica, replica.slots);
        acquired.then(|| Grant {
            replica,
            target: Arc::clone(self),
            request: request.clone(),
        })
    }

    fn release(self: &Arc<Self>, request: &RequestId) {
        let mut state = self.state.lock();
        if state.slots.release(request) && !state.queue.is_empty() {
            self.hand_out(state);
        }
    }

    /// Gives free slots to waiting requests. The lock is released before grants are sent, because a grant that nobody
    /// takes is dropped and releases its slot.
    fn hand_out(self: &Arc<Self>, mut state: parking_lot::MutexGuard<'_, State>) {
        let now = self.clock.now();
        let mut results = Vec::new();
        for item in state.queue.expire(now) {
            if let Some(waiter) = state.waiters.remove(&item.request) {
                results.push((waiter.grant, Err(Refusal::not_run(Code::DeadlineExceeded))));
            }
        }
        while !state.queue.is_empty() && state.has_free_slot() {
            let Some(item) = state.queue.pop() else { break };
            let Some(waiter) = state.waiters.remove(&item.request) else {
                continue;
            };
            let grant = self.assign(&mut state, &item.request, waiter.prefix, &waiter.avoid);
            results.push((waiter.grant, grant.ok_or_else(|| Refusal::not_run(Code::NoCapacity))));
        }
        drop(state);
        for (tx, result) in results {
            drop(tx.send(result));
        }
    }

    /// Takes in a new list of usable replicas and wakes waiting requests.
    pub fn update(self: &Arc<Self>, replicas: Vec<ReplicaAddress>) {
        let mut state = self.state.lock();
        if state.replicas == replicas {
            return;
        }
        state.replicas = replicas;
        if !state.replicas.is_empty() {
            state.ready_at = None;
        }
        self.hand_out(state);
    }

    /// Prefers other replicas for a while. A replica that cannot be reached has nothing in flight and would otherwise
    /// be chosen first.
    pub fn suspect(&self, replica: &ReplicaId) {
        let until = self.clock.now() + SUSPECT_MS;
        self.state.lock().suspects.insert(replica.clone(), until);
    }

    /// Whether there is a replica besides the given ones.
    pub fn has_other(&self, tried: &[ReplicaId]) -> bool {
        let state = self.state.lock();
        state.replicas.iter().any(|it| !tried.contains(&it.replica))
    }

    /// Takes in how long a finished request kept its slot.
    pub fn observe(&self, tokens: u64, duration_ms: u64) {
        self.state.lock().service_time.observe(tokens, duration_ms);
    }

    /// Takes in the controller's estimate for a model without a ready replica.
    pub fn expect_ready(&self, ready_in_ms: Option<u64>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.ready_at = ready_in_ms.filter(|_| state.replicas.is_empty()).map(|ms| now + ms);
    }

    /// Whether a replica takes requests now.
    pub fn is_ready(&self) -> bool {
        !self.state.lock().replicas.is_empty()
    }

    /// Numbers of waiting and running requests and of free slots.
    pub fn load(&self) -> Load {
        let state = self.state.lock();
        let running = state.slots.total() as u64;
        Load {
            waiting: state.queue.len() as u64,
            running,
            free_slots: state.total_slots().saturating_sub(running),
            replicas: state.replicas.len() as u64,
        }
    }

    /// Expected wait of a new request, for explanations.
    pub fn expected_wait_ms(&self, organisation: &OrganisationName, weight: u32, priority: u8) -> Option<u64> {
        let now = self.clock.now();
        let state = self.state.lock();
        if state.replicas.is_empty() {
            return state.ready_at.map(|at| at.since(now));
        }
        if state.queue.is_empty() && state.has_free_slot() {
            return Some(0);
        }
        let ahead = state.queue.tokens_ahead(organisation, weight, priority);
        state.service_time.wait_ms(ahead, state.total_slots())
    }

    /// Demand to report, or `None` for plain services. `urgency` orders profiles: the profile with the
    /// smallest value among the waiting requests is reported.
    pub fn demand(&self, fallback: &ProfileName, urgency: impl Fn(&ProfileName) -> u64) -> Option<Demand> {
        let Service::Model(model, adapter) = &self.key.service else {
            return None;
        };
        let now = self.clock.now();
        let state = self.state.lock();
        let running = state.slots.total() as u32;
        let profiles = state.waiters.values().filter_map(|it| it.profile.as_ref());
        let profile = profiles.min_by_key(|it| urgency(it)).unwrap_or(fallback).clone();
        let organisations = state.queue.by_organisation();
        Some(Demand {
            model: model.clone(),
            adapter: adapter.clone(),
            profile,
            waiting: state.queue.len() as u32,
            running,
            oldest_wait_ms: state.queue.oldest().map_or(0, |since| now.since(since)),
            organisations: organisations
                .map(|(name, waiting, tokens)| OrganisationDemand {
                    organisation: name.clone(),
                    waiting: waiting as u32,
                    tokens,
                })
                .collect(),
        })
    }
}

enum Assigned {
    Now(Grant),
    Later(oneshot::Receiver<Result<Grant, Refusal>>),
}

/// Numbers of a target's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Waiting requests.
    pub waiting: u64,
    /// Running requests.
    pub running: u64,
    /// Slots without a request.
    pub free_slots: u64,
    /// Replicas that take requests.
    pub replicas: u64,
}

fn queue_refusal(error: QueueError, limit: u32) -> Refusal {
    match error {
        QueueError::Full(_) => Refusal::not_run(Code::QueueFull)
            .limit(u64::from(limit), 0)
            .retry_after_ms(1000),
        QueueError::Duplicate => Refusal::not_run(Code::Internal),
    }
}

/// All targets that have had requests.
#[derive(Debug)]
pub struct Targets {
    zone: Zone,
    clock: Arc<dyn Clock>,
    /// Wakes the demand reporter when a request begins to wait for a cold model.
    pub demand_signal: Arc<Notify>,
    by_key: RwLock<HashMap<TargetKey, Arc<Target>>>,
}

impl Targets {
    /// Creates an empty set for a router in `zone`.
    pub fn new(zone: Zone, clock: Arc<dyn Clock>) -> Self {
        Self {
            zone,
            clock,
            demand_signal: Arc::default(),
            by_key: RwLock::default(),
        }
    }

    /// Target of a key; created on first use. `current` reads the newest snapshot while the set is locked, so that a
    /// new target cannot miss an update.
    pub fn get(&self, key: &TargetKey, current: impl FnOnce() -> Arc<Snapshot>) -> Arc<Target> {
        if let Some(target) = self.by_key.read().get(key) {
            return Arc::clone(target);
        }
        let mut by_key = self.by_key.write();
        let target = by_key.entry(key.clone()).or_insert_with(|| {
            let state = State {
                replicas: usable_replicas(&current(), key),
                ..State::default()
            };
            Arc::new(Target {
                key: key.clone(),
                zone: self.zone.clone(),
                clock: Arc::clone(&self.clock),
                demand_signal: Arc::clone(&self.demand_signal),
                state: Mutex::new(state),
            })
        });
        Arc::clone(target)
    }

    /// Targets known now.
    pub fn all(&self) -> Vec<Arc<Target>> {
        self.by_key.read().values().map(Arc::clone).collect()
    }

    /// Passes a new snapshot to all targets.
    pub fn update(&self, snapshot: &Snapshot) {
        for target in self.all() {
            let replicas = usable_replicas(snapshot, &target.key);
            target.update(replicas);
        }
    }
}
