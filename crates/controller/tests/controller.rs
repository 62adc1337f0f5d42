//! Tests of the controller with fakes of the platform, the gossip entries, the leases and an engine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_controller::{ControllerArgs, ControllerError, ControllerHandle, NOT_HOLDER, serve};
use guava_core::config::{Adapter, BackendServer, Kind, Model, Object, Pool, Profile};
use guava_core::events::{Event, EventRecord};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{Incarnation, LeaseName, MemberId, OperationId, ReplicaId, Role, Term};
use guava_core::placement::{Demand, DemandReply, OrganisationDemand, Placement, ReplicaState};
use guava_core::plan::Plan;
use guava_core::units::Millis;
use guava_engine::{Action, Engine, EngineError, EngineReplica, EngineReplicaState, EngineReport, EngineRole, Order};
use guava_node::{Clock, GossipState, Leases, MemberInfo, Members, Node, PeerError, Peers, Timeline};
use guava_objects::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject, VmInfo, VmList};
use jsonrpsee::core::server::MethodsError;
use parking_lot::Mutex;
use rstest::rstest;
use tokio::sync::{broadcast, watch};

/// Time limit of every wait; only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
const MODEL_BYTES: u64 = 60;
const SERVER_MEMORY_BYTES: u64 = 100;

#[derive(Debug)]
struct FakeClock(Instant);

impl Clock for FakeClock {
    fn now(&self) -> Millis {
        Millis(1 + self.0.elapsed().as_millis() as u64)
    }

    fn wall_ms(&self) -> u64 {
        self.now().0
    }
}

#[derive(Debug)]
struct FakeMembers(Vec<MemberInfo>, usize);

impl Members for FakeMembers {
    fn me(&self) -> &MemberInfo {
        &self.0[self.1]
    }

    fn live(&self) -> Vec<MemberInfo> {
        self.0.clone()
    }

    fn has_ended(&self, _id: &MemberId, _incarnation: Incarnation) -> bool {
        false
    }

    fn isolated(&self) -> bool {
        false
    }
}

/// Gossip entries shared by all controllers of a test. Counts entries published with a version that is not newer.
#[derive(Debug)]
struct FakeGossipState {
    entries: Mutex<BTreeMap<EntryKey, Arc<Entry>>>,
    updates: broadcast::Sender<Arc<Entry>>,
    stale_puts: AtomicU32,
}

impl FakeGossipState {
    fn new() -> Self {
        Self {
            entries: Mutex::default(),
            updates: broadcast::Sender::new(1024),
            stale_puts: AtomicU32::new(0),
        }
    }

    fn placement(&self) -> Option<Placement> {
        let key = EntryKey::Placement("pool".into(), "m".to_owned());
        serde_json::from_slice(&self.get(&key)?.value).ok()
    }

    fn replica_states(&self) -> Vec<ReplicaState> {
        let placement = self.placement();
        placement
            .iter()
            .flat_map(|it| &it.replicas)
            .map(|it| it.state)
            .collect()
    }
}

impl GossipState for FakeGossipState {
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>> {
        self.entries.lock().get(key).map(Arc::clone)
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries.lock().values().map(Arc::clone).collect()
    }

    fn put(&self, entry: Entry) -> bool {
        let entry = Arc::new(entry);
        let mut entries = self.entries.lock();
        if entries.get(&entry.key).is_some_and(|it| it.version >= entry.version) {
            self.stale_puts.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        entries.insert(entry.key.clone(), Arc::clone(&entry));
        drop(self.updates.send(entry));
        true
    }

    fn subscribe(&self) -> broadcast::Receiver<Arc<Entry>> {
        self.updates.subscribe()
    }

    fn newest(&self, _kind: Kind) -> Version {
        Version::default()
    }
}

/// Index of the holder and term of the pool's lease, shared by all controllers. Controller 0 always holds the weight
/// store's lease.
type Lease = Arc<Mutex<Option<(usize, Term)>>>;

fn transfer_lease(lease: &Lease, index: usize) {
    let mut lease = lease.lock();
    let term = lease.map_or(0, |it| it.1.0);
    *lease = Some((index, Term(term + 1)));
}

#[derive(Debug)]
struct FakeLeases {
    own_index: usize,
    lease: Lease,
    /// Term that this controller believes to hold although the lease has passed to another, like a process that was
    /// paused after its lease check; `None` when it sees the actual lease.
    stale_term: Arc<Mutex<Option<Term>>>,
}

impl Leases for FakeLeases {
    fn compete(&self, _name: &LeaseName) {}

