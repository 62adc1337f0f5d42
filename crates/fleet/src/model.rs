//! What the entry process believes about its deployment: configuration and backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use guava_core::derive_value;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answer is a series of events; runs at most once unless it can be resumed.
    Streaming,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and leaves.
    Draining,
}

derive_value! {
    /// One version of the operators' configuration.
    pub struct Configuration {
        /// Version; a higher one replaces a lower one.
        pub version: u64,
        /// Routes in no particular order.
        pub routes: Vec<Route>,
        /// Services by name.
        pub services: BTreeMap<String, Service>,
        /// Bounds on callers' connections.
        pub limits: CallerLimits,
        /// Organisations; without any, no key is asked for.
        pub organisations: Vec<Organisation>,
    }

    /// Rule that maps a host and path to services.
    pub struct Route {
        /// Name.
        pub name: String,
        /// Host, in lower case and without a port.
        pub host: String,
        /// Path prefix that begins and ends with a slash.
        pub path_prefix: String,
        /// How often a request may run.
        pub kind: RouteKind,
        /// Longest time that a caller is kept waiting.
        pub timeout_ms: u64,
        /// Time within which an answer has its full value.
        pub objective_ms: u64,
        /// Rank; zero is the most urgent.
        pub priority: u8,
        /// Services and their weights; never empty.
        pub targets: Vec<(String, u32)>,
        /// Backend servers that one request may be sent to.
        pub max_attempts: u32,
        /// Whether no key is needed.
        pub open: bool,
        /// Whether a stream may go on at another backend server.
        pub resumable: bool,
        /// Longest pause between events for which a stream counts as on time.
        pub gap_ms: u64,
    }

    /// Pool of backend servers with one interface.
    pub struct Service {
        /// Connections that one backend server accepts from all callers.
        pub max_connections: u32,
        /// What its model engines can hold; `None` for a plain service.
        pub engine: Option<EngineSpec>,
    }

    /// Capacity and models of the engines of a service.
    pub struct EngineSpec {
        /// Requests that one engine runs at the same time.
        pub slots: u32,
        /// Memory for weights and adapters, in MB.
        pub memory_mb: f64,
        /// Adapters that one engine holds.
        pub adapter_slots: u32,
        /// Loads from the weight store that may begin per second over all engines.
        pub loads_per_s: f64,
        /// Memory for copies of weights beside the accelerators, in MB.
        pub host_mb: f64,
        /// Models by name.
        pub models: BTreeMap<String, ModelSpec>,
    }

    /// Size and load times of a model.
    pub struct ModelSpec {
        /// Size of the weights in MB.
        pub mb: f64,
        /// Size of one adapter in MB.
        pub adapter_mb: f64,
        /// Load time from the weight store.
        pub store_ms: u64,
        /// Load time from the engine's disk.
        pub disk_ms: u64,
        /// Load time from the engine's host memory.
        pub host_ms: u64,
    }

    /// Bounds on what a caller may send and how long it may take.
    pub struct CallerLimits {
        /// Size of a request's head in bytes.
        pub head_bytes: usize,
        /// Size of a request's body in bytes.
        pub body_bytes: usize,
        /// Time in which a head must arrive.
        pub head_timeout_ms: u64,
        /// Time for which a connection may be idle.
        pub idle_timeout_ms: u64,
    }

    /// Organisation with its keys and rate.
    pub struct Organisation {
        /// Name.
        pub name: String,
        /// Keys that its callers show.
        pub keys: Vec<String>,
        /// Rank that goes before the route's.
        pub priority: Option<u8>,
        /// Whether the rate counts tokens; it counts requests otherwise.
        pub counts_tokens: bool,
        /// Tokens of a request that states none.
        pub plain_tokens: u64,
        /// Rate per second; zero means unlimited.
        pub rate: f64,
        /// Burst; zero means unlimited.
        pub burst: f64,
    }

    /// Backend server as its own entry describes it.
    pub struct BackendServer {
        /// Identifier of its present life.
        pub id: String,
        /// Service that it belongs to.
        pub service: String,
        /// Address.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: ServerState,
        /// Wall time of its start, in milliseconds; a server may start again under its id.
        pub born_ms: u64,
        /// Time until it is gone, from when the entry was written, for a server that leaves at short notice.
        pub leaves_in_ms: Option<u64>,
        /// Models that it holds.
        pub held: Vec<HeldModel>,
        /// Models whose weights lie in its host memory.
        pub in_memory: Vec<String>,
        /// Models whose weights lie on its disk.
        pub on_disk: Vec<String>,
    }

    /// Model in the accelerators of a backend server.
    pub struct HeldModel {
        /// Name.
        pub name: String,
        /// Adapters that are loaded for it.
        pub adapters: Vec<String>,
    }
}

impl Route {
    /// Whether a second backend server may get the request after the first may have run it.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

impl BackendServer {
    /// All but the copies of weights in memory and on disk, which only a coordinator needs.
    #[must_use]
    pub fn without_copies(&self) -> Self {
        Self {
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            id: self.id.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            held: self.held.clone(),
            ..*self
        }
    }

    /// Whether it holds `model` and, if given, `adapter`.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.held
            .iter()
            .any(|it| it.name == model && adapter.is_none_or(|name| it.adapters.iter().any(|held| held == name)))
    }
}
