//! Configuration objects that operators edit.
//!
//! Each object is stored under its own key in the platform's object service and is replicated to every process by gossip.
//! [`Object::check`] reports all faults of an object at once; the administration API rejects an object that has any.

use std::net::SocketAddr;

use crate::ids::{AdapterName, KeyId, ModelName, OrganisationName, PoolName, ProfileName, RouteName, ServerName, Zone};

derive_value! {
    /// Service level of requests: latency targets, limits on replicas and queues, and whether requests are idempotent.
    #[serde(deny_unknown_fields)]
    pub struct Profile {
        /// Name by which models and requests refer to the profile.
        pub name: ProfileName,
        /// Target for the time to first token when a replica is ready, in milliseconds, 1 to 600000.
        pub first_token_ms: u64,
        /// Target for the time to first token when a replica must be loaded, in milliseconds, `first_token_ms` or more.
        pub cold_start_ms: u64,
        /// Maximum total duration of a request, in milliseconds, `cold_start_ms` to 86400000.
        pub timeout_ms: u64,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Whether a request must carry an `Idempotency-Key`. Not allowed when `idempotent` is true.
        #[serde(default)]
        pub require_idempotency_key: bool,
        /// Whether requests are accepted as jobs, which run later and whose result the caller fetches.
        #[serde(default)]
        pub deferred: bool,
        /// Priority within an organisation's queue; larger values are served first.
        #[serde(default)]
        pub priority: u8,
        /// Maximum number of replicas of one model that demand under this profile may cause, 1 to 1024.
        #[serde(default = "default_max_replicas")]
        pub max_replicas: u32,
        /// Maximum number of requests of one organisation that wait for one model at one router, 1 to 100000.
        #[serde(default = "default_queue_limit")]
        pub queue_limit: u32,
        /// Output tokens reserved for a request that sets no limit itself, 1 or more.
        #[serde(default = "default_max_output_tokens")]
        pub max_output_tokens: u64,
        /// Weight of cold starts against refused requests in load order, 0 to 1. At 1, the number of waiting requests does
        /// not affect the order.
        #[serde(default = "default_cold_start_weight")]
        pub cold_start_weight: f64,
    }

    /// A model that can be loaded.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Name that callers use.
        pub name: ModelName,
        /// Pool whose backend servers may load the model.
        pub pool: PoolName,
        /// Checkpoint version to serve. Replicas of other versions are replaced.
        #[serde(default = "default_version")]
        pub version: u64,
        /// Memory that one replica needs, in bytes, 1 or more.
        pub bytes: u64,
        /// Profile of requests that name none.
        pub profile: ProfileName,
        /// Number of replicas to keep loaded without any requests, 0 to 1024.
        #[serde(default)]
        pub min_replicas: u32,
        /// Number of concurrent requests that one replica serves, 1 to 4096.
        #[serde(default = "default_slots")]
        pub slots: u32,
    }

    /// A low-rank adapter of a model.
    #[serde(deny_unknown_fields)]
    pub struct Adapter {
        /// Name that callers use in place of a model name.
        pub name: AdapterName,
        /// Model that the adapter applies to.
        pub model: ModelName,
        /// Adapter version to serve. Loaded adapters of other versions are replaced.
        #[serde(default = "default_version")]
        pub version: u64,
        /// Memory that the adapter needs in addition to a replica of its model, in bytes, 1 or more.
        pub bytes: u64,
    }

    /// A tenant with its token quota and its weight in fair queuing.
    #[serde(deny_unknown_fields)]
    pub struct Organisation {
        /// Name by which keys refer to the organisation.
        pub name: OrganisationName,
        /// Tokens per second, summed over all VMs, 1 to 1000000000.
        pub rate: u64,
        /// Tokens that may be used at once, summed over all VMs, 1 to 10000000000.
        pub burst: u64,
        /// Weight in fair queuing relative to other organisations, 1 to 1000.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// A caller's key. Only a keyed hash of its secret is stored.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Public part, by which the key is looked up.
        pub id: KeyId,
        /// Organisation whose quota requests with this key use.
        pub organisation: OrganisationName,
        /// Hexadecimal HMAC-SHA-256 of the secret under the deployment's pepper.
        pub hash: String,
        /// Whether the key has been withdrawn. Requests with a withdrawn key are refused.
        #[serde(default)]
        pub withdrawn: bool,
    }

    /// A backend server: a model engine, or a plain service behind a [`Route`].
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// Name by which plans and placements refer to the server.
        pub name: ServerName,
        /// IP address and port of its HTTP interface.
        pub addr: SocketAddr,
        /// Availability zone that it runs in.
        pub zone: Zone,
        /// Pool it belongs to.
        pub pool: PoolName,
        /// Memory for replicas and adapters, in bytes; zero, the default, for a plain service.
        #[serde(default)]
        pub memory_bytes: u64,
        /// Whether its engine rejects orders with an outdated fencing token.
        #[serde(default)]
        pub checks_fence: bool,
        /// Whether its engine does not remember cancelled replica ids, so that a late load order may still take effect.
        #[serde(default)]
        pub forgets_orders: bool,
        /// Whether it is being drained: it accepts no new requests or replicas.
        #[serde(default)]
        pub draining: bool,
    }

    /// A group of backend servers whose replicas are managed by one plan.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// Name by which models, servers and routes refer to the pool.
        pub name: PoolName,
        /// Model loads per second that the weight store allows, above 0 and at most 10000.
        #[serde(default = "default_loads_per_second")]
        pub loads_per_second: f64,
        /// Maximum number of concurrent model loads that the weight store serves at full speed, 1 to 1024.
        #[serde(default = "default_loads_at_once")]
        pub loads_at_once: u32,
        /// Maximum number of concurrent adapter loads over all backend servers, served at full speed, 1 to 4096.
        #[serde(default = "default_adapter_loads_at_once")]
        pub adapter_loads_at_once: u32,
    }

    /// A route to plain services.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// Name in the path `/svc/<name>/...`, without a slash.
        pub name: RouteName,
        /// Pool whose backend servers serve the route.
        pub pool: PoolName,
        /// Whether the route may be called without a key.
        #[serde(default)]
        pub open: bool,
        /// Methods whose calls may be retried; calls of other methods run at most once.
        #[serde(default = "default_idempotent_methods")]
        pub idempotent_methods: Vec<String>,
        /// Tokens that one call takes from the organisation's quota.
        #[serde(default = "default_call_tokens")]
        pub call_tokens: u64,
        /// Maximum duration of a call, in milliseconds, 1 to 3600000.
        #[serde(default = "default_route_timeout_ms")]
        pub timeout_ms: u64,
        /// Whether a non-idempotent call must carry an `Idempotency-Key`.
        #[serde(default)]
        pub require_idempotency_key: bool,
    }
}

