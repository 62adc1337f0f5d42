//! Limit of log lines of one kind under load.
//!
//! Of each kind the first lines of a second are all written, so that no failure that is seen for the first time is left
//! out. Beyond them only the lines of one request in sixteen are written. Which requests these are follows from their
//! ids, so their lines are kept whole, also at other VMs. What is left out is counted and told at the end of the second.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use guava_core::events::Event;
use guava_core::units::Millis;

/// Length of the time for which lines are counted.
const WINDOW_MS: u64 = 1_000;
/// Lines of a kind in each such time that are all written. A VM at its planned peak of 43 requests a second stays below.
const WHOLE_LINES: u32 = 200;
/// Beyond them, the lines of one request in this many are written.
const SHARE: u64 = 16;

/// Lines written and left out since the start of the window.
#[derive(Debug, Default)]
pub struct Sampler {
    began: Millis,
    written: BTreeMap<Event, u32>,
    left_out: BTreeMap<Event, u64>,
}

impl Sampler {
    /// Whether a line of this kind and request is written.
    pub fn admit(&mut self, event: Event, request: &str) -> bool {
        let written = self.written.entry(event).or_default();
        *written += 1;
        if *written <= WHOLE_LINES || is_sampled(request) {
            return true;
        }
        *self.left_out.entry(event).or_default() += 1;
        false
    }

    /// Ends the window when its time is over, and tells how many lines of each kind were left out in it.
    pub fn roll(&mut self, now: Millis) -> BTreeMap<Event, u64> {
        if now.since(self.began) < WINDOW_MS {
            return BTreeMap::new();
        }
        self.began = now;
        self.written.clear();
        std::mem::take(&mut self.left_out)
    }
}

/// Whether the lines of this request are kept under load; lines without a request are not.
fn is_sampled(request: &str) -> bool {
    // A hasher with fixed keys: all VMs choose the same requests.
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    request != "-" && hasher.finish().is_multiple_of(SHARE)
}
