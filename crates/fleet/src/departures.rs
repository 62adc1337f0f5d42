//! Backend servers that are known to leave or to have left.
//!
//! Views of the store do not always grow newer: a store that was restored from a copy shows a server as ready that has
//! left since the copy was made, and so does a process that has read nothing else. A write whose answer was lost may be
//! carried out seconds later and replace a newer entry, in a view of a later revision. What the server itself has written
//! tells which entry is older: its start time, and its count of writes. Departures are spread to all VMs, so that one
//! that was cut off or has just started does not use such a server either.
//!
//! Where start and count do not tell, because one is missing or the clock was set back before a new start, the entry
//! counts as later once it has outlived a late write: an entry that nobody renews lapses.
//!
//! A server that states in an answer that it leaves is ahead of the store, whose entry of it stays ready for a while, with
//! the same start and the same count. Such a departure holds until the server starts anew.

use std::cmp::Reverse;
use std::collections::HashMap;

use guava_core::derive_value;
use guava_core::units::Millis;

use crate::model::{BackendServer, StoreRevision};

/// Time for which departures are kept, in milliseconds. A copy of the store is some seconds old, and an entry that is
/// not renewed lapses within a few.
const KEPT_MS: u64 = 120_000;
/// Limit on departures that are kept; the oldest are dropped.
const MAX_KEPT: usize = 4_096;
/// Limit on departures in one message.
const MAX_SENT: usize = 32;
/// Latest departures in each message; the others take turns.
const LATEST_SENT: usize = MAX_SENT / 2;
/// Longest id of a server in a message.
const MAX_ID: usize = 128;

derive_value! {
    /// What one VM sends another of a server that leaves or has left.
    pub struct Departure {
        /// Id of the server.
        pub server: String,
        /// Wall-clock time of its start.
        pub born_ms: u64,
        /// Changes of its entry up to the departure.
        pub writes: u64,
        /// Revision of the view in which it departed.
        pub revision: StoreRevision,
        /// Milliseconds since it became known.
        pub age_ms: u64,
        /// Whether the server has stated it in an answer.
        pub is_stated: bool,
    }
}

/// Age of a server's entry relative to the known departure of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryAge {
    /// The entry is later, or no departure is known.
    Later,
    /// The entry was written before the departure, or the server has stated in the same life that it leaves.
    Earlier,
    /// Neither the server's start nor its count of writes tells.
    Unclear,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    born_ms: u64,
    writes: u64,
    revision: StoreRevision,
    at: Millis,
    is_stated: bool,
    /// Start of the life whose entry has outlived a late write after the departure.
    outlived_by: Option<u64>,
}

impl Known {
    fn new(server: &BackendServer, revision: StoreRevision, at: Millis, is_stated: bool) -> Self {
        Self {
            born_ms: server.born_ms,
            writes: server.writes,
            revision,
            at,
            is_stated,
            outlived_by: None,
        }
    }

    /// Whether the server stated in the life that an entry describes that it leaves.
    fn is_stated_for(&self, server: &BackendServer, now: Millis) -> bool {
        self.is_stated && self.born_ms == server.born_ms && now.since(self.at) < KEPT_MS
    }
}

/// Departures that one VM knows.
#[derive(Debug, Default)]
pub struct Departures {
    by_server: HashMap<String, Known>,
    /// Place, among the departures that take turns, at which the next message begins.
    next_turn: usize,
}

impl Departures {
    /// Records that a server leaves or has left, by a view of the given revision.
    pub fn record(&mut self, server: &BackendServer, revision: StoreRevision, now: Millis) {
        self.put(&server.id, Known::new(server, revision, now, false), now);
    }

    /// Records that a server has stated in an answer that it leaves. Returns whether that was unknown.
    pub fn record_stated(&mut self, server: &BackendServer, revision: StoreRevision, now: Millis) -> bool {
        let stated = Known::new(server, revision, now, true);
        match self.by_server.get_mut(&server.id) {
            // The server answers, so its life is the present one, although its clock says that it is an earlier one.
            Some(earlier) if server.born_ms < earlier.born_ms => {
                *earlier = stated;
                true
            }
            _ => self.put(&server.id, stated, now),
        }
    }

    /// Whether a server has stated in an answer that it leaves. A server that starts anew may stay.
    pub fn is_stated(&self, server: &BackendServer, now: Millis) -> bool {
        let known = self.by_server.get(&server.id);
        known.is_some_and(|it| it.is_stated_for(server, now))
    }

    /// Whether the process that an entry describes is known to leave or to have left.
    pub fn has_left(&self, server: &BackendServer) -> bool {
        let known = self.by_server.get(&server.id);
        known.is_some_and(|it| it.born_ms == server.born_ms)
    }

