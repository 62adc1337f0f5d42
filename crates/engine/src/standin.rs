//! Stand-in engine: executes orders, simulates loads and publishes reports.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use guava_core::ids::{ModelName, ReplicaId, Term};
use guava_objects::{WeightStore, checkpoint_name};
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;

use crate::batch::Batch;
use crate::prefix::{CacheEvents, PrefixCache};
use crate::record::{EngineRecord, Overcommit, Recorder, ReplicaEventKind};
use crate::replica::{ReplicaEntry, ReplicaGuard, ReplicaState, RequestCounts, ServingReplica};
use crate::settings::{EngineFaults, EngineSettings};
use crate::tiers::Tiers;
use crate::{Action, EngineError, EngineReplica, EngineReport, EngineRole, Order, Tier};

/// Maximum number of past replica lists kept for delayed reports.
const MAX_SNAPSHOTS: usize = 4_096;

/// Stand-in for the model engine of a backend server. It simulates loads and answers without any model.
#[derive(Debug)]
pub struct StandInEngine {
    pub(crate) settings: EngineSettings,
    weights: Option<Arc<dyn WeightStore>>,
    state: Mutex<State>,
    /// Replicas that accept requests, by name of the model or adapter.
    serving: RwLock<HashMap<String, Vec<Arc<ServingReplica>>>>,
    faults: Mutex<EngineFaults>,
    /// Whether any fault is in force; while it is false, requests need not lock `faults`.
    has_faults: AtomicBool,
    down: watch::Sender<bool>,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) recorder: Recorder,
}

#[derive(Debug)]
struct State {
    /// Highest term of the accepted orders.
    term: Term,
    role: EngineRole,
    /// Every replica id that the engine remembers.
    entries: BTreeMap<ReplicaId, ReplicaEntry>,
    /// Memory reserved by loading, ready and draining replicas.
    used_bytes: u64,
    tiers: Tiers,
    /// Replica lists with the times at which they became current, oldest first. Never empty.
    snapshots: VecDeque<(Instant, Arc<Vec<EngineReplica>>)>,
    counts: RequestCounts,
}

impl StandInEngine {
    /// Creates an engine that fetches checkpoints it has not cached from `weights`. Without a weight store, fetching
    /// takes `remote_load_ms`.
    pub fn new(settings: EngineSettings, weights: Option<Arc<dyn WeightStore>>) -> Arc<Self> {
        let event_delay = Duration::from_millis(settings.event_delay_ms);
        let state = State {
            term: Term(0),
            role: EngineRole::Mixed,
            entries: BTreeMap::new(),
            used_bytes: 0,
            tiers: Tiers::new(&settings),
            snapshots: VecDeque::from([(Instant::now(), Arc::default())]),
            counts: RequestCounts {
                counted_at: Instant::now(),
                requests: HashMap::new(),
            },
        };
        Arc::new(Self {
            weights,
            state: Mutex::new(state),
            serving: RwLock::default(),
            faults: Mutex::default(),
            has_faults: AtomicBool::new(false),
            down: watch::Sender::new(false),
            prefix_cache: PrefixCache::new(settings.prefix_blocks, event_delay, settings.event_gap_every),
            recorder: Recorder::new(settings.record),
            settings,
        })
    }

