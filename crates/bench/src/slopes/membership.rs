//! One instance of the membership protocol against generated messages.

use std::collections::VecDeque;
use std::net::SocketAddr;

use guava_core::ids::{Incarnation, MemberId, Role, Zone};
use guava_core::membership::{Body, MemberInfo, MemberState, Membership, Message, Output, PING_MS, Standing};
use guava_core::units::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Series, seeded};
use crate::allocator::kept_bytes;
use crate::process::timed;

/// Members: three processes on each of up to 1,500 nodes.
const SIZES: [usize; 4] = [50, 300, 1_500, 4_500];
const ROLES: [Role; 3] = [Role::Router, Role::Controller, Role::Admin];
/// Simulated time.
const SECONDS: u64 = 120;
/// Period of the runtime's timers.
const TICK_MS: u64 = 200;
/// VMs that fail or are restarted on a day, of 1,500.
const RESTARTS_PER_NODE_AND_DAY: f64 = (84.0 + 3_500.0) / 1_500.0;
/// Suspicion, end and return of a member.
const CHANGES_PER_RESTART: f64 = 3.0;
/// Time for which changes are found in the messages of others.
const FRESH_MS: u64 = 20_000;
/// Most changes of a message.
const CHANGES_PER_MESSAGE: usize = 8;
/// Digests, age and version that the runtime adds to a message.
const HEARTBEAT_BYTES: usize = 24;
const START_MS: u64 = 1_000_000;
/// The runtime sends answers to pulls as hexadecimal text.
pub(super) const HEX: usize = 2;

pub(super) fn info(index: usize, incarnation: u64) -> MemberInfo {
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

fn alive(index: usize, incarnation: u64) -> MemberState {
    MemberState {
        member: info(index, incarnation),
        refutation: 0,
        standing: Standing::Alive,
    }
}

fn filled(size: usize) -> Membership {
    let mut membership = Membership::new(info(0, 0), Millis(START_MS));
    let beliefs = (1..size).map(|it| alive(it, 0)).collect();
    membership.merge(beliefs, Millis(START_MS), &mut Output::default());
    membership
}

/// Rest of the fleet: answers pings, pings, and tells of restarts.
struct Fleet {
    size: usize,
    rng: ChaCha8Rng,
    incarnations: Vec<u64>,
    fresh: VecDeque<(u64, MemberState)>,
    owed: f64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            size,
            rng: seeded(),
            incarnations: vec![0; size],
            fresh: VecDeque::new(),
            owed: 0.0,
        }
    }

    fn churn(&mut self, now: u64) {
        let per_second = self.size as f64 * RESTARTS_PER_NODE_AND_DAY * CHANGES_PER_RESTART / 86_400.0;
        self.owed += per_second * TICK_MS as f64 / 1e3;
        while self.owed >= CHANGES_PER_RESTART {
            self.owed -= CHANGES_PER_RESTART;
            let index = self.rng.random_range(1..self.size);
            let ended = alive(index, self.incarnations[index]);
            self.incarnations[index] += 1;
            for standing in [Standing::Suspect, Standing::Down] {
                self.fresh.push_back((
                    now,
                    MemberState {
                        standing,
                        ..ended.clone()
                    },
                ));
            }
            self.fresh.push_back((now, alive(index, self.incarnations[index])));
        }
        while self.fresh.front().is_some_and(|(at, _)| now - at > FRESH_MS) {
            self.fresh.pop_front();
        }
    }

    fn message(&mut self, index: usize, body: Body) -> Message {
        let count = self.fresh.len().min(CHANGES_PER_MESSAGE);
        let changes = (0..count).map(|_| {
            let at = self.rng.random_range(0..self.fresh.len());
            self.fresh[at].1.clone()
        });
        Message {
            from: info(index, self.incarnations[index]),
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
        let member = info(index, self.incarnations[index]);
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
    sent: usize,
    messages: usize,
}

/// What the runtime does with one step: encodes the messages and compares digests.
fn finish(membership: &mut Membership, out: &Output, cost: &mut Cost) {
    for (_, message) in &out.send {
        membership.digest();
        cost.sent += postcard::to_allocvec(message).map_or(0, |it| it.len()) + HEARTBEAT_BYTES;
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
        finish(membership, &out, cost);
        membership.digest();
    });
    cost.ns += ns;
}

fn run(fleet: &mut Fleet, membership: &mut Membership, start: u64) -> Cost {
    let mut cost = Cost::default();
    let mut rng = seeded();
    for tick in 0..SECONDS * 1_000 / TICK_MS {
        let now = start + tick * TICK_MS;
        fleet.churn(now);
        let is_second = (tick * TICK_MS).is_multiple_of(PING_MS);
        let (out, ns) = timed(|| {
            let out = membership.tick(false, Millis(now), &mut rng);
            finish(membership, &out, &mut cost);
            if is_second {
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
        if is_second {
            let index = fleet.rng.random_range(1..fleet.size);
            let ping = fleet.message(index, Body::Ping { sequence: tick });
            receive(membership, &ping, Millis(now), &mut cost);
        }
    }
    cost
}

/// Sends until no change waits any more; returns the number of messages that took.
fn drain(membership: &mut Membership) -> f64 {
    let mut messages = 0.0;
    loop {
        let mut out = Output::default();
        membership.ping_seed(info(1, 0).gossip_addr, &mut out);
        let is_empty = out.send.iter().all(|(_, message)| message.changes.is_empty());
        if is_empty {
            return messages;
        }
        messages += 1.0;
    }
}

pub(super) fn measure() -> Vec<Series> {
    let design = 4_500.0;
    let mut cpu = Series::new("membership logic: processor time per member", "members", "µs/s", design);
    let mut bytes = Series::new("membership logic: bytes sent per member", "members", "B/s", design);
    let mut messages = Series::new("membership logic: messages sent per member", "members", "1/s", design);
    let mut memory = Series::new("membership logic: memory per member", "members", "B", design);
    let mut list = Series::new("membership: answer to a pull of all members", "members", "B", design);
    let mut start_cpu = Series::new(
        "membership logic, after a start: processor time",
        "members",
        "µs/s",
        design,
    );
    let mut start_bytes = Series::new("membership logic, after a start: bytes sent", "members", "B/s", design);
    let mut start_time = Series::new(
        "membership logic: time for which news of a start is spread",
        "members",
        "s",
        design,
    );
    for size in SIZES {
        let (mut membership, kept) = kept_bytes(|| filled(size));
        let seconds = SECONDS as f64;
        let mut fleet = Fleet::new(size);
        let cost = run(&mut fleet, &mut membership, START_MS);
        start_cpu.add(size, cost.ns / 1e3 / seconds);
        start_bytes.add(size, cost.sent as f64 / seconds);
        let queued = drain(&mut membership);
        let per_second = cost.messages as f64 / seconds;
        start_time.add(size, queued / per_second + seconds);
        let cost = run(&mut fleet, &mut membership, START_MS + SECONDS * 1_000);
        cpu.add(size, cost.ns / 1e3 / seconds);
        bytes.add(size, cost.sent as f64 / seconds);
        messages.add(size, cost.messages as f64 / seconds);
        memory.add(size, kept);
        let encoded = postcard::to_allocvec(&membership.states()).map_or(0, |it| it.len());
        list.add(size, (encoded * HEX) as f64);
    }
    vec![cpu, bytes, messages, memory, list, start_cpu, start_bytes, start_time]
}
