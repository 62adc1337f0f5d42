//! Decides for one pool while this process holds its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::BackendServer;
use guava_core::events::Event;
use guava_core::ids::{OperationId, ReplicaId, ServerName, Term};
use guava_core::orders::{LOAD_TIMEOUT_MS, Ledger};
use guava_core::permits::{PERMIT_RENEW_MS, PermitKind, PermitRequest};
use guava_core::placement::ReplicaState;
use guava_core::plan::{CacheTier, Holder, Plan, Proof, ServerSpec, ServerState, Step};
use guava_core::scheduler::{Decision, Input};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use guava_objects::{VmInfo, VmState};
use parking_lot::MutexGuard;
use tokio::sync::mpsc;

use crate::plan_store::{Confirmed, PlanStore, PlanStoreError};
use crate::publish::{self, Publisher};
use crate::release;
use crate::send::{self, Outcome};
use crate::shared::{PoolState, Shared};

/// Wait between looks at the lease while another process holds it.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// Least time between two rounds, however often the worker is woken.
const LEAST_ROUND: Duration = Duration::from_millis(10);
/// Wait after a plan could not be read or written.
const STORE_RETRY: Duration = Duration::from_millis(250);
/// Time without a report after which a server whose VM is listed as ended counts as gone.
const SILENCE_MS: u64 = 5_000;

/// A term in which this process decides.
#[derive(Debug)]
struct Leader {
    term: Term,
    store: PlanStore,
    plan: Arc<Plan>,
    publisher: Publisher,
    published: Option<(u64, Arc<Snapshot>)>,
    loads: BTreeMap<ReplicaId, Load>,
    accounted: Millis,
}

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct Load {
    decided: Millis,
    tier: CacheTier,
    permit: Option<PermitKind>,
    renewed: Millis,
}

/// What one round changed.
#[derive(Debug, Default)]
struct Changes {
    steps: Vec<Step>,
    loads: Vec<ReplicaId>,
}

/// Worker of one pool.
#[derive(Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    pool: Arc<PoolState>,
    leader: Option<Leader>,
    ledger_term: Term,
    /// Plan of the last write that was tried, confirmed or not.
    tried: Option<Plan>,
    operations: u64,
    outcomes_tx: mpsc::UnboundedSender<Outcome>,
    outcomes: mpsc::UnboundedReceiver<Outcome>,
    release: release::Announcer,
}

impl Worker {
    /// A worker for `pool` that has not decided anything yet.
    pub fn new(shared: Arc<Shared>, pool: Arc<PoolState>) -> Self {
        let (outcomes_tx, outcomes) = mpsc::unbounded_channel();
        Self {
            release: release::Announcer::new(Arc::clone(&shared), pool.name.clone()),
            shared,
            pool,
            leader: None,
            ledger_term: Term(0),
            tried: None,
            operations: 0,
            outcomes_tx,
            outcomes,
        }
    }

    /// Works until the controller stops. The write in progress is finished first.
    pub async fn run(mut self) {
        let mut stop = self.shared.stop.subscribe();
        while !self.shared.is_stopping() {
            let wait = self.turn().await;
            tokio::time::sleep(LEAST_ROUND).await;
            tokio::select! {
                () = self.pool.wake.notified() => {}
                () = tokio::time::sleep(wait) => {}
                _ = stop.changed() => {}
            }
        }
        self.close_ledger();
        self.release.announce_now().await;
        self.set_plan(None);
        self.shared.metrics.lease(&self.pool.name, false);
    }

    /// One look at the lease and, when it is held, one round. Returns the wait until the next.
    async fn turn(&mut self) -> Duration {
        let held = self.shared.held(&self.pool.lease);
        self.shared.metrics.lease(&self.pool.name, held.is_some());
        let Some(term) = held else {
            self.lease_not_held();
            self.release.announce_due().await;
            return IDLE_LOOK;
        };
        if self.leader.as_ref().is_none_or(|it| it.term != term) && !self.take_over(term).await {
            return STORE_RETRY;
        }
        let done = self.round().await;
        self.release.announce_due().await;
        if done {
            Duration::from_millis(self.shared.args.round_ms)
        } else {
            STORE_RETRY
        }
    }

