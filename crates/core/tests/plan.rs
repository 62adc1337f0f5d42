//! Plan and order ledger, in a randomised simulation and in single scenarios.
//!
//! In the simulation two controllers compete, engines differ in whether they check fencing tokens and forget replica
//! ids, and orders are delayed, duplicated or lost. After each operation the simulated engines' memory is checked
//! against the stored plan. A naive controller runs the same histories for comparison.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{Incarnation, MemberId, ModelName, OperationId, PoolName, ReplicaId, Role, ServerName, Term};
use guava_core::orders::{Answer, OrderDue, OrderKind, OrderLedger, REPORT_LAG_LIMIT_MS};
use guava_core::placement::ReplicaState;
use guava_core::plan::{EngineView, Holder, Plan, PlanError, Presence, Proof, ReplicaView, Reservation, ServerSpec};
use guava_core::units::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const CAPACITY: u64 = 100;
const MODELS: [(&str, u64); 4] = [("a", 60), ("b", 50), ("c", 40), ("d", 30)];
/// Engines by (checks fencing tokens, forgets cancelled ids).
const ENGINES: [(bool, bool); 4] = [(true, false), (false, false), (false, true), (true, true)];

#[derive(Debug, Clone)]
enum Op {
    TakeOver(usize),
    Decide {
        by: usize,
        model: usize,
        server: usize,
        lost: bool,
    },
    Evict {
        by: usize,
        choice: usize,
    },
    CollectDue(usize),
    Send {
        by: usize,
        choice: usize,
    },
    Deliver {
        choice: usize,
        lost: bool,
        duplicate: bool,
    },
    TimeOut(usize),
    Report {
        by: usize,
        server: usize,
        lag: usize,
    },
    /// Completes a load or unload on an engine, or fails the load.
    Finish {
        server: usize,
        choice: usize,
        fail: bool,
    },
    Restart(usize),
    VmEnd(usize),
    /// Gives both controllers all confirmations of load orders that were never sent.
    Confirm,
    Tick(u64),
    /// Progress without faults: fetches all reports, sends the due orders and delivers them with their answers.
    Progress {
        by: usize,
        lag: usize,
    },
}

/// Value of `by` that means the present holder of the lease.
const HOLDER: usize = 2;

fn op() -> impl Strategy<Value = Op> {
    let by = prop_oneof![1 => 0..2_usize, 2 => Just(HOLDER)];
    let server = 0..ENGINES.len();
    let choice = 0..16_usize;
    prop_oneof![
        2 => (0..2_usize).prop_map(Op::TakeOver),
        8 => (by.clone(), 0..4_usize).prop_map(|(by, lag)| Op::Progress { by, lag }),
        6 => (by.clone(), 0..MODELS.len(), server.clone(), prop::bool::weighted(0.2))
            .prop_map(|(by, model, server, lost)| Op::Decide { by, model, server, lost }),
        4 => (by.clone(), choice.clone()).prop_map(|(by, choice)| Op::Evict { by, choice }),
        8 => by.clone().prop_map(Op::CollectDue),
        8 => (by.clone(), choice.clone()).prop_map(|(by, choice)| Op::Send { by, choice }),
        8 => (choice.clone(), any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(choice, lost, duplicate)| Op::Deliver { choice, lost, duplicate }),
        4 => choice.clone().prop_map(Op::TimeOut),
        10 => (by.clone(), server.clone(), 0..4_usize).prop_map(|(by, server, lag)| Op::Report { by, server, lag }),
        12 => (server.clone(), choice, prop::bool::weighted(0.1))
            .prop_map(|(server, choice, fail)| Op::Finish { server, choice, fail }),
        1 => server.prop_map(Op::Restart),
        1 => (0..2_usize).prop_map(Op::VmEnd),
        1 => Just(Op::Confirm),
        4 => (100..4_000_u64).prop_map(Op::Tick),
    ]
}

