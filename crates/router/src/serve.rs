//! Start and graceful stop of the router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::snapshot::Snapshot;
use guava_core::spread::Entry;
use guava_node::Node;
use guava_node::runtime::NodeError;
use jsonrpsee::RpcModule;
use opentelemetry::metrics::Meter;
use quick_error::quick_error;
use tokio::sync::broadcast::Receiver;
use tokio::task::JoinHandle;
use xitca_server::ServerHandle;

use crate::args::RouterArgs;
use crate::executor::Executor;
use crate::metrics::{self, Metrics};
use crate::path::{Assembly, Router};
use crate::{IdempotencyRecords, JobExecutor, Jobs, Quota, demand, explain, server};

const DRAIN_POLL: Duration = Duration::from_millis(20);

quick_error! {
    /// Failure to start or stop the router.
    #[derive(Debug)]
    pub enum RouterError {
        /// Settings have faults.
        Settings(faults: Vec<String>) {
            display("settings: {}", faults.join("; "))
        }
        /// The listening socket could not be opened.
        Socket(error: std::io::Error) {
            from()
            source(error)
            display("socket: {error}")
        }
        /// The process runtime failed.
        Node(error: NodeError) {
            from()
            source(error)
            display("{error}")
        }
        /// A JSON-RPC method could not be registered.
        Rpc(error: jsonrpsee::core::RegisterMethodError) {
            from()
            source(error)
            display("JSON-RPC: {error}")
        }
        /// The job service was not started.
        Jobs {
            display("the job service was not started")
        }
        /// Requests were still running when the drain time ended.
        Drain(running: u64) {
            display("{running} requests were still running when the drain time ended")
        }
    }
}

/// Makes the job service from the executor that runs jobs.
pub type JobsFactory = Box<dyn FnOnce(Arc<dyn JobExecutor>) -> Arc<dyn Jobs> + Send>;

/// Parts that the request path is put together from.
pub struct RouterParts {
    /// Quota.
    pub quota: Arc<dyn Quota>,
    /// Idempotency records.
    pub records: Arc<dyn IdempotencyRecords>,
    /// Job service. It is made from the executor, because each needs the other.
    pub jobs: JobsFactory,
    /// Meter.
    pub meter: Meter,
    /// Metrics in the Prometheus text format.
    pub metrics_text: Box<dyn Fn() -> String + Send + Sync>,
    /// Whether the configuration has arrived and the VM is neither isolated nor shutting down.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
}

impl std::fmt::Debug for RouterParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RouterParts").finish_non_exhaustive()
    }
}

/// A running router.
#[derive(Debug)]
pub struct RouterHandle {
    router: Arc<Router>,
    addr: SocketAddr,
    executor: Arc<dyn JobExecutor>,
    server: ServerControl,
    tasks: Vec<JoinHandle<()>>,
}

struct ServerControl {
    handle: ServerHandle,
    thread: std::thread::JoinHandle<()>,
}

impl std::fmt::Debug for ServerControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServerControl").finish_non_exhaustive()
    }
}

/// Starts the router.
///
/// # Errors
///
/// Fails when settings have faults or the socket cannot be opened.
pub async fn serve(args: RouterArgs, node: Node, parts: RouterParts) -> Result<RouterHandle, RouterError> {
    let faults = args.check();
    if !faults.is_empty() {
        return Err(RouterError::Settings(faults));
    }
    let listener = guava_node::http::listen(args.listen_addr)?;
    let addr = listener.local_addr()?;
    let changes = node.gossip.subscribe();
    let router = Arc::new(Router::new(Assembly {
        args,
        node,
        quota: parts.quota,
        records: parts.records,
        metrics: Metrics::new(&parts.meter),
        ready: parts.ready,
        metrics_text: parts.metrics_text,
    }));
    metrics::observe(&parts.meter, &Arc::downgrade(&router));
    let executor: Arc<dyn JobExecutor> = Arc::new(Executor {
        router: Arc::downgrade(&router),
    });
    let jobs = (parts.jobs)(Arc::clone(&executor));
    // Set once here; `serve` made the router.
    drop(router.jobs.set(jobs));
    router.config.reload(router.node.gossip.as_ref());
    let tasks = vec![
        tokio::spawn(follow_config(Arc::clone(&router), changes)),
        tokio::spawn(demand::run(Arc::downgrade(&router))),
    ];
    let mut server = server::build(&router, listener);
    let handle = server.handle()?;
    // xitca-server joins its threads when it stops, which would block a thread of this runtime.
    let thread = std::thread::Builder::new()
        .name("router-server".to_owned())
        .spawn(move || {
            if let Err(error) = server.wait() {
                log::error!("server ended: {error}");
            }
        })?;
    Ok(RouterHandle {
        router,
        addr,
        executor,
        server: ServerControl { handle, thread },
        tasks,
    })
}

async fn follow_config(router: Arc<Router>, entries: Receiver<Arc<Entry>>) {
    let gossip = Arc::clone(&router.node.gossip);
    let update = |snapshot: &Snapshot| router.targets.update(snapshot);
    router.config.follow(gossip.as_ref(), entries, update).await;
}

impl RouterHandle {
    /// Address of the callers' HTTP API.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs jobs on the normal path.
    pub fn executor(&self) -> Arc<dyn JobExecutor> {
        Arc::clone(&self.executor)
    }

    /// JSON-RPC methods of the router.
    ///
    /// # Errors
    ///
    /// Fails only when a method is registered twice.
    pub fn rpc_module(&self) -> Result<RpcModule<()>, RouterError> {
        Ok(explain::rpc_module(&Arc::downgrade(&self.router))?)
    }

    /// Requests that are waiting or running.
    pub fn in_flight(&self) -> u64 {
        self.router.in_flight.load(Ordering::Acquire)
    }

    /// Fails readiness, serves on for `notice`, refuses new connections and waits for the requests at hand.
    ///
    /// # Errors
    ///
    /// Fails when requests are still running at the end of the drain time.
    pub async fn shutdown(self, notice: Duration) -> Result<(), RouterError> {
        let router = &self.router;
        router.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(notice).await;
        router.closing.store(true, Ordering::Relaxed);
        router.closing_signal.send_replace(true);
        let server = self.server;
        let stopped = tokio::task::spawn_blocking(move || {
            server.handle.stop(true);
            drop(server.thread.join());
        });
        let drain = Duration::from_millis(router.args.drain_timeout_ms);
        let drained = tokio::time::timeout(drain, async {
            while router.in_flight.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
            drop(stopped.await);
        });
        let drained = drained.await;
        self.tasks.iter().for_each(JoinHandle::abort);
        drained.map_err(|_elapsed| RouterError::Drain(router.in_flight.load(Ordering::Acquire)))
    }
}
