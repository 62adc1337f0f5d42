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
use crate::evacuations;
use crate::feed;
use crate::findings;
use crate::handover;
use crate::listeners::{self, Connections, listen};
use crate::log_event;
use crate::metrics;
use crate::peers;
use crate::state::{EntryState, now, until};
use crate::store_watch;
use crate::streams;
use crate::supervision::supervise;

/// Time, in milliseconds, from the shutdown signal until connections are closed: the balancer checks readiness once a
/// second and removes a VM after two failed checks. At most a third of the grace period.
const BALANCER_NOTICE_MS: u64 = 2_600;
/// Part of the grace period, in milliseconds, reserved for the exit of the process; at most a sixteenth of it.
const EXIT_RESERVE_MS: u64 = 500;
/// Time before that, in milliseconds, for answers to requests that could not be finished; at most a fortieth of the grace
/// period.
const LAST_ANSWERS_MS: u64 = 200;
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
        let metrics = metrics::register(&state);
        tokio::spawn(listeners::serve_metrics(Arc::clone(&state), metrics, listener));
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
    let watches_config = Arc::new(watch::Sender::new(false));
    // Each start of a loop needs handles of its own.
    let handles = || {
        let (state, coordinator) = (Arc::clone(state), Arc::clone(coordinator));
        move || (Arc::clone(&state), Arc::clone(&coordinator))
    };

    let (own, watching) = (handles(), Arc::clone(&watches_config));
    tokio::spawn(supervise("watch of the configuration", move || {
        store_watch::follow_config(own().0, watching.subscribe())
    }));
    let (own, watching) = (handles(), Arc::clone(&watches_store));
    tokio::spawn(supervise("watch of the backend servers", move || {
        let (state, coordinator) = own();
        store_watch::follow_servers(state, coordinator, watching.subscribe())
    }));
    if state.settings.has_evacuations {
        let (own, watching) = (handles(), Arc::clone(&watches_config));
        tokio::spawn(supervise("watch of the evacuations", move || {
            store_watch::follow_evacuations(own().0, watching.subscribe())
        }));
    }
    let (own, watching) = (handles(), Arc::clone(&watches_store));
    tokio::spawn(supervise("choice of the source of the configuration", move || {
        evacuations::watch_when_not_reported(own().0, watching.subscribe(), Arc::clone(&watches_config))
    }));
    let own = handles();
    tokio::spawn(supervise("choice of the source", move || {
        let (state, coordinator) = own();
        feed::watch_store_when_stale(state, coordinator, Arc::clone(&watches_store))
    }));
    let own = handles();
    tokio::spawn(supervise("push of evacuations", move || {
        peers::push_evacuations(own().0)
    }));
    let own = handles();
    tokio::spawn(supervise("feed", move || {
        let (state, coordinator) = own();
        feed::follow(state, coordinator)
    }));
    let own = handles();
    tokio::spawn(supervise("reports", move || {
        let (state, coordinator) = own();
        peers::run_reports(state, coordinator)
    }));
    let own = handles();
    tokio::spawn(supervise("gossip", move || peers::run_gossip(own().0)));
    let own = handles();
    tokio::spawn(supervise("push of findings", move || findings::push_news(own().0)));
    let own = handles();
    tokio::spawn(supervise("push of departures", move || peers::push_departures(own().0)));
    let own = handles();
    tokio::spawn(supervise("probe of servers", move || handover::probe_servers(own().0)));
    let own = handles();
    tokio::spawn(supervise("push of limits", move || peers::push_limits(own().0)));
    let own = handles();
    tokio::spawn(supervise("copy of the verdicts", move || {
        let (state, coordinator) = own();
        findings::keep_copy(state, coordinator)
    }));
    let own = handles();
    tokio::spawn(supervise("table of versions", move || {
        let (state, coordinator) = own();
        streams::keep_table(state, coordinator)
    }));
    let own = handles();
    tokio::spawn(supervise("push of streams", move || streams::push_records(own().0)));
    let own = handles();
    tokio::spawn(supervise("copy of streams", move || streams::keep_copy(own().0)));
    let own = handles();
    tokio::spawn(supervise("registration", move || store_watch::register(own().0)));
    let own = handles();
    tokio::spawn(supervise("removal of expired servers", move || {
        store_watch::remove_expired(own().0)
    }));
    let own = handles();
    tokio::spawn(supervise("lease", move || own().1.maintain_lease()));
    let own = handles();
    tokio::spawn(supervise("placement", move || own().1.run_placement()));
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
    let exit_at = started + (grace_ms - EXIT_RESERVE_MS.min(grace_ms / 16));
    state.end_requests_at(exit_at - LAST_ANSWERS_MS.min(grace_ms / 40));
    state.begin_shutdown();
    sleep(Duration::from_millis(BALANCER_NOTICE_MS.min(grace_ms / 3))).await;
    state.begin_draining();
    closing.send_replace(true);
    let drained = timeout(until(exit_at), async {
        while connections.open() + state.handed_over() > 0 {
            sleep(CHECK_INTERVAL).await;
        }
    });
    let is_drained = drained.await.is_ok();
    log_event!(
        Event::ProcessStopped,
        "-",
        "drained={is_drained} connections={} unanswered={}",
        connections.open(),
        connections.unanswered()
    );
    // Gives the logging thread time to write the last lines.
    sleep(CHECK_INTERVAL).await;
}
