//! Fakes of the process runtime and the platform's object service, shared by the routers of a test.
#![allow(dead_code, reason = "each test program uses only some of the fakes")]
#![allow(
    clippy::clone_on_ref_ptr,
    reason = "the method form lets clones coerce to trait objects"
)]

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::events::{Event, EventRecord};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{Incarnation, LeaseName, MemberId, OperationId, Role, Term, Zone};
use guava_core::units::Millis;
use guava_node::{Clock, GossipState, Leases, MemberInfo, Members, Node, PeerError, Peers, Timeline};
use guava_objects::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject, VmInfo, VmList};
use jsonrpsee::RpcModule;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::{Notify, broadcast, watch};

/// Duration of each call to the object service.
pub const STORE_DELAY: Duration = Duration::from_millis(10);

type RouterId = (MemberId, Incarnation);

/// Routers of a test with their shared state: members, gossip entries, leases and object service.
#[derive(Debug)]
pub struct FakeFleet {
    pub store: Arc<FakeStore>,
    state: Mutex<State>,
    changes: broadcast::Sender<Arc<Entry>>,
    started: tokio::time::Instant,
    shutdown: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    live: BTreeMap<MemberId, MemberInfo>,
    ended: HashSet<RouterId>,
    entries: BTreeMap<EntryKey, Arc<Entry>>,
    modules: BTreeMap<RouterId, RpcModule<()>>,
    leases: BTreeMap<String, MemberId>,
    rng: ChaCha8Rng,
    /// Share of the calls between routers that are lost.
    loss_rate: f64,
}

impl FakeFleet {
    pub fn new(seed: u64) -> Arc<Self> {
        println!("seed {seed}");
        let state = State {
            live: BTreeMap::new(),
            ended: HashSet::new(),
            entries: BTreeMap::new(),
            modules: BTreeMap::new(),
            leases: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_rate: 0.0,
        };
        Arc::new(Self {
            store: Arc::default(),
            state: Mutex::new(state),
            changes: broadcast::channel(1_024).0,
            started: tokio::time::Instant::now(),
            shutdown: watch::channel(false).0,
        })
    }

    /// Adds a live router.
    pub fn add_router(self: &Arc<Self>, vm: &str, incarnation: u64) -> Node {
        let addr = "127.0.0.1:1".parse().unwrap();
        let me = MemberInfo {
            id: MemberId::new(vm, Role::Router),
            incarnation: Incarnation(incarnation),
            zone: Zone::new("z"),
            gossip_addr: addr,
            rpc_addr: addr,
        };
        self.state.lock().live.insert(me.id.clone(), me.clone());
        let fleet = Arc::clone(self);
        let runtime = Arc::new(FakeRuntime { fleet, me });
        Node {
            clock: runtime.clone(),
            members: runtime.clone(),
            gossip: runtime.clone(),
            peers: runtime.clone(),
            leases: runtime.clone(),
            timeline: runtime.clone(),
            store: self.store.clone(),
            vms: runtime,
            shutdown: self.shutdown.subscribe(),
        }
    }

    pub fn begin_shutdown(&self) {
        self.shutdown.send_replace(true);
    }

    /// Makes the RPC methods of a router reachable for the others.
    pub fn serve_rpc(&self, node: &Node, module: RpcModule<()>) {
        self.state.lock().modules.insert(router_id(node), module);
    }

    /// Removes a router from the live members without proof that it has ended.
    pub fn remove_from_live(&self, node: &Node) {
        let id = &node.members.me().id;
        self.state.lock().live.remove(id);
    }

    /// Ends a router, with proof that it has ended.
    pub fn end_with_proof(&self, node: &Node) {
        let mut state = self.state.lock();
        let key = router_id(node);
        state.live.retain(|_, it| (&it.id, it.incarnation) != (&key.0, key.1));
        state.modules.remove(&key);
        state.ended.insert(key);
    }

