//! Tests of the loading policy: order of loads, choice of server, eviction, limits and estimates.

use std::collections::BTreeMap;

use guava_core::config::{Adapter, BackendServer, Model, Organisation, Pool, Profile};
use guava_core::demand::Source;
use guava_core::ids::{Incarnation, MemberId, ModelName, ReplicaId, Role, ServerName, Term, Zone};
use guava_core::permits::{PERMIT_TTL_MS, PermitKind, PermitRequest, Permits, StoreLimits};
use guava_core::placement::{Demand, OrganisationDemand, ReplicaState};
use guava_core::plan::{
    CacheTier, CacheView, EngineView, Holder, Plan, Presence, Proof, ReplicaView, Reservation, ServerSpec,
};
use guava_core::scheduler::naive::NaiveScheduler;
use guava_core::scheduler::{CostScheduler, Decision, Input, Scheduler};
use guava_core::snapshot::Snapshot;
use guava_core::units::Millis;
use rstest::rstest;

const GB: u64 = 1_000_000_000;

/// A pool with its plan and engines. Loads end when the test calls `finish_loads`; unloads never end.
struct Fixture {
    config: Snapshot,
    plan: Plan,
    engines: BTreeMap<ServerName, EngineView>,
    scheduler: Box<dyn Scheduler>,
    now: Millis,
}

impl Fixture {
    fn new(servers: &[(&str, &str, u64)], models: &[(&str, u64)]) -> Self {
        let mut config = Snapshot::default();
        config.pools.insert("p".into(), pool(4));
        for (name, zone, gb) in servers {
            config.servers.insert((*name).into(), server(name, zone, *gb));
        }
        for (name, gb) in models {
            config.models.insert((*name).into(), model(name, *gb));
        }
        config.profiles.insert("fast".into(), profile("fast", 5_000));
        config.profiles.insert("slow".into(), profile("slow", 50_000));
        for (name, weight) in [("light", 1), ("heavy", 10)] {
            let organisation = Organisation {
                name: name.into(),
                rate: 1,
                burst: 1,
                weight,
            };
            config.organisations.insert(name.into(), organisation);
        }
        let mut plan = Plan::new("p".into());
        let holder = Holder {
            term: Term(1),
            member: MemberId::new("vm", Role::Controller),
            incarnation: Incarnation(1),
            vm_instance: None,
            ended: false,
        };
        plan.take_over(holder).unwrap();
        let spec = |gb: u64| ServerSpec {
            memory_bytes: gb * GB,
            checks_fence: false,
            forgets_orders: false,
            leaving: false,
        };
        plan.configure(
            &servers
                .iter()
                .map(|(name, _, gb)| ((*name).into(), spec(*gb)))
                .collect(),
        );
        let engines = servers.iter().map(|(name, _, gb)| ((*name).into(), empty_view(*gb)));
        let mut fixture = Self {
            config,
            plan,
            engines: engines.collect(),
            scheduler: Box::new(CostScheduler::new()),
            now: Millis(1_000),
        };
        fixture.reconcile();
        fixture
    }

    fn reconcile(&mut self) {
        for (name, view) in &self.engines {
            self.plan.reconcile(name, view, Proof::none());
        }
    }

    fn add_cached(&mut self, server: &str, name: &str, tier: CacheTier) {
        let cached = CacheView {
            name: name.to_owned(),
            version: 1,
            tier,
        };
        self.engines.get_mut(server).unwrap().cached.push(cached);
    }

    /// Adds a ready replica to the plan and to its engine. Its residence starts with the scheduler's next call.
    fn add_ready(&mut self, model: &str, server: &str) -> ReplicaId {
        let bytes = self.config.models[model].bytes;
        let want = Reservation {
            model: model.into(),
            version: 1,
            adapter: None,
            server: server.into(),
            bytes,
        };
        let id = self.plan.reserve(want).unwrap();
        self.finish_loads();
        id
    }