    /// Gives up the term once another holder is known. A lapse of the own lease alone is only a pause.
    fn lease_not_held(&mut self) {
        let holder = self.shared.node.leases.holder(&self.pool.lease);
        if self.leader.is_some() && holder.is_some_and(|it| it != *self.shared.me()) {
            self.step_down();
        }
    }

    fn step_down(&mut self) {
        self.close_ledger();
        self.leader = None;
        self.set_plan(None);
    }

    /// Ends sending in the ledger's term and keeps what was never sent for the successor.
    fn close_ledger(&mut self) {
        let ledger = self.pool.ledger();
        ledger.lock().close();
        let Some(tried) = self.tried.take() else {
            return;
        };
        let unsent = ledger.lock().never_sent(&tried, self.ledger_term);
        if !unsent.is_empty() {
            self.pool.keep_unsent(self.ledger_term, unsent.iter().cloned());
            self.release.add(self.ledger_term, unsent, self.shared.now());
        }
    }

    fn set_plan(&self, plan: Option<Arc<Plan>>) {
        *self.pool.plan.write() = plan;
    }

    fn next_operation(&mut self, term: Term) -> OperationId {
        self.operations += 1;
        let me = self.shared.node.members.me();
        OperationId::new(format!("{}/{}/{}/{}", me.id, me.incarnation.0, term.0, self.operations))
    }

    /// Writes the plan with the new term before anything else is decided.
    async fn take_over(&mut self, term: Term) -> bool {
        if self.ledger_term != term {
            self.step_down();
        }
        match self.try_take_over(term).await {
            Ok(leader) => {
                if self.ledger_term != term {
                    *self.pool.ledger.write() = Arc::default();
                    self.ledger_term = term;
                }
                self.pool.engines.lock().clear();
                while self.outcomes.try_recv().is_ok() {}
                self.set_plan(Some(Arc::clone(&leader.plan)));
                let detail = format!("pool {} term {}", self.pool.name, term.0);
                self.shared
                    .node
                    .timeline
                    .record(Event::PlanTakenOver, None, None, &detail);
                self.leader = Some(leader);
                true
            }
            Err(error) => {
                self.note_store_error(&error);
                false
            }
        }
    }

    async fn try_take_over(&mut self, term: Term) -> Result<Leader, PlanStoreError> {
        let node = self.shared.node.clone();
        let me = node.members.me().clone();
        // Without the VM's instance a successor could not tell from the list that this holder has ended.
        let vms = node.vms.vms().await.unwrap_or_default();
        let vm_instance = vms
            .iter()
            .find(|it| it.name == me.id.vm && it.state != VmState::Ended)
            .map(|it| it.instance.clone());
        let mut store = PlanStore::new(Arc::clone(&node.store), self.pool.name.clone());
        let stored = store.load().await?;
        let known = publish::known_names(&self.pool.name, node.gossip.as_ref());
        let mut plan = stored.unwrap_or_else(|| Plan::new(self.pool.name.clone()));
        // A plan that was lost must not make placement versions go back.
        let newest = known.iter().map(|(_, it)| it).filter(|it| it.term >= term).max();
        plan.sequence = plan.sequence.max(newest.map_or(0, |it| it.sequence));
        let holder = Holder {
            term,
            member: me.id,
            incarnation: me.incarnation,
            vm_instance,
            ended: false,
        };
        plan.take_over(holder).map_err(|_superseded| PlanStoreError::Conflict)?;
        let operation = self.next_operation(term);
        plan.stamp(operation.clone());
        let (shared, pool) = (Arc::clone(&self.shared), Arc::clone(&self.pool));
        let may_act = move || shared.held(&pool.lease) == Some(term);
        let confirmed = store.write(&plan, &operation, &may_act).await?;
        self.note_written(confirmed);
        let publisher = Publisher::start(&plan, node.gossip.as_ref());
        Ok(Leader {
            term,
            store,
            plan: Arc::new(plan),
            publisher,
            published: None,
            loads: BTreeMap::new(),
            accounted: self.shared.now(),
        })
    }

