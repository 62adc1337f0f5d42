//! The controller as a library, for programs that embed it.
//!
//! The controller competes for the lease of every pool. While it holds a pool's lease, it reads the engines' reports,
//! receives demand reports from routers, decides which replicas are loaded on which backend servers, writes the pool's
//! plan, and then sends the resulting orders to the engines.

use std::sync::Arc;
use std::time::Duration;

use guava_core::chart::{self, ChartError};
use guava_core::gossip_entry::{Entry, EntryKey};
use guava_core::snapshot::Snapshot;
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

/// Interval between reads of the platform's list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Failure to start the controller.
    #[derive(Debug)]
    pub enum ControllerError {
        /// Settings are invalid; holds one message for each.
        Settings(errors: Vec<String>) {
            display("settings: {}", errors.join("; "))
        }
        /// The process runtime reported an error.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// A signal handler could not be installed.
        Signal(error: std::io::Error) {
            from()
            display("signal: {error}")
        }
        /// A built-in state chart is invalid.
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

/// A running controller; its tasks end with [`ControllerHandle::stop`].
#[derive(Debug)]
pub struct ControllerHandle {
    shared: Arc<Shared>,
    tasks: Tasks,
    rpc: RpcModule<()>,
}

impl ControllerHandle {
    /// JSON-RPC methods of the controller, to be registered with the process's JSON-RPC server.
    pub fn rpc_module(&self) -> RpcModule<()> {
        self.rpc.clone()
    }

    /// Finishes the plan write in progress, announces unsent load orders to the other controllers, and ends all tasks.
    ///
    /// Leases stay held; the process runtime releases them afterwards.
    pub async fn stop(self) {
        self.shared.stop.send_replace(true);
        let tasks: Vec<JoinHandle<()>> = self.tasks.lock().drain(..).collect();
        for task in tasks {
            // The result is an error only when the task panicked; nothing is left to finish then.
            drop(task.await);
        }
    }
}

/// Starts the controller's tasks on the current Tokio runtime.
///
/// # Errors
///
/// Fails when settings or state charts are invalid, or when a JSON-RPC method cannot be registered.
#[expect(clippy::unused_async, reason = "every component is started by an async function")]
pub async fn serve(
    args: ControllerArgs,
    node: Node,
    engine: Arc<dyn Engine>,
    meter: Meter,
) -> Result<ControllerHandle, ControllerError> {
    let setting_errors = args.check();
    if !setting_errors.is_empty() {
        return Err(ControllerError::Settings(setting_errors));
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
    let config_task = tokio::spawn(watch_config(Arc::clone(&shared), Arc::clone(&tasks)));
    let vms_task = tokio::spawn(poll_vm_list(Arc::clone(&shared)));
    tasks.lock().extend([config_task, vms_task]);
    Ok(ControllerHandle { shared, tasks, rpc })
}

/// Applies configuration entries as they arrive and starts a worker for every new pool.
async fn watch_config(shared: Arc<Shared>, tasks: Tasks) {
    let mut stop = shared.stop.subscribe();
    let mut entries = shared.node.gossip.subscribe();
    reload_config(&shared);
    start_new_workers(&shared, &tasks);
    while !shared.is_stopping() {
        let received = tokio::select! {
            received = entries.recv() => received,
            _ = stop.changed() => continue,
        };
        match received {
            Ok(entry) => apply_config_entry(&shared, &entry),
            Err(RecvError::Lagged(_)) => reload_config(&shared),
            Err(RecvError::Closed) => return,
        }
        start_new_workers(&shared, &tasks);
    }
}

fn reload_config(shared: &Shared) {
    let mut snapshot = Snapshot::default();
    for entry in shared.node.gossip.entries() {
        snapshot.apply(&entry);
    }
    *shared.config.write() = Arc::new(snapshot);
}

/// Applies the newest version of a configuration entry. Other entries, such as the controller's own placements, are
/// ignored.
fn apply_config_entry(shared: &Shared, entry: &Entry) {
    if !matches!(entry.key, EntryKey::Config(..)) {
        return;
    }
    let Some(newest) = shared.node.gossip.get(&entry.key) else {
        return;
    };
    let mut config = shared.config.write();
    Arc::make_mut(&mut config).apply(&newest);
}

fn start_new_workers(shared: &Arc<Shared>, tasks: &Tasks) {
    let config = shared.config();
    for pool in config.pools.values() {
        let (pool_state, is_new) = shared.get_or_create_pool(pool);
        if is_new {
            shared.node.leases.compete(&pool_state.lease);
            let worker = worker::Worker::new(Arc::clone(shared), Arc::clone(&pool_state));
            let worker_task = tokio::spawn(worker.run());
            let reports_task = tokio::spawn(reports::poll_reports(Arc::clone(shared), pool_state));
            tasks.lock().extend([worker_task, reports_task]);
        }
    }
}

/// Polls the platform's list of VMs while this process holds the lease of at least one pool.
async fn poll_vm_list(shared: Arc<Shared>) {
    let mut stop = shared.stop.subscribe();
    while !shared.is_stopping() {
        let leases: Vec<_> = shared.pools.read().values().map(|it| it.lease.clone()).collect();
        if leases.iter().any(|lease| shared.held_term(lease).is_some())
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
