//! Naive loading policy: loads on demand in order of arrival on the first server with enough free memory, and evicts
//! the least recently used replicas.
//!
//! Baseline against which [`CostScheduler`](super::CostScheduler) is measured.

use std::collections::{BTreeMap, BTreeSet};

use crate::demand::{DemandReports, MergedDemand, Source};
use crate::ids::{AdapterName, ModelName, ReplicaId, ServerName};
use crate::permits::PermitKind;
use crate::placement::{Demand, ReplicaState};
use crate::plan::{PlannedReplica, Reservation};
use crate::scheduler::{Decision, Input, Scheduler};
use crate::units::Millis;

/// Load time assumed for every model, in milliseconds.
const ASSUMED_LOAD_MS: u64 = 5_000;

/// First come, first served loading with least recently used eviction. Does not use measured load times.
#[derive(Debug, Default)]
pub struct NaiveScheduler {
    demand_reports: DemandReports,
}

impl NaiveScheduler {
    /// Creates a scheduler without demand reports.
    pub fn new() -> Self {
        Self::default()
    }

    fn least_recently_used(
        &self,
        server: &ServerName,
        keep: &ModelName,
        input: &Input<'_>,
        evicting: &BTreeSet<ReplicaId>,
    ) -> Vec<(ReplicaId, u64)> {
        let idle = |id: &ReplicaId, it: &PlannedReplica| {
            it.state == ReplicaState::Ready && it.model != *keep && input.is_idle(id, it) && !evicting.contains(id)
        };
        let mut replicas: Vec<_> = input.plan.on_server(server).filter(|(id, it)| idle(id, it)).collect();
        replicas.sort_by_key(|(_, it)| self.demand_reports.last_demand(&it.model, it.adapter.as_ref()));
        replicas.into_iter().map(|(id, it)| (id.clone(), it.bytes)).collect()
    }

    /// Reservation without a server: the name is empty until [`Round::load`] sets it.
    fn reservation(demand: &MergedDemand, input: &Input<'_>) -> Option<Reservation> {
        let model = input.model(&demand.model)?;
        let adapter = match &demand.adapter {
            Some(name) => Some(input.adapter(name)?),
            None => None,
        };
        Some(Reservation {
            model: model.name.clone(),
            version: adapter.map_or(model.version, |it| it.version),
            adapter: adapter.map(|it| it.name.clone()),
            server: ServerName::new(""),
            bytes: adapter.map_or(model.bytes, |it| it.bytes),
        })
    }

    fn place(&self, reservation: &mut Reservation, input: &Input<'_>, round: &mut Round) {
        let has_base = |server: &ServerName| {
            input
                .plan
                .on_server(server)
                .any(|(_, it)| it.model == reservation.model && it.adapter.is_none() && it.state == ReplicaState::Ready)
        };
        let servers: Vec<&ServerName> = input
            .available_servers()
            .filter(|it| reservation.adapter.is_none() || has_base(it))
            .collect();
        let available = |server: &ServerName| round.free.get(server).copied().unwrap_or(0);
        if let Some(server) = servers.iter().find(|it| available(it) >= reservation.bytes) {
            round.load((*server).clone(), reservation);
            return;
        }
        for server in servers {
            let unloading = input
                .plan
                .on_server(server)
                .filter(|(_, it)| it.state == ReplicaState::Unloading);
            let mut available = available(server) + unloading.map(|(_, it)| it.bytes).sum::<u64>();
            let mut evictions = Vec::new();
            for (id, bytes) in self.least_recently_used(server, &reservation.model, input, &round.evicting) {
                if available >= reservation.bytes {
                    break;
                }
                available += bytes;
                evictions.push(id);
            }
            if available >= reservation.bytes {
                round.evict(evictions);
                return;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Round {
    free: BTreeMap<ServerName, u64>,
    evicting: BTreeSet<ReplicaId>,
    decisions: Vec<Decision>,
}

impl Round {
    fn load(&mut self, server: ServerName, reservation: &mut Reservation) {
        if let Some(free) = self.free.get_mut(&server) {
            *free -= reservation.bytes;
        }
        reservation.server = server;
        let permit = if reservation.adapter.is_some() {
            PermitKind::Adapter
        } else {
            PermitKind::Model
        };
        self.decisions.push(Decision::Load {
            want: reservation.clone(),
            permit: Some(permit),
        });
    }

    fn evict(&mut self, evictions: Vec<ReplicaId>) {
        for replica in evictions {
            self.evicting.insert(replica.clone());
            self.decisions.push(Decision::Evict { replica });
        }
    }
}

impl Scheduler for NaiveScheduler {
    fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand) {
        self.demand_reports.report(now, source, demand);
    }

    fn decide(&mut self, now: Millis, input: &Input<'_>) -> Vec<Decision> {
        self.demand_reports.expire(now);
        let merged = self.demand_reports.merged(input.config, now);
        let mut waiting: Vec<&MergedDemand> = merged
            .values()
            .filter(|it| it.waiting > 0 && input.supply(&it.model, it.adapter.as_ref()).is_empty())
            .collect();
        waiting.sort_by_key(|it| self.demand_reports.first_demand(&it.model, it.adapter.as_ref()));
        let mut round = Round {
            free: input
                .available_servers()
                .map(|it| (it.clone(), input.plan.servers[it].free_bytes()))
                .collect(),
            ..Round::default()
        };
        round.evict(input.plan.orphaned_adapters());
        for demand in waiting {
            if let Some(mut reservation) = Self::reservation(demand, input) {
                self.place(&mut reservation, input, &mut round);
            }
        }
        round.decisions
    }

    fn ready_in(
        &self,
        _now: Millis,
        input: &Input<'_>,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> Option<u64> {
        let supply = input.supply(model, adapter);
        let ready = supply.iter().any(|(_, it)| it.state == ReplicaState::Ready);
        Some(if ready { 0 } else { ASSUMED_LOAD_MS })
    }
}