fn with_holder(op: &Op, holder: usize) -> Op {
    let mut op = op.clone();
    match &mut op {
        Op::CollectDue(by) | Op::Progress { by, .. } if *by == HOLDER => *by = holder,
        Op::Decide { by, .. } | Op::Evict { by, .. } | Op::Send { by, .. } | Op::Report { by, .. } if *by == HOLDER => {
            *by = holder;
        }
        _ => {}
    }
    op
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum EngineReplicaState {
    Loading,
    Ready,
    Failed,
    Unloading,
}

/// Simulated engine that never refuses an order for lack of memory. Records its replicas and all loads for the checks.
#[derive(Debug)]
struct Engine {
    checks: bool,
    forgets: bool,
    instance: u64,
    term: Term,
    replicas: BTreeMap<ReplicaId, (String, u64, EngineReplicaState)>,
    ended: BTreeSet<ReplicaId>,
    history: Vec<(Millis, EngineView)>,
    last_reported: usize,
    loads: BTreeMap<ReplicaId, u32>,
}

impl Engine {
    fn new((checks, forgets): (bool, bool)) -> Self {
        let mut engine = Self {
            checks,
            forgets,
            instance: 1,
            term: Term(0),
            replicas: BTreeMap::new(),
            ended: BTreeSet::new(),
            history: Vec::new(),
            last_reported: 0,
            loads: BTreeMap::new(),
        };
        engine.record_view(Millis(0));
        engine
    }

    fn used(&self) -> u64 {
        let held = self
            .replicas
            .values()
            .filter(|(_, _, held)| *held != EngineReplicaState::Failed);
        held.map(|(_, bytes, _)| bytes).sum()
    }

    fn record_view(&mut self, now: Millis) {
        let live = self.replicas.iter().map(|(id, (_, _, held))| match held {
            EngineReplicaState::Loading => (id, Presence::Loading),
            EngineReplicaState::Ready | EngineReplicaState::Unloading => (id, Presence::Ready),
            EngineReplicaState::Failed => (id, Presence::Failed),
        });
        // An engine may remember more ended ids than it reports.
        let ended = self.ended.iter().rev().take(1).map(|id| (id, Presence::Ended));
        let replicas = live.chain(ended).map(|(id, presence)| ReplicaView {
            replica: id.clone(),
            presence,
            running: 0,
            waiting: 0,
        });
        let view = EngineView {
            instance: self.instance.to_string(),
            term: self.term,
            leaving: false,
            memory_bytes: CAPACITY,
            replicas: replicas.collect(),
            cached: Vec::new(),
        };
        let is_new = self.history.last().is_none_or(|(_, it)| it.replicas != view.replicas);
        if is_new || self.history.last().is_some_and(|(_, it)| it.instance != view.instance) {
            self.history.push((now, view));
        }
    }

    /// A report that is out of date by up to `lag` changes and [`REPORT_LAG_LIMIT_MS`], but not older than the last
    /// one.
    fn report(&mut self, lag: usize, now: Millis) -> EngineView {
        let newest = self.history.len() - 1;
        let mut reported = newest.saturating_sub(lag).max(self.last_reported);
        while reported < newest && now.since(self.history[reported + 1].0) > REPORT_LAG_LIMIT_MS {
            reported += 1;
        }
        self.last_reported = reported;
        // The fencing token is always current: engines may report it with an older list of replicas.
        EngineView {
            term: self.term,
            ..self.history[reported].1.clone()
        }
    }

    fn order(&mut self, order: &SentOrder, now: Millis) -> Answer {
        if order.due.instance != self.instance.to_string() {
            return Answer::Refused;
        }
        if self.checks && order.due.term < self.term {
            return Answer::Fenced;
        }
        self.term = self.term.max(order.due.term);
        let answer = match (order.due.kind, &order.due.replica) {
            (OrderKind::Load, Some(id)) => self.load(id, order),
            (OrderKind::Unload, Some(id)) => self.unload(id),
            _ => Answer::Taken,
        };
        self.record_view(now);
        answer
    }

    fn load(&mut self, id: &ReplicaId, order: &SentOrder) -> Answer {
        if self.replicas.contains_key(id) {
            return Answer::Taken;
        }
        if self.ended.contains(id) {
            return Answer::Refused;
        }
        self.replicas.insert(
            id.clone(),
            (order.model.clone(), order.bytes, EngineReplicaState::Loading),
        );
        *self.loads.entry(id.clone()).or_insert(0) += 1;
        Answer::Taken
    }

    fn unload(&mut self, id: &ReplicaId) -> Answer {
        if let Some((_, _, held)) = self.replicas.get_mut(id) {
            if *held != EngineReplicaState::Failed {
                *held = EngineReplicaState::Unloading;
                return Answer::Taken;
            }
            self.replicas.remove(id);
        }
        if !self.forgets {
            self.ended.insert(id.clone());
        }
        Answer::Taken
    }

    fn finish(&mut self, choice: usize, fail: bool, now: Millis) {
        let Some(id) = nth(self.replicas.keys(), choice).cloned() else {
            return;
        };
        match self.replicas[&id].2 {
            EngineReplicaState::Loading => {
                self.replicas.get_mut(&id).unwrap().2 = if fail {
                    EngineReplicaState::Failed
                } else {
                    EngineReplicaState::Ready
                }
            }
            EngineReplicaState::Unloading => {
                self.replicas.remove(&id);
                if !self.forgets {
                    self.ended.insert(id);
                }
            }
            EngineReplicaState::Ready | EngineReplicaState::Failed => {}
        }
        self.record_view(now);
    }

    fn restart(&mut self, now: Millis) {
        self.instance += 1;
        self.term = Term(0);
        self.replicas.clear();
        self.ended.clear();
        self.record_view(now);
        self.last_reported = self.history.len() - 1;
    }
}

fn nth<T>(items: impl Iterator<Item = T>, choice: usize) -> Option<T> {
    let mut items: Vec<T> = items.collect();
    if items.is_empty() {
        return None;
    }
    let index = choice % items.len();
    Some(items.swap_remove(index))
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(format!("s{index}"))
}

/// An order that has passed the lease check and is in the sender's outbox or in the network.
#[derive(Debug, Clone)]
struct SentOrder {
    by: usize,
    incarnation: u64,
    due: OrderDue,
    model: String,
    bytes: u64,
}

/// A controller that sends orders as the real one does: plan, ledger, lease check, send.
#[derive(Debug, Default)]
struct Controller {
    incarnation: u64,
    term: Term,
    plan: Option<Plan>,
    last_attempted: Option<Plan>,
    /// Plan of a write whose answer was lost, with its operation id.
    unresolved: Option<(Plan, OperationId)>,
    ledger: OrderLedger,
    views: BTreeMap<ServerName, EngineView>,
    outbox: Vec<SentOrder>,
}

#[derive(Debug)]
struct Simulation {
    now: Millis,
    lease: (usize, Term),
    stored: Option<Plan>,
    controllers: [Controller; 2],
    engines: Vec<Engine>,
    network: Vec<SentOrder>,
    /// Ended terms, each with the replicas whose load order was never sent.
    confirmations: Vec<(Term, Vec<ReplicaId>)>,
    operations: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Millis(1),
            lease: (0, Term(0)),
            stored: None,
            controllers: Default::default(),
            engines: ENGINES.into_iter().map(Engine::new).collect(),
            network: Vec::new(),
            confirmations: Vec::new(),
            operations: 0,
        }
    }

    fn apply(&mut self, op: &Op) {
        match with_holder(op, self.lease.0) {
            Op::TakeOver(by) => self.take_over(by),
            Op::Decide {
                by,
                model,
                server,
                lost,
            } => self.decide(by, model, server, lost),
            Op::Evict { by, choice } => self.change(by, false, |plan| {
                let id = nth(plan.replicas.keys(), choice).cloned();
                id.map(|id| plan.evict(&id));
            }),
            Op::CollectDue(by) => self.collect_due(by),
            Op::Send { by, choice } => self.send(by, choice),
            Op::Deliver {
                choice,
                lost,
                duplicate,
            } => self.deliver(choice, lost, duplicate),
            Op::TimeOut(choice) => {
                if let Some(sent) = nth(self.network.iter(), choice).cloned() {
                    self.answer(&sent, Answer::Unknown);
                }
            }
            Op::Report { by, server, lag } => self.report(by, server, lag),
            Op::Finish { server, choice, fail } => self.engines[server].finish(choice, fail, self.now),
            Op::Restart(server) => self.engines[server].restart(self.now),
            Op::VmEnd(by) => self.vm_end(by),
            Op::Confirm => self.confirm(),
            Op::Tick(ms) => self.now = self.now + ms,
            Op::Progress { by, lag } => self.progress(by, lag),
        }
    }

    fn progress(&mut self, by: usize, lag: usize) {
        for server in 0..ENGINES.len() {
            self.report(by, server, lag);
        }
        self.now = self.now + 1_000;
        let earlier = self.network.len();
        self.collect_due(by);
        while !self.controllers[by].outbox.is_empty() {
            self.send(by, 0);
        }
        while self.network.len() > earlier {
            self.deliver(self.network.len() - 1, false, false);
        }
    }

    fn take_over(&mut self, by: usize) {
        self.step_down(by);
        self.lease = (by, Term(self.lease.1.0 + 1));
        let incarnation = self.controllers[by].incarnation;
        let mut plan = self.stored.clone().unwrap_or_else(|| Plan::new(PoolName::new("p")));
        let holder = Holder {
            term: self.lease.1,
            member: MemberId::new(format!("vm{by}"), Role::Controller),
            incarnation: Incarnation(incarnation),
            vm_instance: Some(incarnation.to_string()),
            ended: false,
        };
        plan.take_over(holder).expect("the lease's term is the newest");
        let specs = ENGINES.iter().enumerate().map(|(index, (checks, forgets))| {
            let spec = ServerSpec {
                memory_bytes: CAPACITY,
                checks_fence: *checks,
                forgets_orders: *forgets,
                leaving: false,
            };
            (server_name(index), spec)
        });
        plan.configure(&specs.collect());
        plan.stamp(OperationId::new("take-over"));
        self.stored = Some(plan.clone());
        let controller = &mut self.controllers[by];
        controller.term = self.lease.1;
        controller.last_attempted = Some(plan.clone());
        controller.plan = Some(plan);
        controller.ledger = OrderLedger::default();
        controller.views.clear();
    }

    /// Makes a controller end its term. Orders that have passed the lease check may still be sent.
    fn step_down(&mut self, by: usize) {
        let controller = &mut self.controllers[by];
        controller.ledger.close();
        controller.plan = None;
        controller.unresolved = None;
        if let Some(last_attempted) = controller.last_attempted.take() {
            let unsent = controller.ledger.never_sent(&last_attempted, controller.term);
            self.confirmations.push((controller.term, unsent));
        }
    }

    /// Makes one change of a controller's plan and writes it by compare-and-swap. With `lost`, the answer is lost.
    fn change(&mut self, by: usize, lost: bool, change: impl FnOnce(&mut Plan)) {
        self.resolve(by);
        let Some(plan) = self.controllers[by].plan.clone() else {
            return;
        };
        let mut next = plan.clone();
        change(&mut next);
        if next == plan {
            return;
        }
        self.operations += 1;
        let operation = OperationId::new(format!("{by}/{}", self.operations));
        next.stamp(operation.clone());
        self.controllers[by].last_attempted = Some(next.clone());
        if self.stored.as_ref() != Some(&plan) {
            self.step_down(by);
            return;
        }
        next.validate().expect("totals agree");
        self.stored = Some(next.clone());
        if lost {
            self.controllers[by].plan = None;
            self.controllers[by].unresolved = Some((next, operation));
        } else {
            self.controllers[by].plan = Some(next);
        }
    }

    fn resolve(&mut self, by: usize) {
        let Some((plan, operation)) = self.controllers[by].unresolved.take() else {
            return;
        };
        let stored = self.stored.as_ref().expect("a write was made");
        if stored.writers.last() == Some(&operation) {
            self.controllers[by].plan = Some(plan);
        } else {
            self.step_down(by);
        }
    }

    fn decide(&mut self, by: usize, model: usize, server: usize, lost: bool) {
        let (name, bytes) = MODELS[model];
        self.change(by, lost, |plan| {
            let is_loaded = plan
                .replicas
                .values()
                .any(|it| it.model.as_str() == name && matches!(it.state, ReplicaState::Loading | ReplicaState::Ready));
            if !is_loaded {
                let request = reservation(name, server, bytes);
                // Many generated reservations are refused, which is correct.
                drop(plan.reserve(request));
            }
        });
    }

    fn collect_due(&mut self, by: usize) {
        self.resolve(by);
        let now = self.now;
        let lease = self.lease;
        let controller = &mut self.controllers[by];
        let Some(plan) = controller.plan.clone() else {
            return;
        };
        controller.ledger.observe(&plan, now);
        for due in controller.ledger.due(&plan, &controller.views, now) {
            let first = !controller.ledger.was_tried(&due);
            if !controller.ledger.begin(&due, now) {
                continue;
            }
            if lease != (by, controller.term) {
                controller.ledger.not_sent(&due, first);
                continue;
            }
            let replica = due.replica.as_ref().and_then(|id| plan.replicas.get(id));
            controller.outbox.push(SentOrder {
                by,
                incarnation: controller.incarnation,
                model: replica.map_or_else(String::new, |it| it.model.to_string()),
                bytes: replica.map_or(0, |it| it.bytes),
                due,
            });
        }
    }

    fn send(&mut self, by: usize, choice: usize) {
        let outbox = &mut self.controllers[by].outbox;
        if !outbox.is_empty() {
            let sent = outbox.remove(choice % outbox.len());
            self.network.push(sent);
        }
    }

    fn deliver(&mut self, choice: usize, lost: bool, duplicate: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = choice % self.network.len();
        let sent = self.network[index].clone();
        let server = (0..ENGINES.len())
            .find(|it| server_name(*it) == sent.due.server)
            .unwrap();
        // Only engines that remember ids get duplicates. The others have no protection against them and rely on TCP,
        // which delivers none.
        if !duplicate || self.engines[server].forgets {
            self.network.remove(index);
        }
        let answer = self.engines[server].order(&sent, self.now);
        self.answer(&sent, if lost { Answer::Unknown } else { answer });
    }

    fn answer(&mut self, sent: &SentOrder, answer: Answer) {
        let now = self.now;
        let controller = &mut self.controllers[sent.by];
        if controller.incarnation != sent.incarnation || controller.term != sent.due.term {
            return;
        }
        controller.ledger.answered(&sent.due, answer, now);
        if let (Answer::Refused, OrderKind::Load, Some(id)) = (answer, sent.due.kind, sent.due.replica.clone()) {
            self.change(sent.by, false, |plan| drop(plan.load_refused(&id)));
        }
    }

    fn report(&mut self, by: usize, server: usize, lag: usize) {
        self.resolve(by);
        if self.controllers[by].plan.is_none() {
            return;
        }
        let now = self.now;
        let view = self.engines[server].report(lag, now);
        let name = server_name(server);
        self.controllers[by].views.insert(name.clone(), view.clone());
        let ids: Vec<ReplicaId> = self.controllers[by]
            .plan
            .iter()
            .flat_map(|it| it.replicas.keys().cloned())
            .collect();
        let ledger = &self.controllers[by].ledger;
        let confirmed: BTreeSet<ReplicaId> = ids.into_iter().filter(|id| ledger.cancel_confirmed(id, now)).collect();
        let fenced = ledger.fence_confirmed(&name, &view.instance, now);
        self.change(by, false, |plan| {
            let proof = Proof {
                fenced,
                cancelled: &|id| confirmed.contains(id),
            };
            plan.reconcile(&name, &view, proof);
        });
    }

    /// Ends a controller's VM with all its undelivered orders, and starts a new instance of the VM.
    fn vm_end(&mut self, by: usize) {
        let incarnation = self.controllers[by].incarnation;
        self.controllers[by] = Controller {
            incarnation: incarnation + 1,
            ..Controller::default()
        };
        self.network.retain(|it| it.by != by);
        self.change(1 - by, false, |plan| {
            plan.holder_vm_ended(&format!("vm{by}"), &incarnation.to_string());
        });
    }

    fn confirm(&mut self) {
        let confirmations = self.confirmations.clone();
        for by in 0..2 {
            self.change(by, false, |plan| {
                for (term, ids) in &confirmations {
                    plan.not_sent(*term, ids);
                }
            });
        }
    }

    /// Checks that no engine exceeds its memory, holds a replica without a reservation, or loaded a replica twice.
    fn check_invariants(&self) -> Result<(), TestCaseError> {
        let planned = self.stored.iter().flat_map(|it| &it.replicas);
        let planned: BTreeMap<&ReplicaId, &ServerName> = planned.map(|(id, it)| (id, &it.server)).collect();
        for (index, engine) in self.engines.iter().enumerate() {
            prop_assert!(
                engine.used() <= CAPACITY,
                "server {index} holds {} bytes",
                engine.used()
            );
            for (id, (_, _, held)) in &engine.replicas {
                let reserved = planned.get(id) == Some(&&server_name(index));
                prop_assert!(
                    reserved || *held == EngineReplicaState::Failed,
                    "server {index} holds {id} without a reservation"
                );
            }
            let loaded_twice = engine.loads.iter().find(|(_, count)| **count > 1);
            prop_assert!(
                loaded_twice.is_none(),
                "server {index} loaded {loaded_twice:?} more than once"
            );
        }
        Ok(())
    }
}