    fn held(&self, name: &LeaseName) -> Option<Term> {
        if name.as_str().starts_with("store/") {
            return (self.own_index == 0).then_some(Term(1));
        }
        let stale_term = *self.stale_term.lock();
        stale_term.or_else(|| self.lease.lock().filter(|it| it.0 == self.own_index).map(|it| it.1))
    }

    fn holder(&self, name: &LeaseName) -> Option<MemberId> {
        let holder = if name.as_str().starts_with("store/") {
            Some(0)
        } else {
            self.lease.lock().map(|it| it.0)
        };
        holder.map(|it| MemberId::new(format!("vm{it}"), Role::Controller))
    }
}

type Modules = Arc<Mutex<BTreeMap<MemberId, jsonrpsee::RpcModule<()>>>>;

#[derive(Debug)]
struct FakePeers(Modules);

#[async_trait]
impl Peers for FakePeers {
    async fn call(
        &self,
        member: &MemberInfo,
        method: &str,
        params: serde_json::Value,
        _timeout: Duration,
    ) -> Result<serde_json::Value, PeerError> {
        let module = self.0.lock().get(&member.id).cloned();
        let module = module.ok_or_else(|| PeerError::Unreachable("controller not started".to_owned()))?;
        call(&module, method, params)
            .await
            .map_err(|error| PeerError::Unreachable(error.to_string()))
    }
}

async fn call(
    module: &jsonrpsee::RpcModule<()>,
    method: &str,
    params: serde_json::Value,
) -> Result<serde_json::Value, MethodsError> {
    let serde_json::Value::Object(params) = params else {
        panic!("parameters are an object");
    };
    module.call(method, params).await
}

#[derive(Debug, Default)]
struct FakeTimeline(Mutex<Vec<Event>>);

impl Timeline for FakeTimeline {
    fn record(&self, event: Event, _request: Option<&str>, _model: Option<&str>, _detail: &str) {
        self.0.lock().push(event);
    }

    fn events(&self, _request: Option<&str>, _model: Option<&str>) -> Vec<EventRecord> {
        Vec::new()
    }
}

/// Object store for plans that can lose the answers to writes that took effect.
#[derive(Debug, Default)]
struct FakeStore {
    plans: Mutex<BTreeMap<String, StoredObject>>,
    version: Mutex<u64>,
    /// Number of following writes whose answer is lost.
    answers_to_lose: AtomicU32,
    /// Lease that is transferred to the second controller by the first write of a plan that has a replica.
    transfer_on_first_replica: Mutex<Option<Lease>>,
}

impl FakeStore {
    fn plan(&self) -> Option<Plan> {
        let stored = self.plans.lock().get("pool").cloned();
        stored.map(|it| serde_json::from_value(it.spec).unwrap())
    }
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn get(&self, _kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        Ok(self.plans.lock().get(name).cloned())
    }

    async fn list(&self, _kind: Kind) -> Result<ObjectList, PlatformError> {
        Err(PlatformError::RateLimited)
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        let mut plans = self.plans.lock();
        let current = plans.get(name).map(|it| it.version);
        let expected = match expect {
            Expect::Absent => None,
            Expect::Version(version) => Some(version),
        };
        if current != expected {
            return Err(PlatformError::Conflict(current));
        }
        let mut version = self.version.lock();
        *version += 1;
        let stored = StoredObject {
            kind,
            name: name.to_owned(),
            version: *version,
            operation: operation.clone(),
            spec: spec.clone(),
        };
        plans.insert(name.to_owned(), stored);
        if spec["replicas"].as_object().is_some_and(|it| !it.is_empty())
            && let Some(lease) = self.transfer_on_first_replica.lock().take()
        {
            transfer_lease(&lease, 1);
        }
        let remaining = self.answers_to_lose.load(Ordering::SeqCst);
        if remaining > 0 {
            self.answers_to_lose.store(remaining - 1, Ordering::SeqCst);
            return Err(PlatformError::OutcomeUnknown("answer lost".to_owned()));
        }
        Ok(*version)
    }

