//! The controller against small fakes of the platform, the gossip map, the leases and an engine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_controller::{ControllerArgs, ControllerError, ControllerHandle, NOT_HOLDER, serve};
use guava_core::config::{Adapter, BackendServer, Kind, Model, Object, Pool, Profile};
use guava_core::events::{Event, EventRecord};
use guava_core::ids::{Incarnation, LeaseName, MemberId, OperationId, ReplicaId, Role, Term};
use guava_core::placement::{Demand, DemandReply, OrganisationDemand, Placement, ReplicaState};
use guava_core::plan::Plan;
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::units::Millis;
use guava_engine::{Action, Engine, EngineError, EngineReplica, EngineReplicaState, EngineReport, EngineRole, Order};
use guava_node::{Clock, GossipState, Leases, MemberInfo, Members, Node, PeerError, Peers, Timeline};
use guava_objects::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject, VmInfo, VmList};
use jsonrpsee::core::server::MethodsError;
use parking_lot::Mutex;
use rstest::rstest;
use tokio::sync::{broadcast, watch};

/// Longest wait for anything; only a failing test takes this long.
const LIMIT: Duration = Duration::from_mins(1);
const MODEL_BYTES: u64 = 60;
const MEMORY: u64 = 100;

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

/// Gossip map shared by all controllers of a test; it counts versions that did not grow.
#[derive(Debug)]
struct FakeGossipState {
    entries: Mutex<BTreeMap<EntryKey, Arc<Entry>>>,
    news: broadcast::Sender<Arc<Entry>>,
    stale: AtomicU32,
}

impl FakeGossipState {
    fn new() -> Self {
        Self {
            entries: Mutex::default(),
            news: broadcast::Sender::new(1024),
            stale: AtomicU32::new(0),
        }
    }

    fn placement(&self) -> Option<Placement> {
        let key = EntryKey::Placement("pool".into(), "m".to_owned());
        serde_json::from_slice(&self.get(&key)?.value).ok()
    }

    fn states(&self) -> Vec<ReplicaState> {
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
            self.stale.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        entries.insert(entry.key.clone(), Arc::clone(&entry));
        drop(self.news.send(entry));
        true
    }

    fn subscribe(&self) -> broadcast::Receiver<Arc<Entry>> {
        self.news.subscribe()
    }

    fn newest(&self, _kind: Kind) -> Version {
        Version::default()
    }
}

/// Holder and term of the pool's lease, shared by all controllers. The store's lease is always the first one's.
type Lease = Arc<Mutex<Option<(usize, Term)>>>;

fn hand_over(lease: &Lease, index: usize) {
    let mut lease = lease.lock();
    let term = lease.map_or(0, |it| it.1.0);
    *lease = Some((index, Term(term + 1)));
}

#[derive(Debug)]
struct FakeLeases {
    me: usize,
    lease: Lease,
    /// While true, this controller still believes in the lease it had.
    paused: Arc<Mutex<Option<Term>>>,
}

impl Leases for FakeLeases {
    fn compete(&self, _name: &LeaseName) {}

