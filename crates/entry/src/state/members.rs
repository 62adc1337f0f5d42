//! Entry processes of the deployment, as members of the gossip.

use std::net::SocketAddr;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::succession::{LiveVm, Succession};
use rand::seq::IteratorRandom;

use super::{EntryState, now};
use crate::log_event;

/// Time without a heartbeat after which a member does not count as live. In a fleet of 300 VMs, heartbeats reach all
/// members within about six seconds.
pub(crate) const MEMBER_TIMEOUT_MS: u64 = 8_000;
/// Longest name of a region in a message, in bytes.
const MAX_REGION_BYTES: usize = 256;
/// Unit of the age in heartbeats.
pub(crate) const HEARTBEAT_AGE_UNIT_MS: u64 = 100;

derive_value! {
    /// Entry process, as registered in the store and gossiped.
    pub struct Member {
        /// VM that it runs on.
        pub vm: String,
        /// Address for other entry processes.
        pub address: SocketAddr,
        /// Start time of the process in milliseconds since the Unix epoch.
        pub incarnation: u64,
        /// Processor time of the VM in hundredths of a core.
        pub processor: u32,
    }

    /// Evidence that a process was alive, kept small because each exchange sends hundreds.
    pub struct Heartbeat {
        /// [`Member::heartbeat_key`] of the process.
        pub key: u32,
        /// Time since the last contact with the process, in tenths of a second.
        pub age: u8,
    }

    /// Coordinator as far as it is known; it may have changed since.
    pub struct CoordinatorHint {
        /// VM of the coordinator.
        pub vm: String,
        /// Address for other entry processes.
        pub address: SocketAddr,
        /// Term of the coordinator's lease.
        pub term: u64,
    }
}

impl Member {
    /// Hash of the VM and incarnation that identifies the process in heartbeats. In one of 4,000 fleets of 1,500
    /// members, two members share a key; if one of them ends, it counts as live until a call to it fails.
    pub fn heartbeat_key(&self) -> u32 {
        rendezvous::weight(&self.vm, &self.incarnation.to_string()) as u32
    }
}

/// Member, and when it was last in contact.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Member in its latest incarnation.
    pub member: Member,
    /// When it last answered or sent a heartbeat; `None` if never.
    pub last_contact: Option<Millis>,
    /// When a call to it last failed, if there was no contact with it since.
    pub last_failed: Option<Millis>,
}

impl KnownMember {
    /// Records that the member was alive at the given time.
    pub(crate) fn record_alive(&mut self, contact_at: Option<Millis>, now: Millis) {
        let was_live = self.is_live(now);
        self.last_contact = self.last_contact.max(contact_at);
        if self
            .last_failed
            .is_some_and(|it| contact_at.is_some_and(|contact_at| contact_at > it))
        {
            self.last_failed = None;
        }
        if !was_live && self.is_live(now) {
            let (vm, incarnation) = (&self.member.vm, self.member.incarnation);
            let heard_ms = self.last_contact.map_or(0, |it| now.since(it));
            log_event!(
                Event::MemberUp,
                "-",
                "member={vm} incarnation={incarnation} heard_ms_ago={heard_ms}"
            );
        }
    }

    /// Whether the member was in contact recently and no call to it has failed since.
    pub fn is_live(&self, now: Millis) -> bool {
        let is_in_contact = self.last_contact.is_some_and(|it| now.since(it) < MEMBER_TIMEOUT_MS);
        is_in_contact && self.last_failed.is_none()
    }
}

impl EntryState {
    /// Number of VMs that may take callers' requests, including this one.
    pub fn vms(&self) -> usize {
        self.view.lock().members.len() + 1
    }

    /// Records a member and when it was alive, if that is known. A later incarnation replaces an earlier one.
    pub fn record_member(&self, member: Member, contact_at: Option<Millis>) {
        if member.vm == self.settings.vm {
            return;
        }
        let at = now();
        let mut view = self.view.lock();
        let known = view.members.entry(member.vm.clone()).or_insert_with(|| KnownMember {
            member: member.clone(),
            last_contact: None,
            last_failed: None,
        });
        if member.incarnation > known.member.incarnation {
            known.member = member;
            known.last_failed = None;
        }
        known.record_alive(contact_at, at);
    }

    /// Region of this VM, as its settings state it or its zone's.
    pub fn region(&self) -> Option<&String> {
        let settings = &self.settings;
        settings
            .region
            .as_ref()
            .or_else(|| settings.regions.get(&settings.zone))
    }