fn reservation(model: &str, server: usize, bytes: u64) -> Reservation {
    Reservation {
        model: ModelName::new(model),
        version: 1,
        adapter: None,
        server: server_name(server),
        bytes,
    }
}

/// Naive controller: decides by the latest reports and sends orders without reserving memory in a stored plan first.
#[derive(Debug, Default)]
struct Naive {
    now: Millis,
    lease: (usize, Term),
    held_terms: [Option<Term>; 2],
    views: [BTreeMap<usize, EngineView>; 2],
    models: BTreeMap<ReplicaId, (usize, u64)>,
    outbox: Vec<SentOrder>,
    network: Vec<SentOrder>,
    engines: Vec<Engine>,
    next: u64,
}

impl Naive {
    fn new() -> Self {
        Self {
            engines: ENGINES.into_iter().map(Engine::new).collect(),
            ..Self::default()
        }
    }

    fn apply(&mut self, op: &Op) {
        match with_holder(op, self.lease.0) {
            Op::TakeOver(by) => {
                self.lease = (by, Term(self.lease.1.0 + 1));
                self.held_terms[by] = Some(self.lease.1);
            }
            Op::Decide { by, model, server, .. } => self.decide(by, model, server),
            Op::Send { choice, .. } if !self.outbox.is_empty() => {
                let sent = self.outbox.remove(choice % self.outbox.len());
                self.network.push(sent);
            }
            Op::Deliver { choice, duplicate, .. } if !self.network.is_empty() => {
                let index = choice % self.network.len();
                let sent = self.network[index].clone();
                let server = (0..ENGINES.len())
                    .find(|it| server_name(*it) == sent.due.server)
                    .unwrap();
                if !duplicate || self.engines[server].forgets {
                    self.network.remove(index);
                }
                self.engines[server].order(&sent, self.now);
            }
            Op::Report { by, server, lag } => {
                let view = self.engines[server].report(lag, self.now);
                self.views[by].insert(server, view);
            }
            Op::Finish { server, choice, fail } => self.engines[server].finish(choice, fail, self.now),
            Op::Restart(server) => self.engines[server].restart(self.now),
            Op::Tick(ms) => self.now = self.now + ms,
            Op::Progress { by, lag } => self.progress(by, lag),
            _ => {}
        }
    }