    fn finish_loads(&mut self) {
        for (id, replica) in &self.plan.replicas {
            let view = self.engines.get_mut(&replica.server).unwrap();
            if view.replica(id).is_none() {
                view.replicas.push(ReplicaView {
                    replica: id.clone(),
                    presence: Presence::Ready,
                    running: 0,
                    waiting: 0,
                });
            }
        }
        self.reconcile();
    }

    fn set_load(&mut self, id: &ReplicaId, running: u32, waiting: u32) {
        let views = self.engines.values_mut().flat_map(|it| &mut it.replicas);
        let it = views.into_iter().find(|it| it.replica == *id).unwrap();
        (it.running, it.waiting) = (running, waiting);
    }

    fn demand(&mut self, router: &str, demand: &Demand) {
        let zone = Zone::new(router);
        let source = Source {
            router,
            zone: Some(&zone),
        };
        self.scheduler.demand(self.now, source, demand);
    }

    fn decide(&mut self) -> Vec<Decision> {
        let input = Input {
            plan: &self.plan,
            config: &self.config,
            engines: &self.engines,
        };
        self.scheduler.decide(self.now, &input)
    }

    /// Loads of the next decisions as (name, server), in order.
    fn loads(&mut self) -> Vec<(String, String)> {
        let loads = self.decide().into_iter().filter_map(|it| match it {
            Decision::Load { want, .. } => Some((want.name().to_owned(), want.server.to_string())),
            Decision::Evict { .. } => None,
        });
        loads.collect()
    }

    fn evictions(&mut self) -> Vec<ReplicaId> {
        let evictions = self.decide().into_iter().filter_map(|it| match it {
            Decision::Evict { replica } => Some(replica),
            Decision::Load { .. } => None,
        });
        evictions.collect()
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for it in decisions {
            match it {
                Decision::Load { want, .. } => drop(self.plan.reserve(want).unwrap()),
                Decision::Evict { replica } => drop(self.plan.evict(&replica).unwrap()),
            }
        }
    }

    /// Lets the scheduler observe the present state, then advances the time beyond the minimum residence.
    fn advance_past_min_residence(&mut self) {
        drop(self.decide());
        self.now = self.now + 10_000;
    }

    fn ready_in(&self, model: &str) -> Option<u64> {
        let input = Input {
            plan: &self.plan,
            config: &self.config,
            engines: &self.engines,
        };
        self.scheduler.ready_in(self.now, &input, &model.into(), None)
    }
}

fn pool(loads_at_once: u32) -> Pool {
    Pool {
        name: "p".into(),
        loads_per_second: 2.5,
        loads_at_once,
        adapter_loads_at_once: 32,
    }
}

fn server(name: &str, zone: &str, gb: u64) -> BackendServer {
    BackendServer {
        name: name.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        pool: "p".into(),
        memory_bytes: gb * GB,
        checks_fence: false,
        forgets_orders: false,
        draining: false,
    }
}

fn model(name: &str, gb: u64) -> Model {
    Model {
        name: name.into(),
        pool: "p".into(),
        version: 1,
        bytes: gb * GB,
        profile: "fast".into(),
        min_replicas: 0,
        slots: 4,
    }
}

fn profile(name: &str, cold_start_ms: u64) -> Profile {
    Profile {
        name: name.into(),
        first_token_ms: 1_000,
        cold_start_ms,
        timeout_ms: 100_000,
        idempotent: true,
        require_idempotency_key: false,
        deferred: false,
        priority: 0,
        max_replicas: 3,
        queue_limit: 100,
        max_output_tokens: 100,
        cold_start_weight: 1.0,
    }
}

fn empty_view(gb: u64) -> EngineView {
    EngineView {
        instance: "1".to_owned(),
        term: Term(1),
        leaving: false,
        memory_bytes: gb * GB,
        replicas: Vec::new(),
        cached: Vec::new(),
    }
}

