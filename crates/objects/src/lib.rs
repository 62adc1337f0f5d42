//! Interfaces to the platform: object service, list of VMs and weight store.
//!
//! Each interface is a trait with one HTTP adapter and one in-process stand-in; callers use trait objects.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::ids::{OperationId, VmName, Zone};
use guava_core::{derive_scalar, derive_value};
use quick_error::quick_error;

pub mod client;
mod faults;
mod http_lists;
mod http_objects;
mod objects;
mod readback;
mod server;
mod vms;
mod weights;
mod wire;

pub use faults::Faults;
pub use http_lists::{HttpVmList, HttpWeightStore};
pub use http_objects::HttpObjectStore;
pub use objects::{CallCounts, MemoryObjectStore, RateLimit, VALUE_LIMIT_BYTES};
pub use readback::put_with_readback;
pub use server::{PlatformCounts, PlatformFaults, PlatformServer, StandInPlatform, serve_platform};
pub use vms::MemoryVmList;
pub use weights::{CheckpointKind, MemoryWeightStore, WeightStoreCounts, WeightStoreSpeed, checkpoint_name};

quick_error! {
    /// Failure of a call to the platform.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The precondition of a write does not hold: the current version, or `None` when the object does not exist.
        ///
        /// A read of a checkpoint that does not exist fails with `Conflict(None)` too.
        Conflict(current: Option<u64>) {
            display("version conflict, current version {current:?}")
        }
        /// The call did not reach the platform or was refused before it took effect.
        Unavailable(reason: String) {
            display("platform unavailable: {reason}")
        }
        /// No usable answer arrived; a write may have taken effect.
        OutcomeUnknown(reason: String) {
            display("no answer from the platform: {reason}")
        }
        /// The call exceeded the platform's rate limit and took no effect.
        RateLimited {
            display("platform's call rate exceeded")
        }
        /// The value is larger than the platform accepts; the write took no effect.
        TooLarge {
            display("value larger than the platform's limit")
        }
        /// The platform cannot report all changes since the version from which the watch starts; list again.
        Expired {
            display("watch version no longer kept")
        }
        /// The platform's answer could not be parsed or has an unexpected status.
        Malformed(reason: String) {
            display("malformed answer from the platform: {reason}")
        }
    }
}

derive_value! {
    /// An object as the platform stores it.
    pub struct StoredObject {
        /// Kind, which determines the schema of `spec`.
        pub kind: Kind,
        /// Name, unique within the kind.
        pub name: String,
        /// Version of the last write; unique and increasing across all objects of the platform.
        pub version: u64,
        /// Operation id of the last write, chosen by its writer; empty when the platform has none.
        pub operation: OperationId,
        /// Value, which the platform does not interpret.
        pub spec: serde_json::Value,
    }

    /// All objects of a kind at one version of the platform.
    pub struct ObjectList {
        /// Version of the platform at which the list is complete; a watch from it reports all later changes.
        pub version: u64,
        /// Objects, sorted by name.
        pub items: Vec<StoredObject>,
    }

    /// A change that a watch reports.
    pub enum Change {
        /// An object was created or replaced; holds the new object.
        Put(StoredObject),
        /// An object was deleted.
        Deleted {
            /// Kind of the deleted object.
            kind: Kind,
            /// Name of the deleted object.
            name: String,
            /// Version of the deletion, not that of the deleted object.
            version: u64,
        },
    }

    /// A VM in the platform's list, which lags behind the actual state.
    pub struct VmInfo {
        /// Name of the VM, which a replacement keeps.
        pub name: VmName,
        /// Identifier of this incarnation of the VM; a replacement has another one.
        pub instance: String,
        /// Availability zone in which the VM runs.
        pub zone: Zone,
        /// Address of the VM with the first port on which its processes listen.
        pub addr: SocketAddr,
        /// State, as of the age of the list.
        pub state: VmState,
    }

    /// A checkpoint in the weight store.
    pub struct Checkpoint {
        /// Name and version of the model or adapter, as [`checkpoint_name`] joins them.
        pub name: String,
        /// Size in bytes.
        pub bytes: u64,
    }
}

derive_scalar! {
    /// State of a VM in the platform's list.
    #[serde(rename_all = "lowercase")]
    pub enum VmState {
        /// Running.
        Live,
        /// Still running, but about to end.
        Leaving,
        /// Ended; this instance never runs again.
        Ended,
    }
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// The platform's object service.
#[async_trait]
pub trait ObjectStore: std::fmt::Debug + Send + Sync {
    /// Reads an object; `None` when it does not exist.
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError>;

    /// Lists all objects of a kind.
    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError>;

    /// Writes an object if the precondition holds and returns its new version, otherwise fails with `Conflict`.
    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError>;

    /// Deletes an object that has the given version and returns the version of the deletion, otherwise fails with
    /// `Conflict`.
    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError>;

    /// Waits up to `timeout` for changes after version `since`; returns an empty list when there are none.
    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError>;
}

/// The platform's list of VMs, both entry VMs and VMs of backend servers; it lags behind the actual state.
#[async_trait]
pub trait VmList: std::fmt::Debug + Send + Sync {
    /// Reads the whole list, which can contain VMs that have ended.
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError>;
}

/// The platform's weight store, whose rate of loads is limited.
#[async_trait]
pub trait WeightStore: std::fmt::Debug + Send + Sync {
    /// Looks up a checkpoint; `None` when the store has none of this name.
    async fn checkpoint(&self, name: &str) -> Result<Option<Checkpoint>, PlatformError>;

    /// Reads a whole checkpoint and returns its size in bytes; fails with `Conflict(None)` when it does not exist.
    async fn fetch(&self, name: &str) -> Result<u64, PlatformError>;
}
