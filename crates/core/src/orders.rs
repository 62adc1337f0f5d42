//! Orders that follow from a plan, and what became of them.
//!
//! The ledger belongs to one holder and one term and is not persisted. It decides which orders are due, and knows
//! which load orders were never sent, so that the holder can confirm that to its successor.

use std::collections::BTreeMap;

use crate::ids::{ReplicaId, ServerName, Term};
use crate::placement::ReplicaState;
use crate::plan::{EngineView, Plan, PlannedReplica, PlannedServer, ServerState};
use crate::units::Millis;

/// Time after which an order without visible effect is sent again.
pub const ORDER_RETRY_MS: u64 = 1_000;
/// Time between the decision to unload and the order, in which routers learn that the replica gets no new work.
pub const UNLOAD_GRACE_MS: u64 = 200;
/// Longest time by which an engine's report lags behind.
pub const REPORT_LAG_LIMIT_MS: u64 = 10_000;
/// Time without a sign of a replica after which its load is given up.
pub const LOAD_TIMEOUT_MS: u64 = 60_000;

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKind {
    /// Announce the term.
    Fence,
    /// Unload a replica.
    Unload,
    /// Load a replica.
    Load,
}

/// An order that is due.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderDue {
    /// Kind.
    pub kind: OrderKind,
    /// Backend server.
    pub server: ServerName,
    /// Replica; `None` for an order about the whole engine.
    pub replica: Option<ReplicaId>,
    /// Fencing token.
    pub term: Term,
    /// Instance of the engine it is meant for.
    pub instance: String,
}

/// How an attempt to send an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine took the order.
    Taken,
    /// The order did not reach the engine.
    Unreachable,
    /// No answer came; the order may still arrive.
    Unknown,
    /// The engine refused the order for good.
    Refused,
    /// The engine has seen a newer term.
    Fenced,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    at: Millis,
    answer: Option<Answer>,
}

type Target = (OrderKind, ServerName, Option<ReplicaId>, String);

/// Orders of one holder in one term.
#[derive(Debug, Default)]
pub struct Ledger {
    closed: bool,
    attempts: BTreeMap<Target, Attempt>,
    unloads_taken: BTreeMap<ReplicaId, Millis>,
    /// Since when each instance of an engine is known to have this term's fencing token.
    fenced: BTreeMap<(ServerName, String), Millis>,
    since: BTreeMap<ReplicaId, (ReplicaState, Millis)>,
}

impl Ledger {
    /// Takes note of the plan's states, to measure how long each lasts.
    pub fn observe(&mut self, plan: &Plan, now: Millis) {
        self.since.retain(|id, _| plan.replicas.contains_key(id));
        self.unloads_taken.retain(|id, _| plan.replicas.contains_key(id));
        self.attempts.retain(|(_, _, id, _), it| {
            let planned = id.as_ref().is_none_or(|id| plan.replicas.contains_key(id));
            planned || it.answer.is_none() || now.since(it.at) < ORDER_RETRY_MS
        });
        for (name, server) in plan.servers.iter().filter(|(_, it)| it.fenced >= plan.term) {
            if let Some(instance) = &server.instance {
                let key = (name.clone(), instance.clone());
                self.fenced.entry(key).or_insert(now);
            }
        }
        for (id, replica) in &plan.replicas {
            let entry = self.since.entry(id.clone()).or_insert((replica.state, now));
            if entry.0 != replica.state {
                *entry = (replica.state, now);
            }
        }
    }

    /// Time a replica has spent in its present state.
    pub fn time_in_state(&self, id: &ReplicaId, now: Millis) -> u64 {
        self.since.get(id).map_or(0, |(_, since)| now.since(*since))
    }

    /// Orders to send now: fences first, then unloads, then loads.
    pub fn due(&self, plan: &Plan, engines: &BTreeMap<ServerName, EngineView>, now: Millis) -> Vec<OrderDue> {
        let mut due: Vec<OrderDue> = plan
            .servers
            .iter()
            .flat_map(|(name, server)| self.due_at(plan, name, server, engines.get(name), now))
            .collect();
        due.sort();
        due
    }

    fn due_at(
        &self,
        plan: &Plan,
        name: &ServerName,
        server: &PlannedServer,
        view: Option<&EngineView>,
        now: Millis,
    ) -> Vec<OrderDue> {
        let Some(instance) = server.instance.as_ref().filter(|_| server.state != ServerState::Gone) else {
            return Vec::new();
        };
        let order = |kind, replica: Option<&ReplicaId>| OrderDue {
            kind,
            server: name.clone(),
            replica: replica.cloned(),
            term: plan.term,
            instance: instance.clone(),
        };
        let mut due = Vec::new();
        if server.checks_fence && server.fenced < plan.term {
            due.push(order(OrderKind::Fence, None));
        }
        for (id, replica) in plan.on_server(name) {
            match replica.state {
                ReplicaState::Loading if load_is_due(plan, server, id, replica, view) => {
                    due.push(order(OrderKind::Load, Some(id)));
                }
                ReplicaState::Unloading if self.unload_is_due(id, view, now) => {
                    due.push(order(OrderKind::Unload, Some(id)));
                }
                _ => {}
            }
        }
        due.extend(undecided(plan, view).map(|id| order(OrderKind::Unload, Some(id))));
        due.retain(|it| self.may_try(server, it, now));
        due
    }

