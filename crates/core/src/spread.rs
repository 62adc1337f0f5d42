//! Versioned entries that every process receives.
//!
//! Configuration, holders of quota shares, placements and leaving notices travel as entries. Merging keeps the entry
//! with the larger version, so entries may arrive late, repeated or crossed and never revert.

use crate::config::Kind;
use crate::ids::{LeaseName, MemberId, PoolName, ServerName, Term};

derive_scalar! {
    /// Version of an entry; only ever grows.
    ///
    /// Configuration uses term zero and the platform's object version; placements use the term of the pool's lease
    /// and the plan's sequence number.
    #[derive(Default)]
    pub struct Version {
        /// Term of the writer.
        pub term: Term,
        /// Order of writes within the term.
        pub sequence: u64,
    }
}

/// Key of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum EntryKey {
    /// Configuration object of a kind and name.
    Config(Kind, String),
    /// Holders of an organisation's quota shares, by organisation name.
    Shares(String),
    /// Replicas of a model or adapter in a pool, by the name callers use.
    Placement(PoolName, String),
    /// Notice that a backend server is leaving.
    Leaving(ServerName),
    /// Notice that an incarnation of a member, and all earlier ones, have ended: term zero, the incarnation as sequence.
    Ended(MemberId),
    /// Holder of a lease: its lease term, and sequence 1 once it has been given back.
    Lease(LeaseName),
}

/// A versioned value. An empty value is a tombstone.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Key.
    pub key: EntryKey,
    /// Version.
    pub version: Version,
    /// JSON of the value; empty for a deletion.
    pub value: Vec<u8>,
}