    fn note_written(&self, confirmed: Confirmed) {
        self.shared.metrics.written(&self.pool.name);
        if confirmed == Confirmed::ReadBack {
            let detail = format!("plan of pool {}", self.pool.name);
            self.shared
                .node
                .timeline
                .record(Event::WriteRecovered, None, None, &detail);
        }
    }

    fn note_store_error(&self, error: &PlanStoreError) {
        if matches!(error, PlanStoreError::Conflict) {
            self.shared.metrics.conflict(&self.pool.name);
            let detail = format!("pool {}", self.pool.name);
            self.shared
                .node
                .timeline
                .record(Event::PlanConflict, None, None, &detail);
        } else {
            log::warn!("plan of pool {}: {error}", self.pool.name);
        }
    }

    /// Reads what is new, decides, writes, and only then publishes and sends. Returns false when the plan could not
    /// be written.
    async fn round(&mut self) -> bool {
        let Some(mut leader) = self.leader.take() else {
            return false;
        };
        let config = self.shared.config();
        let mut next = (*leader.plan).clone();
        let Some(steps) = self.apply_news(&mut next, &config) else {
            // An engine knows a newer term: the plan is read again before anything else is decided.
            self.set_plan(None);
            return false;
        };
        let mut changes = Changes {
            steps,
            ..Changes::default()
        };
        self.decide(&mut next, &mut leader, &config, &mut changes).await;
        let before = Arc::clone(&leader.plan);
        if next != *before || leader.publisher.needs_write(&before, &config) {
            match self.write(&mut leader, next).await {
                Ok(()) => self.note_changes(&leader, &before, &changes),
                Err(error) => {
                    self.note_store_error(&error);
                    // Without any effect of the write the term goes on; otherwise the plan is read again.
                    if matches!(error, PlanStoreError::NotWritten(_)) {
                        self.leader = Some(leader);
                    } else {
                        self.set_plan(None);
                    }
                    return false;
                }
            }
        }
        self.after_write(&mut leader, &config);
        self.renew_permits(&mut leader);
        self.leader = Some(leader);
        true
    }

    async fn write(&mut self, leader: &mut Leader, mut next: Plan) -> Result<(), PlanStoreError> {
        let operation = self.next_operation(leader.term);
        next.stamp(operation.clone());
        self.tried = Some(next.clone());
        let (shared, pool, term) = (Arc::clone(&self.shared), Arc::clone(&self.pool), leader.term);
        let may_act = move || shared.held(&pool.lease) == Some(term);
        let confirmed = leader.store.write(&next, &operation, &may_act).await?;
        leader.plan = Arc::new(next);
        self.set_plan(Some(Arc::clone(&leader.plan)));
        self.note_written(confirmed);
        Ok(())
    }

    fn after_write(&self, leader: &mut Leader, config: &Arc<Snapshot>) {
        let now = self.shared.now();
        self.pool.ledger().lock().observe(&leader.plan, now);
        let state = (leader.plan.sequence, Arc::clone(config));
        let is_published = leader
            .published
            .as_ref()
            .is_some_and(|(sequence, known)| *sequence == state.0 && Arc::ptr_eq(known, &state.1));
        if !is_published {
            let gossip = self.shared.node.gossip.as_ref();
            leader.publisher.publish(&leader.plan, config, gossip);
            let is_leaving = |it: &&ServerName| leader.plan.servers[*it].state != ServerState::Live;
            let leaving: BTreeSet<ServerName> = leader.plan.servers.keys().filter(is_leaving).cloned().collect();
            Publisher::publish_leaving(&leader.plan, &leaving, gossip);
            leader.published = Some(state);
            self.pool.changes.send_modify(|it| *it += 1);
        }
        send::send_due(&self.shared, &self.pool, &leader.plan, &self.outcomes_tx);
        self.account_idle(leader, now);
    }