const fn default_max_replicas() -> u32 {
    2
}
const fn default_queue_limit() -> u32 {
    256
}
const fn default_max_output_tokens() -> u64 {
    512
}
const fn default_cold_start_weight() -> f64 {
    0.5
}
const fn default_version() -> u64 {
    1
}
const fn default_slots() -> u32 {
    32
}
const fn default_weight() -> u32 {
    1
}
const fn default_loads_per_second() -> f64 {
    2.5
}
const fn default_loads_at_once() -> u32 {
    4
}
const fn default_adapter_loads_at_once() -> u32 {
    32
}
const fn default_call_tokens() -> u64 {
    1
}
const fn default_route_timeout_ms() -> u64 {
    30_000
}
fn default_idempotent_methods() -> Vec<String> {
    vec!["GET".to_owned(), "HEAD".to_owned()]
}

derive_scalar! {
    /// Kind of an object in the platform's object service. Operators edit those in [`Kind::CONFIG`].
    #[serde(rename_all = "lowercase")]
    pub enum Kind {
        /// [`Profile`].
        Profile,
        /// [`Model`].
        Model,
        /// [`Adapter`].
        Adapter,
        /// [`Organisation`].
        Organisation,
        /// [`Key`].
        Key,
        /// [`BackendServer`].
        Server,
        /// [`Pool`].
        Pool,
        /// [`Route`].
        Route,
        /// Lease that gives one process the right to a part of the work.
        Lease,
        /// Plan of a pool, written by the controller that holds the pool's lease.
        Plan,
        /// Holders of an organisation's quota shares.
        Shares,
        /// Idempotency record.
        Idempotency,
        /// Deferred request.
        Job,
    }
}

impl Kind {
    /// Kinds that operators edit, in order of declaration.
    pub const CONFIG: [Self; 8] = [
        Self::Profile,
        Self::Model,
        Self::Adapter,
        Self::Organisation,
        Self::Key,
        Self::Server,
        Self::Pool,
        Self::Route,
    ];