    fn progress(&mut self, by: usize, lag: usize) {
        self.network.append(&mut self.outbox);
        for sent in std::mem::take(&mut self.network) {
            let server = (0..ENGINES.len())
                .find(|it| server_name(*it) == sent.due.server)
                .unwrap();
            self.engines[server].order(&sent, self.now);
        }
        for server in 0..ENGINES.len() {
            let view = self.engines[server].report(lag, self.now);
            self.views[by].insert(server, view);
        }
    }

    fn decide(&mut self, by: usize, model: usize, server: usize) {
        let (Some(term), Some(view)) = (self.held_terms[by], self.views[by].get(&server)) else {
            return;
        };
        let held = |view: &EngineView| -> Vec<(usize, u64)> {
            let live = view.replicas.iter().filter(|it| it.presence != Presence::Ended);
            live.filter_map(|it| self.models.get(&it.replica).copied()).collect()
        };
        let used: u64 = held(view).iter().map(|(_, bytes)| bytes).sum();
        let loaded = self.views[by]
            .values()
            .any(|view| held(view).iter().any(|(it, _)| *it == model));
        let (name, bytes) = MODELS[model];
        if loaded || used + bytes > CAPACITY || self.lease != (by, term) {
            return;
        }
        self.next += 1;
        let id = ReplicaId::new(format!("n{}", self.next));
        self.models.insert(id.clone(), (model, bytes));
        self.outbox.push(SentOrder {
            by,
            incarnation: 0,
            due: OrderDue {
                kind: OrderKind::Load,
                server: server_name(server),
                replica: Some(id),
                term,
                instance: view.instance.clone(),
            },
            model: name.to_owned(),
            bytes,
        });
    }

