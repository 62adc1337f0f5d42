//! In-process stand-in of the platform's object service.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::derive_value;
use guava_core::ids::OperationId;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::faults::{FaultSwitch, Faults};
use crate::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject};

/// Largest serialized value of an object.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;
/// Changes kept for watches.
const HISTORY_LIMIT: usize = 16_384;

/// Calls a second that the stand-in accepts, each with a burst of one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Reads, lists and watches.
    pub reads_per_second: f64,
    /// Writes and deletions.
    pub writes_per_second: f64,
}

derive_value! {
    /// Number of calls by kind of call, refused calls included.
    #[derive(Copy, Default)]
    pub struct CallCounts {
        /// Reads.
        pub get: u64,
        /// Lists.
        pub list: u64,
        /// Writes.
        pub put: u64,
        /// Deletions.
        pub delete: u64,
        /// Watches.
        pub watch: u64,
    }
}

#[derive(Debug, Default)]
struct Counters {
    get: AtomicU64,
    list: AtomicU64,
    put: AtomicU64,
    delete: AtomicU64,
    watch: AtomicU64,
}

/// In-process stand-in of the object service.
#[derive(Debug)]
pub struct MemoryObjectStore {
    state: Mutex<State>,
    faults: FaultSwitch,
    counters: Counters,
    rates: Option<Mutex<Rates>>,
    wakers: BTreeMap<Kind, watch::Sender<u64>>,
    history_limit: usize,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<Kind, BTreeMap<Arc<str>, Arc<StoredObject>>>,
    history: VecDeque<Record>,
    /// Version of the newest change that the history no longer holds.
    trimmed: u64,
}

/// A change, with what is needed to undo it for stale reads.
#[derive(Debug)]
struct Record {
    at: Instant,
    kind: Kind,
    name: Arc<str>,
    version: u64,
    before: Option<Arc<StoredObject>>,
    after: Option<Arc<StoredObject>>,
}

/// A change as a watch line reports it.
#[derive(Debug)]
pub(crate) struct WatchedChange {
    /// Whether the object did not exist before.
    pub(crate) is_new: bool,
    pub(crate) change: Change,
}

impl Record {
    fn watched(&self) -> WatchedChange {
        let change = match &self.after {
            Some(object) => Change::Put(StoredObject::clone(object)),
            None => Change::Deleted {
                kind: self.kind,
                name: self.name.to_string(),
                version: self.version,
            },
        };
        WatchedChange {
            is_new: self.before.is_none(),
            change,
        }
    }
}

#[derive(Debug)]
struct Rates {
    limit: RateLimit,
    reads: f64,
    writes: f64,
    refilled: Instant,
}

impl Rates {
    fn take(&mut self, is_write: bool) -> Result<(), PlatformError> {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let limit = self.limit;
        self.reads = (self.reads + elapsed * limit.reads_per_second).min(limit.reads_per_second);
        self.writes = (self.writes + elapsed * limit.writes_per_second).min(limit.writes_per_second);
        let level = if is_write { &mut self.writes } else { &mut self.reads };
        if *level < 1.0 {
            return Err(PlatformError::RateLimited);
        }
        *level -= 1.0;
        Ok(())
    }
}

impl Default for MemoryObjectStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryObjectStore {
    /// Creates an empty store without rate limit.
    pub fn new() -> Self {
        let own = [Kind::Lease, Kind::Plan, Kind::Shares, Kind::Idempotency, Kind::Job];
        let kinds = Kind::CONFIG.into_iter().chain(own);
        Self {
            state: Mutex::default(),
            faults: FaultSwitch::new(),
            counters: Counters::default(),
            rates: None,
            wakers: kinds.map(|kind| (kind, watch::Sender::new(0))).collect(),
            history_limit: HISTORY_LIMIT,
        }
    }

    /// Sets the rate limit.
    #[must_use]
    pub fn with_rate_limit(mut self, limit: RateLimit) -> Self {
        self.rates = Some(Mutex::new(Rates {
            limit,
            reads: limit.reads_per_second,
            writes: limit.writes_per_second,
            refilled: Instant::now(),
        }));
        self
    }