    async fn delete(&self, _kind: Kind, _name: &str, _version: u64) -> Result<u64, PlatformError> {
        Err(PlatformError::RateLimited)
    }

    async fn watch(&self, _kind: Kind, _since: u64, _timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        Err(PlatformError::RateLimited)
    }
}

#[derive(Debug)]
struct FakeVms;

#[async_trait]
impl VmList for FakeVms {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Engine that records the load orders it carried out and the maximum of memory in use.
#[derive(Debug, Default)]
struct FakeEngine {
    /// Whether the engine accepts a load order for a replica that was unloaded before.
    forgets_orders: bool,
    replicas: Mutex<BTreeMap<ReplicaId, EngineReplica>>,
    ended: Mutex<BTreeSet<ReplicaId>>,
    /// Replica and term of each load order carried out.
    loads: Mutex<Vec<(ReplicaId, Term)>>,
    max_bytes: Mutex<u64>,
}

impl FakeEngine {
    fn report(&self) -> Vec<EngineReplica> {
        let ended = self.ended.lock();
        let ended = ended.iter().map(|id| EngineReplica {
            replica: id.clone(),
            state: EngineReplicaState::Ended,
            model: "".into(),
            version: 0,
            adapter: None,
            bytes: 0,
            running: 0,
            waiting: 0,
        });
        self.replicas.lock().values().cloned().chain(ended).collect()
    }

