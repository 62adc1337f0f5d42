//! Limits that backend servers name in their answers and that bind all VMs together.
//!
//! A server in need names the requests a second that it takes. A brittle one names how many requests it can turn away in
//! a second; after one more it falls over. Each VM learns what is named from answers and from other VMs: [`NamedLimits`]
//! keeps the newest of each server, with its age. What counts is what all VMs send together, so one VM hands out the
//! places of a server, chosen by rendezvous hashing like the VM that paces an engine: [`PlaceKeeper`].
//!
//! Servers of a service turn brittle together, so one that has said nothing yet, because it has just started, counts as
//! brittle while others of its service are; else all VMs would rush to a server that is back after a fall.
//!
//! For a brittle server the keeper bounds the requests that may be turned away: those that it let through a moment ago,
//! whose outcome it does not know yet, and those that were turned away within the last second. Once one is turned away,
//! the server is full and gets nothing for a while.

use std::collections::{HashMap, VecDeque};

use guava_core::derive_value;
use guava_core::units::Millis;

use crate::model::BackendServer;
use crate::statements::Statements;

/// Time for which a limit is kept that nobody confirms, in milliseconds.
const KEPT_MS: u64 = 60_000;
/// Answers in a row without the header that end a limit, if they also span [`LIFTED_MS`]. A single answer may lack it.
const LIFTED_ANSWERS: u32 = 3;
const LIFTED_MS: u64 = 1_000;
/// Limit on servers whose limits are kept; the ones confirmed longest ago are dropped.
const MAX_KEPT: usize = 16_384;
/// Limit on servers in one message.
const MAX_SENT: usize = 64;
/// Longest id of a server in a message.
const MAX_ID: usize = 128;
/// Change of a limit, as a fraction, after which other VMs are notified at once.
const NEWS_CHANGE: f64 = 0.2;
/// Lowest rate, in requests a second, so that a server that names zero is asked again now and then.
const MIN_RATE: f64 = 0.1;
/// Time after which a request that was let through has been turned away or not: a round trip, and the report of it.
const OUTCOME_MS: u64 = 200;
/// Time in which a brittle server counts the requests that it turns away.
const REFUSED_WINDOW_MS: u64 = 1_000;
/// Part of the refusals that a server can bear that the keeper puts at risk. The rest is for a keeper that has just taken
/// over and knows of none.
const USED_REFUSALS: f64 = 0.5;
/// Refusals up to which a keeper that takes over counts one that it does not know.
const FEW_REFUSALS: u64 = 3;
/// Limit on refusals that are kept for a server.
const MAX_REFUSED: usize = 1_024;
/// Time for which a server that has turned a request away gets no other one, in milliseconds.
const FULL_MS: u64 = 300;
/// Time without requests after which a server's places are dropped.
const IDLE_EXPIRY_MS: u64 = 10_000;

derive_value! {
    /// Limits that a server names.
    #[derive(Copy, Default)]
    pub struct Limits {
        /// Requests a second that it takes from all VMs together.
        pub per_s: Option<f64>,
        /// Requests a second that it can turn away before it falls over.
        pub refusals: Option<u64>,
    }

    /// Limits of one server, as one VM sends another.
    pub struct NamedLimit {
        /// Id of the server.
        pub server: String,
        /// Name of its service.
        pub service: String,
        /// Wall-clock time of its start, in milliseconds.
        pub born_ms: u64,
        /// What it names; default if it has stopped naming limits.
        pub limits: Limits,
        /// Milliseconds since it was last known to do so.
        pub age_ms: u64,
    }

    /// What became of a request that was let through to a server.
    pub struct PlaceOutcome {
        /// Id of the server.
        pub server: String,
        /// Wall-clock time of its start, in milliseconds.
        pub born_ms: u64,
        /// Whether the server turned the request away.
        pub is_refused: bool,
    }
}

impl Limits {
    /// Whether there is none.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }

    fn is_news_after(&self, before: &Self) -> bool {
        let differs = |a: Option<f64>, b: Option<f64>| match (a, b) {
            (Some(a), Some(b)) => (a - b).abs() > NEWS_CHANGE * a.max(b),
            _ => a.is_some() != b.is_some(),
        };
        let refusals = |it: &Self| it.refusals.map(|it| it as f64);
        differs(self.per_s, before.per_s) || differs(refusals(self), refusals(before))
    }
}

#[derive(Debug, Clone)]
struct Known {
    service: String,
    born_ms: u64,
    limits: Limits,
    at: Millis,
    /// Answers of the server without a limit since `at`.
    answers_without: u32,
}

/// What a server of a service has named last.
#[derive(Debug, Clone, Copy)]
struct Brittle {
    refusals: u64,
    at: Millis,
}

/// Newest limits of each server, as one VM knows them.
#[derive(Debug, Default)]
pub struct NamedLimits {
    by_server: HashMap<String, Known>,
    /// Services whose servers say that they are brittle.
    brittle_services: HashMap<String, Brittle>,
    /// Servers of which other VMs are to be notified.
    updates: Vec<String>,
}

