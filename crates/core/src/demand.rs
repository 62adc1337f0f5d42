//! Demand reports of all routers, merged by model and by adapter.

use std::collections::BTreeMap;

use crate::ids::{AdapterName, ModelName, OrganisationName, Zone};
use crate::placement::{Demand, OrganisationDemand};
use crate::snapshot::Snapshot;
use crate::units::Millis;

/// Time in milliseconds after which a report is stale. Routers repeat theirs every 2 s while they have requests.
pub const DEMAND_TTL_MS: u64 = 3_000;
/// Time without demand, in milliseconds, after which the next demand counts as an activation.
pub const IDLE_GAP_MS: u64 = 5_000;
/// Half-life of the count of activations.
const ACTIVATION_HALF_LIFE_MS: f64 = 600_000.0;
/// Cold-start target for reports that name an unknown profile, in milliseconds.
const DEFAULT_COLD_START_MS: u64 = 30_000;

/// Origin of a demand report.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Name of the router. A report replaces the same router's earlier one for that model and adapter.
    pub router: &'a str,
    /// Availability zone of the router, when known.
    pub zone: Option<&'a Zone>,
}

#[derive(Debug, Clone)]
struct Report {
    demand: Demand,
    zone: Option<Zone>,
    at: Millis,
}

/// A sum that decays exponentially. All calls on one value must use the same half-life.
#[derive(Debug, Clone, Copy, Default)]
pub struct Decaying {
    value: f64,
    at: Millis,
}

impl Decaying {
    /// Adds `amount` to the sum as decayed until `now`.
    pub fn add(&mut self, amount: f64, half_life_ms: f64, now: Millis) {
        self.value = self.get(half_life_ms, now) + amount;
        self.at = now;
    }

    /// Sum as decayed until `now`.
    pub fn get(&self, half_life_ms: f64, now: Millis) -> f64 {
        self.value * (-(now.since(self.at) as f64) / half_life_ms).exp2()
    }
}

/// Demand of all routers for a model, its adapters included, or for one adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct MergedDemand {
    /// Model, or the adapter's model.
    pub model: ModelName,
    /// Adapter; `None` for the model's own entry.
    pub adapter: Option<AdapterName>,
    /// Requests that wait in routers' queues.
    pub waiting: u32,
    /// Requests that routers have sent to replicas.
    pub running: u32,
    /// Age of the oldest waiting request in milliseconds; zero when none waits.
    pub oldest_ms: u64,
    /// Shortest cold-start target among the reports in milliseconds.
    pub target_ms: u64,
    /// `cold_start_weight` of the profile with the shortest cold-start target.
    pub cold_start_weight: f64,
    /// Largest `max_replicas` of the reported profiles.
    pub max_replicas: u32,
    /// Waiting requests by organisation.
    pub organisations: BTreeMap<OrganisationName, u32>,
    /// Waiting requests by the router's availability zone.
    pub zones: BTreeMap<Zone, u32>,
}

impl MergedDemand {
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
                *self.organisations.entry(organisation.clone()).or_zero() += waiting;
            }
            if let Some(zone) = &report.zone {
                *self.zones.entry(zone.clone()).or_zero() += demand.waiting;
            }
        }
        let profile = config.profiles.get(&demand.profile);
        let target = profile.map_or(DEFAULT_COLD_START_MS, |it| it.cold_start_ms.max(1));
        if target < self.target_ms {
            self.target_ms = target;
            self.cold_start_weight = profile.map_or(0.5, |it| it.cold_start_weight);
        }
        self.max_replicas = self.max_replicas.max(profile.map_or(1, |it| it.max_replicas));
    }

    fn merge(&mut self, other: &Self) {
        self.waiting += other.waiting;
        self.running += other.running;
        self.oldest_ms = self.oldest_ms.max(other.oldest_ms);
        if other.target_ms < self.target_ms {
            self.target_ms = other.target_ms;
            self.cold_start_weight = other.cold_start_weight;
        }
        self.max_replicas = self.max_replicas.max(other.max_replicas);
        for (name, waiting) in &other.organisations {
            *self.organisations.entry(name.clone()).or_zero() += waiting;
        }
        for (zone, waiting) in &other.zones {
            *self.zones.entry(zone.clone()).or_zero() += waiting;
        }
    }
}

trait OrZero<'a> {
    fn or_zero(self) -> &'a mut u32;
}

