//! One instance of the membership protocol that exchanges messages with a simulated fleet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use guava_core::ids::{Incarnation, MemberId, Role, Zone};
use guava_core::membership::{Body, MemberInfo, MemberState, Membership, Message, Output, PING_MS, Standing};
use guava_core::units::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Series, seeded_rng};
use crate::allocator::retained_bytes;
use crate::process::timed;

/// Members: three processes on each node, up to 1,500 nodes.
const SIZES: [usize; 4] = [50, 300, 1_500, 4_500];
const ROLES: [Role; 3] = [Role::Router, Role::Controller, Role::Admin];
/// Simulated time per run.
const SIMULATED_SECONDS: u64 = 120;
/// Period of the runtime's timers.
const TICK_MS: u64 = 200;
/// Failures and restarts per node and day: 84 and 3,500 among 1,500 VMs.
const RESTARTS_PER_NODE_AND_DAY: f64 = (84.0 + 3_500.0) / 1_500.0;
/// A restart causes three changes: the member is suspected, declared down and alive again.
const CHANGES_PER_RESTART: f64 = 3.0;
/// Time for which other members include a change in their messages.
const CHANGE_LIFETIME_MS: u64 = 20_000;
/// Maximum number of changes in a message.
const CHANGES_PER_MESSAGE: usize = 8;
/// Size of the digests, the age and the version that the runtime adds to each message.
const HEARTBEAT_BYTES: usize = 24;
const START_MS: u64 = 1_000_000;
/// The runtime sends pull responses as hexadecimal text.
pub(super) const HEX_CHARS_PER_BYTE: usize = 2;

pub(super) fn member_info(index: usize, incarnation: u64) -> MemberInfo {
    let port = 1024 + (index % 60_000) as u16;
    let addr = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port));
    MemberInfo {
        id: MemberId::new(format!("vm-{:05}", index / 3), ROLES[index % 3]),
        incarnation: Incarnation(1_700_000_000_000 + incarnation),
        zone: Zone::new(format!("zone-{}", index / 3 % 7)),
        gossip_addr: addr,
        rpc_addr: addr,
    }
}

fn alive_belief(index: usize, incarnation: u64) -> MemberState {
    MemberState {
        member: member_info(index, incarnation),
        refutation: 0,
        standing: Standing::Alive,
    }
}

fn filled_membership(size: usize) -> Membership {
    let mut membership = Membership::new(member_info(0, 0), Millis(START_MS));
    let beliefs = (1..size).map(|it| alive_belief(it, 0)).collect();
    membership.merge(beliefs, Millis(START_MS), &mut Output::default());
    membership
}

/// Simulates the other members: answers pings, sends pings and reports restarts.
struct SimulatedFleet {
    size: usize,
    rng: ChaCha8Rng,
    incarnations: Vec<u64>,
    recent_changes: VecDeque<(u64, MemberState)>,
    changes_due: f64,
}

impl SimulatedFleet {
    fn new(size: usize) -> Self {
        Self {
            size,
            rng: seeded_rng(),
            incarnations: vec![0; size],
            recent_changes: VecDeque::new(),
            changes_due: 0.0,
        }
    }

    fn restart_members(&mut self, now: u64) {
        let per_second = self.size as f64 * RESTARTS_PER_NODE_AND_DAY * CHANGES_PER_RESTART / 86_400.0;
        self.changes_due += per_second * TICK_MS as f64 / 1e3;
        while self.changes_due >= CHANGES_PER_RESTART {
            self.changes_due -= CHANGES_PER_RESTART;
            let index = self.rng.random_range(1..self.size);
            let previous = alive_belief(index, self.incarnations[index]);
            self.incarnations[index] += 1;
            for standing in [Standing::Suspect, Standing::Down] {
                self.recent_changes.push_back((
                    now,
                    MemberState {
                        standing,
                        ..previous.clone()
                    },
                ));
            }
            self.recent_changes
                .push_back((now, alive_belief(index, self.incarnations[index])));
        }
        while self
            .recent_changes
            .front()
            .is_some_and(|(at, _)| now - at > CHANGE_LIFETIME_MS)
        {
            self.recent_changes.pop_front();
        }
    }

    fn message(&mut self, index: usize, body: Body) -> Message {
        let count = self.recent_changes.len().min(CHANGES_PER_MESSAGE);
        let changes = (0..count).map(|_| {
            let at = self.rng.random_range(0..self.recent_changes.len());
            self.recent_changes[at].1.clone()
        });
        Message {
            from: member_info(index, self.incarnations[index]),
            refutation: 0,
            body,
            changes: changes.collect(),
        }
    }

    fn index_of(addr: SocketAddr) -> usize {
        let SocketAddr::V4(addr) = addr else { return 1 };
        let [_, _, high, low] = addr.ip().octets();
        usize::from(high) * 250 + usize::from(low)
    }

    fn ack(&mut self, addr: SocketAddr, sequence: u64) -> Message {
        let index = Self::index_of(addr);
        let member = member_info(index, self.incarnations[index]);
        let body = Body::Ack {
            sequence,
            target: member.id,
            incarnation: member.incarnation,
        };
        self.message(index, body)
    }
}

