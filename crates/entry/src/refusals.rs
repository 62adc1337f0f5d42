//! Refusals by backend servers that lack a model or are full, and what must change before they get such requests again.

use std::collections::HashMap;

use guava_core::units::Millis;

/// Limit on the refusals that are kept; the oldest ones are evicted.
const MAX_REFUSALS: usize = 1_024;

/// Longest time, in milliseconds, for which a server counts as lacking a model. A VM that receives nothing about the server
/// would otherwise leave it out for as long as it runs. No request lasts as long, so none gets to the server twice.
const LACKING_EXPIRY_MS: u64 = 60_000;

/// Server, model and adapter.
type RefusalKey = (String, String, Option<String>);

/// How long a refusal holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Validity {
    /// Until something is learnt of the server, at most [`LACKING_EXPIRY_MS`].
    UntilChange,
    /// Until this time.
    Until(Millis),
}

/// Refusal of requests for a model.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    at: Millis,
    validity: Validity,
}

/// Refusals of this VM's requests by servers, and when something was last learnt of each server.
#[derive(Debug, Default)]
pub struct Refusals {
    by_model: HashMap<RefusalKey, Refusal>,
    changed: HashMap<String, Millis>,
}

impl Refusals {
    /// Records that a server's entry or its models in the placement have changed or were confirmed.
    pub fn record_change(&mut self, server: &str, now: Millis) {
        self.changed.insert(server.to_owned(), now);
    }

    /// Forgets a server that is gone.
    pub fn remove_server(&mut self, server: &str) {
        self.changed.remove(server);
        self.by_model.retain(|(it, ..), _| it != server);
    }

    /// Whether something was learnt of a server after `since`.
    pub fn has_changed_since(&self, server: &str, since: Millis) -> bool {
        self.changed.get(server).is_some_and(|it| *it > since)
    }

    /// Records that a server does not hold a model, or its adapter if one is named. This holds until something is learnt of
    /// the server.
    pub fn record_lacking(&mut self, server: &str, model: &str, adapter: Option<&str>, now: Millis) {
        self.record(server, model, adapter, Validity::UntilChange, now);
    }

    /// Records that a server refuses requests for a model for some milliseconds, because it is full.
    pub fn record_full(&mut self, server: &str, model: &str, hold_ms: u64, now: Millis) {
        if !self.is_refused(server, model, None, now) {
            self.record(server, model, None, Validity::Until(now + hold_ms), now);
        }
    }

    fn record(&mut self, server: &str, model: &str, adapter: Option<&str>, validity: Validity, now: Millis) {
        if self.by_model.len() >= MAX_REFUSALS {
            self.make_room(now);
        }
        let key = (server.to_owned(), model.to_owned(), adapter.map(str::to_owned));
        self.by_model.insert(key, Refusal { at: now, validity });
    }

    fn make_room(&mut self, now: Millis) {
        let changed = &self.changed;
        self.by_model
            .retain(|(server, ..), it| it.holds(changed.get(server), now));
        let oldest = self.by_model.iter().min_by_key(|(_, it)| it.at);
        if let Some(key) = oldest.map(|(key, _)| key.clone())
            && self.by_model.len() >= MAX_REFUSALS
        {
            self.by_model.remove(&key);
        }
    }

    /// Whether a server is known to refuse requests for a model and its adapter now.
    pub fn is_refused(&self, server: &str, model: &str, adapter: Option<&str>, now: Millis) -> bool {
        // Few requests are refused, and each request checks all servers; building a key copies the names.
        if self.by_model.is_empty() {
            return false;
        }
        let is_refused = |adapter: Option<&str>| {
            let key = (server.to_owned(), model.to_owned(), adapter.map(str::to_owned));
            let refusal = self.by_model.get(&key);
            refusal.is_some_and(|it| it.holds(self.changed.get(server), now))
        };
        // A server that lacks a model lacks its adapters.
        is_refused(None) || (adapter.is_some() && is_refused(adapter))
    }

    /// Servers that are known to lack a model or its adapter, with these.
    pub fn lacking(&self, now: Millis) -> impl Iterator<Item = (&str, &str, Option<&str>)> {
        let held = self.by_model.iter().filter(move |((server, ..), it)| {
            it.validity == Validity::UntilChange && it.holds(self.changed.get(server), now)
        });
        held.map(|((server, model, adapter), _)| (server.as_str(), model.as_str(), adapter.as_deref()))
    }
}

impl Refusal {
    fn holds(&self, changed: Option<&Millis>, now: Millis) -> bool {
        match self.validity {
            Validity::Until(until) => now < until,
            Validity::UntilChange => now.since(self.at) < LACKING_EXPIRY_MS && changed.is_none_or(|it| *it <= self.at),
        }
    }
}
