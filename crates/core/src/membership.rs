//! Membership and failure detection, a variant of SWIM.
//!
//! Each member pings one other member per second in shuffled order. If no ack arrives, it asks two others to ping that
//! member, then marks it as suspect and finally as down. State changes are piggybacked on pings and acks. The states
//! serve to distribute work only; they never prove that a process has ended.
//!
//! A suspected member refutes by raising its refutation number. Unlike in SWIM its incarnation stays the same for the
//! whole run of the process, because quota shares and leases identify their holder by incarnation.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use rand::RngCore;
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Incarnation, MemberId, VmName, Zone};
use crate::units::Millis;

/// Interval between pings, in milliseconds.
pub const PING_MS: u64 = 1_000;
/// Time without an ack in milliseconds after which other members are asked to ping the target.
pub const INDIRECT_AFTER_MS: u64 = 1_000;
/// Number of members asked to ping a target that did not answer.
pub const RELAYS: usize = 2;
/// Time without an ack in milliseconds after which a member is suspected.
pub const SUSPECT_AFTER_MS: u64 = 3_000;
/// Time in milliseconds after which a suspected member that has not refuted is marked down.
pub const DOWN_AFTER_MS: u64 = 5_000;
/// Time in milliseconds for which a down member is kept and pinged occasionally, so that partitions heal.
pub const FORGET_AFTER_MS: u64 = 3_600_000;
/// Interval between pings to down members, in milliseconds; each goes to one of them.
pub const PING_DOWN_MS: u64 = 5_000;
/// Maximum number of state changes in a message.
pub const CHANGES_PER_MESSAGE: usize = 8;
/// Encoded size of the changes in a message at which no more are added, so that the message stays within 1,200 bytes.
const CHANGES_BYTES: usize = 700;
/// Maximum number of members to which a process announces that it is leaving.
pub const LEAVE_RECEIVERS: usize = 16;
/// Pings per [`PING_MS`] in eager mode, in which a process looks for evidence that it is not isolated.
pub const EAGER_PINGS: usize = 3;

derive_value! {
    /// Identity and addresses of a process.
    pub struct MemberInfo {
        /// Identifier; the same for all runs of the process.
        pub id: MemberId,
        /// Start time of this run; a later run has a larger one.
        pub incarnation: Incarnation,
        /// Availability zone of its VM.
        pub zone: Zone,
        /// UDP address for membership messages and gossip.
        pub gossip_addr: SocketAddr,
        /// TCP address of its JSON-RPC server.
        pub rpc_addr: SocketAddr,
    }

    /// State of a member as known to another one; it may be outdated or wrong.
    pub struct MemberState {
        /// Member whose state it is.
        pub member: MemberInfo,
        /// Number of refutations by the member in this incarnation; a higher one overrides a lower one.
        pub refutation: u32,
        /// Whether the member is alive, suspect or down.
        pub standing: Standing,
    }

    /// A datagram of the membership protocol.
    pub struct Message {
        /// Sender; receiving any message from it means that it is alive.
        pub from: MemberInfo,
        /// Refutation number of the sender.
        pub refutation: u32,
        /// Kind of message.
        pub body: Body,
        /// Piggybacked state changes, at most [`CHANGES_PER_MESSAGE`].
        pub changes: Vec<MemberState>,
    }

    /// Kind of a message, with its data.
    pub enum Body {
        /// Asks for an ack with the same sequence number.
        Ping {
            /// Number chosen by the sender.
            sequence: u64,
        },
        /// Answers a ping, or a ping request after the target has answered.
        Ack {
            /// Sequence number of the ping or ping request.
            sequence: u64,
            /// Member that answered the ping.
            target: MemberId,
            /// Its incarnation.
            incarnation: Incarnation,
        },
        /// Asks the receiver to ping `target` and to forward its ack.
        PingRequest {
            /// Sequence number that the forwarded ack must have.
            sequence: u64,
            /// Member to ping.
            target: MemberId,
            /// Gossip address of `target`.
            addr: SocketAddr,
        },
        /// Announces that the sender is shutting down.
        Leave,
    }
}

derive_scalar! {
    /// Whether a member is alive. Of two values with the same incarnation and refutation number the later variant wins.
    #[serde(rename_all = "lowercase")]
    pub enum Standing {
        /// Not suspected.
        Alive,
        /// Did not answer pings for [`SUSPECT_AFTER_MS`].
        Suspect,
        /// Did not refute the suspicion for [`DOWN_AFTER_MS`], has left, or is proved to have ended.
        Down,
    }
}

