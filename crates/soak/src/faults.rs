//! Random series of faults, and how each fault is injected.

use std::time::{Duration, Instant};

use guava_platform_standin::server::{ServerFaults, Stated};
use guava_platform_standin::store::StoreFaults;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::error::SoakError;
use crate::fleet::{ENGINE_COUNT, Fleet, backend_name};
use crate::proxy::Link;

/// Time after SIGTERM at which a process that has not exited is killed.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time for which a server serves on after its entry says that it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Interval between two changes of the configuration.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(150);

/// Kind of fault. Numbers are indexes in the fleet's list of processes or backend servers.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Kills an entry process and starts it again.
    Kill(usize),
    /// Stops an entry process gracefully with SIGTERM and starts it again.
    Stop(usize),
    /// Pauses an entry process with SIGSTOP.
    Pause(usize),
    /// Makes an entry process reload its settings with SIGHUP.
    Hangup(usize),
    /// Kills all entry processes at once and starts them again.
    KillAll,
    /// Changes the link from an entry process to the store.
    StoreLink(usize, Link),
    /// Changes the link from the other entry processes to one entry process.
    PeerLink(usize, Link),
    /// Changes the link from all entry processes to a backend server.
    ServerLink(usize, Link),
    /// Changes the links from one entry process to all backend servers of a kind: to the engines, or to the others.
    VmLink(usize, Link, bool),
    /// Sets faults of the store.
    Store(StoreFaults),
    /// Discards the store's history of changes, so that watches must list all objects again.
    Compact,
    /// Takes the store down and restores it from a copy of this age.
    Restore(Duration),
    /// Crashes a backend server and starts it again with another id and without loaded models.
    Crash(usize),
    /// Sets faults of a backend server.
    Server(usize, ServerFaults),
    /// Makes a backend server send nothing for a time, after which it goes on.
    Silence(usize),
    /// Makes a backend server say in its answers that it leaves; its entry says so only at the end of the duration. The
    /// server serves on for as long as requests may reach it, and then starts again with another id.
    Leave(usize),
    /// Makes a backend server turn requests away and ask for a rest of this length.
    Shed(usize, Duration),
    /// Replaces one engine after the other by one of this software version.
    Release(String),
    /// Changes the configuration again and again.
    Reconfigure,
}

/// Fault with its start and duration.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Start in milliseconds after the start of the series.
    pub at_ms: u64,
    /// Duration in milliseconds; without effect on faults that are instantaneous.
    pub for_ms: u64,
    /// Kind of fault.
    pub fault: Fault,
}

/// Fault that was injected.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Kind of fault.
    pub fault: Fault,
    /// Time at which it began.
    pub from: Instant,
    /// Time at which it ended; processes that were started again may not be ready yet.
    pub to: Instant,
}

impl Disturbance {
    /// Whether it disturbs this entry process or the store, without which no process can do its work.
    pub fn concerns_vm(&self, vm: usize) -> bool {
        match &self.fault {
            Fault::Kill(index)
            | Fault::Stop(index)
            | Fault::Pause(index)
            | Fault::Hangup(index)
            | Fault::StoreLink(index, _)
            | Fault::PeerLink(index, _)
            | Fault::VmLink(index, ..) => *index == vm,
            fault => matches!(
                fault,
                Fault::KillAll | Fault::Store(_) | Fault::Compact | Fault::Restore(_)
            ),
        }
    }

    /// Whether it stops or restarts this entry process, which then need not know what servers have stated before.
    pub fn interrupts_vm(&self, vm: usize) -> bool {
        match self.fault {
            Fault::Kill(index) | Fault::Stop(index) | Fault::Pause(index) => index == vm,
            Fault::KillAll => true,
            _ => false,
        }
    }

    /// Whether it keeps the backend server with this id from answering.
    pub fn concerns_server(&self, server: &str) -> bool {
        match self.fault {
            Fault::ServerLink(index, _)
            | Fault::Crash(index)
            | Fault::Server(index, _)
            | Fault::Silence(index)
            | Fault::Leave(index)
            | Fault::Shed(index, _) => server.starts_with(&backend_name(index)),
            Fault::Release(_) => true,
            _ => false,
        }
    }

    /// Whether it keeps backend servers from answering.
    pub fn concerns_servers(&self) -> bool {
        matches!(
            self.fault,
            Fault::ServerLink(..) | Fault::Crash(_) | Fault::Server(..) | Fault::Leave(_) | Fault::Shed(..)
        )
    }
}

