//! Library part of the controller, so that other programs can embed it.
//!
//! The controller competes for the lease of every pool. While it holds one, a worker reads reports, takes demand from
//! routers, decides what is loaded where, writes the pool's plan and then sends the orders that follow from it.

use std::sync::Arc;
use std::time::Duration;

use guava_core::chart::{self, ChartError};
use guava_core::snapshot::Snapshot;
use guava_core::spread::{Entry, EntryKey};
use guava_engine::Engine;
use guava_node::Node;
use guava_node::runtime::NodeError;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use opentelemetry::metrics::Meter;
use parking_lot::{Mutex, RwLock};
use quick_error::quick_error;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub mod config;
mod metrics;
pub mod plan_store;
mod publish;
mod release;
mod reports;
mod rpc;
mod send;
mod shared;
mod store_permits;
mod views;
mod worker;

pub use config::ControllerArgs;
pub use rpc::NOT_HOLDER;

use shared::Shared;

/// Time between reads of the platform's list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Failure to start the controller.
    #[derive(Debug)]
    pub enum ControllerError {
        /// Settings have faults.
        Settings(faults: Vec<String>) {
            display("settings: {}", faults.join("; "))
        }
        /// The process runtime failed.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// A signal handler could not be installed.
        Signal(error: std::io::Error) {
            from()
            display("signal: {error}")
        }
        /// A state chart has a fault.
        Chart(error: ChartError) {
            from()
            display("state chart: {error}")
        }
        /// A JSON-RPC method could not be registered.
        Rpc(error: RegisterMethodError) {
            from()
            display("JSON-RPC: {error}")
        }
    }
}

type Tasks = Arc<Mutex<Vec<JoinHandle<()>>>>;

/// A running controller.
#[derive(Debug)]
pub struct ControllerHandle {
    shared: Arc<Shared>,
    tasks: Tasks,
    rpc: RpcModule<()>,
}

impl ControllerHandle {
    /// JSON-RPC methods, for the process's server.
    pub fn rpc_module(&self) -> RpcModule<()> {
        self.rpc.clone()
    }

    /// Finishes the write in progress, tells other controllers what was never sent, and ends all tasks.
    ///
    /// Leases are released by the process runtime afterwards.
    pub async fn stop(self) {
        self.shared.stop.send_replace(true);
        let tasks: Vec<JoinHandle<()>> = self.tasks.lock().drain(..).collect();
        for task in tasks {
            // A task that panicked has nothing left to finish.
            drop(task.await);
        }
    }
}

/// Starts the controller.
///
/// # Errors
///
/// Fails when settings or state charts have faults.
#[expect(clippy::unused_async, reason = "programs start all their parts with await")]
pub async fn serve(
    args: ControllerArgs,
    node: Node,
    engine: Arc<dyn Engine>,
    meter: Meter,
) -> Result<ControllerHandle, ControllerError> {
    let faults = args.check();
    if !faults.is_empty() {
        return Err(ControllerError::Settings(faults));
    }
    chart::check_all()?;
    let shared = Arc::new(Shared {
        args,
        node,
        engine,
        metrics: metrics::Metrics::new(&meter),
        permits: store_permits::StorePermits::default(),
        config: RwLock::default(),
        pools: RwLock::default(),
        vms: RwLock::default(),
        stop: watch::Sender::new(false),
    });
    shared.node.leases.compete(shared.permits.lease());
    let rpc = rpc::module(&shared)?;
    let tasks = Tasks::default();
    let config = tokio::spawn(follow_config(Arc::clone(&shared), Arc::clone(&tasks)));
    let vms = tokio::spawn(read_vms(Arc::clone(&shared)));
    tasks.lock().extend([config, vms]);
    Ok(ControllerHandle { shared, tasks, rpc })
}

/// Keeps the configuration up to date and starts a worker for every pool.
async fn follow_config(shared: Arc<Shared>, tasks: Tasks) {
    let mut stop = shared.stop.subscribe();
    let mut entries = shared.node.gossip.subscribe();
    read_all(&shared);
    start_workers(&shared, &tasks);
    while !shared.is_stopping() {
        let received = tokio::select! {
            received = entries.recv() => received,
            _ = stop.changed() => continue,
        };
        match received {
            Ok(entry) => apply(&shared, &entry),
            Err(RecvError::Lagged(_)) => read_all(&shared),
            Err(RecvError::Closed) => return,
        }
        start_workers(&shared, &tasks);
    }
}

fn read_all(shared: &Shared) {
    let mut snapshot = Snapshot::default();
    for entry in shared.node.gossip.entries() {
        snapshot.apply(&entry);
    }
    *shared.config.write() = Arc::new(snapshot);
}

/// Applies the newest version of an entry. Placements are this program's own output.
fn apply(shared: &Shared, entry: &Entry) {
    if !matches!(entry.key, EntryKey::Config(..)) {
        return;
    }
    let Some(newest) = shared.node.gossip.get(&entry.key) else {
        return;
    };
    let mut config = shared.config.write();
    Arc::make_mut(&mut config).apply(&newest);
}

fn start_workers(shared: &Arc<Shared>, tasks: &Tasks) {
    let config = shared.config();
    for pool in config.pools.values() {
        let (state, is_new) = shared.pool(pool);
        if is_new {
            shared.node.leases.compete(&state.lease);
            let worker = worker::Worker::new(Arc::clone(shared), Arc::clone(&state));
            let work = tokio::spawn(worker.run());
            let reports = tokio::spawn(reports::read_reports(Arc::clone(shared), state));
            tasks.lock().extend([work, reports]);
        }
    }
}

/// Reads the platform's list of VMs while any pool's lease is held here.
async fn read_vms(shared: Arc<Shared>) {
    let mut stop = shared.stop.subscribe();
    while !shared.is_stopping() {
        let pools: Vec<_> = shared.pools.read().values().map(|it| it.lease.clone()).collect();
        if pools.iter().any(|lease| shared.held(lease).is_some())
            && let Ok(vms) = shared.node.vms.vms().await
        {
            *shared.vms.write() = Arc::new(vms);
        }
        tokio::select! {
            () = tokio::time::sleep(VM_LIST_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
}
