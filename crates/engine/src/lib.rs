//! Interface to the engines that run on backend servers, and stand-ins for them.
//!
//! The [`Engine`] trait sends orders to an engine and reads its report. [`HttpEngine`] implements it over HTTP and
//! [`StandInEngines`] within the process. [`StandInEngine`] and [`StandInService`] imitate the HTTP API of a model
//! engine and of a plain service.

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
pub use front::ServerHandle;
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
        /// The engine was not reached or is unavailable; the order had no effect.
        Unreachable(reason: String) {
            display("engine unreachable: {reason}")
        }
        /// No usable answer arrived; the order may have taken effect.
        OutcomeUnknown(reason: String) {
            display("no answer from the engine: {reason}")
        }
        /// The engine has seen a newer term than the order's; the order had no effect.
        Fenced(newest: Term) {
            display("order has an old fencing token; the newest term is {}", newest.0)
        }
        /// The engine refused the order permanently; repeating it for the same replica id never succeeds.
        Refused(reason: String) {
            display("engine refused the order: {reason}")
        }
    }
}

derive_scalar! {
    /// Phases of a request that an engine runs.
    #[serde(rename_all = "lowercase")]
    pub enum EngineRole {
        /// Prompt processing and generation.
        Mixed,
        /// Prompt processing only.
        Prefill,
        /// Generation only.
        Decode,
    }

    /// Fastest storage that holds a checkpoint.
    #[serde(rename_all = "lowercase")]
    pub enum Tier {
        /// In accelerator or host memory.
        Memory,
        /// On the backend server's disk.
        Disk,
        /// In the weight store only, from which it must be fetched.
        Remote,
    }

    /// State of a replica at an engine.
    #[serde(rename_all = "snake_case")]
    pub enum EngineReplicaState {
        /// Its memory is reserved and its load is running.
        Loading,
        /// Accepts requests, or still runs the last ones after an unload order.
        Ready,
        /// The load failed; no memory is held.
        Failed,
        /// Unloaded, or cancelled before its load order arrived. The id can never be loaded again.
        Ended,
    }
}

derive_value! {
    /// What an order asks for.
    #[serde(tag = "do", rename_all = "snake_case")]
    pub enum Action {
        /// Load a replica. Repeating the order for the same replica id has no further effect.
        Load {
            /// Model to load, or the base model of `adapter`.
            model: ModelName,
            /// Version of the checkpoint to load.
            version: u64,
            /// Adapter to load beside a ready replica of the model; `None` loads the model itself.
            adapter: Option<AdapterName>,
            /// Memory to reserve, in bytes.
            bytes: u64,
        },
        /// Unload a replica once its requests have finished. A later load order for the same id is refused.
        Unload,
        /// Change the engine's role.
        SetRole {
            /// Role after the change.
            role: EngineRole,
        },
        /// Announce the term, so that orders with an older one are refused; nothing else changes.
        Fence,
    }

    /// An order to an engine.
    pub struct Order {
        /// Replica that the order applies to; empty for orders that apply to the whole engine.
        pub replica: ReplicaId,
        /// Term of the sender, used as a fencing token: engines refuse an order with an older term than they have seen.
        pub term: Term,
        /// Engine instance that the order is meant for; any other refuses it. `None` is accepted by every instance.
        pub instance: Option<String>,
        /// What the engine must do.
        pub action: Action,
    }

    /// State of one replica in an engine's report.
    pub struct EngineReplica {
        /// Identifier from the load or unload order.
        pub replica: ReplicaId,
        /// State when the report was taken.
        pub state: EngineReplicaState,
        /// Model, or the base model of `adapter`; empty if the id was cancelled before its load order arrived.
        pub model: ModelName,
        /// Version of the loaded checkpoint.
        pub version: u64,
        /// Adapter; `None` for a replica of the model itself.
        pub adapter: Option<AdapterName>,
        /// Memory of the replica in bytes, as its load order gave it; 0 once ended.
        pub bytes: u64,
        /// Number of requests being processed.
        pub running: u32,
        /// Number of requests queued in the engine.
        pub waiting: u32,
    }

    /// A checkpoint that an engine has cached and loads faster than a remote one.
    pub struct CachedCheckpoint {
        /// Model that the checkpoint belongs to.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Fastest tier that holds it.
        pub tier: Tier,
    }

    /// An engine's report; the engine may publish it with a delay, so it can be stale.
    pub struct EngineReport {
        /// Identifier of the engine process; it changes with every restart.
        pub instance: String,
        /// Highest term of any order that the engine has accepted.
        pub term: Term,
        /// Whether the engine is about to shut down; it then refuses loads.
        pub leaving: bool,
        /// Role set by the latest `SetRole` order.
        pub role: EngineRole,
        /// Total memory for replicas, used or free, in bytes.
        pub memory_bytes: u64,
        /// Replicas, including ended ones that the engine still remembers.
        pub replicas: Vec<EngineReplica>,
        /// Checkpoints cached in memory or on disk.
        pub cached: Vec<CachedCheckpoint>,
    }
}

/// Orders to engines and reports from them.
#[async_trait]
pub trait Engine: std::fmt::Debug + Send + Sync {
    /// Sends an order and waits until the engine has accepted it, not until a load or unload has finished.
    async fn order(&self, server: SocketAddr, order: &Order) -> Result<(), EngineError>;

    /// Fetches the engine's latest published report.
    async fn report(&self, server: SocketAddr) -> Result<EngineReport, EngineError>;
}
