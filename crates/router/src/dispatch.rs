//! Queues and slots of the targets to which requests are dispatched: models, adapters and pools of plain services.
//!
//! A request acquires a slot of a replica or waits in the target's fair queue; a released slot goes to the next waiting
//! request. Each target has one lock, which is held for short, synchronous steps only.

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

/// Time in milliseconds for which a replica is avoided after a failure to connect, while another has a free slot.
const UNREACHABLE_MS: u64 = 1_000;

/// Identifies a target: the pool and the service in it to which a request is routed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetKey {
    /// Pool whose backend servers run the request.
    pub pool: PoolName,
    /// Model, adapter or plain service that the request asks for.
    pub service: Service,
}

/// Kind of service that a request asks a pool for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Service {
    /// A model, or the given adapter of it.
    Model(ModelName, Option<AdapterName>),
    /// A service without a model: any backend server of the pool can answer its requests.
    Plain,
}

impl TargetKey {
    /// Name of the target in events, metrics and placements: that of the adapter, else of the model, else of the pool.
    pub fn name(&self) -> &str {
        match &self.service {
            Service::Model(_, Some(adapter)) => adapter.as_str(),
            Service::Model(model, None) => model.as_str(),
            Service::Plain => self.pool.as_str(),
        }
    }
}

/// Replicas that accept new requests for a target according to `snapshot`: ready replicas of a model, or the backend
/// servers of a plain service, which have no limit on slots.
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

/// A request for a slot of a replica.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Entry for the fair queue, which also gives the request's identifier and deadline.
    pub item: Waiting,
    /// Largest number of requests of the organisation that may wait for the target.
    pub queue_limit: u32,
    /// Profile, for the demand report; `None` for plain services.
    pub profile: Option<ProfileName>,
    /// Hash of the prompt's prefix, for cache affinity; `None` for no affinity.
    pub prefix: Option<u64>,
    /// Replicas on which an earlier attempt failed; used only if no other has a free slot.
    pub avoid: Vec<ReplicaId>,
}

#[derive(Debug)]
struct Waiter {
    result_tx: oneshot::Sender<Result<SlotGuard, Refusal>>,
    profile: Option<ProfileName>,
    prefix: Option<u64>,
    avoid: Vec<ReplicaId>,
}

#[derive(Debug, Default)]
struct State {
    queue: FairQueue,
    /// Requests in `queue`, with what is needed to assign a slot to them.
    waiters: HashMap<RequestId, Waiter>,
    slots: SlotRegistry,
    replicas: Vec<ReplicaAddress>,
    service_time: ServiceTime,
    /// Time at which the controller expects the first replica to be ready; `None` if there is a usable replica or no
    /// estimate.
    expected_ready_at: Option<Millis>,
    /// Replicas to which connecting failed, with the time until which others are preferred.
    unreachable: HashMap<ReplicaId, Millis>,
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

/// A model, adapter or pool of plain services, with its waiting and running requests.
#[derive(Debug)]
pub struct Target {
    /// Pool and service.
    pub key: TargetKey,
    zone: Zone,
    clock: Arc<dyn Clock>,
    demand_signal: Arc<Notify>,
    state: Mutex<State>,
}

/// A slot of a replica; released when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    /// Replica to which the request is to be sent.
    pub replica: ReplicaAddress,
    target: Arc<Target>,
    request: RequestId,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.target.release(&self.request);
    }
}

