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

use crate::faults::{FaultInjector, Faults};
use crate::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject};

/// Largest value of an object that the stand-in accepts, in bytes of JSON.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;
/// Default number of changes kept for watches and stale reads.
const HISTORY_LIMIT: usize = 16_384;

/// Rate of calls that the stand-in accepts, with bursts of up to the calls of one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Reads, lists and watches per second.
    pub reads_per_second: f64,
    /// Writes and deletions per second.
    pub writes_per_second: f64,
}

derive_value! {
    /// Number of calls by type since the stand-in was created, failed calls included.
    #[derive(Copy, Default)]
    pub struct CallCounts {
        /// Reads of one object.
        pub get: u64,
        /// Lists of all objects of a kind.
        pub list: u64,
        /// Writes, both creations and replacements.
        pub put: u64,
        /// Deletions of one object.
        pub delete: u64,
        /// Watches, counted when they start.
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
    faults: FaultInjector,
    counters: Counters,
    rate_limiter: Option<Mutex<RateLimiter>>,
    /// Version of the last change by kind; a new value wakes the watches of the kind.
    change_signals: BTreeMap<Kind, watch::Sender<u64>>,
    history_limit: usize,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<Kind, BTreeMap<Arc<str>, Arc<StoredObject>>>,
    history: VecDeque<HistoryEntry>,
    /// Version of the newest change that was dropped from the history.
    trimmed_version: u64,
}

/// A change, with the object before it, from which stale reads reconstruct an earlier state.
#[derive(Debug)]
struct HistoryEntry {
    changed_at: Instant,
    kind: Kind,
    name: Arc<str>,
    version: u64,
    before: Option<Arc<StoredObject>>,
    after: Option<Arc<StoredObject>>,
}

/// A change as a watch event reports it.
#[derive(Debug)]
pub(crate) struct WatchedChange {
    /// Whether the change created the object.
    pub(crate) is_new: bool,
    pub(crate) change: Change,
}

impl HistoryEntry {
    fn to_watched_change(&self) -> WatchedChange {
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
struct RateLimiter {
    limit: RateLimit,
    read_permits: f64,
    write_permits: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    fn acquire(&mut self, is_write: bool) -> Result<(), PlatformError> {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let limit = self.limit;
        self.read_permits = (self.read_permits + elapsed * limit.reads_per_second).min(limit.reads_per_second);
        self.write_permits = (self.write_permits + elapsed * limit.writes_per_second).min(limit.writes_per_second);
        let permits = if is_write {
            &mut self.write_permits
        } else {
            &mut self.read_permits
        };
        if *permits < 1.0 {
            return Err(PlatformError::RateLimited);
        }
        *permits -= 1.0;
        Ok(())
    }
}

impl Default for MemoryObjectStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryObjectStore {
    /// Creates an empty store without rate limit or faults.
    pub fn new() -> Self {
        let internal = [Kind::Lease, Kind::Plan, Kind::Shares, Kind::Idempotency, Kind::Job];
        let kinds = Kind::CONFIG.into_iter().chain(internal);
        Self {
            state: Mutex::default(),
            faults: FaultInjector::new(),
            counters: Counters::default(),
            rate_limiter: None,
            change_signals: kinds.map(|kind| (kind, watch::Sender::new(0))).collect(),
            history_limit: HISTORY_LIMIT,
        }
    }

    /// Limits the rate of calls; calls above the limit fail as rate limited.
    #[must_use]
    pub fn with_rate_limit(mut self, limit: RateLimit) -> Self {
        self.rate_limiter = Some(Mutex::new(RateLimiter {
            limit,
            read_permits: limit.reads_per_second,
            write_permits: limit.writes_per_second,
            refilled_at: Instant::now(),
        }));
        self
    }

    /// Sets the number of changes kept for watches and stale reads.
    #[must_use]
    pub fn with_history_limit(mut self, changes: usize) -> Self {
        self.history_limit = changes;
        self
    }

    /// Replaces all faults; waiting watches apply them at once.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
        // Wakes waiting watches so that they fail during an outage.
        self.change_signals
            .values()
            .for_each(|signal| signal.send_modify(|_| ()));
    }

    /// Current faults, with `lose_next_writes` counted down.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Calls since the store was created, failed calls included.
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

    async fn start_call(&self, counter: &AtomicU64, is_write: bool) -> Result<Faults, PlatformError> {
        counter.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults.start_call().await?;
        if let Some(rate_limiter) = &self.rate_limiter {
            rate_limiter.lock().acquire(is_write)?;
        }
        Ok(faults)
    }

    /// Waits up to `timeout` for changes after version `since`; an empty result means that there were none.
    pub(crate) async fn watch_changes(
        &self,
        kind: Kind,
        since: u64,
        timeout: Duration,
    ) -> Result<Vec<WatchedChange>, PlatformError> {
        let deadline = tokio::time::Instant::now() + timeout;
        self.start_call(&self.counters.watch, false).await?;
        let mut change_signal = self.change_signals[&kind].subscribe();
        loop {
            let faults = self.faults.get();
            if faults.down {
                return Err(PlatformError::Unavailable("stand-in is down".to_owned()));
            }
            if !faults.watch_stall {
                let changes = self.state.lock().changes_since(kind, since)?;
                if !changes.is_empty() {
                    return Ok(changes);
                }
            }
            let signalled = tokio::time::timeout_at(deadline, change_signal.changed()).await;
            if signalled.is_err() {
                return Ok(Vec::new());
            }
        }
    }

    /// Applies a change to the locked state, wakes the watches of its kind and returns the version of the change.
    ///
    /// `after` is the new object, whose version is replaced; `None` deletes the object.
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
        state.history.push_back(HistoryEntry {
            changed_at: Instant::now(),
            kind,
            name,
            version,
            before,
            after,
        });
        if state.history.len() > self.history_limit
            && let Some(entry) = state.history.pop_front()
        {
            state.trimmed_version = entry.version;
        }
        if let Some(change_signal) = self.change_signals.get(&kind) {
            change_signal.send_replace(version);
        }
        version
    }
}

impl State {
    fn current(&self, kind: Kind, name: &str) -> Option<&Arc<StoredObject>> {
        self.objects.get(&kind)?.get(name)
    }

    /// The object as it was `age` ago, as far as the history reaches back.
    fn get_as_of(&self, kind: Kind, name: &str, age: Duration) -> Option<Arc<StoredObject>> {
        let first_change = self
            .changes_within(age)
            .filter(|it| it.kind == kind && &*it.name == name)
            .last();
        match first_change {
            Some(entry) => entry.before.clone(),
            None => self.current(kind, name).cloned(),
        }
    }

    /// Changes of the last `age`, newest first.
    fn changes_within(&self, age: Duration) -> impl Iterator<Item = &HistoryEntry> {
        self.history
            .iter()
            .rev()
            .take_while(move |it| it.changed_at.elapsed() < age)
    }

    fn list(&self, kind: Kind, age: Option<Duration>) -> ObjectList {
        let mut objects = self.objects.get(&kind).cloned().unwrap_or_default();
        let mut version = self.version;
        for entry in age.into_iter().flat_map(|age| self.changes_within(age)) {
            version = entry.version - 1;
            if entry.kind != kind {
                continue;
            }
            match &entry.before {
                Some(object) => objects.insert(Arc::clone(&entry.name), Arc::clone(object)),
                None => objects.remove(&entry.name),
            };
        }
        ObjectList {
            version,
            items: objects.values().map(|object| StoredObject::clone(object)).collect(),
        }
    }

    fn changes_since(&self, kind: Kind, since: u64) -> Result<Vec<WatchedChange>, PlatformError> {
        if since < self.trimmed_version || since > self.version {
            return Err(PlatformError::Expired);
        }
        let first = self.history.partition_point(|it| it.version <= since);
        let entries = self.history.range(first..).filter(|it| it.kind == kind);
        Ok(entries.map(HistoryEntry::to_watched_change).collect())
    }
}

#[async_trait]
impl ObjectStore for MemoryObjectStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        let faults = self.start_call(&self.counters.get, false).await?;
        let state = self.state.lock();
        let object = match faults.stale_read_age() {
            Some(age) => state.get_as_of(kind, name, age),
            None => state.current(kind, name).cloned(),
        };
        Ok(object.map(|it| StoredObject::clone(&it)))
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        let faults = self.start_call(&self.counters.list, false).await?;
        Ok(self.state.lock().list(kind, faults.stale_read_age()))
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        self.start_call(&self.counters.put, true).await?;
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
        self.faults.finish_write().await?;
        Ok(version)
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        self.start_call(&self.counters.delete, true).await?;
        let version = {
            let mut state = self.state.lock();
            let current = state.current(kind, name).map(|it| it.version);
            if current != Some(version) {
                return Err(PlatformError::Conflict(current));
            }
            self.commit(&mut state, kind, name, None)
        };
        self.faults.finish_write().await?;
        Ok(version)
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        let changes = self.watch_changes(kind, since, timeout).await?;
        Ok(changes.into_iter().map(|it| it.change).collect())
    }
}
