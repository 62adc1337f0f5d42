//! Demand reports of all routers, merged per model and per adapter.

use std::collections::BTreeMap;

use crate::ids::{AdapterName, ModelName, OrganisationName, Zone};
use crate::placement::{Demand, OrganisationDemand};
use crate::snapshot::Snapshot;
use crate::units::Millis;

/// Time after which a router's report no longer counts; routers repeat theirs every 2 s while they have requests.
pub const DEMAND_TTL_MS: u64 = 3_000;
/// Time without demand after which the next report counts as a wake.
pub const IDLE_GAP_MS: u64 = 5_000;
/// Half-life of the wake rate.
const WAKE_HALF_LIFE_MS: f64 = 600_000.0;
/// Cold-start target used when a report names an unknown profile.
const DEFAULT_TARGET_MS: u64 = 30_000;

/// Router and zone that a report comes from.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Name of the router; reports of one router replace each other.
    pub router: &'a str,
    /// Its availability zone, when known.
    pub zone: Option<&'a Zone>,
}

#[derive(Debug, Clone)]
struct Report {
    demand: Demand,
    zone: Option<Zone>,
    at: Millis,
}

/// A value that halves in a fixed time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Decaying {
    value: f64,
    at: Millis,
}

impl Decaying {
    /// Adds `amount` at `now`.
    pub fn add(&mut self, amount: f64, half_life_ms: f64, now: Millis) {
        self.value = self.get(half_life_ms, now) + amount;
        self.at = now;
    }

    /// Value at `now`.
    pub fn get(&self, half_life_ms: f64, now: Millis) -> f64 {
        self.value * (-(now.since(self.at) as f64) / half_life_ms).exp2()
    }
}

/// Demand of all routers for a model or an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct Merged {
    /// Model.
    pub model: ModelName,
    /// Adapter.
    pub adapter: Option<AdapterName>,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
    /// Age of the oldest waiting request in milliseconds.
    pub oldest_ms: u64,
    /// Shortest cold-start target among the reports in milliseconds.
    pub target_ms: u64,
    /// Weight of cold starts against refusals, of the profile with the shortest target.
    pub cold_start_weight: f64,
    /// Most replicas that the profiles allow.
    pub max_replicas: u32,
    /// Waiting requests by organisation.
    pub organisations: BTreeMap<OrganisationName, u32>,
    /// Waiting requests by the router's availability zone.
    pub zones: BTreeMap<Zone, u32>,
}

impl Merged {
    fn new(model: ModelName, adapter: Option<AdapterName>) -> Self {
        Self {
            model,
            adapter,
            waiting: 0,
            running: 0,
            oldest_ms: 0,
            target_ms: u64::MAX,
            cold_start_weight: 0.5,
            max_replicas: 1,
            organisations: BTreeMap::new(),
            zones: BTreeMap::new(),
        }
    }

    fn add(&mut self, report: &Report, config: &Snapshot, now: Millis) {
        let demand = &report.demand;
        self.waiting += demand.waiting;
        self.running += demand.running;
        if demand.waiting > 0 {
            self.oldest_ms = self.oldest_ms.max(demand.oldest_wait_ms + now.since(report.at));
            for OrganisationDemand {
                organisation, waiting, ..
            } in &demand.organisations
            {
                *self.organisations.entry(organisation.clone()).default_add() += waiting;
            }
            if let Some(zone) = &report.zone {
                *self.zones.entry(zone.clone()).default_add() += demand.waiting;
            }
        }
        let profile = config.profiles.get(&demand.profile);
        let target = profile.map_or(DEFAULT_TARGET_MS, |it| it.cold_start_ms.max(1));
        if target < self.target_ms {
            self.target_ms = target;
            self.cold_start_weight = profile.map_or(0.5, |it| it.cold_start_weight);
        }
        self.max_replicas = self.max_replicas.max(profile.map_or(1, |it| it.max_replicas));
    }

    /// Adds the demand for an adapter to that for its model.
    fn absorb(&mut self, other: &Self) {
        self.waiting += other.waiting;
        self.running += other.running;
        self.oldest_ms = self.oldest_ms.max(other.oldest_ms);
        if other.target_ms < self.target_ms {
            self.target_ms = other.target_ms;
            self.cold_start_weight = other.cold_start_weight;
        }
        self.max_replicas = self.max_replicas.max(other.max_replicas);
        for (name, waiting) in &other.organisations {
            *self.organisations.entry(name.clone()).default_add() += waiting;
        }
        for (zone, waiting) in &other.zones {
            *self.zones.entry(zone.clone()).default_add() += waiting;
        }
    }
}