/// Removes a request from the queue when dropped, whether it was assigned a slot or stopped waiting.
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
    /// Acquires a slot of a replica; requests for a model wait for one until their deadline.
    ///
    /// # Errors
    ///
    /// Fails with a refusal marked as not run if the queue is full, the deadline passes or cannot be met, or a plain
    /// service has no usable backend server.
    pub async fn acquire(self: &Arc<Self>, slot_request: SlotRequest) -> Result<SlotGuard, Refusal> {
        let request = slot_request.item.request.clone();
        let deadline = slot_request.item.deadline;
        let result_rx = match self.acquire_or_enqueue(slot_request)? {
            Acquisition::Acquired(slot) => return Ok(slot),
            Acquisition::Queued(result_rx) => result_rx,
        };
        let guard = WaitGuard {
            target: self,
            request: &request,
        };
        let time_left = Duration::from_millis(deadline.since(self.clock.now()));
        let result = match tokio::time::timeout(time_left, result_rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Code::DeadlineExceeded).retry_after_ms(1000)),
        };
        drop(guard);
        result
    }

    fn acquire_or_enqueue(self: &Arc<Self>, slot_request: SlotRequest) -> Result<Acquisition, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.queue.is_empty()
            && let Some(slot) = self.assign(
                &mut state,
                &slot_request.item.request,
                slot_request.prefix,
                &slot_request.avoid,
            )
        {
            return Ok(Acquisition::Acquired(slot));
        }
        if self.key.service == Service::Plain {
            return Err(Refusal::not_run(Code::NoCapacity).retry_after_ms(1000));
        }
        Self::check_deadline_reachable(&state, &slot_request.item, now)?;
        let request = slot_request.item.request.clone();
        state
            .queue
            .push(slot_request.item, slot_request.queue_limit)
            .map_err(|error| queue_refusal(error, slot_request.queue_limit))?;
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            result_tx: tx,
            profile: slot_request.profile,
            prefix: slot_request.prefix,
            avoid: slot_request.avoid,
        };
        state.waiters.insert(request, waiter);
        let cold = state.replicas.is_empty();
        drop(state);
        if cold {
            self.demand_signal.notify_one();
        }
        Ok(Acquisition::Queued(rx))
    }

    /// Refuses a request that is not expected to get a slot before its deadline.
    fn check_deadline_reachable(state: &State, item: &Waiting, now: Millis) -> Result<(), Refusal> {
        let cold = state.replicas.is_empty();
        let ahead = state.queue.tokens_ahead(&item.organisation, item.weight, item.priority);
        let queue_ms = state.service_time.wait_ms(ahead, state.total_slots());
        let estimate = WaitEstimate {
            ready_in_ms: state.expected_ready_at.filter(|_| cold).map(|at| at.since(now)),
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
    ) -> Option<SlotGuard> {
        let now = self.clock.now();
        state.unreachable.retain(|_, until| *until > now);
        let mut all_avoided = Vec::new();
        if !state.unreachable.is_empty() {
            all_avoided.extend(state.unreachable.keys().chain(avoid).cloned());
        }
        let preference = Preference {
            zone: &self.zone,
            prefix,
            avoid: if all_avoided.is_empty() { avoid } else { &all_avoided },
        };
        let replica = choose(&state.replicas, &state.slots, preference)?.clone();
        let acquired = state.slots.acquire(request, &replica.replica, replica.slots);
        acquired.then(|| SlotGuard {
            replica,
            target: Arc::clone(self),
            request: request.clone(),
        })
    }

    fn release(self: &Arc<Self>, request: &RequestId) {
        let mut state = self.state.lock();
        if state.slots.release(request) && !state.queue.is_empty() {
            self.assign_free_slots(state);
        }
    }

    /// Assigns free slots to waiting requests and refuses those past their deadline. The lock is released before the
    /// results are sent, because a slot whose request has stopped waiting is dropped, which takes the lock to release
    /// it.
    fn assign_free_slots(self: &Arc<Self>, mut state: parking_lot::MutexGuard<'_, State>) {
        let now = self.clock.now();
        let mut results = Vec::new();
        for item in state.queue.expire(now) {
            if let Some(waiter) = state.waiters.remove(&item.request) {
                results.push((waiter.result_tx, Err(Refusal::not_run(Code::DeadlineExceeded))));
            }
        }
        while !state.queue.is_empty() && state.has_free_slot() {
            let Some(item) = state.queue.pop() else { break };
            let Some(waiter) = state.waiters.remove(&item.request) else {
                continue;
            };
            let slot = self.assign(&mut state, &item.request, waiter.prefix, &waiter.avoid);
            results.push((waiter.result_tx, slot.ok_or_else(|| Refusal::not_run(Code::NoCapacity))));
        }
        drop(state);
        for (tx, result) in results {
            drop(tx.send(result));
        }
    }

    /// Replaces the list of usable replicas and assigns their free slots to waiting requests.
    pub fn update(self: &Arc<Self>, replicas: Vec<ReplicaAddress>) {
        let mut state = self.state.lock();
        if state.replicas == replicas {
            return;
        }
        state.replicas = replicas;
        if !state.replicas.is_empty() {
            state.expected_ready_at = None;
        }
        self.assign_free_slots(state);
    }

    /// Marks a replica as unreachable, so that others are preferred for a second. It has no requests in flight and
    /// would otherwise be chosen first.
    pub fn mark_unreachable(&self, replica: &ReplicaId) {
        let until = self.clock.now() + UNREACHABLE_MS;
        self.state.lock().unreachable.insert(replica.clone(), until);
    }

    /// Whether there is a usable replica that is not in `tried`.
    pub fn has_untried_replica(&self, tried: &[ReplicaId]) -> bool {
        let state = self.state.lock();
        state.replicas.iter().any(|it| !tried.contains(&it.replica))
    }

    /// Updates the estimate of service times with a finished request: the tokens reserved for it and the time from its
    /// sending to the end of its answer.
    pub fn record_service_time(&self, tokens: u64, duration_ms: u64) {
        self.state.lock().service_time.observe(tokens, duration_ms);
    }

    /// Sets the controller's estimate of the time until the first replica is ready; `None` if it has none. Ignored
    /// while there is a usable replica.
    pub fn expect_ready(&self, ready_in_ms: Option<u64>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.expected_ready_at = ready_in_ms.filter(|_| state.replicas.is_empty()).map(|ms| now + ms);
    }

    /// Whether there is a usable replica.
    pub fn is_ready(&self) -> bool {
        !self.state.lock().replicas.is_empty()
    }

    /// Counts waiting and running requests, free slots and replicas.
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

    /// Expected wait of a new request in milliseconds, for explanations; `None` without an estimate.
    pub fn expected_wait_ms(&self, organisation: &OrganisationName, weight: u32, priority: u8) -> Option<u64> {
        let now = self.clock.now();
        let state = self.state.lock();
        if state.replicas.is_empty() {
            return state.expected_ready_at.map(|at| at.since(now));
        }
        if state.queue.is_empty() && state.has_free_slot() {
            return Some(0);
        }
        let ahead = state.queue.tokens_ahead(organisation, weight, priority);
        state.service_time.wait_ms(ahead, state.total_slots())
    }

    /// Demand to report to the controller; `None` for plain services.
    ///
    /// The reported profile is the one among the waiting requests for which `urgency` is smallest, or `fallback` if no
    /// request is waiting.
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

enum Acquisition {
    Acquired(SlotGuard),
    Queued(oneshot::Receiver<Result<SlotGuard, Refusal>>),
}

/// Counts of a target's requests, slots and replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in the queue.
    pub waiting: u64,
    /// Requests that hold a slot.
    pub running: u64,
    /// Unused slots of all usable replicas.
    pub free_slots: u64,
    /// Usable replicas.
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

/// Targets of this router. A target is created by its first request and never removed.
#[derive(Debug)]
pub struct Targets {
    zone: Zone,
    clock: Arc<dyn Clock>,
    /// Wakes the demand reporter when a request starts to wait for a model without a usable replica.
    pub demand_signal: Arc<Notify>,
    by_key: RwLock<HashMap<TargetKey, Arc<Target>>>,
}

impl Targets {
    /// Creates an empty set for a router in the availability zone `zone`; replicas there are preferred.
    pub fn new(zone: Zone, clock: Arc<dyn Clock>) -> Self {
        Self {
            zone,
            clock,
            demand_signal: Arc::default(),
            by_key: RwLock::default(),
        }
    }

    /// Returns the target of a key, creating it on first use. `current` is called to read the newest snapshot while the
    /// set is locked, so that a new target cannot miss an update.
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

    /// Targets created so far, in no particular order.
    pub fn all(&self) -> Vec<Arc<Target>> {
        self.by_key.read().values().map(Arc::clone).collect()
    }

    /// Updates the usable replicas of all targets from a new snapshot.
    pub fn update(&self, snapshot: &Snapshot) {
        for target in self.all() {
            let replicas = usable_replicas(snapshot, &target.key);
            target.update(replicas);
        }
    }
}
