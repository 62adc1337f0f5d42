//! Command-line flags and environment variables of the controller, with their accepted ranges.

/// Command-line flags and environment variables of the controller.
#[derive(Debug, Clone, clap::Args)]
pub struct ControllerArgs {
    /// Loading policy: `cost`, or `naive` as a baseline for comparison.
    #[arg(long, env = "GUAVA_LOADING_POLICY", default_value = "cost")]
    pub loading_policy: String,
    /// Time between scheduling rounds of a pool, in milliseconds.
    #[arg(long, env = "GUAVA_ROUND_MS", default_value_t = 100)]
    pub round_ms: u64,
    /// Interval between report requests to an engine, in milliseconds.
    #[arg(long, env = "GUAVA_REPORT_MS", default_value_t = 500)]
    pub report_ms: u64,
    /// Maximum number of report requests in progress at a time for a pool.
    #[arg(long, env = "GUAVA_REPORTS_AT_ONCE", default_value_t = 32)]
    pub reports_at_once: usize,
    /// Time limit of an order or a report request to an engine, in milliseconds.
    #[arg(long, env = "GUAVA_ENGINE_TIMEOUT_MS", default_value_t = 3_000)]
    pub engine_timeout_ms: u64,
    /// Maximum time for which a demand report waits for a replica to become ready, in milliseconds.
    #[arg(long, env = "GUAVA_DEMAND_WAIT_MS", default_value_t = 400)]
    pub demand_wait_ms: u64,
}

impl Default for ControllerArgs {
    fn default() -> Self {
        Self {
            loading_policy: "cost".to_owned(),
            round_ms: 100,
            report_ms: 500,
            reports_at_once: 32,
            engine_timeout_ms: 3_000,
            demand_wait_ms: 400,
        }
    }
}

impl ControllerArgs {
    /// Returns one message for every invalid setting; empty when all settings are valid.
    pub fn check(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if !["cost", "naive"].contains(&self.loading_policy.as_str()) {
            errors.push("--loading-policy must be cost or naive".to_owned());
        }
        let ranges = [
            ("--round-ms", self.round_ms, 10, 1_000),
            ("--report-ms", self.report_ms, 50, 10_000),
            ("--reports-at-once", self.reports_at_once as u64, 1, 1_024),
            ("--engine-timeout-ms", self.engine_timeout_ms, 100, 60_000),
            ("--demand-wait-ms", self.demand_wait_ms, 0, 1_000),
        ];
        let out_of_range = ranges
            .into_iter()
            .filter(|(_, value, min, max)| value < min || value > max);
        errors.extend(out_of_range.map(|(name, _, min, max)| format!("{name} must be {min} to {max}")));
        errors
    }
}
