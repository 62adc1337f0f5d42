//! UDP loop: heartbeats, pushes of changes and the timers of the membership protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use guava_core::events::Event;
use guava_core::gossip::{Push, choose_receivers};
use guava_core::ids::{Incarnation, MemberId};
use guava_core::membership::Message;
use guava_core::rendezvous;
use guava_core::units::Millis;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::antientropy::Mismatch;
use crate::shared::Shared;
use crate::vms::VM_WATCH_KEY;
use crate::watchers::WATCHERS_PER_ZONE;
use crate::wire::{self, Heartbeat, Packet};
use crate::{Members, Spread};

/// Period of the membership timers.
const TICK: Duration = Duration::from_millis(200);
/// Delay of a tick after which the process counts as paused.
const PAUSE_MS: u64 = 2_000;
/// Age of the last confirmation after which a process asks a watcher.
const ASK_WATCHER_MS: u64 = 1_500;
/// Age of the last confirmation after which a process pings several members per period.
const EAGER_MS: u64 = 2_500;
/// Time between looks at the whole fleet.
const OBSERVE_MS: u64 = 1_000;
/// Time between pings to seeds while other members are known.
const SEED_MS: u64 = 10_000;
/// Time between pings to seeds while no other member is known.
const LONELY_SEED_MS: u64 = 1_000;
/// Time for which changes are collected into one push.
pub(crate) const PUSH_DELAY: Duration = Duration::from_millis(5);
/// Largest datagram that is read; members with long names send more than the usual 1,200 bytes.
const DATAGRAM_BYTES: usize = 8_192;
/// Pause after an error of the socket, so that a lasting one does not cause a busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Time between questions of a starting process.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Times a starting process asks.
const HELLO_ATTEMPTS: usize = 4;
/// Answers that end the questions of a starting process.
const HELLO_ANSWERS: usize = 3;

/// Sends datagrams and counts them.
#[derive(Debug, Clone)]
pub(crate) struct Sender {
    socket: Arc<UdpSocket>,
    bytes: Arc<AtomicU64>,
}

impl Sender {
    pub(crate) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            bytes: Arc::default(),
        }
    }

    pub(crate) fn bytes(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.bytes)
    }

    pub(crate) async fn send(&self, addr: SocketAddr, packet: &Packet) {
        let bytes = wire::encode(packet);
        // A datagram that cannot be sent is lost like any other; timers and anti-entropy repair it.
        if let Ok(sent) = self.socket.send_to(&bytes, addr).await {
            self.bytes.fetch_add(sent as u64, Ordering::Relaxed);
        }
    }

    pub(crate) async fn heartbeat(
        &self,
        addr: SocketAddr,
        message: Message,
        digest: u64,
        members_digest: u64,
        age_ms: u64,
    ) {
        let heartbeat = Heartbeat {
            message,
            digest,
            members_digest,
            age_ms,
        };
        self.send(addr, &Packet::Heartbeat(Box::new(heartbeat))).await;
    }
}

/// Asks seeds for the latest incarnation of `id` that they have heard of.
pub(crate) async fn ask_incarnation(socket: &UdpSocket, id: &MemberId, seeds: &[SocketAddr]) -> Incarnation {
    let mut latest = Incarnation(0);
    let mut answers = 0;
    let wanted = HELLO_ANSWERS.min(seeds.len());
    let question = wire::encode(&Packet::Hello { id: id.clone() });
    for _ in 0..HELLO_ATTEMPTS {
        if answers >= wanted {
            break;
        }
        for seed in seeds {
            // An unreachable seed is the same as a silent one.
            let _ = socket.send_to(&question, seed).await;
        }
        let collect = collect_answers(socket, wanted, &mut answers, &mut latest);
        // The time limit only ends the wait; what was collected stays.
        let _ = tokio::time::timeout(HELLO_INTERVAL, collect).await;
    }
    latest
}

async fn collect_answers(socket: &UdpSocket, wanted: usize, answers: &mut usize, latest: &mut Incarnation) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    while *answers < wanted {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        if let Some(Packet::Welcome { latest: heard }) = wire::decode(&buf[..len]) {
            *answers += 1;
            *latest = heard.unwrap_or_default().max(*latest);
        }
    }
}

/// Receives datagrams until the task is stopped.
pub(crate) async fn receive_loop(shared: Arc<Shared>, socket: Arc<UdpSocket>, mismatches: mpsc::Sender<Mismatch>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        // On Linux an unreachable receiver of an earlier datagram can surface here as an error.
        let Ok((len, addr)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        match wire::decode(&buf[..len]) {
            Some(Packet::Heartbeat(heartbeat)) => on_heartbeat(&shared, *heartbeat, &mismatches).await,
            Some(Packet::Push { from, push }) => on_push(&shared, from, push, &mismatches),
            Some(Packet::Hello { id }) => {
                let latest = shared.members.latest(&id);
                shared.sender.send(addr, &Packet::Welcome { latest }).await;
            }
            Some(Packet::Welcome { .. }) | None => {}
        }
    }
}

async fn on_heartbeat(shared: &Shared, heartbeat: Heartbeat, mismatches: &mpsc::Sender<Mismatch>) {
    let from = heartbeat.message.from.id.clone();
    let out = shared.members.receive(heartbeat.message, heartbeat.age_ms);
    shared.dispatch(out).await;
    if from == shared.me().id {
        return;
    }
    let mismatch = Mismatch {
        member: from,
        entries: heartbeat.digest != shared.spread.digest(),
        members: heartbeat.members_digest != shared.members.digest(),
        urgent: false,
    };
    if !mismatch.entries {
        shared.spread.note_match();
    }
    if mismatch.entries || mismatch.members {
        // When the queue is full a pull is under way, and the next heartbeat will show what remains.
        let _ = mismatches.try_send(mismatch);
    }
}

