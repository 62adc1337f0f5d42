//! Choice of a replica and the slots that requests hold on replicas.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{ReplicaId, RequestId, Zone};
use crate::placement::ReplicaAddress;

/// Bytes of a prompt that decide its affinity: system prompts and few-shot examples usually differ within them.
pub const PREFIX_BYTES: usize = 1024;
/// Requests by which the replica with the cached prefix may exceed the least loaded one.
const AFFINITY_SLACK: u32 = 4;
/// Requests by which a replica in the own availability zone may exceed one elsewhere.
const ZONE_SLACK: u32 = 1;

/// Score of `member` for `key`; the member with the largest score is responsible for the key.
pub fn rendezvous_score(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}

/// Hash of the part of a prompt that decides its affinity.
pub fn prefix_hash(prompt: &[u8]) -> u64 {
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}

/// Slots held on replicas by request. Repeated releases change nothing.
#[derive(Debug, Default)]
pub struct SlotRegistry {
    held: HashMap<RequestId, ReplicaId>,
    in_flight: HashMap<ReplicaId, u32>,
}

impl SlotRegistry {
    /// Takes a slot of `replica` when fewer than `limit` are held and the request holds none.
    pub fn acquire(&mut self, request: &RequestId, replica: &ReplicaId, limit: u32) -> bool {
        if self.in_flight(replica) >= limit || self.held.contains_key(request) {
            return false;
        }
        self.held.insert(request.clone(), replica.clone());
        *self.in_flight.entry(replica.clone()).or_default() += 1;
        true
    }

    /// Gives back the slot of a request; returns whether it held one.
    pub fn release(&mut self, request: &RequestId) -> bool {
        let Some(replica) = self.held.remove(request) else {
            return false;
        };
        if let Some(count) = self.in_flight.get_mut(&replica) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&replica);
            }
        }
        true
    }

    /// Slots held on a replica.
    pub fn in_flight(&self, replica: &ReplicaId) -> u32 {
        self.in_flight.get(replica).copied().unwrap_or(0)
    }

    /// Slots held on all replicas.
    pub fn total(&self) -> usize {
        self.held.len()
    }
}

/// What matters about a request for the choice of its replica.
#[derive(Debug, Clone, Copy)]
pub struct Preference<'a> {
    /// Availability zone of the router.
    pub zone: &'a Zone,
    /// Hash of the prompt's prefix, when the answer profits from a prefix cache.
    pub prefix: Option<u64>,
    /// Replicas on which an earlier attempt failed; used only when no other has a free slot.
    pub avoid: &'a [ReplicaId],
}

/// Chooses among the replicas with a free slot; `None` when all are full.
pub fn choose<'a>(
    replicas: &'a [ReplicaAddress],
    slots: &SlotRegistry,
    preference: Preference<'_>,
) -> Option<&'a ReplicaAddress> {
    let untried = |it: &&ReplicaAddress| !preference.avoid.contains(&it.replica);
    if preference.avoid.is_empty() {
        return choose_among(replicas.iter(), slots, preference);
    }
    choose_among(replicas.iter().filter(untried), slots, preference)
        .or_else(|| choose_among(replicas.iter(), slots, preference))
}

fn choose_among<'a>(
    replicas: impl Iterator<Item = &'a ReplicaAddress> + Clone,
    slots: &SlotRegistry,
    preference: Preference<'_>,
) -> Option<&'a ReplicaAddress> {
    let load = |it: &ReplicaAddress| slots.in_flight(&it.replica);
    let cost = |it: &ReplicaAddress| {
        let elsewhere = it.zone != *preference.zone;
        (load(it) + u32::from(elsewhere) * ZONE_SLACK, elsewhere)
    };
    let free = replicas.filter(|it| load(it) < it.slots);
    let least = free.clone().min_by_key(|it| cost(it))?;
    let Some(prefix) = preference.prefix else {
        return Some(least);
    };
    let cached = free.max_by_key(|it| rendezvous_score(prefix, it.replica.as_str()))?;
    let is_close = load(cached) <= load(least) + AFFINITY_SLACK;
    Some(if is_close { cached } else { least })
}