    /// Merges what another VM sends; returns the servers whose departure was unknown. Malformed and expired departures
    /// are ignored.
    pub fn merge(&mut self, reported: Vec<Departure>, now: Millis) -> Vec<String> {
        let is_valid = |it: &Departure| (1..=MAX_ID).contains(&it.server.len()) && it.age_ms < KEPT_MS;
        let reported = reported.into_iter().filter(is_valid);
        let mut learnt = Vec::new();
        for it in reported {
            let known = Known {
                born_ms: it.born_ms,
                writes: it.writes,
                revision: it.revision,
                at: now - it.age_ms,
                is_stated: it.is_stated,
                outlived_by: None,
            };
            if self.put(&it.server, known, now) {
                learnt.push(it.server);
            }
        }
        learnt
    }

    /// Records that an entry of unclear age has outlived a late write: the server writes it. Entries of its life count as
    /// later from now on.
    pub fn outlive(&mut self, server: &BackendServer) {
        if let Some(known) = self.by_server.get_mut(&server.id) {
            known.outlived_by = Some(server.born_ms);
        }
    }

    /// Keeps what a listed server has stated for as long as it is listed with the same start. An entry without a start may
    /// be of a server that has started anew, so it takes another answer.
    pub fn renew(&mut self, server: &BackendServer, now: Millis) {
        let known = self.by_server.get_mut(&server.id);
        if let Some(known) = known.filter(|it| server.born_ms > 0 && it.is_stated_for(server, now)) {
            known.at = now;
        }
    }

    /// Age of a server's entry in a view of the given revision. What the server has stated itself comes before the store's
    /// notice and holds in any view.
    pub fn entry_age(&self, server: &BackendServer, revision: StoreRevision, now: Millis) -> EntryAge {
        if self.is_stated(server, now) {
            return EntryAge::Earlier;
        }
        let known = self.by_server.get(&server.id);
        let Some(known) = known.filter(|it| now.since(it.at) < KEPT_MS) else {
            return EntryAge::Later;
        };
        let is_same_life = server.born_ms > 0 && server.born_ms == known.born_ms;
        let is_outnumbered = server.writes > 0 && server.writes < known.writes;
        let is_counted_later = (server.born_ms, server.writes) > (known.born_ms, known.writes);
        if is_counted_later || known.outlived_by == Some(server.born_ms) && !(is_same_life && is_outnumbered) {
            EntryAge::Later
        } else if is_same_life && is_outnumbered {
            EntryAge::Earlier
        } else if revision.era == known.revision.era && revision >= known.revision {
            EntryAge::Unclear
        } else {
            EntryAge::Earlier
        }
    }

    /// Departures for another VM. If one message cannot hold all, repeated messages do.
    pub fn recent(&mut self, now: Millis) -> Vec<Departure> {
        let is_told = |it: &Known| it.outlived_by.is_none() && now.since(it.at) < KEPT_MS;
        let reported = self.by_server.iter().filter(|(_, it)| is_told(it));
        let mut reported: Vec<(&String, &Known)> = reported.collect();
        reported.sort_by_key(|(server, it)| (Reverse(it.at), *server));
        if reported.len() > MAX_SENT {
            let others = reported.split_off(LATEST_SENT);
            let turn = self.next_turn % others.len();
            let in_turn = others.into_iter().cycle().skip(turn).take(MAX_SENT - LATEST_SENT);
            reported.extend(in_turn);
            self.next_turn = turn + MAX_SENT - LATEST_SENT;
        }
        let recent = reported.into_iter().map(|(server, it)| Departure {
            server: server.clone(),
            born_ms: it.born_ms,
            writes: it.writes,
            revision: it.revision,
            age_ms: now.since(it.at),
            is_stated: it.is_stated,
        });
        recent.collect()
    }

    /// Returns whether the departure was unknown.
    fn put(&mut self, server: &str, known: Known, now: Millis) -> bool {
        let order = |it: &Known| (it.born_ms, it.writes);
        if let Some(earlier) = self.by_server.get_mut(server) {
            let was_stated = earlier.is_stated && earlier.born_ms == known.born_ms;
            let is_news = known.is_stated && !was_stated && known.born_ms >= earlier.born_ms;
            let is_successor = earlier.outlived_by == Some(known.born_ms) && known.born_ms < earlier.born_ms;
            if order(&known) > order(earlier) || is_news || is_successor {
                *earlier = Known {
                    writes: known.writes.max(if was_stated { earlier.writes } else { 0 }),
                    is_stated: known.is_stated || was_stated,
                    ..known
                };
                return true;
            }
            earlier.revision = earlier.revision.max(known.revision);
            return false;
        }
        if self.by_server.len() >= MAX_KEPT {
            self.by_server.retain(|_, it| now.since(it.at) < KEPT_MS);
        }
        if self.by_server.len() >= MAX_KEPT {
            let oldest = self.by_server.iter().min_by_key(|(_, it)| (it.is_stated, it.at));
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.by_server.remove(&oldest);
            }
        }
        self.by_server.insert(server.to_owned(), known);
        true
    }
}
