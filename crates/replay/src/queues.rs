//! Waiting requests of one router for one model or adapter, with the router's choice of a replica.

use std::collections::HashMap;

use guava_core::ids::{AdapterName, ModelName, OrganisationName, ProfileName, RequestId, Zone};
use guava_core::placement::{Demand, OrganisationDemand, ReplicaAddress};
use guava_core::queue::{FairQueue, ServiceTime, WaitEstimate, Waiting};
use guava_core::routing::{Preference, SlotRegistry, choose};
use guava_core::units::Millis;

/// Answer of a queue to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It is sent now.
    Sent(ReplicaAddress),
    /// It waits.
    Queued,
    /// It is refused.
    Refused,
}

/// Queue of one router for one model or adapter.
#[derive(Debug)]
pub struct Queue {
    model: ModelName,
    adapter: Option<AdapterName>,
    zone: Zone,
    replicas: Vec<ReplicaAddress>,
    slots: SlotRegistry,
    waiting: FairQueue,
    profiles: HashMap<RequestId, ProfileName>,
    service_time: ServiceTime,
    ready_at: Option<Millis>,
    /// Time of the last demand report.
    pub reported: Option<Millis>,
}

impl Queue {
    /// An empty queue of a router in `zone`.
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
            reported: None,
        }
    }

    /// Whether no replica takes requests.
    pub fn is_cold(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.slots.total()
    }

    /// Slots not in use.
    pub fn free_slots(&self) -> usize {
        let all: u32 = self.replicas.iter().map(|it| it.slots).sum();
        (all as usize).saturating_sub(self.running())
    }

    /// Takes a request.
    pub fn acquire(&mut self, item: Waiting, profile: &ProfileName, limit: u32) -> Answer {
        if self.waiting.is_empty()
            && let Some(replica) = self.assign(&item.request)
        {
            return Answer::Sent(replica);
        }
        if self.misses(&item) {
            return Answer::Refused;
        }
        let request = item.request.clone();
        if self.waiting.push(item, limit).is_err() {
            return Answer::Refused;
        }
        self.profiles.insert(request, profile.clone());
        Answer::Queued
    }

    fn misses(&self, item: &Waiting) -> bool {
        let now = item.since;
        let ahead = self
            .waiting
            .tokens_ahead(&item.organisation, item.weight, item.priority);
        let slots = self.replicas.iter().map(|it| u64::from(it.slots)).sum();
        let estimate = WaitEstimate {
            ready_in_ms: self.ready_at.filter(|_| self.is_cold()).map(|at| at.since(now)),
            queue_ms: self.service_time.wait_ms(ahead, slots).filter(|_| !self.is_cold()),
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

    /// Removes the requests whose deadline has come.
    pub fn expire(&mut self, now: Millis) -> Vec<RequestId> {
        let expired = self.waiting.expire(now).into_iter().map(|it| it.request);
        let expired: Vec<RequestId> = expired.collect();
        for request in &expired {
            self.profiles.remove(request);
        }
        expired
    }

    /// Next waiting request for which a slot is free.
    pub fn take_next(&mut self) -> Option<(RequestId, ReplicaAddress)> {
        if self.waiting.is_empty() || self.free_slots() == 0 {
            return None;
        }
        let item = self.waiting.pop()?;
        self.profiles.remove(&item.request);
        let replica = self.assign(&item.request)?;
        Some((item.request, replica))
    }

    /// Ends a request.
    pub fn release(&mut self, request: &RequestId, served: Option<(u64, u64)>) {
        self.slots.release(request);
        if let Some((tokens, ms)) = served {
            self.service_time.observe(tokens, ms);
        }
    }

    /// Takes a new list of replicas.
    pub fn update(&mut self, replicas: Vec<ReplicaAddress>) {
        self.replicas = replicas;
        if !self.replicas.is_empty() {
            self.ready_at = None;
        }
    }

    /// Takes the estimate of the pool's controller.
    pub fn expect_ready(&mut self, now: Millis, ready_in_ms: Option<u64>) {
        self.ready_at = ready_in_ms.filter(|_| self.replicas.is_empty()).map(|ms| now + ms);
    }

    /// Demand to report.
    pub fn demand(&self, now: Millis, fallback: &ProfileName, urgency: impl Fn(&ProfileName) -> u64) -> Demand {
        let profile = self.profiles.values().min_by_key(|it| (urgency(it), it.as_str()));
        let organisation = |(name, waiting, tokens): (&OrganisationName, usize, u64)| OrganisationDemand {
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
            organisations: self.waiting.by_organisation().map(organisation).collect(),
        }
    }
}
