//! Current configuration of one process, built from gossip entries.
//!
//! A snapshot does not compare versions: the map that the entries come from passes on only the newest of each key.

use std::collections::{HashMap, HashSet};

use serde::de::DeserializeOwned;

use crate::config::{Adapter, BackendServer, Key, Kind, Model, Organisation, Pool, Profile, Route};
use crate::gossip_entry::{Entry, EntryKey};
use crate::ids::{AdapterName, KeyId, ModelName, OrganisationName, PoolName, ProfileName, RouteName, ServerName};
use crate::placement::Placement;

/// Current configuration, placements and leaving servers, by name.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Profiles by name.
    pub profiles: HashMap<ProfileName, Profile>,
    /// Models of all pools by name.
    pub models: HashMap<ModelName, Model>,
    /// Adapters by the name callers use.
    pub adapters: HashMap<AdapterName, Adapter>,
    /// Organisations by name.
    pub organisations: HashMap<OrganisationName, Organisation>,
    /// Callers' keys by their public part, withdrawn ones included.
    pub keys: HashMap<KeyId, Key>,
    /// Backend servers of all pools by name, draining ones included.
    pub servers: HashMap<ServerName, BackendServer>,
    /// Pools by name.
    pub pools: HashMap<PoolName, Pool>,
    /// Routes by the name in their path.
    pub routes: HashMap<RouteName, Route>,
    /// Placements by pool and the name callers use.
    pub placements: HashMap<(PoolName, String), Placement>,
    /// Backend servers with a notice that they are leaving.
    pub leaving: HashSet<ServerName>,
}

impl Snapshot {
    /// Applies one entry; an empty value removes the object. Other kinds of entries and values that cannot be parsed are
    /// ignored.
    pub fn apply(&mut self, entry: &Entry) {
        let value = entry.value.as_slice();
        match &entry.key {
            EntryKey::Config(kind, name) => self.apply_config(*kind, name, value),
            EntryKey::Placement(pool, name) => set(&mut self.placements, (pool.clone(), name.clone()), value),
            EntryKey::Leaving(server) if value.is_empty() => {
                self.leaving.remove(server);
            }
            EntryKey::Leaving(server) => {
                self.leaving.insert(server.clone());
            }
            EntryKey::Shares(_) | EntryKey::Ended(_) | EntryKey::Lease(_) => {}
        }
    }

    fn apply_config(&mut self, kind: Kind, name: &str, value: &[u8]) {
        match kind {
            Kind::Profile => set(&mut self.profiles, name.into(), value),
            Kind::Model => set(&mut self.models, name.into(), value),
            Kind::Adapter => set(&mut self.adapters, name.into(), value),
            Kind::Organisation => set(&mut self.organisations, name.into(), value),
            Kind::Key => set(&mut self.keys, name.into(), value),
            Kind::Server => set(&mut self.servers, name.into(), value),
            Kind::Pool => set(&mut self.pools, name.into(), value),
            Kind::Route => set(&mut self.routes, name.into(), value),
            Kind::Lease | Kind::Plan | Kind::Shares | Kind::Idempotency | Kind::Job => {}
        }
    }

    /// Whether a backend server accepts new requests: it is registered, not draining and not leaving.
    pub fn accepts_work(&self, server: &ServerName) -> bool {
        let is_registered = self.servers.get(server).is_some_and(|it| !it.draining);
        is_registered && !self.leaving.contains(server)
    }
}

fn set<K: std::hash::Hash + Eq, V: DeserializeOwned>(map: &mut HashMap<K, V>, key: K, value: &[u8]) {
    if value.is_empty() {
        map.remove(&key);
    } else if let Ok(parsed) = serde_json::from_slice(value) {
        map.insert(key, parsed);
    }
}
