//! Series of faults, drawn from a seed.

use std::time::Duration;

use guava_platform_standin::server::ServerFaults;
use guava_platform_standin::store::StoreFaults;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::error::SoakError;
use crate::fleet::{ENGINE_COUNT, Fleet};
use crate::proxy::Link;

/// Time that a stopped process gets.
const GRACE: Duration = Duration::from_secs(8);

/// One fault with its place.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Entry process killed and started again.
    Kill(usize),
    /// Entry process told to stop, and started again.
    Stop(usize),
    /// Entry process paused.
    Pause(usize),
    /// Entry process told that its settings have changed.
    Hangup(usize),
    /// All entry processes killed at once.
    KillAll,
    /// Link of an entry process to the store.
    StoreLink(usize, Link),
    /// Link of the other entry processes to one.
    PeerLink(usize, Link),
    /// Link to a backend server.
    ServerLink(usize, Link),
    /// Store misbehaves.
    Store(StoreFaults),
    /// Store forgets its history.
    Compact,
    /// Backend server crashes and comes back empty under another id.
    Crash(usize),
    /// Backend server misbehaves.
    Server(usize, ServerFaults),
}

/// Fault, when it begins and how long it lasts.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Start in milliseconds from the start of traffic.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub for_ms: u64,
    /// Fault.
    pub fault: Fault,
}

/// Draws `count` faults that begin within `span_ms`; they may overlap.
pub fn plan(rng: &mut ChaCha8Rng, count: usize, span_ms: u64, vms: usize, backends: usize) -> Vec<Planned> {
    let mut planned: Vec<Planned> = (0..count)
        .map(|_| Planned {
            at_ms: rng.random_range(0..span_ms),
            for_ms: rng.random_range(300..4_000),
            fault: draw(rng, vms, backends),
        })
        .collect();
    planned.sort_by_key(|it| it.at_ms);
    planned
}

fn draw(rng: &mut ChaCha8Rng, vms: usize, backends: usize) -> Fault {
    let vm = rng.random_range(0..vms);
    let backend = rng.random_range(0..backends);
    match rng.random_range(0..16) {
        0 | 1 => Fault::Kill(vm),
        2 | 3 => Fault::Stop(vm),
        4 => Fault::Pause(vm),
        5 => Fault::Hangup(vm),
        6 => Fault::KillAll,
        7 | 8 => Fault::StoreLink(vm, draw_link(rng)),
        9 => Fault::PeerLink(vm, draw_link(rng)),
        10 => Fault::ServerLink(backend, draw_link(rng)),
        11 | 12 => Fault::Store(draw_store(rng)),
        13 => Fault::Compact,
        14 => Fault::Crash(backend),
        _ => Fault::Server(backend, draw_server(rng)),
    }
}

fn draw_link(rng: &mut ChaCha8Rng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Delayed(Duration::from_millis(rng.random_range(5..80))),
        1 => Link::SilentForth,
        2 => Link::SilentBack,
        3 => Link::Silent,
        _ => Link::Reset,
    }
}

fn draw_store(rng: &mut ChaCha8Rng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match rng.random_range(0..4) {
        0 => faults.is_down = true,
        1 => faults.is_silent = true,
        2 => faults.delay = Duration::from_millis(rng.random_range(50..300)),
        _ => faults.lost_answers = 0.4,
    }
    faults
}

fn draw_server(rng: &mut ChaCha8Rng) -> ServerFaults {
    let mut faults = ServerFaults::default();
    match rng.random_range(0..3) {
        0 => faults.cut = 0.3,
        1 => faults.mute = 0.2,
        _ => faults.failing = 0.4,
    }
    faults
}

