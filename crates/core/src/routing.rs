//! Choice of the replica that serves a request, and the slots that requests hold on replicas.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{ReplicaId, RequestId, Zone};
use crate::placement::ReplicaAddress;

/// Length of the prompt prefix that is hashed for affinity, in bytes. System prompts and few-shot examples usually
/// differ within it.
pub const PREFIX_BYTES: usize = 1024;
/// Number of requests by which the load of the replica with the cached prefix may exceed that of the least loaded one.
const AFFINITY_SLACK: u32 = 4;
/// Number of requests by which the load of a replica in the router's availability zone may exceed that of one in another
/// zone.
const ZONE_SLACK: u32 = 1;

/// Affinity of `replica` for a prompt prefix with the hash `prefix`, by rendezvous hashing. The replica with the
/// largest score is preferred.
pub fn affinity_score(prefix: u64, replica: &str) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), prefix)
}

/// Hash of the first [`PREFIX_BYTES`] of a prompt, for [`Preference::prefix`].
pub fn prefix_hash(prompt: &[u8]) -> u64 {
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}

/// Slots that requests hold on replicas, at most one per request.
#[derive(Debug, Default)]
pub struct SlotRegistry {
    held: HashMap<RequestId, ReplicaId>,
    in_flight: HashMap<ReplicaId, u32>,
}

impl SlotRegistry {
    /// Acquires a slot of `replica` for the request; returns whether it succeeded.
    ///
    /// Fails when `limit` or more slots of the replica are held, or the request already holds one on any replica.
    pub fn acquire(&mut self, request: &RequestId, replica: &ReplicaId, limit: u32) -> bool {
        if self.in_flight(replica) >= limit || self.held.contains_key(request) {
            return false;
        }
        self.held.insert(request.clone(), replica.clone());
        *self.in_flight.entry(replica.clone()).or_default() += 1;
        true
    }

    /// Releases the slot of a request; returns whether it held one. A repeated release has no effect.
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

    /// Number of slots held on a replica.
    pub fn in_flight(&self, replica: &ReplicaId) -> u32 {
        self.in_flight.get(replica).copied().unwrap_or(0)
    }

    /// Number of slots held on all replicas.
    pub fn total(&self) -> usize {
        self.held.len()
    }
}

/// Properties of a request that affect the choice of its replica.
#[derive(Debug, Clone, Copy)]
pub struct Preference<'a> {
    /// Availability zone of the router, whose replicas are preferred.
    pub zone: &'a Zone,
    /// Hash of the prompt's prefix; `None` when the request does not benefit from a prefix cache.
    pub prefix: Option<u64>,
    /// Replicas on which an earlier attempt failed; chosen only when no other replica has a free slot.
    pub avoid: &'a [ReplicaId],
}

/// Chooses a replica with a free slot; `None` when all are full.
///
/// Prefers the replica that the prompt's prefix hashes to, unless it is much busier than the least loaded one. Does not
/// acquire the slot.
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
        let is_other_zone = it.zone != *preference.zone;
        (load(it) + u32::from(is_other_zone) * ZONE_SLACK, is_other_zone)
    };
    let with_free_slot = replicas.filter(|it| load(it) < it.slots);
    let least_loaded = with_free_slot.clone().min_by_key(|it| cost(it))?;
    let Some(prefix) = preference.prefix else {
        return Some(least_loaded);
    };
    let cached = with_free_slot.max_by_key(|it| affinity_score(prefix, it.replica.as_str()))?;
    let is_within_slack = load(cached) <= load(least_loaded) + AFFINITY_SLACK;
    Some(if is_within_slack { cached } else { least_loaded })
}
