//! Small fakes of the process runtime and the platform for the router's tests.
#![allow(dead_code, reason = "each test file uses a part of the fakes")]
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
use guava_core::ids::{Incarnation, LeaseName, MemberId, OperationId, Role, Term, Zone};
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::units::Millis;
use guava_node::{Clock, GossipState, Leases, MemberInfo, Members, Node, PeerError, Peers, Timeline};
use guava_objects::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject, VmInfo, VmList};
use jsonrpsee::RpcModule;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::{Notify, broadcast, watch};

/// Time that each call to the platform takes.
pub const STORE_DELAY: Duration = Duration::from_millis(10);

type Life = (MemberId, Incarnation);

/// What all routers of a test share.
#[derive(Debug)]
pub struct World {
    pub store: Arc<FakeStore>,
    state: Mutex<State>,
    changes: broadcast::Sender<Arc<Entry>>,
    started: tokio::time::Instant,
    shutdown: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    live: BTreeMap<MemberId, MemberInfo>,
    ended: HashSet<Life>,
    entries: BTreeMap<EntryKey, Arc<Entry>>,
    modules: BTreeMap<Life, RpcModule<()>>,
    leases: BTreeMap<String, MemberId>,
    rng: ChaCha8Rng,
    lost: f64,
}

impl World {
    pub fn new(seed: u64) -> Arc<Self> {
        println!("seed {seed}");
        let state = State {
            live: BTreeMap::new(),
            ended: HashSet::new(),
            entries: BTreeMap::new(),
            modules: BTreeMap::new(),
            leases: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            lost: 0.0,
        };
        Arc::new(Self {
            store: Arc::default(),
            state: Mutex::new(state),
            changes: broadcast::channel(1_024).0,
            started: tokio::time::Instant::now(),
            shutdown: watch::channel(false).0,
        })
    }

    pub fn router(self: &Arc<Self>, vm: &str, incarnation: u64) -> Node {
        let addr = "127.0.0.1:1".parse().unwrap();
        let me = MemberInfo {
            id: MemberId::new(vm, Role::Router),
            incarnation: Incarnation(incarnation),
            zone: Zone::new("z"),
            gossip_addr: addr,
            rpc_addr: addr,
        };
        self.state.lock().live.insert(me.id.clone(), me.clone());
        let world = Arc::clone(self);
        let part = Arc::new(Part { world, me });
        Node {
            clock: part.clone(),
            members: part.clone(),
            gossip: part.clone(),
            peers: part.clone(),
            leases: part.clone(),
            timeline: part.clone(),
            store: self.store.clone(),
            vms: part,
            shutdown: self.shutdown.subscribe(),
        }
    }

    pub fn begin_shutdown(&self) {
        self.shutdown.send_replace(true);
    }

    pub fn serve(&self, node: &Node, module: RpcModule<()>) {
        self.state.lock().modules.insert(life(node), module);
    }

    /// Makes all believe that a router is down, without proof.
    pub fn leave(&self, node: &Node) {
        let id = &node.members.me().id;
        self.state.lock().live.remove(id);
    }

    /// Ends a router with proof.
    pub fn end(&self, node: &Node) {
        let mut state = self.state.lock();
        let key = life(node);
        state.live.retain(|_, it| (&it.id, it.incarnation) != (&key.0, key.1));
        state.modules.remove(&key);
        state.ended.insert(key);
    }

    /// Loses this part of the calls, half of them after they took effect, and repeats half as many.
    pub fn lose_calls(&self, part: f64) {
        self.state.lock().lost = part;
    }

    pub fn give_lease(&self, name: &LeaseName, node: &Node) {
        self.state.lock().leases.insert(name.to_string(), life(node).0);
    }

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

fn life(node: &Node) -> Life {
    let me = node.members.me();
    (me.id.clone(), me.incarnation)
}

/// The runtime of one router.
#[derive(Debug)]
struct Part {
    world: Arc<World>,
    me: MemberInfo,
}

impl Clock for Part {
    fn now(&self) -> Millis {
        Millis(self.world.started.elapsed().as_millis() as u64)
    }

    fn wall_ms(&self) -> u64 {
        self.now().0 + 1_700_000_000_000
    }
}

impl Members for Part {
    fn me(&self) -> &MemberInfo {
        &self.me
    }

