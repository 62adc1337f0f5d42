//! Reports the demand for each model to the controller that holds the lease of the model's pool.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use guava_core::ids::{LeaseName, MemberId, PoolName, Role};
use guava_core::placement::{Demand, DemandReply};
use guava_core::units::Millis;
use guava_node::{MemberInfo, Node, PeerError};
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::dispatch::{Target, TargetKey};
use crate::path::Router;

const METHOD: &str = "placement.demand";
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest interval between two rounds of reports. Each request for a model without a replica wakes the reporting task.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Client that finds the controller responsible for a pool.
#[derive(Debug, Default)]
pub(crate) struct Controllers {
    /// Controller that last answered for each pool.
    last_answered: Mutex<HashMap<PoolName, MemberId>>,
}

impl Controllers {
    /// Reports the demand for a model to the holder of the pool's lease, else to the controller that answered last, else
    /// to the other live controllers in turn. Returns `None` if none accepts the report.
    pub async fn report(&self, node: &Node, pool: &PoolName, demand: &Demand) -> Option<DemandReply> {
        let mut params = serde_json::to_value(demand).ok()?;
        // The controller keeps only the newest report of each router.
        params["router"] = node.members.me().id.to_string().into();
        let live: Vec<MemberInfo> = node
            .members
            .live()
            .into_iter()
            .filter(|it| it.id.role == Role::Controller)
            .collect();
        let last_answered = self.last_answered.lock().get(pool).cloned();
        let holder = node.leases.holder(&LeaseName::new(format!("pool/{pool}")));
        let mut candidates: Vec<&MemberInfo> = Vec::new();
        let preferred = [holder, last_answered].into_iter().flatten();
        candidates.extend(preferred.filter_map(|id| live.iter().find(|it| it.id == id)));
        candidates.extend(&live);
        candidates.reverse();
        let mut tried: Vec<&MemberId> = Vec::new();
        while let Some(member) = candidates.pop() {
            if tried.contains(&&member.id) {
                continue;
            }
            tried.push(&member.id);
            match node.peers.call(member, METHOD, params.clone(), CALL_TIMEOUT).await {
                Ok(reply) => {
                    self.last_answered.lock().insert(pool.clone(), member.id.clone());
                    return serde_json::from_value(reply).ok();
                }
                Err(PeerError::Refused(_, message)) => candidates.extend(controller_named_in(&message, &live)),
                Err(error) => log::debug!("cannot report demand for pool {pool} to {}: {error}", member.id),
            }
        }
        self.last_answered.lock().remove(pool);
        None
    }
}

/// Finds the live controller that a refusal names as the lease holder. The longest matching name is chosen, because one
/// name may be a prefix of another.
fn controller_named_in<'a>(message: &str, live: &'a [MemberInfo]) -> Option<&'a MemberInfo> {
    let named = live.iter().filter(|it| message.contains(&it.id.to_string()));
    named.max_by_key(|it| it.id.vm.as_str().len())
}

/// Runs the task that sends reports until the router is dropped.
pub(crate) async fn run(router: Weak<Router>) {
    let controllers = Arc::new(Controllers::default());
    let mut last_sent: HashMap<TargetKey, Millis> = HashMap::new();
    let mut calls: JoinSet<TargetKey> = JoinSet::new();
    let mut in_flight: Vec<TargetKey> = Vec::new();
    loop {
        let Some(strong) = router.upgrade() else { return };
        let interval = Duration::from_millis(strong.args.demand_interval_ms);
        let demand_signal = Arc::clone(&strong.targets.demand_signal);
        while let Some(finished) = calls.try_join_next() {
            if let Ok(key) = finished {
                in_flight.retain(|it| *it != key);
            }
        }
        for target in strong.targets.all() {
            if in_flight.contains(&target.key) || !is_due(&strong, &target, &mut last_sent) {
                continue;
            }
            let Some(demand) = demand_of(&strong, &target) else {
                continue;
            };
            in_flight.push(target.key.clone());
            calls.spawn(report(Arc::clone(&controllers), strong.node.clone(), target, demand));
        }
        drop(strong);
        tokio::time::sleep(MIN_ROUND_INTERVAL).await;
        // A request for a model without a replica ends the wait early, so that it is reported immediately.
        drop(tokio::time::timeout(interval.saturating_sub(MIN_ROUND_INTERVAL), demand_signal.notified()).await);
    }
}

async fn report(controllers: Arc<Controllers>, node: Node, target: Arc<Target>, demand: Demand) -> TargetKey {
    if let Some(reply) = controllers.report(&node, &target.key.pool, &demand).await {
        target.expect_ready(reply.ready_in_ms);
    }
    target.key.clone()
}

fn is_due(router: &Router, target: &Target, last_sent: &mut HashMap<TargetKey, Millis>) -> bool {
    let now = router.node.clock.now();
    let load = target.load();
    if load.waiting == 0 && load.running == 0 {
        // A last report without demand lets the controller evict the replicas. Without it, earlier reports would count
        // until they are stale.
        return last_sent.remove(&target.key).is_some();
    }
    let is_cold = load.waiting > 0 && load.replicas == 0;
    let interval = if is_cold {
        router.args.demand_interval_ms
    } else {
        router.args.running_interval_ms
    };
    match last_sent.entry(target.key.clone()) {
        Entry::Vacant(entry) => {
            entry.insert(now);
            true
        }
        // Rounds start about one interval apart, so a report that is due shortly is sent in this round and not a whole
        // interval later.
        Entry::Occupied(mut entry) if now.since(*entry.get()) * 10 >= interval * 9 => {
            entry.insert(now);
            true
        }
        Entry::Occupied(_) => false,
    }
}

fn demand_of(router: &Router, target: &Target) -> Option<Demand> {
    let snapshot = router.config.current();
    let crate::dispatch::Service::Model(model, _) = &target.key.service else {
        return None;
    };
    let default_profile = &snapshot.models.get(model)?.profile;
    target.demand(default_profile, |name| {
        snapshot.profiles.get(name).map_or(u64::MAX, |it| it.cold_start_ms)
    })
}
