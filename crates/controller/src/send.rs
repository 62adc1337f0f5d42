//! Sends the orders of a confirmed plan to the engines.

use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_core::ids::ReplicaId;
use guava_core::orders::{Answer, OrderDue, OrderKind, OrderLedger};
use guava_core::plan::Plan;
use guava_engine::EngineError;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::shared::{PoolState, Shared};
use crate::views;

/// Answer to an order that the worker must apply to the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine permanently refused to load the replica.
    LoadRefused(ReplicaId),
    /// The engine has seen the fencing token of a newer term, so another process holds the lease.
    Fenced,
}

/// Starts a task for every order that is due. Each task sends its order once, records the answer in the ledger and
/// wakes the worker; answers that change the plan go to `outcomes`.
pub fn send_due_orders(
    shared: &Arc<Shared>,
    pool: &Arc<PoolState>,
    plan: &Arc<Plan>,
    outcomes: &mpsc::UnboundedSender<OrderOutcome>,
) {
    let now = shared.now();
    let views = pool.recent_views(now);
    let ledger = pool.ledger();
    let due = ledger.lock().due(plan, &views, now);
    for order in due {
        let is_first_attempt = !ledger.lock().was_tried(&order);
        if !ledger.lock().begin(&order, now) {
            continue;
        }
        let order_task = OrderTask {
            shared: Arc::clone(shared),
            pool: Arc::clone(pool),
            ledger: Arc::clone(&ledger),
            plan: Arc::clone(plan),
            due: order,
            is_first_attempt,
        };
        tokio::spawn(send_order(order_task, outcomes.clone()));
    }
}

/// An order to send and what its task needs.
struct OrderTask {
    shared: Arc<Shared>,
    pool: Arc<PoolState>,
    ledger: Arc<Mutex<OrderLedger>>,
    plan: Arc<Plan>,
    due: OrderDue,
    /// Whether no earlier attempt can have reached the engine.
    is_first_attempt: bool,
}

async fn send_order(order_task: OrderTask, outcomes: mpsc::UnboundedSender<OrderOutcome>) {
    let OrderTask {
        shared,
        pool,
        ledger,
        plan,
        due,
        is_first_attempt,
    } = order_task;
    let config = shared.config();
    let addr = config.servers.get(&due.server).map(|it| it.addr);
    let (Some(addr), Some(order)) = (addr, views::order_for(&due, &plan)) else {
        ledger.lock().not_sent(&due, is_first_attempt);
        return;
    };
    let limit = Duration::from_millis(shared.args.engine_timeout_ms);
    // The lease check is the last step before the order is sent. An order that is delayed after this point does no
    // harm, because the plan keeps the replica's memory reserved until the order cannot take effect any more.
    if shared.held_term(&pool.lease) != Some(due.term) {
        ledger.lock().not_sent(&due, is_first_attempt);
        return;
    }
    let response = tokio::time::timeout(limit, shared.engine.order(addr, &order)).await;
    let result = response.unwrap_or_else(|_| Err(EngineError::OutcomeUnknown("time limit".to_owned())));
    let answer = views::ledger_answer(&result);
    ledger.lock().answered(&due, answer, shared.now());
    record_result(&shared, &plan, &due, &result, is_first_attempt);
    let outcome = match (answer, due.kind, &due.replica) {
        (Answer::Refused, OrderKind::Load, Some(id)) => Some(OrderOutcome::LoadRefused(id.clone())),
        (Answer::Fenced, ..) => Some(OrderOutcome::Fenced),
        _ => None,
    };
    if let Some(outcome) = outcome {
        // Sending fails only after the worker has stopped, when the outcome is no longer needed.
        drop(outcomes.send(outcome));
    }
    pool.wake.notify_one();
}

fn record_result(
    shared: &Shared,
    plan: &Plan,
    due: &OrderDue,
    result: &Result<(), EngineError>,
    is_first_attempt: bool,
) {
    let replica = due.replica.as_ref().and_then(|id| plan.replicas.get(id));
    let name = replica.map(guava_core::plan::PlannedReplica::name);
    let id = due.replica.as_ref().map_or("", ReplicaId::as_str);
    let server = &due.server;
    match (due.kind, result) {
        (OrderKind::Load, Err(error)) => {
            let detail = format!("replica {id} on {server}: {error}");
            shared.node.timeline.record(Event::LoadFailed, None, name, &detail);
        }
        (OrderKind::Load, Ok(())) if is_first_attempt => {
            let detail = format!("replica {id} on {server}");
            shared.node.timeline.record(Event::LoadOrdered, None, name, &detail);
        }
        (_, Err(error)) => log::warn!("{:?} order for {id} on {server}: {error}", due.kind),
        _ => {}
    }
}