    fn live(&self) -> Vec<MemberInfo> {
        self.world.state.lock().live.values().cloned().collect()
    }

    fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool {
        let state = self.world.state.lock();
        let later = state.live.get(id).is_some_and(|it| it.incarnation > incarnation);
        later || state.ended.contains(&(id.clone(), incarnation))
    }

    fn isolated(&self) -> bool {
        false
    }
}

impl GossipState for Part {
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>> {
        self.world.state.lock().entries.get(key).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.world.state.lock().entries.values().cloned().collect()
    }

    fn put(&self, entry: Entry) -> bool {
        self.world.merge(entry)
    }

    fn subscribe(&self) -> broadcast::Receiver<Arc<Entry>> {
        self.world.changes.subscribe()
    }

    fn newest(&self, _kind: Kind) -> Version {
        Version::default()
    }
}

impl Leases for Part {
    fn compete(&self, name: &LeaseName) {
        let mut state = self.world.state.lock();
        state
            .leases
            .entry(name.to_string())
            .or_insert_with(|| self.me.id.clone());
    }

    fn held(&self, name: &LeaseName) -> Option<Term> {
        (self.holder(name)? == self.me.id).then_some(Term(1))
    }

    fn holder(&self, name: &LeaseName) -> Option<MemberId> {
        self.world.state.lock().leases.get(name.as_str()).cloned()
    }
}

#[async_trait]
impl Peers for Part {
    async fn call(&self, member: &MemberInfo, method: &str, params: Value, _: Duration) -> Result<Value, PeerError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let ([lost_before, lost_after, repeated], module) = {
            let mut state = self.world.state.lock();
            let part = state.lost / 2.0;
            let draws = [(); 3].map(|()| state.rng.random_bool(part));
            (
                draws,
                state.modules.get(&(member.id.clone(), member.incarnation)).cloned(),
            )
        };
        let lost = || PeerError::OutcomeUnknown("lost".to_owned());
        if lost_before {
            return Err(lost());
        }
        let module = module.ok_or_else(|| PeerError::Unreachable("no such router".to_owned()))?;
        let text = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
        if repeated {
            module.raw_json_request(&text, 1).await.unwrap();
        }
        let (answer, _) = module.raw_json_request(&text, 1).await.unwrap();
        if lost_after {
            return Err(lost());
        }
        let answer: Value = serde_json::from_str(answer.get()).unwrap();
        let result = answer.get("result").cloned();
        result.ok_or_else(|| PeerError::Refused(0, answer.to_string()))
    }
}

impl Timeline for Part {
    fn record(&self, _event: Event, _request: Option<&str>, _model: Option<&str>, _detail: &str) {}

    fn events(&self, _request: Option<&str>, _model: Option<&str>) -> Vec<EventRecord> {
        Vec::new()
    }
}

#[async_trait]
impl VmList for Part {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Object service in memory with settable faults.
#[derive(Debug, Default)]
pub struct FakeStore {
    state: Mutex<StoreState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    objects: BTreeMap<(Kind, String), StoredObject>,
    down: bool,
    lose_answers: usize,
}

impl FakeStore {
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// The next writes take effect, but their answers are lost.
    pub fn lose_answers(&self, count: usize) {
        self.state.lock().lose_answers = count;
    }

    pub fn objects(&self, kind: Kind) -> Vec<StoredObject> {
        let state = self.state.lock();
        state.objects.values().filter(|it| it.kind == kind).cloned().collect()
    }

    async fn answer(&self) -> Result<(), PlatformError> {
        tokio::time::sleep(STORE_DELAY).await;
        if self.state.lock().down {
            return Err(PlatformError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    /// Changes an object under a condition.
    fn change(
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
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
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
        self.answer().await?;
        Ok(self.state.lock().objects.get(&(kind, name.to_owned())).cloned())
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        self.answer().await?;
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
        self.answer().await?;
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
        self.change(key, expected, Some(object))
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        self.answer().await?;
        self.change((kind, name.to_owned()), Some(version), None)
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        self.answer().await?;
        let waiting = self.changed.notified();
        if self.changes(kind, since).is_empty() {
            let _ = tokio::time::timeout(timeout, waiting).await;
        }
        Ok(self.changes(kind, since))
    }
}