    /// Whether a server is overcommitted, and whether a model is loaded more than once.
    fn faults(&self) -> (bool, bool) {
        let overcommitted = self.engines.iter().any(|it| it.used() > CAPACITY);
        let mut models = BTreeSet::new();
        let held = self.engines.iter().flat_map(|it| it.replicas.values());
        let loaded_twice = held.map(|(model, _, _)| model).any(|model| !models.insert(model));
        (overcommitted, loaded_twice)
    }
}

fn seed() -> u64 {
    let given = std::env::var("GUAVA_TEST_SEED").ok().and_then(|it| it.parse().ok());
    given.unwrap_or_else(rand::random)
}

fn cases() -> u32 {
    let given = std::env::var("PROPTEST_CASES").ok().and_then(|it| it.parse().ok());
    given.unwrap_or(400)
}

/// Guards against overcommitted memory, replicas without a reservation, and repeated loads of a replica, under
/// take-overs, delayed orders and outdated reports. The naive controller must fail, or the histories are too weak.
#[test]
fn plan_keeps_invariants_that_the_naive_controller_breaks() {
    let seed = seed();
    println!("seed {seed}; repeat with GUAVA_TEST_SEED={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let naive_overcommitted = std::cell::Cell::new(0);
    let naive_loaded_twice = std::cell::Cell::new(0);
    let loads = std::cell::Cell::new(0);

    let result = runner.run(&prop::collection::vec(op(), 50..400), |ops| {
        let mut simulation = Simulation::new();
        let mut naive = Naive::new();
        let (mut overcommitted, mut loaded_twice) = (false, false);
        for op in &ops {
            simulation.apply(op);
            simulation.check_invariants()?;
            naive.apply(op);
            let faults = naive.faults();
            overcommitted |= faults.0;
            loaded_twice |= faults.1;
        }
        naive_overcommitted.set(naive_overcommitted.get() + u32::from(overcommitted));
        naive_loaded_twice.set(naive_loaded_twice.get() + u32::from(loaded_twice));
        let loaded: usize = simulation.engines.iter().map(|it| it.loads.len()).sum();
        loads.set(loads.get() + loaded);
        Ok(())
    });

    println!(
        "naive overcommitted in {}, loaded twice in {} of {} histories; ours loaded {} replicas",
        naive_overcommitted.get(),
        naive_loaded_twice.get(),
        cases(),
        loads.get()
    );
    result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    assert!(loads.get() > 0, "the histories must load at least one replica");
    assert!(
        naive_overcommitted.get() > 0,
        "the histories must be hard enough for the naive version"
    );
    assert!(
        naive_loaded_twice.get() > 0,
        "the histories must be hard enough for the naive version"
    );
}

fn plan_with_server(checks: bool, forgets: bool) -> Plan {
    let mut plan = Plan::new(PoolName::new("p"));
    take_over(&mut plan, 1);
    let spec = ServerSpec {
        memory_bytes: CAPACITY,
        checks_fence: checks,
        forgets_orders: forgets,
        leaving: false,
    };
    plan.configure(&BTreeMap::from([(server_name(0), spec)]));
    reconcile(&mut plan, &view(1, &[]), false);
    plan
}

fn take_over(plan: &mut Plan, term: u64) {
    let holder = Holder {
        term: Term(term),
        member: MemberId::new(format!("vm{term}"), Role::Controller),
        incarnation: Incarnation(term),
        vm_instance: None,
        ended: false,
    };
    plan.take_over(holder).unwrap();
}

fn view(term: u64, replicas: &[(&ReplicaId, Presence)]) -> EngineView {
    let replicas = replicas.iter().map(|(id, presence)| ReplicaView {
        replica: (*id).clone(),
        presence: *presence,
        running: 0,
        waiting: 0,
    });
    EngineView {
        instance: "1".to_owned(),
        term: Term(term),
        leaving: false,
        memory_bytes: CAPACITY,
        replicas: replicas.collect(),
        cached: Vec::new(),
    }
}

fn reconcile(plan: &mut Plan, view: &EngineView, fenced: bool) {
    let proof = Proof {
        fenced,
        cancelled: &|_| false,
    };
    plan.reconcile(&server_name(0), view, proof);
}

/// Guards against a reservation that exceeds a server's free memory.
#[test]
fn reserve_refuses_to_overcommit() {
    let mut plan = plan_with_server(false, false);
    plan.reserve(reservation("a", 0, 60)).unwrap();

    let refused = plan.reserve(reservation("b", 0, 50));

    assert_eq!(refused, Err(PlanError::Overcommitted(server_name(0), 40)));
}

/// Guards against memory that is released while a delayed load order could still occupy it, and against memory that
/// stays reserved although the order can no longer arrive.
#[rstest]
#[case::checks_and_remembers(true, false, true, false)]
#[case::ignores_and_remembers(false, false, true, false)]
#[case::ignores_and_forgets(false, true, true, false)]
#[case::checks_and_forgets_but_report_may_be_old(true, true, false, false)]
#[case::checks_and_forgets(true, true, true, true)]
fn unseen_load_of_an_earlier_term_is_released_only_on_proof(
    #[case] checks: bool,
    #[case] forgets: bool,
    #[case] report_is_newer_than_fence: bool,
    #[case] released_by_absence: bool,
) {
    let mut plan = plan_with_server(checks, forgets);
    let id = plan.reserve(reservation("a", 0, 60)).unwrap();
    take_over(&mut plan, 2);

    reconcile(&mut plan, &view(2, &[]), report_is_newer_than_fence);

    assert_eq!(!plan.replicas.contains_key(&id), released_by_absence);
}

/// Guards against a release on the report of an ended replica id by an engine that forgets the id afterwards.
#[rstest]
#[case::remembers(false, true)]
#[case::forgets(true, false)]
fn cancelled_load_is_released_when_the_engine_remembers(#[case] forgets: bool, #[case] released: bool) {
    let mut plan = plan_with_server(false, forgets);
    let id = plan.reserve(reservation("a", 0, 60)).unwrap();
    take_over(&mut plan, 2);
    plan.evict(&id).unwrap();

    reconcile(&mut plan, &view(2, &[(&id, Presence::Ended)]), true);

    assert_eq!(!plan.replicas.contains_key(&id), released);
}

/// Guards against memory that stays reserved because an engine drops ended ids from its reports, and against a release
/// on a report that may be older than the unload order.
#[rstest]
#[case::unload_accepted_long_before(true)]
#[case::report_may_be_older(false)]
fn absence_releases_a_replica_after_a_confirmed_unload_order(#[case] cancelled: bool) {
    let mut plan = plan_with_server(false, false);
    let id = plan.reserve(reservation("a", 0, 60)).unwrap();
    plan.evict(&id).unwrap();
    let proof = Proof {
        fenced: false,
        cancelled: &|_| cancelled,
    };

    plan.reconcile(&server_name(0), &view(1, &[]), proof);

    assert_eq!(!plan.replicas.contains_key(&id), cancelled);
}

/// Guards against a repeated load order to an engine that forgets replica ids, which would load the replica again after
/// its release.
#[rstest]
#[case::remembers(false, true)]
#[case::forgets(true, false)]
fn load_order_is_repeated_only_to_engines_that_remember_ids(#[case] forgets: bool, #[case] repeated: bool) {
    let mut plan = plan_with_server(false, forgets);
    plan.reserve(reservation("a", 0, 60)).unwrap();
    let mut ledger = OrderLedger::default();
    let views = BTreeMap::from([(server_name(0), view(1, &[]))]);
    let due = ledger.due(&plan, &views, Millis(0));
    assert!(ledger.begin(&due[0], Millis(0)));
    ledger.answered(&due[0], Answer::Unknown, Millis(10));

    let again = ledger.due(&plan, &views, Millis(100_000));

    assert_eq!(!again.is_empty(), repeated);
}

/// Guards against a take-over by a second holder in the same term.
#[test]
fn take_over_by_another_holder_needs_a_newer_term() {
    let mut plan = plan_with_server(false, false);
    take_over(&mut plan, 3);
    let holder = Holder {
        term: Term(3),
        member: MemberId::new("other", Role::Controller),
        incarnation: Incarnation(9),
        vm_instance: None,
        ended: false,
    };

    let refused = plan.take_over(holder);

    assert_eq!(refused, Err(PlanError::Superseded(Term(3))));
}
