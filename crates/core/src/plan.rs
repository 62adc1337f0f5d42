//! Plan of a pool: the replicas it should have and the memory reserved for them on each backend server.
//!
//! A change of the plan is made in memory, written by compare-and-swap and only then acted on. Memory is reserved
//! before a load order is sent, and is released only on proof that no copy of that order can occupy memory any more.
//! What counts as proof depends on the engine:
//!
//! - An engine that remembers replica ids refuses a load order for an ended id. Its report of the id as ended is proof.
//!   If it has accepted the unload order, a report that is certainly newer and lacks the id is proof too: the engine
//!   still remembers the id and has only dropped it from its reports.
//! - An engine that forgets replica ids would execute a delayed copy of a load order. Its load orders are therefore not
//!   repeated once one may have arrived, and are sent only by the holder that decided them. A replica that was seen and
//!   is no longer reported is released, since its only order has been executed. A replica that was never seen is
//!   released when a report that is certainly newer than the engine's receipt of a later fencing token lacks it, when
//!   the holder that decided it confirms that the order was not sent, or when that holder's VM has ended and a report
//!   that is certainly newer than the engine's acceptance of the unload order lacks it.
//! - A new instance of the engine, or the end of the server's VM, releases all earlier reservations.
//!
//! Reports may be out of date, but successive reports of an engine must not go back in time. The fencing token in a
//! report may be newer than the list of replicas in it.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use quick_error::quick_error;

use crate::chart::{self, Chart};
use crate::ids::{AdapterName, Incarnation, MemberId, ModelName, OperationId, PoolName, ReplicaId, ServerName, Term};
use crate::placement::ReplicaState;

/// Number of operation ids kept in a plan. A writer searches them only for its last write, when it got no answer.
const WRITERS_KEPT: usize = 16;

quick_error! {
    /// Why a change of a plan was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlanError {
        /// The backend server is not part of the plan.
        UnknownServer(server: ServerName) {
            display("backend server {server} is not in the plan")
        }
        /// The replica is not part of the plan.
        UnknownReplica(replica: ReplicaId) {
            display("replica {replica} is not in the plan")
        }
        /// The backend server takes no new replicas now; see [`Plan::accepts`].
        NotAccepting(server: ServerName) {
            display("backend server {server} takes no new replicas")
        }
        /// The reservation exceeds the free memory of the server, given in bytes.
        Overcommitted(server: ServerName, free: u64) {
            display("backend server {server} has only {free} bytes free")
        }
        /// The replica's chart has no transition from this state by this event.
        NoTransition(state: &'static str, event: &'static str) {
            display("no transition from {state} by {event}")
        }
        /// Another holder has written the plan in the given term, which is the same as or newer than the caller's.
        Superseded(term: Term) {
            display("the plan was already written in term {}", term.0)
        }
        /// The reserved total of the server differs from the sum of its replicas' reservations.
        Inconsistent(server: ServerName) {
            display("reserved bytes of {server} do not match its replicas")
        }
    }
}

derive_scalar! {
    /// State of a backend server in a plan; transitions are in `charts/server.toml`.
    #[serde(rename_all = "snake_case")]
    pub enum ServerState {
        /// In service: takes new replicas.
        Live,
        /// Drained: takes no new replicas, and running requests finish.
        Leaving,
        /// Its VM has ended. Becomes live again when a new engine instance reports.
        Gone,
    }

    /// State of a replica in an engine's report.
    #[serde(rename_all = "snake_case")]
    pub enum Presence {
        /// Being loaded.
        Loading,
        /// Serves requests.
        Ready,
        /// The load failed; the replica holds no memory.
        Failed,
        /// Unloaded, or cancelled before it was loaded.
        Ended,
    }

    /// Fastest storage from which a server can load a checkpoint, fastest first.
    #[serde(rename_all = "snake_case")]
    pub enum CacheTier {
        /// Memory of the backend server.
        Memory,
        /// Local disk of the backend server.
        Disk,
        /// Weight store only: not cached on the server.
        Remote,
    }
}