/// Event that the caller logs or passes on.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEvent {
    /// A member is alive again, has restarted, or is known for the first time.
    Up(MemberInfo),
    /// A member became suspect.
    Suspected(MemberInfo),
    /// A member was marked down.
    Down(MemberInfo),
    /// A ping to a member was answered or timed out.
    PingEnded {
        /// Member that was pinged.
        member: MemberId,
        /// Whether an ack arrived within [`SUSPECT_AFTER_MS`].
        answered: bool,
        /// Time at which the ping was sent. An ack proves contact at this time, not at the time of its arrival.
        sent: Millis,
    },
    /// Another process with this process's identifier has the given, later incarnation; this process must stop.
    Superseded(Incarnation),
}

/// Effects of a call: messages that the caller must send, and events.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages with the gossip addresses of their receivers.
    pub send: Vec<(SocketAddr, Message)>,
    /// Events in the order in which they occurred.
    pub events: Vec<MemberEvent>,
}

#[derive(Debug)]
struct Record {
    state: MemberState,
    /// Time of the last change of state; for a suspect also of the last [`Membership::resume`].
    since: Millis,
}

#[derive(Debug)]
struct PendingPing {
    target: MemberId,
    sent: Millis,
    ping_requested: bool,
}

/// A ping sent for another member, which gets the ack at `addr` with its own `sequence`.
#[derive(Debug)]
struct RelayedPing {
    addr: SocketAddr,
    sequence: u64,
    sent: Millis,
}

/// State of the membership protocol at one process.
#[derive(Debug)]
pub struct Membership {
    me: MemberInfo,
    refutation: u32,
    records: BTreeMap<MemberId, Record>,
    /// Unanswered pings by sequence number.
    pending: HashMap<u64, PendingPing>,
    /// Pings sent for other members, by the sequence number of the ping.
    relays: HashMap<u64, RelayedPing>,
    /// Members whose state is to be piggybacked, with the number of messages that have contained it.
    changes: HashMap<MemberId, u32>,
    ping_order: Vec<MemberId>,
    sequence: u64,
    next_ping: Millis,
    next_ping_down: Millis,
    /// Cached [`Membership::digest`]; `None` after a change.
    digest: Option<u64>,
}

impl Membership {
    /// Starts with this process as the only known member.
    pub fn new(me: MemberInfo, now: Millis) -> Self {
        Self {
            me,
            refutation: 0,
            records: BTreeMap::new(),
            pending: HashMap::new(),
            relays: HashMap::new(),
            changes: HashMap::new(),
            ping_order: Vec::new(),
            sequence: 0,
            next_ping: now,
            next_ping_down: now,
            digest: None,
        }
    }

    /// Identity and addresses of this process.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// State of another member; `None` for an unknown member and for this process.
    pub fn state(&self, id: &MemberId) -> Option<&MemberState> {
        self.records.get(id).map(|it| &it.state)
    }

    /// Members that are alive or suspect, without this process, in order of id.
    pub fn others(&self) -> impl Iterator<Item = &MemberInfo> {
        self.records
            .values()
            .filter(|it| it.state.standing != Standing::Down)
            .map(|it| &it.state.member)
    }

    /// States of all known members, including down members and this process.
    pub fn states(&self) -> Vec<MemberState> {
        let others = self.records.values().map(|it| it.state.clone());
        others.chain([self.own_state()]).collect()
    }

    /// VMs with at least one alive member, including the VM of this process.
    pub fn alive_vms(&self) -> HashSet<VmName> {
        let alive = self.records.values().filter(|it| it.state.standing == Standing::Alive);
        alive
            .map(|it| it.state.member.id.vm.clone())
            .chain([self.me.id.vm.clone()])
            .collect()
    }