    /// Plural resource name in the platform's API, in lower case.
    pub fn plural(self) -> &'static str {
        match self {
            Self::Profile => "profiles",
            Self::Model => "models",
            Self::Adapter => "adapters",
            Self::Organisation => "organisations",
            Self::Key => "keys",
            Self::Server => "servers",
            Self::Pool => "pools",
            Self::Route => "routes",
            Self::Lease => "leases",
            Self::Plan => "plans",
            Self::Shares => "shares",
            Self::Idempotency => "idempotencyrecords",
            Self::Job => "jobs",
        }
    }

    /// Kind with the given plural resource name; `None` when there is none.
    pub fn from_plural(plural: &str) -> Option<Self> {
        let internal = [Self::Lease, Self::Plan, Self::Shares, Self::Idempotency, Self::Job];
        Self::CONFIG
            .into_iter()
            .chain(internal)
            .find(|kind| kind.plural() == plural)
    }
}

/// A fault in a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Name of the invalid field.
    pub field: String,
    /// Description of the accepted values, for the operator.
    pub accepted: String,
}

#[derive(Debug, Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn require(&mut self, ok: bool, field: &str, accepted: &str) {
        if !ok {
            self.0.push(Fault {
                field: field.to_owned(),
                accepted: accepted.to_owned(),
            });
        }
    }

    fn name(&mut self, name: &str) {
        self.require(
            is_name(name),
            "name",
            "1 to 128 of a-z A-Z 0-9 . _ : / -, starting with a letter or digit",
        );
    }
}

/// Whether `text` is an accepted object name: 1 to 128 of ASCII letters, digits and `.-_:/`, starting with a letter or
/// digit.
pub fn is_name(text: &str) -> bool {
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let has_valid_chars = text.chars().all(|c| c.is_ascii_alphanumeric() || ".-_:/".contains(c));
    has_valid_start && has_valid_chars && text.len() <= 128
}

/// A configuration object of any kind.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "lowercase")]
pub enum Object {
    /// Latency targets and limits of requests.
    Profile(Profile),
    /// Model that can be loaded.
    Model(Model),
    /// Low-rank adapter of a model.
    Adapter(Adapter),
    /// Tenant.
    Organisation(Organisation),
    /// Caller's key.
    Key(Key),
    /// Model engine or plain service.
    Server(BackendServer),
    /// Group of backend servers.
    Pool(Pool),
    /// Route to plain services.
    Route(Route),
}

impl Object {
    /// Parses the JSON `spec` of an object of `kind`. Does not check the values; see [`Object::check`].
    ///
    /// # Errors
    ///
    /// Returns the parser's message when the JSON does not have the fields of `kind`, or a message when operators do not
    /// edit `kind`.
    pub fn from_spec(kind: Kind, spec: serde_json::Value) -> Result<Self, String> {
        let parsed = match kind {
            Kind::Profile => serde_json::from_value(spec).map(Self::Profile),
            Kind::Model => serde_json::from_value(spec).map(Self::Model),
            Kind::Adapter => serde_json::from_value(spec).map(Self::Adapter),
            Kind::Organisation => serde_json::from_value(spec).map(Self::Organisation),
            Kind::Key => serde_json::from_value(spec).map(Self::Key),
            Kind::Server => serde_json::from_value(spec).map(Self::Server),
            Kind::Pool => serde_json::from_value(spec).map(Self::Pool),
            Kind::Route => serde_json::from_value(spec).map(Self::Route),
            _ => return Err(format!("{} are not edited by operators", kind.plural())),
        };
        parsed.map_err(|error| error.to_string())
    }

    /// JSON of the object's fields, without its kind.
    ///
    /// # Panics
    ///
    /// Never in practice: all fields have a JSON form.
    pub fn spec(&self) -> serde_json::Value {
        let value = match self {
            Self::Profile(it) => serde_json::to_value(it),
            Self::Model(it) => serde_json::to_value(it),
            Self::Adapter(it) => serde_json::to_value(it),
            Self::Organisation(it) => serde_json::to_value(it),
            Self::Key(it) => serde_json::to_value(it),
            Self::Server(it) => serde_json::to_value(it),
            Self::Pool(it) => serde_json::to_value(it),
            Self::Route(it) => serde_json::to_value(it),
        };
        value.expect("configuration objects have a JSON form")
    }