#[derive(Default)]
struct Cost {
    ns: f64,
    sent_bytes: usize,
    messages: usize,
}

/// Does what the runtime does for each message to send: computes the digest and encodes the message.
fn encode_messages(membership: &mut Membership, out: &Output, cost: &mut Cost) {
    for (_, message) in &out.send {
        membership.digest();
        cost.sent_bytes += postcard::to_allocvec(message).map_or(0, |it| it.len()) + HEARTBEAT_BYTES;
        cost.messages += 1;
    }
}

fn receive(membership: &mut Membership, message: &Message, now: Millis, cost: &mut Cost) {
    let bytes = postcard::to_allocvec(message).unwrap_or_default();
    let ((), ns) = timed(|| {
        let Ok(message) = postcard::from_bytes::<Message>(&bytes) else {
            return;
        };
        let out = membership.receive(message, now);
        encode_messages(membership, &out, cost);
        membership.digest();
    });
    cost.ns += ns;
}

fn run(fleet: &mut SimulatedFleet, membership: &mut Membership, start: u64) -> Cost {
    let mut cost = Cost::default();
    let mut rng = seeded_rng();
    for tick in 0..SIMULATED_SECONDS * 1_000 / TICK_MS {
        let now = start + tick * TICK_MS;
        fleet.restart_members(now);
        let is_ping_due = (tick * TICK_MS).is_multiple_of(PING_MS);
        let (out, ns) = timed(|| {
            let out = membership.tick(false, Millis(now), &mut rng);
            encode_messages(membership, &out, &mut cost);
            if is_ping_due {
                std::hint::black_box(membership.alive_vms());
            }
            out
        });
        cost.ns += ns;
        let pings = out.send.iter().filter_map(|(addr, message)| match message.body {
            Body::Ping { sequence } => Some((*addr, sequence)),
            _ => None,
        });
        for (addr, sequence) in pings.collect::<Vec<_>>() {
            let ack = fleet.ack(addr, sequence);
            receive(membership, &ack, Millis(now), &mut cost);
        }
        if is_ping_due {
            let index = fleet.rng.random_range(1..fleet.size);
            let ping = fleet.message(index, Body::Ping { sequence: tick });
            receive(membership, &ping, Millis(now), &mut cost);
        }
    }
    cost
}

/// Sends messages until no change is queued and returns how many messages that took.
fn drain_changes(membership: &mut Membership) -> f64 {
    let mut messages = 0.0;
    loop {
        let mut out = Output::default();
        membership.ping_seed(member_info(1, 0).gossip_addr, &mut out);
        let is_empty = out.send.iter().all(|(_, message)| message.changes.is_empty());
        if is_empty {
            return messages;
        }
        messages += 1.0;
    }
}

pub(super) fn measure() -> Vec<Series> {
    let design_size = 4_500.0;
    let mut cpu = Series::new(
        "membership logic: processor time per member",
        "members",
        "µs/s",
        design_size,
    );
    let mut bytes = Series::new("membership logic: bytes sent per member", "members", "B/s", design_size);
    let mut messages = Series::new(
        "membership logic: messages sent per member",
        "members",
        "1/s",
        design_size,
    );
    let mut memory = Series::new("membership logic: memory per member", "members", "B", design_size);
    let mut member_list = Series::new(
        "membership: answer to a pull of all members",
        "members",
        "B",
        design_size,
    );
    let mut start_cpu = Series::new(
        "membership logic, after a start: processor time",
        "members",
        "µs/s",
        design_size,
    );
    let mut start_bytes = Series::new(
        "membership logic, after a start: bytes sent",
        "members",
        "B/s",
        design_size,
    );
    let mut start_time = Series::new(
        "membership logic: time for which news of a start is spread",
        "members",
        "s",
        design_size,
    );
    for size in SIZES {
        let (mut membership, retained) = retained_bytes(|| filled_membership(size));
        let seconds = SIMULATED_SECONDS as f64;
        let mut fleet = SimulatedFleet::new(size);
        let cost = run(&mut fleet, &mut membership, START_MS);
        start_cpu.add_point(size, cost.ns / 1e3 / seconds);
        start_bytes.add_point(size, cost.sent_bytes as f64 / seconds);
        let messages_to_drain = drain_changes(&mut membership);
        let per_second = cost.messages as f64 / seconds;
        start_time.add_point(size, messages_to_drain / per_second + seconds);
        let cost = run(&mut fleet, &mut membership, START_MS + SIMULATED_SECONDS * 1_000);
        cpu.add_point(size, cost.ns / 1e3 / seconds);
        bytes.add_point(size, cost.sent_bytes as f64 / seconds);
        messages.add_point(size, cost.messages as f64 / seconds);
        memory.add_point(size, retained);
        let encoded = postcard::to_allocvec(&membership.states()).map_or(0, |it| it.len());
        member_list.add_point(size, (encoded * HEX_CHARS_PER_BYTE) as f64);
    }
    vec![
        cpu,
        bytes,
        messages,
        memory,
        member_list,
        start_cpu,
        start_bytes,
        start_time,
    ]
}
