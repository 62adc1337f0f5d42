//! Traces with what happens beside the requests: a slow store and reclaimed backend servers.
//!
//! A scenario `<name>.mix.json` stands beside its generated trace `<name>.trace.jsonl` and its bounds
//! `<name>.expect.json`.

use std::fs;
use std::path::{Path, PathBuf};

use guava_core::config::Object;
use guava_core::derive_value;
use guava_core::ids::{ProfileName, ServerName};
use guava_core::snapshot::Snapshot;
use guava_load::generate::{Mix, generate};
use guava_load::trace::{self, TraceRequest};
use serde::de::DeserializeOwned;

use crate::error::ReplayError;

const MIX_SUFFIX: &str = ".mix.json";

derive_value! {
    /// Traffic that begins at some time.
    #[serde(deny_unknown_fields)]
    pub struct Part {
        /// Begin in milliseconds.
        pub start_ms: u64,
        /// Traffic.
        pub mix: Mix,
    }

    /// A period in which the weight store is slow.
    #[serde(deny_unknown_fields)]
    pub struct SlowStore {
        /// Begin in milliseconds.
        pub from_ms: u64,
        /// End in milliseconds.
        pub to_ms: u64,
        /// Factor on the duration of loads.
        pub factor: f64,
    }

    /// A backend server that is reclaimed and returns empty.
    #[serde(deny_unknown_fields)]
    pub struct Reclaim {
        /// Backend server.
        pub server: ServerName,
        /// Time of the notice in milliseconds.
        pub at_ms: u64,
        /// Time from the notice to the end in milliseconds.
        pub notice_ms: u64,
        /// Time of the return in milliseconds.
        pub back_ms: u64,
    }

    /// Description of a trace.
    #[serde(deny_unknown_fields)]
    pub struct Scenario {
        /// Configuration, relative to the root of the repository.
        pub config: String,
        /// Traffic.
        pub parts: Vec<Part>,
        /// Time over which idle accelerators are counted, in milliseconds.
        pub window_ms: u64,
        /// Seed of the checkpoints that are on disk at the start.
        pub disk_seed: u64,
        /// Periods of a slow store.
        #[serde(default)]
        pub slow_store: Vec<SlowStore>,
        /// Profiles whose requests come with `Prefer: respond-async`.
        #[serde(default)]
        pub deferred_profiles: Vec<ProfileName>,
        /// Reclaimed backend servers.
        #[serde(default)]
        pub reclaims: Vec<Reclaim>,
    }
}

impl Scenario {
    /// Generates the requests.
    pub fn generate(&self) -> Vec<TraceRequest> {
        let shifted = |part: &Part| {
            let mut requests = generate(&part.mix);
            for it in &mut requests {
                it.at_ms += part.start_ms;
            }
            requests
        };
        let mut requests: Vec<TraceRequest> = self.parts.iter().flat_map(shifted).collect();
        requests.sort_by_key(|it| it.at_ms);
        requests
    }

    /// Factor on the duration of loads from the store.
    pub fn slowdown(&self, now: u64) -> f64 {
        let in_force = |it: &&SlowStore| (it.from_ms..it.to_ms).contains(&now);
        self.slow_store.iter().find(in_force).map_or(1.0, |it| it.factor)
    }
}

/// A scenario with everything it names.
#[derive(Debug, Clone)]
pub struct Recorded {
    /// Deployment and name, as in `welsh/steady`.
    pub name: String,
    /// Path of the scenario.
    pub path: PathBuf,
    /// Scenario.
    pub scenario: Scenario,
    /// Configuration.
    pub config: Snapshot,
    /// Requests in order of arrival.
    pub requests: Vec<TraceRequest>,
}

impl Recorded {
    /// Reads the scenario at `path`; `root` is the root of the repository.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read.
    pub fn read(root: &Path, path: &Path) -> Result<Self, ReplayError> {
        let scenario: Scenario = read_json(path)?;
        let config = read_config(&root.join(&scenario.config))?;
        let requests = trace::read(&sibling(path, ".trace.jsonl"))?;
        let part = |it: Option<&std::ffi::OsStr>| it.unwrap_or_default().to_string_lossy().into_owned();
        let deployment = part(path.parent().and_then(Path::file_name));
        let name = part(path.file_name()).replace(MIX_SUFFIX, "");
        Ok(Self {
            name: format!("{deployment}/{name}"),
            path: path.to_owned(),
            scenario,
            config,
            requests,
        })
    }
}

/// File beside a scenario.
pub fn sibling(path: &Path, suffix: &str) -> PathBuf {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    path.with_file_name(name.replace(MIX_SUFFIX, suffix))
}

/// Scenarios below `dir`, in order of their names.
///
/// # Errors
///
/// Fails when a directory cannot be read.
pub fn find(dir: &Path) -> Result<Vec<PathBuf>, ReplayError> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            found.extend(find(&path)?);
        } else if path.to_string_lossy().ends_with(MIX_SUFFIX) {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

/// Reads a JSON file.
///
/// # Errors
///
/// Fails when the file cannot be read or has another shape.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, ReplayError> {
    let text = fs::read_to_string(path)?;
    serde_json::from_str(&text).map_err(|error| ReplayError::Shape(path.display().to_string(), error))
}

fn read_config(path: &Path) -> Result<Snapshot, ReplayError> {
    let mut config = Snapshot::default();
    for object in read_json::<Vec<Object>>(path)? {
        match object {
            Object::Profile(it) => drop(config.profiles.insert(it.name.clone(), it)),
            Object::Model(it) => drop(config.models.insert(it.name.clone(), it)),
            Object::Adapter(it) => drop(config.adapters.insert(it.name.clone(), it)),
            Object::Organisation(it) => drop(config.organisations.insert(it.name.clone(), it)),
            Object::Key(it) => drop(config.keys.insert(it.id.clone(), it)),
            Object::Server(it) => drop(config.servers.insert(it.name.clone(), it)),
            Object::Pool(it) => drop(config.pools.insert(it.name.clone(), it)),
            Object::Route(it) => drop(config.routes.insert(it.name.clone(), it)),
        }
    }
    Ok(config)
}
