//! Table of members: their states as known here, proofs that incarnations have ended, and whether this VM is isolated.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use guava_core::confirmation::{Confirmation, FleetView};
use guava_core::ids::{Incarnation, MemberId, VmName};
use guava_core::membership::{Body, MemberEvent, MemberInfo, MemberState, Membership, Message, Output};
use guava_core::termination::{ListedVm, Terminations};
use guava_core::units::Millis;
use parking_lot::Mutex;

use crate::{Clock, Members};

/// Names of the members among which this process is ranked for leases and watches.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Incremented when a name is added or removed, so that rankings are recomputed only then. Zero before the first
    /// use.
    pub(crate) generation: u64,
    /// Live members with this process's role, this process included.
    pub(crate) same_role: Vec<String>,
    /// Live members in this process's availability zone, this process excluded.
    pub(crate) same_zone: Vec<String>,
}

/// Membership, proofs of ended incarnations and last confirmation, as known to this process.
#[derive(Debug)]
pub(crate) struct MemberTable {
    me: MemberInfo,
    clock: Arc<dyn Clock>,
    membership: Mutex<Membership>,
    terminations: Mutex<Terminations>,
    /// When this VM's contact with the platform or with a majority of the listed VMs was last confirmed.
    confirmation: Mutex<Confirmation>,
    /// Entry VMs, which are all VMs other than those of backend servers, that the platform lists as not ended.
    entry_vms: Mutex<HashSet<VmName>>,
    /// Incremented whenever the known state of a member changes.
    epoch: AtomicU64,
    /// Candidates with the epoch for which they were computed.
    candidates: Mutex<(u64, Arc<Candidates>)>,
    superseded: AtomicBool,
}

