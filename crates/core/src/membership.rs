//! Which members are believed alive.
//!
//! Each member pings one other per second in shuffled order, asks two others to ping a silent one, then suspects it and
//! finally believes it down. Changes travel with pings and acks. Beliefs guide the distribution of work only; they
//! never prove that a process has ended.
//!
//! A suspected member refutes by raising its refutation number and not its incarnation, because quota shares and leases
//! name their holder by incarnation, which must stay the same for the whole life of a process.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use rand::RngCore;
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Incarnation, MemberId, VmName, Zone};
use crate::units::Millis;

/// Time between pings.
pub const PING_MS: u64 = 1_000;
/// Time without an ack after which others are asked to ping.
pub const INDIRECT_AFTER_MS: u64 = 1_000;
/// Members asked to ping a silent one.
pub const RELAYS: usize = 2;
/// Time without an ack after which a member is suspected.
pub const SUSPECT_AFTER_MS: u64 = 3_000;
/// Time from suspicion to being believed down.
pub const DOWN_AFTER_MS: u64 = 5_000;
/// Time for which a member believed down is remembered and pinged now and then, so that partitions heal.
pub const FORGET_AFTER_MS: u64 = 3_600_000;
/// Time between pings to members believed down.
pub const PING_DOWN_MS: u64 = 5_000;
/// Changes carried by a message.
pub const CHANGES_PER_MESSAGE: usize = 8;
/// Encoded size after which a message takes no further change; keeps it within 1,200 bytes.
const CHANGES_BYTES: usize = 700;
/// Members that are told when this process ends.
pub const LEAVE_RECEIVERS: usize = 16;
/// Pings per period while the process needs more contacts.
pub const EAGER_PINGS: usize = 3;

derive_value! {
    /// A process as its peers know it.
    pub struct MemberInfo {
        /// Identifier.
        pub id: MemberId,
        /// Start time of its current life.
        pub incarnation: Incarnation,
        /// Availability zone.
        pub zone: Zone,
        /// UDP address for heartbeats and spread.
        pub gossip_addr: SocketAddr,
        /// TCP address of its JSON-RPC server.
        pub rpc_addr: SocketAddr,
    }

    /// What is believed of a member.
    pub struct Belief {
        /// Member.
        pub member: MemberInfo,
        /// Number of suspicions that it has refuted in this incarnation.
        pub refutation: u32,
        /// State.
        pub standing: Standing,
    }

    /// Ping, ack or request to ping.
    pub struct Message {
        /// Sender.
        pub from: MemberInfo,
        /// Refutation number of the sender.
        pub refutation: u32,
        /// Purpose.
        pub body: Body,
        /// Changes of membership.
        pub changes: Vec<Belief>,
    }

    /// Purpose of a message.
    pub enum Body {
        /// Asks for an ack with the same sequence number.
        Ping {
            /// Sequence number.
            sequence: u64,
        },
        /// Answers a ping, directly or for a member that was pinged on request.
        Ack {
            /// Sequence number of the ping.
            sequence: u64,
            /// Member that is alive.
            target: MemberId,
            /// Its incarnation.
            incarnation: Incarnation,
        },
        /// Asks the receiver to ping `target` and to pass on its ack.
        PingRequest {
            /// Sequence number for the ack.
            sequence: u64,
            /// Member to ping.
            target: MemberId,
            /// Its address.
            addr: SocketAddr,
        },
        /// Tells that the sender ends.
        Leave,
    }
}

derive_scalar! {
    /// State of a member as believed; a later one overrides an earlier one of the same incarnation and refutation.
    #[serde(rename_all = "lowercase")]
    pub enum Standing {
        /// Answers, or has not been silent for long.
        Alive,
        /// Does not answer.
        Suspect,
        /// Has not answered for long, or has left.
        Down,
    }
}

/// Change that the runtime logs.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEvent {
    /// A member is believed alive again or for the first time.
    Up(MemberInfo),
    /// A member does not answer.
    Suspected(MemberInfo),
    /// A member is believed down.
    Down(MemberInfo),
    /// A ping to a member was answered or not.
    PingEnded {
        /// Member.
        member: MemberId,
        /// Whether it answered in time.
        answered: bool,
        /// When the ping was sent; an answer proves contact at this moment and not at its arrival.
        sent: Millis,
    },
    /// Another process has this process's identifier and a later incarnation.
    Superseded(Incarnation),
}