    /// Applies configuration, reports, the VM list and answers to orders. `None` when an engine knows a newer term.
    fn apply_news(&mut self, plan: &mut Plan, config: &Snapshot) -> Option<Vec<Step>> {
        let now = self.shared.now();
        let vms = Arc::clone(&self.shared.vms.read());
        plan.configure(&self.specs(plan, config, &vms));
        let mut steps = Vec::new();
        while let Ok(outcome) = self.outcomes.try_recv() {
            match outcome {
                Outcome::LoadRefused(id) => steps.extend(plan.load_refused(&id).unwrap_or_default()),
                Outcome::Fenced => return None,
            }
        }
        steps.extend(self.apply_reports(plan));
        steps.extend(self.apply_vms(plan, config, &vms, now));
        for (term, ids) in &*self.pool.unsent.lock() {
            let ids: Vec<ReplicaId> = ids.iter().cloned().collect();
            steps.extend(plan.not_sent(*term, &ids));
        }
        steps.extend(self.give_up_loads(plan, now));
        Some(steps)
    }

    fn specs(&self, plan: &Plan, config: &Snapshot, vms: &[VmInfo]) -> BTreeMap<ServerName, ServerSpec> {
        let engines = self.pool.engines.lock();
        let of_pool = config
            .servers
            .values()
            .filter(|it| it.pool == plan.pool && it.memory_bytes > 0);
        of_pool
            .map(|it| {
                let view = engines.get(&it.name).map(|it| &it.view);
                let is_listed_leaving = matching(it, vms).any(|vm| vm.state == VmState::Leaving);
                let has_notice = publish::has_peer_notice(&it.name, self.shared.node.gossip.as_ref());
                let known = plan.servers.get(&it.name).map(|it| it.memory_bytes);
                let reported = view.map(|it| it.memory_bytes).or(known).unwrap_or(it.memory_bytes);
                let spec = ServerSpec {
                    memory_bytes: it.memory_bytes.min(reported),
                    checks_fence: it.checks_fence,
                    forgets_orders: it.forgets_orders,
                    leaving: it.draining || is_listed_leaving || has_notice || view.is_some_and(|it| it.leaving),
                };
                (it.name.clone(), spec)
            })
            .collect()
    }

    fn apply_reports(&self, plan: &mut Plan) -> Vec<Step> {
        let ledger = self.pool.ledger();
        let ledger = ledger.lock();
        let mut engines = self.pool.engines.lock();
        let mut steps = Vec::new();
        for (name, state) in engines.iter_mut().filter(|(_, it)| it.is_new) {
            let proof = Proof {
                fenced: ledger.fence_confirmed(name, &state.view.instance, state.requested),
                cancelled: &|id| ledger.cancel_confirmed(id, state.requested),
            };
            steps.extend(plan.reconcile(name, &state.view, proof));
            state.is_new = false;
        }
        steps
    }