impl<'a, K: Ord> OrZero<'a> for std::collections::btree_map::Entry<'a, K, u32> {
    fn or_zero(self) -> &'a mut u32 {
        self.or_insert(0)
    }
}

type DemandKey = (ModelName, Option<AdapterName>);

#[derive(Debug, Clone, Copy, Default)]
struct Activity {
    activations: Decaying,
    active_since: Millis,
    last_demand_at: Millis,
}

/// Latest reports of all routers, and how often each model and adapter becomes active after an idle time.
#[derive(Debug, Clone, Default)]
pub struct DemandReports {
    reports: BTreeMap<DemandKey, BTreeMap<String, Report>>,
    activity: BTreeMap<DemandKey, Activity>,
}

impl DemandReports {
    /// Records a router's report. It replaces that router's earlier report for the same model and adapter.
    pub fn report(&mut self, now: Millis, source: Source<'_>, demand: &Demand) {
        let key = (demand.model.clone(), demand.adapter.clone());
        if demand.waiting > 0 || demand.running > 0 {
            let activity = self.activity.entry(key.clone()).or_insert_with(|| Activity {
                activations: Decaying::default(),
                active_since: now,
                last_demand_at: Millis(0),
            });
            let was_idle = activity.activations.value == 0.0 || now.since(activity.last_demand_at) >= IDLE_GAP_MS;
            if was_idle {
                activity.activations.add(1.0, ACTIVATION_HALF_LIFE_MS, now);
                activity.active_since = now;
            }
            activity.last_demand_at = now;
        }
        let report = Report {
            demand: demand.clone(),
            zone: source.zone.cloned(),
            at: now,
        };
        self.reports
            .entry(key)
            .or_default()
            .insert(source.router.to_owned(), report);
    }

    /// Removes stale reports. The history of activations is kept.
    pub fn expire(&mut self, now: Millis) {
        for reports in self.reports.values_mut() {
            reports.retain(|_, it| now.since(it.at) < DEMAND_TTL_MS);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// Merged demand by model, its adapters included, and by adapter. Stale reports are ignored.
    pub fn merged(&self, config: &Snapshot, now: Millis) -> BTreeMap<DemandKey, MergedDemand> {
        let mut merged: BTreeMap<DemandKey, MergedDemand> = BTreeMap::new();
        for (key, reports) in &self.reports {
            let mut sum = MergedDemand::new(key.0.clone(), key.1.clone());
            for report in reports.values().filter(|it| now.since(it.at) < DEMAND_TTL_MS) {
                sum.add(report, config, now);
            }
            if key.1.is_some() {
                let base = (key.0.clone(), None);
                merged
                    .entry(base)
                    .or_insert_with(|| MergedDemand::new(key.0.clone(), None))
                    .merge(&sum);
                merged.insert(key.clone(), sum);
            } else {
                merged
                    .entry(key.clone())
                    .or_insert_with(|| MergedDemand::new(key.0.clone(), None))
                    .merge(&sum);
            }
        }
        merged
    }

    /// Probability that a model or adapter becomes active within `horizon_ms`. Without an adapter, activations of
    /// the model's adapters count as well.
    pub fn activation_probability(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        horizon_ms: u64,
        now: Millis,
    ) -> f64 {
        let activations = self
            .activity
            .iter()
            .filter(|((it, own), _)| it == model && (adapter.is_none() || own.as_ref() == adapter))
            .map(|(_, it)| it.activations.get(ACTIVATION_HALF_LIFE_MS, now))
            .sum::<f64>();
        let rate = activations * std::f64::consts::LN_2 / ACTIVATION_HALF_LIFE_MS;
        1.0 - (-rate * horizon_ms as f64).exp()
    }

    /// Time of the last report with waiting or running requests; zero when there has been none.
    pub fn last_demand(&self, model: &ModelName, adapter: Option<&AdapterName>) -> Millis {
        let key = (model.clone(), adapter.cloned());
        self.activity.get(&key).map_or(Millis(0), |it| it.last_demand_at)
    }

    /// Time at which the present or last period of demand began; zero when there has been no demand.
    pub fn first_demand(&self, model: &ModelName, adapter: Option<&AdapterName>) -> Millis {
        let key = (model.clone(), adapter.cloned());
        self.activity.get(&key).map_or(Millis(0), |it| it.active_since)
    }
}