    /// Sets the number of changes kept for watches.
    #[must_use]
    pub fn with_history_limit(mut self, changes: usize) -> Self {
        self.history_limit = changes;
        self
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
        // Wakes waiting watches, which must notice an outage.
        self.wakers.values().for_each(|waker| waker.send_modify(|_| ()));
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Number of calls so far.
    pub fn counts(&self) -> CallCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            get: read(&self.counters.get),
            list: read(&self.counters.list),
            put: read(&self.counters.put),
            delete: read(&self.counters.delete),
            watch: read(&self.counters.watch),
        }
    }

    async fn enter(&self, counter: &AtomicU64, is_write: bool) -> Result<Faults, PlatformError> {
        counter.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults.enter().await?;
        if let Some(rates) = &self.rates {
            rates.lock().take(is_write)?;
        }
        Ok(faults)
    }

    /// Waits up to `timeout` for changes after `since`.
    pub(crate) async fn watch_changes(
        &self,
        kind: Kind,
        since: u64,
        timeout: Duration,
    ) -> Result<Vec<WatchedChange>, PlatformError> {
        let deadline = tokio::time::Instant::now() + timeout;
        self.enter(&self.counters.watch, false).await?;
        let mut waker = self.wakers[&kind].subscribe();
        loop {
            let faults = self.faults.get();
            if faults.down {
                return Err(PlatformError::Unavailable("stand-in is down".to_owned()));
            }
            if !faults.watch_stall {
                let changes = self.state.lock().changes(kind, since)?;
                if !changes.is_empty() {
                    return Ok(changes);
                }
            }
            let woken = tokio::time::timeout_at(deadline, waker.changed()).await;
            if woken.is_err() {
                return Ok(Vec::new());
            }
        }
    }

    /// Applies a change under the lock and wakes the watches of its kind.
    fn commit(&self, state: &mut State, kind: Kind, name: &str, after: Option<StoredObject>) -> u64 {
        state.version += 1;
        let version = state.version;
        let name: Arc<str> = Arc::from(name);
        let after = after.map(|object| Arc::new(StoredObject { version, ..object }));
        let objects = state.objects.entry(kind).or_default();
        let before = match &after {
            Some(object) => objects.insert(Arc::clone(&name), Arc::clone(object)),
            None => objects.remove(&name),
        };
        state.history.push_back(Record {
            at: Instant::now(),
            kind,
            name,
            version,
            before,
            after,
        });
        if state.history.len() > self.history_limit
            && let Some(record) = state.history.pop_front()
        {
            state.trimmed = record.version;
        }
        if let Some(waker) = self.wakers.get(&kind) {
            waker.send_replace(version);
        }
        version
    }
}

impl State {
    fn current(&self, kind: Kind, name: &str) -> Option<&Arc<StoredObject>> {
        self.objects.get(&kind)?.get(name)
    }

    /// Newest state of an object that is at least `age` old.
    fn aged(&self, kind: Kind, name: &str, age: Duration) -> Option<Arc<StoredObject>> {
        let undone = self
            .undone(age)
            .filter(|it| it.kind == kind && &*it.name == name)
            .last();
        match undone {
            Some(record) => record.before.clone(),
            None => self.current(kind, name).cloned(),
        }
    }

    /// Changes younger than `age`, newest first.
    fn undone(&self, age: Duration) -> impl Iterator<Item = &Record> {
        self.history.iter().rev().take_while(move |it| it.at.elapsed() < age)
    }

    fn list(&self, kind: Kind, age: Option<Duration>) -> ObjectList {
        let mut objects = self.objects.get(&kind).cloned().unwrap_or_default();
        let mut version = self.version;
        for record in age.into_iter().flat_map(|age| self.undone(age)) {
            version = record.version - 1;
            if record.kind != kind {
                continue;
            }
            match &record.before {
                Some(object) => objects.insert(Arc::clone(&record.name), Arc::clone(object)),
                None => objects.remove(&record.name),
            };
        }
        ObjectList {
            version,
            items: objects.values().map(|object| StoredObject::clone(object)).collect(),
        }
    }

    fn changes(&self, kind: Kind, since: u64) -> Result<Vec<WatchedChange>, PlatformError> {
        if since < self.trimmed || since > self.version {
            return Err(PlatformError::Expired);
        }
        let first = self.history.partition_point(|it| it.version <= since);
        let records = self.history.range(first..).filter(|it| it.kind == kind);
        Ok(records.map(Record::watched).collect())
    }
}

#[async_trait]
impl ObjectStore for MemoryObjectStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        let faults = self.enter(&self.counters.get, false).await?;
        let state = self.state.lock();
        let object = match faults.stale_reads() {
            Some(age) => state.aged(kind, name, age),
            None => state.current(kind, name).cloned(),
        };
        Ok(object.map(|it| StoredObject::clone(&it)))
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        let faults = self.enter(&self.counters.list, false).await?;
        Ok(self.state.lock().list(kind, faults.stale_reads()))
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        self.enter(&self.counters.put, true).await?;
        if spec.to_string().len() > VALUE_LIMIT_BYTES {
            return Err(PlatformError::TooLarge);
        }
        let object = StoredObject {
            kind,
            name: name.to_owned(),
            version: 0,
            operation: operation.clone(),
            spec: spec.clone(),
        };
        let version = {
            let mut state = self.state.lock();
            let current = state.current(kind, name).map(|it| it.version);
            let expected = match expect {
                Expect::Absent => None,
                Expect::Version(version) => Some(version),
            };
            if current != expected {
                return Err(PlatformError::Conflict(current));
            }
            self.commit(&mut state, kind, name, Some(object))
        };
        self.faults.answer_write().await?;
        Ok(version)
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        self.enter(&self.counters.delete, true).await?;
        let version = {
            let mut state = self.state.lock();
            let current = state.current(kind, name).map(|it| it.version);
            if current != Some(version) {
                return Err(PlatformError::Conflict(current));
            }
            self.commit(&mut state, kind, name, None)
        };
        self.faults.answer_write().await?;
        Ok(version)
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        let changes = self.watch_changes(kind, since, timeout).await?;
        Ok(changes.into_iter().map(|it| it.change).collect())
    }
}
