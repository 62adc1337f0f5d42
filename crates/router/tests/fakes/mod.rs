//! Small fakes of the process runtime and the platform for the router's tests.
#![allow(dead_code, reason = "each test file uses a part of the fakes")]

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::events::{Event, EventRecord};
use guava_core::ids::{Incarnation, LeaseName, MemberId, OperationId, Role, Term, Zone};
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::units::Millis;
use guava_node::{Clock, Leases, MemberInfo, Members, Node, PeerError, Peers, Spread, Timeline};
use guava_platform::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject, VmInfo, VmList};
use jsonrpsee::RpcModule;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, broadcast, watch};

/// Time that each call to the platform takes.
pub const STORE_DELAY: Duration = Duration::from_millis(10);

/// What all routers of a test share.
#[derive(Debug)]
pub struct World {
    pub store: Arc<FakeStore>,
    live: Mutex<BTreeMap<MemberId, MemberInfo>>,
    ended: Mutex<HashSet<(MemberId, Incarnation)>>,
    entries: Mutex<BTreeMap<EntryKey, Arc<Entry>>>,
    changes: broadcast::Sender<Arc<Entry>>,
    modules: Mutex<BTreeMap<(MemberId, Incarnation), RpcModule<()>>>,
    lease_holders: Mutex<BTreeMap<String, MemberId>>,
    faults: Mutex<(ChaCha8Rng, f64)>,
    started: tokio::time::Instant,
    shutdown: watch::Sender<bool>,
}

impl World {
    pub fn new(seed: u64) -> Arc<Self> {
        println!("seed {seed}");
        Arc::new(Self {
            store: Arc::default(),
            live: Mutex::default(),
            ended: Mutex::default(),
            entries: Mutex::default(),
            changes: broadcast::channel(1_024).0,
            modules: Mutex::default(),
            lease_holders: Mutex::default(),
            faults: Mutex::new((ChaCha8Rng::seed_from_u64(seed), 0.0)),
            started: tokio::time::Instant::now(),
            shutdown: watch::channel(false).0,
        })
    }

    pub fn router(self: &Arc<Self>, vm: &str, incarnation: u64) -> Node {
        let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let me = MemberInfo {
            id: MemberId::new(vm, Role::Router),
            incarnation: Incarnation(incarnation),
            zone: Zone::new("z"),
            gossip_addr: addr,
            rpc_addr: addr,
        };
        self.live.lock().insert(me.id.clone(), me.clone());
        let part = Arc::new(Part {
            world: Arc::clone(self),
            me,
        });
        Node {
            clock: Arc::clone(&part) as Arc<dyn Clock>,
            members: Arc::clone(&part) as Arc<dyn Members>,
            spread: Arc::clone(&part) as Arc<dyn Spread>,
            peers: Arc::clone(&part) as Arc<dyn Peers>,
            leases: Arc::clone(&part) as Arc<dyn Leases>,
            timeline: Arc::clone(&part) as Arc<dyn Timeline>,
            store: Arc::clone(&self.store) as Arc<dyn ObjectStore>,
            vms: part,
            shutdown: self.shutdown.subscribe(),
        }
    }

    pub fn serve(&self, node: &Node, module: RpcModule<()>) {
        let me = node.members.me();
        self.modules.lock().insert((me.id.clone(), me.incarnation), module);
    }

    /// Ends a router with proof.
    pub fn end(&self, node: &Node) {
        let me = node.members.me();
        let key = (me.id.clone(), me.incarnation);
        self.live
            .lock()
            .retain(|_, it| it.id != key.0 || it.incarnation != key.1);
        self.modules.lock().remove(&key);
        self.ended.lock().insert(key);
    }

    /// Loses this part of the calls, half of them after they took effect, and repeats as many.
    pub fn lose_calls(&self, part: f64) {
        self.faults.lock().1 = part;
    }

    pub fn give_lease(&self, name: &str, node: &Node) {
        self.lease_holders
            .lock()
            .insert(name.to_owned(), node.members.me().id.clone());
    }

    pub fn configure(&self, kind: Kind, name: &str, spec: &serde_json::Value, sequence: u64) {
        self.merge(Entry {
            key: EntryKey::Config(kind, name.to_owned()),
            version: Version {
                term: Term(0),
                sequence,
            },
            value: serde_json::to_vec(spec).unwrap(),
        });
    }