    /// Kind that the object is stored under.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Profile(_) => Kind::Profile,
            Self::Model(_) => Kind::Model,
            Self::Adapter(_) => Kind::Adapter,
            Self::Organisation(_) => Kind::Organisation,
            Self::Key(_) => Kind::Key,
            Self::Server(_) => Kind::Server,
            Self::Pool(_) => Kind::Pool,
            Self::Route(_) => Kind::Route,
        }
    }

    /// Name that the object is stored under; the public part for a key.
    pub fn name(&self) -> &str {
        match self {
            Self::Profile(it) => it.name.as_str(),
            Self::Model(it) => it.name.as_str(),
            Self::Adapter(it) => it.name.as_str(),
            Self::Organisation(it) => it.name.as_str(),
            Self::Key(it) => it.id.as_str(),
            Self::Server(it) => it.name.as_str(),
            Self::Pool(it) => it.name.as_str(),
            Self::Route(it) => it.name.as_str(),
        }
    }

    /// All faults of the object's values; empty when it is valid.
    ///
    /// Does not check that objects that it refers to exist.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Faults::default();
        faults.name(self.name());
        match self {
            Self::Profile(it) => check_profile(it, &mut faults),
            Self::Model(it) => {
                faults.require(it.bytes > 0, "bytes", "1 or more");
                faults.require((1..=4096).contains(&it.slots), "slots", "1 to 4096");
                faults.require(it.min_replicas <= 1024, "min_replicas", "0 to 1024");
            }
            Self::Adapter(it) => faults.require(it.bytes > 0, "bytes", "1 or more"),
            Self::Organisation(it) => {
                faults.require(
                    (1..=1_000_000_000).contains(&it.rate),
                    "rate",
                    "1 to 1000000000 tokens a second",
                );
                faults.require(
                    (1..=10_000_000_000).contains(&it.burst),
                    "burst",
                    "1 to 10000000000 tokens",
                );
                faults.require((1..=1000).contains(&it.weight), "weight", "1 to 1000");
            }
            Self::Key(it) => {
                let is_hash = it.hash.len() == 64 && it.hash.chars().all(|c| c.is_ascii_hexdigit());
                faults.require(is_hash, "hash", "64 hexadecimal digits");
            }
            Self::Server(it) => faults.require(it.addr.port() != 0, "addr", "IP address and port 1 to 65535"),
            Self::Pool(it) => {
                let loads = it.loads_per_second;
                faults.require(
                    loads > 0.0 && loads <= 10_000.0,
                    "loads_per_second",
                    "above 0, at most 10000",
                );
                faults.require((1..=1024).contains(&it.loads_at_once), "loads_at_once", "1 to 1024");
                let adapters = it.adapter_loads_at_once;
                faults.require((1..=4096).contains(&adapters), "adapter_loads_at_once", "1 to 4096");
            }
            Self::Route(it) => {
                faults.require((1..=3_600_000).contains(&it.timeout_ms), "timeout_ms", "1 to 3600000");
                faults.require(!it.name.as_str().contains('/'), "name", "no slash");
            }
        }
        faults.0
    }
}

fn check_profile(it: &Profile, faults: &mut Faults) {
    faults.require(
        (1..=600_000).contains(&it.first_token_ms),
        "first_token_ms",
        "1 to 600000",
    );
    faults.require(
        it.cold_start_ms >= it.first_token_ms,
        "cold_start_ms",
        "first_token_ms or more",
    );
    faults.require(it.timeout_ms >= it.cold_start_ms, "timeout_ms", "cold_start_ms or more");
    faults.require(it.timeout_ms <= 86_400_000, "timeout_ms", "at most 86400000");
    faults.require((1..=1024).contains(&it.max_replicas), "max_replicas", "1 to 1024");
    faults.require((1..=100_000).contains(&it.queue_limit), "queue_limit", "1 to 100000");
    faults.require(it.max_output_tokens >= 1, "max_output_tokens", "1 or more");
    faults.require(
        (0.0..=1.0).contains(&it.cold_start_weight),
        "cold_start_weight",
        "0 to 1",
    );
    let is_key_useful = !(it.require_idempotency_key && it.idempotent);
    faults.require(
        is_key_useful,
        "require_idempotency_key",
        "false when idempotent is true",
    );
}