fn demand(model: &str, waiting: u32, oldest_wait_ms: u64) -> Demand {
    Demand {
        model: model.into(),
        adapter: None,
        profile: "fast".into(),
        waiting,
        running: 0,
        oldest_wait_ms,
        organisations: vec![OrganisationDemand {
            organisation: "light".into(),
            waiting,
            tokens: 10,
        }],
    }
}

/// Guards against a load per report when many routers report demand for the same model.
#[rstest]
#[case::cost(Box::new(CostScheduler::new()))]
#[case::naive(Box::new(NaiveScheduler::new()))]
fn reports_of_many_routers_cause_one_load(#[case] scheduler: Box<dyn Scheduler>) {
    let mut fixture = Fixture::new(&[("s1", "z1", 100), ("s2", "z2", 100)], &[("m", 20)]);
    fixture.scheduler = scheduler;
    for router in 0..40 {
        fixture.demand(&format!("vm{router}"), &demand("m", 1, 5));
    }

    let first = fixture.decide();
    assert_eq!(first.len(), 1);
    fixture.apply(first);
    let second = fixture.loads();

    assert_eq!(second, []);
}

/// Guards against a load order that ignores waiting times, cold-start targets or weights of organisations.
#[rstest]
#[case::longer_wait(demand("a", 1, 100), demand("b", 1, 4_000), "b")]
#[case::shorter_target(Demand { profile: "slow".into(), ..demand("a", 1, 2_000) }, demand("b", 1, 1_000), "b")]
#[case::heavier_organisation(demand("a", 1, 1_000), from_organisation("heavy", demand("b", 1, 1_000)), "b")]
#[case::number_of_requests_does_not_count(demand("a", 1, 3_000), demand("b", 9, 1_000), "a")]
fn most_urgent_model_is_loaded_first(#[case] a: Demand, #[case] b: Demand, #[case] first: &str) {
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &[("a", 20), ("b", 20)]);
    fixture.config.pools.insert("p".into(), pool(1));
    fixture.demand("vm1", &a);
    fixture.demand("vm2", &b);

    let loads = fixture.loads();

    assert_eq!(loads, [(first.to_owned(), "s1".to_owned())]);
}

fn from_organisation(organisation: &str, mut demand: Demand) -> Demand {
    demand.organisations[0].organisation = organisation.into();
    demand
}

/// Guards against one organisation using all loads.
#[test]
fn organisation_with_recent_loads_comes_later() {
    let models = [("a", 10), ("b", 10), ("c", 10), ("d", 10)];
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &models);
    fixture.config.organisations.get_mut("heavy").unwrap().weight = 1;
    for name in ["a", "b"] {
        fixture.demand("vm1", &from_organisation("heavy", demand(name, 1, 1_000)));
    }
    let loads = fixture.decide();
    fixture.apply(loads);
    drop(fixture.decide());
    fixture.config.pools.insert("p".into(), pool(3));
    fixture.demand("vm1", &from_organisation("heavy", demand("c", 1, 1_000)));
    fixture.demand("vm1", &from_organisation("light", demand("d", 1, 1_000)));

    let loads = fixture.loads();

    assert_eq!(loads, [("d".to_owned(), "s1".to_owned())]);
}

/// Guards against a slow load although a server has the checkpoint cached, an eviction although memory is free, all
/// replicas of a model in one availability zone, and ignored adapter caches.
#[rstest]
#[case::disk_before_remote(|it: &mut Fixture| it.add_cached("s2", "m", CacheTier::Disk), "s2")]
#[case::memory_before_disk(|it: &mut Fixture| {
    it.add_cached("s1", "m", CacheTier::Disk);
    it.add_cached("s2", "m", CacheTier::Memory);
}, "s2")]
#[case::free_memory_before_eviction(|it: &mut Fixture| {
    it.add_ready("x", "s1");
    it.advance_past_min_residence();
}, "s2")]
#[case::zone_of_the_demand(|it: &mut Fixture| it.demand("z2", &demand("m", 5, 100)), "s2")]
#[case::other_zone_than_the_first_replica(|it: &mut Fixture| {
    let id = it.add_ready("m", "s1");
    it.set_load(&id, 4, 0);
    it.advance_past_min_residence();
    it.demand("vm2", &Demand { running: 4, ..demand("m", 0, 0) });
}, "s2")]
#[case::adapters_present(|it: &mut Fixture| {
    let adapter = Adapter { name: "l".into(), model: "m".into(), version: 1, bytes: GB };
    it.config.adapters.insert("l".into(), adapter);
    it.add_cached("s2", "l", CacheTier::Disk);
}, "s2")]
fn best_server_is_chosen(#[case] prepare: fn(&mut Fixture), #[case] chosen: &str) {
    let servers = [("s1", "z1", 100), ("s2", "z2", 100)];
    let mut fixture = Fixture::new(&servers, &[("m", 30), ("x", 90)]);
    prepare(&mut fixture);
    fixture.demand("vm1", &demand("m", 3, 100));

    let loads = fixture.loads();

    assert_eq!(loads, [("m".to_owned(), chosen.to_owned())]);
}

