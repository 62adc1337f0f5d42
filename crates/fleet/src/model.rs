//! The deployment as an entry process knows it: configuration and backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use guava_core::derive_value;

/// How often a request of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The answer is an event stream. Runs at most once unless the route's streams can be resumed.
    Streaming,
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its current requests and then leaves.
    Draining,
}

/// Position in the changes of the platform's store. A store that was restored from an older copy gives out the same
/// numbers again, in a later era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct StoreRevision {
    /// Number of restores; zero if the store does not count them.
    pub era: u64,
    /// Revision within the era; zero for none.
    pub number: u64,
}

derive_value! {
    /// One version of the configuration that operators set.
    pub struct Configuration {
        /// Number of the version; a higher one replaces a lower one.
        pub version: u64,
        /// Routes in no particular order.
        pub routes: Vec<Route>,
        /// Services, by name.
        pub services: BTreeMap<String, Service>,
        /// Limits on callers' requests and connections.
        pub limits: CallerLimits,
        /// Organisations; if empty, callers need no key.
        pub organisations: Vec<Organisation>,
        /// Whether it came from a process that does not send all parts, see [`crate::config_extension`].
        #[serde(skip)]
        pub is_partial: bool,
    }

    /// Rule that maps a host and a path prefix to services.
    pub struct Route {
        /// Name of the route, as the operators set it.
        pub name: String,
        /// Host name in lower case and without a port.
        pub host: String,
        /// Path prefix, with a slash at the beginning and the end.
        pub path_prefix: String,
        /// How often a request may be run.
        pub kind: RouteKind,
        /// Longest time that a caller waits for an answer, in milliseconds.
        pub timeout_ms: u64,
        /// Response time objective in milliseconds; a slower answer loses value.
        pub objective_ms: u64,
        /// Priority; zero is the most urgent.
        pub priority: u8,
        /// Services and their weights; never empty.
        pub targets: Vec<(String, u32)>,
        /// Largest number of backend servers to which one request may be sent.
        pub max_attempts: u32,
        /// Whether requests are admitted without a key.
        pub open: bool,
        /// Whether an interrupted stream may be resumed at another backend server.
        pub resumable: bool,
        /// Longest pause between events, in milliseconds, for which a stream counts as on time.
        pub gap_ms: u64,
        /// Regions in which its requests may be served; any if empty.
        #[serde(skip)]
        pub regions: Vec<String>,
    }

    /// Pool of backend servers that offer the same interface.
    pub struct Service {
        /// Connections that one backend server accepts from all callers together.
        pub max_connections: u32,
        /// Capacity and models of its engines; `None` for a service without model engines.
        pub engine: Option<EngineSpec>,
        /// Milliseconds for which one of its servers is cold after its start.
        #[serde(skip)]
        pub cold_ms: u64,
        /// Requests a second that a cold server tolerates from all VMs together; zero for any number.
        #[serde(skip)]
        pub cold_per_s: f64,
    }

    /// Capacity and models of the engines of a service.
    pub struct EngineSpec {
        /// Requests that one engine runs concurrently.
        pub slots: u32,
        /// Accelerator memory of one engine for weights and adapters, in MB.
        pub memory_mb: f64,
        /// Number of adapters that one engine can hold.
        pub adapter_slots: u32,
        /// Loads from the weight store that may start per second, over all engines.
        pub loads_per_s: f64,
        /// Host memory of one engine for copies of weights, in MB.
        pub host_mb: f64,
        /// Models that the service offers, by name.
        pub models: BTreeMap<String, ModelSpec>,
    }

    /// Size and load times of a model.
    pub struct ModelSpec {
        /// Size of the weights, in MB.
        pub mb: f64,
        /// Size of one adapter, in MB.
        pub adapter_mb: f64,
        /// Load time from the weight store, in milliseconds.
        pub store_ms: u64,
        /// Load time from the engine's disk, in milliseconds.
        pub disk_ms: u64,
        /// Load time from the engine's host memory, in milliseconds.
        pub host_ms: u64,
    }

    /// Limits on the size and timing of callers' requests.
    pub struct CallerLimits {
        /// Largest head of a request, in bytes.
        pub head_bytes: usize,
        /// Largest body of a request, in bytes.
        pub body_bytes: usize,
        /// Time within which the head of a request must arrive, in milliseconds.
        pub head_timeout_ms: u64,
        /// Time for which a connection may be idle, in milliseconds.
        pub idle_timeout_ms: u64,
    }

    /// Organisation with its keys and rate limit.
    pub struct Organisation {
        /// Name of the organisation; its rate limit is kept under this name.
        pub name: String,
        /// Keys with which its callers authenticate.
        pub keys: Vec<String>,
        /// Priority of its requests, which overrides that of the route; `None` leaves the route's.
        pub priority: Option<u8>,
        /// Whether the rate limit counts tokens; otherwise it counts requests.
        pub counts_tokens: bool,
        /// Tokens that are charged for a request that does not state its number of tokens.
        pub plain_tokens: u64,
        /// Requests or tokens per second; zero means unlimited.
        pub rate: f64,
        /// Burst; zero means unlimited.
        pub burst: f64,
        /// Regions in which its requests may be served; any if empty.
        #[serde(skip)]
        pub regions: Vec<String>,
    }

    /// Backend server as described by its own entry in the platform's store.
    pub struct BackendServer {
        /// Id of the server; a restarted server may keep its id, see `born_ms`.
        pub id: String,
        /// Name of the service that it belongs to.
        pub service: String,
        /// Address to which requests and orders are sent.
        pub address: SocketAddr,
        /// Availability zone in which it runs.
        pub zone: String,
        /// Version of its software; `None` if it states none. What two versions write does not fit together.
        pub version: Option<String>,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts new requests.
        pub state: ServerState,
        /// Wall-clock time of its start, in milliseconds; distinguishes restarts under the same id. Zero if not stated.
        pub born_ms: u64,
        /// Number of changes that the server has made to its entry since its start; zero if not stated.
        pub writes: u64,
        /// Remaining time in milliseconds, counted from when the entry was written, for a server that leaves at short
        /// notice; `None` for any other.
        pub leaves_in_ms: Option<u64>,
        /// Milliseconds until it is warm, counted from when the entry was written; `None` if not stated. Other VMs learn of
        /// it by [`crate::cold::ColdServer`].
        #[serde(skip)]
        pub cold_left_ms: Option<u64>,
        /// Models that are loaded in its accelerators.
        pub held: Vec<HeldModel>,
        /// Models whose weights are in its host memory.
        pub in_memory: Vec<String>,
        /// Models whose weights are on its disk.
        pub on_disk: Vec<String>,
    }

    /// Model that is loaded in the accelerators of a backend server.
    pub struct HeldModel {
        /// Name of the model.
        pub name: String,
        /// Adapters that are loaded for the model.
        pub adapters: Vec<String>,
    }
}

impl Configuration {
    /// Whether servers of a service tolerate few requests while they are cold.
    pub fn has_cold_limits(&self) -> bool {
        self.services.values().any(|it| it.cold_per_s > 0.0)
    }
}

impl Route {
    /// Whether callers may take up a stream of the route after its answer was broken off.
    pub fn is_resumable_stream(&self) -> bool {
        self.kind == RouteKind::Streaming && self.resumable
    }

    /// Whether a request may be sent to a second backend server after the first may have run it.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

impl BackendServer {
    /// Copy without the lists of weights in host memory and on disk, which only a coordinator needs.
    #[must_use]
    pub fn without_copies(&self) -> Self {
        Self {
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            id: self.id.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            version: self.version.clone(),
            held: self.held.clone(),
            ..*self
        }
    }

    /// Whether the server has `model` loaded and, if given, its `adapter`.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        self.held
            .iter()
            .any(|it| it.name == model && adapter.is_none_or(|name| it.adapters.iter().any(|held| held == name)))
    }
}
