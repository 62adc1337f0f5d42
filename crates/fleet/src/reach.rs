//! Backend servers to which this VM cannot open a connection.
//!
//! A server whose process has ended refuses connections long before its entry lapses, and one that has lost its network
//! lets them hang. Requests that wait for it wait in vain, so it gets none for a time that grows with each failure. One
//! that has started anew is tried at once.
//!
//! When connections to several servers fail and none succeeds, the VM's own links are more likely to be at fault than the
//! servers.

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
/// Servers to which connections must have failed, without one that succeeded, for a VM to count as cut off; all servers if
/// there are fewer.
const CUT_OFF_SERVERS: usize = 2;
/// Limit on servers that are kept; the ones that are tried again first are dropped.
const MAX_KEPT: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Known {
    born_ms: u64,
    failures: u32,
    failed_at: Millis,
    until: Millis,
}

/// Servers to which connections have failed.
#[derive(Debug, Default)]
pub struct Unreachable {
    by_server: HashMap<String, Known>,
    /// When a connection to any server was opened last.
    succeeded_at: Option<Millis>,
}

impl Unreachable {
    /// Records that a connection could not be opened. Returns the milliseconds for which the server is left out. Failures
    /// while it is left out already, of connections that were begun before, change nothing.
    pub fn record_failure(&mut self, server: &BackendServer, now: Millis) -> u64 {
        let known = self.by_server.get_mut(&server.id);
        let known = known.filter(|it| it.born_ms == server.born_ms && now.since(it.until) < FORGET_MS);
        let mut failures = 1;
        if let Some(known) = known {
            known.failed_at = now;
            if now < known.until {
                return known.until.since(now);
            }
            failures += known.failures;
        }
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
            failed_at: now,
            until: now + pause_ms,
        };
        self.by_server.insert(server.id.clone(), known);
        pause_ms
    }

    /// Records that a connection was opened. If the VM was cut off, all servers may be reached again.
    pub fn record_success(&mut self, server: &BackendServer, now: Millis) {
        if self.by_server.is_empty() {
            self.succeeded_at = Some(now);
            return;
        }
        if self.failing(now) >= CUT_OFF_SERVERS {
            self.by_server.clear();
        }
        self.by_server.remove(&server.id);
        self.succeeded_at = Some(now);
    }

    /// Number of servers to which connections have failed since one to any server was opened.
    fn failing(&self, now: Millis) -> usize {
        let failing = self
            .by_server
            .values()
            .filter(|it| now.since(it.failed_at) < FORGET_MS && self.succeeded_at.is_none_or(|at| at < it.failed_at));
        failing.count()
    }

    /// Whether this VM has probably lost its links to all servers. `count_servers` returns their number.
    pub fn is_cut_off(&self, count_servers: impl FnOnce() -> usize, now: Millis) -> bool {
        match self.failing(now) {
            0 => false,
            failing => failing >= CUT_OFF_SERVERS || failing >= count_servers(),
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
