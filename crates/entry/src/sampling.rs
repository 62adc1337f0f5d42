//! Limit on the log lines of one kind under load.
//!
//! The first lines of each kind in a second are all written, so that the first occurrence of a failure is never
//! suppressed. Beyond them only the lines of one request in sixteen are written. The requests are selected by a hash of
//! their id, so that all lines of a request are kept, on every VM. Suppressed lines are counted and reported at the end
//! of the second.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use guava_core::events::Event;
use guava_core::units::Millis;

/// Length of the window in which lines are counted.
const WINDOW_MS: u64 = 1_000;
/// Lines of a kind per window that are written without sampling. A VM at its planned peak of 43 requests a second stays
/// below this.
const UNSAMPLED_LINES: u32 = 200;
/// Beyond [`UNSAMPLED_LINES`], the lines of one request in this many are written.
const SAMPLE_ONE_IN: u64 = 16;

/// Counts of written and suppressed lines in the current window.
#[derive(Debug, Default)]
pub struct Sampler {
    started: Millis,
    written: BTreeMap<Event, u32>,
    suppressed: BTreeMap<Event, u64>,
}

impl Sampler {
    /// Returns whether a line of this event and request is written, and counts it.
    pub fn admit(&mut self, event: Event, request: &str) -> bool {
        let written = self.written.entry(event).or_default();
        *written += 1;
        if *written <= UNSAMPLED_LINES || is_sampled(request) {
            return true;
        }
        *self.suppressed.entry(event).or_default() += 1;
        false
    }

    /// Starts a new window when the current one has ended. Returns the number of lines suppressed in it, by event.
    pub fn roll_window(&mut self, now: Millis) -> BTreeMap<Event, u64> {
        if now.since(self.started) < WINDOW_MS {
            return BTreeMap::new();
        }
        self.started = now;
        self.written.clear();
        std::mem::take(&mut self.suppressed)
    }
}

/// Whether the lines of this request are kept under load. Lines without a request are not.
fn is_sampled(request: &str) -> bool {
    // The hasher has fixed keys, so that all VMs select the same requests.
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    request != "-" && hasher.finish().is_multiple_of(SAMPLE_ONE_IN)
}
