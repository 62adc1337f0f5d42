//! Rates of organisations over all VMs.
//!
//! Each VM admits from a bucket of its own that gets a fixed part of the rate and burst. The rest is in a central bucket
//! at the coordinator, which a VM asks when its own bucket is short. The parts add up to the whole, so no exchange of
//! messages, lost or late, lets more through than the rate and burst.

use std::collections::HashMap;

use guava_core::units::Millis;

/// Part of the rate that the VMs admit without asking; the coordinator holds the rest. A large part carries more requests
/// while there is no coordinator; a small one leaves more for a VM that gets most of an organisation's requests.
pub const LOCAL_PART: f64 = 0.35;

/// Level of a new bucket as part of its burst. A process may start while the tokens spent by its predecessor still
/// count.
pub const START_LEVEL: f64 = 0.5;

/// Bucket of tokens that is refilled at a constant rate.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated: Millis,
}

impl Bucket {
    /// Bucket at the given part of its burst.
    pub fn new(now: Millis, rate: f64, burst: f64, part: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst * part,
            updated: now,
        }
    }

    /// Changes rate and burst; a level above the new burst is cut.
    pub fn set_limits(&mut self, now: Millis, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Milliseconds until the bucket will have `tokens`.
    ///
    /// A request larger than the burst passes when the bucket is full and leaves a debt.
    pub fn wait_ms(&mut self, now: Millis, tokens: f64) -> u64 {
        self.refill(now);
        let missing = tokens.min(self.burst) - self.level;
        if missing <= 0.0 {
            return 0;
        }
        if self.rate <= 0.0 {
            return u64::MAX;
        }
        (missing / self.rate * 1_000.0).ceil() as u64
    }

    /// Takes `tokens` if they will be there within `max_wait_ms`, and tells after how many milliseconds.
    ///
    /// Whoever takes them must not use them earlier.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the bucket will have enough; nothing is taken.
    pub fn reserve(&mut self, now: Millis, tokens: f64, max_wait_ms: u64) -> Result<u64, u64> {
        let wait = self.wait_ms(now, tokens);
        if wait > max_wait_ms {
            return Err(wait);
        }
        self.level -= tokens;
        Ok(wait)
    }

    /// Returns tokens of a request that has not run.
    pub fn give_back(&mut self, now: Millis, tokens: f64) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.burst);
    }

    fn refill(&mut self, now: Millis) {
        let now = now.max(self.updated);
        let elapsed = now.since(self.updated) as f64 / 1_000.0;
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.updated = now;
    }
}

/// Buckets of all organisations at one place.
#[derive(Debug, Default)]
pub struct Buckets {
    by_name: HashMap<String, Bucket>,
}

impl Buckets {
    /// Bucket of an organisation with the given limits, made as of `since` at `part` of its burst when it is new.
    pub fn bucket(&mut self, since: Millis, name: &str, rate: f64, burst: f64, part: f64) -> &mut Bucket {
        let bucket = self
            .by_name
            .entry(name.to_owned())
            .or_insert_with(|| Bucket::new(since, rate, burst, part));
        if (bucket.rate - rate).abs() > f64::EPSILON || (bucket.burst - burst).abs() > f64::EPSILON {
            bucket.set_limits(since, rate, burst);
        }
        bucket
    }

    /// Forgets all levels.
    pub fn clear(&mut self) {
        self.by_name.clear();
    }
}
