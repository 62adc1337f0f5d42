//! Metrics of the controller.

use guava_core::ids::{PoolName, ServerName};
use guava_core::plan::CacheTier;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// Instruments of the controller.
#[derive(Debug, Clone)]
pub struct Metrics {
    loads: Counter<u64>,
    load_ms: Histogram<f64>,
    idle_byte_seconds: Counter<f64>,
    idle_seconds: Counter<f64>,
    conflicts: Counter<u64>,
    writes: Counter<u64>,
    lease: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        Self {
            loads: meter
                .u64_counter("guava_controller_loads")
                .with_description("Loads finished, by cache tier")
                .build(),
            load_ms: meter
                .f64_histogram("guava_controller_load_ms")
                .with_description("Time from decision to ready, in milliseconds")
                .build(),
            idle_byte_seconds: meter
                .f64_counter("guava_controller_idle_byte_seconds")
                .with_description("Memory of ready replicas without requests, over time")
                .build(),
            idle_seconds: meter
                .f64_counter("guava_idle_accelerator_seconds")
                .with_description("Accelerator time without a running request, by backend server and whether anything is loaded there")
                .build(),
            conflicts: meter
                .u64_counter("guava_controller_plan_conflicts")
                .with_description("Plan writes lost against another writer")
                .build(),
            writes: meter
                .u64_counter("guava_controller_plan_writes")
                .with_description("Plan writes confirmed")
                .build(),
            lease: meter
                .u64_gauge("guava_controller_lease_held")
                .with_description("Whether this process holds the pool's lease")
                .build(),
        }
    }

    /// Counts a finished load.
    pub fn loaded(&self, pool: &PoolName, tier: CacheTier, ms: u64) {
        let tier = match tier {
            CacheTier::Memory => "memory",
            CacheTier::Disk => "disk",
            CacheTier::Remote => "remote",
        };
        let labels = [KeyValue::new("pool", pool.to_string()), KeyValue::new("tier", tier)];
        self.loads.add(1, &labels);
        self.load_ms.record(ms as f64, &labels);
    }

    /// Counts idle memory of a pool.
    pub fn idle_memory(&self, pool: &PoolName, byte_seconds: f64) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.idle_byte_seconds.add(byte_seconds, &labels);
    }

    /// Counts idle time of a server.
    pub fn idle_server(&self, pool: &PoolName, server: &ServerName, loaded: bool, seconds: f64) {
        let labels = [
            KeyValue::new("pool", pool.to_string()),
            KeyValue::new("server", server.to_string()),
            KeyValue::new("loaded", loaded),
        ];
        self.idle_seconds.add(seconds, &labels);
    }

    /// Counts a confirmed plan write.
    pub fn written(&self, pool: &PoolName) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.writes.add(1, &labels);
        // Shows the counter before the first conflict, so that its rate is defined.
        self.conflicts.add(0, &labels);
    }

    /// Counts a plan conflict.
    pub fn conflict(&self, pool: &PoolName) {
        self.conflicts.add(1, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// Sets whether the pool's lease is held.
    pub fn lease(&self, pool: &PoolName, held: bool) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.lease.record(u64::from(held), &labels);
    }
}
