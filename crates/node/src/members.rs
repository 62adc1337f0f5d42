//! Beliefs about members and proofs of their end.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use guava_core::confirmation::{Confirmation, FleetView};
use guava_core::ids::{Incarnation, MemberId, VmName};
use guava_core::membership::{Belief, Body, MemberEvent, MemberInfo, Membership, Message, Output};
use guava_core::termination::{ListedVm, Terminations};
use guava_core::units::Millis;
use parking_lot::Mutex;

use crate::{Clock, Members};

/// Names of the members among which this process is ranked.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Changes with the names, so that rankings are only computed again when they may change.
    pub(crate) generation: u64,
    /// Live members of this process's role, this process included.
    pub(crate) role: Vec<String>,
    /// Other live members of its zone.
    pub(crate) zone: Vec<String>,
}

/// Membership, confirmation and terminations of one process.
#[derive(Debug)]
pub(crate) struct MemberTable {
    me: MemberInfo,
    clock: Arc<dyn Clock>,
    membership: Mutex<Membership>,
    terminations: Mutex<Terminations>,
    confirmation: Mutex<Confirmation>,
    entry_vms: Mutex<HashSet<VmName>>,
    /// Grows with each change of beliefs.
    epoch: AtomicU64,
    /// Candidates and the epoch for which they were last looked up.
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

    /// Candidates for leases and watches, collected once after each change of beliefs for all of them.
    pub(crate) fn candidates(&self) -> Arc<Candidates> {
        let epoch = self.epoch();
        let mut known = self.candidates.lock();
        if known.0 != epoch {
            let (role, zone) = self.candidate_names();
            // A suspicion and a return from a restart change beliefs, but not the names that are ranked.
            if known.1.generation == 0 || known.1.role != role || known.1.zone != zone {
                let generation = known.1.generation + 1;
                known.1 = Arc::new(Candidates { generation, role, zone });
            }
            known.0 = epoch;
        }
        Arc::clone(&known.1)
    }

    fn candidate_names(&self) -> (Vec<String>, Vec<String>) {
        let me = &self.me;
        let membership = self.membership.lock();
        let (mut role, mut zone) = (vec![me.id.to_string()], Vec::new());
        for member in membership.others() {
            if member.id.role == me.id.role {
                role.push(member.id.to_string());
            }
            if member.zone == me.zone {
                zone.push(member.id.to_string());
            }
        }
        (role, zone)
    }

    pub(crate) fn others(&self) -> Vec<MemberInfo> {
        self.membership.lock().others().cloned().collect()
    }

    pub(crate) fn other_addrs(&self) -> Vec<SocketAddr> {
        self.membership.lock().others().map(|it| it.gossip_addr).collect()
    }

    pub(crate) fn find(&self, id: &MemberId) -> Option<MemberInfo> {
        self.membership.lock().belief(id).map(|it| it.member.clone())
    }

    pub(crate) fn beliefs(&self) -> Vec<Belief> {
        self.membership.lock().beliefs()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.membership.lock().digest()
    }

    /// Age of the last confirmation in milliseconds.
    pub(crate) fn age(&self) -> u64 {
        self.confirmation.lock().age(self.clock.now())
    }

    pub(crate) fn platform_answered(&self, sent: Millis) {
        self.confirmation.lock().platform_answered(sent);
    }

    /// Whether another process has this identifier and a later incarnation, or this incarnation was declared ended.
    pub(crate) fn superseded(&self) -> bool {
        self.superseded.load(Ordering::Acquire)
    }

    pub(crate) fn latest(&self, id: &MemberId) -> Option<Incarnation> {
        if *id == self.me.id {
            return Some(self.me.incarnation);
        }
        self.terminations.lock().latest(id)
    }

    pub(crate) fn tick(&self, eager: bool) -> Output {
        let mut rng = rand::rng();
        let out = self.membership.lock().tick(eager, self.clock.now(), &mut rng);
        self.noted(out)
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

    pub(crate) fn resume(&self) {
        self.membership.lock().resume(self.clock.now());
    }

    pub(crate) fn leave(&self) -> Output {
        self.membership.lock().leave(&mut rand::rng())
    }

    /// Handles a message whose sender's last confirmation was `age_ms` ago.
    pub(crate) fn receive(&self, message: Message, age_ms: u64) -> Output {
        let now = self.clock.now();
        let vm = message.from.id.vm.clone();
        let is_ack = matches!(message.body, Body::Ack { .. });
        self.heard(&message.from, now);
        self.heard_all(&message.changes, now);
        let out = self.membership.lock().receive(message, now);
        if is_ack {
            self.note_answers(&vm, age_ms, &out);
        }
        self.noted(out)
    }

    pub(crate) fn merge(&self, beliefs: Vec<Belief>) -> Output {
        let now = self.clock.now();
        let mut out = Output::default();
        self.heard_all(&beliefs, now);
        self.membership.lock().merge(beliefs, now, &mut out);
        self.noted(out)
    }

    /// Takes over a proof that an incarnation has ended.
    pub(crate) fn end(&self, id: &MemberId, incarnation: Incarnation) -> Output {
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
        self.noted(out)
    }

    /// Reads the platform's list and returns the incarnations that it newly proves to have ended.
    pub(crate) fn listed(
        &self,
        vms: &[ListedVm],
        entry_vms: HashSet<VmName>,
        asked: Millis,
    ) -> Vec<(MemberId, Incarnation)> {
        *self.entry_vms.lock() = entry_vms;
        self.terminations.lock().listed(vms, asked)
    }

    /// Applies the rule of isolation to the present view of the fleet.
    pub(crate) fn observe_fleet(&self) {
        let listed = self.entry_vms.lock().clone();
        let alive = self.membership.lock().alive_vms();
        let believed_alive = listed.intersection(&alive).count();
        let fleet = FleetView { listed, believed_alive };
        self.confirmation.lock().observe(&fleet, self.clock.now());
    }

    fn heard(&self, member: &MemberInfo, now: Millis) {
        if member.id != self.me.id {
            self.terminations
                .lock()
                .record_incarnation(&member.id, member.incarnation, now);
        }
    }

    fn heard_all(&self, beliefs: &[Belief], now: Millis) {
        for belief in beliefs {
            self.heard(&belief.member, now);
        }
    }

    fn note_answers(&self, vm: &VmName, age_ms: u64, out: &Output) {
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

    fn noted(&self, out: Output) -> Output {
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
        self.superseded() || self.confirmation.lock().isolated(self.clock.now())
    }
}
