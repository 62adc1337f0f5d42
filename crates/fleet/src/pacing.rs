//! Pacing of prompts sent to a model engine.
//!
//! An engine processes new prompts (prefill) between the decode steps of running streams. When several prompts arrive
//! within the time of one event, every stream on the engine pauses for longer than its route allows. For each engine,
//! one VM, chosen by rendezvous hashing, spaces the prompts of all VMs with a token bucket of prompt tokens. The bucket
//! is its only state: when that VM is lost, another one starts with a full bucket.

use std::collections::HashMap;

use guava_core::units::Millis;

use crate::quota::Bucket;

/// Prompt tokens that an engine processes per millisecond; the engines of the deployments process 22 to 26.
const PREFILL_TOKENS_PER_MS: f64 = 22.0;
/// Fraction of the prefill speed that paced prompts may use; the rest is left for streams to advance.
const PACED_FRACTION: f64 = 0.5;
/// Time of the decode steps of one event, during which no prompt is processed.
const DECODE_MS: f64 = 40.0;
/// Smallest burst: about one prompt of ordinary size.
const MIN_BURST_TOKENS: f64 = 1_500.0;
/// Time without prompts after which an engine's bucket is dropped.
const IDLE_EXPIRY_MS: u64 = 10_000;

/// Token buckets of the engines that this VM paces.
#[derive(Debug, Default)]
pub struct Pacer {
    engines: HashMap<String, (Bucket, Millis)>,
}

impl Pacer {
    /// Reserves processing time for a prompt and returns the number of milliseconds after which it may be sent.
    ///
    /// `gap_ms` is the longest pause between events that the route allows.
    ///
    /// # Errors
    ///
    /// Returns the wait in milliseconds if it is longer than `max_wait_ms`; nothing is reserved then.
    pub fn reserve(
        &mut self,
        now: Millis,
        engine: &str,
        tokens: u64,
        gap_ms: u64,
        max_wait_ms: u64,
    ) -> Result<u64, u64> {
        let rate = PREFILL_TOKENS_PER_MS * PACED_FRACTION;
        let gap = gap_ms as f64;
        let prefill_capacity = (gap - DECODE_MS) * PREFILL_TOKENS_PER_MS;
        let burst = (prefill_capacity - rate * gap).max(MIN_BURST_TOKENS);
        let per_second = rate * 1_000.0;
        let (bucket, last_used) = self
            .engines
            .entry(engine.to_owned())
            .or_insert_with(|| (Bucket::new(now, per_second, burst, 1.0), now));
        *last_used = now;
        let reserved = bucket.reserve(now, tokens as f64, max_wait_ms);
        self.engines
            .retain(|_, (_, last_used)| now.since(*last_used) < IDLE_EXPIRY_MS);
        reserved
    }
}
