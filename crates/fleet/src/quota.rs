//! Rate limits of organisations across all VMs.
//!
//! Each VM admits requests from a local token bucket that gets a fixed fraction of the rate and burst. The rest belongs
//! to a central bucket at the coordinator, which a VM asks when its local bucket has too few tokens. The fractions add
//! up to one, so lost or late messages never let more through than the rate and burst.

use std::collections::HashMap;

use guava_core::units::Millis;

/// Fraction of the rate and burst that all VMs together admit without asking; the coordinator holds the rest. A large
/// fraction admits more requests while there is no coordinator; a small one leaves more for a VM that receives most of
/// an organisation's requests.
pub const LOCAL_PART: f64 = 0.35;

/// Initial level of a local bucket as a fraction of its burst. It is below one because a process may start while tokens
/// spent by its predecessor still count.
pub const START_LEVEL: f64 = 0.5;

/// Largest size of a request beyond the burst, in seconds of its organisation's rate. A larger one would leave nothing
/// to the organisation's other requests for longer.
const MAX_DEBT_S: f64 = 60.0;
/// A request waits for tokens at most for its route's response time objective divided by this, so that an organisation
/// beyond its rate is served on time with what its rate allows.
const OBJECTIVE_DIVISOR: u64 = 3;
/// Longest wait for tokens while the rate limits recover, in milliseconds.
const RECOVERY_WAIT_MS: u64 = 2_000;
/// While the rate limits recover, a request waits for tokens at most for its deadline divided by this.
const RECOVERY_DEADLINE_DIVISOR: u64 = 3;
/// Time after the start of a process or a change of the coordinator, in milliseconds, in which the rate limits recover.
const RECOVERY_MS: u64 = 3_000;
/// A stream that is taken up waits for tokens at most until this part of its caller's patience is left, in which its first
/// event arrives.
const FIRST_EVENT_DIVISOR: u64 = 6;
/// A new stream waits for tokens at most for its caller's patience divided by this.
const NEW_STREAM_DIVISOR: u64 = 4;
/// Longest wait for the coordinator's answer, in milliseconds; a request that waits longer misses its objective.
const ANSWER_TIMEOUT_MS: u64 = 150;
/// The same while the rate limits recover, when the coordinator has the requests of all VMs to answer.
const RECOVERY_ANSWER_TIMEOUT_MS: u64 = 600;

/// Whether a request is small enough for its organisation's rate and burst.
pub fn fits_limit(tokens: f64, rate: f64, burst: f64) -> bool {
    tokens <= burst + rate * MAX_DEBT_S
}

/// How long a request waits for tokens before it is refused.
///
/// For a caller, a short wait is faster than a refusal and a return. After a restart of all processes or a loss of the
/// coordinator, the shares of all organisations are short at once and the requests that waited for the change arrive
/// together; then a caller that is refused would meet the same shortage on its return, so requests wait longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenWait {
    /// Longest time, in milliseconds, until the tokens may be used.
    pub max_ms: u64,
    /// Longest wait for the coordinator's answer, in milliseconds.
    pub answer_ms: u64,
}

impl TokenWait {
    /// Decides for a request with this objective and deadline. `unsettled_ms` is the time since the start of the process
    /// or the last change of the coordinator. All times are in milliseconds.
    pub fn new(objective_ms: u64, deadline_ms: u64, unsettled_ms: u64) -> Self {
        let max_ms = objective_ms / OBJECTIVE_DIVISOR;
        if unsettled_ms >= RECOVERY_MS {
            return Self {
                max_ms,
                answer_ms: ANSWER_TIMEOUT_MS,
            };
        }
        let recovery_ms = RECOVERY_WAIT_MS.min(deadline_ms / RECOVERY_DEADLINE_DIVISOR);
        Self {
            max_ms: recovery_ms.max(max_ms),
            answer_ms: RECOVERY_ANSWER_TIMEOUT_MS,
        }
    }

    /// Adjusts the wait to a stream whose caller leaves if no event has arrived within `patience_ms`.
    ///
    /// Tokens that come later than that would be spent on nobody. A stream that is taken up waits for longer than a new
    /// one: it has waited before and has less left to do. The tokens of the time in between are its own.
    #[must_use]
    pub fn for_stream(self, patience_ms: u64, is_taken_up: bool) -> Self {
        let max_ms = if is_taken_up {
            patience_ms - patience_ms / FIRST_EVENT_DIVISOR
        } else {
            self.max_ms.min(patience_ms / NEW_STREAM_DIVISOR)
        };
        Self { max_ms, ..self }
    }
}

/// Token bucket that refills at a constant rate.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated: Millis,
}

impl Bucket {
    /// Creates a bucket that is filled to the fraction `fill` of its burst. `rate` is in tokens per second.
    pub fn new(now: Millis, rate: f64, burst: f64, fill: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst * fill,
            updated: now,
        }
    }

    /// Changes rate and burst; a level above the new burst is lowered to it.
    pub fn set_limits(&mut self, now: Millis, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Milliseconds until the bucket will hold `tokens`; `u64::MAX` if it never will.
    ///
    /// A request larger than the burst is admitted when the bucket is full, and leaves the level negative.
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

    /// Takes `tokens` if they will be available within `max_wait_ms`, and returns the number of milliseconds until
    /// then.
    ///
    /// The caller must not use the tokens earlier.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the bucket will hold enough tokens; nothing is taken then.
    pub fn reserve(&mut self, now: Millis, tokens: f64, max_wait_ms: u64) -> Result<u64, u64> {
        let wait = self.wait_ms(now, tokens);
        if wait > max_wait_ms {
            return Err(wait);
        }
        self.level -= tokens;
        Ok(wait)
    }

    /// Refunds the tokens of a request that was not run; the level does not exceed the burst.
    pub fn refund(&mut self, now: Millis, tokens: f64) {
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

/// Token buckets of all organisations at one VM or at the coordinator.
#[derive(Debug, Default)]
pub struct Buckets {
    by_name: HashMap<String, Bucket>,
}

impl Buckets {
    /// Returns the bucket of the organisation `name` with the given limits. A new bucket starts at time `since`, filled
    /// to the fraction `fill` of its burst; an existing one keeps its level, and its limits are changed if they differ.
    pub fn bucket(&mut self, since: Millis, name: &str, rate: f64, burst: f64, fill: f64) -> &mut Bucket {
        let bucket = self
            .by_name
            .entry(name.to_owned())
            .or_insert_with(|| Bucket::new(since, rate, burst, fill));
        if (bucket.rate - rate).abs() > f64::EPSILON || (bucket.burst - burst).abs() > f64::EPSILON {
            bucket.set_limits(since, rate, burst);
        }
        bucket
    }

    /// Removes all buckets, and with them their levels.
    pub fn clear(&mut self) {
        self.by_name.clear();
    }
}
