//! Stand-in engine: orders, loads, reports and answers.

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
use crate::replica::{Counts, Held, HeldState, Replica, ReplicaGuard};
use crate::settings::{EngineFaults, EngineSettings};
use crate::tiers::Tiers;
use crate::{Action, EngineError, EngineReplica, EngineReport, EngineRole, Order, Tier};

/// Old states kept for lagging reports.
const SNAPSHOT_LIMIT: usize = 4_096;

/// Stand-in engine.
#[derive(Debug)]
pub struct StandInEngine {
    pub(crate) settings: EngineSettings,
    weights: Option<Arc<dyn WeightStore>>,
    core: Mutex<Core>,
    /// Replicas that take requests, by name of model or adapter.
    serving: RwLock<HashMap<String, Vec<Arc<Replica>>>>,
    faults: Mutex<EngineFaults>,
    /// False while all faults are off, so that requests take no lock for them.
    has_faults: AtomicBool,
    down: watch::Sender<bool>,
    pub(crate) prefixes: PrefixCache,
    pub(crate) recorder: Recorder,
}

#[derive(Debug)]
struct Core {
    term: Term,
    role: EngineRole,
    held: BTreeMap<ReplicaId, Held>,
    used_bytes: u64,
    tiers: Tiers,
    snapshots: VecDeque<(Instant, Arc<Vec<EngineReplica>>)>,
    counts: Counts,
}

impl StandInEngine {
    /// Creates an engine that loads remote checkpoints from `weights`.
    pub fn new(settings: EngineSettings, weights: Option<Arc<dyn WeightStore>>) -> Arc<Self> {
        let event_delay = Duration::from_millis(settings.event_delay_ms);
        let core = Core {
            term: Term(0),
            role: EngineRole::Mixed,
            held: BTreeMap::new(),
            used_bytes: 0,
            tiers: Tiers::new(&settings),
            snapshots: VecDeque::from([(Instant::now(), Arc::default())]),
            counts: Counts {
                at: Instant::now(),
                requests: HashMap::new(),
            },
        };
        Arc::new(Self {
            weights,
            core: Mutex::new(core),
            serving: RwLock::default(),
            faults: Mutex::default(),
            has_faults: AtomicBool::new(false),
            down: watch::Sender::new(false),
            prefixes: PrefixCache::new(settings.prefix_blocks, event_delay, settings.event_gap_every),
            recorder: Recorder::new(settings.record),
            settings,
        })
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.has_faults
            .store(faults != EngineFaults::default(), Ordering::Release);
        self.down.send_replace(faults.down);
        *self.faults.lock() = faults;
    }

    /// Faults in force.
    pub fn faults(&self) -> EngineFaults {
        if !self.has_faults.load(Ordering::Acquire) {
            return EngineFaults::default();
        }
        self.faults.lock().clone()
    }

    /// What the engine was asked and did.
    pub fn record(&self) -> EngineRecord {
        let mut record = self.recorder.read();
        record.memory_bytes = self.core.lock().used_bytes;
        record
    }

    /// Switches the record of single requests on or off.
    pub fn set_recording(&self, enabled: bool) {
        self.recorder.set_enabled(enabled);
    }

    /// Cache events published after `since`.
    pub fn cache_events(&self, since: u64) -> CacheEvents {
        self.prefixes.events(since)
    }

    /// Takes an order.
    ///
    /// # Errors
    ///
    /// See [`Engine::order`].
    pub fn take_order(self: &Arc<Self>, order: &Order) -> Result<(), EngineError> {
        let result = self.apply(order);
        self.recorder.order(order, &result);
        result?;
        let is_lost = self.has_faults.load(Ordering::Acquire) && self.faults.lock().take_lost_order();
        if is_lost {
            return Err(EngineError::OutcomeUnknown("answer lost".to_owned()));
        }
        Ok(())
    }

