//! Plan of a pool: which replicas were decided and how much memory each backend server has reserved.
//!
//! A plan is changed in memory, written by compare-and-swap and only then acted on. Bytes are reserved before a load
//! order goes out and are released only on proof that no copy of that order can take memory any more. What counts as
//! proof depends on the engine:
//!
//! - An engine that remembers replica ids proves it by reporting the id as ended: it refuses every later load order.
//!   An engine that took the unload order and later reports without the id has dropped it from its report only.
//! - An engine that forgets ids would load a late copy again. Its load orders are therefore never repeated and never
//!   sent again by a later holder, so a replica that was seen and then disappears has used up the only copy. A replica
//!   that was never seen is released when a report that is certainly newer than the engine's new fencing token does
//!   not have it, when the holder that decided it confirms that the order was not sent, or when that holder's VM has
//!   ended.
//! - A new instance of the engine, or the end of the server's VM, releases everything reserved before.
//!
//! Reports may lag, but the replicas shown by one engine must not go back in time. The fencing token in a report says
//! nothing about the age of the replicas in it.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use quick_error::quick_error;

use crate::chart::{self, Chart};
use crate::ids::{AdapterName, Incarnation, MemberId, ModelName, OperationId, PoolName, ReplicaId, ServerName, Term};
use crate::placement::ReplicaState;

/// Operation ids kept in a plan; a writer reads back after its own last write only.
const WRITERS_KEPT: usize = 16;

quick_error! {
    /// Refusal of a change to a plan.
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
        /// The backend server takes no new replicas now.
        NotAccepting(server: ServerName) {
            display("backend server {server} takes no new replicas")
        }
        /// The reservation would exceed the server's memory.
        Overcommitted(server: ServerName, free: u64) {
            display("backend server {server} has only {free} bytes free")
        }
        /// The chart has no such transition.
        NoTransition(state: &'static str, event: &'static str) {
            display("no transition from {state} by {event}")
        }
        /// The plan was written under this or a newer term by another holder.
        Superseded(term: Term) {
            display("the plan already has term {}", term.0)
        }
        /// The per-server totals do not agree with the replicas.
        Inconsistent(server: ServerName) {
            display("reserved bytes of {server} do not match its replicas")
        }
    }
}

derive_scalar! {
    /// State of a backend server in a plan; transitions are in `charts/server.toml`.
    #[serde(rename_all = "snake_case")]
    pub enum ServerState {
        /// Takes new replicas.
        Live,
        /// Takes no new replicas; running work finishes.
        Leaving,
        /// Its VM has ended.
        Gone,
    }

    /// State of a replica in an engine's report.
    #[serde(rename_all = "snake_case")]
    pub enum Presence {
        /// Being loaded.
        Loading,
        /// Serves requests.
        Ready,
        /// The load failed and holds no memory.
        Failed,
        /// Unloaded or cancelled.
        Ended,
    }

    /// Where a checkpoint is cached.
    #[serde(rename_all = "snake_case")]
    pub enum CacheTier {
        /// In memory of the backend server.
        Memory,
        /// On the backend server's disk.
        Disk,
        /// In the weight store only.
        Remote,
    }
}

