//! What a process tells about itself: the answer of the JSON-RPC method `status`.

use std::collections::BTreeMap;

use guava_core::derive_value;
use guava_core::ids::{Incarnation, LeaseName, MemberId, Term, Zone};
use guava_core::membership::Standing;
use guava_core::spread::Version;

derive_value! {
    /// Status of a process.
    pub struct Status {
        /// Process.
        pub member: MemberId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its availability zone.
        pub zone: Zone,
        /// Whether it takes requests.
        pub ready: bool,
        /// Whether its VM is isolated.
        pub isolated: bool,
        /// Age of its last confirmation in milliseconds.
        pub confirmation_age_ms: u64,
        /// Largest version of configuration by plural name of the kind.
        pub newest: BTreeMap<String, Version>,
        /// Entries, tombstones included.
        pub entries: usize,
        /// Digest of all entries; equal digests mean equal state.
        pub digest: u64,
        /// Members that it has seen, itself included.
        pub members: Vec<MemberStatus>,
        /// Leases that it holds.
        pub leases: Vec<LeaseStatus>,
    }

    /// Belief about a member.
    pub struct MemberStatus {
        /// Member.
        pub id: MemberId,
        /// Incarnation.
        pub incarnation: Incarnation,
        /// Availability zone.
        pub zone: Zone,
        /// State.
        pub standing: Standing,
    }

    /// A lease that is held.
    pub struct LeaseStatus {
        /// Lease.
        pub name: LeaseName,
        /// Term.
        pub term: Term,
    }
}

impl Status {
    /// Kinds of which the process does not have `newest` in force, by plural name.
    pub fn outdated(&self, newest: &BTreeMap<String, Version>) -> Vec<String> {
        let is_outdated = |kind: &str, version: &Version| self.newest.get(kind).is_none_or(|known| known < version);
        newest
            .iter()
            .filter(|(kind, version)| is_outdated(kind, version))
            .map(|(kind, _)| kind.clone())
            .collect()
    }
}