    /// Report as it is now published.
    pub fn current_report(&self) -> EngineReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let mut core = self.core.lock();
        if core.counts.at.elapsed() >= lag {
            core.count_requests();
        }
        let old_enough = core.snapshots.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let (_, replicas) = old_enough.unwrap_or(&core.snapshots[0]);
        let replicas = replicas.iter().map(|it| core.counts.add_to(it)).collect();
        EngineReport {
            instance: self.settings.instance.clone(),
            term: core.term,
            leaving: self.faults().leave,
            role: core.role,
            memory_bytes: self.settings.memory_bytes,
            replicas,
            cached: core.tiers.cached(),
        }
    }

    pub(crate) fn watch_down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }

    /// Takes one of the answers that a fault cuts.
    pub(crate) fn take_death(&self) -> Option<u32> {
        if !self.has_faults.load(Ordering::Acquire) {
            return None;
        }
        self.faults.lock().take_death()
    }

    /// Names of the models and adapters that take requests.
    pub(crate) fn model_names(&self) -> Vec<String> {
        let mut names = self.serving.read().keys().cloned().collect::<Vec<_>>();
        names.sort();
        names
    }

    /// Joins the replica that serves `model`, or the one with the id in `wanted`.
    pub(crate) fn join(self: &Arc<Self>, model: &str, wanted: Option<&str>) -> Option<ReplicaGuard> {
        let replica = self.find_serving(model, wanted)?;
        replica.active.fetch_add(1, Ordering::SeqCst);
        let guard = ReplicaGuard {
            engine: Arc::clone(self),
            replica,
        };
        // An unload after this check sees the request and waits for it; dropping the guard ends that wait.
        let is_closing = guard.replica.closing.load(Ordering::SeqCst);
        (!is_closing).then_some(guard)
    }

    fn find_serving(&self, model: &str, wanted: Option<&str>) -> Option<Arc<Replica>> {
        let serving = self.serving.read();
        let replicas = serving.get(model)?;
        let found = match wanted {
            Some(id) => replicas.iter().find(|it| it.id.as_str() == id),
            None => replicas.iter().min_by_key(|it| it.active.load(Ordering::Relaxed)),
        };
        found.cloned()
    }

    /// Whether any replica serves `model`.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.serving.read().contains_key(model)
    }

    fn apply(self: &Arc<Self>, order: &Order) -> Result<(), EngineError> {
        let faults = self.faults();
        if faults.down {
            return Err(EngineError::Unreachable("stand-in is down".to_owned()));
        }
        if order.instance.as_ref().is_some_and(|it| *it != self.settings.instance) {
            return Err(EngineError::Refused("the order is for another instance".to_owned()));
        }
        let mut core = self.core.lock();
        if self.settings.checks_fence && order.term < core.term {
            return Err(EngineError::Fenced(core.term));
        }
        core.term = core.term.max(order.term);
        match &order.action {
            Action::Load { .. } => self.load(&mut core, order, &faults),
            Action::Unload => {
                self.unload(&mut core, &order.replica);
                Ok(())
            }
            Action::SetRole { role } => {
                core.role = *role;
                Ok(())
            }
            Action::Fence => Ok(()),
        }
    }

    fn load(self: &Arc<Self>, core: &mut Core, order: &Order, faults: &EngineFaults) -> Result<(), EngineError> {
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
        match core.held.get(id).map(|it| it.state) {
            None => (),
            Some(HeldState::Ended | HeldState::Draining) => {
                return Err(EngineError::Refused("the replica id has ended".to_owned()));
            }
            Some(_) => return Ok(()),
        }
        let base = adapter.as_ref().map(|_| core.ready_model(model));
        let refusal = match &base {
            Some(None) => Some("the model of the adapter is not ready"),
            _ if faults.leave => Some("the engine is leaving"),
            _ => None,
        };
        if let Some(reason) = refusal {
            self.remember_ended(core, id);
            return Err(EngineError::Refused(reason.to_owned()));
        }
        let mut held = Held {
            state: HeldState::Loading,
            model: model.clone(),
            version: *version,
            adapter: adapter.clone(),
            bytes: *bytes,
            base: base.flatten(),
            replica: None,
            load: None,
        };
        let free = self.settings.memory_bytes.saturating_sub(core.used_bytes);
        if *bytes > free {
            held.state = HeldState::Failed;
            self.recorder.edit(|it| {
                it.overcommits.push(Overcommit {
                    replica: id.clone(),
                    bytes: *bytes,
                    free,
                });
            });
        } else {
            core.used_bytes += bytes;
            let used = core.used_bytes;
            self.recorder.replica(id, held.name(), ReplicaEventKind::LoadStarted);
            self.recorder
                .edit(|it| it.peak_memory_bytes = it.peak_memory_bytes.max(used));
            let tier = core.tiers.find(model, *version).filter(|_| adapter.is_none());
            let loading = Arc::clone(self).run_load(id.clone(), held.name().to_owned(), *version, tier);
            held.load = Some(tokio::spawn(loading).abort_handle());
        }
        core.held.insert(id.clone(), held);
        self.publish(core);
        Ok(())
    }

    async fn run_load(self: Arc<Self>, id: ReplicaId, name: String, version: u64, tier: Option<Tier>) {
        let read = match (tier, &self.weights) {
            (Some(Tier::Memory), _) => Ok(()),
            (Some(Tier::Disk), _) => {
                self.pause(self.settings.disk_load_ms).await;
                Ok(())
            }
            (_, Some(weights)) => weights.fetch(&checkpoint_name(&name, version)).await.map(drop),
            (_, None) => {
                self.pause(self.settings.remote_load_ms).await;
                Ok(())
            }
        };
        // An adapter is small; its whole load time is the read.
        let is_adapter = self.core.lock().held.get(&id).is_some_and(|it| it.adapter.is_some());
        if !is_adapter {
            self.pause(self.settings.memory_load_ms).await;
        }
        if let Err(error) = &read {
            log::debug!("load of {id} failed: {error}");
        }
        let is_loaded = read.is_ok() && !self.faults().fail_loads;
        self.finish_load(&id, is_loaded);
    }

    async fn pause(&self, millis: u64) {
        let duration = self.faults().slowed(Duration::from_millis(millis));
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
    }

    fn finish_load(&self, id: &ReplicaId, is_loaded: bool) {
        let mut core = self.core.lock();
        let core = &mut *core;
        let Some(held) = core.held.get_mut(id).filter(|it| it.state == HeldState::Loading) else {
            return;
        };
        held.load = None;
        if !is_loaded {
            held.state = HeldState::Failed;
            core.used_bytes -= held.bytes;
            self.recorder.replica(id, held.name(), ReplicaEventKind::LoadFailed);
            self.publish(core);
            return;
        }
        let batch = match &held.base {
            Some(base) => Arc::clone(&base.batch),
            None => Batch::new(self.settings.slots),
        };
        let replica = Arc::new(Replica {
            id: id.clone(),
            batch,
            active: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            closing: AtomicBool::new(false),
        });
        held.state = HeldState::Ready;
        held.replica = Some(Arc::clone(&replica));
        if held.adapter.is_none() {
            core.tiers.store(&held.model, held.version, held.bytes);
        }
        self.serving
            .write()
            .entry(held.name().to_owned())
            .or_default()
            .push(replica);
        self.recorder.replica(id, held.name(), ReplicaEventKind::Loaded);
        self.publish(core);
    }

    fn unload(&self, core: &mut Core, id: &ReplicaId) {
        let Some(held) = core.held.get(id) else {
            self.remember_ended(core, id);
            return;
        };
        let adapters = match &held.replica {
            Some(replica) => core.adapters_of(replica),
            None => Vec::new(),
        };
        for adapter in adapters {
            self.close(core, &adapter);
        }
        self.close(core, id);
        self.publish(core);
    }

    /// Ends a replica, at once when it has no requests.
    fn close(&self, core: &mut Core, id: &ReplicaId) {
        let Some(held) = core.held.get_mut(id) else { return };
        match held.state {
            HeldState::Loading => {
                if let Some(load) = held.load.take() {
                    load.abort();
                }
                self.end(core, id);
            }
            HeldState::Failed => self.end(core, id),
            HeldState::Ready => {
                let Some(replica) = held.replica.clone() else { return };
                held.state = HeldState::Draining;
                self.stop_serving(held.name(), id);
                replica.closing.store(true, Ordering::SeqCst);
                if replica.active.load(Ordering::SeqCst) == 0 {
                    self.end(core, id);
                }
            }
            HeldState::Draining | HeldState::Ended => (),
        }
    }

    fn stop_serving(&self, name: &str, id: &ReplicaId) {
        let mut serving = self.serving.write();
        if let Some(replicas) = serving.get_mut(name) {
            replicas.retain(|it| it.id != *id);
            if replicas.is_empty() {
                serving.remove(name);
            }
        }
    }

    /// Frees the memory of a replica and marks its id as ended.
    fn end(&self, core: &mut Core, id: &ReplicaId) {
        let Some(held) = core.held.get_mut(id) else { return };
        if matches!(held.state, HeldState::Loading | HeldState::Draining) {
            core.used_bytes -= held.bytes;
        }
        held.state = HeldState::Ended;
        held.replica = None;
        held.base = None;
        held.bytes = 0;
        self.recorder.replica(id, held.name(), ReplicaEventKind::Unloaded);
        if self.settings.forgets_orders {
            core.held.remove(id);
        }
    }

    fn remember_ended(&self, core: &mut Core, id: &ReplicaId) {
        if !self.settings.forgets_orders {
            core.held.insert(id.clone(), Held::cancelled());
            self.publish(core);
        }
    }

    /// Ends a replica whose last request has finished.
    pub(crate) fn finish_drain(&self, id: &ReplicaId) {
        let mut core = self.core.lock();
        let is_draining = core.held.get(id).is_some_and(|it| it.state == HeldState::Draining);
        if is_draining {
            self.end(&mut core, id);
            self.publish(&mut core);
        }
    }

    /// Makes the current state visible to reports once their lag has passed.
    fn publish(&self, core: &mut Core) {
        let entries = core.held.iter().map(|(id, held)| held.report(id)).collect();
        core.snapshots.push_back((Instant::now(), Arc::new(entries)));
        if self.settings.report_lag_ms == 0 || core.snapshots.len() > SNAPSHOT_LIMIT {
            core.snapshots.pop_front();
        }
    }
}

impl Core {
    fn count_requests(&mut self) {
        let serving = self
            .held
            .iter()
            .filter_map(|(id, held)| Some((id, held.replica.as_ref()?)));
        self.counts = Counts {
            at: Instant::now(),
            requests: serving.map(|(id, replica)| (id.clone(), replica.count())).collect(),
        };
    }

    fn ready_model(&self, model: &ModelName) -> Option<Arc<Replica>> {
        let mut ready = self.held.values().filter(|it| it.state == HeldState::Ready);
        let found = ready.find(|it| it.adapter.is_none() && it.model == *model)?;
        found.replica.clone()
    }

    fn adapters_of(&self, base: &Arc<Replica>) -> Vec<ReplicaId> {
        let uses_base = |held: &Held| held.base.as_ref().is_some_and(|it| Arc::ptr_eq(it, base));
        let adapters = self.held.iter().filter(|(_, held)| uses_base(held));
        adapters.map(|(id, _)| id.clone()).collect()
    }
}