impl Presence {
    /// Whether a replica in this state occupies memory of the engine.
    pub const fn holds_memory(self) -> bool {
        matches!(self, Self::Loading | Self::Ready)
    }
}

impl ServerState {
    const fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }

    fn step(self, event: &'static str) -> Option<Self> {
        let next = server_chart().next(self.name(), event)?;
        [Self::Live, Self::Leaving, Self::Gone]
            .into_iter()
            .find(|it| it.name() == next)
    }
}

const fn replica_name(state: ReplicaState) -> &'static str {
    match state {
        ReplicaState::Loading => "loading",
        ReplicaState::Ready => "ready",
        ReplicaState::Unloading => "unloading",
        ReplicaState::Released => "released",
    }
}

fn replica_transition(state: ReplicaState, event: &'static str) -> Result<ReplicaState, PlanError> {
    let from = replica_name(state);
    let next = replica_chart().next(from, event);
    next.and_then(|name| {
        [
            ReplicaState::Loading,
            ReplicaState::Ready,
            ReplicaState::Unloading,
            ReplicaState::Released,
        ]
        .into_iter()
        .find(|it| replica_name(*it) == name)
    })
    .ok_or(PlanError::NoTransition(from, event))
}

fn replica_chart() -> &'static Chart {
    static CHART: OnceLock<Chart> = OnceLock::new();
    CHART.get_or_init(|| Chart::parse(chart::REPLICA).expect("charts are checked at start"))
}

fn server_chart() -> &'static Chart {
    static CHART: OnceLock<Chart> = OnceLock::new();
    CHART.get_or_init(|| Chart::parse(chart::SERVER).expect("charts are checked at start"))
}