    fn load(&self, order: &Order) -> Result<(), EngineError> {
        let Action::Load {
            model, version, bytes, ..
        } = &order.action
        else {
            return Ok(());
        };
        if self.ended.lock().contains(&order.replica) {
            return Err(EngineError::Refused("ended".to_owned()));
        }
        let mut replicas = self.replicas.lock();
        if !replicas.contains_key(&order.replica) {
            self.loads.lock().push((order.replica.clone(), order.term));
            let replica = EngineReplica {
                replica: order.replica.clone(),
                state: EngineReplicaState::Ready,
                model: model.clone(),
                version: *version,
                adapter: None,
                bytes: *bytes,
                running: 0,
                waiting: 0,
            };
            replicas.insert(order.replica.clone(), replica);
        }
        let used = replicas.values().map(|it| it.bytes).sum::<u64>();
        let mut max_bytes = self.max_bytes.lock();
        *max_bytes = used.max(*max_bytes);
        Ok(())
    }
}

/// One controller's connection to the engine. Load orders are delayed while the gate is closed.
#[derive(Debug)]
struct GatedEngine {
    engine: Arc<FakeEngine>,
    gate: watch::Receiver<bool>,
    /// Number of load orders sent.
    load_orders_sent: watch::Sender<u32>,
}

#[async_trait]
impl Engine for GatedEngine {
    async fn order(&self, _server: SocketAddr, order: &Order) -> Result<(), EngineError> {
        match &order.action {
            Action::Load { .. } => {
                self.load_orders_sent.send_modify(|it| *it += 1);
                let mut gate = self.gate.clone();
                let (engine, order) = (Arc::clone(&self.engine), order.clone());
                // The order is still delivered after the sender's time limit has passed.
                let delivery = tokio::spawn(async move {
                    gate.wait_for(|open| *open).await.unwrap();
                    engine.load(&order)
                });
                delivery.await.unwrap()
            }
            Action::Unload => {
                self.engine.replicas.lock().remove(&order.replica);
                if !self.engine.forgets_orders {
                    self.engine.ended.lock().insert(order.replica.clone());
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn report(&self, _server: SocketAddr) -> Result<EngineReport, EngineError> {
        Ok(EngineReport {
            instance: "i1".to_owned(),
            term: Term(0),
            leaving: false,
            role: EngineRole::Mixed,
            memory_bytes: SERVER_MEMORY_BYTES,
            replicas: self.engine.report(),
            cached: Vec::new(),
        })
    }
}

struct Fixture {
    store: Arc<FakeStore>,
    gossip: Arc<FakeGossipState>,
    engine: Arc<FakeEngine>,
    lease: Lease,
    modules: Modules,
    timeline: Arc<FakeTimeline>,
}

struct RunningController {
    handle: ControllerHandle,
    gate: watch::Sender<bool>,
    load_orders_sent: watch::Receiver<u32>,
    stale_term: Arc<Mutex<Option<Term>>>,
}

fn member(index: usize) -> MemberInfo {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberInfo {
        id: MemberId::new(format!("vm{index}"), Role::Controller),
        incarnation: Incarnation(1),
        zone: "z1".into(),
        gossip_addr: addr,
        rpc_addr: addr,
    }
}

fn server(forgets_orders: bool, draining: bool) -> Object {
    Object::Server(BackendServer {
        name: "s1".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z1".into(),
        pool: "pool".into(),
        memory_bytes: SERVER_MEMORY_BYTES,
        checks_fence: false,
        forgets_orders,
        draining,
    })
}

fn fixture(forgets_orders: bool) -> Fixture {
    let fixture = Fixture {
        store: Arc::default(),
        gossip: Arc::new(FakeGossipState::new()),
        engine: Arc::new(FakeEngine {
            forgets_orders,
            ..FakeEngine::default()
        }),
        lease: Arc::new(Mutex::new(Some((0, Term(1))))),
        modules: Modules::default(),
        timeline: Arc::default(),
    };
    let objects = [
        Object::Pool(Pool {
            name: "pool".into(),
            loads_per_second: 1_000.0,
            loads_at_once: 4,
            adapter_loads_at_once: 4,
        }),
        server(forgets_orders, false),
        Object::Adapter(Adapter {
            name: "l".into(),
            model: "m".into(),
            version: 1,
            bytes: 5,
        }),
        Object::Model(Model {
            name: "m".into(),
            pool: "pool".into(),
            version: 1,
            bytes: MODEL_BYTES,
            profile: "p".into(),
            min_replicas: 0,
            slots: 8,
        }),
        Object::Profile(Profile {
            name: "p".into(),
            first_token_ms: 1_000,
            cold_start_ms: 10_000,
            timeout_ms: 60_000,
            idempotent: true,
            require_idempotency_key: false,
            deferred: false,
            priority: 0,
            max_replicas: 1,
            queue_limit: 100,
            max_output_tokens: 100,
            cold_start_weight: 0.5,
        }),
    ];
    for object in &objects {
        fixture.configure(object, 1);
    }
    fixture
}

impl Fixture {
    fn configure(&self, object: &Object, sequence: u64) {
        self.gossip.put(Entry {
            key: EntryKey::Config(object.kind(), object.name().to_owned()),
            version: Version {
                term: Term(0),
                sequence,
            },
            value: serde_json::to_vec(&object.spec()).unwrap(),
        });
    }

    async fn start(&self, index: usize, gate_open: bool) -> RunningController {
        let gate = watch::Sender::new(gate_open);
        let load_orders_sent = watch::Sender::new(0);
        let stale_term = Arc::new(Mutex::new(None));
        let engine = GatedEngine {
            engine: Arc::clone(&self.engine),
            gate: gate.subscribe(),
            load_orders_sent: load_orders_sent.clone(),
        };
        let node = Node {
            clock: Arc::new(FakeClock(Instant::now())),
            members: Arc::new(FakeMembers(vec![member(0), member(1)], index)),
            gossip: Arc::clone(&self.gossip) as Arc<dyn GossipState>,
            peers: Arc::new(FakePeers(Arc::clone(&self.modules))),
            leases: Arc::new(FakeLeases {
                own_index: index,
                lease: Arc::clone(&self.lease),
                stale_term: Arc::clone(&stale_term),
            }),
            timeline: Arc::clone(&self.timeline) as Arc<dyn Timeline>,
            store: Arc::clone(&self.store) as Arc<dyn ObjectStore>,
            vms: Arc::new(FakeVms),
            shutdown: watch::Sender::new(false).subscribe(),
        };
        let meter = opentelemetry::global::meter("test");
        let handle = serve(ControllerArgs::default(), node, Arc::new(engine), meter)
            .await
            .unwrap();
        self.modules.lock().insert(member(index).id, handle.rpc_module());
        RunningController {
            handle,
            gate,
            load_orders_sent: load_orders_sent.subscribe(),
            stale_term,
        }
    }
}

impl RunningController {
    async fn report_demand(&self, router: &str) -> Result<DemandReply, MethodsError> {
        self.report_demand_for(router, None).await
    }

    async fn report_demand_for(&self, router: &str, adapter: Option<&str>) -> Result<DemandReply, MethodsError> {
        let demand = Demand {
            model: "m".into(),
            adapter: adapter.map(Into::into),
            profile: "p".into(),
            waiting: 3,
            running: 0,
            oldest_wait_ms: 20,
            organisations: vec![OrganisationDemand {
                organisation: "o".into(),
                waiting: 3,
                tokens: 100,
            }],
        };
        let mut params = serde_json::to_value(demand).unwrap();
        params["router"] = router.into();
        let reply = call(&self.handle.rpc_module(), "placement.demand", params).await?;
        Ok(serde_json::from_value(reply).unwrap())
    }

    async fn report_demand_until_ready(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(reply) = self.report_demand("vm0/router").await
                && reply.ready_in_ms == Some(0)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no replica became ready");
    }

    async fn report_demand_until_load_is_sent(&mut self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline && *self.load_orders_sent.borrow_and_update() == 0 {
            drop(self.report_demand("vm0/router").await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(*self.load_orders_sent.borrow() > 0, "no load order was sent");
    }
}

async fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out waiting until {condition}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against loading a cold model more than once when many routers report demand at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn demand_of_many_routers_loads_a_cold_model_once() {
    let fixture = fixture(false);
    let controller = fixture.start(0, true).await;

    let routers: Vec<String> = (0..12).map(|it| format!("vm{it}/router")).collect();
    drop(futures::future::join_all(routers.iter().map(|it| controller.report_demand(it))).await);
    controller.report_demand_until_ready().await;

    assert_eq!(fixture.engine.loads.lock().len(), 1);
    let placement_is_ready = || fixture.gossip.replica_states() == [ReplicaState::Ready];
    wait_until("the placement is published", placement_is_ready).await;
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    controller.handle.stop().await;
}

/// Guards against a repeated or missing load decision when a plan write takes effect but the platform's answer is lost.
#[rstest]
#[case::take_over(0)]
#[case::decision(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_is_read_back_after_a_lost_answer_to_a_write(#[case] writes_before: u64) {
    let fixture = fixture(false);
    if writes_before == 0 {
        fixture.store.answers_to_lose.store(1, Ordering::SeqCst);
    }
    let controller = fixture.start(0, true).await;
    if writes_before > 0 {
        let written = || fixture.store.plan().is_some_and(|it| !it.servers.is_empty());
        wait_until("the plan is written", written).await;
        fixture.store.answers_to_lose.store(3, Ordering::SeqCst);
    }

    controller.report_demand_until_ready().await;

    assert_eq!(fixture.engine.loads.lock().len(), 1);
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    assert!(fixture.timeline.0.lock().contains(&Event::WriteRecovered));
    controller.handle.stop().await;
}

/// Guards against a second load, overcommitted memory and placements with older versions. The holder is paused between
/// its lease check and the sending of a load order, another controller takes over, and the order then arrives late.
#[rstest]
#[case::engine_remembers_orders(false)]
#[case::engine_forgets_orders(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_order_of_a_paused_holder_causes_no_second_load(#[case] forgets_orders: bool) {
    let fixture = fixture(forgets_orders);
    let mut first = fixture.start(0, false).await;
    first.report_demand_until_load_is_sent().await;

    *first.stale_term.lock() = Some(Term(1));
    transfer_lease(&fixture.lease, 1);
    let second = fixture.start(1, true).await;
    wait_until("the second controller has taken over", || {
        fixture.store.plan().is_some_and(|it| it.term == Term(2))
    })
    .await;
    if forgets_orders {
        drop(second.report_demand("vm0/router").await);
        assert!(
            fixture.engine.loads.lock().is_empty(),
            "a load order that may have been sent before must not be repeated"
        );
    } else {
        second.report_demand_until_ready().await;
    }
    first.gate.send_replace(true);
    *first.stale_term.lock() = None;
    second.report_demand_until_ready().await;

    assert_eq!(fixture.engine.loads.lock().len(), 1);
    assert!(*fixture.engine.max_bytes.lock() <= SERVER_MEMORY_BYTES);
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    assert_eq!(fixture.gossip.stale_puts.load(Ordering::SeqCst), 0);
    first.handle.stop().await;
    second.handle.stop().await;
}

/// Guards against memory that is never released. On an engine that forgets replica ids, the lease is lost after a load
/// was decided and before its order is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_holder_releases_reservations_of_unsent_load_orders() {
    let fixture = fixture(true);
    let second = fixture.start(1, true).await;
    *fixture.store.transfer_on_first_replica.lock() = Some(Arc::clone(&fixture.lease));
    let first = fixture.start(0, true).await;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while fixture.store.transfer_on_first_replica.lock().is_some() && Instant::now() < deadline {
        drop(first.report_demand("vm0/router").await);
    }

    second.report_demand_until_ready().await;

    let terms: Vec<Term> = fixture.engine.loads.lock().iter().map(|(_, term)| *term).collect();
    assert_eq!(terms, [Term(2)]);
    assert!(*fixture.engine.max_bytes.lock() <= SERVER_MEMORY_BYTES);
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    first.handle.stop().await;
    second.handle.stop().await;
}

/// Guards against an adapter that is published under its model's name, or not loaded in addition to its model.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapter_is_loaded_and_published_in_addition_to_its_model() {
    let fixture = fixture(false);
    let controller = fixture.start(0, true).await;
    let key = EntryKey::Placement("pool".into(), "l".to_owned());
    let deadline = Instant::now() + TEST_TIMEOUT;
    let is_ready = |reply: Result<DemandReply, MethodsError>| reply.is_ok_and(|it| it.ready_in_ms == Some(0));
    while !is_ready(controller.report_demand_for("vm0/router", Some("l")).await) {
        assert!(Instant::now() < deadline, "the adapter is not loaded");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    wait_until("the placement is published", || fixture.gossip.get(&key).is_some()).await;

    let placement: Placement = serde_json::from_slice(&fixture.gossip.get(&key).unwrap().value).unwrap();

    assert_eq!(placement.adapter, Some("l".into()));
    assert_eq!(fixture.engine.loads.lock().len(), 2);
    controller.handle.stop().await;
}

/// Guards against a draining server that is not announced as leaving or whose replicas are not unloaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_server_is_announced_and_its_replicas_are_unloaded() {
    let fixture = fixture(false);
    let controller = fixture.start(0, true).await;
    controller.report_demand_until_ready().await;

    fixture.configure(&server(false, true), 2);

    let notice_key = EntryKey::Leaving("s1".into());
    let notice_is_published = || fixture.gossip.get(&notice_key).is_some_and(|it| !it.value.is_empty());
    wait_until("the notice is published", notice_is_published).await;
    wait_until("the replica is unloaded", || fixture.engine.replicas.lock().is_empty()).await;
    wait_until("the placement is withdrawn", || {
        fixture.gossip.replica_states().is_empty()
    })
    .await;
    controller.handle.stop().await;
}

/// Guards against callers that cannot find the lease's holder: other controllers must refuse calls and name it.
#[tokio::test]
async fn call_to_another_controller_is_refused_with_the_holder_named() {
    let fixture = fixture(false);
    let other = fixture.start(1, true).await;

    let refused = loop {
        match other.report_demand("vm0/router").await {
            // The controller has not read its configuration yet.
            Err(MethodsError::JsonRpc(error)) if error.code() != NOT_HOLDER => tokio::task::yield_now().await,
            answer => break answer,
        }
    };

    let Err(MethodsError::JsonRpc(error)) = refused else {
        panic!("{refused:?}");
    };
    assert!(error.message().contains("vm0/controller"), "{}", error.message());
    other.handle.stop().await;
}

/// Guards against reporting only the first of several invalid settings.
#[test]
fn all_invalid_settings_are_reported_together() {
    let args = ControllerArgs {
        loading_policy: "best".to_owned(),
        round_ms: 0,
        reports_at_once: 0,
        ..ControllerArgs::default()
    };

    let errors = args.check();

    assert_eq!(errors.len(), 3);
    let error = ControllerError::Settings(errors);
    assert!(error.to_string().contains("--loading-policy"), "{error}");
}
