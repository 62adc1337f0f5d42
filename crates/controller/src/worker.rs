//! Runs the scheduling rounds of one pool while this process holds the pool's lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::BackendServer;
use guava_core::events::Event;
use guava_core::ids::{OperationId, ReplicaId, ServerName, Term};
use guava_core::orders::{LOAD_TIMEOUT_MS, OrderLedger};
use guava_core::permits::{PERMIT_RENEW_MS, PermitKind, PermitRequest};
use guava_core::placement::ReplicaState;
use guava_core::plan::{CacheTier, Holder, Plan, Proof, ServerSpec, ServerState, Step};
use guava_core::scheduler::{Decision, Input};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use guava_objects::{VmInfo, VmState};
use parking_lot::MutexGuard;
use tokio::sync::mpsc;

use crate::plan_store::{Confirmation, PlanStore, PlanStoreError};
use crate::publish::{self, Publisher};
use crate::release;
use crate::send::{self, OrderOutcome};
use crate::shared::{PoolState, Shared};

/// Interval between checks of the lease while this process does not hold it.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum pause between two rounds, however often the worker is woken.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(10);
/// Delay before the next attempt after the plan could not be read or written.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time without a report, in milliseconds, after which a server whose VM is listed as ended is marked as ended.
const NO_REPORT_MS: u64 = 5_000;

/// State of one term in which this process holds the lease and has taken over the plan.
#[derive(Debug)]
struct Leadership {
    term: Term,
    store: PlanStore,
    /// Last confirmed plan.
    plan: Arc<Plan>,
    publisher: Publisher,
    /// Plan sequence number and configuration that were published last.
    published: Option<(u64, Arc<Snapshot>)>,
    /// Loads in progress, those started by previous holders included.
    loads: BTreeMap<ReplicaId, LoadInProgress>,
    /// Time up to which idle memory and idle servers have been added to the metrics.
    idle_recorded_until: Millis,
}

#[derive(Debug, Clone, Copy)]
struct LoadInProgress {
    decided_at: Millis,
    tier: CacheTier,
    /// Permit that the load needs, if any.
    permit: Option<PermitKind>,
    permit_renewed_at: Millis,
}

/// Changes that one round made to the plan.
#[derive(Debug, Default)]
struct RoundChanges {
    /// State changes of replicas.
    steps: Vec<Step>,
    /// Replicas for which memory was reserved.
    new_loads: Vec<ReplicaId>,
}

/// Task that manages one pool: it takes over the plan when the lease is acquired and then runs scheduling rounds.
#[derive(Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    pool: Arc<PoolState>,
    leadership: Option<Leadership>,
    /// Term of the orders in the pool's current ledger; zero before the first take-over.
    ledger_term: Term,
    /// Plan of the last write attempt of a round, confirmed or not.
    last_attempted_plan: Option<Plan>,
    /// Number of operation ids created by this worker.
    operation_count: u64,
    outcomes_tx: mpsc::UnboundedSender<OrderOutcome>,
    outcomes: mpsc::UnboundedReceiver<OrderOutcome>,
    announcer: release::Announcer,
}

impl Worker {
    /// Creates a worker for `pool`. It does nothing until [`Worker::run`] is called.
    pub fn new(shared: Arc<Shared>, pool: Arc<PoolState>) -> Self {
        let (outcomes_tx, outcomes) = mpsc::unbounded_channel();
        Self {
            announcer: release::Announcer::new(Arc::clone(&shared), pool.name.clone()),
            shared,
            pool,
            leadership: None,
            ledger_term: Term(0),
            last_attempted_plan: None,
            operation_count: 0,
            outcomes_tx,
            outcomes,
        }
    }

    /// Runs until the controller stops. A plan write in progress is finished first.
    pub async fn run(mut self) {
        let mut stop = self.shared.stop.subscribe();
        while !self.shared.is_stopping() {
            let delay = self.tick().await;
            tokio::time::sleep(MIN_ROUND_PAUSE).await;
            tokio::select! {
                () = self.pool.wake.notified() => {}
                () = tokio::time::sleep(delay) => {}
                _ = stop.changed() => {}
            }
        }
        self.close_ledger();
        self.announcer.announce_now().await;
        self.set_plan(None);
        self.shared.metrics.set_lease_held(&self.pool.name, false);
    }