impl Presence {
    /// Whether a replica in this state takes memory.
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

fn replica_step(state: ReplicaState, event: &'static str) -> Result<ReplicaState, PlanError> {
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
    /// A process that has held the pool's lease.
    pub struct Holder {
        /// Term it held.
        pub term: Term,
        /// Process.
        pub member: MemberId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Instance of its VM in the platform's list, when known.
        pub vm_instance: Option<String>,
        /// Whether that VM is listed as ended.
        pub ended: bool,
    }

    /// A replica with its reservation.
    pub struct PlannedReplica {
        /// Model.
        pub model: ModelName,
        /// Checkpoint version; the adapter's own for an adapter.
        pub version: u64,
        /// Adapter, when the replica is one next to a replica of `model` on the same server.
        pub adapter: Option<AdapterName>,
        /// Backend server.
        pub server: ServerName,
        /// Instance of the engine that its orders are meant for.
        pub instance: String,
        /// Reserved memory in bytes.
        pub bytes: u64,
        /// Term in which it was decided.
        pub term: Term,
        /// State.
        pub state: ReplicaState,
        /// Whether its engine has reported it as loading, ready or failed.
        pub seen: bool,
    }

    /// A backend server with its totals.
    pub struct PlannedServer {
        /// Memory for replicas in bytes.
        pub memory_bytes: u64,
        /// Sum of its replicas' reservations in bytes.
        pub reserved_bytes: u64,
        /// Instance of its engine as last reported.
        pub instance: Option<String>,
        /// Newest fencing token its engine has reported.
        pub fenced: Term,
        /// Whether its engine refuses orders with an old fencing token.
        pub checks_fence: bool,
        /// Whether its engine forgets cancelled replica ids.
        pub forgets_orders: bool,
        /// State.
        pub state: ServerState,
    }

    /// The plan of a pool.
    pub struct Plan {
        /// Pool.
        pub pool: PoolName,
        /// Term of the last writer.
        pub term: Term,
        /// Number of writes; grows over all terms.
        pub sequence: u64,
        /// Operation ids of the last writes, newest last.
        pub writers: Vec<OperationId>,
        /// Holders whose replicas are in the plan, and the present one.
        pub holders: Vec<Holder>,
        /// Number of the next replica.
        pub next_replica: u64,
        /// Replicas by id.
        pub replicas: BTreeMap<ReplicaId, PlannedReplica>,
        /// Backend servers by name.
        pub servers: BTreeMap<ServerName, PlannedServer>,
    }

    /// What a reservation is for.
    pub struct Reservation {
        /// Model.
        pub model: ModelName,
        /// Checkpoint version.
        pub version: u64,
        /// Adapter.
        pub adapter: Option<AdapterName>,
        /// Backend server.
        pub server: ServerName,
        /// Memory in bytes.
        pub bytes: u64,
    }

    /// A replica in an engine's report.
    pub struct ReplicaView {
        /// Identifier.
        pub replica: ReplicaId,
        /// State.
        pub presence: Presence,
        /// Requests running.
        pub running: u32,
        /// Requests waiting in the engine.
        pub waiting: u32,
    }

    /// A cached checkpoint in an engine's report.
    pub struct CacheView {
        /// Model or adapter.
        pub name: String,
        /// Checkpoint version.
        pub version: u64,
        /// Tier.
        pub tier: CacheTier,
    }

    /// An engine's report.
    pub struct EngineView {
        /// Instance of the engine process.
        pub instance: String,
        /// Newest fencing token seen.
        pub term: Term,
        /// Whether the engine reports that it is leaving.
        pub leaving: bool,
        /// Memory in all, in bytes.
        pub memory_bytes: u64,
        /// Replicas, in order of the report.
        pub replicas: Vec<ReplicaView>,
        /// Cached checkpoints.
        pub cached: Vec<CacheView>,
    }

    /// A backend server's configuration as far as the plan needs it.
    pub struct ServerSpec {
        /// Memory in bytes.
        pub memory_bytes: u64,
        /// Whether its engine refuses orders with an old fencing token.
        pub checks_fence: bool,
        /// Whether its engine forgets cancelled replica ids.
        pub forgets_orders: bool,
        /// Whether it is leaving by configuration, list or its own report.
        pub leaving: bool,
    }
}

/// What a holder knows about the age of a report.
#[derive(Clone, Copy)]
pub struct Proof<'a> {
    /// Whether the engine had this term's fencing token so long before the report was requested that the report cannot
    /// be older.
    pub fenced: bool,
    /// Whether the engine took this term's unload order for a replica so long before that the report cannot be older.
    pub cancelled: &'a dyn Fn(&ReplicaId) -> bool,
}

impl Proof<'_> {
    /// Nothing is known about the age of the report.
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
    /// The replica with this id.
    pub fn replica(&self, id: &ReplicaId) -> Option<&ReplicaView> {
        self.replicas.iter().find(|it| it.replica == *id)
    }

    /// Where the server has a checkpoint.
    pub fn tier(&self, name: &str, version: u64) -> CacheTier {
        let cached = self.cached.iter().filter(|it| it.name == name && it.version == version);
        cached.map(|it| it.tier).min().unwrap_or(CacheTier::Remote)
    }
}

impl Reservation {
    /// Name callers use.
    pub fn name(&self) -> &str {
        self.adapter
            .as_ref()
            .map_or_else(|| self.model.as_str(), AdapterName::as_str)
    }
}

/// What happened to a replica in one change of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Replica.
    pub replica: ReplicaId,
    /// Model or adapter under which callers know it.
    pub name: String,
    /// State before.
    pub from: ReplicaState,
    /// State after.
    pub to: ReplicaState,
}

impl PlannedReplica {
    /// Name callers use.
    pub fn name(&self) -> &str {
        self.adapter
            .as_ref()
            .map_or_else(|| self.model.as_str(), AdapterName::as_str)
    }
}

impl PlannedServer {
    /// Bytes not reserved.
    pub fn free_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(self.reserved_bytes)
    }
}

impl Plan {
    /// An empty plan.
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

    /// Checks that the totals agree with the replicas.
    ///
    /// # Errors
    ///
    /// Returns the first server whose total differs or whose replicas name an unknown server.
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