/// Draws `count` faults that start within `span_ms` milliseconds, sorted by start; they may overlap.
///
/// `vms` and `backends` are the numbers of entry processes and backend servers to draw from.
pub fn plan(rng: &mut ChaCha8Rng, count: usize, span_ms: u64, vms: usize, backends: usize) -> Vec<Planned> {
    let mut planned: Vec<Planned> = (0..count)
        .map(|_| Planned {
            at_ms: rng.random_range(0..span_ms),
            for_ms: rng.random_range(300..4_000),
            fault: draw_fault(rng, vms, backends),
        })
        .collect();
    planned.sort_by_key(|it| it.at_ms);
    planned
}

/// Draws `count` disturbances by planned work, as [`plan`] does for faults: releases of new software versions of the
/// engines, silent servers, changes of the configuration, and a kill of all processes during each release.
pub fn plan_work(rng: &mut ChaCha8Rng, count: usize, span_ms: u64, backends: usize) -> Vec<Planned> {
    let mut released_ms = 0;
    let work = (0..count).map(|number| {
        let mut at_ms = rng.random_range(0..span_ms);
        let for_ms = rng.random_range(700..1_500);
        let fault = match number % 4 {
            0 => {
                released_ms = at_ms;
                Fault::Release(format!("v{}", number / 4 + 2))
            }
            1 => Fault::Silence(rng.random_range(0..backends)),
            2 => Fault::Reconfigure,
            _ => {
                at_ms = released_ms + 2 * for_ms;
                Fault::KillAll
            }
        };
        Planned { at_ms, for_ms, fault }
    });
    work.collect()
}

/// Draws `count` series that press against the limits on retries, as [`plan`] does for faults: most servers of a kind turn
/// requests away or fail while VMs restart one after the other, and single VMs lose their links to servers.
pub fn plan_pressure(rng: &mut ChaCha8Rng, count: usize, span_ms: u64, vms: usize, backends: usize) -> Vec<Planned> {
    let mut planned = Vec::new();
    for number in 0..count {
        let at_ms = rng.random_range(0..span_ms);
        let for_ms = rng.random_range(4_000..8_000);
        let faults = match number % 3 {
            0 => ServerFaults {
                refusing: 0.7,
                ..ServerFaults::default()
            },
            1 => ServerFaults {
                cut: 0.6,
                ..ServerFaults::default()
            },
            _ => ServerFaults {
                failing: 0.7,
                ..ServerFaults::default()
            },
        };
        let troubled = (0..backends).filter(|it| it % 3 != 2);
        planned.extend(troubled.map(|backend| Planned {
            at_ms,
            for_ms,
            fault: Fault::Server(backend, faults),
        }));
        let gap_ms = for_ms / vms as u64;
        planned.extend((0..vms).map(|vm| Planned {
            at_ms: at_ms + gap_ms * vm as u64,
            for_ms: rng.random_range(100..500),
            fault: Fault::Kill(vm),
        }));
        planned.push(Planned {
            at_ms: rng.random_range(0..span_ms),
            for_ms: rng.random_range(1_000..5_000),
            fault: Fault::VmLink(
                rng.random_range(0..vms),
                [Link::Silent, Link::Reset][rng.random_range(0..2)],
                rng.random_bool(0.5),
            ),
        });
    }
    planned
}

/// Draws `count` statements of backend servers, as [`plan`] does for faults: every other one that a server leaves.
pub fn plan_statements(rng: &mut ChaCha8Rng, count: usize, span_ms: u64, backends: usize) -> Vec<Planned> {
    let stated = (0..count).map(|number| {
        let backend = rng.random_range(0..backends);
        let fault = if number % 2 == 0 {
            Fault::Leave(backend)
        } else {
            Fault::Shed(backend, Duration::from_millis(rng.random_range(200..4_000)))
        };
        Planned {
            at_ms: rng.random_range(0..span_ms),
            for_ms: rng.random_range(1_000..5_000),
            fault,
        }
    });
    stated.collect()
}

fn draw_fault(rng: &mut ChaCha8Rng, vms: usize, backends: usize) -> Fault {
    let vm = rng.random_range(0..vms);
    let backend = rng.random_range(0..backends);
    match rng.random_range(0..18) {
        0 | 1 => Fault::Kill(vm),
        2 | 3 => Fault::Stop(vm),
        4 => Fault::Pause(vm),
        5 => Fault::Hangup(vm),
        6 => Fault::KillAll,
        7 | 8 => Fault::StoreLink(vm, draw_link_fault(rng)),
        9 => Fault::PeerLink(vm, draw_link_fault(rng)),
        10 => Fault::ServerLink(backend, draw_link_fault(rng)),
        11 | 12 => Fault::Store(draw_store_faults(rng)),
        13 => Fault::Compact,
        14 => Fault::Crash(backend),
        15 | 16 => Fault::Restore(Duration::from_millis(rng.random_range(500..10_000))),
        _ => Fault::Server(backend, draw_server_faults(rng)),
    }
}

