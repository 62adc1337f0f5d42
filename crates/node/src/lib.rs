//! Process runtime shared by all programs: membership, gossip, leases, platform access, logging and health checks.
//!
//! Programs use the runtime through a [`Node`]. Its parts are trait objects, so tests can replace them with fakes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::events::{Event, EventRecord};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{Incarnation, LeaseName, MemberId, Term};
use guava_core::units::Millis;
use guava_objects::{ObjectStore, VmList};
use quick_error::quick_error;

mod antientropy;
mod bootstrap;
mod clock;
mod gossip;
mod gossip_map;
pub mod health;
pub mod health_server;
pub mod http;
pub mod intake;
mod lease_manager;
pub mod limited_server;
pub mod logging;
mod mapping;
mod members;
mod metrics;
mod peers;
mod platform;
pub mod program;
mod rpc_listener;
pub mod runtime;
mod server;
pub mod settings;
mod shared;
pub mod signal;
pub mod status;
mod timeline;
mod vms;
mod watchers;
mod wire;

pub use guava_core::membership::MemberInfo;

quick_error! {
    /// Error of a JSON-RPC call to another process of the system.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// The call had no effect: the request was not sent, or the peer had too many connections.
        Unreachable(reason: String) {
            display("peer unreachable: {reason}")
        }
        /// No response was received; the method may have run.
        OutcomeUnknown(reason: String) {
            display("no answer from peer: {reason}")
        }
        /// The peer returned a JSON-RPC error with this code and message.
        Refused(code: i32, message: String) {
            display("peer refused the call ({code}): {message}")
        }
    }
}

/// Source of time for the process.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Monotonic time, which keeps advancing while the process is paused or its VM is suspended.
    fn now(&self) -> Millis;

    /// Wall-clock time in milliseconds since the Unix epoch. It may jump, so durations must not be computed from it.
    fn wall_ms(&self) -> u64;
}

/// Cluster membership as known to this process.
pub trait Members: std::fmt::Debug + Send + Sync {
    /// This process.
    fn me(&self) -> &MemberInfo;

    /// Members not considered down, including suspected ones and this process, in order of id.
    fn live(&self) -> Vec<MemberInfo>;

    /// Whether this incarnation is proved to have ended, by the platform's VM list or by a later incarnation of the
    /// same member.
    fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool;

    /// Whether this VM has lost contact both with the platform and with the majority of the listed VMs.
    ///
    /// Also true once another process has superseded this one.
    fn isolated(&self) -> bool;
}

/// Versioned entries that gossip replicates to all members.
pub trait GossipState: std::fmt::Debug + Send + Sync {
    /// Known entry of `key`, which may be a tombstone.
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>>;

    /// All entries except tombstones.
    fn entries(&self) -> Vec<Arc<Entry>>;

    /// Merges an entry and gossips it to other members.
    ///
    /// Returns false and changes nothing when the known entry is at least as new.
    fn put(&self, entry: Entry) -> bool;

    /// Subscribes to every entry accepted after the call, tombstones included.
    ///
    /// A receiver that lags misses entries and must read [`GossipState::entries`] again.
    fn subscribe(&self) -> tokio::sync::broadcast::Receiver<Arc<Entry>>;

    /// Largest known version of the configuration objects of `kind`; the default version when none is known.
    fn newest(&self, kind: Kind) -> Version;
}

/// Leases, each held by at most one process at a time.
pub trait Leases: std::fmt::Debug + Send + Sync {
    /// Starts to compete for a lease, which is then acquired and renewed until shutdown.
    ///
    /// Has no effect when the process competes for it already or is shutting down.
    fn compete(&self, name: &LeaseName);

    /// Term under which this process holds the lease and may act now; `None` when it must not act as the holder.
    fn held(&self, name: &LeaseName) -> Option<Term>;

    /// Last known holder, whether it is alive or not; `None` when none is known or the lease was released.
    fn holder(&self, name: &LeaseName) -> Option<MemberId>;
}

/// JSON-RPC calls to other processes of the system.
#[async_trait]
pub trait Peers: std::fmt::Debug + Send + Sync {
    /// Calls `method` at `member`. `params` is a JSON object of named parameters.
    ///
    /// A call without a response within `timeout` fails with [`PeerError::OutcomeUnknown`].
    async fn call(
        &self,
        member: &MemberInfo,
        method: &str,
        params: serde_json::Value,
        timeout: Duration,
    ) -> Result<serde_json::Value, PeerError>;
}

/// Events of this process, which are logged and kept in memory for the time line.
pub trait Timeline: std::fmt::Debug + Send + Sync {
    /// Records an event; `detail` must not contain a caller's key.
    fn record(&self, event: Event, request: Option<&str>, model: Option<&str>, detail: &str);

    /// Events kept in memory, oldest first. `None` matches every request or model.
    fn events(&self, request: Option<&str>, model: Option<&str>) -> Vec<EventRecord>;
}

/// Handles to the parts of the runtime that a program uses.
#[derive(Debug, Clone)]
pub struct Node {
    /// Monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Known members, this process included.
    pub members: Arc<dyn Members>,
    /// Entries replicated to all members.
    pub gossip: Arc<dyn GossipState>,
    /// JSON-RPC calls to other members.
    pub peers: Arc<dyn Peers>,
    /// Leases this process competes for.
    pub leases: Arc<dyn Leases>,
    /// Event log of this process.
    pub timeline: Arc<dyn Timeline>,
    /// Object service of the platform.
    pub store: Arc<dyn ObjectStore>,
    /// VM list of the platform.
    pub vms: Arc<dyn VmList>,
    /// Becomes true when a graceful shutdown starts.
    pub shutdown: tokio::sync::watch::Receiver<bool>,
}
