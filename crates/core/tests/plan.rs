//! Differential test of the plan: two competing controllers, engines that check, ignore and forget, and orders that
//! are delayed, repeated or late. The engines' own record is the judge; a naive controller runs the same histories.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{Incarnation, MemberId, ModelName, OperationId, PoolName, ReplicaId, Role, ServerName, Term};
use guava_core::orders::{Answer, Ledger, OrderDue, OrderKind, REPORT_LAG_LIMIT_MS};
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
        pick: usize,
    },
    Check(usize),
    Send {
        by: usize,
        pick: usize,
    },
    Deliver {
        pick: usize,
        lost: bool,
        keep: bool,
    },
    TimeOut(usize),
    Report {
        by: usize,
        server: usize,
        lag: usize,
    },
    Finish {
        server: usize,
        pick: usize,
        fail: bool,
    },
    Restart(usize),
    VmEnd(usize),
    Confirm,
    Tick(u64),
    /// Undisturbed progress: reports, orders and their answers, and the work of the engines.
    Progress {
        by: usize,
        lag: usize,
    },
}

/// Stands for the present holder of the lease in an operation's `by`.
const HOLDER: usize = 2;

fn op() -> impl Strategy<Value = Op> {
    let by = prop_oneof![1 => 0..2_usize, 2 => Just(HOLDER)];
    let server = 0..ENGINES.len();
    let pick = 0..16_usize;
    prop_oneof![
        2 => (0..2_usize).prop_map(Op::TakeOver),
        8 => (by.clone(), 0..4_usize).prop_map(|(by, lag)| Op::Progress { by, lag }),
        6 => (by.clone(), 0..MODELS.len(), server.clone(), prop::bool::weighted(0.2))
            .prop_map(|(by, model, server, lost)| Op::Decide { by, model, server, lost }),
        4 => (by.clone(), pick.clone()).prop_map(|(by, pick)| Op::Evict { by, pick }),
        8 => by.clone().prop_map(Op::Check),
        8 => (by.clone(), pick.clone()).prop_map(|(by, pick)| Op::Send { by, pick }),
        8 => (pick.clone(), any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, lost, keep)| Op::Deliver { pick, lost, keep }),
        4 => pick.clone().prop_map(Op::TimeOut),
        10 => (by.clone(), server.clone(), 0..4_usize).prop_map(|(by, server, lag)| Op::Report { by, server, lag }),
        12 => (server.clone(), pick, prop::bool::weighted(0.1))
            .prop_map(|(server, pick, fail)| Op::Finish { server, pick, fail }),
        1 => server.prop_map(Op::Restart),
        1 => (0..2_usize).prop_map(Op::VmEnd),
        1 => Just(Op::Confirm),
        4 => (100..4_000_u64).prop_map(Op::Tick),
    ]
}