    /// Puts the plan under a new holder's term. Its write makes every later write of an earlier holder fail.
    ///
    /// # Errors
    ///
    /// Fails when the plan has this or a newer term from another holder.
    pub fn take_over(&mut self, holder: Holder) -> Result<(), PlanError> {
        let same = self
            .holders
            .iter()
            .any(|it| it.term == holder.term && it.member == holder.member && it.incarnation == holder.incarnation);
        if self.term > holder.term || (self.term == holder.term && !same) {
            return Err(PlanError::Superseded(self.term));
        }
        self.term = holder.term;
        if !same {
            self.holders.push(holder);
        }
        Ok(())
    }

    /// Counts a write and records its operation id. Called once for each version that is written.
    pub fn stamp(&mut self, operation: OperationId) {
        self.sequence += 1;
        self.writers.push(operation);
        let surplus = self.writers.len().saturating_sub(WRITERS_KEPT);
        self.writers.drain(..surplus);
        let term = self.term;
        let replicas = &self.replicas;
        self.holders
            .retain(|it| it.term == term || replicas.values().any(|replica| replica.term == it.term));
    }

    /// Takes the configuration of all backend servers of the pool. Servers that are no longer configured leave, and
    /// are dropped once nothing is reserved on them.
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

    /// Whether a server takes new replicas under the plan's term.
    ///
    /// A server that checks fencing tokens must have the present one first, so that memory released after a
    /// take-over cannot be claimed by an order of an earlier term.
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
    /// Fails when the server takes no new replicas or has too little memory left.
    pub fn reserve(&mut self, want: Reservation) -> Result<ReplicaId, PlanError> {
        let accepts = self.accepts(&want.server);
        let Some(server) = self.servers.get_mut(&want.server) else {
            return Err(PlanError::UnknownServer(want.server));
        };
        let Some(instance) = server.instance.clone().filter(|_| accepts) else {
            return Err(PlanError::NotAccepting(want.server));
        };
        let free = server.free_bytes();
        if want.bytes > free {
            return Err(PlanError::Overcommitted(want.server, free));
        }
        server.reserved_bytes += want.bytes;
        let id = ReplicaId::new(format!("{}-{}-{}", self.pool, self.term.0, self.next_replica));
        self.next_replica += 1;
        let replica = PlannedReplica {
            model: want.model,
            version: want.version,
            adapter: want.adapter,
            server: want.server,
            instance,
            bytes: want.bytes,
            term: self.term,
            state: ReplicaState::Loading,
            seen: false,
        };
        self.replicas.insert(id.clone(), replica);
        Ok(id)
    }

    /// Id that the next reservation will get.
    pub fn next_id(&self) -> ReplicaId {
        ReplicaId::new(format!("{}-{}-{}", self.pool, self.term.0, self.next_replica))
    }

    /// Decides that a replica is unloaded; its bytes stay reserved.
    ///
    /// # Errors
    ///
    /// Fails when the replica is unknown or already being unloaded.
    pub fn evict(&mut self, id: &ReplicaId) -> Result<Step, PlanError> {
        let state = self.state(id)?;
        let event = if state == ReplicaState::Loading {
            "cancel"
        } else {
            "evict"
        };
        self.step(id, event)
    }

    /// Takes note that an engine refused a load order for good.
    ///
    /// On an engine that forgets ids the refused order was the only copy, so the replica is released at once.
    ///
    /// # Errors
    ///
    /// Fails when the replica is unknown or not being loaded.
    pub fn load_refused(&mut self, id: &ReplicaId) -> Result<Vec<Step>, PlanError> {
        let mut steps = vec![self.step(id, "load_failed")?];
        let replica = &self.replicas[id];
        if self.forgets(&replica.server) && !replica.seen && replica.term == self.term {
            steps.push(self.step(id, "unloaded")?);
        }
        Ok(steps)
    }

    /// Takes the confirmation of the holder of `term` that load orders of these replicas were not and will not be sent.
    ///
    /// It releases replicas only on engines that forget ids, because only there no later holder sends the order again.
    pub fn not_sent(&mut self, term: Term, ids: &[ReplicaId]) -> Vec<Step> {
        let unsent: Vec<ReplicaId> = ids.iter().filter(|id| self.is_unsent(term, id)).cloned().collect();
        unsent.iter().flat_map(|id| self.release(id)).collect()
    }

    fn is_unsent(&self, term: Term, id: &ReplicaId) -> bool {
        self.replicas
            .get(id)
            .is_some_and(|it| term < self.term && it.term == term && !it.seen && self.forgets(&it.server))
    }

    /// Marks holders whose VM instance has ended. They send nothing any more.
    pub fn holder_vm_ended(&mut self, vm: &str, instance: &str) -> bool {
        let mut changed = false;
        for holder in &mut self.holders {
            let same = holder.member.vm.as_str() == vm && holder.vm_instance.as_deref() == Some(instance);
            if same && !holder.ended {
                holder.ended = true;
                changed = true;
            }
        }
        changed
    }