/// Guards against evicting a replica that is busy, recently loaded, in demand or part of the configured minimum.
#[rstest]
#[case::idle(|_: &mut Fixture, _: &ReplicaId| {}, true)]
#[case::running(|it: &mut Fixture, id: &ReplicaId| it.set_load(id, 1, 0), false)]
#[case::waiting(|it: &mut Fixture, id: &ReplicaId| it.set_load(id, 0, 1), false)]
#[case::demanded_by_a_router(|it: &mut Fixture, _: &ReplicaId| {
    it.demand("vm2", &Demand { running: 1, ..demand("old", 0, 0) });
}, false)]
#[case::min_replicas_configured(|it: &mut Fixture, _: &ReplicaId| {
    it.config.models.get_mut("old").unwrap().min_replicas = 1;
}, false)]
#[case::too_young(|it: &mut Fixture, _: &ReplicaId| it.now = it.now - 8_001, false)]
fn only_idle_replicas_are_evicted(#[case] prepare: fn(&mut Fixture, &ReplicaId), #[case] evicted: bool) {
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &[("new", 60), ("old", 60)]);
    let old = fixture.add_ready("old", "s1");
    fixture.advance_past_min_residence();
    prepare(&mut fixture, &old);
    fixture.demand("vm1", &demand("new", 1, 100));

    let evictions = fixture.evictions();

    assert_eq!(evictions == [old], evicted, "{evictions:?}");
}

/// Guards against evicting the replica whose expected cost of reloading is highest.
#[rstest]
#[case::activated_less_often(|it: &mut Fixture| activate(it, "a", 5), "b")]
#[case::reloads_faster(|it: &mut Fixture| {
    activate(it, "a", 1);
    activate(it, "b", 1);
    it.add_cached("s1", "b", CacheTier::Disk);
}, "b")]
fn replica_with_lowest_expected_reload_cost_is_evicted(#[case] prepare: fn(&mut Fixture), #[case] evicted: &str) {
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &[("a", 40), ("b", 40), ("new", 50)]);
    let ids = BTreeMap::from([("a", fixture.add_ready("a", "s1")), ("b", fixture.add_ready("b", "s1"))]);
    fixture.advance_past_min_residence();
    prepare(&mut fixture);
    fixture.advance_past_min_residence();
    fixture.demand("vm1", &demand("new", 1, 100));

    let evictions = fixture.evictions();

    assert_eq!(evictions, [ids[evicted].clone()]);
}

fn activate(fixture: &mut Fixture, model: &str, times: u32) {
    for _ in 0..times {
        fixture.demand("vm1", &demand(model, 1, 0));
        fixture.now = fixture.now + 20_000;
    }
}

/// Guards against a second eviction while the first replica is still unloading.
#[test]
fn memory_of_unloading_replicas_is_waited_for() {
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &[("a", 40), ("b", 40), ("new", 50)]);
    fixture.add_ready("a", "s1");
    fixture.add_ready("b", "s1");
    fixture.advance_past_min_residence();
    fixture.demand("vm1", &demand("new", 1, 100));
    let evict = fixture.decide();
    fixture.apply(evict);
    fixture.now = fixture.now + 500;

    let further = fixture.decide();

    assert_eq!(further, []);
}

