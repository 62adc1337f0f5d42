//! Model of the weight store and of loads from a backend server's own tiers.

use guava_core::ids::{ReplicaId, ServerName};
use guava_core::permits::PermitKind;
use guava_core::plan::CacheTier;
use guava_core::snapshot::Snapshot;

/// Load of a model of mean size from a backend server's disk, in milliseconds.
const DISK_LOAD_MS: f64 = 400.0;
/// Load of a model of mean size from a backend server's memory, in milliseconds.
const MEMORY_LOAD_MS: f64 = 50.0;
/// Load of the smallest adapter in milliseconds.
const LEAST_ADAPTER_MS: f64 = 3.0;
/// Bytes of the largest adapters.
const LARGEST_ADAPTER: f64 = 268_435_456.0;

/// What bounds a load's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    Models,
    Adapters,
    Local,
}

#[derive(Debug, Clone)]
struct Load {
    server: ServerName,
    replica: ReplicaId,
    lane: Lane,
    left_ms: f64,
}

/// Loads in progress; those of a lane share its bandwidth.
#[derive(Debug)]
pub struct Store {
    loads: Vec<Load>,
    models_at_once: f64,
    adapters_at_once: f64,
    remote_ms: f64,
    adapter_ms: f64,
    mean_bytes: f64,
}

impl Store {
    /// The store of a deployment. The rate and the number at full speed are those of its pools.
    pub fn new(config: &Snapshot) -> Self {
        let pools = || {
            config
                .pools
                .values()
                .filter(|pool| config.models.values().any(|it| it.pool == pool.name))
        };
        let at_once = pools().map(|it| it.loads_at_once).max().unwrap_or(1);
        let per_second = pools().map(|it| it.loads_per_second).fold(0.1, f64::max);
        let bytes: u64 = config.models.values().map(|it| it.bytes).sum();
        Self {
            loads: Vec::new(),
            models_at_once: f64::from(at_once),
            adapters_at_once: f64::from(pools().map(|it| it.adapter_loads_at_once).max().unwrap_or(1)),
            remote_ms: f64::from(at_once) / per_second * 1_000.0,
            // Adapters take up to 15 ms where the store allows 2.5 loads a second and up to 10 ms where it allows 3.5.
            adapter_ms: if per_second < 3.0 { 15.0 } else { 10.0 },
            mean_bytes: bytes as f64 / config.models.len().max(1) as f64,
        }
    }

    /// Duration of a model's load at full speed.
    pub fn model_ms(&self, tier: CacheTier, bytes: u64) -> f64 {
        let size = bytes as f64 / self.mean_bytes;
        size * match tier {
            CacheTier::Memory => MEMORY_LOAD_MS,
            CacheTier::Disk => DISK_LOAD_MS,
            CacheTier::Remote => self.remote_ms,
        }
    }

    /// Duration of an adapter's load at full speed.
    pub fn adapter_ms(&self, bytes: u64) -> f64 {
        let part = (bytes as f64 / LARGEST_ADAPTER).min(1.0);
        LEAST_ADAPTER_MS + (self.adapter_ms - LEAST_ADAPTER_MS) * part
    }

    /// Starts a load.
    pub fn start(&mut self, server: &ServerName, replica: &ReplicaId, kind: PermitKind, tier: CacheTier, bytes: u64) {
        let (lane, left_ms) = match (kind, tier) {
            (PermitKind::Adapter, _) => (Lane::Adapters, self.adapter_ms(bytes)),
            (PermitKind::Model, CacheTier::Remote) => (Lane::Models, self.model_ms(tier, bytes)),
            (PermitKind::Model, _) => (Lane::Local, self.model_ms(tier, bytes)),
        };
        self.loads.push(Load {
            server: server.clone(),
            replica: replica.clone(),
            lane,
            left_ms,
        });
    }

    /// Drops the loads of a server that has ended.
    pub fn drop_server(&mut self, server: &ServerName) {
        self.loads.retain(|it| it.server != *server);
    }

    /// Lets time pass; returns the loads that have ended.
    pub fn advance(&mut self, ms: f64, slowdown: f64) -> Vec<(ServerName, ReplicaId)> {
        let in_lane = |lane| self.loads.iter().filter(|it| it.lane == lane).count().max(1) as f64;
        let models = (self.models_at_once / in_lane(Lane::Models)).min(1.0) / slowdown;
        let adapters = (self.adapters_at_once / in_lane(Lane::Adapters)).min(1.0) / slowdown;
        for load in &mut self.loads {
            load.left_ms -= ms
                * match load.lane {
                    Lane::Models => models,
                    Lane::Adapters => adapters,
                    Lane::Local => 1.0,
                };
        }
        let ended = self.loads.extract_if(.., |it| it.left_ms <= 0.0);
        ended.map(|it| (it.server, it.replica)).collect()
    }
}
