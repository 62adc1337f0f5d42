//! Requests reports from a pool's engines while this process holds the pool's lease.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use guava_core::ids::ServerName;
use guava_core::placement::ReplicaState;
use guava_core::plan::EngineView;
use guava_core::units::Millis;

use crate::shared::{PoolState, ReceivedReport, Shared};
use crate::views;

/// Interval between reports of an engine with a load or unload in progress, in milliseconds. At 500 ms, the detection
/// of a finished load would add 250 ms to the mean cold start.
const BUSY_REPORT_INTERVAL_MS: u64 = 50;
/// Interval between checks for reports that are due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between checks of the lease while another process holds it; every controller does this for every pool.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Requests and stores the reports of one pool's engines until the controller stops.
pub async fn poll_reports(shared: Arc<Shared>, pool: Arc<PoolState>) {
    let mut last_requested: BTreeMap<ServerName, Millis> = BTreeMap::new();
    let mut in_progress: BTreeSet<ServerName> = BTreeSet::new();
    let mut requests = FuturesUnordered::new();
    while !shared.is_stopping() {
        let now = shared.now();
        let is_held = shared.held_term(&pool.lease).is_some();
        if is_held {
            for (server, addr) in due_reports(&shared, &pool, &last_requested, now) {
                let is_below_limit = in_progress.len() < shared.args.reports_at_once;
                if is_below_limit && in_progress.insert(server.clone()) {
                    last_requested.insert(server.clone(), now);
                    requests.push(request_report(Arc::clone(&shared), server, addr));
                }
            }
        }
        tokio::select! {
            Some((server, requested_at, view)) = requests.next(), if !requests.is_empty() => {
                in_progress.remove(&server);
                if let Some(view) = view {
                    store_report(&pool, server, requested_at, view);
                }
            }
            () = tokio::time::sleep(if is_held { DUE_CHECK_INTERVAL } else { LEASE_CHECK_INTERVAL }) => {}
        }
    }
}

/// Servers whose report is due with their addresses, the one requested longest ago first.
fn due_reports(
    shared: &Shared,
    pool: &PoolState,
    last_requested: &BTreeMap<ServerName, Millis>,
    now: Millis,
) -> Vec<(ServerName, SocketAddr)> {
    let config = shared.config();
    let Some(plan) = pool.plan.read().clone() else {
        return Vec::new();
    };
    let busy: BTreeSet<&ServerName> = plan
        .replicas
        .values()
        .filter(|it| matches!(it.state, ReplicaState::Loading | ReplicaState::Unloading))
        .map(|it| &it.server)
        .collect();
    let is_due = |name: &ServerName| {
        let interval = if busy.contains(name) {
            BUSY_REPORT_INTERVAL_MS
        } else {
            shared.args.report_ms
        };
        last_requested
            .get(name)
            .is_none_or(|requested_at| now.since(*requested_at) >= interval)
    };
    let mut due: Vec<_> = plan
        .servers
        .keys()
        .filter(|name| is_due(name))
        .filter_map(|name| Some((name.clone(), config.servers.get(name)?.addr)))
        .collect();
    due.sort_by_key(|(name, _)| last_requested.get(name).copied());
    due
}

async fn request_report(
    shared: Arc<Shared>,
    server: ServerName,
    addr: SocketAddr,
) -> (ServerName, Millis, Option<EngineView>) {
    let requested_at = shared.now();
    let limit = Duration::from_millis(shared.args.engine_timeout_ms);
    let report = tokio::time::timeout(limit, shared.engine.report(addr)).await;
    let view = report.ok().and_then(Result::ok).map(|it| views::engine_view(&it));
    (server, requested_at, view)
}

/// Stores a report. Wakes the worker unless only request counts or cached checkpoints have changed.
fn store_report(pool: &PoolState, server: ServerName, requested_at: Millis, view: EngineView) {
    let mut engines = pool.engines.lock();
    let changed = engines.get(&server).is_none_or(|it| !has_same_state(&it.view, &view));
    let report = ReceivedReport {
        view,
        requested_at,
        is_unprocessed: true,
    };
    engines.insert(server, report);
    if changed {
        pool.wake.notify_one();
    }
}

/// Whether two reports agree in everything but request counts and cached checkpoints.
fn has_same_state(old: &EngineView, new: &EngineView) -> bool {
    let replica_states = |view: &EngineView| -> Vec<_> {
        let replicas = view.replicas.iter();
        replicas.map(|it| (it.replica.clone(), it.presence)).collect()
    };
    let engine_fields = |view: &EngineView| (view.instance.clone(), view.term, view.leaving, view.memory_bytes);
    engine_fields(old) == engine_fields(new) && replica_states(old) == replica_states(new)
}
