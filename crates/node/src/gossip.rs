//! UDP loops: heartbeats, pushes of changed entries and the timers of the membership protocol.

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
use crate::{GossipState, Members};

/// Period of the membership timers.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two ticks from which the process counts as having been paused.
const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// Confirmation age (see `MemberTable::confirmation_age`) from which a process pings a watcher of the VM list.
const WATCHER_PING_AFTER_MS: u64 = 1_500;
/// Confirmation age from which a process pings several members per period.
const EAGER_PINGS_AFTER_MS: u64 = 2_500;
/// Time between updates of the isolation check.
const OBSERVE_INTERVAL_MS: u64 = 1_000;
/// Time between pings to a random seed while other members are known.
const SEED_PING_INTERVAL_MS: u64 = 10_000;
/// Time between pings to all seeds while no other member is known.
const SEED_PING_INTERVAL_ALONE_MS: u64 = 1_000;
/// Time for which changes are collected before they are pushed.
pub(crate) const PUSH_DELAY: Duration = Duration::from_millis(5);
/// Pushes sent before a pause. Without a pause a large import would overflow the receivers' socket buffers.
const PUSH_BATCH_LEN: usize = 32;
/// Pause between batches of pushes.
const PUSH_PAUSE: Duration = Duration::from_millis(20);
/// Size of the receive buffer. Datagrams normally stay within 1,200 bytes; those of members with long names are larger.
const MAX_DATAGRAM_BYTES: usize = 8_192;
/// Pause after a socket error, so that a persistent error does not cause a busy loop.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Time for which a starting process waits for replies to one round of [`Packet::Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_millis(100);
/// Most rounds of [`Packet::Hello`] that a starting process sends.
const HELLO_ROUNDS: usize = 4;
/// Replies that are enough for a starting process to send no further round.
const HELLO_REPLIES: usize = 3;

/// Sends datagrams and counts the bytes sent.
#[derive(Debug, Clone)]
pub(crate) struct DatagramSender {
    socket: Arc<UdpSocket>,
    sent_bytes: Arc<AtomicU64>,
}

impl DatagramSender {
    pub(crate) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            sent_bytes: Arc::default(),
        }
    }

    pub(crate) fn sent_bytes(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.sent_bytes)
    }

    pub(crate) async fn send(&self, addr: SocketAddr, packet: &Packet) {
        let bytes = wire::encode(packet);
        // A failed send is treated like a lost datagram; later pings and anti-entropy make up for it.
        if let Ok(sent) = self.socket.send_to(&bytes, addr).await {
            self.sent_bytes.fetch_add(sent as u64, Ordering::Relaxed);
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

/// Queries `seeds` for the latest incarnation of `id` that they know; `Incarnation(0)` when no seed knows one or
/// replies.
pub(crate) async fn query_incarnation(socket: &UdpSocket, id: &MemberId, seeds: &[SocketAddr]) -> Incarnation {
    let mut latest = Incarnation(0);
    let mut replies = 0;
    let wanted = HELLO_REPLIES.min(seeds.len());
    let hello = wire::encode(&Packet::Hello { id: id.clone() });
    for _ in 0..HELLO_ROUNDS {
        if replies >= wanted {
            break;
        }
        for seed in seeds {
            // An unreachable seed is treated like one that does not reply.
            let _ = socket.send_to(&hello, seed).await;
        }
        let collect = collect_replies(socket, wanted, &mut replies, &mut latest);
        // Replies received before the timeout are kept.
        let _ = tokio::time::timeout(HELLO_TIMEOUT, collect).await;
    }
    latest
}

async fn collect_replies(socket: &UdpSocket, wanted: usize, replies: &mut usize, latest: &mut Incarnation) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    while *replies < wanted {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            continue;
        };
        if let Some(Packet::Welcome { latest: reported }) = wire::decode(&buf[..len]) {
            *replies += 1;
            *latest = reported.unwrap_or_default().max(*latest);
        }
    }
}

