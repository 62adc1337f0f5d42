//! Bounds on the measures of a trace. They come from the stated targets, not from measured values.

use guava_core::derive_value;

use crate::figures::Figures;
use crate::pool::Policy;

derive_value! {
    /// Contents of an `.expect.json` file: bounds on the measures of the cost policy. An absent bound is not checked.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Expected {
        /// Largest p99 cold start, as a fraction of that of the naive policy.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cold_p99_part_of_naive: Option<f64>,
        /// Largest p99 cold start in milliseconds, the target of the profile.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cold_p99_ms: Option<u64>,
        /// Smallest fraction of its entitled tokens (0 to 1) that every organisation is served.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub worst_served: Option<f64>,
        /// Largest number of requests refused within the rate in excess of the unavoidable ones.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub refused_beyond_bound: Option<u64>,
        /// Largest idle accelerator hours, as a fraction of those of the naive policy. Only meaningful on a trace of
        /// which both policies answer equally many requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub idle_part_of_naive: Option<f64>,
        /// Largest number of deferred requests that are unanswered at the end of the replay.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deferred_left: Option<u64>,
    }
}

impl Expected {
    /// Returns a message for each bound that the cost policy misses. `naive` is the baseline for the relative bounds
    /// and must come from the same trace.
    pub fn misses(&self, cost: &Figures, naive: &Figures) -> Vec<String> {
        debug_assert_eq!((cost.policy, naive.policy), (Policy::Cost, Policy::Naive));
        let mut misses = Vec::new();
        let mut check_at_most = |measure: &str, limit: Option<f64>, value: f64| {
            if let Some(limit) = limit.filter(|it| value > *it) {
                misses.push(format!(
                    "{}: {measure} is {value:.3}, at most {limit:.3} expected",
                    cost.trace
                ));
            }
        };
        let p99_ms = |it: &Figures| it.cold_start_with_refused.p99.as_secs_f64() * 1_000.0;
        let cold_start_limit = self.cold_p99_part_of_naive.map(|it| it * p99_ms(naive));
        check_at_most(
            "p99 cold start in ms (limit relative to naive)",
            cold_start_limit,
            p99_ms(cost),
        );
        check_at_most(
            "p99 cold start in ms",
            self.cold_p99_ms.map(|it| it as f64),
            p99_ms(cost),
        );
        check_at_most(
            "unserved fraction of the worst-served organisation's tokens",
            self.worst_served.map(|it| 1.0 - it),
            1.0 - cost.worst_served.1,
        );
        let avoidable = cost.refused.saturating_sub(cost.refused_min) as f64;
        check_at_most(
            "avoidable refusals within the rate",
            self.refused_beyond_bound.map(|it| it as f64),
            avoidable,
        );
        let idle_limit = self.idle_part_of_naive.map(|it| it * naive.idle_hours);
        check_at_most("idle accelerator hours", idle_limit, cost.idle_hours);
        check_at_most(
            "unanswered deferred requests",
            self.deferred_left.map(|it| it as f64),
            cost.deferred_unanswered as f64,
        );
        misses
    }
}
