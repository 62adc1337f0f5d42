//! Retry budgets of the services.

use std::sync::Arc;

use guava_core::units::Millis;
use guava_fleet::budget::BudgetLimits;

use super::{EntryState, now};

impl EntryState {
    /// Takes one retry from the budget of a service; `None` if the budget does not allow it.
    pub fn try_retry(self: &Arc<Self>, service: &str, now: Millis) -> Option<TakenRetry> {
        let limits = self.budget_limits(now);
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.try_retry(now, limits).then(|| TakenRetry {
            state: Arc::clone(self),
            service: service.to_owned(),
            is_sent: false,
        })
    }

    /// Whether a retry can be taken from the budget of a service.
    pub fn has_retry(&self, service: &str, now: Millis) -> bool {
        let limits = self.budget_limits(now);
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.has_retry(now, limits)
    }

    fn budget_limits(&self, now: Millis) -> BudgetLimits {
        let window_ms = self.settings.retry_window_ms;
        // At the first start of the whole deployment there is no predecessor whose retries count.
        let has_share = self.settings.is_first_start || self.uptime_ms(now) >= window_ms;
        // Seeds are other VMs, also while none of them has answered.
        let sharers = self.vms().max(self.settings.seeds.len());
        BudgetLimits {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window_ms,
            sharers: if has_share { sharers } else { 0 },
        }
    }

    /// Counts a caller's request towards the retry budget of a service.
    pub fn record_request(&self, service: &str, now: Millis) {
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_request(now, self.settings.retry_window_ms);
    }
}

/// Retry that was taken from the budget of a service. It is returned when the value is dropped before the retry is sent.
#[derive(Debug)]
pub struct TakenRetry {
    state: Arc<EntryState>,
    service: String,
    is_sent: bool,
}

impl TakenRetry {
    /// Records that the retry is sent now.
    pub fn record_sent(mut self) {
        self.is_sent = true;
    }
}

impl Drop for TakenRetry {
    fn drop(&mut self) {
        let mut budgets = self.state.budgets.lock();
        if let Some(budget) = budgets.get_mut(&self.service) {
            if self.is_sent {
                budget.record_sent(now());
            } else {
                budget.return_retry();
            }
        }
    }
}