/// Receives and handles datagrams until the task is aborted.
pub(crate) async fn receive_loop(shared: Arc<Shared>, socket: Arc<UdpSocket>, mismatches: mpsc::Sender<Mismatch>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // On Linux an earlier datagram to an unreachable address can cause an error here.
        let Ok((len, addr)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
            continue;
        };
        match wire::decode(&buf[..len]) {
            Some(Packet::Heartbeat(heartbeat)) => on_heartbeat(&shared, *heartbeat, &mismatches).await,
            Some(Packet::Push { from, push }) => on_push(&shared, from, push, &mismatches),
            Some(Packet::Hello { id }) => {
                let latest = shared.members.latest_incarnation(&id);
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
        entries: heartbeat.digest != shared.gossip.digest(),
        members: heartbeat.members_digest != shared.members.digest(),
        urgent: false,
    };
    if !mismatch.entries {
        shared.gossip.record_match();
    }
    if mismatch.entries || mismatch.members {
        // When the queue is full a repair is in progress, and a later heartbeat reports the remaining mismatch.
        let _ = mismatches.try_send(mismatch);
    }
}

fn on_push(shared: &Shared, from: MemberId, push: Push, mismatches: &mpsc::Sender<Mismatch>) {
    for entry in push.entries {
        shared.gossip.put(Arc::unwrap_or_clone(entry));
    }
    let misses_large_entry = push
        .notices
        .iter()
        .any(|it| shared.gossip.is_newer(&it.key, it.version));
    if misses_large_entry {
        let mismatch = Mismatch {
            member: from,
            entries: true,
            members: false,
            urgent: true,
        };
        // When the queue is full a later heartbeat reports the mismatch.
        let _ = mismatches.try_send(mismatch);
    }
}

/// Pushes changed entries to random members until the task is aborted.
pub(crate) async fn push_loop(shared: Arc<Shared>) {
    loop {
        shared.gossip.push_needed.notified().await;
        tokio::time::sleep(PUSH_DELAY).await;
        while shared.gossip.has_queued_pushes() {
            push_batch(&shared).await;
            tokio::time::sleep(PUSH_PAUSE).await;
        }
    }
}

async fn push_batch(shared: &Shared) {
    let members = shared.members.other_addrs();
    for push in shared.gossip.take_pushes(PUSH_BATCH_LEN) {
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

#[derive(Debug)]
struct Timers {
    last_tick: Millis,
    next_observation: Millis,
    next_seed_ping: Millis,
    was_isolated: bool,
    was_ready: bool,
    /// Watchers of the VM list in all zones, with the epoch of the member table for which they were computed.
    watchers: (u64, Vec<MemberId>),
}

/// Runs the timers of the membership protocol until the task is aborted.
pub(crate) async fn timer_loop(shared: Arc<Shared>, seeds: Vec<SocketAddr>) {
    let now = shared.clock.now();
    let mut timers = Timers {
        last_tick: now,
        next_observation: now,
        next_seed_ping: now,
        was_isolated: false,
        was_ready: false,
        watchers: (0, Vec::new()),
    };
    loop {
        tick(&shared, &seeds, &mut timers).await;
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn tick(shared: &Shared, seeds: &[SocketAddr], timers: &mut Timers) {
    let now = shared.clock.now();
    let gap = now.since(timers.last_tick);
    timers.last_tick = now;
    if gap >= PAUSE_THRESHOLD_MS {
        let detail = format!("{gap} ms");
        shared.timeline.record(Event::PauseDetected, None, None, &detail);
        shared.members.resume_after_pause();
    }
    let age = shared.members.confirmation_age();
    let out = shared.members.tick(age >= EAGER_PINGS_AFTER_MS);
    shared.dispatch(out).await;
    if now >= timers.next_observation {
        timers.next_observation = now + OBSERVE_INTERVAL_MS;
        shared.members.observe_fleet();
        if age >= WATCHER_PING_AFTER_MS {
            ping_watcher(shared, timers).await;
        }
    }
    if now >= timers.next_seed_ping {
        ping_seeds(shared, seeds, timers, now).await;
    }
    record_transitions(shared, timers);
}

/// Pings a random watcher of the VM list; watchers have the most recent contact with the platform.
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
    let is_alone = shared.members.other_addrs().is_empty();
    timers.next_seed_ping = now
        + if is_alone {
            SEED_PING_INTERVAL_ALONE_MS
        } else {
            SEED_PING_INTERVAL_MS
        };
    let chosen: Vec<SocketAddr> = if is_alone {
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
    // Another process may already act under this identifier, so this one must stop.
    if shared.members.is_superseded() {
        shared.begin_shutdown("another process has this identifier, or this incarnation was declared ended");
    }
    if !timers.was_ready && shared.is_ready() {
        timers.was_ready = true;
        shared.timeline.record(Event::ProcessReady, None, None, "");
    }
}