    /// Checks the lease and, while it is held, runs one round. Returns the delay until the next tick.
    async fn tick(&mut self) -> Duration {
        let held_term = self.shared.held_term(&self.pool.lease);
        self.shared.metrics.set_lease_held(&self.pool.name, held_term.is_some());
        let Some(term) = held_term else {
            self.step_down_if_superseded();
            self.announcer.announce_due().await;
            return LEASE_CHECK_INTERVAL;
        };
        if self.leadership.as_ref().is_none_or(|it| it.term != term) && !self.take_over(term).await {
            return STORE_RETRY_DELAY;
        }
        let completed = self.run_round().await;
        self.announcer.announce_due().await;
        if completed {
            Duration::from_millis(self.shared.args.round_ms)
        } else {
            STORE_RETRY_DELAY
        }
    }

    /// Ends the term once another process is known to hold the lease. A lease that has only expired may still be
    /// renewed in the same term, so the state is kept while no other holder is known.
    fn step_down_if_superseded(&mut self) {
        let holder = self.shared.node.leases.holder(&self.pool.lease);
        if self.leadership.is_some() && holder.is_some_and(|it| it != *self.shared.own_id()) {
            self.step_down();
        }
    }

    fn step_down(&mut self) {
        self.close_ledger();
        self.leadership = None;
        self.set_plan(None);
    }

    /// Stops the sending of orders in the ledger's term. Announces load orders that were never sent, so that the next
    /// holder can release their reservations.
    fn close_ledger(&mut self) {
        let ledger = self.pool.ledger();
        ledger.lock().close();
        let Some(last_plan) = self.last_attempted_plan.take() else {
            return;
        };
        let unsent = ledger.lock().never_sent(&last_plan, self.ledger_term);
        if !unsent.is_empty() {
            self.pool.add_unsent(self.ledger_term, unsent.iter().cloned());
            self.announcer.add(self.ledger_term, unsent, self.shared.now());
        }
    }

    fn set_plan(&self, plan: Option<Arc<Plan>>) {
        *self.pool.plan.write() = plan;
    }

    fn next_operation(&mut self, term: Term) -> OperationId {
        self.operation_count += 1;
        let member = self.shared.node.members.me();
        OperationId::new(format!(
            "{}/{}/{}/{}",
            member.id, member.incarnation.0, term.0, self.operation_count
        ))
    }

    /// Takes over the plan: reads it and writes it with the new term, before any decision is made. Returns false when
    /// that failed.
    async fn take_over(&mut self, term: Term) -> bool {
        if self.ledger_term != term {
            self.step_down();
        }
        match self.try_take_over(term).await {
            Ok(leadership) => {
                if self.ledger_term != term {
                    *self.pool.ledger.write() = Arc::default();
                    self.ledger_term = term;
                }
                self.pool.engines.lock().clear();
                while self.outcomes.try_recv().is_ok() {}
                self.set_plan(Some(Arc::clone(&leadership.plan)));
                let detail = format!("pool {} term {}", self.pool.name, term.0);
                self.shared
                    .node
                    .timeline
                    .record(Event::PlanTakenOver, None, None, &detail);
                self.leadership = Some(leadership);
                true
            }
            Err(error) => {
                self.record_store_error(&error);
                false
            }
        }
    }