impl NamedLimits {
    /// Records what an answer of a server names. Returns whether that is new.
    pub fn record(&mut self, server: &BackendServer, stated: &Statements, now: Millis) -> bool {
        let limits = Limits {
            per_s: stated.per_s,
            refusals: stated.refusals,
        };
        let known = self.by_server.get_mut(&server.id);
        let known = known.filter(|it| it.born_ms == server.born_ms);
        if limits.is_none() {
            let Some(known) = known else {
                // What is presumed of its service does not hold for this server.
                if self.brittle_services.contains_key(&server.service) {
                    self.put(Known::new(server, limits, now), &server.id);
                }
                return false;
            };
            if known.limits.is_none() {
                return false;
            }
            known.answers_without += 1;
            if known.answers_without < LIFTED_ANSWERS || now.since(known.at) < LIFTED_MS {
                return false;
            }
        }
        self.put(Known::new(server, limits, now), &server.id)
    }

    /// Merges what another VM sends. Returns whether any of it is new.
    pub fn merge(&mut self, reported: Vec<NamedLimit>, now: Millis) -> bool {
        let is_valid = |it: &NamedLimit| {
            let per_s = it.limits.per_s.unwrap_or_default();
            let has_ids = it.server.len() <= MAX_ID && it.service.len() <= MAX_ID;
            it.age_ms < KEPT_MS && has_ids && per_s.is_finite() && per_s >= 0.0
        };
        let mut is_news = false;
        for it in reported.into_iter().take(MAX_SENT).filter(is_valid) {
            let at = now - it.age_ms;
            let known = self.by_server.get(&it.server);
            if known.is_none_or(|known| (it.born_ms, at) > (known.born_ms, known.at)) {
                let reported = Known {
                    service: it.service,
                    born_ms: it.born_ms,
                    limits: it.limits,
                    at,
                    answers_without: 0,
                };
                is_news |= self.put(reported, &it.server);
            }
        }
        is_news
    }

    fn put(&mut self, known: Known, server: &str) -> bool {
        let (born_ms, limits, at) = (known.born_ms, known.limits, known.at);
        let is_newest = self.brittle_services.get(&known.service).is_none_or(|it| it.at <= at);
        match limits.refusals {
            Some(refusals) if is_newest => {
                let brittle = Brittle { refusals, at };
                self.brittle_services.insert(known.service.clone(), brittle);
            }
            None if is_newest => {
                self.brittle_services.remove(&known.service);
            }
            _ => {}
        }
        let before = self.by_server.insert(server.to_owned(), known);
        let before = before.filter(|it| it.born_ms == born_ms);
        let is_news = limits.is_news_after(&before.map(|it| it.limits).unwrap_or_default());
        if is_news && !self.updates.iter().any(|it| it == server) {
            self.updates.push(server.to_owned());
        }
        if self.by_server.len() > MAX_KEPT
            && let Some(oldest) = self.by_server.iter().min_by_key(|(_, it)| it.at)
        {
            let oldest = oldest.0.clone();
            self.by_server.remove(&oldest);
        }
        is_news
    }

    /// Limits of a server; `None` if it names none.
    pub fn of(&self, server: &BackendServer, now: Millis) -> Option<NamedLimit> {
        let known = self.by_server.get(&server.id);
        let known = known.filter(|it| it.born_ms == server.born_ms && now.since(it.at) < KEPT_MS);
        if let Some(known) = known {
            return (!known.limits.is_none()).then(|| known.tell(&server.id, now));
        }
        let presumed = self.brittle_services.get(&server.service);
        let presumed = presumed.filter(|it| now.since(it.at) < KEPT_MS)?;
        let limits = Limits {
            per_s: None,
            refusals: Some(presumed.refusals),
        };
        Some(Known::new(server, limits, presumed.at).tell(&server.id, now))
    }

    /// Number of servers whose limits are kept.
    pub fn count(&self) -> u64 {
        self.by_server.values().filter(|it| !it.limits.is_none()).count() as u64
    }

    /// What other VMs are to be notified at once.
    pub fn drain_updates(&mut self, now: Millis) -> Vec<NamedLimit> {
        let left = self.updates.split_off(self.updates.len().min(MAX_SENT));
        let updates = std::mem::replace(&mut self.updates, left);
        let reported = updates
            .iter()
            .filter_map(|server| Some(self.by_server.get(server)?.tell(server, now)));
        reported.collect()
    }

    /// The latest limits, for the gossip of VMs.
    pub fn summary(&self, now: Millis) -> Vec<NamedLimit> {
        let recent = self.by_server.iter().filter(|(_, it)| now.since(it.at) < KEPT_MS);
        let mut recent: Vec<NamedLimit> = recent.map(|(server, it)| it.tell(server, now)).collect();
        recent.sort_by_key(|it| it.age_ms);
        recent.truncate(MAX_SENT);
        recent
    }

    /// Drops what nobody has confirmed for long.
    pub fn remove_expired(&mut self, now: Millis) {
        self.by_server.retain(|_, it| now.since(it.at) < KEPT_MS);
        self.brittle_services.retain(|_, it| now.since(it.at) < KEPT_MS);
    }
}

