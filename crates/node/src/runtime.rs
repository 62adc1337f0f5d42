//! Starts and stops the process runtime.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use guava_core::chart;
use guava_core::events::Event;
use guava_core::ids::{Incarnation, MemberId, Role, Zone};
use guava_objects::{ObjectStore, VmList};
use jsonrpsee::RpcModule;
use jsonrpsee::server::ServerHandle;
use parking_lot::Mutex;
use quick_error::quick_error;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::clock::SystemClock;
use crate::gossip::{self, DatagramSender};
use crate::gossip_map::SharedGossipMap;
use crate::health::Health;
use crate::intake::ClientBudget;
use crate::lease_manager::LeaseManager;
use crate::members::MemberTable;
use crate::peers::PeerClients;
use crate::platform::TrackedPlatform;
use crate::server::MethodContext;
use crate::settings::CommonArgs;
use crate::shared::Shared;
use crate::timeline::EventLog;
use crate::watchers::WATCHED_KINDS;
use crate::{Clock, MemberInfo, Node, Timeline, antientropy, bootstrap, http, logging, server, vms, watchers};
use guava_telemetry::Metrics;

/// Capacity of the queue of mismatches that wait to be repaired.
const MISMATCH_QUEUE_LEN: usize = 16;

/// Time limit for in-flight JSON-RPC calls when the process stops.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Error while starting the runtime.
    #[derive(Debug)]
    pub enum NodeError {
        /// A socket could not be opened.
        Socket(error: std::io::Error) {
            from()
            display("socket: {error}")
        }
        /// Settings are invalid; one message per fault.
        Settings(faults: Vec<String>) {
            display("settings: {}", faults.join("; "))
        }
        /// An embedded state chart is invalid.
        Chart(error: chart::ChartError) {
            from()
            display("state chart: {error}")
        }
        /// A JSON-RPC method name is taken by the runtime, or the server has already been started.
        Rpc(reason: String) {
            display("JSON-RPC server: {reason}")
        }
    }
}

/// A running process runtime.
///
/// Dropping it without calling [`Runtime::stop`] aborts its tasks at once, as a crash would.
#[derive(Debug)]
pub struct Runtime {
    /// Handles for the program; they may be cloned.
    pub node: Node,
    shared: Arc<Shared>,
    manager: Arc<LeaseManager>,
    metrics: Metrics,
    tasks: JoinSet<()>,
    listener: Mutex<Option<TcpListener>>,
    server: Mutex<Option<ServerHandle>>,
}

impl Runtime {
    /// Opens the sockets and starts membership, gossip and platform watches.
    ///
    /// Leases start with [`Leases::compete`](crate::Leases::compete), the JSON-RPC server with [`Runtime::serve_rpc`].
    ///
    /// # Errors
    ///
    /// Fails when settings or an embedded state chart are invalid, or when a socket cannot be opened.
    pub async fn start(
        cfg: &CommonArgs,
        role: Role,
        store: Arc<dyn ObjectStore>,
        vms: Arc<dyn VmList>,
    ) -> Result<Self, NodeError> {
        let faults = cfg.check();
        if !faults.is_empty() {
            return Err(NodeError::Settings(faults));
        }
        chart::check_all()?;
        if let Ok(format) = cfg.log_format.parse() {
            logging::init(cfg.log_level, format);
        }
        let socket = Arc::new(UdpSocket::bind(cfg.gossip_addr).await?);
        let listener = http::listen(cfg.rpc_addr)?;
        listener.set_nonblocking(true)?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let seeds = seeds_except(cfg, socket.local_addr()?);
        let id = MemberId::new(&cfg.vm, role);
        let latest = gossip::query_incarnation(&socket, &id, &seeds).await;
        let me = MemberInfo {
            id,
            incarnation: Incarnation(clock.wall_ms().max(latest.0 + 1)),
            zone: Zone::new(&cfg.zone),
            gossip_addr: socket.local_addr()?,
            rpc_addr: listener.local_addr()?,
        };
        let shared = build_shared(cfg, me, clock, Arc::clone(&socket), store, vms);
        let manager = Arc::new(LeaseManager::new(&shared));
        let metrics = Metrics::default();
        crate::metrics::register(&metrics, &shared, &manager);
        let tasks = spawn_tasks(&shared, &socket, &seeds);
        let detail = format!("{} incarnation {}", shared.me().id, shared.me().incarnation.0);
        shared.timeline.record(Event::ProcessStarted, None, None, &detail);
        Ok(Self {
            node: node_handles(&shared, &manager),
            shared,
            manager,
            metrics,
            tasks,
            listener: Mutex::new(Some(listener)),
            server: Mutex::new(None),
        })
    }

    /// Starts the JSON-RPC server with the methods of the program and of the runtime.
    ///
    /// # Errors
    ///
    /// Fails when a method name is taken by the runtime or the server has already been started.
    #[expect(clippy::unused_async, reason = "callers await it")]
    pub async fn serve_rpc(&self, mut module: RpcModule<()>) -> Result<(), NodeError> {
        let context = MethodContext {
            shared: Arc::clone(&self.shared),
            manager: Arc::clone(&self.manager),
        };
        let runtime_module = server::module(context).map_err(|error| NodeError::Rpc(error.to_string()))?;
        module
            .merge(runtime_module)
            .map_err(|error| NodeError::Rpc(error.to_string()))?;
        let listener = self.listener.lock().take();
        let listener = listener.ok_or_else(|| NodeError::Rpc("already started".to_owned()))?;
        let handle = server::start(listener, module, &self.shared.budget)?;
        *self.server.lock() = Some(handle);
        Ok(())
    }