    async fn try_take_over(&mut self, term: Term) -> Result<Leadership, PlanStoreError> {
        let node = self.shared.node.clone();
        let member = node.members.me().clone();
        // Later holders need the VM's instance to recognise in the VM list that this holder has ended.
        let vms = node.vms.vms().await.unwrap_or_default();
        let vm_instance = vms
            .iter()
            .find(|it| it.name == member.id.vm && it.state != VmState::Ended)
            .map(|it| it.instance.clone());
        let mut store = PlanStore::new(Arc::clone(&node.store), self.pool.name.clone());
        let stored = store.load().await?;
        let published_names = publish::published_names(&self.pool.name, node.gossip.as_ref());
        let mut plan = stored.unwrap_or_else(|| Plan::new(self.pool.name.clone()));
        // If the stored plan was lost, the new plan's sequence number must not be lower than that of placements already
        // published in this term, because gossip discards entries with an older version.
        let newest = published_names
            .iter()
            .map(|(_, it)| it)
            .filter(|it| it.term >= term)
            .max();
        plan.sequence = plan.sequence.max(newest.map_or(0, |it| it.sequence));
        let holder = Holder {
            term,
            member: member.id,
            incarnation: member.incarnation,
            vm_instance,
            ended: false,
        };
        plan.take_over(holder).map_err(|_superseded| PlanStoreError::Conflict)?;
        let operation = self.next_operation(term);
        plan.stamp(operation.clone());
        let (shared, pool) = (Arc::clone(&self.shared), Arc::clone(&self.pool));
        let holds_lease = move || shared.held_term(&pool.lease) == Some(term);
        let confirmation = store.write(&plan, &operation, &holds_lease).await?;
        self.record_confirmed_write(confirmation);
        let publisher = Publisher::for_term(&plan, node.gossip.as_ref());
        Ok(Leadership {
            term,
            store,
            plan: Arc::new(plan),
            publisher,
            published: None,
            loads: BTreeMap::new(),
            idle_recorded_until: self.shared.now(),
        })
    }

    fn record_confirmed_write(&self, confirmation: Confirmation) {
        self.shared.metrics.count_write(&self.pool.name);
        if confirmation == Confirmation::ReadBack {
            let detail = format!("plan of pool {}", self.pool.name);
            self.shared
                .node
                .timeline
                .record(Event::WriteRecovered, None, None, &detail);
        }
    }

    fn record_store_error(&self, error: &PlanStoreError) {
        if matches!(error, PlanStoreError::Conflict) {
            self.shared.metrics.count_conflict(&self.pool.name);
            let detail = format!("pool {}", self.pool.name);
            self.shared
                .node
                .timeline
                .record(Event::PlanConflict, None, None, &detail);
        } else {
            log::warn!("plan of pool {}: {error}", self.pool.name);
        }
    }

    /// Applies updates to a copy of the plan, makes decisions and writes the plan. Only then publishes placements and
    /// sends orders. Returns false when the plan was not written or must be read again.
    async fn run_round(&mut self) -> bool {
        let Some(mut leadership) = self.leadership.take() else {
            return false;
        };
        let config = self.shared.config();
        let mut next = (*leadership.plan).clone();
        let Some(steps) = self.apply_updates(&mut next, &config) else {
            // An engine has seen a newer term, so the plan is read again before any further decision.
            self.set_plan(None);
            return false;
        };
        let mut changes = RoundChanges {
            steps,
            ..RoundChanges::default()
        };
        self.decide(&mut next, &mut leadership, &config, &mut changes).await;
        let before = Arc::clone(&leadership.plan);
        if next != *before || leadership.publisher.needs_write(&before, &config) {
            match self.write(&mut leadership, next).await {
                Ok(()) => self.record_changes(&leadership, &before, &changes),
                Err(error) => {
                    self.record_store_error(&error);
                    // If the write had no effect, the term continues with the old plan. Otherwise the plan is read
                    // again.
                    if matches!(error, PlanStoreError::NotWritten(_)) {
                        self.leadership = Some(leadership);
                    } else {
                        self.set_plan(None);
                    }
                    return false;
                }
            }
        }
        self.publish_and_send(&mut leadership, &config);
        self.renew_permits(&mut leadership);
        self.leadership = Some(leadership);
        true
    }

