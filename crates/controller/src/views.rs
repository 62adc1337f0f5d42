//! Conversions between the types of the engine interface and those of the plan and the order ledger.

use guava_core::ids::ReplicaId;
use guava_core::orders::{Answer, OrderDue, OrderKind};
use guava_core::plan::{CacheTier, CacheView, EngineView, Plan, Presence, ReplicaView};
use guava_engine::{Action, EngineError, EngineReplicaState, EngineReport, Order, Tier};

/// Converts an engine's report to the form that the plan takes.
pub fn engine_view(report: &EngineReport) -> EngineView {
    let replicas = report.replicas.iter().map(|it| ReplicaView {
        replica: it.replica.clone(),
        presence: match it.state {
            EngineReplicaState::Loading => Presence::Loading,
            EngineReplicaState::Ready => Presence::Ready,
            EngineReplicaState::Failed => Presence::Failed,
            EngineReplicaState::Ended => Presence::Ended,
        },
        running: it.running,
        waiting: it.waiting,
    });
    let cached = report.cached.iter().map(|it| CacheView {
        name: it.model.to_string(),
        version: it.version,
        tier: match it.tier {
            Tier::Memory => CacheTier::Memory,
            Tier::Disk => CacheTier::Disk,
            Tier::Remote => CacheTier::Remote,
        },
    });
    EngineView {
        instance: report.instance.clone(),
        term: report.term,
        leaving: report.leaving,
        memory_bytes: report.memory_bytes,
        replicas: replicas.collect(),
        cached: cached.collect(),
    }
}

/// Builds the order to send, or returns `None` when the plan no longer has the replica to load.
pub fn order_for(due: &OrderDue, plan: &Plan) -> Option<Order> {
    let action = match due.kind {
        OrderKind::Fence => Action::Fence,
        OrderKind::Unload => Action::Unload,
        OrderKind::Load => {
            let replica = plan.replicas.get(due.replica.as_ref()?)?;
            Action::Load {
                model: replica.model.clone(),
                version: replica.version,
                adapter: replica.adapter.clone(),
                bytes: replica.bytes,
            }
        }
    };
    Some(Order {
        replica: due.replica.clone().unwrap_or_else(|| ReplicaId::new("")),
        term: due.term,
        instance: Some(due.instance.clone()),
        action,
    })
}

/// Converts the result of sending an order to the answer that the ledger records.
pub fn ledger_answer(result: &Result<(), EngineError>) -> Answer {
    match result {
        Ok(()) => Answer::Taken,
        Err(EngineError::Unreachable(_)) => Answer::Unreachable,
        Err(EngineError::OutcomeUnknown(_)) => Answer::Unknown,
        Err(EngineError::Fenced(_)) => Answer::Fenced,
        Err(EngineError::Refused(_)) => Answer::Refused,
    }
}
