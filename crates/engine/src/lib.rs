//! Backend servers as the system sees them: orders to engines, their reports, and forwarded calls.
//!
//! [`Engine`] is the module border for orders and reports. It has one HTTP adapter and one in-process stand-in.

use std::net::SocketAddr;

use async_trait::async_trait;
use guava_core::ids::{AdapterName, ModelName, ReplicaId, Term};
use guava_core::{derive_scalar, derive_value};
use quick_error::quick_error;

mod batch;
mod completion;
mod engine_front;
mod engines;
mod front;
mod http_engine;
mod prefix;
mod record;
mod replica;
mod service;
mod settings;
mod standin;
mod tiers;

pub use engine_front::{serve_engine, serve_engine_control};
pub use engines::StandInEngines;
pub use front::Front;
pub use http_engine::HttpEngine;
pub use prefix::{CacheEvent, CacheEventKind, CacheEvents};
pub use record::{
    EngineRecord, OrderOutcome, OrderRecord, Overcommit, ReplicaEvent, ReplicaEventKind, RequestRecord, RequestState,
};
pub use service::{CallRecord, ServiceRecord, StandInService, serve_service, serve_service_control};
pub use settings::{EngineFaults, EngineSettings};
pub use standin::StandInEngine;

quick_error! {
    /// Failure of a call to an engine.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineError {
        /// The call did not reach the engine.
        Unreachable(reason: String) {
            display("engine unreachable: {reason}")
        }
        /// No answer came; the order may have taken effect.
        OutcomeUnknown(reason: String) {
            display("no answer from the engine: {reason}")
        }
        /// The engine has seen a newer term.
        Fenced(newest: Term) {
            display("order has an old fencing token, newest is {}", newest.0)
        }
        /// The engine refused the order for good; it will never act on this replica id.
        Refused(reason: String) {
            display("engine refused the order: {reason}")
        }
    }
}

derive_scalar! {
    /// What an engine does with requests.
    #[serde(rename_all = "lowercase")]
    pub enum EngineRole {
        /// Prompt processing and generation.
        Mixed,
        /// Prompt processing only.
        Prefill,
        /// Generation only.
        Decode,
    }

    /// Where a checkpoint is cached.
    #[serde(rename_all = "lowercase")]
    pub enum Tier {
        /// In accelerator or host memory.
        Memory,
        /// On the backend server's disk.
        Disk,
        /// In the weight store only.
        Remote,
    }

    /// State of a replica at an engine.
    #[serde(rename_all = "snake_case")]
    pub enum EngineReplicaState {
        /// Being loaded.
        Loading,
        /// Serves requests.
        Ready,
        /// The load failed and holds no memory.
        Failed,
        /// Unloaded, or cancelled before its load order came; it can never be loaded again.
        Ended,
    }
}

derive_value! {
    /// What an order asks for.
    #[serde(tag = "do", rename_all = "snake_case")]
    pub enum Action {
        /// Load a replica. Repeats for the same replica id have no further effect.
        Load {
            /// Model.
            model: ModelName,
            /// Checkpoint version.
            version: u64,
            /// Adapter to load next to a ready replica of the model.
            adapter: Option<AdapterName>,
            /// Memory to take, in bytes.
            bytes: u64,
        },
        /// Unload a replica; a load order for the same id that comes later is refused.
        Unload,
        /// Change the engine's role.
        SetRole {
            /// New role.
            role: EngineRole,
        },
        /// Only announce the term.
        Fence,
    }

    /// An order to an engine.
    pub struct Order {
        /// Replica the order is about; empty for orders about the whole engine.
        pub replica: ReplicaId,
        /// Fencing number.
        pub term: Term,
        /// Instance of the engine the order is meant for, when known.
        pub instance: Option<String>,
        /// Action.
        pub action: Action,
    }

    /// A replica as its engine reports it.
    pub struct EngineReplica {
        /// Identifier.
        pub replica: ReplicaId,
        /// State.
        pub state: EngineReplicaState,
        /// Model.
        pub model: ModelName,
        /// Checkpoint version.
        pub version: u64,
        /// Adapter.
        pub adapter: Option<AdapterName>,
        /// Memory held, in bytes.
        pub bytes: u64,
        /// Requests running.
        pub running: u32,
        /// Requests waiting in the engine.
        pub waiting: u32,
    }

    /// A cached checkpoint.
    pub struct CachedCheckpoint {
        /// Model.
        pub model: ModelName,
        /// Checkpoint version.
        pub version: u64,
        /// Tier.
        pub tier: Tier,
    }

    /// An engine's report; it lags behind.
    pub struct EngineReport {
        /// Instance of the engine process; a restart has another.
        pub instance: String,
        /// Largest term seen.
        pub term: Term,
        /// Whether the engine reports that it is leaving.
        pub leaving: bool,
        /// Role.
        pub role: EngineRole,
        /// Memory in all, in bytes.
        pub memory_bytes: u64,
        /// Replicas, ended ones included while the engine remembers them.
        pub replicas: Vec<EngineReplica>,
        /// Cached checkpoints.
        pub cached: Vec<CachedCheckpoint>,
    }
}

/// Orders to engines and reports from them.
#[async_trait]
pub trait Engine: std::fmt::Debug + Send + Sync {
    /// Sends an order and waits until the engine has taken it (not until a load has finished).
    async fn order(&self, server: SocketAddr, order: &Order) -> Result<(), EngineError>;

    /// Reads the engine's report.
    async fn report(&self, server: SocketAddr) -> Result<EngineReport, EngineError>;
}