fn on_push(shared: &Shared, from: MemberId, push: Push, mismatches: &mpsc::Sender<Mismatch>) {
    for entry in push.entries {
        shared.spread.put(Arc::unwrap_or_clone(entry));
    }
    let lacks_large = push.notices.iter().any(|it| shared.spread.is_news(&it.key, it.version));
    if lacks_large {
        let mismatch = Mismatch {
            member: from,
            entries: true,
            members: false,
            urgent: true,
        };
        // As above, the next heartbeat repeats what a full queue drops.
        let _ = mismatches.try_send(mismatch);
    }
}

/// Pushes changes to random members.
pub(crate) async fn push_loop(shared: Arc<Shared>) {
    loop {
        shared.spread.queued.notified().await;
        tokio::time::sleep(PUSH_DELAY).await;
        let members = shared.members.other_addrs();
        for push in shared.spread.take_pushes() {
            let receivers = choose_receivers(&members, &mut rand::rng());
            let packet = Packet::Push {
                from: shared.me().id.clone(),
                push,
            };
            for receiver in receivers {
                shared.sender.send(receiver, &packet).await;
            }
        }
    }
}

/// State of the timer loop.
#[derive(Debug)]
struct Timers {
    last: Millis,
    next_observe: Millis,
    next_seed: Millis,
    was_isolated: bool,
    was_ready: bool,
    watchers: (u64, Vec<MemberId>),
}

/// Runs the timers of the membership protocol.
pub(crate) async fn tick_loop(shared: Arc<Shared>, seeds: Vec<SocketAddr>) {
    let now = shared.clock.now();
    let mut timers = Timers {
        last: now,
        next_observe: now,
        next_seed: now,
        was_isolated: false,
        was_ready: false,
        watchers: (0, Vec::new()),
    };
    loop {
        tick(&shared, &seeds, &mut timers).await;
        tokio::time::sleep(TICK).await;
    }
}

async fn tick(shared: &Shared, seeds: &[SocketAddr], timers: &mut Timers) {
    let now = shared.clock.now();
    let gap = now.since(timers.last);
    timers.last = now;
    if gap >= PAUSE_MS {
        let detail = format!("{gap} ms");
        shared.timeline.record(Event::PauseDetected, None, None, &detail);
        shared.members.forget_pings();
    }
    let age = shared.members.age();
    let out = shared.members.tick(age >= EAGER_MS);
    shared.dispatch(out).await;
    if now >= timers.next_observe {
        timers.next_observe = now + OBSERVE_MS;
        shared.members.observe_fleet();
        if age >= ASK_WATCHER_MS {
            ping_watcher(shared, timers).await;
        }
    }
    if now >= timers.next_seed {
        ping_seeds(shared, seeds, timers, now).await;
    }
    record_transitions(shared, timers);
}

/// Pings a watcher, which has the most recent contact with the platform.
async fn ping_watcher(shared: &Shared, timers: &mut Timers) {
    let epoch = shared.members.epoch();
    if timers.watchers.0 != epoch {
        timers.watchers = (epoch, vm_watchers(shared));
    }
    let watcher = timers.watchers.1.choose(&mut rand::rng()).cloned();
    if let Some(watcher) = watcher {
        let out = shared.members.ping(&watcher);
        shared.dispatch(out).await;
    }
}

fn vm_watchers(shared: &Shared) -> Vec<MemberId> {
    let mut members = shared.members.others();
    members.sort_by(|a, b| a.zone.cmp(&b.zone));
    members
        .chunk_by(|a, b| a.zone == b.zone)
        .flat_map(|zone| {
            let ranked = rendezvous::rank(VM_WATCH_KEY, zone, |it| it.id.to_string());
            ranked.into_iter().take(WATCHERS_PER_ZONE).map(|it| it.id.clone())
        })
        .collect()
}

async fn ping_seeds(shared: &Shared, seeds: &[SocketAddr], timers: &mut Timers, now: Millis) {
    let lonely = shared.members.other_addrs().is_empty();
    timers.next_seed = now + if lonely { LONELY_SEED_MS } else { SEED_MS };
    let chosen: Vec<SocketAddr> = if lonely {
        seeds.to_vec()
    } else {
        seeds.choose(&mut rand::rng()).copied().into_iter().collect()
    };
    for seed in chosen {
        let out = shared.members.ping_seed(seed);
        shared.dispatch(out).await;
    }
}

fn record_transitions(shared: &Shared, timers: &mut Timers) {
    let isolated = shared.members.isolated();
    if isolated != timers.was_isolated {
        timers.was_isolated = isolated;
        let event = if isolated { Event::Isolated } else { Event::Reconnected };
        shared.timeline.record(event, None, None, "");
    }
    // Others may already act for this identifier, whether a later life of it exists or it was declared ended.
    if shared.members.superseded() {
        shared.begin_shutdown("another process has this identifier, or this incarnation was declared ended");
    }
    if !timers.was_ready && shared.is_ready() {
        timers.was_ready = true;
        shared.timeline.record(Event::ProcessReady, None, None, "");
    }
}
