//! In-process stand-in of the rate-limited weight store.
//!
//! Loads share the store's bandwidth: up to `at_once` loads run at full speed, and more of them slow each other down
//! in proportion, so that the rate never exceeds `per_second`. Adapters have bandwidth of their own.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_core::derive_value;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::faults::{FaultSwitch, Faults};
use crate::{Checkpoint, PlatformError, WeightStore};

/// Shortest wait before the progress of a load is looked at again.
const MIN_WAIT: Duration = Duration::from_micros(200);

/// Name of a checkpoint of a model or adapter in the weight store.
pub fn checkpoint_name(name: &str, version: u64) -> String {
    format!("{name}@{version}")
}

derive_value! {
    /// Speed of the weight store.
    #[serde(default, deny_unknown_fields)]
    #[derive(Copy)]
    pub struct WeightStoreSpeed {
        /// Model loads a second.
        pub per_second: f64,
        /// Model loads at once at full speed.
        pub at_once: u32,
        /// Duration of an adapter load at full speed, in milliseconds.
        pub adapter_ms: u64,
        /// Adapter loads at once at full speed.
        pub adapters_at_once: u32,
    }
}

impl Default for WeightStoreSpeed {
    fn default() -> Self {
        Self {
            per_second: 2.5,
            at_once: 4,
            adapter_ms: 8,
            adapters_at_once: 32,
        }
    }
}

/// What a checkpoint belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CheckpointKind {
    /// Model.
    Model,
    /// Adapter.
    Adapter,
}

derive_value! {
    /// Loads seen by the weight store.
    #[derive(Copy, Default)]
    pub struct WeightStoreRecord {
        /// Model loads finished.
        pub models: u64,
        /// Adapter loads finished.
        pub adapters: u64,
        /// Most model loads in flight.
        pub peak_models: u32,
        /// Most adapter loads in flight.
        pub peak_adapters: u32,
    }
}

/// In-process stand-in of the weight store.
#[derive(Debug)]
pub struct MemoryWeightStore {
    checkpoints: Mutex<BTreeMap<String, (CheckpointKind, u64)>>,
    /// Size of checkpoints that were not added, when any name is accepted.
    default_bytes: Option<u64>,
    faults: FaultSwitch,
    models: Lane,
    adapters: Lane,
}

impl MemoryWeightStore {
    /// Creates an empty store.
    pub fn new(speed: WeightStoreSpeed) -> Self {
        let model_seconds = f64::from(speed.at_once) / speed.per_second;
        Self {
            checkpoints: Mutex::default(),
            default_bytes: None,
            faults: FaultSwitch::new(),
            models: Lane::new(model_seconds, speed.at_once),
            adapters: Lane::new(speed.adapter_ms as f64 / 1_000.0, speed.adapters_at_once),
        }
    }

    /// Serves names that were not added as models of the given size.
    #[must_use]
    pub fn with_default_bytes(mut self, bytes: u64) -> Self {
        self.default_bytes = Some(bytes);
        self
    }

    /// Adds a checkpoint.
    pub fn add(&self, name: &str, kind: CheckpointKind, bytes: u64) {
        self.checkpoints.lock().insert(name.to_owned(), (kind, bytes));
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.models.set_slowdown(faults.slowdown);
        self.adapters.set_slowdown(faults.slowdown);
        self.faults.set(faults);
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Loads seen so far.
    pub fn record(&self) -> WeightStoreRecord {
        let models = self.models.progress.lock();
        let adapters = self.adapters.progress.lock();
        WeightStoreRecord {
            models: models.finished,
            adapters: adapters.finished,
            peak_models: models.peak,
            peak_adapters: adapters.peak,
        }
    }

    fn find(&self, name: &str) -> Option<(CheckpointKind, u64)> {
        let known = self.checkpoints.lock().get(name).copied();
        known.or_else(|| self.default_bytes.map(|bytes| (CheckpointKind::Model, bytes)))
    }
}

#[async_trait]
impl WeightStore for MemoryWeightStore {
    async fn checkpoint(&self, name: &str) -> Result<Option<Checkpoint>, PlatformError> {
        self.faults.enter().await?;
        Ok(self.find(name).map(|(_, bytes)| Checkpoint {
            name: name.to_owned(),
            bytes,
        }))
    }

    async fn fetch(&self, name: &str) -> Result<u64, PlatformError> {
        self.faults.enter().await?;
        let (kind, bytes) = self.find(name).ok_or(PlatformError::Conflict(None))?;
        match kind {
            CheckpointKind::Model => self.models.run().await,
            CheckpointKind::Adapter => self.adapters.run().await,
        }
        Ok(bytes)
    }
}

/// Loads that share bandwidth.
#[derive(Debug)]
struct Lane {
    /// Duration of a load at full speed, in seconds.
    seconds: f64,
    at_once: u32,
    progress: Mutex<Progress>,
    /// Changes whenever the speed changes.
    speed_changed: watch::Sender<()>,
}

/// Progress of the loads in flight, measured in seconds at full speed.
#[derive(Debug)]
struct Progress {
    done: f64,
    updated: Instant,
    in_flight: u32,
    slowdown: f64,
    finished: u64,
    peak: u32,
}

impl Progress {
    fn speed(&self, at_once: u32) -> f64 {
        let share = f64::from(at_once) / f64::from(self.in_flight.max(1));
        share.min(1.0) / self.slowdown.max(0.001)
    }

    fn advance(&mut self, at_once: u32) {
        let now = Instant::now();
        self.done += now.duration_since(self.updated).as_secs_f64() * self.speed(at_once);
        self.updated = now;
    }
}

impl Lane {
    fn new(seconds: f64, at_once: u32) -> Self {
        Self {
            seconds,
            at_once,
            progress: Mutex::new(Progress {
                done: 0.0,
                updated: Instant::now(),
                in_flight: 0,
                slowdown: 1.0,
                finished: 0,
                peak: 0,
            }),
            speed_changed: watch::Sender::new(()),
        }
    }

    fn set_slowdown(&self, slowdown: f64) {
        self.change(|progress| progress.slowdown = slowdown);
    }

    fn change(&self, edit: impl FnOnce(&mut Progress)) -> f64 {
        let done = {
            let mut progress = self.progress.lock();
            progress.advance(self.at_once);
            edit(&mut progress);
            progress.done
        };
        self.speed_changed.send_replace(());
        done
    }

    async fn run(&self) {
        let mut speed_changed = self.speed_changed.subscribe();
        let started = self.change(|progress| {
            progress.in_flight += 1;
            progress.peak = progress.peak.max(progress.in_flight);
        });
        let _in_flight = InFlight(self);
        let finish = started + self.seconds;
        loop {
            speed_changed.mark_unchanged();
            let left = {
                let mut progress = self.progress.lock();
                progress.advance(self.at_once);
                (finish - progress.done) / progress.speed(self.at_once)
            };
            if left <= 0.0 {
                break;
            }
            let wait = Duration::from_secs_f64(left).max(MIN_WAIT);
            // A change of speed ends the wait early; either way the time left is computed again.
            let _ = tokio::time::timeout(wait, speed_changed.changed()).await;
        }
        self.progress.lock().finished += 1;
    }
}

/// Ends a load's share of the bandwidth, also when its call is cancelled.
struct InFlight<'a>(&'a Lane);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.change(|progress| progress.in_flight -= 1);
    }
}
