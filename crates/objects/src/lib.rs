//! The platform as the system sees it: object service, list of VMs and weight store.
//!
//! The traits here are the module border. Each has one HTTP adapter and one in-process stand-in, and callers hold
//! them as trait objects.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::ids::{OperationId, VmName, Zone};
use guava_core::{derive_scalar, derive_value};
use quick_error::quick_error;

pub mod client;
mod faults;
mod front;
mod http_lists;
mod http_objects;
mod objects;
mod recover;
mod vms;
mod weights;
mod wire;

pub use faults::Faults;
pub use front::{PlatformCounts, PlatformFaults, PlatformFront, StandInPlatform, serve_platform};
pub use http_lists::{HttpVmList, HttpWeightStore};
pub use http_objects::HttpObjectStore;
pub use objects::{CallCounts, MemoryObjectStore, RateLimit, VALUE_LIMIT_BYTES};
pub use recover::put_with_readback;
pub use vms::MemoryVmList;
pub use weights::{CheckpointKind, MemoryWeightStore, WeightStoreRecord, WeightStoreSpeed, checkpoint_name};

quick_error! {
    /// Failure of a call to the platform.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The expected version is not the current one; `None` when the object does not exist.
        Conflict(current: Option<u64>) {
            display("version conflict, current version {current:?}")
        }
        /// The call did not reach the platform or was refused before it took effect.
        Unavailable(reason: String) {
            display("platform unavailable: {reason}")
        }
        /// No answer came; a write may have taken effect.
        OutcomeUnknown(reason: String) {
            display("no answer from the platform: {reason}")
        }
        /// The platform's call rate is exceeded; the call took no effect.
        RateLimited {
            display("platform's call rate exceeded")
        }
        /// The value is larger than the platform's limit.
        TooLarge {
            display("value larger than the platform's limit")
        }
        /// The watch starts at a version that the platform no longer keeps.
        Expired {
            display("watch version no longer kept")
        }
        /// The platform's answer could not be understood.
        Malformed(reason: String) {
            display("malformed answer from the platform: {reason}")
        }
    }
}

derive_value! {
    /// An object with its version.
    pub struct StoredObject {
        /// Kind.
        pub kind: Kind,
        /// Name.
        pub name: String,
        /// Version, unique and growing over all objects of the platform.
        pub version: u64,
        /// Operation id of the last write.
        pub operation: OperationId,
        /// Value.
        pub spec: serde_json::Value,
    }

    /// All objects of a kind at one version of the platform.
    pub struct ObjectList {
        /// Version of the list; a watch continues from here.
        pub version: u64,
        /// Objects in order of name.
        pub items: Vec<StoredObject>,
    }

    /// A change seen by a watch.
    pub enum Change {
        /// An object was created or replaced.
        Put(StoredObject),
        /// An object was deleted.
        Deleted {
            /// Kind.
            kind: Kind,
            /// Name.
            name: String,
            /// Version of the deletion.
            version: u64,
        },
    }

    /// A VM in the platform's list. The list lags behind.
    pub struct VmInfo {
        /// Name of the VM.
        pub name: VmName,
        /// Identifier of this life of the VM; a replacement has another.
        pub instance: String,
        /// Availability zone.
        pub zone: Zone,
        /// Address of its first port.
        pub addr: SocketAddr,
        /// State.
        pub state: VmState,
    }

    /// A checkpoint in the weight store.
    pub struct Checkpoint {
        /// Name and version of the model or adapter.
        pub name: String,
        /// Size in bytes.
        pub bytes: u64,
    }
}

derive_scalar! {
    /// State of a VM in the platform's list.
    #[serde(rename_all = "lowercase")]
    pub enum VmState {
        /// Runs.
        Live,
        /// Will end soon.
        Leaving,
        /// Has ended and never returns under this instance.
        Ended,
    }
}

/// Condition of a write.
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
    /// Reads an object.
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError>;

    /// Lists the objects of a kind.
    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError>;

    /// Writes an object under a condition and returns its new version.
    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError>;

    /// Deletes an object of the given version and returns the version of the deletion.
    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError>;

    /// Waits up to `timeout` for changes after version `since`; no change gives an empty list.
    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError>;
}

/// The platform's lagging list of VMs: both entry VMs and the VMs of backend servers.
#[async_trait]
pub trait VmList: std::fmt::Debug + Send + Sync {
    /// Reads the list.
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError>;
}

/// The rate-limited weight store.
#[async_trait]
pub trait WeightStore: std::fmt::Debug + Send + Sync {
    /// Describes a checkpoint, or `None` when the store has none of this name.
    async fn checkpoint(&self, name: &str) -> Result<Option<Checkpoint>, PlatformError>;

    /// Reads a checkpoint and returns its size when all of it has been read.
    async fn fetch(&self, name: &str) -> Result<u64, PlatformError>;
}