/// Brings a fault about and ends it after its time.
///
/// # Errors
///
/// Fails when a process or server cannot be started again.
pub async fn play(fleet: &tokio::sync::Mutex<Fleet>, planned: &Planned) -> Result<(), SoakError> {
    let time = Duration::from_millis(planned.for_ms);
    match &planned.fault {
        Fault::Kill(at) => restart(fleet, *at, Signal::KILL, time).await,
        Fault::Stop(at) => restart(fleet, *at, Signal::TERM, time).await,
        Fault::Pause(at) => {
            fleet.lock().await.processes[*at].signal(Signal::STOP);
            sleep(time).await;
            fleet.lock().await.processes[*at].signal(Signal::CONT);
            Ok(())
        }
        Fault::Hangup(at) => {
            fleet.lock().await.processes[*at].signal(Signal::HUP);
            Ok(())
        }
        Fault::KillAll => kill_all(fleet, time).await,
        Fault::StoreLink(at, link) => {
            fleet.lock().await.processes[*at].store_link.set(*link);
            sleep(time).await;
            fleet.lock().await.processes[*at].store_link.set(Link::Open);
            Ok(())
        }
        Fault::PeerLink(at, link) => {
            fleet.lock().await.processes[*at].peer_link.set(*link);
            sleep(time).await;
            fleet.lock().await.processes[*at].peer_link.set(Link::Open);
            Ok(())
        }
        Fault::ServerLink(at, link) => {
            fleet.lock().await.backends[*at].link.set(*link);
            sleep(time).await;
            fleet.lock().await.backends[*at].link.set(Link::Open);
            Ok(())
        }
        Fault::Store(faults) => {
            fleet.lock().await.store.set_faults(*faults);
            sleep(time).await;
            fleet.lock().await.store.set_faults(StoreFaults::default());
            Ok(())
        }
        Fault::Compact => {
            fleet.lock().await.store.forget_history();
            Ok(())
        }
        Fault::Crash(at) => crash(fleet, *at, time).await,
        Fault::Server(at, faults) => {
            set_server(fleet, *at, *faults).await;
            sleep(time).await;
            set_server(fleet, *at, ServerFaults::default()).await;
            Ok(())
        }
    }
}

async fn set_server(fleet: &tokio::sync::Mutex<Fleet>, at: usize, faults: ServerFaults) {
    if let Some(server) = &fleet.lock().await.backends[at].server {
        server.set_faults(faults);
    }
}

async fn restart(
    fleet: &tokio::sync::Mutex<Fleet>,
    at: usize,
    signal: Signal,
    time: Duration,
) -> Result<(), SoakError> {
    fleet.lock().await.processes[at].signal(signal);
    let started = tokio::time::Instant::now();
    if signal == Signal::TERM {
        // A paused or slow process is killed at the end of its grace period, as the platform does.
        while started.elapsed() < GRACE && !fleet.lock().await.processes[at].has_ended() {
            sleep(Duration::from_millis(100)).await;
        }
        fleet.lock().await.processes[at].signal(Signal::KILL);
    }
    sleep(time).await;
    let mut fleet = fleet.lock().await;
    let process = &mut fleet.processes[at];
    process.signal(Signal::KILL);
    process.wait().await;
    process.start()
}

async fn kill_all(fleet: &tokio::sync::Mutex<Fleet>, time: Duration) -> Result<(), SoakError> {
    let count = {
        let fleet = fleet.lock().await;
        for process in &fleet.processes {
            process.signal(Signal::KILL);
        }
        fleet.processes.len()
    };
    sleep(time).await;
    let mut fleet = fleet.lock().await;
    for at in 0..count {
        let process = &mut fleet.processes[at];
        process.signal(Signal::KILL);
        process.wait().await;
        process.start()?;
    }
    Ok(())
}

async fn crash(fleet: &tokio::sync::Mutex<Fleet>, at: usize, time: Duration) -> Result<(), SoakError> {
    let server = {
        let mut fleet = fleet.lock().await;
        // Model engines and plain servers are both left with one of their kind.
        let is_engine = at < ENGINE_COUNT;
        let kind = if is_engine {
            0..ENGINE_COUNT
        } else {
            ENGINE_COUNT..fleet.backends.len()
        };
        let up = fleet.backends[kind].iter().filter(|it| it.server.is_some()).count();
        if up < 2 {
            return Ok(());
        }
        fleet.backends[at].server.take()
    };
    let Some(server) = server else {
        return Ok(());
    };
    let id = server.id().to_owned();
    drop(server);
    // The entry of a silent server lapses after three heartbeats.
    sleep(time.max(Duration::from_millis(1_200))).await;
    let mut fleet = fleet.lock().await;
    let (store, record) = (fleet.store.clone(), fleet.record.clone());
    store.remove("servers", &id);
    fleet.backends[at].restart(&store, &record)
}
