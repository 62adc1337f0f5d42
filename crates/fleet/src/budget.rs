//! Retry budget of a service, shared by all VMs.
//!
//! Within a window the fleet may retry a fixed fraction of the requests that callers sent, plus a constant. Each VM
//! applies the fraction to the requests that it received itself and gets an equal share of the constant, so the VMs
//! need not coordinate.
//!
//! A process knows nothing of the retries of its predecessor on the VM. It takes no share of the constant until a window
//! has passed since its start, when these no longer count. A retry counts from when it is taken until a window after it
//! was sent, because it may wait for a server in between.

use std::collections::VecDeque;

use guava_core::units::Millis;

/// Fraction of the fleet's budget that is used. The rest is a margin for retries that a VM counts differently than an
/// outside observer of the limit.
const USED_FRACTION: f64 = 0.8;

/// Retry budget of one service at one VM.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// Retries that have been taken and not been sent yet.
    pending: u32,
}

/// Limits on the retries of the whole fleet.
#[derive(Debug, Clone, Copy)]
pub struct BudgetLimits {
    /// Retries allowed per request of a caller.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio, over all VMs.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Number of VMs that share the slack; zero if this VM takes no share.
    pub sharers: usize,
}

impl RetryBudget {
    /// Counts a request of a caller; it adds to the budget for one window, of `window_ms` milliseconds.
    pub fn record_request(&mut self, now: Millis, window_ms: u64) {
        drop_before(&mut self.requests, now, window_ms);
        self.requests.push_back(now);
    }

    /// Whether a retry can be taken from the budget.
    pub fn has_retry(&mut self, now: Millis, limits: BudgetLimits) -> bool {
        drop_before(&mut self.requests, now, limits.window_ms);
        drop_before(&mut self.retries, now, limits.window_ms);
        let share = match limits.sharers {
            0 => 0.0,
            sharers => limits.slack / sharers as f64,
        };
        let allowed = USED_FRACTION * (limits.ratio * self.requests.len() as f64 + share);
        self.retries.len() as f64 + f64::from(self.pending) + 1.0 <= allowed
    }

    /// Takes one retry from the budget, until it is sent or returned. Returns false if the budget is used up.
    pub fn try_retry(&mut self, now: Millis, limits: BudgetLimits) -> bool {
        let has_retry = self.has_retry(now, limits);
        self.pending += u32::from(has_retry);
        has_retry
    }

    /// Records that a retry that was taken is sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.return_retry();
        self.retries.push_back(now);
    }

    /// Returns a retry that was taken and is not sent.
    pub fn return_retry(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }
}

fn drop_before(times: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while times.front().is_some_and(|it| now.since(*it) > window_ms) {
        times.pop_front();
    }
}
