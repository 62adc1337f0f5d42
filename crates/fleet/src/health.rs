//! Health of backend servers as seen from the outcomes of requests.
//!
//! Health answers may be wrong in both directions, so only outcomes count. A server with failures in a row is avoided
//! for a time that doubles with each further failure; an avoided server is still used when there is no other.

use std::collections::HashMap;

use guava_core::units::Millis;

/// Failures in a row after which a server is avoided.
const FAILURES_TO_AVOID: u32 = 2;
/// First time for which a server is avoided.
const AVOID_MS: u64 = 1_000;
/// Longest time for which a server is avoided; a sound server that came back is not left idle for longer.
const AVOID_MAX_MS: u64 = 8_000;
/// Weight of the newest outcome in the average.
const WEIGHT: f64 = 0.15;

#[derive(Debug, Default)]
struct Record {
    in_row: u32,
    avoided: u32,
    until: Millis,
    failing: f64,
}

/// Outcomes by backend server.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<String, Record>,
}

impl Health {
    /// Notes that a request was answered.
    pub fn note_success(&mut self, server: &str) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        record.in_row = 0;
        record.avoided = 0;
        record.until = Millis(0);
        record.failing *= 1.0 - WEIGHT;
        if record.failing < 0.01 {
            self.records.remove(server);
        }
    }

    /// Notes that a request failed at the server; true when the server is avoided from now on.
    pub fn note_failure(&mut self, now: Millis, server: &str) -> bool {
        let record = self.records.entry(server.to_owned()).or_default();
        record.in_row += 1;
        record.failing = record.failing * (1.0 - WEIGHT) + WEIGHT;
        if record.in_row < FAILURES_TO_AVOID || now < record.until {
            return false;
        }
        let time = (AVOID_MS << record.avoided.min(3)).min(AVOID_MAX_MS);
        record.avoided += 1;
        record.until = now + time;
        true
    }

    /// Whether the server should be avoided.
    pub fn is_avoided(&self, now: Millis, server: &str) -> bool {
        self.records.get(server).is_some_and(|it| now < it.until)
    }

    /// Part of the recent requests that failed.
    pub fn failing(&self, server: &str) -> f64 {
        self.records.get(server).map_or(0.0, |it| it.failing)
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, mut known: impl FnMut(&str) -> bool) {
        self.records.retain(|server, _| known(server));
    }
}