    /// Loses the given share of the calls between routers: half of them before and half after they take effect. Half as
    /// many calls are delivered twice.
    pub fn lose_calls(&self, loss_rate: f64) {
        self.state.lock().loss_rate = loss_rate;
    }

    pub fn set_lease_holder(&self, name: &LeaseName, node: &Node) {
        self.state.lock().leases.insert(name.to_string(), router_id(node).0);
    }

    /// Distributes a configuration object as a gossip entry.
    pub fn configure(&self, kind: Kind, name: &str, spec: &Value, sequence: u64) {
        let key = EntryKey::Config(kind, name.to_owned());
        let version = Version {
            term: Term(0),
            sequence,
        };
        let value = serde_json::to_vec(spec).unwrap();
        self.merge(Entry { key, version, value });
    }

    fn merge(&self, entry: Entry) -> bool {
        let mut state = self.state.lock();
        let known = state.entries.get(&entry.key);
        if known.is_some_and(|it| it.version >= entry.version) {
            return false;
        }
        let entry = Arc::new(entry);
        state.entries.insert(entry.key.clone(), entry.clone());
        let _ = self.changes.send(entry);
        true
    }
}

fn router_id(node: &Node) -> RouterId {
    let me = node.members.me();
    (me.id.clone(), me.incarnation)
}

/// Process runtime of one router.
#[derive(Debug)]
struct FakeRuntime {
    fleet: Arc<FakeFleet>,
    me: MemberInfo,
}

impl Clock for FakeRuntime {
    fn now(&self) -> Millis {
        Millis(self.fleet.started.elapsed().as_millis() as u64)
    }

    fn wall_ms(&self) -> u64 {
        self.now().0 + 1_700_000_000_000
    }
}

impl Members for FakeRuntime {
    fn me(&self) -> &MemberInfo {
        &self.me
    }

    fn live(&self) -> Vec<MemberInfo> {
        self.fleet.state.lock().live.values().cloned().collect()
    }

    fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool {
        let state = self.fleet.state.lock();
        let has_later_incarnation = state.live.get(id).is_some_and(|it| it.incarnation > incarnation);
        has_later_incarnation || state.ended.contains(&(id.clone(), incarnation))
    }

    fn isolated(&self) -> bool {
        false
    }
}

impl GossipState for FakeRuntime {
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>> {
        self.fleet.state.lock().entries.get(key).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.fleet.state.lock().entries.values().cloned().collect()
    }

    fn put(&self, entry: Entry) -> bool {
        self.fleet.merge(entry)
    }

    fn subscribe(&self) -> broadcast::Receiver<Arc<Entry>> {
        self.fleet.changes.subscribe()
    }

    fn newest(&self, _kind: Kind) -> Version {
        Version::default()
    }
}

impl Leases for FakeRuntime {
    fn compete(&self, name: &LeaseName) {
        let mut state = self.fleet.state.lock();
        state
            .leases
            .entry(name.to_string())
            .or_insert_with(|| self.me.id.clone());
    }

    fn held(&self, name: &LeaseName) -> Option<Term> {
        (self.holder(name)? == self.me.id).then_some(Term(1))
    }

    fn holder(&self, name: &LeaseName) -> Option<MemberId> {
        self.fleet.state.lock().leases.get(name.as_str()).cloned()
    }
}

#[async_trait]
impl Peers for FakeRuntime {
    async fn call(&self, member: &MemberInfo, method: &str, params: Value, _: Duration) -> Result<Value, PeerError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let ([is_lost_before, is_lost_after, is_repeated], module) = {
            let mut state = self.fleet.state.lock();
            let probability = state.loss_rate / 2.0;
            let draws = [(); 3].map(|()| state.rng.random_bool(probability));
            (
                draws,
                state.modules.get(&(member.id.clone(), member.incarnation)).cloned(),
            )
        };
        let lost_error = || PeerError::OutcomeUnknown("lost".to_owned());
        if is_lost_before {
            return Err(lost_error());
        }
        let module = module.ok_or_else(|| PeerError::Unreachable("no such router".to_owned()))?;
        let text = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
        if is_repeated {
            module.raw_json_request(&text, 1).await.unwrap();
        }
        let (answer, _) = module.raw_json_request(&text, 1).await.unwrap();
        if is_lost_after {
            return Err(lost_error());
        }
        let answer: Value = serde_json::from_str(answer.get()).unwrap();
        let result = answer.get("result").cloned();
        result.ok_or_else(|| PeerError::Refused(0, answer.to_string()))
    }
}

