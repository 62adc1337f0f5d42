//! Scheduler and plan of one pool.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use guava_core::config::{BackendServer, Model, Pool, Profile};
use guava_core::demand::Source;
use guava_core::ids::{Incarnation, MemberId, ModelName, OrganisationName, PoolName, Role, ServerName, Term, Zone};
use guava_core::placement::{Demand, OrganisationDemand};
use guava_core::plan::{
    CacheTier, CacheView, EngineView, Holder, Plan, Presence, Proof, ReplicaView, Reservation, ServerSpec,
};
use guava_core::scheduler::{CostScheduler, Input, Scheduler};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use serde_json::json;

use super::Series;
use crate::process::{ns_per_call, timed};

/// Backend servers and models of a pool.
const SIZES: [(usize, usize); 4] = [(10, 50), (50, 100), (100, 150), (100, 200)];
const DESIGN: f64 = 100.0;
const ROUNDS: u64 = 20;
const ROUTERS: usize = 3;
/// One of so many models is asked for in a round.
const COLD_EVERY: usize = 20;
const BYTES: u64 = 20 << 30;
const MEMORY: u64 = 80 << 30;
/// Replicas on a server; they fill it, so that a load needs evictions.
const REPLICAS_PER_SERVER: usize = 4;
const CACHED_PER_SERVER: usize = 12;

/// Reports that are newer than all orders.
const PROOF: Proof<'_> = Proof {
    fenced: true,
    cancelled: &|_| false,
};

struct Scene {
    plan: Plan,
    config: Snapshot,
    engines: BTreeMap<ServerName, EngineView>,
    models: usize,
}

fn parsed<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> T {
    serde_json::from_value(value).expect("the object has the shape of its kind")
}

fn model_name(index: usize) -> ModelName {
    ModelName::new(format!("model-{index:04}"))
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(format!("runner-{index:05}"))
}

fn config(servers: usize, models: usize) -> Snapshot {
    let mut config = Snapshot::default();
    let pool: Pool = parsed(json!({"name": "pool"}));
    config.pools.insert(pool.name.clone(), pool);
    let profile: Profile = parsed(json!({"name": "fast", "first_token_ms": 500, "cold_start_ms": 2_000,
        "timeout_ms": 60_000, "idempotent": true}));
    config.profiles.insert(profile.name.clone(), profile);
    for index in 0..models {
        let spec = json!({"name": model_name(index), "pool": "pool", "bytes": BYTES, "profile": "fast"});
        config.models.insert(model_name(index), parsed::<Model>(spec));
    }
    for index in 0..servers {
        let addr = SocketAddr::from(([10, 1, 0, index as u8], 8_000));
        let spec = json!({"name": server_name(index), "addr": addr, "zone": format!("zone-{}", index % 3),
            "pool": "pool", "memory_bytes": MEMORY});
        config.servers.insert(server_name(index), parsed::<BackendServer>(spec));
    }
    config
}

fn scene(servers: usize, models: usize) -> Scene {
    let mut plan = Plan::new(PoolName::new("pool"));
    let holder = Holder {
        term: Term(1),
        member: MemberId::new("vm-1", Role::Controller),
        incarnation: Incarnation(1),
        vm_instance: None,
        ended: false,
    };
    plan.take_over(holder).expect("the first term is newer than none");
    let spec = ServerSpec {
        memory_bytes: MEMORY,
        checks_fence: true,
        forgets_orders: false,
        leaving: false,
    };
    plan.configure(&(0..servers).map(|it| (server_name(it), spec.clone())).collect());
    let mut scene = Scene {
        plan,
        config: config(servers, models),
        engines: BTreeMap::new(),
        models,
    };
    for index in 0..servers {
        fill(&mut scene, index);
    }
    scene
}

