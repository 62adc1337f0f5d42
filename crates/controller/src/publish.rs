//! Placements and leaving notices that follow from a plan.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{PoolName, ServerName};
use guava_core::placement::{Placement, ReplicaAddress};
use guava_core::plan::Plan;
use guava_core::snapshot::Snapshot;
use guava_core::spread::{Entry, EntryKey, Version};
use guava_node::GossipState;

/// Value of a leaving notice by a controller; notices by others come from the server's peers.
const LEAVING_NOTICE: &[u8] = br#"{"by":"controller"}"#;

/// Placements by the name callers use.
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

/// Placements published in one term.
///
/// An entry's version is the term and the plan's sequence number. All names are published again after a take-over,
/// because a late entry of the previous holder could otherwise replace an equal but older one. A change that needs no
/// other plan write (such as a new address) asks for a write, so that two values never share a version.
#[derive(Debug, Default)]
pub struct Publisher {
    published: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Publisher {
    /// Starts a term: every name that the spread or the plan has is published with the first plan of the term.
    pub fn start(plan: &Plan, gossip: &dyn GossipState) -> Self {
        let known = known_names(&plan.pool, gossip).into_iter().map(|(name, _)| name);
        let stale = |name: String| (name, (b"-".to_vec(), 0));
        Self {
            published: known.map(stale).collect(),
        }
    }

    /// Whether a placement differs from its published value while the plan's sequence number is used up for it.
    pub fn needs_write(&self, plan: &Plan, config: &Snapshot) -> bool {
        let values = self.values(plan, config);
        values.iter().any(|(name, value)| {
            let published = self.published.get(name);
            published.is_some_and(|(known, sequence)| known != value && *sequence >= plan.sequence)
        })
    }

    /// Publishes what has changed.
    pub fn publish(&mut self, plan: &Plan, config: &Snapshot, gossip: &dyn GossipState) {
        let version = Version {
            term: plan.term,
            sequence: plan.sequence,
        };
        for (name, value) in self.values(plan, config) {
            let known = self.published.get(&name);
            let unchanged = known.is_some_and(|(known, sequence)| *known == value || *sequence >= plan.sequence);
            if unchanged {
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

    /// Value of every name in the plan, and an empty one for every published name that is gone.
    fn values(&self, plan: &Plan, config: &Snapshot) -> BTreeMap<String, Vec<u8>> {
        let gone = self.published.keys().map(|name| (name.clone(), Vec::new()));
        let mut values: BTreeMap<String, Vec<u8>> = gone.collect();
        for (name, placement) in placements(plan, config) {
            values.insert(name, serde_json::to_vec(&placement).unwrap_or_default());
        }
        values
    }

    /// Publishes leaving notices for `leaving` and takes back earlier ones of controllers.
    pub fn publish_leaving(plan: &Plan, leaving: &BTreeSet<ServerName>, gossip: &dyn GossipState) {
        for server in plan.servers.keys() {
            let known = gossip.get(&EntryKey::Leaving(server.clone()));
            let is_set = known.as_ref().is_some_and(|it| !it.value.is_empty());
            let is_own = known.as_ref().is_some_and(|it| it.value == LEAVING_NOTICE);
            let wanted = leaving.contains(server);
            if wanted == is_set || (!wanted && !is_own) {
                continue;
            }
            let first = Version {
                term: plan.term,
                sequence: plan.sequence,
            };
            let version = known.map_or(first, |it| first.max(next(it.version)));
            gossip.put(Entry {
                key: EntryKey::Leaving(server.clone()),
                version,
                value: if wanted { LEAVING_NOTICE.to_vec() } else { Vec::new() },
            });
        }
    }
}

/// Whether someone other than a controller gave notice that a server is leaving.
pub fn has_peer_notice(server: &ServerName, gossip: &dyn GossipState) -> bool {
    gossip
        .get(&EntryKey::Leaving(server.clone()))
        .is_some_and(|it| !it.value.is_empty() && it.value != LEAVING_NOTICE)
}

/// Names of the pool's placements in the spread with their versions.
pub fn known_names(pool: &PoolName, gossip: &dyn GossipState) -> Vec<(String, Version)> {
    let of_pool = |entry: &Entry| match &entry.key {
        EntryKey::Placement(it, name) if it == pool => Some((name.clone(), entry.version)),
        _ => None,
    };
    gossip.entries().iter().filter_map(|it| of_pool(it)).collect()
}

fn next(version: Version) -> Version {
    Version {
        term: version.term,
        sequence: version.sequence + 1,
    }
}
