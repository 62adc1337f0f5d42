//! Publishes the placements and leaving notices that result from a plan as gossip entries.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{PoolName, ServerName};
use guava_core::placement::{Placement, ReplicaAddress};
use guava_core::plan::Plan;
use guava_core::snapshot::Snapshot;
use guava_node::GossipState;

/// Value of leaving notices that controllers publish. Notices of other processes have another value.
const CONTROLLER_LEAVING_NOTICE: &[u8] = br#"{"by":"controller"}"#;

/// Returns the placements of a plan by model or adapter name, as callers write it. Replicas on servers that are no
/// longer configured are left out.
pub fn placements(plan: &Plan, config: &Snapshot) -> BTreeMap<String, Placement> {
    let mut placements: BTreeMap<String, Placement> = BTreeMap::new();
    for (id, replica) in &plan.replicas {
        let Some(server) = config.servers.get(&replica.server) else {
            continue;
        };
        let placement = placements
            .entry(replica.name().to_owned())
            .or_insert_with(|| Placement {
                pool: plan.pool.clone(),
                model: replica.model.clone(),
                adapter: replica.adapter.clone(),
                replicas: Vec::new(),
            });
        placement.replicas.push(ReplicaAddress {
            replica: id.clone(),
            server: replica.server.clone(),
            addr: server.addr,
            zone: server.zone.clone(),
            slots: config.models.get(&replica.model).map_or(1, |it| it.slots),
            state: replica.state,
        });
    }
    placements
}

/// Publishes placements in one term.
///
/// An entry's version consists of the term and the plan's sequence number. All placements are published again after a
/// take-over: an entry that the previous holder publishes late could otherwise replace an older entry that is still
/// valid. A placement that changes without a change of the plan (such as a new server address) requires a plan write of
/// its own, so that two values never have the same version.
#[derive(Debug, Default)]
pub struct Publisher {
    /// Published value and plan sequence number by name.
    published: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Publisher {
    /// Starts a term. Every name that is in the gossip entries or in the plan is published with the first plan of the
    /// term.
    pub fn for_term(plan: &Plan, gossip: &dyn GossipState) -> Self {
        let known = published_names(&plan.pool, gossip).into_iter().map(|(name, _)| name);
        // `-` differs from the value of every placement, so each known name is published again.
        let unpublished = |name: String| (name, (b"-".to_vec(), 0));
        Self {
            published: known.map(unpublished).collect(),
        }
    }

    /// Whether a placement has changed that was already published with the plan's sequence number, so that the plan
    /// must be written again to get a new one.
    pub fn needs_write(&self, plan: &Plan, config: &Snapshot) -> bool {
        let values = self.placement_values(plan, config);
        values.iter().any(|(name, value)| {
            let published = self.published.get(name);
            published.is_some_and(|(known, sequence)| known != value && *sequence >= plan.sequence)
        })
    }

    /// Publishes the placements that have changed and a tombstone for every name that the plan no longer has.
    pub fn publish(&mut self, plan: &Plan, config: &Snapshot, gossip: &dyn GossipState) {
        let version = Version {
            term: plan.term,
            sequence: plan.sequence,
        };
        for (name, value) in self.placement_values(plan, config) {
            // Two values must never have the same version, so a name is also skipped if this number was already used.
            let known = self.published.get(&name);
            let must_skip = known.is_some_and(|(known, sequence)| *known == value || *sequence >= plan.sequence);
            if must_skip {
                continue;
            }
            gossip.put(Entry {
                key: EntryKey::Placement(plan.pool.clone(), name.clone()),
                version,
                value: value.clone(),
            });
            self.published.insert(name, (value, plan.sequence));
        }
        self.published
            .retain(|_, (value, sequence)| !value.is_empty() || *sequence >= plan.sequence);
    }

    /// Encoded placement of every name in the plan, and an empty value for every published name that the plan no longer
    /// has.
    fn placement_values(&self, plan: &Plan, config: &Snapshot) -> BTreeMap<String, Vec<u8>> {
        let removed = self.published.keys().map(|name| (name.clone(), Vec::new()));
        let mut values: BTreeMap<String, Vec<u8>> = removed.collect();
        for (name, placement) in placements(plan, config) {
            values.insert(name, serde_json::to_vec(&placement).unwrap_or_default());
        }
        values
    }

    /// Publishes leaving notices for the servers in `leaving` and withdraws those that controllers published for other
    /// servers of the plan.
    pub fn publish_leaving_notices(plan: &Plan, leaving: &BTreeSet<ServerName>, gossip: &dyn GossipState) {
        for server in plan.servers.keys() {
            let known = gossip.get(&EntryKey::Leaving(server.clone()));
            let is_set = known.as_ref().is_some_and(|it| !it.value.is_empty());
            let is_by_controller = known.as_ref().is_some_and(|it| it.value == CONTROLLER_LEAVING_NOTICE);
            let wanted = leaving.contains(server);
            if wanted == is_set || (!wanted && !is_by_controller) {
                continue;
            }
            let plan_version = Version {
                term: plan.term,
                sequence: plan.sequence,
            };
            let version = known.map_or(plan_version, |it| plan_version.max(next_version(it.version)));
            gossip.put(Entry {
                key: EntryKey::Leaving(server.clone()),
                version,
                value: if wanted {
                    CONTROLLER_LEAVING_NOTICE.to_vec()
                } else {
                    Vec::new()
                },
            });
        }
    }
}

/// Whether a process other than a controller has published a leaving notice for a server.
pub fn has_peer_notice(server: &ServerName, gossip: &dyn GossipState) -> bool {
    gossip
        .get(&EntryKey::Leaving(server.clone()))
        .is_some_and(|it| !it.value.is_empty() && it.value != CONTROLLER_LEAVING_NOTICE)
}

/// Names and versions of the pool's placements in the gossip entries.
pub fn published_names(pool: &PoolName, gossip: &dyn GossipState) -> Vec<(String, Version)> {
    let of_pool = |entry: &Entry| match &entry.key {
        EntryKey::Placement(it, name) if it == pool => Some((name.clone(), entry.version)),
        _ => None,
    };
    gossip.entries().iter().filter_map(|it| of_pool(it)).collect()
}

fn next_version(version: Version) -> Version {
    Version {
        term: version.term,
        sequence: version.sequence + 1,
    }
}
