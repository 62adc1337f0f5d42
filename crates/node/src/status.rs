//! Result of the JSON-RPC method `status`, which a process returns about itself.

use std::collections::BTreeMap;

use guava_core::derive_value;
use guava_core::gossip_entry::Version;
use guava_core::ids::{Incarnation, LeaseName, MemberId, Term, Zone};
use guava_core::membership::Standing;

derive_value! {
    /// Status of a process.
    pub struct Status {
        /// Identifier of the process.
        pub member: MemberId,
        /// Incarnation of the process; grows with each restart.
        pub incarnation: Incarnation,
        /// Availability zone of the process.
        pub zone: Zone,
        /// Whether the process is ready to take requests.
        pub ready: bool,
        /// Whether the VM is isolated, or the process has been superseded by another one.
        pub isolated: bool,
        /// Time since the last confirmed contact with the platform or a majority of VMs, in milliseconds.
        pub confirmation_age_ms: u64,
        /// Largest known version of configuration objects, by plural name of the kind.
        pub newest: BTreeMap<String, Version>,
        /// Number of replicated entries, tombstones included.
        pub entries: usize,
        /// Digest of all entries; equal digests mean equal state.
        pub digest: u64,
        /// Known members, those considered down and this process included.
        pub members: Vec<MemberStatus>,
        /// Leases under which the process may act now.
        pub leases: Vec<LeaseStatus>,
    }

    /// State of a member as seen by the process that returns the status.
    pub struct MemberStatus {
        /// Identifier of the member.
        pub id: MemberId,
        /// Latest known incarnation of the member.
        pub incarnation: Incarnation,
        /// Availability zone of the member.
        pub zone: Zone,
        /// Whether the member is considered alive, suspect or down.
        pub standing: Standing,
    }

    /// A lease that is held.
    pub struct LeaseStatus {
        /// Name of the lease.
        pub name: LeaseName,
        /// Term under which it is held.
        pub term: Term,
    }
}

impl Status {
    /// Plural names of the kinds of which the process knows only a version older than in `newest`, or none.
    pub fn outdated(&self, newest: &BTreeMap<String, Version>) -> Vec<String> {
        let is_outdated = |kind: &str, version: &Version| self.newest.get(kind).is_none_or(|known| known < version);
        newest
            .iter()
            .filter(|(kind, version)| is_outdated(kind, version))
            .map(|(kind, _)| kind.clone())
            .collect()
    }
}