    async fn write(&mut self, leadership: &mut Leadership, mut next: Plan) -> Result<(), PlanStoreError> {
        let operation = self.next_operation(leadership.term);
        next.stamp(operation.clone());
        self.last_attempted_plan = Some(next.clone());
        let (shared, pool, term) = (Arc::clone(&self.shared), Arc::clone(&self.pool), leadership.term);
        let holds_lease = move || shared.held_term(&pool.lease) == Some(term);
        let confirmation = leadership.store.write(&next, &operation, &holds_lease).await?;
        leadership.plan = Arc::new(next);
        self.set_plan(Some(Arc::clone(&leadership.plan)));
        self.record_confirmed_write(confirmation);
        Ok(())
    }

    /// Publishes placements and leaving notices of the confirmed plan if it or the configuration has changed, then
    /// sends the orders that are due.
    fn publish_and_send(&self, leadership: &mut Leadership, config: &Arc<Snapshot>) {
        let now = self.shared.now();
        self.pool.ledger().lock().observe(&leadership.plan, now);
        let publication = (leadership.plan.sequence, Arc::clone(config));
        let is_published = leadership
            .published
            .as_ref()
            .is_some_and(|(sequence, published_config)| {
                *sequence == publication.0 && Arc::ptr_eq(published_config, &publication.1)
            });
        if !is_published {
            let gossip = self.shared.node.gossip.as_ref();
            leadership.publisher.publish(&leadership.plan, config, gossip);
            let is_leaving = |it: &&ServerName| leadership.plan.servers[*it].state != ServerState::Live;
            let leaving: BTreeSet<ServerName> = leadership.plan.servers.keys().filter(is_leaving).cloned().collect();
            Publisher::publish_leaving_notices(&leadership.plan, &leaving, gossip);
            leadership.published = Some(publication);
            self.pool.publications.send_modify(|it| *it += 1);
        }
        send::send_due_orders(&self.shared, &self.pool, &leadership.plan, &self.outcomes_tx);
        self.record_idle(leadership, now);
    }

    /// Applies configuration, answers to orders, engine reports, the VM list and unsent load orders to the plan. `None`
    /// when an engine has seen a newer term.
    fn apply_updates(&mut self, plan: &mut Plan, config: &Snapshot) -> Option<Vec<Step>> {
        let now = self.shared.now();
        let vms = Arc::clone(&self.shared.vms.read());
        plan.configure(&self.server_specs(plan, config, &vms));
        let mut steps = Vec::new();
        while let Ok(outcome) = self.outcomes.try_recv() {
            match outcome {
                OrderOutcome::LoadRefused(id) => steps.extend(plan.load_refused(&id).unwrap_or_default()),
                OrderOutcome::Fenced => return None,
            }
        }
        steps.extend(self.apply_reports(plan));
        steps.extend(self.apply_vm_list(plan, config, &vms, now));
        for (term, ids) in &*self.pool.unsent.lock() {
            let ids: Vec<ReplicaId> = ids.iter().cloned().collect();
            steps.extend(plan.not_sent(*term, &ids));
        }
        steps.extend(self.cancel_overdue_loads(plan, now));
        Some(steps)
    }

