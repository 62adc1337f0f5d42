//! Whether this VM is isolated.
//!
//! A process that has had contact neither with the platform (itself or through other members) nor with a majority of
//! the listed VMs for [`ISOLATED_AFTER_MS`] cannot know that a key was withdrawn and must refuse keyed requests.

use std::collections::{HashMap, HashSet};

use crate::ids::VmName;
use crate::units::Millis;

/// Time without any contact after which a VM is isolated.
pub const ISOLATED_AFTER_MS: u64 = 5_000;

/// Number of listed VMs up to which contact with a majority is counted VM by VM.
///
/// With one ping a second a process cannot reach more VMs within [`ISOLATED_AFTER_MS`]; above this number the answered
/// share of its pings, which go to members in random order, estimates the reachable share of the fleet.
pub const COUNTED_VMS: usize = 12;

/// Fewest answered pings that an estimate is based on.
const MIN_ANSWERED: usize = 3;

/// View of the fleet at one moment.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Entry VMs that the platform lists as not ended.
    pub listed: HashSet<VmName>,
    /// Of these, VMs with a member that is believed alive.
    pub believed_alive: usize,
}

/// Evidence of contact.
#[derive(Debug)]
pub struct Confirmation {
    me: VmName,
    confirmed: Millis,
    heard: HashMap<VmName, Millis>,
    pings: Vec<(Millis, bool)>,
}

impl Confirmation {
    /// Starts without any contact; the process counts as just confirmed so that a start is not an isolation.
    pub fn new(me: VmName, now: Millis) -> Self {
        Self {
            me,
            confirmed: now,
            heard: HashMap::new(),
            pings: Vec::new(),
        }
    }

    /// Notes an answer of the platform to a call that was sent at `sent`.
    pub fn platform_answered(&mut self, sent: Millis) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Notes the answer of a member on `vm`, whose own last confirmation was `age_ms` ago, to a ping sent at `sent`.
    ///
    /// Only answers count: a message that was waiting while this process was paused says nothing about the present.
    pub fn answered(&mut self, vm: &VmName, age_ms: u64, sent: Millis) {
        if *vm != self.me {
            let heard = self.heard.entry(vm.clone()).or_default();
            *heard = sent.max(*heard);
        }
        self.confirmed = self.confirmed.max(sent - age_ms);
    }

    /// Notes the outcome of a ping to another VM.
    pub fn ping_ended(&mut self, answered: bool, now: Millis) {
        self.pings.push((now, answered));
    }

    /// Applies the rule of the majority.
    pub fn observe(&mut self, fleet: &FleetView, now: Millis) {
        self.heard.retain(|_, at| now.since(*at) < ISOLATED_AFTER_MS);
        self.pings.retain(|(at, _)| now.since(*at) < ISOLATED_AFTER_MS);
        if self.reaches_majority(fleet) {
            self.confirmed = self.confirmed.max(now);
        }
    }

    fn reaches_majority(&self, fleet: &FleetView) -> bool {
        let listed = fleet.listed.len();
        if listed <= COUNTED_VMS {
            let reached = |vm: &&VmName| **vm == self.me || self.heard.contains_key(*vm);
            return fleet.listed.iter().filter(reached).count() * 2 > listed;
        }
        let answered = self.pings.iter().filter(|(_, answered)| *answered).count();
        let most_answered = answered >= MIN_ANSWERED && answered * 2 > self.pings.len();
        most_answered && fleet.believed_alive * 2 > listed
    }

    /// Age of the last confirmation.
    pub fn age(&self, now: Millis) -> u64 {
        now.since(self.confirmed)
    }

    /// Whether the last confirmation is too old.
    pub fn isolated(&self, now: Millis) -> bool {
        self.age(now) >= ISOLATED_AFTER_MS
    }
}
