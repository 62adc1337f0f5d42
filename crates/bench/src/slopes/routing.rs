//! Selection of a replica and queues of waiting requests in the router.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{ModelName, OrganisationName, PoolName, ReplicaId, RequestId, ServerName, Zone};
use guava_core::placement::{Placement, ReplicaAddress, ReplicaState};
use guava_core::queue::{FairQueue, Waiting};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use guava_node::Clock;
use guava_router::dispatch::{Service, SlotRequest, TargetKey, Targets};

use super::{Series, gossip};
use crate::allocator::retained_bytes;
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 3] = [50, 500, 4_200];
const DESIGN_SIZE: f64 = 4_200.0;
const REPLICAS_PER_MODEL: usize = 2;
const REQUESTS: u64 = 20_000;
const WAITING_ORGANISATIONS: [usize; 3] = [5, 100, 1_000];
const WAITING_PER_ORGANISATION: usize = 4;
const QUEUE_OPERATIONS: u64 = 5_000;

#[derive(Debug)]
struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Millis {
        Millis(1_000)
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}

fn replica(model: usize, index: usize) -> ReplicaAddress {
    let server = (model * REPLICAS_PER_MODEL + index) % 10_000;
    ReplicaAddress {
        replica: ReplicaId::new(format!("pool-1-{model}-{index}")),
        server: ServerName::new(format!("runner-{server:05}")),
        addr: SocketAddr::from(([10, 1, 0, 1], 8_000)),
        zone: Zone::new(format!("zone-{}", index % 7)),
        slots: 32,
        state: ReplicaState::Ready,
    }
}

fn snapshot(models: usize) -> Snapshot {
    let mut snapshot = Snapshot::default();
    (0..(models * REPLICAS_PER_MODEL).min(10_000)).for_each(|it| snapshot.apply(&gossip::server_entry(it, 1)));
    for model in 0..models {
        let name = format!("model-{model:04}");
        let placement = Placement {
            pool: PoolName::new("pool"),
            model: ModelName::new(&name),
            adapter: None,
            replicas: (0..REPLICAS_PER_MODEL).map(|it| replica(model, it)).collect(),
        };
        snapshot.apply(&Entry {
            key: EntryKey::Placement("pool".into(), name),
            version: Version::default(),
            value: serde_json::to_vec(&placement).unwrap_or_default(),
        });
    }
    snapshot
}

fn waiting_request(request: RequestId, organisation: &OrganisationName) -> Waiting {
    Waiting {
        request,
        organisation: organisation.clone(),
        weight: 1,
        tokens: 100,
        priority: 0,
        deadline: Millis(60_000),
        since: Millis(1_000),
    }
}

fn target_key(model: usize) -> TargetKey {
    TargetKey {
        pool: PoolName::new("pool"),
        service: Service::Model(ModelName::new(format!("model-{model:04}")), None),
    }
}

fn queue_ns_per_request(organisations: usize) -> f64 {
    let names: Vec<OrganisationName> = (0..organisations)
        .map(|it| OrganisationName::new(format!("organisation-{it}")))
        .collect();
    let mut queue = FairQueue::default();
    for index in 0..organisations * WAITING_PER_ORGANISATION {
        let item = waiting_request(RequestId::new(format!("first-{index}")), &names[index % organisations]);
        // Cannot fail: the limit is larger than the number of requests.
        let _ = queue.push(item, u32::MAX);
    }
    let ids: Vec<RequestId> = (0..QUEUE_OPERATIONS)
        .map(|it| RequestId::new(format!("request-{it}")))
        .collect();
    ns_per_call(QUEUE_OPERATIONS, |index| {
        let index = index as usize;
        let _ = queue.push(
            waiting_request(ids[index].clone(), &names[index % organisations]),
            u32::MAX,
        );
        queue.expire(Millis(1_000));
        std::hint::black_box(queue.pop());
    })
}

pub(super) fn measure() -> Vec<Series> {
    let mut cpu = Series::new(
        "routing: choice and slot of a request",
        "models and adapters",
        "ns",
        DESIGN_SIZE,
    );
    let mut memory = Series::new("routing: memory of targets", "models and adapters", "B", DESIGN_SIZE);
    let mut update = Series::new(
        "routing: new snapshot to all targets",
        "models and adapters",
        "µs",
        DESIGN_SIZE,
    );
    let mut queued = Series::new("queue: push and pop", "waiting organisations", "ns", 1_000.0);
    let organisation = OrganisationName::new("callers");
    for size in SIZES {
        let snapshot = Arc::new(snapshot(size));
        let keys: Vec<TargetKey> = (0..size).map(target_key).collect();
        let targets = Targets::new(Zone::new("zone-0"), Arc::new(FixedClock));
        let ((), retained) = retained_bytes(|| {
            for key in &keys {
                targets.get(key, || Arc::clone(&snapshot));
            }
        });
        memory.add_point(size, retained);
        let ids: Vec<RequestId> = (0..REQUESTS)
            .map(|it| RequestId::new(format!("request-{it}")))
            .collect();
        cpu.add_point(
            size,
            ns_per_call(REQUESTS, |index| {
                let index = index as usize;
                let target = targets.get(&keys[index * 7919 % size], || Arc::clone(&snapshot));
                let slot_request = SlotRequest {
                    item: waiting_request(ids[index].clone(), &organisation),
                    queue_limit: 256,
                    profile: None,
                    prefix: Some(index as u64),
                    avoid: Vec::new(),
                };
                drop(std::hint::black_box(target.acquire(slot_request).now_or_never()));
            }),
        );
        let ((), ns) = timed(|| targets.update(&snapshot));
        update.add_point(size, ns / 1e3);
    }
    for size in WAITING_ORGANISATIONS {
        queued.add_point(size, queue_ns_per_request(size));
    }
    vec![cpu, memory, update, queued]
}
