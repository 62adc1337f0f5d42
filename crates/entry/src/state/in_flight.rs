//! Requests in flight: those that run at backend servers, wait for a model or were refused for want of one.

use std::collections::HashMap;
use std::sync::Arc;

use guava_core::units::Millis;
use guava_fleet::placement::{Demand, Need, Running};

use super::{EntryState, now};
use crate::metrics;

/// Longest time, in milliseconds, for which a refused request counts as waiting: the time until its caller comes back, if a
/// load from the store is what it needs.
const MAX_REFUSED_DEMAND_MS: u64 = 6_000;
/// Limit on models, with adapter and version, for which refused requests are counted.
const MAX_REFUSED_DEMAND: usize = 1_024;

/// Requests in flight.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    /// Number of running requests, by server and model; the model is empty for a plain service.
    running: HashMap<(String, String), u32>,
    /// Requests for which no server holds the model or is free.
    waiting: HashMap<ModelKey, Vec<WaitingRequest>>,
    /// Requests for a model that were refused and whose callers come back.
    refused: HashMap<ModelKey, RefusedDemand>,
    arrived: HashMap<ModelKey, Arrivals>,
}

/// Service, model, adapter, and the software version that the requests are bound to.
pub(super) type ModelKey = (String, String, Option<String>, Option<String>);

/// What a request that waits for a model needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestNeed {
    /// Priority, 0 first.
    pub urgency: u8,
    /// Until when its first event is of use.
    pub useful_until: Millis,
    /// When its objective ends.
    pub objective_at: Millis,
}

impl RequestNeed {
    fn merge(self, other: Self) -> Self {
        Self {
            urgency: self.urgency.min(other.urgency),
            useful_until: self.useful_until.max(other.useful_until),
            objective_at: self.objective_at.min(other.objective_at),
        }
    }

    fn at(self, now: Millis) -> Need {
        Need {
            urgency: self.urgency,
            useful_ms: Some(self.useful_until.since(now)),
            objective_ms: self.objective_at.since(now),
        }
    }
}

/// Request that waits for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingRequest {
    since: Millis,
    need: RequestNeed,
}

/// Demand of a refused request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedDemand {
    since: Millis,
    need: RequestNeed,
    /// When it ends unless another request is refused.
    until: Millis,
}

/// Requests for a model since the last report.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Arrivals {
    count: u32,
    prompt_tokens: u64,
}

impl EntryState {
    /// Collects demand and running requests for a report, and resets the count of arrivals.
    pub fn collect_report(&self) -> (Vec<Demand>, Vec<Running>) {
        let (demand, running) = self.collect_needs();
        (demand.into_iter().map(|(it, _)| it).collect(), running)
    }

    /// The same with what the requests of each demand need.
    pub fn collect_needs(&self) -> (Vec<(Demand, Need)>, Vec<Running>) {
        let at = now();
        let mut in_flight = self.in_flight.lock();
        let mut arrived = std::mem::take(&mut in_flight.arrived);
        in_flight.refused.retain(|_, it| at < it.until);
        let mut demand = Vec::new();
        for (key, waiting) in &in_flight.waiting {
            let arrived = arrived.remove(key).unwrap_or_default();
            let since: Vec<Millis> = waiting.iter().map(|it| it.since).collect();
            let refused = in_flight.refused.get(key).map(|it| it.need);
            let needs = waiting.iter().map(|it| it.need).chain(refused);
            demand.push((demand_for(key.clone(), &since, arrived), merge_needs(needs, at)));
        }
        for (key, refused) in in_flight
            .refused
            .iter()
            .filter(|(key, _)| !in_flight.waiting.contains_key(*key))
        {
            let arrived = arrived.remove(key).unwrap_or_default();
            demand.push((demand_for(key.clone(), &[refused.since], arrived), refused.need.at(at)));
        }
        let arrived = arrived.into_iter();
        demand.extend(arrived.map(|(key, arrived)| (demand_for(key, &[], arrived), Need::default())));
        let running = in_flight.running.iter().map(|((server, model), count)| Running {
            server: server.clone(),
            model: model.clone(),
            count: *count,
        });
        (demand, running.collect())
    }

    pub(crate) fn running_by_server(&self) -> HashMap<String, u32> {
        let in_flight = self.in_flight.lock();
        let mut counts = HashMap::new();
        for ((server, _), count) in &in_flight.running {
            *counts.entry(server.clone()).or_default() += count;
        }
        counts
    }

    /// Number of requests that wait for a model.
    pub fn waiting_requests(&self) -> u64 {
        self.in_flight.lock().waiting.values().map(|it| it.len() as u64).sum()
    }