    fn apply_vms(&self, plan: &mut Plan, config: &Snapshot, vms: &[VmInfo], now: Millis) -> Vec<Step> {
        let ended = |it: &VmInfo| it.state == VmState::Ended;
        for vm in vms.iter().filter(|it| ended(it)) {
            plan.holder_vm_ended(vm.name.as_str(), &vm.instance);
        }
        let engines = self.pool.engines.lock();
        let is_silent = |name: &ServerName| engines.get(name).is_none_or(|it| now.since(it.requested) >= SILENCE_MS);
        let gone: Vec<ServerName> = plan
            .servers
            .iter()
            .filter(|(_, it)| it.state != ServerState::Gone && it.instance.is_some())
            .filter_map(|(name, _)| config.servers.get(name))
            .filter(|it| matching(it, vms).next().is_some() && matching(it, vms).all(ended))
            .filter(|it| is_silent(&it.name))
            .map(|it| it.name.clone())
            .collect();
        drop(engines);
        for name in &gone {
            let detail = format!("backend server {name}");
            self.shared
                .node
                .timeline
                .record(Event::ServerEnded, None, None, &detail);
        }
        gone.iter().flat_map(|name| plan.server_ended(name)).collect()
    }

    /// Cancels loads of which nothing has been seen for too long.
    fn give_up_loads(&self, plan: &mut Plan, now: Millis) -> Vec<Step> {
        let ledger = self.pool.ledger();
        let ledger: MutexGuard<'_, Ledger> = ledger.lock();
        let overdue: Vec<ReplicaId> = plan
            .replicas
            .iter()
            .filter(|(id, it)| {
                it.state == ReplicaState::Loading && !it.seen && ledger.time_in_state(id, now) >= LOAD_TIMEOUT_MS
            })
            .map(|(id, _)| id.clone())
            .collect();
        overdue.iter().filter_map(|id| plan.evict(id).ok()).collect()
    }

    /// Asks the loading policy and applies its decisions, as far as permits are granted.
    async fn decide(&self, plan: &mut Plan, leader: &mut Leader, config: &Snapshot, changes: &mut Changes) {
        let now = self.shared.now();
        let engines = self.pool.recent_views(now);
        let input = Input {
            plan,
            config,
            engines: &engines,
        };
        let decisions = self.pool.scheduler.lock().decide(now, &input);
        let mut denied = BTreeSet::new();
        for decision in decisions {
            match decision {
                Decision::Evict { replica } => changes.steps.extend(plan.evict(&replica)),
                Decision::Load { want, permit } => {
                    if permit.is_some_and(|kind| denied.contains(&kind)) || !plan.accepts(&want.server) {
                        continue;
                    }
                    let id = plan.next_id();
                    if let Some(kind) = permit
                        && !self.permit(&id, kind, false).await
                    {
                        denied.insert(kind);
                        continue;
                    }
                    let view = engines.get(&want.server);
                    let tier = view.map_or(CacheTier::Remote, |it| it.tier(want.name(), want.version));
                    match plan.reserve(want) {
                        Ok(id) => {
                            let load = Load {
                                decided: now,
                                tier,
                                permit,
                                renewed: now,
                            };
                            leader.loads.insert(id.clone(), load);
                            changes.loads.push(id);
                        }
                        Err(error) => log::warn!("reservation in pool {}: {error}", self.pool.name),
                    }
                }
            }
        }
    }

    async fn permit(&self, id: &ReplicaId, kind: PermitKind, renew: bool) -> bool {
        let req = PermitRequest {
            replica: id.clone(),
            kind,
            renew,
            release: false,
        };
        let config = self.shared.config();
        let reply = self.shared.permits.request(&self.shared.node, &config, &req).await;
        reply.granted
    }

