//! Orders to engines and their outcomes.

use std::net::SocketAddr;

use guava_core::units::Millis;

use super::{EngineReport, Held, Pending, Placement};

/// Time between questions for the state of an engine that carries out an order. Reports lag by about 100 ms, so asking
/// more often shows nothing earlier.
pub(super) const POLL_MS: u64 = 60;
/// Time from an unanswered order to the question whether it was accepted; reports lag by about 100 ms.
const UNANSWERED_MS: u64 = 250;
/// Part of the expected load time after which the engine is asked for the first time.
const FIRST_POLL_PART: f64 = 0.9;
/// Failed calls in a row after which an engine gets no orders until it answers again.
pub(super) const FAILURES_TO_AVOID: u32 = 3;
/// Time between questions to an engine that does not answer.
const FAILED_POLL_MS: u64 = 500;

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
    /// Load an adapter of a model that is held.
    LoadAdapter(String),
    /// Unload an adapter.
    UnloadAdapter(String),
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Backend server.
    pub server: String,
    /// Its address.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// Model.
    pub model: String,
    /// Number of the order that it must follow.
    pub follows: u64,
}

/// How an engine answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is carried out.
    Accepted,
    /// It held already.
    Done,
    /// Another order is under way, or the engine has accepted another one in between.
    Conflict,
    /// It was refused for good.
    Refused,
    /// No answer; it may be carried out later.
    Unanswered,
}

impl Placement {
    /// Notes the outcome of an order.
    pub fn note_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Millis) {
        let load_ms = self.load_ms(&order.server, &order.model);
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        let Some(pending) = engine.pending.as_mut().filter(|it| it.order == *order) else {
            return;
        };
        if outcome != OrderOutcome::Unanswered {
            engine.failures = 0;
        }
        // The order may have arrived as late as its answer was sent.
        self.order_times.last.insert(order.server.clone(), now);
        match (outcome, &order.kind) {
            // An adapter is there after a few milliseconds; the report that says so comes later.
            (OrderOutcome::Accepted, OrderKind::LoadAdapter(adapter)) => {
                engine.pending = None;
                engine.orders = order.follows + 1;
                if let Some(held) = engine.held.get_mut(&order.model) {
                    held.adapters.insert(adapter.clone(), now);
                }
                self.untold.note(&order.server);
            }
            (OrderOutcome::Accepted, kind) => {
                pending.accepted = true;
                pending.poll_at = now
                    + match kind {
                        OrderKind::Load => (load_ms as f64 * FIRST_POLL_PART) as u64,
                        // The adapter is in use; its slot is free when a report no longer lists it.
                        OrderKind::UnloadAdapter(_) => POLL_MS,
                        OrderKind::Unload | OrderKind::LoadAdapter(_) => 0,
                    };
                engine.orders = order.follows + 1;
            }
            (OrderOutcome::Done, OrderKind::UnloadAdapter(_)) => {
                engine.pending = None;
                engine.orders = order.follows + 1;
            }
            (OrderOutcome::Done, _) => {
                engine.pending = None;
                // Whether an order that held already counts is not stated, so the engine is asked.
                engine.is_known = false;
                engine.next_poll = now + UNANSWERED_MS;
            }
            (OrderOutcome::Conflict | OrderOutcome::Refused, _) => {
                engine.pending = None;
                engine.plan = None;
                engine.is_known = false;
                engine.next_poll = now + POLL_MS;
            }
            (OrderOutcome::Unanswered, _) => {
                pending.sent = false;
                pending.poll_at = now + UNANSWERED_MS;
                engine.failures += 1;
            }
        }
    }

    /// Notes that an engine did not answer a question for its state.
    pub fn note_poll_failed(&mut self, server: &str, now: Millis) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.failures += 1;
            engine.asked = None;
            engine.delay_poll(now, FAILED_POLL_MS);
        }
    }

    /// Takes the reported state of an engine; true when what it is known to hold has changed.
    pub fn note_state(&mut self, server: &str, report: &EngineReport, now: Millis) -> bool {
        let Some(engine) = self.engines.get_mut(server) else {
            return false;
        };
        engine.failures = 0;
        engine.asked = None;
        engine.in_memory = report.in_memory.iter().cloned().collect();
        engine.on_disk.extend(report.on_disk.iter().cloned());
        // The report may be older than the last order.
        if report.orders < engine.orders || report.is_busy {
            return false;
        }
        if let Some(pending) = &mut engine.pending {
            if pending.sent && !pending.accepted {
                return false;
            }
            let is_held = report.held.iter().any(|it| it.name == pending.order.model);
            let is_unfinished = match pending.order.kind {
                OrderKind::Load => !is_held,
                OrderKind::Unload => is_held,
                OrderKind::LoadAdapter(_) => false,
                OrderKind::UnloadAdapter(ref adapter) => report.holds_adapter(&pending.order.model, adapter),
            };
            // An engine that waits for an adapter's requests to end does not change its count, and reports lag, so one
            // from right after the acceptance may not show the order yet. Where an unanswered order was not accepted,
            // any further one carries the same number, so that at most one of the two is accepted, whenever it arrives.
            let waits_for_requests = matches!(pending.order.kind, OrderKind::UnloadAdapter(_));
            let may_lag = report.orders <= pending.order.follows;
            if pending.accepted && is_unfinished && (waits_for_requests || may_lag) {
                return false;
            }
        } else if engine.is_known && report.orders == engine.orders {
            return false;
        }
        engine.pending = None;
        engine.is_known = true;
        engine.adopt(report.orders, &report.held, now);
        self.untold.note(server);
        true
    }

    /// Marks an order as sent and keeps what it will change.
    pub(super) fn start_order(&mut self, order: &Order, from_store: bool, now: Millis) {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        match &order.kind {
            OrderKind::Load => {
                let held = Held {
                    is_ready: false,
                    since: now,
                    adapters: std::collections::BTreeMap::new(),
                };
                engine.held.insert(order.model.clone(), held);
                if from_store {
                    self.store_loads.push(now);
                }
            }
            OrderKind::Unload => {
                if let Some(held) = engine.held.get_mut(&order.model) {
                    held.is_ready = false;
                }
                self.untold.note(&order.server);
            }
            OrderKind::UnloadAdapter(adapter) => {
                if let Some(held) = engine.held.get_mut(&order.model) {
                    held.adapters.remove(adapter);
                }
                self.untold.note(&order.server);
            }
            OrderKind::LoadAdapter(_) => {}
        }
        self.order_times.last.insert(order.server.clone(), now);
        engine.pending = Some(Pending {
            order: order.clone(),
            from_store,
            accepted: false,
            sent: true,
            poll_at: now,
        });
    }
}