/// Messages to send and events of one step.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages and their receivers.
    pub send: Vec<(SocketAddr, Message)>,
    /// Events.
    pub events: Vec<MemberEvent>,
}

#[derive(Debug)]
struct Record {
    belief: Belief,
    since: Millis,
}

#[derive(Debug)]
struct Pending {
    target: MemberId,
    sent: Millis,
    relayed: bool,
}

#[derive(Debug)]
struct Relay {
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
    pending: HashMap<u64, Pending>,
    relays: HashMap<u64, Relay>,
    changes: HashMap<MemberId, u32>,
    order: Vec<MemberId>,
    sequence: u64,
    next_ping: Millis,
    next_ping_down: Millis,
    digest: Option<u64>,
}

impl Membership {
    /// Starts with this process as the only member.
    pub fn new(me: MemberInfo, now: Millis) -> Self {
        Self {
            me,
            refutation: 0,
            records: BTreeMap::new(),
            pending: HashMap::new(),
            relays: HashMap::new(),
            changes: HashMap::new(),
            order: Vec::new(),
            sequence: 0,
            next_ping: now,
            next_ping_down: now,
            digest: None,
        }
    }

    /// This process.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Belief about a member other than this process.
    pub fn belief(&self, id: &MemberId) -> Option<&Belief> {
        self.records.get(id).map(|it| &it.belief)
    }

    /// Members not believed down, without this process, in order of id.
    pub fn others(&self) -> impl Iterator<Item = &MemberInfo> {
        self.records
            .values()
            .filter(|it| it.belief.standing != Standing::Down)
            .map(|it| &it.belief.member)
    }

    /// All beliefs, the one of this process included.
    pub fn beliefs(&self) -> Vec<Belief> {
        let others = self.records.values().map(|it| it.belief.clone());
        others.chain([self.my_belief()]).collect()
    }

    /// VMs with a member that is believed alive, the one of this process included.
    pub fn alive_vms(&self) -> HashSet<VmName> {
        let alive = self.records.values().filter(|it| it.belief.standing == Standing::Alive);
        alive
            .map(|it| it.belief.member.id.vm.clone())
            .chain([self.me.id.vm.clone()])
            .collect()
    }

    /// Digest of the members not believed down; equal digests mean that both sides know the same members.
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

    /// Starts all waits again after a pause of this process: answers and refutations may wait unread.
    pub fn resume(&mut self, now: Millis) {
        self.pending.clear();
        let suspects = self.records.values_mut();
        for record in suspects.filter(|it| it.belief.standing == Standing::Suspect) {
            record.since = now;
        }
    }