/// Guards against too many or too few replicas of a model under load.
#[rstest]
#[case::fits_into_the_slots(1, 2, 0)]
#[case::queue_beyond_the_slots(4, 2, 1)]
#[case::limited_by_the_profile(4, 100, 2)]
fn replicas_follow_waiting_and_running_requests(#[case] running: u32, #[case] waiting: u32, #[case] further: usize) {
    let servers = [("s1", "z1", 100), ("s2", "z2", 100)];
    let mut fixture = Fixture::new(&servers, &[("m", 20)]);
    let id = fixture.add_ready("m", "s1");
    fixture.set_load(&id, running, 0);
    fixture.advance_past_min_residence();
    let demand = Demand {
        running,
        ..demand("m", waiting, 100)
    };
    fixture.demand("vm1", &demand);

    let loads = fixture.loads();

    assert_eq!(loads.len(), further);
}

/// Guards against two replicas of a model on one server although another server is free.
#[test]
fn replicas_loaded_together_use_different_servers() {
    let servers = [("s1", "z1", 100), ("s2", "z2", 100), ("s3", "z3", 100)];
    let mut fixture = Fixture::new(&servers, &[("m", 20)]);
    fixture.add_ready("m", "s1");
    fixture.advance_past_min_residence();
    fixture.demand("vm1", &demand("m", 100, 100));

    let mut loads = fixture.loads();

    loads.sort();
    assert_eq!(
        loads,
        [("m".to_owned(), "s2".to_owned()), ("m".to_owned(), "s3".to_owned())]
    );
}

/// Guards against more concurrent loads than the weight store serves at full speed.
#[test]
fn loads_at_once_are_limited() {
    let models = [("a", 5), ("b", 5), ("c", 5), ("d", 5), ("e", 5), ("f", 5)];
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &models);
    for (name, _) in models {
        fixture.demand("vm1", &demand(name, 1, 100));
    }

    let loads = fixture.decide();
    assert_eq!(loads.len(), 4);
    fixture.apply(loads);
    let further = fixture.loads();

    assert_eq!(further, []);
}

/// Guards against loading an adapter before its model, or on a server without a replica of its model.
#[test]
fn adapter_follows_its_model() {
    let servers = [("s1", "z1", 100), ("s2", "z2", 100)];
    let mut fixture = Fixture::new(&servers, &[("m", 20)]);
    let adapter = Adapter {
        name: "l".into(),
        model: "m".into(),
        version: 1,
        bytes: GB,
    };
    fixture.config.adapters.insert("l".into(), adapter);
    fixture.add_cached("s2", "m", CacheTier::Memory);
    let adapter_demand = Demand {
        adapter: Some("l".into()),
        ..demand("m", 1, 100)
    };
    fixture.demand("vm1", &adapter_demand);

    let base = fixture.decide();
    fixture.apply(base);
    fixture.finish_loads();
    let adapter = fixture.loads();

    let states: Vec<_> = fixture
        .plan
        .replicas
        .values()
        .map(|it| (it.server.as_str(), it.state))
        .collect();
    assert_eq!(states, [("s2", ReplicaState::Ready)]);
    assert_eq!(adapter, [("l".to_owned(), "s2".to_owned())]);
}

/// Guards against idle capacity while a frequently activated model is not loaded, and against preloads that fill the
/// last free memory.
#[rstest]
#[case::with_headroom(100, 1)]
#[case::without_headroom(50, 0)]
fn models_likely_to_become_active_are_preloaded(#[case] gb: u64, #[case] loads: usize) {
    let mut fixture = Fixture::new(&[("s1", "z1", gb)], &[("m", 30)]);
    activate(&mut fixture, "m", 6);

    let preloads = fixture.loads();

    assert_eq!(preloads.len(), loads);
}

