//! Configuration objects that operators edit.
//!
//! Each object lives under its own key in the platform's object service and reaches every process through the state
//! spread. `check` tells all faults of an object at once; the administration API refuses an object that has any.

use std::net::SocketAddr;

use crate::ids::{AdapterName, KeyId, ModelName, OrganisationName, PoolName, ProfileName, RouteName, ServerName, Zone};

derive_value! {
    /// How quickly a model must answer, how much it may hold and whether requests are idempotent.
    #[serde(deny_unknown_fields)]
    pub struct Profile {
        /// Name chosen by the operator.
        pub name: ProfileName,
        /// Longest wait for the first token when a replica is ready, in milliseconds.
        pub first_token_ms: u64,
        /// Longest wait for the first token when a replica must be loaded, in milliseconds.
        pub cold_start_ms: u64,
        /// Longest total duration of a request, in milliseconds.
        pub timeout_ms: u64,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Whether a request must carry an `Idempotency-Key`.
        #[serde(default)]
        pub require_idempotency_key: bool,
        /// Whether requests are accepted as jobs and answered later.
        #[serde(default)]
        pub deferred: bool,
        /// Order within an organisation's queue; larger goes first.
        #[serde(default)]
        pub priority: u8,
        /// Most replicas of one model that requests of this profile may cause.
        #[serde(default = "default_max_replicas")]
        pub max_replicas: u32,
        /// Longest queue of one organisation for one model at one router, in requests.
        #[serde(default = "default_queue_limit")]
        pub queue_limit: u32,
        /// Largest output reserved when the request names none, in tokens.
        #[serde(default = "default_max_output_tokens")]
        pub max_output_tokens: u64,
        /// Weight of cold starts against wrongful refusals in load order, 0 to 1.
        #[serde(default = "default_cold_start_weight")]
        pub cold_start_weight: f64,
    }

    /// A model that can be loaded.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Name callers use.
        pub name: ModelName,
        /// Pool whose backend servers may load it.
        pub pool: PoolName,
        /// Checkpoint version to serve.
        #[serde(default = "default_version")]
        pub version: u64,
        /// Memory one replica needs, in bytes.
        pub bytes: u64,
        /// Profile used when a request names none.
        pub profile: ProfileName,
        /// Replicas to keep loaded when there are no requests.
        #[serde(default)]
        pub min_replicas: u32,
        /// Concurrent requests one replica serves without waiting.
        #[serde(default = "default_slots")]
        pub slots: u32,
    }

    /// A low-rank adapter of a model.
    #[serde(deny_unknown_fields)]
    pub struct Adapter {
        /// Name callers use as the model name.
        pub name: AdapterName,
        /// Model it applies to.
        pub model: ModelName,
        /// Adapter version to serve.
        #[serde(default = "default_version")]
        pub version: u64,
        /// Memory it needs next to a replica, in bytes.
        pub bytes: u64,
    }

    /// A tenant with its rate, burst and weight.
    #[serde(deny_unknown_fields)]
    pub struct Organisation {
        /// Name chosen by the operator.
        pub name: OrganisationName,
        /// Tokens a second over all VMs together.
        pub rate: u64,
        /// Tokens that may be used at once over all VMs together.
        pub burst: u64,
        /// Share in fair queuing relative to other organisations.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }

    /// A caller's key: only its keyed hash is stored.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Public part.
        pub id: KeyId,
        /// Organisation it belongs to.
        pub organisation: OrganisationName,
        /// Hexadecimal HMAC-SHA-256 of the secret under the deployment's pepper.
        pub hash: String,
        /// Whether the key has been withdrawn.
        #[serde(default)]
        pub withdrawn: bool,
    }

    /// A backend server: a runner with an engine, or a plain service.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// Name chosen by the operator.
        pub name: ServerName,
        /// Address of its HTTP port.
        pub addr: SocketAddr,
        /// Availability zone.
        pub zone: Zone,
        /// Pool it belongs to.
        pub pool: PoolName,
        /// Memory for replicas and adapters, in bytes.
        #[serde(default)]
        pub memory_bytes: u64,
        /// Whether its engine refuses an order with an old fencing token.
        #[serde(default)]
        pub checks_fence: bool,
        /// Whether its engine forgets cancelled replica ids.
        #[serde(default)]
        pub forgets_orders: bool,
        /// Whether it is being drained.
        #[serde(default)]
        pub draining: bool,
    }

    /// A group of backend servers managed by one plan.
    #[serde(deny_unknown_fields)]
    pub struct Pool {
        /// Name chosen by the operator.
        pub name: PoolName,
        /// Loads a second that the weight store allows.
        #[serde(default = "default_loads_per_second")]
        pub loads_per_second: f64,
        /// Loads at once at full speed.
        #[serde(default = "default_loads_at_once")]
        pub loads_at_once: u32,
        /// Adapter loads in flight across all runners at full speed.
        #[serde(default = "default_adapter_loads_at_once")]
        pub adapter_loads_at_once: u32,
    }

    /// A route to plain services.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// Name in the path `/svc/<name>/...`.
        pub name: RouteName,
        /// Pool whose backend servers answer.
        pub pool: PoolName,
        /// Whether callers need no key.
        #[serde(default)]
        pub open: bool,
        /// Methods whose calls may be repeated; others run at most once.
        #[serde(default = "default_idempotent_methods")]
        pub idempotent_methods: Vec<String>,
        /// Tokens that one call costs.
        #[serde(default = "default_call_tokens")]
        pub call_tokens: u64,
        /// Longest duration of a call, in milliseconds.
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
    /// Kind of an object in the platform's object service.
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
        /// Lease of divided work.
        Lease,
        /// Plan of a pool.
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
    /// Kinds that operators edit.
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

    /// Plural resource name in the platform's API.
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

    /// Kind with the given plural resource name.
    pub fn from_plural(plural: &str) -> Option<Self> {
        let own = [Self::Lease, Self::Plan, Self::Shares, Self::Idempotency, Self::Job];
        Self::CONFIG.into_iter().chain(own).find(|kind| kind.plural() == plural)
    }
}

/// A fault in a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Field at fault.
    pub field: String,
    /// Accepted range or shape.
    pub accepted: String,
}

/// Collects the faults of one object.
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

/// Whether `text` is an accepted object name.
pub fn is_name(text: &str) -> bool {
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let all_allowed = text.chars().all(|c| c.is_ascii_alphanumeric() || ".-_:/".contains(c));
    starts_well && all_allowed && text.len() <= 128
}

/// A configuration object of any kind.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "lowercase")]
pub enum Object {
    /// Profile.
    Profile(Profile),
    /// Model.
    Model(Model),
    /// Adapter.
    Adapter(Adapter),
    /// Organisation.
    Organisation(Organisation),
    /// Key.
    Key(Key),
    /// Backend server.
    Server(BackendServer),
    /// Pool.
    Pool(Pool),
    /// Route.
    Route(Route),
}

impl Object {
    /// Parses the JSON `spec` of an object of `kind`.
    ///
    /// # Errors
    ///
    /// Returns the parser's message when the JSON does not have the shape of `kind`.
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

    /// JSON of the object without its kind.
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

    /// Kind of the object.
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

    /// Name under which the object is stored.
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

    /// All faults of the object's values; empty when it is acceptable.
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
    let key_is_useful = !(it.require_idempotency_key && it.idempotent);
    faults.require(
        key_is_useful,
        "require_idempotency_key",
        "false when idempotent is true",
    );
}
