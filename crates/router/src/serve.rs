//! Startup and graceful shutdown of the router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::gossip_entry::Entry;
use guava_core::snapshot::Snapshot;
use guava_node::Node;
use guava_node::intake::ClientBudget;
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
use crate::path::{Router, RouterDependencies};
use crate::{IdempotencyRecords, JobExecutor, Jobs, Quota, demand, explain, server};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Failure to start the router or to shut it down gracefully.
    #[derive(Debug)]
    pub enum RouterError {
        /// Settings are out of range; one message for each.
        Settings(faults: Vec<String>) {
            display("settings: {}", faults.join("; "))
        }
        /// The listening socket could not be opened, or the server thread could not be started.
        Socket(error: std::io::Error) {
            from()
            source(error)
            display("socket: {error}")
        }
        /// The node runtime failed, for example to open the JSON-RPC socket.
        Node(error: NodeError) {
            from()
            source(error)
            display("{error}")
        }
        /// A JSON-RPC method was registered twice.
        Rpc(error: jsonrpsee::core::RegisterMethodError) {
            from()
            source(error)
            display("JSON-RPC: {error}")
        }
        /// The factory for the job service was not called.
        Jobs {
            display("the job service was not started")
        }
        /// This number of requests were still in flight when the drain timeout expired.
        Drain(in_flight: u64) {
            display("{in_flight} requests still in flight when the drain timeout expired")
        }
    }
}

/// Creates the job service; called once with the executor that runs the requests of jobs.
pub type JobsFactory = Box<dyn FnOnce(Arc<dyn JobExecutor>) -> Arc<dyn Jobs> + Send>;

/// Services that the router depends on.
pub struct RouterParts {
    /// Quota service, which admits requests by the rate of their organisation.
    pub quota: Arc<dyn Quota>,
    /// Store of idempotency records.
    pub records: Arc<dyn IdempotencyRecords>,
    /// Factory for the job service. The job service and the router's executor need each other.
    pub jobs: JobsFactory,
    /// Meter with which the router's metrics are registered.
    pub meter: Meter,
    /// Returns the metrics in the Prometheus text format.
    pub metrics_text: Box<dyn Fn() -> String + Send + Sync>,
    /// Budget for what the process holds for its clients.
    pub budget: Arc<ClientBudget>,
    /// Returns whether the configuration has been received and the VM is neither isolated nor shutting down.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
}

impl std::fmt::Debug for RouterParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RouterParts").finish_non_exhaustive()
    }
}

/// A running router, to be stopped with [`RouterHandle::shutdown`].
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

/// Starts the router and its server for callers.
///
/// # Errors
///
/// Fails if settings are out of range or the listening socket cannot be opened.
pub async fn serve(args: RouterArgs, node: Node, parts: RouterParts) -> Result<RouterHandle, RouterError> {
    let faults = args.check();
    if !faults.is_empty() {
        return Err(RouterError::Settings(faults));
    }
    let listener = guava_node::http::listen(args.listen_addr)?;
    let addr = listener.local_addr()?;
    let changes = node.gossip.subscribe();
    let router = Arc::new(Router::new(RouterDependencies {
        args,
        node,
        quota: parts.quota,
        records: parts.records,
        metrics: Metrics::new(&parts.meter),
        budget: parts.budget,
        ready: parts.ready,
        metrics_text: parts.metrics_text,
    }));
    metrics::observe(&parts.meter, &Arc::downgrade(&router));
    let executor: Arc<dyn JobExecutor> = Arc::new(Executor {
        router: Arc::downgrade(&router),
    });
    let jobs = (parts.jobs)(Arc::clone(&executor));
    // Cannot fail: the router was created above, and its jobs are set nowhere else.
    drop(router.jobs.set(jobs));
    router.config.reload(router.node.gossip.as_ref());
    let tasks = vec![
        tokio::spawn(follow_config(Arc::clone(&router), changes)),
        tokio::spawn(demand::run(Arc::downgrade(&router))),
    ];
    let mut server = server::build(&router, listener);
    let handle = server.handle()?;
    // When it stops, xitca-server joins its threads, which would block a thread of this runtime.
    let thread = std::thread::Builder::new()
        .name("router-server".to_owned())
        .spawn(move || {
            if let Err(error) = server.wait() {
                log::error!("HTTP server failed: {error}");
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
    /// Address on which the HTTP API for callers listens, with the actual port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the executor that runs the requests of jobs on the same path as those of callers.
    pub fn executor(&self) -> Arc<dyn JobExecutor> {
        Arc::clone(&self.executor)
    }

    /// Returns the router's JSON-RPC methods.
    ///
    /// # Errors
    ///
    /// Fails only if a method is registered twice.
    pub fn rpc_module(&self) -> Result<RpcModule<()>, RouterError> {
        Ok(explain::rpc_module(&Arc::downgrade(&self.router))?)
    }

    /// Number of requests in progress, including queued requests and streams.
    pub fn in_flight(&self) -> u64 {
        self.router.in_flight.load(Ordering::Acquire)
    }

    /// Shuts the router down: fails the readiness check, keeps serving for `notice` so that the load balancer can
    /// remove the VM, then refuses new connections and waits for the requests in flight.
    ///
    /// # Errors
    ///
    /// Fails if requests are still in flight when the drain timeout expires.
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
        let drain_timeout = Duration::from_millis(router.args.drain_timeout_ms);
        let drained = tokio::time::timeout(drain_timeout, async {
            while router.in_flight.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
            drop(stopped.await);
        });
        let drained = drained.await;
        self.tasks.iter().for_each(JoinHandle::abort);
        drained.map_err(|_elapsed| RouterError::Drain(router.in_flight.load(Ordering::Acquire)))
    }
}
