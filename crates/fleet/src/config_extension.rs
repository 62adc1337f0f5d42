//! Parts of the configuration that messages between VMs carry beside it.
//!
//! The encoding of a [`Configuration`] cannot get new fields, because a process of the version before could not decode
//! it. A configuration that comes without its extension is partial: a whole one of the same version replaces it.

use guava_core::derive_value;

use crate::model::Configuration;

derive_value! {
    /// What belongs to one version of the configuration beside its encoding.
    #[derive(Default)]
    pub struct ConfigExtension {
        /// Version that it belongs to.
        pub version: u64,
        /// Services whose servers are cold after their start.
        pub services: Vec<ServiceExtension>,
        /// Regions of the routes that name some, by the place of the route in the configuration.
        pub routes: Vec<(u32, Vec<String>)>,
        /// Regions of the organisations that name some, by the place of the organisation.
        pub organisations: Vec<(u32, Vec<String>)>,
    }

    /// What belongs to a service.
    pub struct ServiceExtension {
        /// Name of the service.
        pub name: String,
        /// Milliseconds for which one of its servers is cold after its start.
        pub cold_ms: u64,
        /// Requests a second that a cold server tolerates from all VMs together; zero for any number.
        pub cold_per_s: f64,
    }
}

impl ConfigExtension {
    /// Extension of a configuration; `None` if it is partial itself.
    pub fn of(config: &Configuration) -> Option<Self> {
        let services = config.services.iter().filter(|(_, it)| it.cold_per_s > 0.0);
        let services = services.map(|(name, it)| ServiceExtension {
            name: name.clone(),
            cold_ms: it.cold_ms,
            cold_per_s: it.cold_per_s,
        });
        let named = |lists: Vec<&Vec<String>>| {
            let lists = (0..).zip(lists).filter(|(_, it)| !it.is_empty());
            lists.map(|(at, it)| (at, it.clone())).collect()
        };
        (!config.is_partial).then(|| Self {
            version: config.version,
            services: services.collect(),
            routes: named(config.routes.iter().map(|it| &it.regions).collect()),
            organisations: named(config.organisations.iter().map(|it| &it.regions).collect()),
        })
    }

    /// Adds to a configuration what came with it. It is partial if nothing did, or what belongs to another version.
    pub fn complete(extension: Option<&Self>, config: &mut Configuration) {
        let extension = extension.filter(|it| it.version == config.version);
        config.is_partial = extension.is_none();
        for (at, regions) in extension.iter().flat_map(|it| &it.routes) {
            if let Some(route) = config.routes.get_mut(*at as usize) {
                route.regions.clone_from(regions);
            }
        }
        for (at, regions) in extension.iter().flat_map(|it| &it.organisations) {
            if let Some(organisation) = config.organisations.get_mut(*at as usize) {
                organisation.regions.clone_from(regions);
            }
        }
        for it in extension.iter().flat_map(|it| &it.services) {
            // Other VMs may send any number.
            let is_valid = it.cold_per_s.is_finite() && it.cold_per_s > 0.0;
            if let Some(service) = config.services.get_mut(&it.name).filter(|_| is_valid) {
                service.cold_ms = it.cold_ms;
                service.cold_per_s = it.cold_per_s;
            }
        }
    }
}
