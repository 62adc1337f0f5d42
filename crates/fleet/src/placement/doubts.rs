//! Models that an engine is said to lack although it is listed as holding them.
//!
//! An engine that answers a request with the statement that it does not hold the model is asked for its state. Until the
//! state is known, nothing changes: the VM that was turned away has named another server or waits. If the engine lists
//! the model all the same, its models are published again, which lets requests return. If it goes on to refuse them, its
//! replica does not count, so that the model is loaded elsewhere.

use std::collections::BTreeMap;

use guava_core::units::Millis;

use super::{Engine, EngineReport, LackedModel, Placement, orders};

/// Age of a doubt from which a report that lists the model answers it. Reports lag by about 100 ms.
const REPORT_LAG_MS: u64 = 150;
/// Time after a report that lists a model within which another refusal shows that the engine does not serve it.
const REFUSES_AGAIN_MS: u64 = 3_000;
/// Time for which the replica of such an engine does not count.
const REFUSING_MS: u64 = 10_000;
/// Limit on the doubts about one engine.
const MAX_DOUBTS: usize = 64;
/// Limit on the doubts that one report of a VM may raise.
const MAX_REPORTED: usize = 256;

/// Model and adapter.
type Doubted = (String, Option<String>);

/// Doubts about what an engine holds.
#[derive(Debug, Default)]
pub(super) struct Doubts {
    /// When a doubt arose.
    open: BTreeMap<Doubted, Millis>,
    /// When the engine last listed what had been in doubt.
    listed: BTreeMap<Doubted, Millis>,
    /// Until when the engine's replica of a model does not count.
    refusing: BTreeMap<String, Millis>,
    /// When the engine would have been polled without the doubts.
    planned_poll: Option<Millis>,
}

impl Doubts {
    /// Whether a doubt is so recent that a report may be older.
    pub(super) fn awaits_report(&self, now: Millis) -> bool {
        self.open.values().any(|it| now.since(*it) < REPORT_LAG_MS)
    }

    /// Drops the doubts because the state of the engine was replaced.
    pub(super) fn clear(&mut self) {
        self.open.clear();
        self.planned_poll = None;
    }

    /// Whether requests for a model have been refused although the engine lists it.
    pub(super) fn is_refusing(&self, model: &str, now: Millis) -> bool {
        self.refusing.get(model).is_some_and(|until| now < *until)
    }

    /// Raises a doubt. Returns whether it needs a report.
    fn raise(&mut self, doubted: Doubted, now: Millis) -> bool {
        self.listed.retain(|_, at| now.since(*at) < REFUSES_AGAIN_MS);
        self.refusing.retain(|_, until| now < *until);
        if self.open.contains_key(&doubted) || self.is_refusing(&doubted.0, now) {
            return false;
        }
        if doubted.1.is_none() && self.listed.contains_key(&doubted) {
            self.refusing.insert(doubted.0, now + REFUSING_MS);
            return false;
        }
        if self.open.len() >= MAX_DOUBTS {
            return false;
        }
        self.open.insert(doubted, now);
        true
    }
}

impl Placement {
    /// Records the models that servers turned out to lack, as a VM reports them. Their engines are asked for their state.
    pub fn record_lacking(&mut self, lacking: Vec<LackedModel>, now: Millis) {
        for it in lacking.into_iter().take(MAX_REPORTED) {
            let engine = self.engines.get_mut(&it.server);
            let Some(engine) = engine.filter(|engine| engine.server.born_ms == it.born_ms) else {
                continue;
            };
            let held = engine.held.get(&it.model).filter(|held| held.is_ready);
            let is_listed = held.is_some_and(|held| it.adapter.iter().all(|it| held.adapters.contains_key(it)));
            if is_listed && engine.doubts.raise((it.model, it.adapter), now) {
                engine.is_confirmed = false;
                engine.next_poll = now + REPORT_LAG_MS;
                if let Some(pending) = &mut engine.pending {
                    engine.doubts.planned_poll.get_or_insert(pending.poll_at);
                    pending.poll_at = pending.poll_at.min(now + REPORT_LAG_MS);
                }
            }
        }
    }
}

impl Engine {
    /// Answers the doubts about the engine by a report of its state. Returns whether the VMs need an update of what it holds.
    pub(super) fn resolve_doubts(&mut self, report: &EngineReport, now: Millis) -> bool {
        let follows_orders = self.pending.as_ref().is_none_or(|it| it.accepted);
        if self.doubts.open.is_empty() || !follows_orders || report.orders < self.accepted_orders {
            return false;
        }
        let mut is_answered = false;
        for (doubted, since) in std::mem::take(&mut self.doubts.open) {
            let (model, adapter) = &doubted;
            let held = report.held.iter().find(|it| it.name == *model);
            let is_listed = held.is_some_and(|held| adapter.iter().all(|it| held.adapters.contains(it)));
            if is_listed && now.since(since) < REPORT_LAG_MS {
                self.doubts.open.insert(doubted, since);
                continue;
            }
            is_answered = true;
            if is_listed {
                self.doubts.listed.insert(doubted, now);
                continue;
            }
            // Its memory counts as taken until a report follows that shows the engine idle.
            if let Some(held) = self.held.get_mut(model) {
                match adapter {
                    Some(adapter) => {
                        held.adapters.remove(adapter);
                    }
                    None => held.is_ready = false,
                }
            }
        }
        if self.doubts.open.is_empty()
            && let Some(planned) = self.doubts.planned_poll.take()
            && let Some(pending) = &mut self.pending
        {
            pending.poll_at = planned.max(now + orders::POLL_MS);
        }
        is_answered
    }
}