fn with_holder(op: &Op, holder: usize) -> Op {
    let mut op = op.clone();
    match &mut op {
        Op::Check(by) | Op::Progress { by, .. } if *by == HOLDER => *by = holder,
        Op::Decide { by, .. } | Op::Evict { by, .. } | Op::Send { by, .. } | Op::Report { by, .. } if *by == HOLDER => {
            *by = holder;
        }
        _ => {}
    }
    op
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Held {
    Loading,
    Ready,
    Failed,
    Unloading,
}

/// Model of an engine that takes every order, with the record that tests judge by.
#[derive(Debug)]
struct Engine {
    checks: bool,
    forgets: bool,
    instance: u64,
    term: Term,
    replicas: BTreeMap<ReplicaId, (String, u64, Held)>,
    ended: BTreeSet<ReplicaId>,
    history: Vec<(Millis, EngineView)>,
    last_shown: usize,
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
            last_shown: 0,
            loads: BTreeMap::new(),
        };
        engine.note(Millis(0));
        engine
    }

    fn used(&self) -> u64 {
        let held = self.replicas.values().filter(|(_, _, held)| *held != Held::Failed);
        held.map(|(_, bytes, _)| bytes).sum()
    }

    fn note(&mut self, now: Millis) {
        let live = self.replicas.iter().map(|(id, (_, _, held))| match held {
            Held::Loading => (id, Presence::Loading),
            Held::Ready | Held::Unloading => (id, Presence::Ready),
            Held::Failed => (id, Presence::Failed),
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

    /// A report that lags by up to `lag` changes, but neither goes back nor lags longer than allowed.
    fn report(&mut self, lag: usize, now: Millis) -> EngineView {
        let newest = self.history.len() - 1;
        let mut shown = newest.saturating_sub(lag).max(self.last_shown);
        while shown < newest && now.since(self.history[shown + 1].0) > REPORT_LAG_LIMIT_MS {
            shown += 1;
        }
        self.last_shown = shown;
        // The token is always the newest, as engines may add it to an older list of replicas.
        EngineView {
            term: self.term,
            ..self.history[shown].1.clone()
        }
    }

    fn order(&mut self, order: &Sent, now: Millis) -> Answer {
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
        self.note(now);
        answer
    }

    fn load(&mut self, id: &ReplicaId, order: &Sent) -> Answer {
        if self.replicas.contains_key(id) {
            return Answer::Taken;
        }
        if self.ended.contains(id) {
            return Answer::Refused;
        }
        self.replicas
            .insert(id.clone(), (order.model.clone(), order.bytes, Held::Loading));
        *self.loads.entry(id.clone()).or_insert(0) += 1;
        Answer::Taken
    }

    fn unload(&mut self, id: &ReplicaId) -> Answer {
        if let Some((_, _, held)) = self.replicas.get_mut(id) {
            if *held != Held::Failed {
                *held = Held::Unloading;
                return Answer::Taken;
            }
            self.replicas.remove(id);
        }
        if !self.forgets {
            self.ended.insert(id.clone());
        }
        Answer::Taken
    }

    fn finish(&mut self, pick: usize, fail: bool, now: Millis) {
        let Some(id) = nth(self.replicas.keys(), pick).cloned() else {
            return;
        };
        match self.replicas[&id].2 {
            Held::Loading => self.replicas.get_mut(&id).unwrap().2 = if fail { Held::Failed } else { Held::Ready },
            Held::Unloading => {
                self.replicas.remove(&id);
                if !self.forgets {
                    self.ended.insert(id);
                }
            }
            Held::Ready | Held::Failed => {}
        }
        self.note(now);
    }

    fn restart(&mut self, now: Millis) {
        self.instance += 1;
        self.term = Term(0);
        self.replicas.clear();
        self.ended.clear();
        self.note(now);
        self.last_shown = self.history.len() - 1;
    }
}

fn nth<T>(items: impl Iterator<Item = T>, pick: usize) -> Option<T> {
    let mut items: Vec<T> = items.collect();
    if items.is_empty() {
        return None;
    }
    let index = pick % items.len();
    Some(items.swap_remove(index))
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(format!("s{index}"))
}

/// An order after the lease check: in the sender's hands, or on its way.
#[derive(Debug, Clone)]
struct Sent {
    by: usize,
    life: u64,
    due: OrderDue,
    model: String,
    bytes: u64,
}

/// A controller as the crate's users run it: plan, ledger, lease check, then the send.
#[derive(Debug, Default)]
struct Controller {
    life: u64,
    term: Term,
    plan: Option<Plan>,
    tried: Option<Plan>,
    unresolved: Option<(Plan, OperationId)>,
    ledger: Ledger,
    views: BTreeMap<ServerName, EngineView>,
    outbox: Vec<Sent>,
}

#[derive(Debug)]
struct World {
    now: Millis,
    lease: (usize, Term),
    stored: Option<Plan>,
    controllers: [Controller; 2],
    engines: Vec<Engine>,
    network: Vec<Sent>,
    confirmations: Vec<(Term, Vec<ReplicaId>)>,
    operations: u64,
}

impl World {
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
            Op::Evict { by, pick } => self.change(by, false, |plan| {
                let id = nth(plan.replicas.keys(), pick).cloned();
                id.map(|id| plan.evict(&id));
            }),
            Op::Check(by) => self.check(by),
            Op::Send { by, pick } => self.send(by, pick),
            Op::Deliver { pick, lost, keep } => self.deliver(pick, lost, keep),
            Op::TimeOut(pick) => {
                if let Some(sent) = nth(self.network.iter(), pick).cloned() {
                    self.answer(&sent, Answer::Unknown);
                }
            }
            Op::Report { by, server, lag } => self.report(by, server, lag),
            Op::Finish { server, pick, fail } => self.engines[server].finish(pick, fail, self.now),
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
        self.check(by);
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
        let life = self.controllers[by].life;
        let mut plan = self.stored.clone().unwrap_or_else(|| Plan::new(PoolName::new("p")));
        let holder = Holder {
            term: self.lease.1,
            member: MemberId::new(format!("vm{by}"), Role::Controller),
            incarnation: Incarnation(life),
            vm_instance: Some(life.to_string()),
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
        controller.tried = Some(plan.clone());
        controller.plan = Some(plan);
        controller.ledger = Ledger::default();
        controller.views.clear();
    }

    /// Ends a controller's term by its own knowledge; orders already past the lease check may still go out.
    fn step_down(&mut self, by: usize) {
        let controller = &mut self.controllers[by];
        controller.ledger.close();
        controller.plan = None;
        controller.unresolved = None;
        if let Some(tried) = controller.tried.take() {
            let unsent = controller.ledger.never_sent(&tried, controller.term);
            self.confirmations.push((controller.term, unsent));
        }
    }

    /// One change of the plan, written by compare-and-swap on the term and sequence.
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
        self.controllers[by].tried = Some(next.clone());
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
            let supply = plan
                .replicas
                .values()
                .any(|it| it.model.as_str() == name && matches!(it.state, ReplicaState::Loading | ReplicaState::Ready));
            if !supply {
                let want = reservation(name, server, bytes);
                // A refused reservation is a correct answer to many of the generated wishes.
                drop(plan.reserve(want));
            }
        });
    }

    fn check(&mut self, by: usize) {
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
            controller.outbox.push(Sent {
                by,
                life: controller.life,
                model: replica.map_or_else(String::new, |it| it.model.to_string()),
                bytes: replica.map_or(0, |it| it.bytes),
                due,
            });
        }
    }

    fn send(&mut self, by: usize, pick: usize) {
        let outbox = &mut self.controllers[by].outbox;
        if !outbox.is_empty() {
            let sent = outbox.remove(pick % outbox.len());
            self.network.push(sent);
        }
    }

    fn deliver(&mut self, pick: usize, lost: bool, keep: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = pick % self.network.len();
        let sent = self.network[index].clone();
        let server = (0..ENGINES.len())
            .find(|it| server_name(*it) == sent.due.server)
            .unwrap();
        // Engines that forget cannot be protected from copies that the network makes by itself; TCP makes none.
        if !keep || self.engines[server].forgets {
            self.network.remove(index);
        }
        let answer = self.engines[server].order(&sent, self.now);
        self.answer(&sent, if lost { Answer::Unknown } else { answer });
    }

    fn answer(&mut self, sent: &Sent, answer: Answer) {
        let now = self.now;
        let controller = &mut self.controllers[sent.by];
        if controller.life != sent.life || controller.term != sent.due.term {
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

    /// The VM ends with everything it had not delivered; its successor is another instance.
    fn vm_end(&mut self, by: usize) {
        let life = self.controllers[by].life;
        self.controllers[by] = Controller {
            life: life + 1,
            ..Controller::default()
        };
        self.network.retain(|it| it.by != by);
        self.change(1 - by, false, |plan| {
            plan.holder_vm_ended(&format!("vm{by}"), &life.to_string());
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

    /// The engines' record against the stored plan.
    fn judge(&self) -> Result<(), TestCaseError> {
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
                    reserved || *held == Held::Failed,
                    "server {index} holds {id} without a reservation"
                );
            }
            let twice = engine.loads.iter().find(|(_, count)| **count > 1);
            prop_assert!(twice.is_none(), "server {index} loaded {twice:?} more than once");
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

/// The naive version: reads a report, decides by it, sends the order and only then writes what it did.
#[derive(Debug, Default)]
struct Naive {
    now: Millis,
    lease: (usize, Term),
    believes: [Option<Term>; 2],
    views: [BTreeMap<usize, EngineView>; 2],
    models: BTreeMap<ReplicaId, (usize, u64)>,
    outbox: Vec<Sent>,
    network: Vec<Sent>,
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
                self.believes[by] = Some(self.lease.1);
            }
            Op::Decide { by, model, server, .. } => self.decide(by, model, server),
            Op::Send { pick, .. } if !self.outbox.is_empty() => {
                let sent = self.outbox.remove(pick % self.outbox.len());
                self.network.push(sent);
            }
            Op::Deliver { pick, keep, .. } if !self.network.is_empty() => {
                let index = pick % self.network.len();
                let sent = self.network[index].clone();
                let server = (0..ENGINES.len())
                    .find(|it| server_name(*it) == sent.due.server)
                    .unwrap();
                if !keep || self.engines[server].forgets {
                    self.network.remove(index);
                }
                self.engines[server].order(&sent, self.now);
            }
            Op::Report { by, server, lag } => {
                let view = self.engines[server].report(lag, self.now);
                self.views[by].insert(server, view);
            }
            Op::Finish { server, pick, fail } => self.engines[server].finish(pick, fail, self.now),
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
        let (Some(term), Some(view)) = (self.believes[by], self.views[by].get(&server)) else {
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
        self.outbox.push(Sent {
            by,
            life: 0,
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

    /// Whether a server is overcommitted, and whether a model that was wanted once is loaded twice.
    fn faults(&self) -> (bool, bool) {
        let over = self.engines.iter().any(|it| it.used() > CAPACITY);
        let mut models = BTreeSet::new();
        let held = self.engines.iter().flat_map(|it| it.replicas.values());
        let twice = held.map(|(model, _, _)| model).any(|model| !models.insert(model));
        (over, twice)
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

/// Guards against overcommitted memory, replicas that nobody decided, and double loads after a take-over.
#[test]
fn plan_holds_where_the_naive_version_fails() {
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
    let naive_over = std::cell::Cell::new(0);
    let naive_twice = std::cell::Cell::new(0);
    let loads = std::cell::Cell::new(0);

    let result = runner.run(&prop::collection::vec(op(), 50..400), |ops| {
        let mut world = World::new();
        let mut naive = Naive::new();
        let (mut over, mut twice) = (false, false);
        for op in &ops {
            world.apply(op);
            world.judge()?;
            naive.apply(op);
            let faults = naive.faults();
            over |= faults.0;
            twice |= faults.1;
        }
        naive_over.set(naive_over.get() + u32::from(over));
        naive_twice.set(naive_twice.get() + u32::from(twice));
        let loaded: usize = world.engines.iter().map(|it| it.loads.len()).sum();
        loads.set(loads.get() + loaded);
        Ok(())
    });

    println!(
        "naive overcommitted in {}, loaded twice in {} of {} histories; ours loaded {} replicas",
        naive_over.get(),
        naive_twice.get(),
        cases(),
        loads.get()
    );
    result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    assert!(loads.get() > 0, "the histories must load something");
    assert!(
        naive_over.get() > 0,
        "the histories must be hard enough for the naive version"
    );
    assert!(
        naive_twice.get() > 0,
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

/// Guards against a reservation beyond a server's memory.
#[test]
fn reserve_refuses_to_overcommit() {
    let mut plan = plan_with_server(false, false);
    plan.reserve(reservation("a", 0, 60)).unwrap();

    let refused = plan.reserve(reservation("b", 0, 50));

    assert_eq!(refused, Err(PlanError::Overcommitted(server_name(0), 40)));
}

/// Guards against memory that is released while a late order could still claim it, and against memory that is kept
/// although it is proved free.
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

/// Guards against trusting a cancellation that the engine will not remember.
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

/// Guards against memory that stays reserved because an engine drops ended ids from its reports.
#[rstest]
#[case::cancellation_taken_long_ago(true)]
#[case::report_may_be_older(false)]
fn absence_counts_after_a_confirmed_cancellation(#[case] cancelled: bool) {
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

/// Guards against a repeated load order on an engine that forgets: the late copy would load a released replica again.
#[rstest]
#[case::remembers(false, true)]
#[case::forgets(true, false)]
fn load_order_is_repeated_only_where_repeats_are_harmless(#[case] forgets: bool, #[case] repeated: bool) {
    let mut plan = plan_with_server(false, forgets);
    plan.reserve(reservation("a", 0, 60)).unwrap();
    let mut ledger = Ledger::default();
    let views = BTreeMap::from([(server_name(0), view(1, &[]))]);
    let due = ledger.due(&plan, &views, Millis(0));
    assert!(ledger.begin(&due[0], Millis(0)));
    ledger.answered(&due[0], Answer::Unknown, Millis(10));

    let again = ledger.due(&plan, &views, Millis(100_000));

    assert_eq!(!again.is_empty(), repeated);
}

/// Guards against a second holder of one term and against a holder of an old one.
#[test]
fn take_over_needs_a_newer_term() {
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