/// Loads a server full.
fn fill(scene: &mut Scene, index: usize) {
    let name = server_name(index);
    let cached = (0..CACHED_PER_SERVER).map(|it| CacheView {
        name: model_name((index * 3 + it) % scene.models).to_string(),
        version: 1,
        tier: CacheTier::Disk,
    });
    let mut view = EngineView {
        instance: "1".to_owned(),
        term: Term(1),
        leaving: false,
        memory_bytes: MEMORY,
        replicas: Vec::new(),
        cached: cached.collect(),
    };
    scene.plan.reconcile(&name, &view, PROOF);
    for slot in 0..REPLICAS_PER_SERVER {
        let want = Reservation {
            model: model_name((index * REPLICAS_PER_SERVER + slot) % scene.models),
            version: 1,
            adapter: None,
            server: name.clone(),
            bytes: BYTES,
        };
        let replica = scene.plan.reserve(want).expect("the server has room");
        view.replicas.push(ReplicaView {
            replica,
            presence: Presence::Ready,
            running: 0,
            waiting: 0,
        });
    }
    scene.plan.reconcile(&name, &view, PROOF);
    scene.engines.insert(name, view);
}

/// Reports of all routers for every 20th model.
fn report(scheduler: &mut CostScheduler, scene: &Scene, round: usize, now: Millis) {
    for model in (round % COLD_EVERY..scene.models).step_by(COLD_EVERY) {
        let demand = Demand {
            model: model_name(model),
            adapter: None,
            profile: "fast".into(),
            waiting: 3,
            running: 0,
            oldest_wait_ms: 50,
            organisations: vec![OrganisationDemand {
                organisation: OrganisationName::new("callers"),
                waiting: 3,
                tokens: 300,
            }],
        };
        for router in 0..ROUTERS {
            let router = format!("vm-{router}/router");
            let source = Source {
                router: &router,
                zone: Some(&Zone::new("zone-0")),
            };
            scheduler.demand(now, source, &demand);
        }
    }
}

pub(super) fn measure() -> Vec<Series> {
    let mut bytes = Series::new("plan: JSON of a pool", "backend servers", "B", DESIGN);
    let mut write = Series::new("plan: copy and JSON for a write", "backend servers", "µs", DESIGN);
    let mut reconcile = Series::new("plan: report of one engine", "backend servers", "µs", DESIGN);
    let mut decide = Series::new(
        "scheduler: round with 5 % of the models cold",
        "backend servers",
        "µs",
        DESIGN,
    );
    let mut idle = Series::new("scheduler: round without demand", "backend servers", "µs", DESIGN);
    for (servers, models) in SIZES {
        let mut scene = scene(servers, models);
        let json = serde_json::to_vec(&scene.plan).unwrap_or_default();
        bytes.add(servers, json.len() as f64);
        let ((), ns) = timed(|| {
            (0..ROUNDS).for_each(|_| drop(std::hint::black_box(serde_json::to_vec(&scene.plan.clone()))));
        });
        write.add(servers, ns / 1e3 / ROUNDS as f64);
        let views: Vec<_> = scene
            .engines
            .iter()
            .map(|(name, view)| (name.clone(), view.clone()))
            .collect();
        let ns = ns_per_call(servers as u64, |it| {
            let (name, view) = &views[it as usize];
            scene.plan.reconcile(name, view, PROOF);
        });
        reconcile.add(servers, ns / 1e3);
        let (with_demand, without) = rounds(&scene);
        decide.add(servers, with_demand / 1e3);
        idle.add(servers, without / 1e3);
    }
    vec![bytes, write, reconcile, decide, idle]
}

/// Processor time of a round with and without demand.
fn rounds(scene: &Scene) -> (f64, f64) {
    let mut scheduler = CostScheduler::new();
    let input = Input {
        plan: &scene.plan,
        config: &scene.config,
        engines: &scene.engines,
    };
    scheduler.decide(Millis(1_000), &input);
    let without = ns_per_call(ROUNDS, |it| {
        std::hint::black_box(scheduler.decide(Millis(5_000 + it * 100), &input));
    });
    let mut total = 0.0;
    for round in 0..ROUNDS {
        let now = Millis(10_000 + round * 100);
        report(&mut scheduler, scene, round as usize, now);
        let (decisions, ns) = timed(|| scheduler.decide(now, &input));
        std::hint::black_box(decisions);
        total += ns;
    }
    (total / ROUNDS as f64, without)
}