    /// Whether the process has its configuration and is neither isolated nor shutting down.
    pub fn ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Handle that answers health checks and renders metrics.
    pub fn health(&self) -> Health {
        Health {
            shared: Arc::clone(&self.shared),
            metrics: self.metrics.clone(),
        }
    }

    /// Budget for what the process holds for its clients.
    pub fn budget(&self) -> Arc<ClientBudget> {
        Arc::clone(&self.shared.budget)
    }

    /// Meter with which the program registers its own metrics.
    pub fn meter(&self) -> opentelemetry::metrics::Meter {
        self.metrics.meter()
    }

    /// Metrics of the runtime and the program in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Starts a graceful shutdown: `ready` turns false and `node.shutdown` turns true.
    pub fn begin_shutdown(&self) {
        self.shared.begin_shutdown("");
    }

    /// Releases all leases, notifies peers that the process is leaving, and stops the background tasks and the server.
    pub async fn stop(mut self) {
        self.shared.begin_shutdown("");
        self.manager.release_all().await;
        flush_pushes(&self.shared).await;
        let out = self.shared.members.leave();
        self.shared.dispatch(out).await;
        self.tasks.shutdown().await;
        let server = self.server.lock().take();
        if let Some(server) = server {
            // Fails only when the server has already stopped.
            let _ = server.stop();
            // Peers may keep idle connections open; waiting for them without a limit would delay the shutdown.
            let _ = tokio::time::timeout(SERVER_STOP_TIMEOUT, server.stopped()).await;
        }
        self.shared.timeline.record(Event::ProcessStopped, None, None, "");
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.manager.abandon_all();
        if let Some(server) = self.server.lock().take() {
            // Fails only when the server has already stopped.
            let _ = server.stop();
        }
    }
}

/// Gives the push loop time to send the entries of released leases before its task is stopped.
async fn flush_pushes(shared: &Arc<Shared>) {
    shared.gossip.push_needed.notify_one();
    tokio::time::sleep(gossip::PUSH_DELAY * 4).await;
}

fn seeds_except(cfg: &CommonArgs, own_addr: SocketAddr) -> Vec<SocketAddr> {
    cfg.seeds.iter().copied().filter(|it| *it != own_addr).collect()
}

fn build_shared(
    cfg: &CommonArgs,
    me: MemberInfo,
    clock: Arc<dyn Clock>,
    socket: Arc<UdpSocket>,
    store: Arc<dyn ObjectStore>,
    vms: Arc<dyn VmList>,
) -> Arc<Shared> {
    let timeline: Arc<dyn Timeline> = Arc::new(EventLog::new(&me.id, Arc::clone(&clock)));
    let members = Arc::new(MemberTable::new(me, Arc::clone(&clock)));
    let platform = Arc::new(TrackedPlatform::new(
        store,
        vms,
        Arc::clone(&members),
        Arc::clone(&clock),
        Arc::clone(&timeline),
    ));
    let gossip = SharedGossipMap::new(Arc::clone(&members), Arc::clone(&clock), Arc::clone(&timeline));
    let budget = ClientBudget::new(cfg.intake.limits(), Arc::clone(&clock), Arc::clone(&timeline));
    Arc::new(Shared {
        budget: Arc::new(budget),
        clock,
        members,
        gossip: Arc::new(gossip),
        peers: Arc::new(PeerClients::default()),
        timeline,
        store: Arc::<TrackedPlatform>::clone(&platform),
        vms: platform,
        sender: DatagramSender::new(socket),
        shutdown: watch::channel(false).0,
        configured: AtomicBool::new(false),
    })
}

fn node_handles(shared: &Arc<Shared>, manager: &Arc<LeaseManager>) -> Node {
    Node {
        clock: Arc::clone(&shared.clock),
        members: Arc::<MemberTable>::clone(&shared.members),
        gossip: Arc::<SharedGossipMap>::clone(&shared.gossip),
        peers: Arc::clone(&shared.peers),
        leases: Arc::<LeaseManager>::clone(manager),
        timeline: Arc::clone(&shared.timeline),
        store: Arc::clone(&shared.store),
        vms: Arc::clone(&shared.vms),
        shutdown: shared.shutdown.subscribe(),
    }
}

fn spawn_tasks(shared: &Arc<Shared>, socket: &Arc<UdpSocket>, seeds: &[SocketAddr]) -> JoinSet<()> {
    let (tx, rx) = mpsc::channel(MISMATCH_QUEUE_LEN);
    let mut tasks = JoinSet::new();
    tasks.spawn(gossip::receive_loop(Arc::clone(shared), Arc::clone(socket), tx));
    tasks.spawn(gossip::push_loop(Arc::clone(shared)));
    tasks.spawn(gossip::timer_loop(Arc::clone(shared), seeds.to_vec()));
    tasks.spawn(antientropy::repair_loop(Arc::clone(shared), rx));
    tasks.spawn(bootstrap::synchronise(Arc::clone(shared), !seeds.is_empty()));
    tasks.spawn(vms::poll_loop(Arc::clone(shared)));
    for kind in WATCHED_KINDS {
        tasks.spawn(watchers::watch_loop(Arc::clone(shared), kind));
    }
    tasks
}
