//! What backend servers state of themselves in the heads of their answers.
//!
//! A server is the only source for these statements and knows them first: that it leaves, which holds for the rest of
//! its life and concerns every VM, see [`crate::departures`]; that it wants nothing from one VM for a time, which binds
//! this VM only, because the server may have capacity for others; and limits on what all VMs together send, see
//! [`crate::server_limits`].

use std::collections::HashMap;

use guava_core::derive_value;
use guava_core::units::Millis;

use crate::model::BackendServer;

/// Longest rest that is kept, in milliseconds. A server that states a longer one states it again after a day.
pub const MAX_REST_MS: u64 = 86_400_000;
/// Limit on rests that are kept; those that end first are dropped. It exceeds the number of servers of a deployment.
const MAX_KEPT: usize = 16_384;

derive_value! {
    /// Statements in the head of one answer.
    #[derive(Default)]
    pub struct Statements {
        /// Whether the server leaves.
        pub is_leaving: bool,
        /// Time in milliseconds for which the server wants nothing from this VM; `None` if it states none.
        pub rest_ms: Option<u64>,
        /// Requests a second that the server takes from all VMs together; `None` if it names no limit.
        pub per_s: Option<f64>,
        /// Requests a second that the server can turn away before it falls over; `None` if it names no such number.
        pub refusals: Option<u64>,
        /// Milliseconds until the server is warm; `None` if it states none.
        pub cold_ms: Option<u64>,
    }

    /// Rest that a server has asked a VM for.
    pub struct Rest {
        /// Id of the server.
        pub server: String,
        /// Wall-clock time of its start, in milliseconds.
        pub born_ms: u64,
        /// Milliseconds until the end of the rest.
        pub left_ms: u64,
    }
}

/// Why no server of a service takes a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// All leave.
    Leaving,
    /// All that could take it have asked this VM for a rest; the first one ends after so many milliseconds.
    Resting(u64),
}

impl Obstacle {
    /// Whether a request may wait for the end of the obstacle: it ends while the request can still meet its objective,
    /// or the model is loaded at another engine before. `spare_ms` is the time left for the objective, `load_ms` the time
    /// until the model is loaded, if that is known.
    pub fn is_worth_waiting(self, spare_ms: u64, load_ms: Option<u64>) -> bool {
        match self {
            Self::Leaving => false,
            // A load time of zero is that of an engine that rests.
            Self::Resting(left_ms) => left_ms < spare_ms || load_ms.is_some_and(|it| it > 0 && it < left_ms),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    born_ms: u64,
    until: Millis,
}

/// Rests that servers have asked this VM for.
#[derive(Debug, Default)]
pub struct Rests {
    by_server: HashMap<String, Known>,
}

impl Rests {
    /// Records that a server wants nothing for `rest_ms` milliseconds. A shorter rest does not end a longer one. Returns
    /// whether the rest ends later than was known.
    pub fn record(&mut self, server: &BackendServer, rest_ms: u64, now: Millis) -> bool {
        let until = now + rest_ms.min(MAX_REST_MS);
        let known = self.by_server.get(&server.id);
        if until <= now || known.is_some_and(|it| it.born_ms == server.born_ms && it.until >= until) {
            return false;
        }
        if known.is_none() && self.by_server.len() >= MAX_KEPT {
            let first = self.by_server.iter().min_by_key(|(_, it)| it.until);
            if let Some(first) = first.map(|(server, _)| server.clone()) {
                self.by_server.remove(&first);
            }
        }
        let born_ms = server.born_ms;
        self.by_server.insert(server.id.clone(), Known { born_ms, until });
        true
    }

    /// Milliseconds until a server takes requests of this VM again; `None` if it does now. A server that has started anew
    /// has asked for nothing.
    pub fn left_ms(&self, server: &BackendServer, now: Millis) -> Option<u64> {
        let known = self.by_server.get(&server.id)?;
        (known.born_ms == server.born_ms && now < known.until).then(|| known.until.since(now))
    }

    /// Drops the rests that have ended.
    pub fn remove_ended(&mut self, now: Millis) {
        self.by_server.retain(|_, it| now < it.until);
    }

    /// Rests that have not ended.
    pub fn current(&self, now: Millis) -> Vec<Rest> {
        let current = self.by_server.iter().filter(|(_, it)| now < it.until);
        let current = current.map(|(server, it)| Rest {
            server: server.clone(),
            born_ms: it.born_ms,
            left_ms: it.until.since(now),
        });
        current.collect()
    }
}
