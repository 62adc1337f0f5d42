//! Sends the orders of a confirmed plan.

use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_core::ids::ReplicaId;
use guava_core::orders::{Answer, Ledger, OrderDue, OrderKind};
use guava_core::plan::Plan;
use guava_engine::EngineError;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::shared::{PoolState, Shared};
use crate::views;

/// What an order's answer means for the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A load order was refused for good.
    LoadRefused(ReplicaId),
    /// A newer holder exists.
    Fenced,
}

/// Starts sending every order that is due.
pub fn send_due(
    shared: &Arc<Shared>,
    pool: &Arc<PoolState>,
    plan: &Arc<Plan>,
    outcomes: &mpsc::UnboundedSender<Outcome>,
) {
    let now = shared.now();
    let views = pool.recent_views(now);
    let ledger = pool.ledger();
    let due = ledger.lock().due(plan, &views, now);
    for order in due {
        let first = !ledger.lock().was_tried(&order);
        if !ledger.lock().begin(&order, now) {
            continue;
        }
        let sending = Sending {
            shared: Arc::clone(shared),
            pool: Arc::clone(pool),
            ledger: Arc::clone(&ledger),
            plan: Arc::clone(plan),
            due: order,
            first,
        };
        tokio::spawn(send(sending, outcomes.clone()));
    }
}

/// An order on its way.
struct Sending {
    shared: Arc<Shared>,
    pool: Arc<PoolState>,
    ledger: Arc<Mutex<Ledger>>,
    plan: Arc<Plan>,
    due: OrderDue,
    first: bool,
}

async fn send(sending: Sending, outcomes: mpsc::UnboundedSender<Outcome>) {
    let Sending {
        shared,
        pool,
        ledger,
        plan,
        due,
        first,
    } = sending;
    let config = shared.config();
    let addr = config.servers.get(&due.server).map(|it| it.addr);
    let (Some(addr), Some(order)) = (addr, views::order(&due, &plan)) else {
        ledger.lock().not_sent(&due, first);
        return;
    };
    let limit = Duration::from_millis(shared.args.engine_timeout_ms);
    // The lease is checked last before the send; a pause after this point is covered by the plan's release rules.
    if shared.held(&pool.lease) != Some(due.term) {
        ledger.lock().not_sent(&due, first);
        return;
    }
    let sent = tokio::time::timeout(limit, shared.engine.order(addr, &order)).await;
    let result = sent.unwrap_or_else(|_| Err(EngineError::OutcomeUnknown("time limit".to_owned())));
    let answer = views::answer(&result);
    ledger.lock().answered(&due, answer, shared.now());
    record(&shared, &plan, &due, &result, first);
    let outcome = match (answer, due.kind, &due.replica) {
        (Answer::Refused, OrderKind::Load, Some(id)) => Some(Outcome::LoadRefused(id.clone())),
        (Answer::Fenced, ..) => Some(Outcome::Fenced),
        _ => None,
    };
    if let Some(outcome) = outcome {
        // The receiver is gone only when the worker has stopped and the outcome no longer matters.
        drop(outcomes.send(outcome));
    }
    pool.wake.notify_one();
}

fn record(shared: &Shared, plan: &Plan, due: &OrderDue, result: &Result<(), EngineError>, first: bool) {
    let replica = due.replica.as_ref().and_then(|id| plan.replicas.get(id));
    let name = replica.map(guava_core::plan::PlannedReplica::name);
    let id = due.replica.as_ref().map_or("", ReplicaId::as_str);
    let server = &due.server;
    match (due.kind, result) {
        (OrderKind::Load, Err(error)) => {
            let detail = format!("replica {id} on {server}: {error}");
            shared.node.timeline.record(Event::LoadFailed, None, name, &detail);
        }
        (OrderKind::Load, Ok(())) if first => {
            let detail = format!("replica {id} on {server}");
            shared.node.timeline.record(Event::LoadOrdered, None, name, &detail);
        }
        (_, Err(error)) => log::warn!("{:?} order for {id} on {server}: {error}", due.kind),
        _ => {}
    }
}