    fn held(&self, name: &LeaseName) -> Option<Term> {
        if name.as_str().starts_with("store/") {
            return (self.me == 0).then_some(Term(1));
        }
        let believed = *self.paused.lock();
        believed.or_else(|| self.lease.lock().filter(|it| it.0 == self.me).map(|it| it.1))
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
        let module = module.ok_or_else(|| PeerError::Unreachable("not started".to_owned()))?;
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

/// Object service that keeps plans; it can lose the answers of writes that took effect.
#[derive(Debug, Default)]
struct FakeStore {
    plans: Mutex<BTreeMap<String, StoredObject>>,
    version: Mutex<u64>,
    lose_answers: AtomicU32,
    /// Lease that passes to the second controller with the first write that has a replica.
    pass_on_decision: Mutex<Option<Lease>>,
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
            && let Some(lease) = self.pass_on_decision.lock().take()
        {
            hand_over(&lease, 1);
        }
        let lose = self.lose_answers.load(Ordering::SeqCst);
        if lose > 0 {
            self.lose_answers.store(lose - 1, Ordering::SeqCst);
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

/// Engine with a record: loads by replica id and the most memory that was ever in use.
#[derive(Debug, Default)]
struct FakeEngine {
    forgets: bool,
    replicas: Mutex<BTreeMap<ReplicaId, EngineReplica>>,
    ended: Mutex<BTreeSet<ReplicaId>>,
    loads: Mutex<Vec<(ReplicaId, Term)>>,
    most_bytes: Mutex<u64>,
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
        let mut most = self.most_bytes.lock();
        *most = used.max(*most);
        Ok(())
    }
}

/// One controller's way to the engine; load orders wait at the gate while it is closed.
#[derive(Debug)]
struct GatedEngine {
    engine: Arc<FakeEngine>,
    gate: watch::Receiver<bool>,
    arrived: watch::Sender<u32>,
}

#[async_trait]
impl Engine for GatedEngine {
    async fn order(&self, _server: SocketAddr, order: &Order) -> Result<(), EngineError> {
        match &order.action {
            Action::Load { .. } => {
                self.arrived.send_modify(|it| *it += 1);
                let mut gate = self.gate.clone();
                let (engine, order) = (Arc::clone(&self.engine), order.clone());
                // The order stays on its way when the sender's time limit ends.
                let delivery = tokio::spawn(async move {
                    gate.wait_for(|open| *open).await.unwrap();
                    engine.load(&order)
                });
                delivery.await.unwrap()
            }
            Action::Unload => {
                self.engine.replicas.lock().remove(&order.replica);
                if !self.engine.forgets {
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
            memory_bytes: MEMORY,
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

struct Running {
    handle: ControllerHandle,
    gate: watch::Sender<bool>,
    arrived: watch::Receiver<u32>,
    paused: Arc<Mutex<Option<Term>>>,
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

fn server(forgets: bool, draining: bool) -> Object {
    Object::Server(BackendServer {
        name: "s1".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z1".into(),
        pool: "pool".into(),
        memory_bytes: MEMORY,
        checks_fence: false,
        forgets_orders: forgets,
        draining,
    })
}

fn fixture(forgets: bool) -> Fixture {
    let fixture = Fixture {
        store: Arc::default(),
        gossip: Arc::new(FakeGossipState::new()),
        engine: Arc::new(FakeEngine {
            forgets,
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
        server(forgets, false),
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

    async fn start(&self, index: usize, gate_open: bool) -> Running {
        let gate = watch::Sender::new(gate_open);
        let arrived = watch::Sender::new(0);
        let paused = Arc::new(Mutex::new(None));
        let engine = GatedEngine {
            engine: Arc::clone(&self.engine),
            gate: gate.subscribe(),
            arrived: arrived.clone(),
        };
        let node = Node {
            clock: Arc::new(FakeClock(Instant::now())),
            members: Arc::new(FakeMembers(vec![member(0), member(1)], index)),
            gossip: Arc::clone(&self.gossip) as Arc<dyn GossipState>,
            peers: Arc::new(FakePeers(Arc::clone(&self.modules))),
            leases: Arc::new(FakeLeases {
                me: index,
                lease: Arc::clone(&self.lease),
                paused: Arc::clone(&paused),
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
        Running {
            handle,
            gate,
            arrived: arrived.subscribe(),
            paused,
        }
    }
}

impl Running {
    async fn demand(&self, router: &str) -> Result<DemandReply, MethodsError> {
        self.demand_for(router, None).await
    }

    async fn demand_for(&self, router: &str, adapter: Option<&str>) -> Result<DemandReply, MethodsError> {
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

    async fn demand_until_ready(&self) {
        let deadline = Instant::now() + LIMIT;
        while Instant::now() < deadline {
            if let Ok(reply) = self.demand("vm0/router").await
                && reply.ready_in_ms == Some(0)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no replica got ready");
    }

    async fn demand_until_sent(&mut self) {
        let deadline = Instant::now() + LIMIT;
        while Instant::now() < deadline && *self.arrived.borrow_and_update() == 0 {
            drop(self.demand("vm0/router").await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(*self.arrived.borrow() > 0, "no load order was sent");
    }
}

async fn eventually(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !done() {
        assert!(Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against several loads of one cold model when many routers report demand at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn demand_of_many_routers_loads_a_cold_model_once() {
    let fixture = fixture(false);
    let controller = fixture.start(0, true).await;

    let routers: Vec<String> = (0..12).map(|it| format!("vm{it}/router")).collect();
    drop(futures::future::join_all(routers.iter().map(|it| controller.demand(it))).await);
    controller.demand_until_ready().await;

    assert_eq!(fixture.engine.loads.lock().len(), 1);
    let is_published = || fixture.gossip.states() == [ReplicaState::Ready];
    eventually("the placement is published", is_published).await;
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    controller.handle.stop().await;
}

/// Guards against a second decision, or none, when the platform's answer is lost after the write took effect.
#[rstest]
#[case::take_over(0)]
#[case::decision(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_of_a_plan_write_is_read_back(#[case] writes_before: u64) {
    let fixture = fixture(false);
    if writes_before == 0 {
        fixture.store.lose_answers.store(1, Ordering::SeqCst);
    }
    let controller = fixture.start(0, true).await;
    if writes_before > 0 {
        let written = || fixture.store.plan().is_some_and(|it| !it.servers.is_empty());
        eventually("the plan is written", written).await;
        fixture.store.lose_answers.store(3, Ordering::SeqCst);
    }

    controller.demand_until_ready().await;

    assert_eq!(fixture.engine.loads.lock().len(), 1);
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    assert!(fixture.timeline.0.lock().contains(&Event::WriteRecovered));
    controller.handle.stop().await;
}

/// Guards against a second load, overcommitted memory and placements that go back when the holder is paused between
/// its lease check and the send, while another takes over.
#[rstest]
#[case::engine_remembers(false)]
#[case::engine_forgets(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_order_of_a_paused_holder_does_no_harm(#[case] forgets: bool) {
    let fixture = fixture(forgets);
    let mut first = fixture.start(0, false).await;
    first.demand_until_sent().await;

    *first.paused.lock() = Some(Term(1));
    hand_over(&fixture.lease, 1);
    let second = fixture.start(1, true).await;
    eventually("the second takes over", || {
        fixture.store.plan().is_some_and(|it| it.term == Term(2))
    })
    .await;
    if forgets {
        drop(second.demand("vm0/router").await);
        assert!(
            fixture.engine.loads.lock().is_empty(),
            "an unproved load must not be repeated"
        );
    } else {
        second.demand_until_ready().await;
    }
    first.gate.send_replace(true);
    *first.paused.lock() = None;
    second.demand_until_ready().await;

    assert_eq!(fixture.engine.loads.lock().len(), 1);
    assert!(*fixture.engine.most_bytes.lock() <= MEMORY);
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    assert_eq!(fixture.gossip.stale.load(Ordering::SeqCst), 0);
    first.handle.stop().await;
    second.handle.stop().await;
}

/// Guards against memory that stays reserved for ever on an engine that forgets ids, when the lease is lost between the
/// decision and the send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_releases_what_the_previous_holder_never_sent() {
    let fixture = fixture(true);
    let second = fixture.start(1, true).await;
    *fixture.store.pass_on_decision.lock() = Some(Arc::clone(&fixture.lease));
    let first = fixture.start(0, true).await;
    let deadline = Instant::now() + LIMIT;
    while fixture.store.pass_on_decision.lock().is_some() && Instant::now() < deadline {
        drop(first.demand("vm0/router").await);
    }

    second.demand_until_ready().await;

    let terms: Vec<Term> = fixture.engine.loads.lock().iter().map(|(_, term)| *term).collect();
    assert_eq!(terms, [Term(2)]);
    assert!(*fixture.engine.most_bytes.lock() <= MEMORY);
    assert_eq!(fixture.store.plan().unwrap().replicas.len(), 1);
    first.handle.stop().await;
    second.handle.stop().await;
}

/// Guards against an adapter that is published under its model's name or loaded before its model.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapter_gets_its_own_placement_next_to_its_model() {
    let fixture = fixture(false);
    let controller = fixture.start(0, true).await;
    let key = EntryKey::Placement("pool".into(), "l".to_owned());
    let deadline = Instant::now() + LIMIT;
    let is_ready = |reply: Result<DemandReply, MethodsError>| reply.is_ok_and(|it| it.ready_in_ms == Some(0));
    while !is_ready(controller.demand_for("vm0/router", Some("l")).await) {
        assert!(Instant::now() < deadline, "the adapter is not loaded");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    eventually("the placement is published", || fixture.gossip.get(&key).is_some()).await;

    let placement: Placement = serde_json::from_slice(&fixture.gossip.get(&key).unwrap().value).unwrap();

    assert_eq!(placement.adapter, Some("l".into()));
    assert_eq!(fixture.engine.loads.lock().len(), 2);
    controller.handle.stop().await;
}

/// Guards against work for a server that is being drained, and against replicas that stay on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_is_announced_and_emptied() {
    let fixture = fixture(false);
    let controller = fixture.start(0, true).await;
    controller.demand_until_ready().await;

    fixture.configure(&server(false, true), 2);

    let notice = EntryKey::Leaving("s1".into());
    let is_announced = || fixture.gossip.get(&notice).is_some_and(|it| !it.value.is_empty());
    eventually("the notice is published", is_announced).await;
    eventually("the replica is unloaded", || fixture.engine.replicas.lock().is_empty()).await;
    eventually("the placement is withdrawn", || fixture.gossip.states().is_empty()).await;
    controller.handle.stop().await;
}

/// Guards against a caller that cannot find the holder.
#[tokio::test]
async fn other_controllers_name_the_holder() {
    let fixture = fixture(false);
    let other = fixture.start(1, true).await;

    let refused = loop {
        match other.demand("vm0/router").await {
            // The configuration has not been read yet.
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

/// Guards against settings that are reported one fault at a time.
#[test]
fn all_faults_of_the_settings_are_reported() {
    let args = ControllerArgs {
        loading_policy: "best".to_owned(),
        round_ms: 0,
        reports_at_once: 0,
        ..ControllerArgs::default()
    };

    let faults = args.check();

    assert_eq!(faults.len(), 3);
    let error = ControllerError::Settings(faults);
    assert!(error.to_string().contains("--loading-policy"), "{error}");
}