    fn server_specs(&self, plan: &Plan, config: &Snapshot, vms: &[VmInfo]) -> BTreeMap<ServerName, ServerSpec> {
        let engines = self.pool.engines.lock();
        let servers = config
            .servers
            .values()
            .filter(|it| it.pool == plan.pool && it.memory_bytes > 0);
        servers
            .map(|it| {
                let view = engines.get(&it.name).map(|it| &it.view);
                let is_listed_leaving = vms_of_server(it, vms).any(|vm| vm.state == VmState::Leaving);
                let has_notice = publish::has_peer_notice(&it.name, self.shared.node.gossip.as_ref());
                let planned = plan.servers.get(&it.name).map(|it| it.memory_bytes);
                let reported = view.map(|it| it.memory_bytes).or(planned).unwrap_or(it.memory_bytes);
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
        for (name, report) in engines.iter_mut().filter(|(_, it)| it.is_unprocessed) {
            let proof = Proof {
                fenced: ledger.fence_confirmed(name, &report.view.instance, report.requested_at),
                cancelled: &|id| ledger.cancel_confirmed(id, report.requested_at),
            };
            steps.extend(plan.reconcile(name, &report.view, proof));
            report.is_unprocessed = false;
        }
        steps
    }

    fn apply_vm_list(&self, plan: &mut Plan, config: &Snapshot, vms: &[VmInfo], now: Millis) -> Vec<Step> {
        let has_ended = |it: &VmInfo| it.state == VmState::Ended;
        for vm in vms.iter().filter(|it| has_ended(it)) {
            plan.holder_vm_ended(vm.name.as_str(), &vm.instance);
        }
        let engines = self.pool.engines.lock();
        let has_no_recent_report = |name: &ServerName| {
            engines
                .get(name)
                .is_none_or(|it| now.since(it.requested_at) >= NO_REPORT_MS)
        };
        let ended_servers: Vec<ServerName> = plan
            .servers
            .iter()
            .filter(|(_, it)| it.state != ServerState::Gone && it.instance.is_some())
            .filter_map(|(name, _)| config.servers.get(name))
            .filter(|it| vms_of_server(it, vms).next().is_some() && vms_of_server(it, vms).all(has_ended))
            .filter(|it| has_no_recent_report(&it.name))
            .map(|it| it.name.clone())
            .collect();
        drop(engines);
        for name in &ended_servers {
            let detail = format!("backend server {name}");
            self.shared
                .node
                .timeline
                .record(Event::ServerEnded, None, None, &detail);
        }
        ended_servers.iter().flat_map(|name| plan.server_ended(name)).collect()
    }

    /// Cancels loads whose replica no report has shown within `LOAD_TIMEOUT_MS`.
    fn cancel_overdue_loads(&self, plan: &mut Plan, now: Millis) -> Vec<Step> {
        let ledger = self.pool.ledger();
        let ledger: MutexGuard<'_, OrderLedger> = ledger.lock();
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

    /// Applies the loading policy's decisions to the plan. Skips loads whose permit is denied, and after a denial all
    /// further loads of the same permit kind in this round.
    async fn decide(
        &self,
        plan: &mut Plan,
        leadership: &mut Leadership,
        config: &Snapshot,
        changes: &mut RoundChanges,
    ) {
        let now = self.shared.now();
        let engines = self.pool.recent_views(now);
        let input = Input {
            plan,
            config,
            engines: &engines,
        };
        let decisions = self.pool.scheduler.lock().decide(now, &input);
        let mut denied_kinds = BTreeSet::new();
        for decision in decisions {
            match decision {
                Decision::Evict { replica } => changes.steps.extend(plan.evict(&replica)),
                Decision::Load { want, permit } => {
                    if permit.is_some_and(|kind| denied_kinds.contains(&kind)) || !plan.accepts(&want.server) {
                        continue;
                    }
                    let id = plan.next_id();
                    if let Some(kind) = permit
                        && !self.request_permit(&id, kind, false).await
                    {
                        denied_kinds.insert(kind);
                        continue;
                    }
                    let view = engines.get(&want.server);
                    let tier = view.map_or(CacheTier::Remote, |it| it.tier(want.name(), want.version));
                    match plan.reserve(want) {
                        Ok(id) => {
                            let load = LoadInProgress {
                                decided_at: now,
                                tier,
                                permit,
                                permit_renewed_at: now,
                            };
                            leadership.loads.insert(id.clone(), load);
                            changes.new_loads.push(id);
                        }
                        Err(error) => log::warn!("memory reservation in pool {} failed: {error}", self.pool.name),
                    }
                }
            }
        }
    }

    async fn request_permit(&self, id: &ReplicaId, kind: PermitKind, renew: bool) -> bool {
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

    /// Renews the permits of loads in progress, those started by the previous holder included, and releases the permits
    /// of ended loads.
    fn renew_permits(&self, leadership: &mut Leadership) {
        let now = self.shared.now();
        for (id, replica) in &leadership.plan.replicas {
            if replica.state == ReplicaState::Loading {
                // The plan does not tell how a load was started. A load that is not in `loads` yet is therefore taken
                // to be a remote one with a permit, which time 0 makes due for renewal.
                let permit = if replica.adapter.is_some() {
                    PermitKind::Adapter
                } else {
                    PermitKind::Model
                };
                leadership.loads.entry(id.clone()).or_insert(LoadInProgress {
                    decided_at: now,
                    tier: CacheTier::Remote,
                    permit: Some(permit),
                    permit_renewed_at: Millis(0),
                });
            }
        }
        let plan = Arc::clone(&leadership.plan);
        let is_loading = |id: &ReplicaId| {
            plan.replicas
                .get(id)
                .is_some_and(|it| it.state == ReplicaState::Loading)
        };
        for (id, load) in &mut leadership.loads {
            let Some(kind) = load.permit else {
                continue;
            };
            let release = !is_loading(id);
            if release || now.since(load.permit_renewed_at) >= PERMIT_RENEW_MS {
                load.permit_renewed_at = now;
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
        leadership.loads.retain(|id, _| is_loading(id));
    }

    /// Records the changes of the written plan as events and metrics.
    fn record_changes(&self, leadership: &Leadership, before: &Plan, changes: &RoundChanges) {
        let now = self.shared.now();
        let timeline = &self.shared.node.timeline;
        for (name, server) in &leadership.plan.servers {
            let previous_state = before.servers.get(name).map(|it| it.state);
            if server.state == ServerState::Leaving && previous_state != Some(ServerState::Leaving) {
                let detail = format!("backend server {name}");
                timeline.record(Event::ServerLeaving, None, None, &detail);
            }
        }
        for id in &changes.new_loads {
            if let (Some(replica), Some(load)) = (leadership.plan.replicas.get(id), leadership.loads.get(id)) {
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
            if let Some(load) = leadership
                .loads
                .get(&step.replica)
                .filter(|_| step.to == ReplicaState::Ready)
            {
                let ms = now.since(load.decided_at);
                self.shared.metrics.record_load(&self.pool.name, load.tier, ms);
            }
            let detail = format!("replica {}", step.replica);
            timeline.record(event, None, Some(&step.name), &detail);
        }
    }

    /// Adds the idle memory and idle server time since the last call to the metrics.
    fn record_idle(&self, leadership: &mut Leadership, now: Millis) {
        let seconds = now.since(leadership.idle_recorded_until) as f64 / 1_000.0;
        leadership.idle_recorded_until = now;
        let engines = self.pool.engines.lock();
        let mut idle_bytes = 0;
        // Servers without a replica are included, because capacity is paid for whether or not anything is loaded.
        for (name, server) in leadership.plan.servers.iter().filter(|(_, it)| it.memory_bytes > 0) {
            let Some(report) = engines.get(name) else {
                continue;
            };
            let running_requests = |id: &ReplicaId| report.view.replica(id).map_or(0, |it| it.running);
            let replicas = || leadership.plan.on_server(name);
            idle_bytes += replicas()
                .filter(|(id, it)| it.state == ReplicaState::Ready && running_requests(id) == 0)
                .map(|(_, it)| it.bytes)
                .sum::<u64>();
            if replicas().all(|(id, _)| running_requests(id) == 0) {
                let is_loaded = server.reserved_bytes > 0;
                self.shared
                    .metrics
                    .add_idle_server_time(&self.pool.name, name, is_loaded, seconds);
            }
        }
        self.shared
            .metrics
            .add_idle_memory(&self.pool.name, idle_bytes as f64 * seconds);
    }
}

/// Entries of the VM list that have the name or the address of a backend server.
fn vms_of_server<'a>(server: &'a BackendServer, vms: &'a [VmInfo]) -> impl Iterator<Item = &'a VmInfo> {
    vms.iter()
        .filter(|it| it.name.as_str() == server.name.as_str() || it.addr == server.addr)
}
