//! Configuration in force at one process, read from spread entries.
//!
//! A snapshot is only a view: it takes entries in any order and leaves the choice of the newest version to the map
//! they come from.

use std::collections::{HashMap, HashSet};

use serde::de::DeserializeOwned;

use crate::config::{Adapter, BackendServer, Key, Kind, Model, Organisation, Pool, Profile, Route};
use crate::ids::{AdapterName, KeyId, ModelName, OrganisationName, PoolName, ProfileName, RouteName, ServerName};
use crate::placement::Placement;
use crate::spread::{Entry, EntryKey};

/// Configuration and placements by name.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Profiles.
    pub profiles: HashMap<ProfileName, Profile>,
    /// Models.
    pub models: HashMap<ModelName, Model>,
    /// Adapters.
    pub adapters: HashMap<AdapterName, Adapter>,
    /// Organisations.
    pub organisations: HashMap<OrganisationName, Organisation>,
    /// Keys.
    pub keys: HashMap<KeyId, Key>,
    /// Backend servers.
    pub servers: HashMap<ServerName, BackendServer>,
    /// Pools.
    pub pools: HashMap<PoolName, Pool>,
    /// Routes.
    pub routes: HashMap<RouteName, Route>,
    /// Placements by pool and the name callers use.
    pub placements: HashMap<(PoolName, String), Placement>,
    /// Backend servers that are leaving.
    pub leaving: HashSet<ServerName>,
}

impl Snapshot {
    /// Applies one entry. Entries of other kinds and values that cannot be read are passed over.
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

    /// Whether a backend server takes new work.
    pub fn accepts_work(&self, server: &ServerName) -> bool {
        let known = self.servers.get(server).is_some_and(|it| !it.draining);
        known && !self.leaving.contains(server)
    }
}

fn set<K: std::hash::Hash + Eq, V: DeserializeOwned>(map: &mut HashMap<K, V>, key: K, value: &[u8]) {
    if value.is_empty() {
        map.remove(&key);
    } else if let Ok(parsed) = serde_json::from_slice(value) {
        map.insert(key, parsed);
    }
}