derive_value! {
    /// A process that holds or has held the pool's lease.
    pub struct Holder {
        /// Term in which it held the lease.
        pub term: Term,
        /// Member id of the process.
        pub member: MemberId,
        /// Incarnation of the process.
        pub incarnation: Incarnation,
        /// Instance of its VM in the platform's list; `None` when it was not known at the take-over.
        pub vm_instance: Option<String>,
        /// Whether the platform lists that VM instance as ended.
        pub ended: bool,
    }

    /// A replica in the plan, with its memory reservation.
    pub struct PlannedReplica {
        /// Model, or base model of the adapter.
        pub model: ModelName,
        /// Version of the checkpoint to load: of the adapter if there is one, otherwise of the model.
        pub version: u64,
        /// Adapter; needs a replica of `model` on the same server. `None` for a replica of the model itself.
        pub adapter: Option<AdapterName>,
        /// Backend server on which the memory is reserved.
        pub server: ServerName,
        /// Instance of the engine that its orders are for; it ends with this instance.
        pub instance: String,
        /// Reserved memory in bytes.
        pub bytes: u64,
        /// Term in which the reservation was made.
        pub term: Term,
        /// State by `charts/replica.toml`; a released replica is removed from the plan.
        pub state: ReplicaState,
        /// Whether its engine has ever reported it as loading, ready or failed.
        pub seen: bool,
    }

    /// A backend server in the plan, with its memory totals.
    pub struct PlannedServer {
        /// Memory for replicas, in bytes.
        pub memory_bytes: u64,
        /// Sum of the reservations of its replicas, in bytes.
        pub reserved_bytes: u64,
        /// Instance of its engine in the last report; `None` before the first one.
        pub instance: Option<String>,
        /// Newest fencing token reported by this engine instance; `Term(0)` when it has reported none.
        pub fenced: Term,
        /// Whether its engine refuses orders with an old fencing token.
        pub checks_fence: bool,
        /// Whether its engine forgets ended replica ids, and would execute a delayed load order for one.
        pub forgets_orders: bool,
        /// State by `charts/server.toml`.
        pub state: ServerState,
    }

    /// The plan of a pool, as stored in the platform.
    pub struct Plan {
        /// Pool; its name is the first part of every replica id.
        pub pool: PoolName,
        /// Term of the last writer.
        pub term: Term,
        /// Number of writes so far; not reset by a new term.
        pub sequence: u64,
        /// Operation ids of the latest writes, newest last.
        pub writers: Vec<OperationId>,
        /// The present holder, and earlier ones whose replicas are still in the plan.
        pub holders: Vec<Holder>,
        /// Number that the next replica id will contain; not reset by a new term.
        pub next_replica: u64,
        /// Replicas by id.
        pub replicas: BTreeMap<ReplicaId, PlannedReplica>,
        /// Backend servers by name.
        pub servers: BTreeMap<ServerName, PlannedServer>,
    }

    /// Request to reserve memory for a new replica.
    pub struct Reservation {
        /// Model, or base model of the adapter.
        pub model: ModelName,
        /// Version of the checkpoint to load: of the adapter if there is one, otherwise of the model.
        pub version: u64,
        /// Adapter; `None` for a replica of the model itself.
        pub adapter: Option<AdapterName>,
        /// Backend server on which to reserve the memory.
        pub server: ServerName,
        /// Memory to reserve, in bytes.
        pub bytes: u64,
    }

    /// A replica in an engine's report.
    pub struct ReplicaView {
        /// Replica id.
        pub replica: ReplicaId,
        /// State as reported by the engine.
        pub presence: Presence,
        /// Number of requests running on the replica.
        pub running: u32,
        /// Number of requests waiting in the engine for the replica.
        pub waiting: u32,
    }

    /// A cached checkpoint in an engine's report.
    pub struct CacheView {
        /// Name of the model or adapter.
        pub name: String,
        /// Version of the checkpoint.
        pub version: u64,
        /// Storage that holds it.
        pub tier: CacheTier,
    }

    /// An engine's report.
    pub struct EngineView {
        /// Instance of the engine process.
        pub instance: String,
        /// Newest fencing token that the engine has seen.
        pub term: Term,
        /// Whether the engine is shutting down and must get no new replicas.
        pub leaving: bool,
        /// Total memory for replicas, in bytes.
        pub memory_bytes: u64,
        /// Replicas, in the order of the report.
        pub replicas: Vec<ReplicaView>,
        /// Checkpoints cached in memory or on disk.
        pub cached: Vec<CacheView>,
    }

    /// Inputs to the plan about a backend server: its configuration and whether it is leaving.
    pub struct ServerSpec {
        /// Memory for replicas, in bytes.
        pub memory_bytes: u64,
        /// Whether its engine refuses orders with an old fencing token.
        pub checks_fence: bool,
        /// Whether its engine forgets ended replica ids, and would execute a delayed load order for one.
        pub forgets_orders: bool,
        /// Whether it must be drained, because of its configuration, the platform's VM list or its engine's report.
        pub leaving: bool,
    }
}

/// What the lease holder knows about the age of a report.
#[derive(Clone, Copy)]
pub struct Proof<'a> {
    /// Whether the report is certainly newer than the engine's receipt of this term's fencing token.
    pub fenced: bool,
    /// Whether the report is certainly newer than the engine's acceptance of this term's unload order for a replica.
    pub cancelled: &'a dyn Fn(&ReplicaId) -> bool,
}

impl Proof<'_> {
    /// Proof for a report of unknown age.
    pub fn none() -> Self {
        Self {
            fenced: false,
            cancelled: &|_| false,
        }
    }
}

impl std::fmt::Debug for Proof<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Proof")
            .field("fenced", &self.fenced)
            .finish_non_exhaustive()
    }
}

impl EngineView {
    /// Reported state of a replica; `None` when the report lacks it.
    pub fn replica(&self, id: &ReplicaId) -> Option<&ReplicaView> {
        self.replicas.iter().find(|it| it.replica == *id)
    }

    /// Fastest storage in which the server has a checkpoint.
    pub fn tier(&self, name: &str, version: u64) -> CacheTier {
        let cached = self.cached.iter().filter(|it| it.name == name && it.version == version);
        cached.map(|it| it.tier).min().unwrap_or(CacheTier::Remote)
    }
}

