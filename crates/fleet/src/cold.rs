//! Backend servers that are cold after their start.
//!
//! A cold server tolerates few requests a second from all VMs together. One VM, the keeper of the server, hands out places
//! at that rate, as it does for a server that names a limit (see [`crate::server_limits`]). It is chosen among all known
//! VMs, live or not, so that no two VMs hand out the whole rate because one of them takes the other for lost. A VM that
//! does not reach the keeper takes turns with the others by the wall clock: all turns together make half the rate, so
//! that keeper and turns stay within one and a half times the rate whoever reaches the keeper.
//!
//! [`ColdServers`] knows which servers are cold, [`ColdTurns`] the turns of one VM.

use std::collections::HashMap;

use guava_core::derive_value;
use guava_core::rendezvous;
use guava_core::units::Millis;

use crate::model::BackendServer;

/// Longest time for which a server is taken for cold after one statement, in milliseconds.
const MAX_LEFT_MS: u64 = 60_000;
/// Limit on servers that are kept.
const MAX_KEPT: usize = 16_384;
/// Limit on servers in one message.
const MAX_SENT: usize = 128;
/// Longest id of a server in a message.
const MAX_ID: usize = 128;
/// Part of the rate that all turns together make.
const TURNS_PART: f64 = 0.5;

derive_value! {
    /// Cold server, as VMs report it to each other.
    pub struct ColdServer {
        /// Id of the server.
        pub server: String,
        /// Wall-clock time of its start, in milliseconds.
        pub born_ms: u64,
        /// Milliseconds until it is warm.
        pub left_ms: u64,
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    born_ms: u64,
    /// Count of writes and remaining time of the last entry that states one.
    entry: Option<(u64, u64)>,
    first_seen: Millis,
    until: Millis,
    /// Whether the server has stated how long it is cold, so that its start does not count.
    is_stated: bool,
}

impl Known {
    fn new(server: &BackendServer, now: Millis) -> Self {
        Self {
            born_ms: server.born_ms,
            entry: None,
            first_seen: now,
            until: now,
            is_stated: false,
        }
    }
}

/// Cold servers, as one VM knows them.
#[derive(Debug, Default)]
pub struct ColdServers {
    by_server: HashMap<String, Known>,
}

impl ColdServers {
    /// Records an entry of the store. The time that it states is counted from its first receipt, which may be later than
    /// the entry: the server is then taken for cold for longer than it is.
    pub fn observe(&mut self, server: &BackendServer, now: Millis) {
        let known = self.known(server, now);
        // Entries that other processes pass on state no time.
        let (Some(known), Some(left_ms)) = (known, server.cold_left_ms) else {
            return;
        };
        if known.entry != Some((server.writes, left_ms)) {
            known.entry = Some((server.writes, left_ms));
            known.until = now + left_ms.min(MAX_LEFT_MS);
            known.is_stated = true;
        }
    }

    /// Records that an answer of a server states the milliseconds until it is warm. Returns whether it is cold and was not
    /// known to be.
    pub fn record_stated(&mut self, server: &BackendServer, left_ms: u64, now: Millis) -> bool {
        let Some(known) = self.known(server, now) else {
            return false;
        };
        let is_new = left_ms > 0 && known.until <= now;
        known.until = now + left_ms.min(MAX_LEFT_MS);
        known.is_stated = true;
        is_new
    }

    /// Records that a server may have become cold until now, and stays so for `cold_ms` milliseconds unless it states
    /// another time.
    pub fn presume(&mut self, server: &BackendServer, cold_ms: u64, now: Millis) {
        if let Some(known) = self.known(server, now) {
            known.until = known.until.max(now + cold_ms.min(MAX_LEFT_MS));
        }
    }

    /// Merges what another VM reports. It does not end what is known here.
    pub fn merge(&mut self, received: Vec<ColdServer>, now: Millis) {
        for it in received
            .into_iter()
            .take(MAX_SENT)
            .filter(|it| it.server.len() <= MAX_ID)
        {
            let until = now + it.left_ms.min(MAX_LEFT_MS);
            let is_full = self.by_server.len() >= MAX_KEPT;
            match self.by_server.get_mut(&it.server) {
                Some(known) if known.born_ms > it.born_ms => {}
                Some(known) if known.born_ms == it.born_ms => known.until = known.until.max(until),
                None if is_full => {}
                _ => {
                    let known = Known {
                        born_ms: it.born_ms,
                        entry: None,
                        first_seen: now,
                        until,
                        is_stated: true,
                    };
                    self.by_server.insert(it.server, known);
                }
            }
        }
    }

    /// Number of servers that are known to be cold.
    pub fn count(&self, now: Millis) -> u64 {
        self.by_server.values().filter(|it| it.until > now).count() as u64
    }

    /// Servers that are known to be cold, for other VMs.
    pub fn summary(&self, now: Millis) -> Vec<ColdServer> {
        let cold = self.by_server.iter().filter(|(_, it)| it.until > now);
        let cold = cold.map(|(server, it)| ColdServer {
            server: server.clone(),
            born_ms: it.born_ms,
            left_ms: it.until.since(now),
        });
        cold.take(MAX_SENT).collect()
    }

    /// Milliseconds until a server is warm. Servers of its service are cold for `cold_ms` milliseconds after their start;
    /// `wall_ms` is the wall-clock time in milliseconds, by which servers state their start.
    pub fn left_ms(&self, server: &BackendServer, cold_ms: u64, wall_ms: u64, now: Millis) -> u64 {
        let known = self.by_server.get(&server.id);
        let known = known.filter(|it| it.born_ms == server.born_ms);
        let stated_ms = known.map_or(0, |it| it.until.since(now));
        if server.born_ms == 0 || known.is_some_and(|it| it.is_stated) {
            return stated_ms;
        }
        let by_start_ms = server.born_ms.saturating_add(cold_ms).saturating_sub(wall_ms);
        // The clock of this VM or of the server may be wrong.
        let longest_ms = known.map_or(cold_ms, |it| (it.first_seen + cold_ms).since(now));
        stated_ms.max(by_start_ms.min(longest_ms))
    }

    /// Drops the servers that are neither cold nor satisfy `is_listed`.
    pub fn remove_expired(&mut self, is_listed: impl Fn(&str) -> bool, now: Millis) {
        self.by_server.retain(|id, it| it.until > now || is_listed(id));
    }

    /// What is known of the present life of a server; `None` if too many servers are kept.
    fn known(&mut self, server: &BackendServer, now: Millis) -> Option<&mut Known> {
        let is_known = self.by_server.contains_key(&server.id);
        if !is_known && self.by_server.len() >= MAX_KEPT {
            return None;
        }
        let known = self.by_server.entry(server.id.clone());
        let known = known.or_insert_with(|| Known::new(server, now));
        if known.born_ms != server.born_ms {
            *known = Known::new(server, now);
        }
        Some(known)
    }
}

/// Share of a VM in the rate of a cold server.
#[derive(Debug, Clone, Copy)]
pub struct ColdShare {
    /// Requests a second that the server tolerates from all VMs together.
    pub per_s: f64,
    /// Place of the VM among the known ones, from zero.
    pub rank: usize,
    /// Number of known VMs, live or not.
    pub vms: usize,
}

impl ColdShare {
    /// Milliseconds between two turns of the VM.
    fn period_ms(&self) -> f64 {
        self.vms.max(1) as f64 * 1_000.0 / (self.per_s * TURNS_PART).max(f64::MIN_POSITIVE)
    }

    /// Milliseconds from the start of a period to the turn. The order of the VMs differs between servers.
    fn offset_ms(&self, server: &str) -> f64 {
        let vms = self.vms.max(1) as u64;
        let first = rendezvous::weight(server, "turns") % vms;
        let slot = (self.rank as u64 + first) % vms;
        self.period_ms() * slot as f64 / vms as f64
    }
}

/// Turns that a VM has taken at cold servers whose keeper it does not reach.
#[derive(Debug, Default)]
pub struct ColdTurns {
    /// Number of the last turn, by server.
    last: HashMap<String, u64>,
}

impl ColdTurns {
    /// Takes the next turn at a server. Returns the milliseconds until it. `wall_ms` is the wall-clock time, which the VMs
    /// need not agree on: where they don't, turns fall together by chance.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the next turn if that is longer than `max_wait_ms`; nothing is taken then.
    pub fn take(&mut self, server: &str, share: &ColdShare, wall_ms: u64, max_wait_ms: u64) -> Result<u64, u64> {
        let period_ms = share.period_ms();
        let offset_ms = share.offset_ms(server);
        let next = ((wall_ms as f64 - offset_ms) / period_ms).ceil().max(0.0) as u64;
        // A turn far ahead was taken before the clock was set back, or with another number of VMs.
        let last = self.last.get(server).copied().filter(|it| *it <= next + 1);
        let turn = last.map_or(next, |it| next.max(it + 1));
        let wait_ms = (turn as f64 * period_ms + offset_ms - wall_ms as f64).max(0.0).ceil() as u64;
        if wait_ms > max_wait_ms {
            return Err(wait_ms);
        }
        if self.last.len() >= MAX_KEPT {
            self.last.clear();
        }
        self.last.insert(server.to_owned(), turn);
        Ok(wait_ms)
    }
}