/// Guards against estimates that refuse requests which could be served, or admit requests which cannot.
#[test]
fn time_until_ready_is_estimated() {
    let mut fixture = Fixture::new(&[("s1", "z1", 100)], &[("m", 20), ("huge", 101), ("warm", 20)]);
    fixture.add_ready("warm", "s1");
    drop(fixture.decide());

    let estimates = [fixture.ready_in("warm"), fixture.ready_in("huge")];
    let alone = fixture.ready_in("m").unwrap();
    fixture.add_cached("s1", "m", CacheTier::Disk);
    let from_disk = fixture.ready_in("m").unwrap();

    assert_eq!(estimates, [Some(0), None]);
    assert!(0 < from_disk && from_disk < alone, "{from_disk} {alone}");
}

fn permit(replica: &str, kind: PermitKind) -> PermitRequest {
    PermitRequest {
        replica: replica.into(),
        kind,
        renew: false,
        release: false,
    }
}

/// Guards against more permits than slots, slots that are never freed, and two slots for one load.
#[test]
fn permits_are_limited_by_slots_and_expire() {
    let limits = StoreLimits {
        loads_at_once: 2,
        loads_per_1000_seconds: 2_000,
        adapter_loads_at_once: 1,
    };
    let mut permits = Permits::new(limits, Millis(0));
    let mut model = |id: &str, at: u64| permits.request(&permit(id, PermitKind::Model), Millis(at)).granted;

    let granted = [
        model("a", 1_000),
        model("b", 1_100),
        model("b", 1_500),
        model("b", 1_600),
        model("c", 2_500),
        model("c", 1_600 + PERMIT_TTL_MS),
    ];

    assert_eq!(granted, [true, false, true, true, false, true]);
    let late = Millis(20_000);
    assert!(permits.request(&permit("x", PermitKind::Adapter), late).granted);
    assert!(!permits.request(&permit("y", PermitKind::Adapter), late).granted);
}

/// Guards against a new holder granting slots that are still in use by permits of the previous holder.
#[test]
fn new_permit_holder_learns_the_permits_in_use_before_granting() {
    let limits = StoreLimits {
        loads_at_once: 1,
        loads_per_1000_seconds: 1_000_000,
        adapter_loads_at_once: 1,
    };
    let mut permits = Permits::new(limits, Millis(3_000));
    let renewed = PermitRequest {
        renew: true,
        ..permit("old", PermitKind::Model)
    };

    let early = permits.request(&permit("new", PermitKind::Model), Millis(100)).granted;
    let renewal = permits.request(&renewed, Millis(200)).granted;
    let late = permits
        .request(&permit("new", PermitKind::Model), Millis(3_100))
        .granted;

    assert_eq!([early, renewal, late], [false, true, false]);
}

/// Guards against overcommitted memory after the plan object was lost.
#[test]
fn server_with_replicas_outside_the_plan_gets_no_loads() {
    let servers = [("s1", "z1", 100), ("s2", "z2", 100)];
    let mut fixture = Fixture::new(&servers, &[("m", 20)]);
    fixture.add_cached("s1", "m", CacheTier::Memory);
    fixture.engines.get_mut("s1").unwrap().replicas.push(ReplicaView {
        replica: "p-0-7".into(),
        presence: Presence::Ready,
        running: 0,
        waiting: 0,
    });
    fixture.demand("vm1", &demand("m", 1, 100));

    let loads = fixture.loads();

    assert_eq!(loads, [("m".to_owned(), "s2".to_owned())]);
}

/// Guards against a decision or an estimate for a model that is no longer configured.
#[test]
fn demand_for_an_unknown_model_causes_no_decision() {
    let mut fixture = Fixture::new(&[("s1", "z1", 25)], &[("m", 20)]);
    // The server has no headroom for a second model, so nothing is preloaded either.
    fixture.demand("vm1", &demand("removed", 1, 100));

    assert_eq!(fixture.decide(), []);
    assert_eq!(fixture.ready_in(ModelName::new("removed").as_str()), None);
}
