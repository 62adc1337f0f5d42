//! Settings and faults of the stand-ins.

use std::time::Duration;

use guava_core::derive_value;

use crate::CachedCheckpoint;

derive_value! {
    /// Settings of a stand-in engine.
    #[serde(default, deny_unknown_fields)]
    pub struct EngineSettings {
        /// Identifier of this life of the engine.
        pub instance: String,
        /// Memory for replicas, in bytes.
        pub memory_bytes: u64,
        /// Whether orders with an old term are refused.
        pub checks_fence: bool,
        /// Whether ended and cancelled replica ids are forgotten.
        pub forgets_orders: bool,
        /// Concurrent requests of one replica.
        pub slots: u32,
        /// Duration of a load from the memory tier, and the last part of every other load, in milliseconds.
        pub memory_load_ms: u64,
        /// Duration of a load from the disk tier, in milliseconds.
        pub disk_load_ms: u64,
        /// Duration of a remote load when there is no weight store, in milliseconds.
        pub remote_load_ms: u64,
        /// Size of the memory tier of cached checkpoints, in bytes.
        pub memory_tier_bytes: u64,
        /// Size of the disk tier of cached checkpoints, in bytes.
        pub disk_tier_bytes: u64,
        /// Checkpoints cached at start.
        pub cached: Vec<CachedCheckpoint>,
        /// Time per prompt token that is not in the prefix cache, in microseconds.
        pub prefill_us: u64,
        /// Time per generated token of a request that runs alone, in microseconds.
        pub decode_us: u64,
        /// Additional time per generated token for each other request in the batch, in microseconds.
        pub decode_batch_us: u64,
        /// Tokens generated when a request names no limit.
        pub default_tokens: u32,
        /// Size of the prefix cache, in blocks of 16 tokens.
        pub prefix_blocks: usize,
        /// Delay before a cache event is published, in milliseconds.
        pub event_delay_ms: u64,
        /// Every how many cache events one is lost; 0 for none.
        pub event_gap_every: u64,
        /// Age of what reports show, in milliseconds.
        pub report_lag_ms: u64,
        /// Whether single requests are recorded.
        pub record: bool,
    }

    /// Faults of a stand-in engine or service; the default is none.
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// Factor by which loads and answers take longer.
        pub slow: f64,
        /// The listener and all connections are closed.
        pub down: bool,
        /// Answers end after this many tokens with a closed connection; 0 closes it before any byte.
        pub die_after_tokens: Option<u32>,
        /// Number of answers that `die_after_tokens` still applies to; `None` for all.
        pub die_next: Option<u32>,
        /// Delay between finished work and answer, in milliseconds.
        pub answer_late_ms: u64,
        /// The engine reports that it is leaving and refuses loads.
        pub leave: bool,
        /// Loads fail.
        pub fail_loads: bool,
        /// Number of coming orders that take effect and get no answer.
        pub lose_next_orders: u32,
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            instance: "1".to_owned(),
            memory_bytes: 80 << 30,
            checks_fence: true,
            forgets_orders: false,
            slots: 32,
            memory_load_ms: 50,
            disk_load_ms: 400,
            remote_load_ms: 1_600,
            memory_tier_bytes: 128 << 30,
            disk_tier_bytes: 1 << 40,
            cached: Vec::new(),
            prefill_us: 0,
            decode_us: 0,
            decode_batch_us: 0,
            default_tokens: 16,
            prefix_blocks: 16_384,
            event_delay_ms: 500,
            event_gap_every: 50,
            report_lag_ms: 0,
            record: true,
        }
    }
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            down: false,
            die_after_tokens: None,
            die_next: None,
            answer_late_ms: 0,
            leave: false,
            fail_loads: false,
            lose_next_orders: 0,
        }
    }
}

impl EngineFaults {
    /// Duration under the slow-down in force.
    pub(crate) fn slowed(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow.clamp(0.0, 1e6))
    }

    /// Takes one of the answers that must be cut and returns the tokens it may have.
    pub(crate) fn take_death(&mut self) -> Option<u32> {
        let tokens = self.die_after_tokens?;
        match &mut self.die_next {
            None => Some(tokens),
            Some(0) => None,
            Some(left) => {
                *left -= 1;
                Some(tokens)
            }
        }
    }

    /// Takes one of the orders whose answer is lost.
    pub(crate) fn take_lost_order(&mut self) -> bool {
        let is_lost = self.lose_next_orders > 0;
        self.lose_next_orders = self.lose_next_orders.saturating_sub(1);
        is_lost
    }
}