    /// Prolongs permits of loads in progress, those of the previous holder included, and gives back the others.
    fn renew_permits(&self, leader: &mut Leader) {
        let now = self.shared.now();
        for (id, replica) in &leader.plan.replicas {
            if replica.state == ReplicaState::Loading {
                let permit = if replica.adapter.is_some() {
                    PermitKind::Adapter
                } else {
                    PermitKind::Model
                };
                leader.loads.entry(id.clone()).or_insert(Load {
                    decided: now,
                    tier: CacheTier::Remote,
                    permit: Some(permit),
                    renewed: Millis(0),
                });
            }
        }
        let plan = Arc::clone(&leader.plan);
        let is_loading = |id: &ReplicaId| {
            plan.replicas
                .get(id)
                .is_some_and(|it| it.state == ReplicaState::Loading)
        };
        for (id, load) in &mut leader.loads {
            let Some(kind) = load.permit else {
                continue;
            };
            let release = !is_loading(id);
            if release || now.since(load.renewed) >= PERMIT_RENEW_MS {
                load.renewed = now;
                let req = PermitRequest {
                    replica: id.clone(),
                    kind,
                    renew: true,
                    release,
                };
                let shared = Arc::clone(&self.shared);
                tokio::spawn(async move {
                    let config = shared.config();
                    shared.permits.request(&shared.node, &config, &req).await
                });
            }
        }
        leader.loads.retain(|id, _| is_loading(id));
    }

    /// Records what the written plan changed.
    fn note_changes(&self, leader: &Leader, before: &Plan, changes: &Changes) {
        let now = self.shared.now();
        let timeline = &self.shared.node.timeline;
        for (name, server) in &leader.plan.servers {
            let was = before.servers.get(name).map(|it| it.state);
            if server.state == ServerState::Leaving && was != Some(ServerState::Leaving) {
                let detail = format!("backend server {name}");
                timeline.record(Event::ServerLeaving, None, None, &detail);
            }
        }
        for id in &changes.loads {
            if let (Some(replica), Some(load)) = (leader.plan.replicas.get(id), leader.loads.get(id)) {
                let detail = format!(
                    "replica {id} on {}, {} bytes, {:?}",
                    replica.server, replica.bytes, load.tier
                );
                timeline.record(Event::ReplicaDecided, None, Some(replica.name()), &detail);
            }
        }
        for step in &changes.steps {
            let event = match step.to {
                ReplicaState::Ready => Event::ReplicaReady,
                ReplicaState::Unloading => Event::UnloadDecided,
                ReplicaState::Released => Event::ReplicaReleased,
                ReplicaState::Loading => continue,
            };
            if let Some(load) = leader
                .loads
                .get(&step.replica)
                .filter(|_| step.to == ReplicaState::Ready)
            {
                let ms = now.since(load.decided);
                self.shared.metrics.loaded(&self.pool.name, load.tier, ms);
            }
            let detail = format!("replica {}", step.replica);
            timeline.record(event, None, Some(&step.name), &detail);
        }
    }

    /// Adds up memory and time without requests since the last round.
    fn account_idle(&self, leader: &mut Leader, now: Millis) {
        let seconds = now.since(leader.accounted) as f64 / 1_000.0;
        leader.accounted = now;
        let engines = self.pool.engines.lock();
        let mut idle_bytes = 0;
        // An empty server counts too: committed capacity is paid for whether anything is loaded or not.
        for (name, server) in leader.plan.servers.iter().filter(|(_, it)| it.memory_bytes > 0) {
            let Some(state) = engines.get(name) else {
                continue;
            };
            let running = |id: &ReplicaId| state.view.replica(id).map_or(0, |it| it.running);
            let replicas = || leader.plan.on_server(name);
            idle_bytes += replicas()
                .filter(|(id, it)| it.state == ReplicaState::Ready && running(id) == 0)
                .map(|(_, it)| it.bytes)
                .sum::<u64>();
            if replicas().all(|(id, _)| running(id) == 0) {
                let loaded = server.reserved_bytes > 0;
                self.shared.metrics.idle_server(&self.pool.name, name, loaded, seconds);
            }
        }
        self.shared
            .metrics
            .idle_memory(&self.pool.name, idle_bytes as f64 * seconds);
    }
}

/// Entries of the VM list that belong to a backend server, by name or by address.
fn matching<'a>(server: &'a BackendServer, vms: &'a [VmInfo]) -> impl Iterator<Item = &'a VmInfo> {
    vms.iter()
        .filter(|it| it.name.as_str() == server.name.as_str() || it.addr == server.addr)
}