    /// Records the region that a member states.
    pub fn record_region(&self, member: &Member, region: Option<String>) {
        let mut view = self.view.lock();
        if !view.members.contains_key(&member.vm) {
            return;
        }
        match region.filter(|it| it.len() <= MAX_REGION_BYTES) {
            Some(region) => view.regions.insert(member.vm.clone(), (member.incarnation, region)),
            None => view.regions.remove(&member.vm),
        };
    }

    /// Applies heartbeats; those of unknown members are ignored.
    pub fn record_heartbeats(&self, heartbeats: &[Heartbeat], now: Millis) {
        self.view.lock().record_heartbeats(heartbeats, now);
    }

    /// Heartbeats of this process and of the members that were in contact within the member timeout.
    pub fn heartbeats(&self, now: Millis) -> Vec<Heartbeat> {
        let mut heartbeats = self.view.lock().heartbeats(now);
        heartbeats.push(Heartbeat {
            key: self.as_member().heartbeat_key(),
            age: 0,
        });
        heartbeats
    }

    /// Records that a call to a member failed.
    pub fn record_member_failure(&self, address: SocketAddr, now: Millis) {
        let mut view = self.view.lock();
        for known in view.members.values_mut().filter(|it| it.member.address == address) {
            known.last_failed = Some(now);
        }
    }

    /// Removes the members for which `keep` returns false, and returns their VMs.
    pub fn retain_members(&self, keep: impl Fn(&KnownMember) -> bool) -> Vec<String> {
        let mut view = self.view.lock();
        let removed: Vec<String> = view
            .members
            .values()
            .filter(|it| !keep(it))
            .map(|it| it.member.vm.clone())
            .collect();
        for vm in &removed {
            view.regions.remove(vm);
            view.members.remove(vm);
        }
        removed
    }

    /// Other members, live or not.
    pub fn members(&self) -> Vec<KnownMember> {
        self.view.lock().members.values().cloned().collect()
    }

    /// Calls `f` with the order in which the live VMs, including this one, compete for the lease `name`.
    pub fn with_succession<R>(&self, name: &str, now: Millis, f: impl FnOnce(&Succession<'_>) -> R) -> R {
        let view = self.view.lock();
        let live = view.members.values().filter(|it| it.is_live(now));
        let live = live.map(|it| LiveVm {
            vm: &it.member.vm,
            processor: it.member.processor,
        });
        let own = LiveVm {
            vm: &self.settings.vm,
            processor: self.settings.processor,
        };
        f(&Succession::new(name, live.chain([own])))
    }

    /// Address of a live process selected at random, other than `excluded`.
    pub fn random_peer(&self, excluded: Option<SocketAddr>, now: Millis) -> Option<SocketAddr> {
        let view = self.view.lock();
        let live = view.members.values().filter(|it| it.is_live(now));
        let others = live.map(|it| it.member.address).filter(|it| Some(*it) != excluded);
        others.choose(&mut rand::rng())
    }

    /// Addresses of `count` live processes selected at random, or of all if there are at most `all_up_to`.
    pub fn random_peers(&self, count: usize, all_up_to: usize, now: Millis) -> Vec<SocketAddr> {
        let view = self.view.lock();
        let live = view.members.values().filter(|it| it.is_live(now));
        let addresses: Vec<SocketAddr> = live.map(|it| it.member.address).collect();
        if addresses.len() <= all_up_to {
            return addresses;
        }
        addresses.into_iter().choose_multiple(&mut rand::rng(), count)
    }

    /// Last known coordinator.
    pub fn coordinator(&self) -> Option<CoordinatorHint> {
        self.view.lock().coordinator.clone()
    }

    /// Records the coordinator. An earlier term never replaces a later one.
    pub fn record_coordinator(&self, hint: CoordinatorHint) {
        let mut view = self.view.lock();
        let known = view.coordinator.as_ref().map_or(0, |it| it.term);
        if hint.term < known || view.coordinator.as_ref() == Some(&hint) {
            return;
        }
        log_event!(
            Event::CoordinatorChanged,
            "-",
            "coordinator={} term={}",
            hint.vm,
            hint.term
        );
        view.coordinator = Some(hint);
        view.coordinator_since = now();
        drop(view);
        self.demand_changed.notify_one();
        self.signal_change();
    }
}
