//! Settings of the stand-ins, and the faults that tests inject into them.

use std::time::Duration;

use guava_core::derive_value;

use crate::CachedCheckpoint;

derive_value! {
    /// Settings of a stand-in engine.
    #[serde(default, deny_unknown_fields)]
    pub struct EngineSettings {
        /// Identifier of the engine process; a restarted engine needs another one.
        pub instance: String,
        /// Total memory for replicas, in bytes.
        pub memory_bytes: u64,
        /// Whether orders with an older term than the newest one seen are refused.
        pub checks_fence: bool,
        /// Whether ended and cancelled replica ids are forgotten, so that a late load order for them is accepted.
        pub forgets_orders: bool,
        /// Maximum number of concurrent requests at one replica and its adapters.
        pub slots: u32,
        /// Duration of a load from the memory tier, and the last part of every other load, in milliseconds.
        pub memory_load_ms: u64,
        /// Duration of a load from the disk tier, in milliseconds.
        pub disk_load_ms: u64,
        /// Duration of a remote load when there is no weight store, in milliseconds.
        pub remote_load_ms: u64,
        /// Size of the checkpoint cache in memory, in bytes.
        pub memory_tier_bytes: u64,
        /// Size of the checkpoint cache on disk, in bytes.
        pub disk_tier_bytes: u64,
        /// Checkpoints in the caches at start; they count as 0 bytes.
        pub cached: Vec<CachedCheckpoint>,
        /// Time per prompt token that is not in the prefix cache, in microseconds.
        pub prefill_us: u64,
        /// Time per generated token of a request that runs alone, in microseconds.
        pub decode_us: u64,
        /// Additional time per generated token for each other request in the batch, in microseconds.
        pub decode_batch_us: u64,
        /// Number of tokens generated for a request without a token limit.
        pub default_tokens: u32,
        /// Size of the prefix cache, in blocks of 16 tokens; 0 disables it.
        pub prefix_blocks: usize,
        /// Delay before a cache event is published, in milliseconds.
        pub event_delay_ms: u64,
        /// Interval at which cache events are lost: 50 loses every 50th one. 0 loses none.
        pub event_gap_every: u64,
        /// Delay until a change appears in reports, in milliseconds.
        pub report_lag_ms: u64,
        /// Whether each request is recorded; totals are always counted.
        pub record: bool,
    }

    /// Faults injected into a stand-in engine or service; the default is none.
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// Factor applied to the duration of loads and answers; 1 is normal speed.
        pub slow: f64,
        /// Whether the listener and all connections are closed.
        pub down: bool,
        /// Number of tokens after which the connection is closed in the middle of an answer; 0 closes it before the
        /// first byte. `None` leaves answers whole.
        pub die_after_tokens: Option<u32>,
        /// Number of answers that `die_after_tokens` still applies to; `None` for all of them.
        pub die_next: Option<u32>,
        /// Delay before an answer or the first part of a stream is sent, in milliseconds.
        pub answer_late_ms: u64,
        /// Whether the engine reports that it is about to shut down, and refuses loads.
        pub leave: bool,
        /// Whether loads fail when they finish.
        pub fail_loads: bool,
        /// Number of further orders that take effect but whose answer is lost.
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
    /// Scales `duration` by the `slow` fault.
    pub(crate) fn apply_slowdown(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow.clamp(0.0, 1e6))
    }

    /// Returns the number of tokens after which the next answer is truncated, and counts it against `die_next`.
    /// `None` if the answer is sent complete.
    pub(crate) fn consume_truncation(&mut self) -> Option<u32> {
        let tokens = self.die_after_tokens?;
        match &mut self.die_next {
            None => Some(tokens),
            Some(0) => None,
            Some(remaining) => {
                *remaining -= 1;
                Some(tokens)
            }
        }
    }

    /// Returns whether the answer to the next order is lost, and counts it against `lose_next_orders`.
    pub(crate) fn consume_lost_order(&mut self) -> bool {
        let is_lost = self.lose_next_orders > 0;
        self.lose_next_orders = self.lose_next_orders.saturating_sub(1);
        is_lost
    }
}
