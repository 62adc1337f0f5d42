//! Look-up of routes and keys in the active configuration.

use std::collections::HashMap;
use std::sync::Arc;

use rand::{Rng, RngCore};

use crate::model::{Configuration, Organisation, Route};

/// Configuration that is in force, with indexes by host and by key.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Configuration that the indexes refer to.
    pub config: Arc<Configuration>,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl ActiveConfig {
    /// Builds the indexes of a configuration.
    pub fn new(config: Arc<Configuration>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(config.routes[*it].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, organisation) in config.organisations.iter().enumerate() {
            by_key.extend(organisation.keys.iter().map(|key| (key.clone(), index)));
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`. The case and the port of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host);
        let routes = self.by_host.get(host.as_str())?;
        let found = routes
            .iter()
            .find(|it| path.starts_with(&self.config.routes[**it].path_prefix));
        found.map(|it| &self.config.routes[*it])
    }

    /// Whether callers must present a key; they need none if no organisation is configured.
    pub fn needs_keys(&self) -> bool {
        !self.config.organisations.is_empty()
    }

    /// Number of keys that `next` no longer accepts.
    pub fn keys_missing_in(&self, next: &Self) -> usize {
        self.by_key.keys().filter(|it| !next.by_key.contains_key(*it)).count()
    }

    /// Organisation that owns `key`; `None` for an unknown key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key).map(|it| &self.config.organisations[*it])
    }
}

/// Returns the host without its port, in lower case.
pub fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|it| it.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    name.to_ascii_lowercase()
}

/// Picks a service of a route at random, by weight.
pub fn draw_service<'a>(route: &'a Route, rng: &mut dyn RngCore) -> &'a str {
    let total: u64 = route.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut remaining = if total == 0 { 0 } else { rng.random_range(0..total) };
    for (service, weight) in &route.targets {
        let weight = u64::from(*weight);
        if remaining < weight {
            return service;
        }
        remaining -= weight;
    }
    route.targets.first().map_or("", |(service, _)| service)
}
