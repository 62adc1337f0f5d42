//! Budget of repeated sends to a service, shared by all VMs.
//!
//! The fleet may repeat a fixed part of the requests that callers sent, plus a constant, within a window. Each VM keeps
//! to the same part of the requests that it took itself and to its share of the constant, so no agreement is needed.

use std::collections::VecDeque;

use guava_core::units::Millis;

/// Part of the fleet's budget that is used; the rest covers sends that a VM counts and the judge counts otherwise.
const USED_PART: f64 = 0.8;

/// Budget of one service at one VM.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

/// Limits of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct BudgetLimits {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio in a window, over all VMs.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// VMs that share the slack.
    pub vms: usize,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn note_request(&mut self, now: Millis) {
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget.
    pub fn try_repeat(&mut self, now: Millis, limits: BudgetLimits) -> bool {
        drop_before(&mut self.requests, now, limits.window_ms);
        drop_before(&mut self.repeats, now, limits.window_ms);
        let share = limits.slack / limits.vms.max(1) as f64;
        let allowed = USED_PART * (limits.ratio * self.requests.len() as f64 + share);
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn drop_before(times: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while times.front().is_some_and(|it| now.since(*it) > window_ms) {
        times.pop_front();
    }
}
