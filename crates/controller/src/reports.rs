//! Reads engines' reports while this process holds a pool's lease.

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

use crate::shared::{EngineState, PoolState, Shared};
use crate::views;

/// Time between reports of an engine with a load or unload in progress, in milliseconds. At 500 ms, the detection of
/// a finished load would add 250 ms to the mean cold start.
const BUSY_REPORT_MS: u64 = 50;
/// Time between looks at which reports are due.
const LOOK: Duration = Duration::from_millis(25);
/// Time between looks while another process holds the lease; every controller does this for every pool.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Reads the reports of one pool until the controller stops.
pub async fn read_reports(shared: Arc<Shared>, pool: Arc<PoolState>) {
    let mut last: BTreeMap<ServerName, Millis> = BTreeMap::new();
    let mut in_progress: BTreeSet<ServerName> = BTreeSet::new();
    let mut reads = FuturesUnordered::new();
    while !shared.is_stopping() {
        let now = shared.now();
        let is_held = shared.held(&pool.lease).is_some();
        if is_held {
            for (server, addr) in due(&shared, &pool, &last, now) {
                let has_room = in_progress.len() < shared.args.reports_at_once;
                if has_room && in_progress.insert(server.clone()) {
                    last.insert(server.clone(), now);
                    reads.push(read(Arc::clone(&shared), server, addr));
                }
            }
        }
        tokio::select! {
            Some((server, requested, view)) = reads.next(), if !reads.is_empty() => {
                in_progress.remove(&server);
                if let Some(view) = view {
                    keep(&pool, server, requested, view);
                }
            }
            () = tokio::time::sleep(if is_held { LOOK } else { IDLE_LOOK }) => {}
        }
    }
}

fn due(
    shared: &Shared,
    pool: &PoolState,
    last: &BTreeMap<ServerName, Millis>,
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
            BUSY_REPORT_MS
        } else {
            shared.args.report_ms
        };
        last.get(name).is_none_or(|at| now.since(*at) >= interval)
    };
    let mut due: Vec<_> = plan
        .servers
        .keys()
        .filter(|name| is_due(name))
        .filter_map(|name| Some((name.clone(), config.servers.get(name)?.addr)))
        .collect();
    due.sort_by_key(|(name, _)| last.get(name).copied());
    due
}

async fn read(shared: Arc<Shared>, server: ServerName, addr: SocketAddr) -> (ServerName, Millis, Option<EngineView>) {
    let requested = shared.now();
    let limit = Duration::from_millis(shared.args.engine_timeout_ms);
    let report = tokio::time::timeout(limit, shared.engine.report(addr)).await;
    let view = report.ok().and_then(Result::ok).map(|it| views::view(&it));
    (server, requested, view)
}

/// Keeps a report; the worker is woken when it shows more than other numbers of requests.
fn keep(pool: &PoolState, server: ServerName, requested: Millis, view: EngineView) {
    let mut engines = pool.engines.lock();
    let changed = engines.get(&server).is_none_or(|it| !shows_same(&it.view, &view));
    let state = EngineState {
        view,
        requested,
        is_new: true,
    };
    engines.insert(server, state);
    if changed {
        pool.wake.notify_one();
    }
}

fn shows_same(old: &EngineView, new: &EngineView) -> bool {
    let states = |view: &EngineView| -> Vec<_> {
        let replicas = view.replicas.iter();
        replicas.map(|it| (it.replica.clone(), it.presence)).collect()
    };
    let whole = |view: &EngineView| (view.instance.clone(), view.term, view.leaving, view.memory_bytes);
    whole(old) == whole(new) && states(old) == states(new)
}