    /// Replaces all faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.has_faults
            .store(faults != EngineFaults::default(), Ordering::Release);
        self.down.send_replace(faults.down);
        *self.faults.lock() = faults;
    }

    /// Returns the faults in force; the defaults if there are none.
    pub fn faults(&self) -> EngineFaults {
        if !self.has_faults.load(Ordering::Acquire) {
            return EngineFaults::default();
        }
        self.faults.lock().clone()
    }

    /// Returns what the engine has received and done since it started.
    pub fn record(&self) -> EngineRecord {
        let mut record = self.recorder.snapshot();
        record.memory_bytes = self.state.lock().used_bytes;
        record
    }

    /// Enables or disables the recording of each request. Totals are counted in either case.
    pub fn set_recording(&self, enabled: bool) {
        self.recorder.set_enabled(enabled);
    }

    /// Returns the published cache events with a number above `since`.
    pub fn cache_events(&self, since: u64) -> CacheEvents {
        self.prefix_cache.events(since)
    }

    /// Executes an order as [`Engine::order`](crate::Engine::order) describes. Must be called within a Tokio
    /// runtime, because loads continue in a task.
    ///
    /// # Errors
    ///
    /// Fails if the engine is down or refuses the order, or if a fault loses the answer after the order took effect.
    pub fn take_order(self: &Arc<Self>, order: &Order) -> Result<(), EngineError> {
        let result = self.apply_order(order);
        self.recorder.record_order(order, &result);
        result?;
        let is_lost = self.has_faults.load(Ordering::Acquire) && self.faults.lock().consume_lost_order();
        if is_lost {
            return Err(EngineError::OutcomeUnknown("answer lost".to_owned()));
        }
        Ok(())
    }

    /// Returns the report that is currently published: replicas and request counts are about `report_lag_ms`
    /// old, everything else is current.
    pub fn current_report(&self) -> EngineReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let mut state = self.state.lock();
        if state.counts.counted_at.elapsed() >= lag {
            state.count_requests();
        }
        let visible = state.snapshots.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let (_, replicas) = visible.unwrap_or(&state.snapshots[0]);
        let replicas = replicas.iter().map(|it| state.counts.with_counts(it)).collect();
        EngineReport {
            instance: self.settings.instance.clone(),
            term: state.term,
            leaving: self.faults().leave,
            role: state.role,
            memory_bytes: self.settings.memory_bytes,
            replicas,
            cached: state.tiers.cached(),
        }
    }

    pub(crate) fn watch_down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }

    /// See [`EngineFaults::consume_truncation`].
    pub(crate) fn consume_truncation(&self) -> Option<u32> {
        if !self.has_faults.load(Ordering::Acquire) {
            return None;
        }
        self.faults.lock().consume_truncation()
    }

    /// Names of the models and adapters that accept requests, sorted.
    pub(crate) fn model_names(&self) -> Vec<String> {
        let mut names = self.serving.read().keys().cloned().collect::<Vec<_>>();
        names.sort();
        names
    }

    /// Counts a request as active at a replica that serves `model`: the one with `replica_id` if given, otherwise the
    /// one with the fewest active requests. Returns `None` if there is none or it is draining.
    pub(crate) fn acquire_replica(self: &Arc<Self>, model: &str, replica_id: Option<&str>) -> Option<ReplicaGuard> {
        let replica = self.find_serving_replica(model, replica_id)?;
        replica.active.fetch_add(1, Ordering::SeqCst);
        let guard = ReplicaGuard {
            engine: Arc::clone(self),
            replica,
        };
        // `active` is raised before `draining` is read, and an unload sets `draining` before it reads `active`. So an
        // unload that this check misses sees the request and waits until its guard is dropped.
        let is_draining = guard.replica.draining.load(Ordering::SeqCst);
        (!is_draining).then_some(guard)
    }

    fn find_serving_replica(&self, model: &str, replica_id: Option<&str>) -> Option<Arc<ServingReplica>> {
        let serving = self.serving.read();
        let replicas = serving.get(model)?;
        let found = match replica_id {
            Some(id) => replicas.iter().find(|it| it.id.as_str() == id),
            None => replicas.iter().min_by_key(|it| it.active.load(Ordering::Relaxed)),
        };
        found.cloned()
    }

    /// Whether any replica accepts requests for `model`.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.serving.read().contains_key(model)
    }

    fn apply_order(self: &Arc<Self>, order: &Order) -> Result<(), EngineError> {
        let faults = self.faults();
        if faults.down {
            return Err(EngineError::Unreachable("stand-in is down".to_owned()));
        }
        if order.instance.as_ref().is_some_and(|it| *it != self.settings.instance) {
            return Err(EngineError::Refused("the order is for another instance".to_owned()));
        }
        let mut state = self.state.lock();
        if self.settings.checks_fence && order.term < state.term {
            return Err(EngineError::Fenced(state.term));
        }
        state.term = state.term.max(order.term);
        match &order.action {
            Action::Load { .. } => self.start_load(&mut state, order, &faults),
            Action::Unload => {
                self.unload_with_adapters(&mut state, &order.replica);
                Ok(())
            }
            Action::SetRole { role } => {
                state.role = *role;
                Ok(())
            }
            Action::Fence => Ok(()),
        }
    }

    fn start_load(
        self: &Arc<Self>,
        state: &mut State,
        order: &Order,
        faults: &EngineFaults,
    ) -> Result<(), EngineError> {
        let Action::Load {
            model,
            version,
            adapter,
            bytes,
        } = &order.action
        else {
            return Ok(());
        };
        let id = &order.replica;
        match state.entries.get(id).map(|it| it.state) {
            None => (),
            Some(ReplicaState::Ended | ReplicaState::Draining) => {
                return Err(EngineError::Refused("the replica id has ended".to_owned()));
            }
            Some(_) => return Ok(()),
        }
        let base = adapter.as_ref().map(|_| state.ready_model_replica(model));
        let refusal = match &base {
            Some(None) => Some("the model of the adapter is not ready"),
            _ if faults.leave => Some("the engine is leaving"),
            _ => None,
        };
        if let Some(reason) = refusal {
            self.record_cancelled(state, id);
            return Err(EngineError::Refused(reason.to_owned()));
        }
        let mut entry = ReplicaEntry {
            state: ReplicaState::Loading,
            model: model.clone(),
            version: *version,
            adapter: adapter.clone(),
            bytes: *bytes,
            base: base.flatten(),
            serving: None,
            load_task: None,
        };
        let free = self.settings.memory_bytes.saturating_sub(state.used_bytes);
        if *bytes > free {
            entry.state = ReplicaState::Failed;
            self.recorder.update(|it| {
                it.overcommits.push(Overcommit {
                    replica: id.clone(),
                    bytes: *bytes,
                    free,
                });
            });
        } else {
            state.used_bytes += bytes;
            let used = state.used_bytes;
            self.recorder
                .record_replica_event(id, entry.served_name(), ReplicaEventKind::LoadStarted);
            self.recorder
                .update(|it| it.peak_memory_bytes = it.peak_memory_bytes.max(used));
            let tier = state.tiers.find(model, *version).filter(|_| adapter.is_none());
            let load = Arc::clone(self).run_load(id.clone(), entry.served_name().to_owned(), *version, tier);
            entry.load_task = Some(tokio::spawn(load).abort_handle());
        }
        state.entries.insert(id.clone(), entry);
        self.publish_snapshot(state);
        Ok(())
    }

    /// Simulates a load and completes it. `tier` holds the checkpoint; `None` fetches it from the weight store.
    async fn run_load(self: Arc<Self>, id: ReplicaId, name: String, version: u64, tier: Option<Tier>) {
        let fetched = match (tier, &self.weights) {
            (Some(Tier::Memory), _) => Ok(()),
            (Some(Tier::Disk), _) => {
                self.sleep_with_slowdown(self.settings.disk_load_ms).await;
                Ok(())
            }
            (_, Some(weights)) => weights.fetch(&checkpoint_name(&name, version)).await.map(drop),
            (_, None) => {
                self.sleep_with_slowdown(self.settings.remote_load_ms).await;
                Ok(())
            }
        };
        // Adapters are small: only fetching them takes time.
        let is_adapter = self
            .state
            .lock()
            .entries
            .get(&id)
            .is_some_and(|it| it.adapter.is_some());
        if !is_adapter {
            self.sleep_with_slowdown(self.settings.memory_load_ms).await;
        }
        if let Err(error) = &fetched {
            log::debug!("cannot fetch the checkpoint of replica {id}: {error}");
        }
        let is_loaded = fetched.is_ok() && !self.faults().fail_loads;
        self.finish_load(&id, is_loaded);
    }

    async fn sleep_with_slowdown(&self, millis: u64) {
        let duration = self.faults().apply_slowdown(Duration::from_millis(millis));
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
    }

    /// Marks a replica as ready or failed, unless its load was cancelled in the meantime.
    fn finish_load(&self, id: &ReplicaId, is_loaded: bool) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(entry) = state.entries.get_mut(id).filter(|it| it.state == ReplicaState::Loading) else {
            return;
        };
        entry.load_task = None;
        if !is_loaded {
            entry.state = ReplicaState::Failed;
            state.used_bytes -= entry.bytes;
            self.recorder
                .record_replica_event(id, entry.served_name(), ReplicaEventKind::LoadFailed);
            self.publish_snapshot(state);
            return;
        }
        let batch = match &entry.base {
            Some(base) => Arc::clone(&base.batch),
            None => Batch::new(self.settings.slots),
        };
        let replica = Arc::new(ServingReplica {
            id: id.clone(),
            batch,
            active: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        });
        entry.state = ReplicaState::Ready;
        entry.serving = Some(Arc::clone(&replica));
        if entry.adapter.is_none() {
            state.tiers.store(&entry.model, entry.version, entry.bytes);
        }
        self.serving
            .write()
            .entry(entry.served_name().to_owned())
            .or_default()
            .push(replica);
        self.recorder
            .record_replica_event(id, entry.served_name(), ReplicaEventKind::Loaded);
        self.publish_snapshot(state);
    }

    /// Unloads a replica and the adapters on it. An unknown id is recorded so that it is never loaded.
    fn unload_with_adapters(&self, state: &mut State, id: &ReplicaId) {
        let Some(entry) = state.entries.get(id) else {
            self.record_cancelled(state, id);
            return;
        };
        let adapters = match &entry.serving {
            Some(replica) => state.adapters_on(replica),
            None => Vec::new(),
        };
        for adapter in adapters {
            self.unload_replica(state, &adapter);
        }
        self.unload_replica(state, id);
        self.publish_snapshot(state);
    }

    /// Cancels a load, ends a failed or idle replica at once, and drains one that has active requests.
    fn unload_replica(&self, state: &mut State, id: &ReplicaId) {
        let Some(entry) = state.entries.get_mut(id) else { return };
        match entry.state {
            ReplicaState::Loading => {
                if let Some(task) = entry.load_task.take() {
                    task.abort();
                }
                self.end_replica(state, id);
            }
            ReplicaState::Failed => self.end_replica(state, id),
            ReplicaState::Ready => {
                let Some(replica) = entry.serving.clone() else { return };
                entry.state = ReplicaState::Draining;
                self.remove_serving(entry.served_name(), id);
                replica.draining.store(true, Ordering::SeqCst);
                if replica.active.load(Ordering::SeqCst) == 0 {
                    self.end_replica(state, id);
                }
            }
            ReplicaState::Draining | ReplicaState::Ended => (),
        }
    }

    fn remove_serving(&self, name: &str, id: &ReplicaId) {
        let mut serving = self.serving.write();
        if let Some(replicas) = serving.get_mut(name) {
            replicas.retain(|it| it.id != *id);
            if replicas.is_empty() {
                serving.remove(name);
            }
        }
    }

    /// Frees the memory of a replica. Its id is marked as ended, or forgotten if `forgets_orders` is set.
    fn end_replica(&self, state: &mut State, id: &ReplicaId) {
        let Some(entry) = state.entries.get_mut(id) else { return };
        if matches!(entry.state, ReplicaState::Loading | ReplicaState::Draining) {
            state.used_bytes -= entry.bytes;
        }
        entry.state = ReplicaState::Ended;
        entry.serving = None;
        entry.base = None;
        entry.bytes = 0;
        self.recorder
            .record_replica_event(id, entry.served_name(), ReplicaEventKind::Unloaded);
        if self.settings.forgets_orders {
            state.entries.remove(id);
        }
    }

    /// Records a replica id as ended although it was never loaded, so that a late load order is refused.
    fn record_cancelled(&self, state: &mut State, id: &ReplicaId) {
        if !self.settings.forgets_orders {
            state.entries.insert(id.clone(), ReplicaEntry::cancelled());
            self.publish_snapshot(state);
        }
    }

    /// Ends a draining replica after its last request has finished.
    pub(crate) fn finish_drain(&self, id: &ReplicaId) {
        let mut state = self.state.lock();
        let is_draining = state
            .entries
            .get(id)
            .is_some_and(|it| it.state == ReplicaState::Draining);
        if is_draining {
            self.end_replica(&mut state, id);
            self.publish_snapshot(&mut state);
        }
    }

    /// Adds the current replicas as a snapshot, which reports show once `report_lag_ms` has passed.
    fn publish_snapshot(&self, state: &mut State) {
        let replicas = state.entries.iter().map(|(id, entry)| entry.to_report(id)).collect();
        state.snapshots.push_back((Instant::now(), Arc::new(replicas)));
        if self.settings.report_lag_ms == 0 || state.snapshots.len() > MAX_SNAPSHOTS {
            state.snapshots.pop_front();
        }
    }
}

impl State {
    fn count_requests(&mut self) {
        let serving = self
            .entries
            .iter()
            .filter_map(|(id, entry)| Some((id, entry.serving.as_ref()?)));
        self.counts = RequestCounts {
            counted_at: Instant::now(),
            requests: serving
                .map(|(id, replica)| (id.clone(), replica.request_count()))
                .collect(),
        };
    }

    /// Finds a ready replica of the model itself, on which an adapter can be loaded.
    fn ready_model_replica(&self, model: &ModelName) -> Option<Arc<ServingReplica>> {
        let mut ready = self.entries.values().filter(|it| it.state == ReplicaState::Ready);
        let found = ready.find(|it| it.adapter.is_none() && it.model == *model)?;
        found.serving.clone()
    }

    fn adapters_on(&self, base: &Arc<ServingReplica>) -> Vec<ReplicaId> {
        let is_on_base = |entry: &ReplicaEntry| entry.base.as_ref().is_some_and(|it| Arc::ptr_eq(it, base));
        let adapters = self.entries.iter().filter(|(_, entry)| is_on_base(entry));
        adapters.map(|(id, _)| id.clone()).collect()
    }
}