    fn merge(&self, entry: Entry) -> bool {
        let mut entries = self.entries.lock();
        if entries.get(&entry.key).is_some_and(|it| it.version >= entry.version) {
            return false;
        }
        let entry = Arc::new(entry);
        entries.insert(entry.key.clone(), Arc::clone(&entry));
        drop(entries);
        let _ = self.changes.send(entry);
        true
    }
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
        self.world.live.lock().values().cloned().collect()
    }

    fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool {
        let later = self
            .world
            .live
            .lock()
            .get(id)
            .is_some_and(|it| it.incarnation > incarnation);
        later || self.world.ended.lock().contains(&(id.clone(), incarnation))
    }

    fn isolated(&self) -> bool {
        false
    }
}

impl Spread for Part {
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>> {
        self.world.entries.lock().get(key).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.world.entries.lock().values().cloned().collect()
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
        let mut holders = self.world.lease_holders.lock();
        holders.entry(name.to_string()).or_insert_with(|| self.me.id.clone());
    }

    fn held(&self, name: &LeaseName) -> Option<Term> {
        (self.holder(name)? == self.me.id).then_some(Term(1))
    }

    fn holder(&self, name: &LeaseName) -> Option<MemberId> {
        self.world.lease_holders.lock().get(name.as_str()).cloned()
    }
}

#[async_trait]
impl Peers for Part {
    async fn call(
        &self,
        member: &MemberInfo,
        method: &str,
        params: serde_json::Value,
        _timeout: Duration,
    ) -> Result<serde_json::Value, PeerError> {
        let key = (member.id.clone(), member.incarnation);
        let (lost_before, lost_after, repeated) = {
            let mut faults = self.world.faults.lock();
            let part = faults.1;
            let mut draw = || faults.0.random_bool(part / 2.0);
            (draw(), draw(), draw())
        };
        tokio::time::sleep(Duration::from_millis(1)).await;
        if lost_before {
            return Err(PeerError::OutcomeUnknown("lost".to_owned()));
        }
        let module = self.world.modules.lock().get(&key).cloned();
        let module = module.ok_or_else(|| PeerError::Unreachable("no such router".to_owned()))?;
        let text = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
        if repeated {
            module.raw_json_request(&text, 1).await.unwrap();
        }
        let (answer, _) = module.raw_json_request(&text, 1).await.unwrap();
        if lost_after {
            return Err(PeerError::OutcomeUnknown("lost".to_owned()));
        }
        let answer: serde_json::Value = serde_json::from_str(answer.get()).unwrap();
        match answer.get("result") {
            Some(result) => Ok(result.clone()),
            None => Err(PeerError::Refused(0, answer.to_string())),
        }
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

    fn check(&self) -> Result<(), PlatformError> {
        if self.state.lock().down {
            return Err(PlatformError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    fn finish(&self, state: &mut StoreState) -> Result<u64, PlatformError> {
        self.changed.notify_waiters();
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            return Err(PlatformError::OutcomeUnknown("answer lost".to_owned()));
        }
        Ok(state.version)
    }
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        tokio::time::sleep(STORE_DELAY).await;
        self.check()?;
        Ok(self.state.lock().objects.get(&(kind, name.to_owned())).cloned())
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        self.check()?;
        let version = self.state.lock().version;
        let items = self.objects(kind);
        Ok(ObjectList { version, items })
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        tokio::time::sleep(STORE_DELAY).await;
        self.check()?;
        if spec.to_string().len() > 1_000_000 {
            return Err(PlatformError::TooLarge);
        }
        let mut state = self.state.lock();
        let key = (kind, name.to_owned());
        let current = state.objects.get(&key).map(|it| it.version);
        let expected = match expect {
            Expect::Absent => None,
            Expect::Version(version) => Some(version),
        };
        if current != expected {
            return Err(PlatformError::Conflict(current));
        }
        state.version += 1;
        let object = StoredObject {
            kind,
            name: name.to_owned(),
            version: state.version,
            operation: operation.clone(),
            spec: spec.clone(),
        };
        state.objects.insert(key, object);
        self.finish(&mut state)
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        tokio::time::sleep(STORE_DELAY).await;
        self.check()?;
        let mut state = self.state.lock();
        let key = (kind, name.to_owned());
        let current = state.objects.get(&key).map(|it| it.version);
        if current != Some(version) {
            return Err(PlatformError::Conflict(current));
        }
        state.objects.remove(&key);
        state.version += 1;
        self.finish(&mut state)
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        self.check()?;
        let newer = |store: &Self| {
            let objects = store.objects(kind);
            let changes: Vec<_> = objects
                .into_iter()
                .filter(|it| it.version > since)
                .map(Change::Put)
                .collect();
            changes
        };
        let waiting = self.changed.notified();
        let changes = newer(self);
        if changes.is_empty() {
            let _ = tokio::time::timeout(timeout, waiting).await;
            return Ok(newer(self));
        }
        Ok(changes)
    }
}
