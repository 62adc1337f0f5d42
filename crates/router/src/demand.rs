//! Demand reports to the controllers that hold the pools' leases.

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
/// Shortest time between two rounds of reports, because every cold arrival wakes the reporter.
const MIN_ROUND: Duration = Duration::from_millis(10);

/// Finds the controller of a pool and calls it.
#[derive(Debug, Default)]
pub(crate) struct Controllers {
    /// Controllers that answered last.
    known: Mutex<HashMap<PoolName, MemberId>>,
}

impl Controllers {
    /// Reports demand to the holder of the pool's lease, else to the live controllers in turn.
    pub async fn report(&self, node: &Node, pool: &PoolName, demand: &Demand) -> Option<DemandReply> {
        let mut params = serde_json::to_value(demand).ok()?;
        // Reports of one router replace each other at the controller.
        params["router"] = node.members.me().id.to_string().into();
        let live: Vec<MemberInfo> = node
            .members
            .live()
            .into_iter()
            .filter(|it| it.id.role == Role::Controller)
            .collect();
        let known = self.known.lock().get(pool).cloned();
        let holder = node.leases.holder(&LeaseName::new(format!("pool/{pool}")));
        let mut queue: Vec<&MemberInfo> = Vec::new();
        let first = [holder, known].into_iter().flatten();
        queue.extend(first.filter_map(|id| live.iter().find(|it| it.id == id)));
        queue.extend(&live);
        queue.reverse();
        let mut tried: Vec<&MemberId> = Vec::new();
        while let Some(member) = queue.pop() {
            if tried.contains(&&member.id) {
                continue;
            }
            tried.push(&member.id);
            match node.peers.call(member, METHOD, params.clone(), CALL_TIMEOUT).await {
                Ok(reply) => {
                    self.known.lock().insert(pool.clone(), member.id.clone());
                    return serde_json::from_value(reply).ok();
                }
                Err(PeerError::Refused(_, message)) => queue.extend(named_in(&message, &live)),
                Err(error) => log::debug!("demand for pool {pool} to {}: {error}", member.id),
            }
        }
        self.known.lock().remove(pool);
        None
    }
}

/// Controller that a refusal names as the holder. The longest name wins, because one may be the beginning of another.
fn named_in<'a>(message: &str, live: &'a [MemberInfo]) -> Option<&'a MemberInfo> {
    let named = live.iter().filter(|it| message.contains(&it.id.to_string()));
    named.max_by_key(|it| it.id.vm.as_str().len())
}

/// Sends reports while the router lives.
pub(crate) async fn run(router: Weak<Router>) {
    let controllers = Arc::new(Controllers::default());
    let mut sent_at: HashMap<TargetKey, Millis> = HashMap::new();
    let mut calls: JoinSet<TargetKey> = JoinSet::new();
    let mut in_call: Vec<TargetKey> = Vec::new();
    loop {
        let Some(strong) = router.upgrade() else { return };
        let interval = Duration::from_millis(strong.args.demand_interval_ms);
        let woken = Arc::clone(&strong.targets.demand_signal);
        while let Some(finished) = calls.try_join_next() {
            if let Ok(key) = finished {
                in_call.retain(|it| *it != key);
            }
        }
        for target in strong.targets.all() {
            if in_call.contains(&target.key) || !is_due(&strong, &target, &mut sent_at) {
                continue;
            }
            let Some(demand) = demand_of(&strong, &target) else {
                continue;
            };
            in_call.push(target.key.clone());
            calls.spawn(report(Arc::clone(&controllers), strong.node.clone(), target, demand));
        }
        drop(strong);
        tokio::time::sleep(MIN_ROUND).await;
        // A new cold request is reported at once; the others at their intervals.
        drop(tokio::time::timeout(interval.saturating_sub(MIN_ROUND), woken.notified()).await);
    }
}

async fn report(controllers: Arc<Controllers>, node: Node, target: Arc<Target>, demand: Demand) -> TargetKey {
    if let Some(reply) = controllers.report(&node, &target.key.pool, &demand).await {
        target.expect_ready(reply.ready_in_ms);
    }
    target.key.clone()
}

fn is_due(router: &Router, target: &Target, sent_at: &mut HashMap<TargetKey, Millis>) -> bool {
    let now = router.node.clock.now();
    let load = target.load();
    if load.waiting == 0 && load.running == 0 {
        // One last report tells the controller at once that the replicas may be evicted; without it the reports before
        // would count until they are too old.
        return sent_at.remove(&target.key).is_some();
    }
    let is_cold = load.waiting > 0 && load.replicas == 0;
    let interval = if is_cold {
        router.args.demand_interval_ms
    } else {
        router.args.running_interval_ms
    };
    match sent_at.entry(target.key.clone()) {
        Entry::Vacant(entry) => {
            entry.insert(now);
            true
        }
        // Rounds are an interval apart on average, so a report that is almost due is sent now.
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
    let fallback = &snapshot.models.get(model)?.profile;
    target.demand(fallback, |name| {
        snapshot.profiles.get(name).map_or(u64::MAX, |it| it.cold_start_ms)
    })
}