    /// Takes the end of a server's VM: everything reserved there is released.
    pub fn server_ended(&mut self, server: &ServerName) -> Vec<Step> {
        let Some(it) = self.servers.get_mut(server) else {
            return Vec::new();
        };
        it.state = it.state.step("ended").unwrap_or(it.state);
        self.end_replicas(server, None)
    }

    /// Takes an engine's report.
    pub fn reconcile(&mut self, name: &ServerName, view: &EngineView, proof: Proof<'_>) -> Vec<Step> {
        let Some(server) = self.servers.get_mut(name) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        if server.instance.as_deref() != Some(view.instance.as_str()) {
            server.instance = Some(view.instance.clone());
            server.fenced = Term(0);
            server.state = server.state.step("returned").unwrap_or(server.state);
            steps.extend(self.end_replicas(name, Some(&view.instance)));
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
        let forgets = self.forgets(&self.replicas[id].server);
        match presence {
            Some(Presence::Ready) if state == ReplicaState::Loading => self.step(id, "loaded").into_iter().collect(),
            Some(Presence::Loading | Presence::Ready) => Vec::new(),
            Some(Presence::Failed) if forgets => self.release(id),
            Some(Presence::Failed) => self.withdraw(id),
            Some(Presence::Ended) if !forgets || was_seen => self.release(id),
            None if was_seen && forgets => self.release(id),
            None if !forgets && state == ReplicaState::Unloading && (proof.cancelled)(id) => self.release(id),
            None if was_seen => self.withdraw(id),
            Some(Presence::Ended) | None => {
                if self.is_proved_absent(id, proof) {
                    return self.release(id);
                }
                Vec::new()
            }
        }
    }

    /// Whether a replica that was never seen can no longer arrive at an engine that forgets ids.
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

    /// Moves a replica that its engine no longer serves to unloading.
    fn withdraw(&mut self, id: &ReplicaId) -> Vec<Step> {
        match self.replicas.get(id).map(|it| it.state) {
            Some(ReplicaState::Loading) => self.step(id, "load_failed").into_iter().collect(),
            Some(ReplicaState::Ready) => self.step(id, "evict").into_iter().collect(),
            _ => Vec::new(),
        }
    }

    fn release(&mut self, id: &ReplicaId) -> Vec<Step> {
        let mut steps = self.withdraw(id);
        steps.extend(self.step(id, "unloaded"));
        steps
    }

    /// Releases the replicas of a server that were meant for an instance other than `instance`.
    fn end_replicas(&mut self, server: &ServerName, instance: Option<&str>) -> Vec<Step> {
        let ended: Vec<ReplicaId> = self
            .on_server(server)
            .filter(|(_, it)| Some(it.instance.as_str()) != instance)
            .map(|(id, _)| id.clone())
            .collect();
        ended.iter().flat_map(|id| self.step(id, "server_ended")).collect()
    }

    /// Replicas on a server.
    pub fn on_server<'a>(
        &'a self,
        server: &'a ServerName,
    ) -> impl Iterator<Item = (&'a ReplicaId, &'a PlannedReplica)> {
        self.replicas.iter().filter(move |(_, it)| it.server == *server)
    }

    /// Whether an adapter's replica has a ready replica of its model next to it.
    pub fn has_ready_base(&self, adapter: &PlannedReplica) -> bool {
        self.on_server(&adapter.server)
            .any(|(_, it)| it.adapter.is_none() && it.model == adapter.model && it.state == ReplicaState::Ready)
    }

    /// Adapters whose replica of the model is no longer loaded or being loaded on their server.
    pub fn orphaned_adapters(&self) -> Vec<ReplicaId> {
        let has_base = |adapter: &PlannedReplica| {
            self.on_server(&adapter.server).any(|(_, it)| {
                let held = matches!(it.state, ReplicaState::Loading | ReplicaState::Ready);
                it.adapter.is_none() && it.model == adapter.model && held
            })
        };
        self.replicas
            .iter()
            .filter(|(_, it)| it.adapter.is_some() && it.state != ReplicaState::Unloading && !has_base(it))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Term in which a replica id of this pool was decided, read from the id itself.
    pub fn term_of(&self, id: &ReplicaId) -> Option<Term> {
        let rest = id.as_str().strip_prefix(self.pool.as_str())?.strip_prefix('-')?;
        let (term, _) = rest.split_once('-')?;
        term.parse().ok().map(Term)
    }

    fn forgets(&self, server: &ServerName) -> bool {
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
        let to = replica_step(from, event)?;
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