fn draw_link_fault(rng: &mut ChaCha8Rng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Delayed(Duration::from_millis(rng.random_range(5..80))),
        1 => Link::SilentForth,
        2 => Link::SilentBack,
        3 => Link::Silent,
        _ => Link::Reset,
    }
}

fn draw_store_faults(rng: &mut ChaCha8Rng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match rng.random_range(0..4) {
        0 => faults.is_down = true,
        1 => faults.is_silent = true,
        2 => faults.delay = Duration::from_millis(rng.random_range(50..300)),
        _ => faults.lost_answers = 0.4,
    }
    faults
}

fn draw_server_faults(rng: &mut ChaCha8Rng) -> ServerFaults {
    let mut faults = ServerFaults::default();
    match rng.random_range(0..3) {
        0 => faults.cut = 0.3,
        1 => faults.mute = 0.2,
        _ => faults.failing = 0.4,
    }
    faults
}

/// Injects a fault, waits for its duration and ends it.
///
/// # Errors
///
/// Fails if a process or backend server cannot be started again.
pub async fn inject(fleet: &tokio::sync::Mutex<Fleet>, planned: &Planned) -> Result<(), SoakError> {
    let duration = Duration::from_millis(planned.for_ms);
    match &planned.fault {
        Fault::Kill(index) => restart(fleet, *index, Signal::KILL, duration).await,
        Fault::Stop(index) => restart(fleet, *index, Signal::TERM, duration).await,
        Fault::Pause(index) => {
            fleet.lock().await.processes[*index].signal(Signal::STOP);
            sleep(duration).await;
            fleet.lock().await.processes[*index].signal(Signal::CONT);
            Ok(())
        }
        Fault::Hangup(index) => {
            fleet.lock().await.processes[*index].signal(Signal::HUP);
            Ok(())
        }
        Fault::KillAll => kill_all(fleet, duration).await,
        Fault::StoreLink(index, link) => {
            fleet.lock().await.processes[*index].store_link.set(*link);
            sleep(duration).await;
            fleet.lock().await.processes[*index].store_link.set(Link::Open);
            Ok(())
        }
        Fault::PeerLink(index, link) => {
            fleet.lock().await.processes[*index].peer_link.set(*link);
            sleep(duration).await;
            fleet.lock().await.processes[*index].peer_link.set(Link::Open);
            Ok(())
        }
        Fault::ServerLink(index, link) => {
            fleet.lock().await.backends[*index].link.set(*link);
            sleep(duration).await;
            fleet.lock().await.backends[*index].link.set(Link::Open);
            Ok(())
        }
        Fault::Store(faults) => {
            fleet.lock().await.store.set_faults(*faults);
            sleep(duration).await;
            fleet.lock().await.store.set_faults(StoreFaults::default());
            Ok(())
        }
        Fault::Compact => {
            fleet.lock().await.store.forget_history();
            Ok(())
        }
        Fault::Restore(age) => {
            let down = StoreFaults {
                is_silent: true,
                ..StoreFaults::default()
            };
            fleet.lock().await.store.set_faults(down);
            sleep(duration).await;
            let fleet = fleet.lock().await;
            fleet.store.restore(*age);
            fleet.store.set_faults(StoreFaults::default());
            Ok(())
        }
        Fault::Crash(index) => crash(fleet, *index, duration).await,
        Fault::VmLink(vm, link, to_engines) => {
            set_vm_link(fleet, *vm, Some(*link), *to_engines).await;
            sleep(duration).await;
            set_vm_link(fleet, *vm, None, *to_engines).await;
            Ok(())
        }
        Fault::Server(index, faults) => {
            set_server_faults(fleet, *index, *faults).await;
            sleep(duration).await;
            set_server_faults(fleet, *index, ServerFaults::default()).await;
            Ok(())
        }
        Fault::Silence(index) => {
            if let Some(server) = &fleet.lock().await.backends[*index].server {
                server.fall_silent(duration);
            }
            sleep(duration).await;
            Ok(())
        }
        Fault::Leave(index) => leave(fleet, *index, duration).await,
        Fault::Shed(index, rest) => {
            let stated = Stated {
                rest: Some(rest.as_secs_f64().to_string()),
                ..Stated::default()
            };
            set_stated(fleet, *index, stated).await;
            sleep(duration).await;
            set_stated(fleet, *index, Stated::default()).await;
            Ok(())
        }
        Fault::Release(version) => release(fleet, version, duration).await,
        Fault::Reconfigure => {
            let started = tokio::time::Instant::now();
            while started.elapsed() < duration {
                fleet.lock().await.change_configuration();
                sleep(CONFIGURATION_INTERVAL).await;
            }
            Ok(())
        }
    }
}

