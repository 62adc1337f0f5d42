//! Scenarios: the traffic of a trace and the faults that accompany it, such as a slow weight store and reclaimed
//! backend servers.
//!
//! A scenario `<name>.mix.json` is stored in the same directory as its generated trace `<name>.trace.jsonl` and the
//! bounds on its result `<name>.expect.json`.

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
    /// Traffic mix that starts at a given time of the trace.
    #[serde(deny_unknown_fields)]
    pub struct TrafficPart {
        /// Start in milliseconds since the start of the trace; added to the arrival times of the mix.
        pub start_ms: u64,
        /// Seeded description of the requests.
        pub mix: Mix,
    }

    /// Period in which loads from the weight store take longer.
    #[serde(deny_unknown_fields)]
    pub struct SlowStorePeriod {
        /// Start in milliseconds since the start of the trace.
        pub from_ms: u64,
        /// End (exclusive) in milliseconds since the start of the trace.
        pub to_ms: u64,
        /// Multiplier of the load times; 2 doubles them.
        pub factor: f64,
    }

    /// Reclaim of the VM of a backend server, which later restarts without replicas or cached checkpoints.
    #[serde(deny_unknown_fields)]
    pub struct Reclaim {
        /// Name of the backend server in the configuration.
        pub server: ServerName,
        /// Time of the reclaim notice in milliseconds since the start of the trace.
        pub at_ms: u64,
        /// Time from the notice until the VM stops, in milliseconds.
        pub notice_ms: u64,
        /// Time of the restart in milliseconds since the start of the trace.
        pub back_ms: u64,
    }

    /// Scenario file, from which a trace is generated and replayed.
    #[serde(deny_unknown_fields)]
    pub struct Scenario {
        /// Path of the configuration file, relative to the root of the repository.
        pub config: String,
        /// Traffic; the requests of all parts are merged by arrival time.
        pub parts: Vec<TrafficPart>,
        /// Length of the trace in milliseconds. Idle time is only counted within it.
        pub window_ms: u64,
        /// Seed that selects which checkpoints are cached on the disks at the start.
        pub disk_seed: u64,
        /// Periods in which the weight store is slow; the first one that matches applies.
        #[serde(default)]
        pub slow_store: Vec<SlowStorePeriod>,
        /// Profiles whose requests carry `Prefer: respond-async` and are therefore deferred.
        #[serde(default)]
        pub deferred_profiles: Vec<ProfileName>,
        /// Backend servers that are reclaimed during the trace.
        #[serde(default)]
        pub reclaims: Vec<Reclaim>,
    }
}

impl Scenario {
    /// Generates the requests in order of arrival. The result depends only on the scenario.
    pub fn generate(&self) -> Vec<TraceRequest> {
        let shifted_requests = |part: &TrafficPart| {
            let mut requests = generate(&part.mix);
            for it in &mut requests {
                it.at_ms += part.start_ms;
            }
            requests
        };
        let mut requests: Vec<TraceRequest> = self.parts.iter().flat_map(shifted_requests).collect();
        requests.sort_by_key(|it| it.at_ms);
        requests
    }

    /// Returns the multiplier of the times of loads from the weight store at `now` (milliseconds); 1 when it is not
    /// slow.
    pub fn slowdown(&self, now: u64) -> f64 {
        let is_active = |it: &&SlowStorePeriod| (it.from_ms..it.to_ms).contains(&now);
        self.slow_store.iter().find(is_active).map_or(1.0, |it| it.factor)
    }
}

/// A scenario with its configuration and its trace.
#[derive(Debug, Clone)]
pub struct RecordedTrace {
    /// Name of the deployment directory and of the scenario, such as `welsh/steady`.
    pub name: String,
    /// Path of the scenario file.
    pub path: PathBuf,
    /// Contents of the scenario file.
    pub scenario: Scenario,
    /// Configuration that the scenario names.
    pub config: Snapshot,
    /// Requests in order of arrival.
    pub requests: Vec<TraceRequest>,
}

impl RecordedTrace {
    /// Reads the scenario at `path`, its configuration and its trace; `root` is the root of the repository.
    ///
    /// # Errors
    ///
    /// Fails when one of the files cannot be read or parsed.
    pub fn read(root: &Path, path: &Path) -> Result<Self, ReplayError> {
        let scenario: Scenario = read_json(path)?;
        let config = read_config(&root.join(&scenario.config))?;
        let requests = trace::read(&sibling_path(path, ".trace.jsonl"))?;
        let to_text = |it: Option<&std::ffi::OsStr>| it.unwrap_or_default().to_string_lossy().into_owned();
        let deployment = to_text(path.parent().and_then(Path::file_name));
        let name = to_text(path.file_name()).replace(MIX_SUFFIX, "");
        Ok(Self {
            name: format!("{deployment}/{name}"),
            path: path.to_owned(),
            scenario,
            config,
            requests,
        })
    }
}

/// Path of the file that has the same name as the scenario at `path` but `suffix` in place of `.mix.json`.
pub fn sibling_path(path: &Path, suffix: &str) -> PathBuf {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    path.with_file_name(name.replace(MIX_SUFFIX, suffix))
}

/// Paths of all scenarios below `dir`, sorted.
///
/// # Errors
///
/// Fails when `dir` or a directory below it cannot be read.
pub fn find_scenarios(dir: &Path) -> Result<Vec<PathBuf>, ReplayError> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            found.extend(find_scenarios(&path)?);
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
/// Fails when the file cannot be read or does not deserialize into `T`.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, ReplayError> {
    let text = fs::read_to_string(path)?;
    serde_json::from_str(&text).map_err(|error| ReplayError::Json(path.display().to_string(), error))
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
