//! In-process stand-in of the rate-limited weight store.
//!
//! Loads share the store's bandwidth: up to `at_once` model loads run at full speed, and more of them slow each other
//! down in proportion, so that the rate never exceeds `per_second`. Adapter loads share a separate bandwidth.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_core::derive_value;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::faults::{FaultInjector, Faults};
use crate::{Checkpoint, PlatformError, WeightStore};

/// Shortest wait before the progress of a load is computed again.
const MIN_WAIT: Duration = Duration::from_micros(200);

/// Name in the weight store of the checkpoint of a model or adapter: `NAME@VERSION`.
pub fn checkpoint_name(name: &str, version: u64) -> String {
    format!("{name}@{version}")
}

derive_value! {
    /// Load rates of the stand-in of the weight store.
    #[serde(default, deny_unknown_fields)]
    #[derive(Copy)]
    pub struct WeightStoreSpeed {
        /// Model loads per second that the store can complete; above 0.
        pub per_second: f64,
        /// Concurrent model loads that run at full speed; above 0.
        pub at_once: u32,
        /// Duration of an adapter load at full speed, in milliseconds.
        pub adapter_ms: u64,
        /// Concurrent adapter loads that run at full speed; above 0.
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

/// Whether a checkpoint belongs to a model or an adapter, which decides the bandwidth that its loads share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CheckpointKind {
    /// Checkpoint of a model: shares the bandwidth of model loads.
    Model,
    /// Checkpoint of an adapter: shares the bandwidth of adapter loads.
    Adapter,
}

derive_value! {
    /// Loads from the weight store since it was created.
    #[derive(Copy, Default)]
    pub struct WeightStoreCounts {
        /// Finished model loads.
        pub models: u64,
        /// Finished adapter loads.
        pub adapters: u64,
        /// Largest number of concurrent model loads.
        pub peak_models: u32,
        /// Largest number of concurrent adapter loads.
        pub peak_adapters: u32,
    }
}

/// In-process stand-in of the weight store.
#[derive(Debug)]
pub struct MemoryWeightStore {
    checkpoints: Mutex<BTreeMap<String, (CheckpointKind, u64)>>,
    /// Size in bytes of checkpoints that were not added; `None` when such checkpoints do not exist.
    default_bytes: Option<u64>,
    faults: FaultInjector,
    models: SharedBandwidth,
    adapters: SharedBandwidth,
}

impl MemoryWeightStore {
    /// Creates a store without checkpoints or faults.
    pub fn new(speed: WeightStoreSpeed) -> Self {
        let model_seconds = f64::from(speed.at_once) / speed.per_second;
        Self {
            checkpoints: Mutex::default(),
            default_bytes: None,
            faults: FaultInjector::new(),
            models: SharedBandwidth::new(model_seconds, speed.at_once),
            adapters: SharedBandwidth::new(speed.adapter_ms as f64 / 1_000.0, speed.adapters_at_once),
        }
    }

    /// Serves each name that was not added as a model checkpoint of the given size.
    #[must_use]
    pub fn with_default_bytes(mut self, bytes: u64) -> Self {
        self.default_bytes = Some(bytes);
        self
    }

    /// Adds a checkpoint of `bytes` bytes, or replaces the one of this name.
    pub fn add(&self, name: &str, kind: CheckpointKind, bytes: u64) {
        self.checkpoints.lock().insert(name.to_owned(), (kind, bytes));
    }

    /// Replaces all faults; `slowdown` also applies to the rest of loads in flight.
    pub fn set_faults(&self, faults: Faults) {
        self.models.set_slowdown(faults.slowdown);
        self.adapters.set_slowdown(faults.slowdown);
        self.faults.set(faults);
    }

    /// Current faults.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Loads since the store was created.
    pub fn counts(&self) -> WeightStoreCounts {
        let models = self.models.progress.lock();
        let adapters = self.adapters.progress.lock();
        WeightStoreCounts {
            models: models.finished,
            adapters: adapters.finished,
            peak_models: models.peak_in_flight,
            peak_adapters: adapters.peak_in_flight,
        }
    }

    fn find(&self, name: &str) -> Option<(CheckpointKind, u64)> {
        let added = self.checkpoints.lock().get(name).copied();
        added.or_else(|| self.default_bytes.map(|bytes| (CheckpointKind::Model, bytes)))
    }
}

#[async_trait]
impl WeightStore for MemoryWeightStore {
    async fn checkpoint(&self, name: &str) -> Result<Option<Checkpoint>, PlatformError> {
        self.faults.start_call().await?;
        Ok(self.find(name).map(|(_, bytes)| Checkpoint {
            name: name.to_owned(),
            bytes,
        }))
    }

    async fn fetch(&self, name: &str) -> Result<u64, PlatformError> {
        self.faults.start_call().await?;
        let (kind, bytes) = self.find(name).ok_or(PlatformError::Conflict(None))?;
        match kind {
            CheckpointKind::Model => self.models.load().await,
            CheckpointKind::Adapter => self.adapters.load().await,
        }
        Ok(bytes)
    }
}

/// Bandwidth that the loads of one checkpoint kind share.
#[derive(Debug)]
struct SharedBandwidth {
    /// Duration of a load at full speed, in seconds.
    load_seconds: f64,
    full_speed_loads: u32,
    progress: Mutex<Progress>,
    /// Wakes waiting loads when the speed may have changed; carries no value.
    speed_changed: watch::Sender<()>,
}

/// Common progress of the loads in flight: all of them run at the same speed.
#[derive(Debug)]
struct Progress {
    /// Progress of a load that has been in flight since creation: seconds at full speed, as of `updated_at`.
    full_speed_seconds: f64,
    updated_at: Instant,
    in_flight: u32,
    slowdown: f64,
    finished: u64,
    peak_in_flight: u32,
}

impl Progress {
    /// Current speed of each load; 1 is full speed.
    fn speed(&self, full_speed_loads: u32) -> f64 {
        let share = f64::from(full_speed_loads) / f64::from(self.in_flight.max(1));
        share.min(1.0) / self.slowdown.max(0.001)
    }

    fn advance(&mut self, full_speed_loads: u32) {
        let now = Instant::now();
        self.full_speed_seconds += now.duration_since(self.updated_at).as_secs_f64() * self.speed(full_speed_loads);
        self.updated_at = now;
    }
}

impl SharedBandwidth {
    fn new(load_seconds: f64, full_speed_loads: u32) -> Self {
        Self {
            load_seconds,
            full_speed_loads,
            progress: Mutex::new(Progress {
                full_speed_seconds: 0.0,
                updated_at: Instant::now(),
                in_flight: 0,
                slowdown: 1.0,
                finished: 0,
                peak_in_flight: 0,
            }),
            speed_changed: watch::Sender::new(()),
        }
    }

    fn set_slowdown(&self, slowdown: f64) {
        self.update(|progress| progress.slowdown = slowdown);
    }

    /// Brings the progress up to date, applies an update that can change the speed, and returns the progress.
    fn update(&self, apply: impl FnOnce(&mut Progress)) -> f64 {
        let full_speed_seconds = {
            let mut progress = self.progress.lock();
            progress.advance(self.full_speed_loads);
            apply(&mut progress);
            progress.full_speed_seconds
        };
        self.speed_changed.send_replace(());
        full_speed_seconds
    }

    /// Waits as long as a load takes at its share of the bandwidth.
    async fn load(&self) {
        let mut speed_changed = self.speed_changed.subscribe();
        let progress_at_start = self.update(|progress| {
            progress.in_flight += 1;
            progress.peak_in_flight = progress.peak_in_flight.max(progress.in_flight);
        });
        let _in_flight = InFlight(self);
        let progress_at_finish = progress_at_start + self.load_seconds;
        loop {
            speed_changed.mark_unchanged();
            let seconds_left = {
                let mut progress = self.progress.lock();
                progress.advance(self.full_speed_loads);
                (progress_at_finish - progress.full_speed_seconds) / progress.speed(self.full_speed_loads)
            };
            if seconds_left <= 0.0 {
                break;
            }
            let wait = Duration::from_secs_f64(seconds_left).max(MIN_WAIT);
            // A change of speed ends the wait early; in both cases the remaining time is computed again.
            let _ = tokio::time::timeout(wait, speed_changed.changed()).await;
        }
        self.progress.lock().finished += 1;
    }
}

/// Counts a load as in flight until dropped, also when its call is cancelled.
struct InFlight<'a>(&'a SharedBandwidth);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.update(|progress| progress.in_flight -= 1);
    }
}