    /// Digest of the members that are alive or suspect, by id and incarnation. Processes with equal digests need not
    /// exchange their member states.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let others = self.others().map(|it| (&it.id, it.incarnation));
        let digest = others
            .chain([(&self.me.id, self.me.incarnation)])
            .map(|(id, incarnation)| xxh3_64_with_seed(id.to_string().as_bytes(), incarnation.0))
            .fold(0, |digest, it| digest ^ it);
        self.digest = Some(digest);
        digest
    }

    /// Restarts all timeouts after a pause of this process, because acks and refutations may have arrived unread.
    pub fn resume(&mut self, now: Millis) {
        self.pending.clear();
        let suspects = self.records.values_mut();
        for record in suspects.filter(|it| it.state.standing == Standing::Suspect) {
            record.since = now;
        }
    }

    /// Handles timeouts and sends the pings that are due: [`EAGER_PINGS`] per period when `eager`, otherwise one.
    pub fn tick(&mut self, eager: bool, now: Millis, rng: &mut dyn RngCore) -> Output {
        let mut out = Output::default();
        self.check_pending(now, rng, &mut out);
        self.check_suspects(now, &mut out);
        if now >= self.next_ping {
            self.next_ping = now + PING_MS;
            let count = if eager { EAGER_PINGS } else { 1 };
            for _ in 0..count {
                self.ping_next(now, rng, &mut out);
            }
        }
        if now >= self.next_ping_down {
            self.next_ping_down = now + PING_DOWN_MS;
            self.ping_random_down(now, rng, &mut out);
        }
        out
    }

    /// Pings a known member outside the regular order.
    pub fn ping(&mut self, id: &MemberId, now: Millis, out: &mut Output) {
        let Some(addr) = self.records.get(id).map(|it| it.state.member.gossip_addr) else {
            return;
        };
        let sequence = self.next_sequence();
        let pending = PendingPing {
            target: id.clone(),
            sent: now,
            ping_requested: false,
        };
        self.pending.insert(sequence, pending);
        let message = self.message(Body::Ping { sequence }, Some(id));
        out.send.push((addr, message));
    }

    /// Pings the address of a possible member, to join the fleet. A missing ack has no effect.
    pub fn ping_seed(&mut self, addr: SocketAddr, out: &mut Output) {
        let sequence = self.next_sequence();
        let message = self.message(Body::Ping { sequence }, None);
        out.send.push((addr, message));
    }

    /// Announces to at most [`LEAVE_RECEIVERS`] random members that this process is shutting down; they gossip it.
    pub fn leave(&mut self, rng: &mut dyn RngCore) -> Output {
        let mut receivers: Vec<SocketAddr> = self.others().map(|it| it.gossip_addr).collect();
        receivers.shuffle(rng);
        receivers.truncate(LEAVE_RECEIVERS);
        let message = self.message(Body::Leave, None);
        Output {
            send: receivers.into_iter().map(|it| (it, message.clone())).collect(),
            events: Vec::new(),
        }
    }

    /// Handles a received message.
    pub fn receive(&mut self, message: Message, now: Millis) -> Output {
        let mut out = Output::default();
        if message.from.id == self.me.id {
            self.check_superseded(message.from.incarnation, &mut out);
            return out;
        }
        let sender = message.from.clone();
        let leaves = message.body == Body::Leave;
        let standing = if leaves { Standing::Down } else { Standing::Alive };
        let state = MemberState {
            member: message.from,
            refutation: message.refutation,
            standing,
        };
        self.apply(state, now, &mut out);
        for change in message.changes {
            self.apply(change, now, &mut out);
        }
        match message.body {
            Body::Ping { sequence } => self.answer_ping(&sender, sequence, &mut out),
            Body::Ack {
                sequence,
                target,
                incarnation,
            } => self.receive_ack(sequence, &target, incarnation, &mut out),
            Body::PingRequest { sequence, addr, .. } => {
                let ping_sequence = self.next_sequence();
                let relay = RelayedPing {
                    addr: sender.gossip_addr,
                    sequence,
                    sent: now,
                };
                self.relays.insert(ping_sequence, relay);
                let ping = self.message(
                    Body::Ping {
                        sequence: ping_sequence,
                    },
                    None,
                );
                out.send.push((addr, ping));
            }
            Body::Leave => {}
        }
        out
    }

    /// Merges all member states that another process knows, as received by a pull.
    ///
    /// Members that were unknown here are not gossiped on: the sender of the states knows them, and they were gossiped
    /// when they joined. In a fleet of 4,500 members, a process that gossiped all of them after its start would send
    /// nothing else for hours.
    pub fn merge(&mut self, states: Vec<MemberState>, now: Millis, out: &mut Output) {
        for state in states {
            let id = state.member.id.clone();
            let is_known = id == self.me.id || self.records.contains_key(&id);
            self.apply(state, now, out);
            if !is_known {
                self.changes.remove(&id);
            }
        }
    }

    /// Marks a member down because this incarnation is proved to have ended. A later incarnation is not affected.
    pub fn ended(&mut self, id: &MemberId, incarnation: Incarnation, now: Millis, out: &mut Output) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        if record.state.member.incarnation > incarnation {
            return;
        }
        let state = MemberState {
            standing: Standing::Down,
            ..record.state.clone()
        };
        self.apply(state, now, out);
    }

    fn apply(&mut self, state: MemberState, now: Millis, out: &mut Output) {
        let id = state.member.id.clone();
        if id == self.me.id {
            self.refute(&state, out);
            return;
        }
        let known = self.records.get(&id);
        let is_newer = known.map_or(state.standing != Standing::Down, |it| {
            precedence(&state) > precedence(&it.state)
        });
        if !is_newer {
            return;
        }
        let before = known.map(|it| (it.state.standing, it.state.member.incarnation));
        let same_incarnation = before.is_some_and(|(_, incarnation)| incarnation == state.member.incarnation);
        let was_alive = same_incarnation && before.is_some_and(|(standing, _)| standing == Standing::Alive);
        let member = state.member.clone();
        match state.standing {
            Standing::Alive if !was_alive => out.events.push(MemberEvent::Up(member)),
            Standing::Alive => {}
            Standing::Suspect => out.events.push(MemberEvent::Suspected(member)),
            Standing::Down => out.events.push(MemberEvent::Down(member)),
        }
        self.records.insert(id.clone(), Record { state, since: now });
        self.changes.insert(id, 0);
        self.digest = None;
    }

    fn refute(&mut self, state: &MemberState, out: &mut Output) {
        let incarnation = state.member.incarnation;
        self.check_superseded(incarnation, out);
        let reported_not_alive = incarnation == self.me.incarnation && state.standing != Standing::Alive;
        if reported_not_alive && state.refutation >= self.refutation {
            self.refutation = state.refutation + 1;
            self.changes.insert(self.me.id.clone(), 0);
        }
    }

    fn check_superseded(&self, incarnation: Incarnation, out: &mut Output) {
        if incarnation > self.me.incarnation {
            out.events.push(MemberEvent::Superseded(incarnation));
        }
    }

    fn answer_ping(&mut self, sender: &MemberInfo, sequence: u64, out: &mut Output) {
        let body = Body::Ack {
            sequence,
            target: self.me.id.clone(),
            incarnation: self.me.incarnation,
        };
        let ack = self.message(body, Some(&sender.id));
        out.send.push((sender.gossip_addr, ack));
    }

    fn receive_ack(&mut self, sequence: u64, target: &MemberId, incarnation: Incarnation, out: &mut Output) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let body = Body::Ack {
                sequence: relay.sequence,
                target: target.clone(),
                incarnation,
            };
            let ack = self.message(body, None);
            out.send.push((relay.addr, ack));
            return;
        }
        let is_expected = self.pending.get(&sequence).is_some_and(|it| it.target == *target);
        if is_expected && let Some(pending) = self.pending.remove(&sequence) {
            out.events.push(MemberEvent::PingEnded {
                member: pending.target,
                answered: true,
                sent: pending.sent,
            });
        }
    }

    fn check_pending(&mut self, now: Millis, rng: &mut dyn RngCore, out: &mut Output) {
        self.relays.retain(|_, it| now.since(it.sent) < SUSPECT_AFTER_MS);
        let unanswered: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, it)| !it.ping_requested && now.since(it.sent) >= INDIRECT_AFTER_MS)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in unanswered {
            self.send_ping_requests(sequence, rng, out);
        }
        let failed: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, it)| now.since(it.sent) >= SUSPECT_AFTER_MS)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in failed {
            let Some(pending) = self.pending.remove(&sequence) else {
                continue;
            };
            self.suspect(&pending, now, out);
            out.events.push(MemberEvent::PingEnded {
                member: pending.target,
                answered: false,
                sent: pending.sent,
            });
        }
    }

    fn send_ping_requests(&mut self, sequence: u64, rng: &mut dyn RngCore, out: &mut Output) {
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return;
        };
        pending.ping_requested = true;
        let target = pending.target.clone();
        let Some(addr) = self.records.get(&target).map(|it| it.state.member.gossip_addr) else {
            return;
        };
        let others: Vec<SocketAddr> = self
            .others()
            .filter(|it| it.id != target)
            .map(|it| it.gossip_addr)
            .collect();
        for relay in others.choose_multiple(rng, RELAYS) {
            let body = Body::PingRequest {
                sequence,
                target: target.clone(),
                addr,
            };
            let request = self.message(body, None);
            out.send.push((*relay, request));
        }
    }

    fn suspect(&mut self, pending: &PendingPing, now: Millis, out: &mut Output) {
        let Some(record) = self.records.get(&pending.target) else {
            return;
        };
        // A change after the ping was sent, such as a refutation or a restart, is newer evidence than the missing ack.
        if record.since > pending.sent || record.state.standing != Standing::Alive {
            return;
        }
        let state = MemberState {
            standing: Standing::Suspect,
            ..record.state.clone()
        };
        self.apply(state, now, out);
    }

    fn check_suspects(&mut self, now: Millis, out: &mut Output) {
        let expired: Vec<MemberState> = self
            .records
            .values()
            .filter(|it| it.state.standing == Standing::Suspect && now.since(it.since) >= DOWN_AFTER_MS)
            .map(|it| it.state.clone())
            .collect();
        for state in expired {
            let down = MemberState {
                standing: Standing::Down,
                ..state
            };
            self.apply(down, now, out);
        }
        self.records
            .retain(|_, it| it.state.standing != Standing::Down || now.since(it.since) < FORGET_AFTER_MS);
    }

    fn ping_next(&mut self, now: Millis, rng: &mut dyn RngCore, out: &mut Output) {
        if self.ping_order.is_empty() {
            self.ping_order = self.others().map(|it| it.id.clone()).collect();
            self.ping_order.shuffle(rng);
        }
        while let Some(id) = self.ping_order.pop() {
            let standing = self.records.get(&id).map(|it| it.state.standing);
            if standing.is_some_and(|it| it != Standing::Down) {
                self.ping(&id, now, out);
                return;
            }
        }
    }

    fn ping_random_down(&mut self, now: Millis, rng: &mut dyn RngCore, out: &mut Output) {
        let down: Vec<(SocketAddr, MemberId)> = self
            .records
            .values()
            .filter(|it| it.state.standing == Standing::Down && now.since(it.since) >= PING_DOWN_MS)
            .map(|it| (it.state.member.gossip_addr, it.state.member.id.clone()))
            .collect();
        if let Some((addr, id)) = down.choose(rng) {
            let sequence = self.next_sequence();
            let message = self.message(Body::Ping { sequence }, Some(id));
            out.send.push((*addr, message));
        }
    }

    /// Builds a message. If the receiver is suspect or down, the first change says so, so that it can refute.
    fn message(&mut self, body: Body, receiver: Option<&MemberId>) -> Message {
        let receiver_record = receiver.and_then(|it| self.records.get(it));
        let not_alive_record = receiver_record.filter(|it| it.state.standing != Standing::Alive);
        let mut changes: Vec<MemberState> = not_alive_record.map(|it| it.state.clone()).into_iter().collect();
        let limit = self.max_transmissions();
        let mut bytes: usize = changes.iter().map(encoded_len).sum();
        let mut queued: Vec<(u32, MemberId)> = self.changes.iter().map(|(id, sent)| (*sent, id.clone())).collect();
        queued.sort();
        for (sent, id) in queued.into_iter().take(CHANGES_PER_MESSAGE - changes.len()) {
            if bytes >= CHANGES_BYTES {
                break;
            }
            if sent + 1 >= limit {
                self.changes.remove(&id);
            } else {
                self.changes.insert(id.clone(), sent + 1);
            }
            let state = self.state(&id).cloned();
            let state = state.or_else(|| (id == self.me.id).then(|| self.own_state()));
            bytes += state.as_ref().map_or(0, encoded_len);
            changes.extend(state);
        }
        Message {
            from: self.me.clone(),
            refutation: self.refutation,
            body,
            changes,
        }
    }

    /// Number of messages in which a member sends a change: three times the binary logarithm of the number of members.
    fn max_transmissions(&self) -> u32 {
        3 * (self.records.len() as u32 + 2).ilog2().max(1)
    }

    fn own_state(&self) -> MemberState {
        MemberState {
            member: self.me.clone(),
            refutation: self.refutation,
            standing: Standing::Alive,
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

fn precedence(state: &MemberState) -> (Incarnation, u32, Standing) {
    (state.member.incarnation, state.refutation, state.standing)
}

fn encoded_len(state: &MemberState) -> usize {
    postcard::to_allocvec(state).map_or(0, |it| it.len())
}