    /// Advances the timers. An eager process pings several members per period.
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
            self.ping_one_down(now, rng, &mut out);
        }
        out
    }

    /// Pings a known member out of turn.
    pub fn ping(&mut self, id: &MemberId, now: Millis, out: &mut Output) {
        let Some(addr) = self.records.get(id).map(|it| it.belief.member.gossip_addr) else {
            return;
        };
        let sequence = self.next_sequence();
        let pending = Pending {
            target: id.clone(),
            sent: now,
            relayed: false,
        };
        self.pending.insert(sequence, pending);
        let message = self.message(Body::Ping { sequence }, Some(id));
        out.send.push((addr, message));
    }

    /// Pings an address at which a member may listen.
    pub fn ping_seed(&mut self, addr: SocketAddr, out: &mut Output) {
        let sequence = self.next_sequence();
        let message = self.message(Body::Ping { sequence }, None);
        out.send.push((addr, message));
    }

    /// Message to some peers that this process ends; they tell the others.
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

    /// Handles a message.
    pub fn receive(&mut self, message: Message, now: Millis) -> Output {
        let mut out = Output::default();
        if message.from.id == self.me.id {
            self.check_own(message.from.incarnation, &mut out);
            return out;
        }
        let sender = message.from.clone();
        let leaves = message.body == Body::Leave;
        let standing = if leaves { Standing::Down } else { Standing::Alive };
        let belief = Belief {
            member: message.from,
            refutation: message.refutation,
            standing,
        };
        self.apply(belief, now, &mut out);
        for change in message.changes {
            self.apply(change, now, &mut out);
        }
        match message.body {
            Body::Ping { sequence } => self.answer_ping(&sender, sequence, &mut out),
            Body::Ack {
                sequence,
                target,
                incarnation,
            } => self.note_ack(sequence, &target, incarnation, &mut out),
            Body::PingRequest { sequence, addr, .. } => {
                let own = self.next_sequence();
                let relay = Relay {
                    addr: sender.gossip_addr,
                    sequence,
                    sent: now,
                };
                self.relays.insert(own, relay);
                let ping = self.message(Body::Ping { sequence: own }, None);
                out.send.push((addr, ping));
            }
            Body::Leave => {}
        }
        out
    }

    /// Merges all beliefs of another member, as a pull brings them.
    ///
    /// Members that were unknown here are not spread as news: they are known where the beliefs come from and were told of
    /// there. A process that told of a whole fleet after its start would send nothing else for hours at 4,500 members.
    pub fn merge(&mut self, beliefs: Vec<Belief>, now: Millis, out: &mut Output) {
        for belief in beliefs {
            let id = belief.member.id.clone();
            let is_known = id == self.me.id || self.records.contains_key(&id);
            self.apply(belief, now, out);
            if !is_known {
                self.changes.remove(&id);
            }
        }
    }

    /// Believes a member down because its VM is proved to have terminated.
    pub fn ended(&mut self, id: &MemberId, incarnation: Incarnation, now: Millis, out: &mut Output) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        if record.belief.member.incarnation > incarnation {
            return;
        }
        let belief = Belief {
            standing: Standing::Down,
            ..record.belief.clone()
        };
        self.apply(belief, now, out);
    }

    fn apply(&mut self, belief: Belief, now: Millis, out: &mut Output) {
        let id = belief.member.id.clone();
        if id == self.me.id {
            self.refute(&belief, out);
            return;
        }
        let known = self.records.get(&id);
        let is_news = known.map_or(belief.standing != Standing::Down, |it| {
            order_of(&belief) > order_of(&it.belief)
        });
        if !is_news {
            return;
        }
        let before = known.map(|it| (it.belief.standing, it.belief.member.incarnation));
        let same_life = before.is_some_and(|(_, incarnation)| incarnation == belief.member.incarnation);
        let was_alive = same_life && before.is_some_and(|(standing, _)| standing == Standing::Alive);
        let member = belief.member.clone();
        match belief.standing {
            Standing::Alive if !was_alive => out.events.push(MemberEvent::Up(member)),
            Standing::Alive => {}
            Standing::Suspect => out.events.push(MemberEvent::Suspected(member)),
            Standing::Down => out.events.push(MemberEvent::Down(member)),
        }
        self.records.insert(id.clone(), Record { belief, since: now });
        self.changes.insert(id, 0);
        self.digest = None;
    }

    fn refute(&mut self, belief: &Belief, out: &mut Output) {
        let incarnation = belief.member.incarnation;
        self.check_own(incarnation, out);
        let accused = incarnation == self.me.incarnation && belief.standing != Standing::Alive;
        if accused && belief.refutation >= self.refutation {
            self.refutation = belief.refutation + 1;
            self.changes.insert(self.me.id.clone(), 0);
        }
    }

    fn check_own(&self, incarnation: Incarnation, out: &mut Output) {
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

    fn note_ack(&mut self, sequence: u64, target: &MemberId, incarnation: Incarnation, out: &mut Output) {
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
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, it)| !it.relayed && now.since(it.sent) >= INDIRECT_AFTER_MS)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in late {
            self.ask_others(sequence, rng, out);
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

    fn ask_others(&mut self, sequence: u64, rng: &mut dyn RngCore, out: &mut Output) {
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return;
        };
        pending.relayed = true;
        let target = pending.target.clone();
        let Some(addr) = self.records.get(&target).map(|it| it.belief.member.gossip_addr) else {
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

    fn suspect(&mut self, pending: &Pending, now: Millis, out: &mut Output) {
        let Some(record) = self.records.get(&pending.target) else {
            return;
        };
        // A member that refuted or restarted after the ping was sent has shown that it is alive.
        if record.since > pending.sent || record.belief.standing != Standing::Alive {
            return;
        }
        let belief = Belief {
            standing: Standing::Suspect,
            ..record.belief.clone()
        };
        self.apply(belief, now, out);
    }

    fn check_suspects(&mut self, now: Millis, out: &mut Output) {
        let expired: Vec<Belief> = self
            .records
            .values()
            .filter(|it| it.belief.standing == Standing::Suspect && now.since(it.since) >= DOWN_AFTER_MS)
            .map(|it| it.belief.clone())
            .collect();
        for belief in expired {
            let down = Belief {
                standing: Standing::Down,
                ..belief
            };
            self.apply(down, now, out);
        }
        self.records
            .retain(|_, it| it.belief.standing != Standing::Down || now.since(it.since) < FORGET_AFTER_MS);
    }

    fn ping_next(&mut self, now: Millis, rng: &mut dyn RngCore, out: &mut Output) {
        if self.order.is_empty() {
            self.order = self.others().map(|it| it.id.clone()).collect();
            self.order.shuffle(rng);
        }
        while let Some(id) = self.order.pop() {
            let standing = self.records.get(&id).map(|it| it.belief.standing);
            if standing.is_some_and(|it| it != Standing::Down) {
                self.ping(&id, now, out);
                return;
            }
        }
    }

    fn ping_one_down(&mut self, now: Millis, rng: &mut dyn RngCore, out: &mut Output) {
        let down: Vec<(SocketAddr, MemberId)> = self
            .records
            .values()
            .filter(|it| it.belief.standing == Standing::Down && now.since(it.since) >= PING_DOWN_MS)
            .map(|it| (it.belief.member.gossip_addr, it.belief.member.id.clone()))
            .collect();
        if let Some((addr, id)) = down.choose(rng) {
            let sequence = self.next_sequence();
            let message = self.message(Body::Ping { sequence }, Some(id));
            out.send.push((*addr, message));
        }
    }

    /// Builds a message; a receiver that is not believed alive is told so first, so that it can refute.
    fn message(&mut self, body: Body, receiver: Option<&MemberId>) -> Message {
        let accused = receiver.and_then(|it| self.records.get(it));
        let accused = accused.filter(|it| it.belief.standing != Standing::Alive);
        let mut changes: Vec<Belief> = accused.map(|it| it.belief.clone()).into_iter().collect();
        let limit = self.transmissions();
        let mut bytes: usize = changes.iter().map(encoded_len).sum();
        let mut waiting: Vec<(u32, MemberId)> = self.changes.iter().map(|(id, sent)| (*sent, id.clone())).collect();
        waiting.sort();
        for (sent, id) in waiting.into_iter().take(CHANGES_PER_MESSAGE - changes.len()) {
            if bytes >= CHANGES_BYTES {
                break;
            }
            if sent + 1 >= limit {
                self.changes.remove(&id);
            } else {
                self.changes.insert(id.clone(), sent + 1);
            }
            let belief = self.belief(&id).cloned();
            let belief = belief.or_else(|| (id == self.me.id).then(|| self.my_belief()));
            bytes += belief.as_ref().map_or(0, encoded_len);
            changes.extend(belief);
        }
        Message {
            from: self.me.clone(),
            refutation: self.refutation,
            body,
            changes,
        }
    }

    /// Times a change is sent by one member: three times the logarithm of the number of members.
    fn transmissions(&self) -> u32 {
        3 * (self.records.len() as u32 + 2).ilog2().max(1)
    }

    fn my_belief(&self) -> Belief {
        Belief {
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

fn order_of(belief: &Belief) -> (Incarnation, u32, Standing) {
    (belief.member.incarnation, belief.refutation, belief.standing)
}

fn encoded_len(belief: &Belief) -> usize {
    postcard::to_allocvec(belief).map_or(0, |it| it.len())
}
