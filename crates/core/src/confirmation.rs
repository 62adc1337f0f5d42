//! Detects whether this VM is isolated from the rest of the fleet.
//!
//! A confirmation is contact with the platform, direct or through another member, or contact with a majority of the
//! listed VMs. A process without a confirmation for [`ISOLATED_AFTER_MS`] may not have learned that a key was
//! withdrawn, and must refuse requests with keys.

use std::collections::{HashMap, HashSet};

use crate::ids::VmName;
use crate::units::Millis;

/// Age in milliseconds of the last confirmation at which a VM counts as isolated.
pub const ISOLATED_AFTER_MS: u64 = 5_000;

/// Largest number of listed VMs for which the VMs contacted are counted one by one.
///
/// At one ping per second a process cannot contact a majority of a larger fleet within [`ISOLATED_AFTER_MS`]. There the
/// fraction of its pings that are answered serves as an estimate of the reachable part of the fleet, because pings go
/// to members in random order.
pub const COUNTED_VMS: usize = 12;

/// Minimum number of answered pings for the estimate to count as a majority.
const MIN_ANSWERED: usize = 3;

/// The fleet as this process knows it.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Entry VMs that the platform lists and that have not ended.
    pub listed: HashSet<VmName>,
    /// Number of listed VMs with a member that is alive according to the membership protocol.
    pub listed_alive: usize,
}

/// Evidence of contact, from which the time of the last confirmation follows.
#[derive(Debug)]
pub struct Confirmation {
    me: VmName,
    confirmed_at: Millis,
    last_answers: HashMap<VmName, Millis>,
    pings: Vec<(Millis, bool)>,
}

impl Confirmation {
    /// Starts with a confirmation at `now`, so that a process does not count as isolated right after its start.
    pub fn new(me: VmName, now: Millis) -> Self {
        Self {
            me,
            confirmed_at: now,
            last_answers: HashMap::new(),
            pings: Vec::new(),
        }
    }

    /// Records that the platform answered a call sent at `sent`.
    pub fn platform_answered(&mut self, sent: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Records that a member on `vm` answered a ping sent at `sent`, and that its own last confirmation was `age_ms`
    /// old.
    ///
    /// Other messages do not count, because a message may have been queued for long while this process was paused.
    pub fn answered(&mut self, vm: &VmName, age_ms: u64, sent: Millis) {
        if *vm != self.me {
            let last_answer = self.last_answers.entry(vm.clone()).or_default();
            *last_answer = sent.max(*last_answer);
        }
        self.confirmed_at = self.confirmed_at.max(sent - age_ms);
    }

    /// Records whether a ping to another VM was answered.
    pub fn ping_ended(&mut self, answered: bool, now: Millis) {
        self.pings.push((now, answered));
    }

    /// Confirms at `now` if a majority of the listed VMs answered within the last [`ISOLATED_AFTER_MS`].
    pub fn observe(&mut self, fleet: &FleetView, now: Millis) {
        self.last_answers.retain(|_, at| now.since(*at) < ISOLATED_AFTER_MS);
        self.pings.retain(|(at, _)| now.since(*at) < ISOLATED_AFTER_MS);
        if self.reaches_majority(fleet) {
            self.confirmed_at = self.confirmed_at.max(now);
        }
    }

    fn reaches_majority(&self, fleet: &FleetView) -> bool {
        let listed = fleet.listed.len();
        if listed <= COUNTED_VMS {
            let is_contacted = |vm: &&VmName| **vm == self.me || self.last_answers.contains_key(*vm);
            return fleet.listed.iter().filter(is_contacted).count() * 2 > listed;
        }
        let answered = self.pings.iter().filter(|(_, answered)| *answered).count();
        let most_answered = answered >= MIN_ANSWERED && answered * 2 > self.pings.len();
        most_answered && fleet.listed_alive * 2 > listed
    }

    /// Age of the last confirmation, in milliseconds.
    pub fn age(&self, now: Millis) -> u64 {
        now.since(self.confirmed_at)
    }

    /// Whether the last confirmation is at least [`ISOLATED_AFTER_MS`] old.
    pub fn isolated(&self, now: Millis) -> bool {
        self.age(now) >= ISOLATED_AFTER_MS
    }
}
