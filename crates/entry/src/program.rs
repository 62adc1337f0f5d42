//! Start, signals and graceful shutdown of the process.

use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_platform::settings::{Settings, SettingsError};
use quick_error::quick_error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::callers::{self, Connections, listen};
use crate::client::PooledClient;
use crate::coordinator::Coordinator;
use crate::feed;
use crate::log_event;
use crate::metrics;
use crate::peers;
use crate::state::{Entry, now};
use crate::watch as store_watch;

/// Time from the request to stop until connections are closed: the balancer asks once a second and removes a VM after
/// two misses.
const NOTICE: Duration = Duration::from_millis(2_600);
/// Time that is kept from the grace period for the end of the process.
const LAST_MS: u64 = 500;
/// Time between checks of whether requests are left.
const CHECK: Duration = Duration::from_millis(25);

quick_error! {
    /// Why the process ends with a failure.
    #[derive(Debug)]
    pub enum ProgramError {
        /// The settings have faults.
        Settings(e: SettingsError) {
            from()
            display("{e}")
        }
        /// A listener or signal handler could not be set up.
        Io(e: std::io::Error) {
            from()
            display("{e}")
        }
    }
}

/// Runs the process until it is told to stop.
///
/// # Errors
///
/// Fails when an address is not free or signals cannot be handled.
pub async fn run(settings: Settings, metrics_port: Option<u16>) -> Result<(), ProgramError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let for_callers = listen(settings.callers)?;
    let for_readiness = listen(settings.readiness)?;
    let for_peers = listen(settings.peers)?;
    let ip = settings.callers.ip();
    let for_metrics = metrics_port.map(|port| listen((ip, port).into())).transpose()?;
    let grace_ms = settings.grace_ms;
    let entry = Arc::new(Entry::new(settings, Arc::new(PooledClient::default())));
    let coordinator = Arc::new(Coordinator::new(Arc::clone(&entry)));
    let connections = Arc::new(Connections::default());
    let closing = watch::Sender::new(false);
    log_event!(
        Event::ProcessStarted,
        "-",
        "incarnation={} zone={}",
        entry.incarnation,
        entry.settings.zone
    );

    if let Some(listener) = for_metrics {
        tokio::spawn(callers::serve_metrics(metrics::register(&entry), listener));
    }
    tokio::spawn(callers::serve_readiness(Arc::clone(&entry), for_readiness));
    tokio::spawn(callers::serve_peers(
        Arc::clone(&entry),
        Arc::clone(&coordinator),
        for_peers,
    ));
    tokio::spawn(callers::serve_callers(
        Arc::clone(&entry),
        for_callers,
        Arc::clone(&connections),
        closing.subscribe(),
    ));
    let direct = watch::Sender::new(false);
    tokio::spawn(store_watch::follow_config(Arc::clone(&entry), direct.subscribe()));
    tokio::spawn(store_watch::follow_servers(
        Arc::clone(&entry),
        Arc::clone(&coordinator),
        direct.subscribe(),
    ));
    tokio::spawn(store_watch::drop_lapsed(Arc::clone(&entry)));
    tokio::spawn(feed::choose_source(
        Arc::clone(&entry),
        Arc::clone(&coordinator),
        direct,
    ));
    tokio::spawn(store_watch::register(Arc::clone(&entry)));
    tokio::spawn(peers::gossip(Arc::clone(&entry)));
    tokio::spawn(peers::report(Arc::clone(&entry), Arc::clone(&coordinator)));
    tokio::spawn(feed::follow(Arc::clone(&entry), Arc::clone(&coordinator)));
    tokio::spawn(Arc::clone(&coordinator).keep_lease());
    tokio::spawn(coordinator.place());

    tokio::spawn(log_ready(Arc::clone(&entry)));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(),
        }
    }
    shut_down(&entry, &connections, &closing, grace_ms).await;
    Ok(())
}

/// Logs the moment from which on requests can be served.
async fn log_ready(entry: Arc<Entry>) {
    let mut changes = entry.subscribe();
    while !entry.is_ready() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    log_event!(
        Event::ProcessReady,
        "-",
        "config_version={} servers={} source_age_ms={}",
        entry.config().map_or(0, |it| it.config.version),
        entry.servers().len(),
        entry.source_age_ms(now())
    );
}

/// Checks the changed settings file. What it holds takes effect at the next start; the addresses stay until then.
fn reload() {
    match Settings::load() {
        Ok(settings) => log_event!(Event::SettingsReloaded, "-", "vm={}", settings.vm),
        Err(e) => log_event!(Event::SettingsRefused, "-", "why={e}"),
    }
}

async fn shut_down(entry: &Entry, connections: &Connections, closing: &watch::Sender<bool>, grace_ms: u64) {
    let started = now();
    log_event!(Event::ShutdownStarted, "-", "connections={}", connections.open());
    entry.stop();
    sleep(NOTICE).await;
    entry.close();
    closing.send_replace(true);
    let left = grace_ms.saturating_sub(now().since(started) + LAST_MS);
    let drained = timeout(Duration::from_millis(left), async {
        while connections.open() > 0 {
            sleep(CHECK).await;
        }
    });
    let is_drained = drained.await.is_ok();
    log_event!(
        Event::ProcessStopped,
        "-",
        "drained={is_drained} connections={}",
        connections.open()
    );
    // Gives the log's thread time for the last lines.
    sleep(CHECK).await;
}