impl Timeline for FakeRuntime {
    fn record(&self, _event: Event, _request: Option<&str>, _model: Option<&str>, _detail: &str) {}

    fn events(&self, _request: Option<&str>, _model: Option<&str>) -> Vec<EventRecord> {
        Vec::new()
    }
}

#[async_trait]
impl VmList for FakeRuntime {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Object service in memory that tests can make fail.
#[derive(Debug, Default)]
pub struct FakeStore {
    state: Mutex<StoreState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    objects: BTreeMap<(Kind, String), StoredObject>,
    is_down: bool,
    answers_to_lose: usize,
}

impl FakeStore {
    pub fn set_down(&self, down: bool) {
        self.state.lock().is_down = down;
    }

    /// Loses the answers of the next `count` writes, which still take effect.
    pub fn lose_answers(&self, count: usize) {
        self.state.lock().answers_to_lose = count;
    }

    pub fn objects(&self, kind: Kind) -> Vec<StoredObject> {
        let state = self.state.lock();
        state.objects.values().filter(|it| it.kind == kind).cloned().collect()
    }

    /// Waits for [`STORE_DELAY`] and fails if the service is down.
    async fn begin_call(&self) -> Result<(), PlatformError> {
        tokio::time::sleep(STORE_DELAY).await;
        if self.state.lock().is_down {
            return Err(PlatformError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    /// Replaces or deletes an object if its version is the expected one; `None` expects no object.
    fn compare_and_swap(
        &self,
        key: (Kind, String),
        expected: Option<u64>,
        new: Option<StoredObject>,
    ) -> Result<u64, PlatformError> {
        let mut state = self.state.lock();
        let current = state.objects.get(&key).map(|it| it.version);
        if current != expected {
            return Err(PlatformError::Conflict(current));
        }
        state.version += 1;
        let version = state.version;
        match new {
            Some(object) => state.objects.insert(key, StoredObject { version, ..object }),
            None => state.objects.remove(&key),
        };
        self.changed.notify_waiters();
        if state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            return Err(PlatformError::OutcomeUnknown("answer lost".to_owned()));
        }
        Ok(version)
    }

    fn changes(&self, kind: Kind, since: u64) -> Vec<Change> {
        let objects = self.objects(kind).into_iter();
        objects.filter(|it| it.version > since).map(Change::Put).collect()
    }
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        self.begin_call().await?;
        Ok(self.state.lock().objects.get(&(kind, name.to_owned())).cloned())
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        self.begin_call().await?;
        let version = self.state.lock().version;
        let items = self.objects(kind);
        Ok(ObjectList { version, items })
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        self.begin_call().await?;
        if spec.to_string().len() > 1_000_000 {
            return Err(PlatformError::TooLarge);
        }
        let expected = match expect {
            Expect::Absent => None,
            Expect::Version(version) => Some(version),
        };
        let (name, operation, spec) = (name.to_owned(), operation.clone(), spec.clone());
        let key = (kind, name.clone());
        let version = 0;
        let object = StoredObject {
            kind,
            name,
            version,
            operation,
            spec,
        };
        self.compare_and_swap(key, expected, Some(object))
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        self.begin_call().await?;
        self.compare_and_swap((kind, name.to_owned()), Some(version), None)
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        self.begin_call().await?;
        let changed = self.changed.notified();
        if self.changes(kind, since).is_empty() {
            let _ = tokio::time::timeout(timeout, changed).await;
        }
        Ok(self.changes(kind, since))
    }
}