    /// Number of requests that run at backend servers.
    pub fn running_requests(&self) -> u64 {
        self.in_flight.lock().running.values().map(|it| u64::from(*it)).sum()
    }

    /// Counts the arrival of a request for a model in the next report.
    pub fn record_arrival(&self, service: &str, model: &str, adapter: Option<&str>, prompt_tokens: u64) {
        let key = (service.to_owned(), model.to_owned(), adapter.map(str::to_owned), None);
        let mut in_flight = self.in_flight.lock();
        let arrived = in_flight.arrived.entry(key).or_default();
        arrived.count += 1;
        arrived.prompt_tokens = arrived.prompt_tokens.saturating_add(prompt_tokens);
    }

    /// Counts a refused request as waiting for a model until its caller comes back, at most for `back_ms` milliseconds.
    /// `version` is the software version that it is bound to.
    pub fn record_refused(
        &self,
        service: &str,
        model: &str,
        adapter: Option<&str>,
        version: Option<&str>,
        need: RequestNeed,
        back_ms: u64,
    ) {
        let (adapter, version) = (adapter.map(str::to_owned), version.map(str::to_owned));
        let key = (service.to_owned(), model.to_owned(), adapter, version);
        let at = now();
        let until = at + back_ms.min(MAX_REFUSED_DEMAND_MS);
        let mut in_flight = self.in_flight.lock();
        if in_flight.refused.len() < MAX_REFUSED_DEMAND {
            let refused = in_flight
                .refused
                .entry(key)
                .or_insert(RefusedDemand { since: at, need, until });
            refused.until = refused.until.max(until);
            refused.need = refused.need.merge(need);
        }
        drop(in_flight);
        self.demand_changed.notify_one();
    }

    /// Counts a request as waiting for a model until the guard is dropped. `version` is the software version that it is
    /// bound to.
    pub fn track_waiting(
        self: &Arc<Self>,
        service: &str,
        model: &str,
        adapter: Option<&str>,
        version: Option<&str>,
        need: RequestNeed,
    ) -> WaitingGuard {
        let (adapter, version) = (adapter.map(str::to_owned), version.map(str::to_owned));
        let key = (service.to_owned(), model.to_owned(), adapter, version);
        let request = WaitingRequest { since: now(), need };
        self.in_flight
            .lock()
            .waiting
            .entry(key.clone())
            .or_default()
            .push(request);
        self.demand_changed.notify_one();
        WaitingGuard {
            state: Arc::clone(self),
            key,
            request,
        }
    }

    /// Counts a request as running at a server until the guard is dropped.
    pub fn track_running(self: &Arc<Self>, server: &str, model: Option<&str>) -> RunningGuard {
        let key = (server.to_owned(), model.unwrap_or_default().to_owned());
        *self.in_flight.lock().running.entry(key.clone()).or_default() += 1;
        RunningGuard {
            state: Arc::clone(self),
            key,
        }
    }
}

fn merge_needs(needs: impl Iterator<Item = RequestNeed>, at: Millis) -> Need {
    let merged = needs.reduce(RequestNeed::merge);
    merged.map(|it| it.at(at)).unwrap_or_default()
}

fn demand_for(key: ModelKey, waiting: &[Millis], arrived: Arrivals) -> Demand {
    let (service, model, adapter, version) = key;
    Demand {
        service,
        model,
        adapter,
        version,
        waiting: waiting.len() as u32,
        oldest_ms: waiting.iter().min().map_or(0, |it| now().since(*it)),
        arrived: arrived.count,
        prompt_tokens: arrived.prompt_tokens,
    }
}

/// Keeps a request counted as waiting; see [`EntryState::track_waiting`].
#[derive(Debug)]
pub struct WaitingGuard {
    state: Arc<EntryState>,
    key: ModelKey,
    request: WaitingRequest,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        metrics::model_wait(now().since(self.request.since));
        let mut in_flight = self.state.in_flight.lock();
        let Some(waiting) = in_flight.waiting.get_mut(&self.key) else {
            return;
        };
        if let Some(at) = waiting.iter().position(|it| *it == self.request) {
            waiting.swap_remove(at);
        }
        if waiting.is_empty() {
            in_flight.waiting.remove(&self.key);
        }
    }
}

/// Keeps a request counted as running; see [`EntryState::track_running`].
#[derive(Debug)]
pub struct RunningGuard {
    state: Arc<EntryState>,
    key: (String, String),
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        decrement(&mut self.state.in_flight.lock().running, &self.key);
    }
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
