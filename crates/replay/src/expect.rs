//! Expected outcome of a trace, with bounds from the stated aims.

use guava_core::derive_value;

use crate::figures::Figures;
use crate::pool::Policy;

derive_value! {
    /// Bounds on the measures of the policy in use; a bound that is left out is not checked.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Expected {
        /// Largest part of naive's p99 cold start.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cold_p99_part_of_naive: Option<f64>,
        /// Largest p99 cold start in milliseconds: the profile's target.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cold_p99_ms: Option<u64>,
        /// Smallest part of its entitled tokens that each organisation gets.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub worst_served: Option<f64>,
        /// Most requests refused although within the rate, beyond the unavoidable ones.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub refused_beyond_bound: Option<u64>,
        /// Largest part of naive's idle accelerator hours, when as many requests are answered.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub idle_part_of_naive: Option<f64>,
        /// Deferred requests not answered in the end.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deferred_left: Option<u64>,
    }
}

impl Expected {
    /// Bounds that the policy in use misses, against naive in the same run.
    pub fn misses(&self, cost: &Figures, naive: &Figures) -> Vec<String> {
        debug_assert_eq!((cost.policy, naive.policy), (Policy::Cost, Policy::Naive));
        let mut misses = Vec::new();
        let mut at_most = |what: &str, limit: Option<f64>, value: f64| {
            if let Some(limit) = limit.filter(|it| value > *it) {
                misses.push(format!(
                    "{}: {what} is {value:.3}, at most {limit:.3} expected",
                    cost.trace
                ));
            }
        };
        let millis = |it: &Figures| it.cold_with_refused.p99.as_secs_f64() * 1_000.0;
        let cold_limit = self.cold_p99_part_of_naive.map(|it| it * millis(naive));
        at_most("p99 cold start in ms against naive", cold_limit, millis(cost));
        at_most(
            "p99 cold start in ms",
            self.cold_p99_ms.map(|it| it as f64),
            millis(cost),
        );
        at_most(
            "unserved part of the worst-served",
            self.worst_served.map(|it| 1.0 - it),
            1.0 - cost.worst.1,
        );
        let beyond = cost.refused.saturating_sub(cost.refused_bound) as f64;
        at_most(
            "requests refused within the rate",
            self.refused_beyond_bound.map(|it| it as f64),
            beyond,
        );
        let idle_limit = self.idle_part_of_naive.map(|it| it * naive.idle_hours);
        at_most("idle accelerator hours", idle_limit, cost.idle_hours);
        at_most(
            "deferred requests left",
            self.deferred_left.map(|it| it as f64),
            cost.deferred_left as f64,
        );
        misses
    }
}
