//! Orders to engines and their outcomes.

use std::net::SocketAddr;

use guava_core::units::Millis;

use super::{EngineReport, ModelState, PendingOrder, Placement};

/// Interval between polls of an engine that carries out an order. Reports lag by about 100 ms, so polling more often
/// shows nothing earlier.
pub(super) const POLL_MS: u64 = 60;
/// Delay from an unanswered order to the poll that shows whether it was accepted; reports lag by about 100 ms.
const UNANSWERED_POLL_MS: u64 = 250;
/// Fraction of the expected load time after which the engine is polled for the first time.
const FIRST_POLL_FRACTION: f64 = 0.9;
/// Consecutive failed calls after which an engine gets no orders until it answers again.
pub(super) const MAX_FAILED_CALLS: u32 = 3;
/// Interval between polls of an engine that does not answer.
const FAILED_POLL_MS: u64 = 500;

/// Operation that an engine is ordered to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the weights of a model.
    Load,
    /// Unload a model with its adapters.
    Unload,
    /// Load the named adapter of a loaded model.
    LoadAdapter(String),
    /// Unload the named adapter of a loaded model.
    UnloadAdapter(String),
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Id of the backend server.
    pub server: String,
    /// Address to which the order is sent.
    pub address: SocketAddr,
    /// Operation to carry out.
    pub kind: OrderKind,
    /// Model to which the operation applies.
    pub model: String,
    /// Number of orders that the engine must have accepted before this one; it rejects the order otherwise.
    pub follows: u64,
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries the order out.
    Accepted,
    /// Nothing is left to do: the engine is in the ordered state already.
    Done,
    /// Another order is being carried out, or the engine has accepted another one in the meantime.
    Conflict,
    /// The engine refused the order, and would refuse it again.
    Refused,
    /// No answer arrived; the engine may still carry the order out later.
    Unanswered,
}

impl Placement {
    /// Records the outcome of an order. Outcomes of orders that are no longer pending are ignored.
    pub fn record_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Millis) {
        let load_ms = self.load_ms(&order.server, &order.model);
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        let Some(pending) = engine.pending.as_mut().filter(|it| it.order == *order) else {
            return;
        };
        if outcome != OrderOutcome::Unanswered {
            engine.failed_calls = 0;
        }
        // The order may have arrived as late as its answer was sent.
        self.order_times.last_order.insert(order.server.clone(), now);
        match (outcome, &order.kind) {
            // An adapter is loaded within a few milliseconds; the report that lists it comes later.
            (OrderOutcome::Accepted, OrderKind::LoadAdapter(adapter)) => {
                engine.pending = None;
                engine.accepted_orders = order.follows + 1;
                if let Some(held) = engine.held.get_mut(&order.model) {
                    held.adapters.insert(adapter.clone(), now);
                }
                self.unpublished.note(&order.server);
            }
            (OrderOutcome::Accepted, kind) => {
                pending.accepted = true;
                pending.poll_at = now
                    + match kind {
                        OrderKind::Load => (load_ms as f64 * FIRST_POLL_FRACTION) as u64,
                        // The adapter is still in use; its slot is free once a report no longer lists it.
                        OrderKind::UnloadAdapter(_) => POLL_MS,
                        OrderKind::Unload | OrderKind::LoadAdapter(_) => 0,
                    };
                engine.accepted_orders = order.follows + 1;
            }
            (OrderOutcome::Done, OrderKind::UnloadAdapter(_)) => {
                engine.pending = None;
                engine.accepted_orders = order.follows + 1;
            }
            (OrderOutcome::Done, _) => {
                engine.pending = None;
                // The answer does not say whether the engine counted such an order, so the engine is polled.
                engine.is_confirmed = false;
                engine.next_poll = now + UNANSWERED_POLL_MS;
            }
            (OrderOutcome::Conflict | OrderOutcome::Refused, _) => {
                engine.pending = None;
                engine.plan = None;
                engine.is_confirmed = false;
                engine.next_poll = now + POLL_MS;
            }
            (OrderOutcome::Unanswered, _) => {
                pending.sent = false;
                pending.poll_at = now + UNANSWERED_POLL_MS;
                engine.failed_calls += 1;
            }
        }
    }

    /// Records that an engine did not answer a poll of its state.
    pub fn record_poll_failure(&mut self, server: &str, now: Millis) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.failed_calls += 1;
            engine.polled_at = None;
            engine.delay_poll(now, FAILED_POLL_MS);
        }
    }

    /// Applies the reported state of an engine. Returns true if it replaced what the engine is known to hold, and false
    /// if the report is outdated, changes nothing or comes before the pending order has finished.
    pub fn record_state(&mut self, server: &str, report: &EngineReport, now: Millis) -> bool {
        let Some(engine) = self.engines.get_mut(server) else {
            return false;
        };
        engine.failed_calls = 0;
        engine.polled_at = None;
        engine.in_memory = report.in_memory.iter().cloned().collect();
        engine.on_disk.extend(report.on_disk.iter().cloned());
        if engine.resolve_doubts(report, now) {
            self.unpublished.note(server);
        }
        if engine.doubts.awaits_report(now) {
            return false;
        }
        // The report may be older than the last order.
        if report.orders < engine.accepted_orders || report.is_busy {
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
            // While an engine waits for an adapter's requests to end, its count of orders does not change. Reports also
            // lag, so one from right after the acceptance may not show the order yet. If an unanswered order was not
            // accepted, the next order carries the same number, so at most one of the two is accepted, whenever it
            // arrives.
            let waits_for_requests = matches!(pending.order.kind, OrderKind::UnloadAdapter(_));
            let may_lag = report.orders <= pending.order.follows;
            if pending.accepted && is_unfinished && (waits_for_requests || may_lag) {
                return false;
            }
        } else if engine.is_confirmed && report.orders == engine.accepted_orders {
            return false;
        }
        engine.pending = None;
        engine.is_confirmed = true;
        engine.set_state(report.orders, &report.held, now);
        engine.doubts.clear();
        self.unpublished.note(server);
        true
    }

    /// Records an order as sent and applies its expected effect on what the engine holds.
    pub(super) fn start_order(&mut self, order: &Order, from_store: bool, now: Millis) {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        match &order.kind {
            OrderKind::Load => {
                let held = ModelState {
                    is_ready: false,
                    since: now,
                    adapters: std::collections::BTreeMap::new(),
                };
                engine.held.insert(order.model.clone(), held);
                if from_store {
                    self.recent_store_loads.push(now);
                }
            }
            OrderKind::Unload => {
                if let Some(held) = engine.held.get_mut(&order.model) {
                    held.is_ready = false;
                }
                self.unpublished.note(&order.server);
            }
            OrderKind::UnloadAdapter(adapter) => {
                if let Some(held) = engine.held.get_mut(&order.model) {
                    held.adapters.remove(adapter);
                }
                self.unpublished.note(&order.server);
            }
            OrderKind::LoadAdapter(_) => {}
        }
        self.order_times.last_order.insert(order.server.clone(), now);
        engine.pending = Some(PendingOrder {
            order: order.clone(),
            from_store,
            accepted: false,
            sent: true,
            poll_at: now,
        });
    }
}
