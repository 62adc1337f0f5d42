//! Replica plan and scheduler of one pool.

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

/// Numbers of backend servers and models in the pool.
const SIZES: [(usize, usize); 4] = [(10, 50), (50, 100), (100, 150), (100, 200)];
const DESIGN_SIZE: f64 = 100.0;
const ROUNDS: u64 = 20;
const ROUTERS: usize = 3;
/// One of this many models has waiting requests in a round.
const COLD_MODEL_STEP: usize = 20;
const MODEL_BYTES: u64 = 20 << 30;
const SERVER_MEMORY_BYTES: u64 = 80 << 30;
/// Replicas on each server; they fill its memory, so that loading another model requires an eviction.
const REPLICAS_PER_SERVER: usize = 4;
const CACHED_PER_SERVER: usize = 12;

/// Proof for an engine report that is newer than all orders.
const PROOF: Proof<'_> = Proof {
    fenced: true,
    cancelled: &|_| false,
};

struct Fixture {
    plan: Plan,
    config: Snapshot,
    engines: BTreeMap<ServerName, EngineView>,
    models: usize,
}

fn parse_object<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> T {
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
    let pool: Pool = parse_object(json!({"name": "pool"}));
    config.pools.insert(pool.name.clone(), pool);
    let profile: Profile = parse_object(json!({"name": "fast", "first_token_ms": 500, "cold_start_ms": 2_000,
        "timeout_ms": 60_000, "idempotent": true}));
    config.profiles.insert(profile.name.clone(), profile);
    for index in 0..models {
        let spec = json!({"name": model_name(index), "pool": "pool", "bytes": MODEL_BYTES, "profile": "fast"});
        config.models.insert(model_name(index), parse_object::<Model>(spec));
    }
    for index in 0..servers {
        let addr = SocketAddr::from(([10, 1, 0, index as u8], 8_000));
        let spec = json!({"name": server_name(index), "addr": addr, "zone": format!("zone-{}", index % 3),
            "pool": "pool", "memory_bytes": SERVER_MEMORY_BYTES});
        config
            .servers
            .insert(server_name(index), parse_object::<BackendServer>(spec));
    }
    config
}

fn fixture(servers: usize, models: usize) -> Fixture {
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
        memory_bytes: SERVER_MEMORY_BYTES,
        checks_fence: true,
        forgets_orders: false,
        leaving: false,
    };
    plan.configure(&(0..servers).map(|it| (server_name(it), spec.clone())).collect());
    let mut fixture = Fixture {
        plan,
        config: config(servers, models),
        engines: BTreeMap::new(),
        models,
    };
    for index in 0..servers {
        fill_server(&mut fixture, index);
    }
    fixture
}

/// Fills the memory of a server with ready replicas.
fn fill_server(fixture: &mut Fixture, index: usize) {
    let name = server_name(index);
    let cached = (0..CACHED_PER_SERVER).map(|it| CacheView {
        name: model_name((index * 3 + it) % fixture.models).to_string(),
        version: 1,
        tier: CacheTier::Disk,
    });
    let mut view = EngineView {
        instance: "1".to_owned(),
        term: Term(1),
        leaving: false,
        memory_bytes: SERVER_MEMORY_BYTES,
        replicas: Vec::new(),
        cached: cached.collect(),
    };
    fixture.plan.reconcile(&name, &view, PROOF);
    for slot in 0..REPLICAS_PER_SERVER {
        let reservation = Reservation {
            model: model_name((index * REPLICAS_PER_SERVER + slot) % fixture.models),
            version: 1,
            adapter: None,
            server: name.clone(),
            bytes: MODEL_BYTES,
        };
        let replica = fixture.plan.reserve(reservation).expect("the server has room");
        view.replicas.push(ReplicaView {
            replica,
            presence: Presence::Ready,
            running: 0,
            waiting: 0,
        });
    }
    fixture.plan.reconcile(&name, &view, PROOF);
    fixture.engines.insert(name, view);
}

/// Reports demand from all routers for every 20th model.
fn report_demand(scheduler: &mut CostScheduler, fixture: &Fixture, round: usize, now: Millis) {
    for model in (round % COLD_MODEL_STEP..fixture.models).step_by(COLD_MODEL_STEP) {
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
    let mut bytes = Series::new("plan: JSON of a pool", "backend servers", "B", DESIGN_SIZE);
    let mut write = Series::new("plan: copy and JSON for a write", "backend servers", "µs", DESIGN_SIZE);
    let mut reconcile = Series::new("plan: report of one engine", "backend servers", "µs", DESIGN_SIZE);
    let mut decide = Series::new(
        "scheduler: round with 5 % of the models cold",
        "backend servers",
        "µs",
        DESIGN_SIZE,
    );
    let mut idle = Series::new("scheduler: round without demand", "backend servers", "µs", DESIGN_SIZE);
    for (servers, models) in SIZES {
        let mut fixture = fixture(servers, models);
        let json = serde_json::to_vec(&fixture.plan).unwrap_or_default();
        bytes.add_point(servers, json.len() as f64);
        let ((), ns) = timed(|| {
            (0..ROUNDS).for_each(|_| drop(std::hint::black_box(serde_json::to_vec(&fixture.plan.clone()))));
        });
        write.add_point(servers, ns / 1e3 / ROUNDS as f64);
        let views: Vec<_> = fixture
            .engines
            .iter()
            .map(|(name, view)| (name.clone(), view.clone()))
            .collect();
        let ns = ns_per_call(servers as u64, |it| {
            let (name, view) = &views[it as usize];
            fixture.plan.reconcile(name, view, PROOF);
        });
        reconcile.add_point(servers, ns / 1e3);
        let (with_demand, without) = ns_per_round(&fixture);
        decide.add_point(servers, with_demand / 1e3);
        idle.add_point(servers, without / 1e3);
    }
    vec![bytes, write, reconcile, decide, idle]
}

/// Mean processor time in nanoseconds of a scheduler round with demand and of one without.
fn ns_per_round(fixture: &Fixture) -> (f64, f64) {
    let mut scheduler = CostScheduler::new();
    let input = Input {
        plan: &fixture.plan,
        config: &fixture.config,
        engines: &fixture.engines,
    };
    scheduler.decide(Millis(1_000), &input);
    let without = ns_per_call(ROUNDS, |it| {
        std::hint::black_box(scheduler.decide(Millis(5_000 + it * 100), &input));
    });
    let mut total = 0.0;
    for round in 0..ROUNDS {
        let now = Millis(10_000 + round * 100);
        report_demand(&mut scheduler, fixture, round as usize, now);
        let (decisions, ns) = timed(|| scheduler.decide(now, &input));
        std::hint::black_box(decisions);
        total += ns;
    }
    (total / ROUNDS as f64, without)
}