/// Replaces the engines one after the other; the server of the old version drains beside the new one for `duration`.
async fn release(fleet: &tokio::sync::Mutex<Fleet>, version: &str, duration: Duration) -> Result<(), SoakError> {
    for index in 0..ENGINE_COUNT {
        let old = fleet.lock().await.release(index, version).await?;
        sleep(duration / 2).await;
        if let Some(server) = old.as_ref().and_then(|it| it.server.as_ref()) {
            server.drain();
        }
        sleep(duration).await;
        if let Some(server) = old.and_then(|it| it.server) {
            server.shut_down();
        }
    }
    Ok(())
}

async fn set_vm_link(fleet: &tokio::sync::Mutex<Fleet>, vm: usize, link: Option<Link>, to_engines: bool) {
    let fleet = fleet.lock().await;
    let (engines, others) = fleet.backends.split_at(ENGINE_COUNT);
    let backends = if to_engines { engines } else { others };
    for backend in backends {
        backend.link.set_for(vm, link);
    }
}

async fn set_server_faults(fleet: &tokio::sync::Mutex<Fleet>, index: usize, faults: ServerFaults) {
    if let Some(server) = &fleet.lock().await.backends[index].server {
        server.set_faults(faults);
    }
}

async fn set_stated(fleet: &tokio::sync::Mutex<Fleet>, index: usize, stated: Stated) {
    if let Some(server) = &fleet.lock().await.backends[index].server {
        server.state(stated);
    }
}

async fn leave(fleet: &tokio::sync::Mutex<Fleet>, index: usize, duration: Duration) -> Result<(), SoakError> {
    let stated = Stated {
        leaving: Some("1".to_owned()),
        ..Stated::default()
    };
    set_stated(fleet, index, stated).await;
    sleep(duration).await;
    if let Some(server) = &fleet.lock().await.backends[index].server {
        server.drain();
    }
    sleep(DRAIN_TIME).await;
    crash(fleet, index, Duration::ZERO).await
}

async fn restart(
    fleet: &tokio::sync::Mutex<Fleet>,
    index: usize,
    signal: Signal,
    duration: Duration,
) -> Result<(), SoakError> {
    fleet.lock().await.processes[index].signal(signal);
    let started = tokio::time::Instant::now();
    if signal == Signal::TERM {
        // The platform also kills a process that has not exited at the end of its grace period.
        while started.elapsed() < STOP_GRACE_PERIOD && !fleet.lock().await.processes[index].has_ended() {
            sleep(Duration::from_millis(100)).await;
        }
        fleet.lock().await.processes[index].signal(Signal::KILL);
    }
    sleep(duration).await;
    let mut fleet = fleet.lock().await;
    let process = &mut fleet.processes[index];
    process.signal(Signal::KILL);
    process.wait().await;
    process.start()
}

async fn kill_all(fleet: &tokio::sync::Mutex<Fleet>, duration: Duration) -> Result<(), SoakError> {
    let count = {
        let fleet = fleet.lock().await;
        for process in &fleet.processes {
            process.signal(Signal::KILL);
        }
        fleet.processes.len()
    };
    sleep(duration).await;
    let mut fleet = fleet.lock().await;
    for index in 0..count {
        let process = &mut fleet.processes[index];
        process.signal(Signal::KILL);
        process.wait().await;
        process.start()?;
    }
    Ok(())
}

async fn crash(fleet: &tokio::sync::Mutex<Fleet>, index: usize, duration: Duration) -> Result<(), SoakError> {
    let server = {
        let mut fleet = fleet.lock().await;
        // At least one model engine and one plain server must stay up.
        let is_engine = index < ENGINE_COUNT;
        let same_kind = if is_engine {
            0..ENGINE_COUNT
        } else {
            ENGINE_COUNT..fleet.backends.len()
        };
        let running = fleet.backends[same_kind]
            .iter()
            .filter(|it| it.server.is_some())
            .count();
        if running < 2 {
            return Ok(());
        }
        fleet.backends[index].server.take()
    };
    let Some(server) = server else {
        return Ok(());
    };
    let id = server.id().to_owned();
    drop(server);
    // A server's entry in the store expires after three missed heartbeats; here it is removed after that time.
    sleep(duration.max(Duration::from_millis(1_200))).await;
    let mut fleet = fleet.lock().await;
    let (store, record) = (fleet.store.clone(), fleet.record.clone());
    store.remove("servers", &id);
    fleet.backends[index].restart(&store, &record)
}