impl Known {
    fn new(server: &BackendServer, limits: Limits, at: Millis) -> Self {
        Self {
            service: server.service.clone(),
            born_ms: server.born_ms,
            limits,
            at,
            answers_without: 0,
        }
    }

    fn tell(&self, server: &str, now: Millis) -> NamedLimit {
        NamedLimit {
            server: server.to_owned(),
            service: self.service.clone(),
            born_ms: self.born_ms,
            limits: self.limits,
            age_ms: now.since(self.at),
        }
    }
}

/// Places of one server.
#[derive(Debug, Default)]
struct Places {
    born_ms: u64,
    /// Time at which the next request of a server with a rate is due, in milliseconds.
    due: f64,
    /// Requests that were let through and whose outcome is unknown.
    sent: VecDeque<Millis>,
    /// Requests that the server has turned away.
    refused: VecDeque<Millis>,
    full_until: Millis,
    last_used: Millis,
}

/// Places of the servers for which this VM hands them out.
#[derive(Debug, Default)]
pub struct PlaceKeeper {
    servers: HashMap<String, Places>,
}

impl PlaceKeeper {
    /// Takes a place for a request. Returns the number of milliseconds after which it may be sent. `share` is the part of
    /// the limits that this VM hands out, from 0 to 1: less than 1 while other VMs may hand out places too.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which to ask again if that is longer than `max_wait_ms`; nothing is taken then.
    pub fn take(&mut self, named: &NamedLimit, share: f64, max_wait_ms: u64, now: Millis) -> Result<u64, u64> {
        self.servers
            .retain(|_, it| now.since(it.last_used) < IDLE_EXPIRY_MS || now < it.full_until);
        let is_new = self
            .servers
            .get(&named.server)
            .is_none_or(|it| it.born_ms != named.born_ms);
        let places = self.servers.entry(named.server.clone()).or_default();
        if is_new {
            *places = Places {
                born_ms: named.born_ms,
                ..Places::default()
            };
            // The keeper before may have let requests through that are turned away, and the server bears few.
            if named.limits.refusals.is_some_and(|it| it <= FEW_REFUSALS) {
                places.refused.push_back(now);
            }
        }
        places.last_used = now;
        if let Some(refusals) = named.limits.refusals {
            places.check_room(refusals, share, now)?;
        }
        let wait = named.limits.per_s.map_or(Ok(0), |per_s| {
            let rate = (per_s * share).max(MIN_RATE);
            let wait = (places.due - now.0 as f64).max(0.0).ceil() as u64;
            if wait > max_wait_ms {
                return Err(wait);
            }
            places.due = places.due.max(now.0 as f64) + 1_000.0 / rate;
            Ok(wait)
        })?;
        if named.limits.refusals.is_some() {
            places.sent.push_back(now + wait);
        }
        Ok(wait)
    }

    /// Records that a server has taken a request that was let through, or has turned it away for want of room.
    pub fn record_outcome(&mut self, outcome: &PlaceOutcome, now: Millis) {
        // A refusal counts too if the request went without a place, before its VM knew the limit.
        let is_known = self
            .servers
            .get(&outcome.server)
            .is_some_and(|it| it.born_ms == outcome.born_ms);
        if !is_known && (!outcome.is_refused || outcome.server.len() > MAX_ID || self.servers.len() >= MAX_KEPT) {
            return;
        }
        let places = self.servers.entry(outcome.server.clone()).or_default();
        if !is_known {
            *places = Places {
                born_ms: outcome.born_ms,
                last_used: now,
                ..Places::default()
            };
        }
        places.sent.pop_front();
        if outcome.is_refused {
            places.refused.push_back(now);
            if places.refused.len() > MAX_REFUSED {
                places.refused.pop_front();
            }
            places.full_until = now + FULL_MS;
        }
    }
}

impl Places {
    /// Fails with the wait in milliseconds if one more request could make the server fall over.
    fn check_room(&mut self, refusals: u64, share: f64, now: Millis) -> Result<(), u64> {
        if now < self.full_until {
            return Err(self.full_until.since(now));
        }
        // A share of less than one refusal is spread over a longer time.
        let whole = (refusals as f64 * USED_REFUSALS).ceil();
        let at_risk = whole * share;
        let span = (1.0 / at_risk.clamp(0.1, 1.0)).ceil() as u64;
        let most = at_risk.max(1.0) as usize;
        drop_before(&mut self.sent, now, OUTCOME_MS * span);
        drop_before(&mut self.refused, now, REFUSED_WINDOW_MS * span);
        if self.sent.len() + self.refused.len() < most {
            return Ok(());
        }
        let sent = self.sent.front().map(|it| *it + OUTCOME_MS * span);
        let refused = self.refused.front().map(|it| *it + REFUSED_WINDOW_MS * span);
        let free_at = [sent, refused].into_iter().flatten().min();
        Err(free_at.map_or(1, |it| it.since(now).max(1)))
    }
}

fn drop_before(times: &mut VecDeque<Millis>, now: Millis, window_ms: u64) {
    while times.front().is_some_and(|it| now.since(*it) > window_ms) {
        times.pop_front();
    }
}
