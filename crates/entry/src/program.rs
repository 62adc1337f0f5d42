//! Startup, signals and graceful shutdown of the process.

use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_platform::settings::{Settings, SettingsError};
use quick_error::quick_error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::client::Clients;
use crate::coordinator::Coordinator;
use crate::feed;
use crate::listeners::{self, Connections, listen};
use crate::log_event;
use crate::metrics;
use crate::peers;
use crate::state::{EntryState, now};
use crate::store_watch;
use crate::supervision::{LoopStart, supervise};

/// Time from the shutdown signal until connections are closed: the balancer checks readiness once a second and removes
/// a VM after two failed checks.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace period, in milliseconds, reserved for the exit of the process.
const EXIT_RESERVE_MS: u64 = 500;
/// Interval at which the shutdown checks whether connections are still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

quick_error! {
    /// Error that ends the process.
    #[derive(Debug)]
    pub enum ProgramError {
        /// The settings file is invalid.
        Settings(e: SettingsError) {
            from()
            display("{e}")
        }
        /// A listener or a signal handler could not be set up.
        Io(e: std::io::Error) {
            from()
            display("{e}")
        }
    }
}

/// Runs the process until it receives SIGTERM.
///
/// # Errors
///
/// Fails when an address is in use or a signal handler cannot be installed.
pub async fn run(settings: Settings, metrics_port: Option<u16>) -> Result<(), ProgramError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let caller_listener = listen(settings.callers)?;
    let readiness_listener = listen(settings.readiness)?;
    let peer_listener = listen(settings.peers)?;
    let ip = settings.callers.ip();
    let metrics_listener = metrics_port.map(|port| listen((ip, port).into())).transpose()?;
    let grace_ms = settings.grace_ms;
    let state = Arc::new(EntryState::new(settings, Clients::default()));
    let coordinator = Arc::new(Coordinator::new(Arc::clone(&state)));
    let connections = Arc::new(Connections::default());
    let closing = watch::Sender::new(false);
    log_event!(
        Event::ProcessStarted,
        "-",
        "incarnation={} zone={}",
        state.incarnation,
        state.settings.zone
    );

    if let Some(listener) = metrics_listener {
        tokio::spawn(listeners::serve_metrics(metrics::register(&state), listener));
    }
    tokio::spawn(listeners::serve_readiness(Arc::clone(&state), readiness_listener));
    tokio::spawn(listeners::serve_peers(
        Arc::clone(&state),
        Arc::clone(&coordinator),
        peer_listener,
    ));
    tokio::spawn(listeners::serve_callers(
        Arc::clone(&state),
        caller_listener,
        Arc::clone(&connections),
        closing.subscribe(),
    ));
    spawn_control_loops(&state, &coordinator);

    tokio::spawn(log_ready(Arc::clone(&state)));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => validate_settings(),
        }
    }
    shut_down(&state, &connections, &closing, grace_ms).await;
    Ok(())
}

/// Starts the loops that keep the view of the deployment and take part in control.
fn spawn_control_loops(state: &Arc<EntryState>, coordinator: &Arc<Coordinator>) {
    let watches_store = Arc::new(watch::Sender::new(false));
    let spawn = |name, start: LoopStart| tokio::spawn(supervise(name, start));
    let (entry, watching) = (Arc::clone(state), Arc::clone(&watches_store));
    spawn(
        "watch of the configuration",
        Box::new(move || Box::pin(store_watch::follow_config(Arc::clone(&entry), watching.subscribe()))),
    );
    let (entry, control, watching) = (Arc::clone(state), Arc::clone(coordinator), Arc::clone(&watches_store));
    spawn(
        "watch of the backend servers",
        Box::new(move || {
            Box::pin(store_watch::follow_servers(
                Arc::clone(&entry),
                Arc::clone(&control),
                watching.subscribe(),
            ))
        }),
    );
    let (entry, control) = (Arc::clone(state), Arc::clone(coordinator));
    spawn(
        "choice of the source",
        Box::new(move || {
            Box::pin(feed::watch_store_when_stale(
                Arc::clone(&entry),
                Arc::clone(&control),
                Arc::clone(&watches_store),
            ))
        }),
    );
    let entry = Arc::clone(state);
    spawn(
        "removal of expired servers",
        Box::new(move || Box::pin(store_watch::remove_expired(Arc::clone(&entry)))),
    );
    let entry = Arc::clone(state);
    spawn(
        "registration",
        Box::new(move || Box::pin(store_watch::register(Arc::clone(&entry)))),
    );
    let entry = Arc::clone(state);
    spawn(
        "gossip",
        Box::new(move || Box::pin(peers::run_gossip(Arc::clone(&entry)))),
    );
    let (entry, control) = (Arc::clone(state), Arc::clone(coordinator));
    spawn(
        "reports",
        Box::new(move || Box::pin(peers::run_reports(Arc::clone(&entry), Arc::clone(&control)))),
    );
    let (entry, control) = (Arc::clone(state), Arc::clone(coordinator));
    spawn(
        "feed",
        Box::new(move || Box::pin(feed::follow(Arc::clone(&entry), Arc::clone(&control)))),
    );
    let control = Arc::clone(coordinator);
    spawn(
        "lease",
        Box::new(move || Box::pin(Arc::clone(&control).maintain_lease())),
    );
    let control = Arc::clone(coordinator);
    spawn(
        "placement",
        Box::new(move || Box::pin(Arc::clone(&control).run_placement())),
    );
}

/// Logs when the process becomes ready to serve requests.
async fn log_ready(state: Arc<EntryState>) {
    let mut changes = state.subscribe();
    while !state.is_ready() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    log_event!(
        Event::ProcessReady,
        "-",
        "config_version={} servers={} source_age_ms={}",
        state.config().map_or(0, |it| it.config.version),
        state.servers().len(),
        state.source_age_ms(now())
    );
}

/// Validates the settings file after SIGHUP. Changed settings take effect at the next start.
fn validate_settings() {
    match Settings::load() {
        Ok(settings) => log_event!(Event::SettingsReloaded, "-", "vm={}", settings.vm),
        Err(e) => log_event!(Event::SettingsRefused, "-", "why={e}"),
    }
}

async fn shut_down(state: &EntryState, connections: &Connections, closing: &watch::Sender<bool>, grace_ms: u64) {
    let started = now();
    log_event!(Event::ShutdownStarted, "-", "connections={}", connections.open());
    state.begin_shutdown();
    sleep(BALANCER_NOTICE).await;
    state.begin_draining();
    closing.send_replace(true);
    let left = grace_ms.saturating_sub(now().since(started) + EXIT_RESERVE_MS);
    let drained = timeout(Duration::from_millis(left), async {
        while connections.open() > 0 {
            sleep(CHECK_INTERVAL).await;
        }
    });
    let is_drained = drained.await.is_ok();
    log_event!(
        Event::ProcessStopped,
        "-",
        "drained={is_drained} connections={}",
        connections.open()
    );
    // Gives the logging thread time to write the last lines.
    sleep(CHECK_INTERVAL).await;
}