impl Reservation {
    /// Adapter name, or model name if there is no adapter: the name in callers' requests.
    pub fn name(&self) -> &str {
        self.adapter
            .as_ref()
            .map_or_else(|| self.model.as_str(), AdapterName::as_str)
    }
}

/// A state transition of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Replica that changed state.
    pub replica: ReplicaId,
    /// Model or adapter name in callers' requests.
    pub name: String,
    /// State before.
    pub from: ReplicaState,
    /// State after.
    pub to: ReplicaState,
}

impl PlannedReplica {
    /// Adapter name, or model name if there is no adapter: the name in callers' requests.
    pub fn name(&self) -> &str {
        self.adapter
            .as_ref()
            .map_or_else(|| self.model.as_str(), AdapterName::as_str)
    }
}

impl PlannedServer {
    /// Memory that is not reserved, in bytes; 0 when the memory was reduced below the reservations.
    pub fn free_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(self.reserved_bytes)
    }
}

impl Plan {
    /// An empty plan, for a pool that has none stored.
    pub fn new(pool: PoolName) -> Self {
        Self {
            pool,
            term: Term(0),
            sequence: 0,
            writers: Vec::new(),
            holders: Vec::new(),
            next_replica: 1,
            replicas: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Checks that the reserved totals of the servers equal the sums over their replicas.
    ///
    /// # Errors
    ///
    /// Returns the first server whose total differs, or an unknown server that a replica names.
    pub fn validate(&self) -> Result<(), PlanError> {
        let mut totals: BTreeMap<&ServerName, u64> = self.servers.keys().map(|name| (name, 0)).collect();
        for replica in self.replicas.values() {
            let total = totals
                .get_mut(&replica.server)
                .ok_or_else(|| PlanError::UnknownServer(replica.server.clone()))?;
            *total += replica.bytes;
        }
        let differing = self.servers.iter().find(|(name, it)| totals[name] != it.reserved_bytes);
        differing.map_or(Ok(()), |(name, _)| Err(PlanError::Inconsistent(name.clone())))
    }

    /// Puts the plan under a new holder's term. Once it is written, all writes by earlier holders fail.
    ///
    /// # Errors
    ///
    /// Fails when another holder has written the plan in this or a newer term.
    pub fn take_over(&mut self, holder: Holder) -> Result<(), PlanError> {
        let is_same_holder = self
            .holders
            .iter()
            .any(|it| it.term == holder.term && it.member == holder.member && it.incarnation == holder.incarnation);
        if self.term > holder.term || (self.term == holder.term && !is_same_holder) {
            return Err(PlanError::Superseded(self.term));
        }
        self.term = holder.term;
        if !is_same_holder {
            self.holders.push(holder);
        }
        Ok(())
    }

    /// Records a write with its operation id, and drops holders without replicas. Called once before each write.
    pub fn stamp(&mut self, operation: OperationId) {
        self.sequence += 1;
        self.writers.push(operation);
        let excess = self.writers.len().saturating_sub(WRITERS_KEPT);
        self.writers.drain(..excess);
        let term = self.term;
        let replicas = &self.replicas;
        self.holders
            .retain(|it| it.term == term || replicas.values().any(|replica| replica.term == it.term));
    }

    /// Applies the specs of all configured backend servers of the pool. Servers that are no longer configured are
    /// drained, and dropped once nothing is reserved on them.
    pub fn configure(&mut self, specs: &BTreeMap<ServerName, ServerSpec>) {
        for (name, spec) in specs {
            let server = self.servers.entry(name.clone()).or_insert_with(|| PlannedServer {
                memory_bytes: spec.memory_bytes,
                reserved_bytes: 0,
                instance: None,
                fenced: Term(0),
                checks_fence: spec.checks_fence,
                forgets_orders: spec.forgets_orders,
                state: ServerState::Live,
            });
            server.memory_bytes = spec.memory_bytes;
            server.checks_fence = spec.checks_fence;
            server.forgets_orders = spec.forgets_orders;
            let event = if spec.leaving { "drain" } else { "undrain" };
            server.state = server.state.step(event).unwrap_or(server.state);
        }
        self.servers
            .retain(|name, it| specs.contains_key(name) || it.reserved_bytes > 0);
        for (name, server) in &mut self.servers {
            if !specs.contains_key(name) {
                server.state = server.state.step("drain").unwrap_or(server.state);
            }
        }
    }

    /// Whether a server takes new replicas in the plan's term: it is live and its engine has reported.
    ///
    /// An engine that checks fencing tokens must also have this term's token, so that a delayed order of an earlier
    /// term cannot occupy memory that was released after the take-over.
    pub fn accepts(&self, server: &ServerName) -> bool {
        self.servers.get(server).is_some_and(|it| {
            let fenced = !it.checks_fence || it.fenced >= self.term;
            it.state == ServerState::Live && it.instance.is_some() && fenced
        })
    }

    /// Reserves memory for a new replica.
    ///
    /// # Errors
    ///
    /// Fails when the server is unknown, takes no new replicas or has too little free memory.
    pub fn reserve(&mut self, request: Reservation) -> Result<ReplicaId, PlanError> {
        let accepts = self.accepts(&request.server);
        let Some(server) = self.servers.get_mut(&request.server) else {
            return Err(PlanError::UnknownServer(request.server));
        };
        let Some(instance) = server.instance.clone().filter(|_| accepts) else {
            return Err(PlanError::NotAccepting(request.server));
        };
        let free = server.free_bytes();
        if request.bytes > free {
            return Err(PlanError::Overcommitted(request.server, free));
        }
        server.reserved_bytes += request.bytes;
        let id = ReplicaId::new(format!("{}-{}-{}", self.pool, self.term.0, self.next_replica));
        self.next_replica += 1;
        let replica = PlannedReplica {
            model: request.model,
            version: request.version,
            adapter: request.adapter,
            server: request.server,
            instance,
            bytes: request.bytes,
            term: self.term,
            state: ReplicaState::Loading,
            seen: false,
        };
        self.replicas.insert(id.clone(), replica);
        Ok(id)
    }

    /// Replica id that the next call of [`Plan::reserve`] in this term will return.
    pub fn next_id(&self) -> ReplicaId {
        ReplicaId::new(format!("{}-{}-{}", self.pool, self.term.0, self.next_replica))
    }

    /// Starts to unload a replica, or cancels its load. Its memory stays reserved until it is released.
    ///
    /// # Errors
    ///
    /// Fails when the replica is unknown or already unloading.
    pub fn evict(&mut self, id: &ReplicaId) -> Result<Step, PlanError> {
        let state = self.state(id)?;
        let event = if state == ReplicaState::Loading {
            "cancel"
        } else {
            "evict"
        };
        self.step(id, event)
    }

    /// Applies the permanent refusal of a load order.
    ///
    /// On an engine that forgets replica ids, a load order is not repeated once it has arrived, so a replica
    /// of the present term that was never seen is released at once.
    ///
    /// # Errors
    ///
    /// Fails when the replica is unknown or not loading.
    pub fn load_refused(&mut self, id: &ReplicaId) -> Result<Vec<Step>, PlanError> {
        let mut steps = vec![self.step(id, "load_failed")?];
        let replica = &self.replicas[id];
        if self.engine_forgets(&replica.server) && !replica.seen && replica.term == self.term {
            steps.push(self.step(id, "unloaded")?);
        }
        Ok(steps)
    }

    /// Applies the confirmation by the holder of `term` that it never sent and will not send load orders for these ids.
    ///
    /// Only replicas on engines that forget ids are released. On other engines a later holder sends the orders again.
    pub fn not_sent(&mut self, term: Term, ids: &[ReplicaId]) -> Vec<Step> {
        let unsent: Vec<ReplicaId> = ids.iter().filter(|id| self.is_unsent(term, id)).cloned().collect();
        unsent.iter().flat_map(|id| self.release(id)).collect()
    }

    fn is_unsent(&self, term: Term, id: &ReplicaId) -> bool {
        self.replicas
            .get(id)
            .is_some_and(|it| term < self.term && it.term == term && !it.seen && self.engine_forgets(&it.server))
    }

    /// Marks holders as ended whose VM instance has ended, so they can send no more orders. Returns whether any was
    /// marked.
    pub fn holder_vm_ended(&mut self, vm: &str, instance: &str) -> bool {
        let mut changed = false;
        for holder in &mut self.holders {
            let is_same_holder = holder.member.vm.as_str() == vm && holder.vm_instance.as_deref() == Some(instance);
            if is_same_holder && !holder.ended {
                holder.ended = true;
                changed = true;
            }
        }
        changed
    }

    /// Applies the end of a server's VM: marks the server as gone and releases all its replicas.
    pub fn server_ended(&mut self, server: &ServerName) -> Vec<Step> {
        let Some(it) = self.servers.get_mut(server) else {
            return Vec::new();
        };
        it.state = it.state.step("ended").unwrap_or(it.state);
        self.release_other_instances(server, None)
    }

    /// Applies an engine's report and returns the resulting transitions; `proof` describes what is known of its age.
    pub fn reconcile(&mut self, name: &ServerName, view: &EngineView, proof: Proof<'_>) -> Vec<Step> {
        let Some(server) = self.servers.get_mut(name) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        if server.instance.as_deref() != Some(view.instance.as_str()) {
            server.instance = Some(view.instance.clone());
            server.fenced = Term(0);
            server.state = server.state.step("returned").unwrap_or(server.state);
            steps.extend(self.release_other_instances(name, Some(&view.instance)));
        }
        let Some(server) = self.servers.get_mut(name) else {
            return steps;
        };
        if server.state == ServerState::Gone {
            return steps;
        }
        server.fenced = server.fenced.max(view.term);
        let ids: Vec<ReplicaId> = self.on_server(name).map(|(id, _)| id.clone()).collect();
        for id in ids {
            steps.extend(self.reconcile_replica(&id, view, proof));
        }
        steps
    }

    fn reconcile_replica(&mut self, id: &ReplicaId, view: &EngineView, proof: Proof<'_>) -> Vec<Step> {
        let presence = view.replica(id).map(|it| it.presence);
        let Some(replica) = self.replicas.get_mut(id) else {
            return Vec::new();
        };
        let was_seen = replica.seen;
        let state = replica.state;
        replica.seen |= matches!(presence, Some(Presence::Loading | Presence::Ready | Presence::Failed));
        let engine_forgets = self.engine_forgets(&self.replicas[id].server);
        match presence {
            Some(Presence::Ready) if state == ReplicaState::Loading => self.step(id, "loaded").into_iter().collect(),
            Some(Presence::Loading | Presence::Ready) => Vec::new(),
            Some(Presence::Failed) if engine_forgets => self.release(id),
            Some(Presence::Failed) => self.begin_unload(id),
            Some(Presence::Ended) if !engine_forgets || was_seen => self.release(id),
            None if was_seen && engine_forgets => self.release(id),
            None if !engine_forgets && state == ReplicaState::Unloading && (proof.cancelled)(id) => self.release(id),
            None if was_seen => self.begin_unload(id),
            Some(Presence::Ended) | None => {
                if self.is_proved_absent(id, proof) {
                    return self.release(id);
                }
                Vec::new()
            }
        }
    }

    /// Whether an engine that forgets ids certainly does not hold and will not load a replica that was never seen. The
    /// report to which `proof` applies must not show it as loading, ready or failed.
    fn is_proved_absent(&self, id: &ReplicaId, proof: Proof<'_>) -> bool {
        let replica = &self.replicas[id];
        let server = &self.servers[&replica.server];
        if !server.forgets_orders || replica.term >= self.term {
            return false;
        }
        let fenced = server.checks_fence && proof.fenced;
        let holder_ended = self.holders.iter().any(|it| it.term == replica.term && it.ended);
        fenced || (holder_ended && (proof.cancelled)(id))
    }

    /// Moves a loading or ready replica that its engine does not hold any more to unloading.
    fn begin_unload(&mut self, id: &ReplicaId) -> Vec<Step> {
        match self.replicas.get(id).map(|it| it.state) {
            Some(ReplicaState::Loading) => self.step(id, "load_failed").into_iter().collect(),
            Some(ReplicaState::Ready) => self.step(id, "evict").into_iter().collect(),
            _ => Vec::new(),
        }
    }

    fn release(&mut self, id: &ReplicaId) -> Vec<Step> {
        let mut steps = self.begin_unload(id);
        steps.extend(self.step(id, "unloaded"));
        steps
    }

    /// Releases the replicas of a server except those for engine instance `instance`; all of them for `None`.
    fn release_other_instances(&mut self, server: &ServerName, instance: Option<&str>) -> Vec<Step> {
        let ended: Vec<ReplicaId> = self
            .on_server(server)
            .filter(|(_, it)| Some(it.instance.as_str()) != instance)
            .map(|(id, _)| id.clone())
            .collect();
        ended.iter().flat_map(|id| self.step(id, "server_ended")).collect()
    }

    /// Replicas with a reservation on a server, unloading ones included.
    pub fn on_server<'a>(
        &'a self,
        server: &'a ServerName,
    ) -> impl Iterator<Item = (&'a ReplicaId, &'a PlannedReplica)> {
        self.replicas.iter().filter(move |(_, it)| it.server == *server)
    }

    /// Whether a ready replica of the adapter's base model is on the same server.
    pub fn has_ready_base(&self, adapter: &PlannedReplica) -> bool {
        self.on_server(&adapter.server)
            .any(|(_, it)| it.adapter.is_none() && it.model == adapter.model && it.state == ReplicaState::Ready)
    }

    /// Adapter replicas, not yet unloading, without a loading or ready replica of their base model on the same server.
    pub fn orphaned_adapters(&self) -> Vec<ReplicaId> {
        let has_base = |adapter: &PlannedReplica| {
            self.on_server(&adapter.server).any(|(_, it)| {
                let is_held = matches!(it.state, ReplicaState::Loading | ReplicaState::Ready);
                it.adapter.is_none() && it.model == adapter.model && is_held
            })
        };
        self.replicas
            .iter()
            .filter(|(_, it)| it.adapter.is_some() && it.state != ReplicaState::Unloading && !has_base(it))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Term in which a replica was decided, parsed from its id; `None` when the id is not one of this pool.
    pub fn term_of(&self, id: &ReplicaId) -> Option<Term> {
        let rest = id.as_str().strip_prefix(self.pool.as_str())?.strip_prefix('-')?;
        let (term, _) = rest.split_once('-')?;
        term.parse().ok().map(Term)
    }

    fn engine_forgets(&self, server: &ServerName) -> bool {
        self.servers.get(server).is_some_and(|it| it.forgets_orders)
    }

    fn state(&self, id: &ReplicaId) -> Result<ReplicaState, PlanError> {
        let replica = self.replicas.get(id);
        replica
            .map(|it| it.state)
            .ok_or_else(|| PlanError::UnknownReplica(id.clone()))
    }

    fn step(&mut self, id: &ReplicaId, event: &'static str) -> Result<Step, PlanError> {
        let from = self.state(id)?;
        let to = replica_transition(from, event)?;
        let Some(replica) = self.replicas.get_mut(id) else {
            return Err(PlanError::UnknownReplica(id.clone()));
        };
        replica.state = to;
        let step = Step {
            replica: id.clone(),
            name: replica.name().to_owned(),
            from,
            to,
        };
        if to == ReplicaState::Released
            && let Some(replica) = self.replicas.remove(id)
            && let Some(server) = self.servers.get_mut(&replica.server)
        {
            server.reserved_bytes = server.reserved_bytes.saturating_sub(replica.bytes);
        }
        Ok(step)
    }
}