    fn unload_is_due(&self, id: &ReplicaId, view: Option<&EngineView>, now: Millis) -> bool {
        let idle = view.is_some_and(|it| {
            it.replica(id)
                .is_none_or(|replica| replica.running == 0 && replica.waiting == 0)
        });
        idle && self.time_in_state(id, now) >= UNLOAD_GRACE_MS
    }

    fn may_try(&self, server: &PlannedServer, order: &OrderDue, now: Millis) -> bool {
        let Some(last) = self.attempts.get(&target(order)) else {
            return true;
        };
        let once = order.kind == OrderKind::Load && server.forgets_orders;
        match last.answer {
            None => false,
            Some(Answer::Refused) if order.kind == OrderKind::Load => false,
            Some(Answer::Taken | Answer::Unknown) if once => false,
            Some(_) => now.since(last.at) >= ORDER_RETRY_MS,
        }
    }

    /// Marks an order as possibly sent. Returns false when the ledger is closed and nothing may be sent.
    pub fn begin(&mut self, order: &OrderDue, now: Millis) -> bool {
        if self.closed {
            return false;
        }
        let attempt = Attempt { at: now, answer: None };
        self.attempts.insert(target(order), attempt);
        true
    }

    /// Takes back [`Ledger::begin`] for an order that was not sent. A load that was never tried before counts as
    /// never sent again.
    pub fn not_sent(&mut self, order: &OrderDue, first: bool) {
        if first {
            self.attempts.remove(&target(order));
        } else if let Some(it) = self.attempts.get_mut(&target(order)) {
            it.answer = Some(Answer::Unknown);
        }
    }

    /// Whether an order was possibly sent before.
    pub fn was_tried(&self, order: &OrderDue) -> bool {
        self.attempts.contains_key(&target(order))
    }

    /// Records how an attempt ended.
    pub fn answered(&mut self, order: &OrderDue, answer: Answer, now: Millis) {
        if let Some(attempt) = self.attempts.get_mut(&target(order)) {
            attempt.answer = Some(answer);
        }
        if let (OrderKind::Unload, Answer::Taken, Some(id)) = (order.kind, answer, &order.replica) {
            self.unloads_taken.entry(id.clone()).or_insert(now);
        }
    }

    /// Whether an engine had this term's fencing token so long before `requested` that a report cannot be older.
    pub fn fence_confirmed(&self, server: &ServerName, instance: &str, requested: Millis) -> bool {
        let key = (server.clone(), instance.to_owned());
        self.fenced
            .get(&key)
            .is_some_and(|at| requested.since(*at) >= REPORT_LAG_LIMIT_MS)
    }

    /// Whether the engine took an unload order so long before `requested` that a report cannot be older than it.
    pub fn cancel_confirmed(&self, id: &ReplicaId, requested: Millis) -> bool {
        self.unloads_taken
            .get(id)
            .is_some_and(|at| requested.since(*at) >= REPORT_LAG_LIMIT_MS)
    }

    /// Sends nothing from now on.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Replicas decided in `term` whose load order was never sent; final once the ledger is closed.
    pub fn never_sent(&self, plan: &Plan, term: Term) -> Vec<ReplicaId> {
        let tried = |id: &ReplicaId| {
            self.attempts
                .keys()
                .any(|(kind, _, replica, _)| *kind == OrderKind::Load && replica.as_ref() == Some(id))
        };
        plan.replicas
            .iter()
            .filter(|(id, it)| it.term == term && !it.seen && !tried(id))
            .map(|(id, _)| id.clone())
            .collect()
    }
}

/// A load on an engine that forgets ids is left to the holder that decided it; see the head of `plan`.
fn load_is_due(
    plan: &Plan,
    server: &PlannedServer,
    id: &ReplicaId,
    replica: &PlannedReplica,
    view: Option<&EngineView>,
) -> bool {
    let visible = view.is_some_and(|it| it.replica(id).is_some());
    let allowed = !server.forgets_orders || replica.term == plan.term;
    let has_base = replica.adapter.is_none() || plan.has_ready_base(replica);
    !visible && !replica.seen && allowed && has_base
}

fn target(order: &OrderDue) -> Target {
    (
        order.kind,
        order.server.clone(),
        order.replica.clone(),
        order.instance.clone(),
    )
}

/// Loaded replicas that are not in the plan: late loads of released ids. Ids of later terms are left alone, since
/// this holder may have been superseded without knowing it.
fn undecided<'a>(plan: &'a Plan, view: Option<&'a EngineView>) -> impl Iterator<Item = &'a ReplicaId> {
    view.into_iter()
        .flat_map(|it| &it.replicas)
        .filter(|it| it.presence.holds_memory())
        .map(|it| &it.replica)
        .filter(|id| !plan.replicas.contains_key(*id))
        .filter(|id| plan.term_of(id).is_some_and(|term| term <= plan.term))
}