impl MemberTable {
    pub(crate) fn new(me: MemberInfo, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            membership: Mutex::new(Membership::new(me.clone(), now)),
            terminations: Mutex::default(),
            confirmation: Mutex::new(Confirmation::new(me.id.vm.clone(), now)),
            entry_vms: Mutex::default(),
            epoch: AtomicU64::new(1),
            candidates: Mutex::default(),
            superseded: AtomicBool::new(false),
            me,
            clock,
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Candidates for leases and watches, recomputed at most once per epoch.
    pub(crate) fn candidates(&self) -> Arc<Candidates> {
        let epoch = self.epoch();
        let mut cached = self.candidates.lock();
        if cached.0 != epoch {
            let (same_role, same_zone) = self.candidate_names();
            // A suspicion or a restart advances the epoch without changing the names.
            if cached.1.generation == 0 || cached.1.same_role != same_role || cached.1.same_zone != same_zone {
                let generation = cached.1.generation + 1;
                cached.1 = Arc::new(Candidates {
                    generation,
                    same_role,
                    same_zone,
                });
            }
            cached.0 = epoch;
        }
        Arc::clone(&cached.1)
    }

    /// Names of the live members with the same role and of those in the same availability zone.
    fn candidate_names(&self) -> (Vec<String>, Vec<String>) {
        let me = &self.me;
        let membership = self.membership.lock();
        let (mut same_role, mut same_zone) = (vec![me.id.to_string()], Vec::new());
        for member in membership.others() {
            if member.id.role == me.id.role {
                same_role.push(member.id.to_string());
            }
            if member.zone == me.zone {
                same_zone.push(member.id.to_string());
            }
        }
        (same_role, same_zone)
    }

    pub(crate) fn others(&self) -> Vec<MemberInfo> {
        self.membership.lock().others().cloned().collect()
    }

    pub(crate) fn other_addrs(&self) -> Vec<SocketAddr> {
        self.membership.lock().others().map(|it| it.gossip_addr).collect()
    }

    pub(crate) fn find(&self, id: &MemberId) -> Option<MemberInfo> {
        self.membership.lock().state(id).map(|it| it.member.clone())
    }

    pub(crate) fn states(&self) -> Vec<MemberState> {
        self.membership.lock().states()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.membership.lock().digest()
    }

    /// Time since contact with the platform or with a majority of the listed VMs was last confirmed, in milliseconds.
    pub(crate) fn confirmation_age(&self) -> u64 {
        self.confirmation.lock().age(self.clock.now())
    }

    /// Records an answer of the platform to a call that was sent at `sent`.
    pub(crate) fn platform_answered(&self, sent: Millis) {
        self.confirmation.lock().platform_answered(sent);
    }

    /// Whether another process has this identifier and a later incarnation, or this incarnation was declared ended.
    pub(crate) fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Acquire)
    }

    /// Latest known incarnation of `id`, whether it has ended or not.
    pub(crate) fn latest_incarnation(&self, id: &MemberId) -> Option<Incarnation> {
        if *id == self.me.id {
            return Some(self.me.incarnation);
        }
        self.terminations.lock().latest(id)
    }

    /// Advances the timers of the membership protocol; `eager` pings several members per period.
    pub(crate) fn tick(&self, eager: bool) -> Output {
        let mut rng = rand::rng();
        let out = self.membership.lock().tick(eager, self.clock.now(), &mut rng);
        self.apply_events(out)
    }

    pub(crate) fn ping(&self, id: &MemberId) -> Output {
        let mut out = Output::default();
        self.membership.lock().ping(id, self.clock.now(), &mut out);
        out
    }

    pub(crate) fn ping_seed(&self, addr: SocketAddr) -> Output {
        let mut out = Output::default();
        self.membership.lock().ping_seed(addr, &mut out);
        out
    }

    /// Discards pending pings and restarts suspicion time-outs after a pause of this process, in which it read no
    /// messages.
    pub(crate) fn resume_after_pause(&self) {
        self.membership.lock().resume(self.clock.now());
    }

    /// Messages that notify some members that this process is leaving.
    pub(crate) fn leave(&self) -> Output {
        self.membership.lock().leave(&mut rand::rng())
    }

    /// Handles a message whose sender had its last confirmation `age_ms` milliseconds ago.
    pub(crate) fn receive(&self, message: Message, age_ms: u64) -> Output {
        let now = self.clock.now();
        let vm = message.from.id.vm.clone();
        let is_ack = matches!(message.body, Body::Ack { .. });
        self.record_incarnation(&message.from, now);
        self.record_incarnations(&message.changes, now);
        let out = self.membership.lock().receive(message, now);
        if is_ack {
            self.record_acks(&vm, age_ms, &out);
        }
        self.apply_events(out)
    }

    /// Merges the members known to another member, as received by a pull.
    pub(crate) fn merge(&self, states: Vec<MemberState>) -> Output {
        let now = self.clock.now();
        let mut out = Output::default();
        self.record_incarnations(&states, now);
        self.membership.lock().merge(states, now, &mut out);
        self.apply_events(out)
    }

    /// Applies a proof that `incarnation` and all earlier ones of `id` have ended.
    ///
    /// When it concerns this process itself, the process becomes superseded.
    pub(crate) fn mark_ended(&self, id: &MemberId, incarnation: Incarnation) -> Output {
        let mut out = Output::default();
        if *id == self.me.id {
            if incarnation >= self.me.incarnation {
                self.superseded.store(true, Ordering::Release);
            }
            return out;
        }
        self.terminations.lock().end(id, incarnation);
        let now = self.clock.now();
        self.membership.lock().ended(id, incarnation, now, &mut out);
        self.apply_events(out)
    }

    /// Applies the platform's VM list, requested at `requested_at`, and returns the incarnations that it newly proves
    /// to have ended.
    pub(crate) fn apply_vm_list(
        &self,
        vms: &[ListedVm],
        entry_vms: HashSet<VmName>,
        requested_at: Millis,
    ) -> Vec<(MemberId, Incarnation)> {
        *self.entry_vms.lock() = entry_vms;
        self.terminations.lock().listed(vms, requested_at)
    }

    /// Updates the isolation check: contact with a majority of the listed VMs counts as a confirmation.
    pub(crate) fn observe_fleet(&self) {
        let listed = self.entry_vms.lock().clone();
        let alive = self.membership.lock().alive_vms();
        let listed_alive = listed.intersection(&alive).count();
        let fleet = FleetView { listed, listed_alive };
        self.confirmation.lock().observe(&fleet, self.clock.now());
    }

    fn record_incarnation(&self, member: &MemberInfo, now: Millis) {
        if member.id != self.me.id {
            self.terminations
                .lock()
                .record_incarnation(&member.id, member.incarnation, now);
        }
    }

    fn record_incarnations(&self, states: &[MemberState], now: Millis) {
        for state in states {
            self.record_incarnation(&state.member, now);
        }
    }

    /// Records contact with `vm` for each ping that its ack has answered.
    fn record_acks(&self, vm: &VmName, age_ms: u64, out: &Output) {
        let mut confirmation = self.confirmation.lock();
        for event in &out.events {
            if let MemberEvent::PingEnded {
                answered: true, sent, ..
            } = event
            {
                confirmation.answered(vm, age_ms, *sent);
            }
        }
    }

    /// Applies the events of a step of the membership protocol to this table and returns the output unchanged.
    fn apply_events(&self, out: Output) -> Output {
        for event in &out.events {
            match event {
                MemberEvent::PingEnded {
                    member, answered, sent, ..
                } => {
                    if member.vm != self.me.id.vm {
                        self.confirmation.lock().ping_ended(*answered, *sent);
                    }
                }
                MemberEvent::Superseded(_) => self.superseded.store(true, Ordering::Release),
                MemberEvent::Up(_) | MemberEvent::Suspected(_) | MemberEvent::Down(_) => {
                    self.epoch.fetch_add(1, Ordering::AcqRel);
                }
            }
        }
        out
    }
}

impl Members for MemberTable {
    fn me(&self) -> &MemberInfo {
        &self.me
    }

    fn live(&self) -> Vec<MemberInfo> {
        let mut members = self.others();
        members.push(self.me.clone());
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool {
        if *id == self.me.id {
            return incarnation < self.me.incarnation;
        }
        self.terminations.lock().has_ended(id, incarnation)
    }

    fn isolated(&self) -> bool {
        self.is_superseded() || self.confirmation.lock().isolated(self.clock.now())
    }
}
