//! Backend servers to which this VM cannot open a connection.
//!
//! A server whose process has ended refuses connections long before its entry lapses, and one that has lost its network
//! lets them hang. Requests that wait for it wait in vain, so it gets none for a time that grows with each failure. One
//! that has started anew is tried at once.

use std::collections::HashMap;

use guava_core::units::Millis;

use crate::model::BackendServer;
use crate::statements::Rest;

/// Time for which a server is left out after the first failed connection, in milliseconds: about as long as a process
/// takes to reopen its listener.
const FIRST_PAUSE_MS: u64 = 300;
/// The same after the second failure; doubled with each further one.
const NEXT_PAUSE_MS: u64 = 1_200;
/// Longest such time, about that until the entry of a server that has ended lapses.
const MAX_PAUSE_MS: u64 = 4_000;
/// Time after which failures are forgotten, in milliseconds.
const FORGET_MS: u64 = 10_000;
/// Limit on servers that are kept; the ones that are tried again first are dropped.
const MAX_KEPT: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Known {
    born_ms: u64,
    failures: u32,
    until: Millis,
}

/// Servers to which connections have failed.
#[derive(Debug, Default)]
pub struct Unreachable {
    by_server: HashMap<String, Known>,
}

impl Unreachable {
    /// Records that a connection could not be opened. Returns the milliseconds for which the server is left out. Failures
    /// while it is left out already, of connections that were begun before, change nothing.
    pub fn record_failure(&mut self, server: &BackendServer, now: Millis) -> u64 {
        let known = self.by_server.get(&server.id);
        let known = known.filter(|it| it.born_ms == server.born_ms && now.since(it.until) < FORGET_MS);
        if let Some(known) = known.filter(|it| now < it.until) {
            return known.until.since(now);
        }
        let failures = known.map_or(0, |it| it.failures) + 1;
        let pause_ms = match failures {
            1 => FIRST_PAUSE_MS,
            _ => (NEXT_PAUSE_MS << (failures - 2).min(8)).min(MAX_PAUSE_MS),
        };
        if self.by_server.len() >= MAX_KEPT && !self.by_server.contains_key(&server.id) {
            let first = self.by_server.iter().min_by_key(|(_, it)| it.until);
            if let Some(first) = first.map(|(server, _)| server.clone()) {
                self.by_server.remove(&first);
            }
        }
        let known = Known {
            born_ms: server.born_ms,
            failures,
            until: now + pause_ms,
        };
        self.by_server.insert(server.id.clone(), known);
        pause_ms
    }

    /// Records that a connection was opened.
    pub fn record_success(&mut self, server: &BackendServer) {
        if !self.by_server.is_empty() {
            self.by_server.remove(&server.id);
        }
    }

    /// Milliseconds for which a server is left out; `None` if it is not.
    pub fn left_ms(&self, server: &BackendServer, now: Millis) -> Option<u64> {
        let known = self.by_server.get(&server.id)?;
        (known.born_ms == server.born_ms && now < known.until).then(|| known.until.since(now))
    }

    /// Drops the failures that are forgotten.
    pub fn remove_expired(&mut self, now: Millis) {
        self.by_server.retain(|_, it| now.since(it.until) < FORGET_MS);
    }

    /// Servers that are left out, as rests.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = Rest> {
        let current = self.by_server.iter().filter(move |(_, it)| now < it.until);
        current.map(move |(server, it)| Rest {
            server: server.clone(),
            born_ms: it.born_ms,
            left_ms: it.until.since(now),
        })
    }
}
