//! Simulated loads of models and adapters, from the weight store or from a backend server's own memory or disk.

use guava_core::ids::{ReplicaId, ServerName};
use guava_core::permits::PermitKind;
use guava_core::plan::CacheTier;
use guava_core::snapshot::Snapshot;

/// Time to load a model of mean size from a backend server's disk, in milliseconds.
const DISK_LOAD_MS: f64 = 400.0;
/// Time to load a model of mean size from a backend server's memory, in milliseconds.
const MEMORY_LOAD_MS: f64 = 50.0;
/// Time to load the smallest adapter, in milliseconds.
const MIN_ADAPTER_LOAD_MS: f64 = 3.0;
/// Size of the largest adapters in bytes; larger ones take no longer to load.
const MAX_ADAPTER_BYTES: f64 = 268_435_456.0;

/// Bandwidth limit that applies to a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadClass {
    /// Model from the weight store.
    RemoteModel,
    /// Adapter, always from the weight store.
    Adapter,
    /// Model from memory or disk of the backend server, not limited by the weight store.
    Local,
}

#[derive(Debug, Clone)]
struct Load {
    server: ServerName,
    replica: ReplicaId,
    class: LoadClass,
    remaining_ms: f64,
}

/// Loads in progress. Remote models share one bandwidth limit and adapters another.
#[derive(Debug)]
pub struct WeightStore {
    loads: Vec<Load>,
    /// Number of remote model loads that run at full speed.
    full_speed_models: f64,
    /// Number of adapter loads that run at full speed.
    full_speed_adapters: f64,
    /// Time to load a model of mean size from the weight store, in milliseconds.
    remote_load_ms: f64,
    /// Time to load one of the largest adapters, in milliseconds.
    max_adapter_load_ms: f64,
    mean_bytes: f64,
}

impl WeightStore {
    /// Creates the weight store of a deployment. Its load rate and the number of loads at full speed are the largest
    /// that any pool with models configures.
    pub fn new(config: &Snapshot) -> Self {
        let pools = || {
            config
                .pools
                .values()
                .filter(|pool| config.models.values().any(|it| it.pool == pool.name))
        };
        let full_speed_loads = pools().map(|it| it.loads_at_once).max().unwrap_or(1);
        let loads_per_second = pools().map(|it| it.loads_per_second).fold(0.1, f64::max);
        let bytes: u64 = config.models.values().map(|it| it.bytes).sum();
        Self {
            loads: Vec::new(),
            full_speed_models: f64::from(full_speed_loads),
            full_speed_adapters: f64::from(pools().map(|it| it.adapter_loads_at_once).max().unwrap_or(1)),
            remote_load_ms: f64::from(full_speed_loads) / loads_per_second * 1_000.0,
            // Adapters take up to 15 ms on the weight store with 2.5 loads per second and up to 10 ms on that with 3.5.
            max_adapter_load_ms: if loads_per_second < 3.0 { 15.0 } else { 10.0 },
            mean_bytes: bytes as f64 / config.models.len().max(1) as f64,
        }
    }

    /// Returns the time to load a model of `bytes` bytes from `tier` at full speed, in milliseconds.
    pub fn model_load_ms(&self, tier: CacheTier, bytes: u64) -> f64 {
        let size_ratio = bytes as f64 / self.mean_bytes;
        size_ratio
            * match tier {
                CacheTier::Memory => MEMORY_LOAD_MS,
                CacheTier::Disk => DISK_LOAD_MS,
                CacheTier::Remote => self.remote_load_ms,
            }
    }

    /// Returns the time to load an adapter of `bytes` bytes at full speed, in milliseconds.
    pub fn adapter_load_ms(&self, bytes: u64) -> f64 {
        let size_ratio = (bytes as f64 / MAX_ADAPTER_BYTES).min(1.0);
        MIN_ADAPTER_LOAD_MS + (self.max_adapter_load_ms - MIN_ADAPTER_LOAD_MS) * size_ratio
    }

    /// Starts to load a replica; [`Self::advance`] returns it when the load has finished. `tier` is ignored for
    /// adapters.
    pub fn start(&mut self, server: &ServerName, replica: &ReplicaId, kind: PermitKind, tier: CacheTier, bytes: u64) {
        let (class, remaining_ms) = match (kind, tier) {
            (PermitKind::Adapter, _) => (LoadClass::Adapter, self.adapter_load_ms(bytes)),
            (PermitKind::Model, CacheTier::Remote) => (LoadClass::RemoteModel, self.model_load_ms(tier, bytes)),
            (PermitKind::Model, _) => (LoadClass::Local, self.model_load_ms(tier, bytes)),
        };
        self.loads.push(Load {
            server: server.clone(),
            replica: replica.clone(),
            class,
            remaining_ms,
        });
    }

    /// Cancels the loads of a backend server that was stopped.
    pub fn cancel_loads_of(&mut self, server: &ServerName) {
        self.loads.retain(|it| it.server != *server);
    }

    /// Advances all loads by `ms` milliseconds and returns those that have finished. `slowdown` multiplies the duration
    /// of loads from the weight store.
    pub fn advance(&mut self, ms: f64, slowdown: f64) -> Vec<(ServerName, ReplicaId)> {
        let in_class = |class| self.loads.iter().filter(|it| it.class == class).count().max(1) as f64;
        let model_speed = (self.full_speed_models / in_class(LoadClass::RemoteModel)).min(1.0) / slowdown;
        let adapter_speed = (self.full_speed_adapters / in_class(LoadClass::Adapter)).min(1.0) / slowdown;
        for load in &mut self.loads {
            load.remaining_ms -= ms
                * match load.class {
                    LoadClass::RemoteModel => model_speed,
                    LoadClass::Adapter => adapter_speed,
                    LoadClass::Local => 1.0,
                };
        }
        let finished = self.loads.extract_if(.., |it| it.remaining_ms <= 0.0);
        finished.map(|it| (it.server, it.replica)).collect()
    }
}
