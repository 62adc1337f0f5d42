//! Orders to engines: which orders follow from a plan, which are due, and how attempts to send them ended.
//!
//! A ledger belongs to one lease holder and one term and is not persisted. It also knows which load orders were never
//! sent, so that the holder can confirm that to its successor.

use std::collections::BTreeMap;

use crate::ids::{ReplicaId, ServerName, Term};
use crate::placement::ReplicaState;
use crate::plan::{EngineView, Plan, PlannedReplica, PlannedServer, ServerState};
use crate::units::Millis;

/// Time in milliseconds after an attempt before an order that is still due is sent again.
pub const ORDER_RETRY_MS: u64 = 1_000;
/// Time in milliseconds between the decision to unload a replica and the order, in which routers learn to send it no
/// new requests.
pub const UNLOAD_GRACE_MS: u64 = 200;
/// Longest time in milliseconds by which an engine's report may be out of date.
pub const REPORT_LAG_LIMIT_MS: u64 = 10_000;
/// Time in milliseconds after which a load of a replica that no report has shown is cancelled.
pub const LOAD_TIMEOUT_MS: u64 = 60_000;

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKind {
    /// Announce the term as fencing token, so that the engine refuses orders of earlier terms.
    Fence,
    /// Unload a replica.
    Unload,
    /// Load a replica.
    Load,
}

/// An order that is due.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderDue {
    /// What the order asks for.
    pub kind: OrderKind,
    /// Backend server that receives it.
    pub server: ServerName,
    /// Replica; `None` for [`OrderKind::Fence`].
    pub replica: Option<ReplicaId>,
    /// Term of the plan, sent as fencing token.
    pub term: Term,
    /// Instance of the engine that it is for; other instances refuse it.
    pub instance: String,
}

/// How an attempt to send an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine accepted the order.
    Taken,
    /// The order certainly did not reach the engine.
    Unreachable,
    /// No answer came; the order may have arrived or may still do so.
    Unknown,
    /// The engine refused the order, and would refuse it again.
    Refused,
    /// The engine refused the order because it has seen a newer term.
    Fenced,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    at: Millis,
    answer: Option<Answer>,
}

type AttemptKey = (OrderKind, ServerName, Option<ReplicaId>, String);

/// Order attempts of one lease holder in one term.
#[derive(Debug, Default)]
pub struct OrderLedger {
    closed: bool,
    attempts: BTreeMap<AttemptKey, Attempt>,
    unloads_taken: BTreeMap<ReplicaId, Millis>,
    /// When this holder first saw that an engine instance has this term's fencing token.
    fenced: BTreeMap<(ServerName, String), Millis>,
    in_state_since: BTreeMap<ReplicaId, (ReplicaState, Millis)>,
}

