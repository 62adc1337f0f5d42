//! Request queue of a router for one model or adapter, including the choice of a replica.

use std::collections::HashMap;

use guava_core::ids::{AdapterName, ModelName, OrganisationName, ProfileName, RequestId, Zone};
use guava_core::placement::{Demand, OrganisationDemand, ReplicaAddress};
use guava_core::queue::{FairQueue, ServiceTime, WaitEstimate, Waiting};
use guava_core::routing::{Preference, SlotRegistry, choose};
use guava_core::units::Millis;

/// Result of passing a request to a queue.
#[derive(Debug, Clone, PartialEq)]
pub enum AcquireResult {
    /// A slot of this replica was acquired; the request is to be sent there.
    Sent(ReplicaAddress),
    /// The request waits for a slot.
    Queued,
    /// The request would miss its deadline or the queue is full.
    Refused,
}

/// Waiting and running requests of one router for one model or adapter.
#[derive(Debug)]
pub struct Queue {
    model: ModelName,
    adapter: Option<AdapterName>,
    zone: Zone,
    replicas: Vec<ReplicaAddress>,
    slots: SlotRegistry,
    waiting: FairQueue,
    /// Profiles of the waiting requests.
    profiles: HashMap<RequestId, ProfileName>,
    service_time: ServiceTime,
    /// Estimated time at which the first replica is ready; unknown when absent.
    ready_at: Option<Millis>,
    /// Time of the last demand report, set by the caller. Absent before the first report and after a report of no
    /// demand.
    pub last_report: Option<Millis>,
}

impl Queue {
    /// Creates an empty queue of a router in the availability zone `zone`.
    pub fn new(model: ModelName, adapter: Option<AdapterName>, zone: Zone) -> Self {
        Self {
            model,
            adapter,
            zone,
            replicas: Vec::new(),
            slots: SlotRegistry::default(),
            waiting: FairQueue::default(),
            profiles: HashMap::new(),
            service_time: ServiceTime::default(),
            ready_at: None,
            last_report: None,
        }
    }

    /// Returns whether no replica is ready.
    pub fn is_cold(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.slots.total()
    }

    /// Returns the number of replica slots that this router does not use.
    pub fn free_slots(&self) -> usize {
        let total_slots: u32 = self.replicas.iter().map(|it| it.slots).sum();
        (total_slots as usize).saturating_sub(self.running())
    }

    /// Acquires a slot for a request, queues the request or refuses it. `limit` is the maximum queue length of its
    /// profile.
    pub fn acquire(&mut self, item: Waiting, profile: &ProfileName, limit: u32) -> AcquireResult {
        if self.waiting.is_empty()
            && let Some(replica) = self.assign(&item.request)
        {
            return AcquireResult::Sent(replica);
        }
        if self.would_miss_deadline(&item) {
            return AcquireResult::Refused;
        }
        let request = item.request.clone();
        if self.waiting.push(item, limit).is_err() {
            return AcquireResult::Refused;
        }
        self.profiles.insert(request, profile.clone());
        AcquireResult::Queued
    }

    fn would_miss_deadline(&self, item: &Waiting) -> bool {
        let now = item.since;
        let tokens_ahead = self
            .waiting
            .tokens_ahead(&item.organisation, item.weight, item.priority);
        let slots = self.replicas.iter().map(|it| u64::from(it.slots)).sum();
        let estimate = WaitEstimate {
            ready_in_ms: self.ready_at.filter(|_| self.is_cold()).map(|at| at.since(now)),
            queue_ms: self
                .service_time
                .wait_ms(tokens_ahead, slots)
                .filter(|_| !self.is_cold()),
        };
        estimate.misses(now, item.deadline)
    }

    fn assign(&mut self, request: &RequestId) -> Option<ReplicaAddress> {
        let preference = Preference {
            zone: &self.zone,
            prefix: None,
            avoid: &[],
        };
        let replica = choose(&self.replicas, &self.slots, preference)?.clone();
        self.slots
            .acquire(request, &replica.replica, replica.slots)
            .then_some(replica)
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<RequestId> {
        let expired = self.waiting.expire(now).into_iter().map(|it| it.request);
        let expired: Vec<RequestId> = expired.collect();
        for request in &expired {
            self.profiles.remove(request);
        }
        expired
    }

    /// Removes the next waiting request and acquires a slot for it. Returns `None` when no request waits or no slot is
    /// free.
    pub fn assign_next(&mut self) -> Option<(RequestId, ReplicaAddress)> {
        if self.waiting.is_empty() || self.free_slots() == 0 {
            return None;
        }
        let item = self.waiting.pop()?;
        self.profiles.remove(&item.request);
        let replica = self.assign(&item.request)?;
        Some((item.request, replica))
    }

    /// Releases the slot of a request. `served` is its number of tokens and its service time in milliseconds, absent
    /// when it did not finish.
    pub fn release(&mut self, request: &RequestId, served: Option<(u64, u64)>) {
        self.slots.release(request);
        if let Some((tokens, ms)) = served {
            self.service_time.observe(tokens, ms);
        }
    }

    /// Replaces the list of ready replicas.
    pub fn set_replicas(&mut self, replicas: Vec<ReplicaAddress>) {
        self.replicas = replicas;
        if !self.replicas.is_empty() {
            self.ready_at = None;
        }
    }

    /// Sets the controller's estimate of the time until a replica is ready, in milliseconds. Ignored while one is
    /// ready.
    pub fn set_ready_estimate(&mut self, now: Millis, ready_in_ms: Option<u64>) {
        self.ready_at = ready_in_ms.filter(|_| self.replicas.is_empty()).map(|ms| now + ms);
    }

    /// Returns the demand to report to the pool's controller. Its profile is that of the waiting request with the
    /// smallest `urgency`, or `fallback` when no request waits.
    pub fn demand(&self, now: Millis, fallback: &ProfileName, urgency: impl Fn(&ProfileName) -> u64) -> Demand {
        let profile = self.profiles.values().min_by_key(|it| (urgency(it), it.as_str()));
        let organisation_demand = |(name, waiting, tokens): (&OrganisationName, usize, u64)| OrganisationDemand {
            organisation: name.clone(),
            waiting: waiting as u32,
            tokens,
        };
        Demand {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            profile: profile.unwrap_or(fallback).clone(),
            waiting: self.waiting() as u32,
            running: self.running() as u32,
            oldest_wait_ms: self.waiting.oldest().map_or(0, |since| now.since(since)),
            organisations: self.waiting.by_organisation().map(organisation_demand).collect(),
        }
    }
}