trait DefaultAdd<'a> {
    fn default_add(self) -> &'a mut u32;
}

impl<'a, K: Ord> DefaultAdd<'a> for std::collections::btree_map::Entry<'a, K, u32> {
    fn default_add(self) -> &'a mut u32 {
        self.or_insert(0)
    }
}

type Name = (ModelName, Option<AdapterName>);

#[derive(Debug, Clone, Copy, Default)]
struct Activity {
    wakes: Decaying,
    first: Millis,
    last: Millis,
}

/// Latest reports of all routers, and how often each model wakes.
#[derive(Debug, Clone, Default)]
pub struct DemandBook {
    reports: BTreeMap<Name, BTreeMap<String, Report>>,
    activity: BTreeMap<Name, Activity>,
}

impl DemandBook {
    /// Takes a router's report; it replaces that router's earlier one.
    pub fn report(&mut self, now: Millis, source: Source<'_>, demand: &Demand) {
        let name = (demand.model.clone(), demand.adapter.clone());
        if demand.waiting > 0 || demand.running > 0 {
            let activity = self.activity.entry(name.clone()).or_insert_with(|| Activity {
                wakes: Decaying::default(),
                first: now,
                last: Millis(0),
            });
            let idle = activity.wakes.value == 0.0 || now.since(activity.last) >= IDLE_GAP_MS;
            if idle {
                activity.wakes.add(1.0, WAKE_HALF_LIFE_MS, now);
                activity.first = now;
            }
            activity.last = now;
        }
        let report = Report {
            demand: demand.clone(),
            zone: source.zone.cloned(),
            at: now,
        };
        self.reports
            .entry(name)
            .or_default()
            .insert(source.router.to_owned(), report);
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Millis) {
        for reports in self.reports.values_mut() {
            reports.retain(|_, it| now.since(it.at) < DEMAND_TTL_MS);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// Merged demand per model (that of its adapters included) and per adapter.
    pub fn merged(&self, config: &Snapshot, now: Millis) -> BTreeMap<Name, Merged> {
        let mut merged: BTreeMap<Name, Merged> = BTreeMap::new();
        for (name, reports) in &self.reports {
            let mut sum = Merged::new(name.0.clone(), name.1.clone());
            for report in reports.values().filter(|it| now.since(it.at) < DEMAND_TTL_MS) {
                sum.add(report, config, now);
            }
            if name.1.is_some() {
                let base = (name.0.clone(), None);
                merged
                    .entry(base)
                    .or_insert_with(|| Merged::new(name.0.clone(), None))
                    .absorb(&sum);
                merged.insert(name.clone(), sum);
            } else {
                merged
                    .entry(name.clone())
                    .or_insert_with(|| Merged::new(name.0.clone(), None))
                    .absorb(&sum);
            }
        }
        merged
    }

    /// Probability that a model or adapter is asked for within `horizon_ms`.
    pub fn wake_probability(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        horizon_ms: u64,
        now: Millis,
    ) -> f64 {
        let wakes = self
            .activity
            .iter()
            .filter(|((it, own), _)| it == model && (adapter.is_none() || own.as_ref() == adapter))
            .map(|(_, it)| it.wakes.get(WAKE_HALF_LIFE_MS, now))
            .sum::<f64>();
        let rate = wakes * std::f64::consts::LN_2 / WAKE_HALF_LIFE_MS;
        1.0 - (-rate * horizon_ms as f64).exp()
    }

    /// Time of the last demand.
    pub fn last_demand(&self, model: &ModelName, adapter: Option<&AdapterName>) -> Millis {
        let key = (model.clone(), adapter.cloned());
        self.activity.get(&key).map_or(Millis(0), |it| it.last)
    }

    /// Time of the first demand since the model was last idle.
    pub fn first_demand(&self, model: &ModelName, adapter: Option<&AdapterName>) -> Millis {
        let key = (model.clone(), adapter.cloned());
        self.activity.get(&key).map_or(Millis(0), |it| it.first)
    }
}
