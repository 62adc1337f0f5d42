//! Pace of prompts at a model engine.
//!
//! An engine reads new prompts between the tokens of running streams. When several prompts arrive within the time of one
//! event, every stream there pauses for longer than its route allows. For each engine one VM, found by rendezvous
//! hashing, spaces the prompts of all VMs by a bucket of prompt tokens. It keeps no other state: when it is lost, another
//! VM starts with a full bucket.

use std::collections::HashMap;

use guava_core::units::Millis;

use crate::quota::Bucket;

/// Prompt tokens that an engine reads in a millisecond; the engines of the deployments read 22 to 26.
const READ_TOKENS_PER_MS: f64 = 22.0;
/// Part of the reading speed that paced prompts use, so that streams advance in between.
const PACED_PART: f64 = 0.5;
/// Time of one event's decode steps, during which no prompt is read.
const DECODE_MS: f64 = 40.0;
/// Least burst, about one prompt of ordinary size.
const MIN_BURST_TOKENS: f64 = 1_500.0;
/// Time after which an engine without prompts is forgotten.
const FORGET_MS: u64 = 10_000;

/// Buckets of the engines that this VM paces.
#[derive(Debug, Default)]
pub struct Pacer {
    engines: HashMap<String, (Bucket, Millis)>,
}

impl Pacer {
    /// Reserves the reading of a prompt and tells after how many milliseconds it may be sent.
    ///
    /// `gap_ms` is the longest pause that the route allows between events.
    ///
    /// # Errors
    ///
    /// Returns the wait when it is longer than `max_wait_ms`; nothing is reserved.
    pub fn reserve(
        &mut self,
        now: Millis,
        engine: &str,
        tokens: u64,
        gap_ms: u64,
        max_wait_ms: u64,
    ) -> Result<u64, u64> {
        let rate = READ_TOKENS_PER_MS * PACED_PART;
        let gap = gap_ms as f64;
        let readable = (gap - DECODE_MS) * READ_TOKENS_PER_MS;
        let burst = (readable - rate * gap).max(MIN_BURST_TOKENS);
        let per_second = rate * 1_000.0;
        let (bucket, used) = self
            .engines
            .entry(engine.to_owned())
            .or_insert_with(|| (Bucket::new(now, per_second, burst, 1.0), now));
        *used = now;
        let reserved = bucket.reserve(now, tokens as f64, max_wait_ms);
        self.engines.retain(|_, (_, used)| now.since(*used) < FORGET_MS);
        reserved
    }
}
