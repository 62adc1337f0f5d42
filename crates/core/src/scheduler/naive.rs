//! The naive policy: load on demand in order of arrival, evict the least recently used, take the first server.
//!
//! It serves as the baseline that the policy in use is measured against.

use std::collections::{BTreeMap, BTreeSet};

use crate::demand::{DemandBook, Merged, Source};
use crate::ids::{AdapterName, ModelName, ReplicaId, ServerName};
use crate::permits::PermitKind;
use crate::placement::{Demand, ReplicaState};
use crate::plan::{PlannedReplica, Reservation};
use crate::scheduler::{Decision, Input, Scheduler};
use crate::units::Millis;

/// Load time assumed for every model, in milliseconds.
const ASSUMED_LOAD_MS: u64 = 5_000;

/// The naive policy.
#[derive(Debug, Default)]
pub struct NaiveScheduler {
    book: DemandBook,
}

impl NaiveScheduler {
    /// A scheduler without history.
    pub fn new() -> Self {
        Self::default()
    }

    fn least_recent(
        &self,
        server: &ServerName,
        keep: &ModelName,
        input: &Input<'_>,
        taken: &BTreeSet<ReplicaId>,
    ) -> Vec<(ReplicaId, u64)> {
        let idle = |id: &ReplicaId, it: &PlannedReplica| {
            it.state == ReplicaState::Ready && it.model != *keep && input.is_idle(id, it) && !taken.contains(id)
        };
        let mut replicas: Vec<_> = input.plan.on_server(server).filter(|(id, it)| idle(id, it)).collect();
        replicas.sort_by_key(|(_, it)| self.book.last_demand(&it.model, it.adapter.as_ref()));
        replicas.into_iter().map(|(id, it)| (id.clone(), it.bytes)).collect()
    }

    fn reservation(demand: &Merged, input: &Input<'_>) -> Option<Reservation> {
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

    fn place(&self, want: &mut Reservation, input: &Input<'_>, round: &mut Round) {
        let base = |server: &ServerName| {
            input
                .plan
                .on_server(server)
                .any(|(_, it)| it.model == want.model && it.adapter.is_none() && it.state == ReplicaState::Ready)
        };
        let servers: Vec<&ServerName> = input
            .open_servers()
            .filter(|it| want.adapter.is_none() || base(it))
            .collect();
        let room = |server: &ServerName| round.free.get(server).copied().unwrap_or(0);
        if let Some(server) = servers.iter().find(|it| room(it) >= want.bytes) {
            round.take((*server).clone(), want);
            return;
        }
        for server in servers {
            let unloading = input
                .plan
                .on_server(server)
                .filter(|(_, it)| it.state == ReplicaState::Unloading);
            let mut room = room(server) + unloading.map(|(_, it)| it.bytes).sum::<u64>();
            let mut victims = Vec::new();
            for (id, bytes) in self.least_recent(server, &want.model, input, &round.taken) {
                if room >= want.bytes {
                    break;
                }
                room += bytes;
                victims.push(id);
            }
            if room >= want.bytes {
                round.evict(victims);
                return;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Round {
    free: BTreeMap<ServerName, u64>,
    taken: BTreeSet<ReplicaId>,
    decisions: Vec<Decision>,
}

impl Round {
    fn take(&mut self, server: ServerName, want: &mut Reservation) {
        if let Some(free) = self.free.get_mut(&server) {
            *free -= want.bytes;
        }
        want.server = server;
        let permit = if want.adapter.is_some() {
            PermitKind::Adapter
        } else {
            PermitKind::Model
        };
        self.decisions.push(Decision::Load {
            want: want.clone(),
            permit: Some(permit),
        });
    }

    fn evict(&mut self, victims: Vec<ReplicaId>) {
        for replica in victims {
            self.taken.insert(replica.clone());
            self.decisions.push(Decision::Evict { replica });
        }
    }
}

impl Scheduler for NaiveScheduler {
    fn demand(&mut self, now: Millis, source: Source<'_>, demand: &Demand) {
        self.book.report(now, source, demand);
    }

    fn decide(&mut self, now: Millis, input: &Input<'_>) -> Vec<Decision> {
        self.book.expire(now);
        let merged = self.book.merged(input.config, now);
        let mut waiting: Vec<&Merged> = merged
            .values()
            .filter(|it| it.waiting > 0 && input.supply(&it.model, it.adapter.as_ref()).is_empty())
            .collect();
        waiting.sort_by_key(|it| self.book.first_demand(&it.model, it.adapter.as_ref()));
        let mut round = Round {
            free: input
                .open_servers()
                .map(|it| (it.clone(), input.plan.servers[it].free_bytes()))
                .collect(),
            ..Round::default()
        };
        round.evict(input.plan.orphaned_adapters());
        for demand in waiting {
            if let Some(mut want) = Self::reservation(demand, input) {
                self.place(&mut want, input, &mut round);
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
