//! Versioned entries that are replicated to every process by gossip.
//!
//! Configuration, quota share holders, placements, leases and notices of servers that leave and processes that have
//! ended are published as entries. A merge keeps the entry with the larger version, so late, repeated or reordered
//! entries never revert a newer value.

use crate::config::Kind;
use crate::ids::{LeaseName, MemberId, PoolName, ServerName, Term};

derive_scalar! {
    /// Version of an entry. Every write uses a larger one; terms are compared first.
    ///
    /// Configuration uses term zero and the platform's object version; placements use the term of the pool's lease
    /// and the plan's sequence number.
    #[derive(Default)]
    pub struct Version {
        /// Lease term of the writer; zero for configuration.
        pub term: Term,
        /// Sequence number of the write within the term.
        pub sequence: u64,
    }
}

/// Key of an entry: the kind of state and its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum EntryKey {
    /// Configuration object, by kind and name.
    Config(Kind, String),
    /// Holders of an organisation's quota shares, by organisation name.
    Shares(String),
    /// Replicas of a model or adapter in a pool, by pool and the name callers use.
    Placement(PoolName, String),
    /// Notice that a backend server is leaving.
    Leaving(ServerName),
    /// Notice that an incarnation of a member and all earlier ones have ended. Its version has term zero and the
    /// incarnation as sequence.
    Ended(MemberId),
    /// Holder of a lease. Its version has the lease's term, and sequence 1 once the lease has been released.
    Lease(LeaseName),
}

/// A key with its versioned value. An empty value is a tombstone: the key was deleted.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Key, which selects the type of the value.
    pub key: EntryKey,
    /// Version, by which a merge decides.
    pub version: Version,
    /// Value as JSON; empty for a tombstone.
    pub value: Vec<u8>,
}
