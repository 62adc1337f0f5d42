//! Process runtime: what every program of the system needs besides its own job.
//!
//! Programs hold the runtime as a [`Node`]; its parts are trait objects, so that the logic of a program can be tested
//! with small fakes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::events::{Event, EventRecord};
use guava_core::ids::{Incarnation, LeaseName, MemberId, Term};
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::units::Millis;
use guava_objects::{ObjectStore, VmList};
use quick_error::quick_error;

mod antientropy;
mod bootstrap;
mod clock;
mod gossip;
pub mod health;
pub mod health_server;
pub mod http;
mod lease_manager;
pub mod logging;
mod members;
mod metrics;
mod peers;
mod platform;
pub mod program;
pub mod runtime;
mod server;
pub mod settings;
mod shared;
pub mod signal;
mod spread;
pub mod status;
mod timeline;
mod vms;
mod watchers;
mod wire;

pub use guava_core::membership::MemberInfo;

quick_error! {
    /// Failure of a call to another process of the system.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// The call did not reach the peer.
        Unreachable(reason: String) {
            display("peer unreachable: {reason}")
        }
        /// No answer came; the call may have taken effect.
        OutcomeUnknown(reason: String) {
            display("no answer from peer: {reason}")
        }
        /// The peer refused the call.
        Refused(code: i32, message: String) {
            display("peer refused the call ({code}): {message}")
        }
    }
}

/// Clock of the process.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Monotonic time; it goes on while the process is paused.
    fn now(&self) -> Millis;

    /// Wall time in milliseconds since the epoch, for people only.
    fn wall_ms(&self) -> u64;
}

/// Members that this process believes to be alive.
pub trait Members: std::fmt::Debug + Send + Sync {
    /// This process.
    fn me(&self) -> &MemberInfo;

    /// Members not believed down, this process included, in order of id.
    fn live(&self) -> Vec<MemberInfo>;

    /// Whether this incarnation is proved to have ended: by the platform's list or by a later incarnation.
    fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool;

    /// Whether this VM has lost contact with the platform and with the majority of the other VMs.
    fn isolated(&self) -> bool;
}

/// State spread to all members.
pub trait Spread: std::fmt::Debug + Send + Sync {
    /// Entry with its version; tombstones included.
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>>;

    /// All entries, tombstones left out.
    fn entries(&self) -> Vec<Arc<Entry>>;

    /// Merges an entry and spreads it when it is newer than the known one.
    fn put(&self, entry: Entry) -> bool;

    /// Receives every entry that becomes known from now on.
    ///
    /// A receiver that lags must read [`Spread::entries`] again.
    fn subscribe(&self) -> tokio::sync::broadcast::Receiver<Arc<Entry>>;

    /// Largest version of configuration of `kind` known here.
    fn newest(&self, kind: Kind) -> Version;
}

/// Leases on divided work.
pub trait Leases: std::fmt::Debug + Send + Sync {
    /// Starts to compete for a lease; the manager acquires and renews it from now on.
    fn compete(&self, name: &LeaseName);

    /// Term under which this process holds the lease and may act now.
    fn held(&self, name: &LeaseName) -> Option<Term>;

    /// Holder as last seen in the platform, whether it is alive or not.
    fn holder(&self, name: &LeaseName) -> Option<MemberId>;
}

/// JSON-RPC calls to other processes of the system.
#[async_trait]
pub trait Peers: std::fmt::Debug + Send + Sync {
    /// Calls `method` at `member`; `params` is a JSON object of named parameters.
    async fn call(
        &self,
        member: &MemberInfo,
        method: &str,
        params: serde_json::Value,
        timeout: Duration,
    ) -> Result<serde_json::Value, PeerError>;
}

/// Events of this process, for the log and the time line.
pub trait Timeline: std::fmt::Debug + Send + Sync {
    /// Records an event; `detail` must not contain a caller's key.
    fn record(&self, event: Event, request: Option<&str>, model: Option<&str>, detail: &str);

    /// Recorded events that match, oldest first.
    fn events(&self, request: Option<&str>, model: Option<&str>) -> Vec<EventRecord>;
}

/// Parts of the runtime that a program uses.
#[derive(Debug, Clone)]
pub struct Node {
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Members.
    pub members: Arc<dyn Members>,
    /// State spread.
    pub spread: Arc<dyn Spread>,
    /// Calls to other members.
    pub peers: Arc<dyn Peers>,
    /// Leases.
    pub leases: Arc<dyn Leases>,
    /// Time line.
    pub timeline: Arc<dyn Timeline>,
    /// The platform's object service.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Becomes true when a graceful shutdown starts.
    pub shutdown: tokio::sync::watch::Receiver<bool>,
}