impl OrderLedger {
    /// Records the states and fencing tokens of the plan with their times, and drops data on replicas that it no longer
    /// has.
    pub fn observe(&mut self, plan: &Plan, now: Millis) {
        self.in_state_since.retain(|id, _| plan.replicas.contains_key(id));
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
            let entry = self.in_state_since.entry(id.clone()).or_insert((replica.state, now));
            if entry.0 != replica.state {
                *entry = (replica.state, now);
            }
        }
    }

    /// Time in milliseconds for which a replica has been in its present state; 0 when it was not observed yet.
    pub fn time_in_state(&self, id: &ReplicaId, now: Millis) -> u64 {
        self.in_state_since.get(id).map_or(0, |(_, since)| now.since(*since))
    }

    /// Orders to send now, sorted by kind: fences, unloads, loads. `engines` holds the latest report of each server.
    pub fn due(&self, plan: &Plan, engines: &BTreeMap<ServerName, EngineView>, now: Millis) -> Vec<OrderDue> {
        let mut due: Vec<OrderDue> = plan
            .servers
            .iter()
            .flat_map(|(name, server)| self.due_on_server(plan, name, server, engines.get(name), now))
            .collect();
        due.sort();
        due
    }

    fn due_on_server(
        &self,
        plan: &Plan,
        name: &ServerName,
        server: &PlannedServer,
        report: Option<&EngineView>,
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
                ReplicaState::Loading if load_is_due(plan, server, id, replica, report) => {
                    due.push(order(OrderKind::Load, Some(id)));
                }
                ReplicaState::Unloading if self.unload_is_due(id, report, now) => {
                    due.push(order(OrderKind::Unload, Some(id)));
                }
                _ => {}
            }
        }
        due.extend(unplanned(plan, report).map(|id| order(OrderKind::Unload, Some(id))));
        due.retain(|it| self.may_attempt(server, it, now));
        due
    }

    fn unload_is_due(&self, id: &ReplicaId, report: Option<&EngineView>, now: Millis) -> bool {
        let is_idle = report.is_some_and(|it| {
            it.replica(id)
                .is_none_or(|replica| replica.running == 0 && replica.waiting == 0)
        });
        is_idle && self.time_in_state(id, now) >= UNLOAD_GRACE_MS
    }

    fn may_attempt(&self, server: &PlannedServer, order: &OrderDue, now: Millis) -> bool {
        let Some(last) = self.attempts.get(&attempt_key(order)) else {
            return true;
        };
        let at_most_once = order.kind == OrderKind::Load && server.forgets_orders;
        match last.answer {
            None => false,
            Some(Answer::Refused) if order.kind == OrderKind::Load => false,
            Some(Answer::Taken | Answer::Unknown) if at_most_once => false,
            Some(_) => now.since(last.at) >= ORDER_RETRY_MS,
        }
    }

    /// Records that an order is about to be sent. Returns false when the ledger is closed and it must not be sent.
    pub fn begin(&mut self, order: &OrderDue, now: Millis) -> bool {
        if self.closed {
            return false;
        }
        let attempt = Attempt { at: now, answer: None };
        self.attempts.insert(attempt_key(order), attempt);
        true
    }

    /// Reverts [`OrderLedger::begin`] for an order that was not sent. With `first`, which says that there was no
    /// earlier attempt, the order counts as never sent; otherwise it counts as one whose answer is unknown.
    pub fn not_sent(&mut self, order: &OrderDue, first: bool) {
        if first {
            self.attempts.remove(&attempt_key(order));
        } else if let Some(it) = self.attempts.get_mut(&attempt_key(order)) {
            it.answer = Some(Answer::Unknown);
        }
    }

    /// Whether the order may have been sent before.
    pub fn was_tried(&self, order: &OrderDue) -> bool {
        self.attempts.contains_key(&attempt_key(order))
    }

    /// Records how an attempt to send an order ended.
    pub fn answered(&mut self, order: &OrderDue, answer: Answer, now: Millis) {
        if let Some(attempt) = self.attempts.get_mut(&attempt_key(order)) {
            attempt.answer = Some(answer);
        }
        if let (OrderKind::Unload, Answer::Taken, Some(id)) = (order.kind, answer, &order.replica) {
            self.unloads_taken.entry(id.clone()).or_insert(now);
        }
    }

    /// Whether a report requested at `requested` is certainly newer than the engine's receipt of this term's fencing
    /// token.
    pub fn fence_confirmed(&self, server: &ServerName, instance: &str, requested: Millis) -> bool {
        let key = (server.clone(), instance.to_owned());
        self.fenced
            .get(&key)
            .is_some_and(|at| requested.since(*at) >= REPORT_LAG_LIMIT_MS)
    }

    /// Whether a report requested at `requested` is certainly newer than the engine's acceptance of the unload order.
    pub fn cancel_confirmed(&self, id: &ReplicaId, requested: Millis) -> bool {
        self.unloads_taken
            .get(id)
            .is_some_and(|at| requested.since(*at) >= REPORT_LAG_LIMIT_MS)
    }

    /// Makes [`OrderLedger::begin`] refuse all further orders.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Replicas decided in `term` whose load order was never sent. The result is final only after
    /// [`OrderLedger::close`].
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

/// On an engine that forgets replica ids, only the holder that decided a load may send it; see the docs of
/// [`crate::plan`].
fn load_is_due(
    plan: &Plan,
    server: &PlannedServer,
    id: &ReplicaId,
    replica: &PlannedReplica,
    report: Option<&EngineView>,
) -> bool {
    let visible = report.is_some_and(|it| it.replica(id).is_some());
    let allowed = !server.forgets_orders || replica.term == plan.term;
    let has_base = replica.adapter.is_none() || plan.has_ready_base(replica);
    !visible && !replica.seen && allowed && has_base
}

fn attempt_key(order: &OrderDue) -> AttemptKey {
    (
        order.kind,
        order.server.clone(),
        order.replica.clone(),
        order.instance.clone(),
    )
}

/// Replicas that hold memory on an engine but are not in the plan, because their load order arrived after their
/// release. Ids of later terms are left out, since this holder may have been superseded without knowing it.
fn unplanned<'a>(plan: &'a Plan, report: Option<&'a EngineView>) -> impl Iterator<Item = &'a ReplicaId> {
    report
        .into_iter()
        .flat_map(|it| &it.replicas)
        .filter(|it| it.presence.holds_memory())
        .map(|it| &it.replica)
        .filter(|id| !plan.replicas.contains_key(*id))
        .filter(|id| plan.term_of(id).is_some_and(|term| term <= plan.term))
}
