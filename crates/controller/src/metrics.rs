//! OpenTelemetry metrics of the controller.

use guava_core::ids::{PoolName, ServerName};
use guava_core::plan::CacheTier;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// Metric instruments of the controller.
#[derive(Debug, Clone)]
pub struct Metrics {
    loads: Counter<u64>,
    load_ms: Histogram<f64>,
    idle_byte_seconds: Counter<f64>,
    idle_accelerator_seconds: Counter<f64>,
    plan_conflicts: Counter<u64>,
    plan_writes: Counter<u64>,
    lease_held: Gauge<u64>,
}

impl Metrics {
    /// Registers the instruments with `meter`.
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
            idle_accelerator_seconds: meter
                .f64_counter("guava_idle_accelerator_seconds")
                .with_description("Accelerator time without a running request, by backend server and whether anything is loaded there")
                .build(),
            plan_conflicts: meter
                .u64_counter("guava_controller_plan_conflicts")
                .with_description("Plan writes lost against another writer")
                .build(),
            plan_writes: meter
                .u64_counter("guava_controller_plan_writes")
                .with_description("Plan writes confirmed")
                .build(),
            lease_held: meter
                .u64_gauge("guava_controller_lease_held")
                .with_description("Whether this process holds the pool's lease")
                .build(),
        }
    }

    /// Counts a finished load; `ms` is the time from the decision to the ready state.
    pub fn record_load(&self, pool: &PoolName, tier: CacheTier, ms: u64) {
        let tier = match tier {
            CacheTier::Memory => "memory",
            CacheTier::Disk => "disk",
            CacheTier::Remote => "remote",
        };
        let labels = [KeyValue::new("pool", pool.to_string()), KeyValue::new("tier", tier)];
        self.loads.add(1, &labels);
        self.load_ms.record(ms as f64, &labels);
    }

    /// Adds the memory of ready replicas without running requests, in bytes multiplied by idle seconds.
    pub fn add_idle_memory(&self, pool: &PoolName, byte_seconds: f64) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.idle_byte_seconds.add(byte_seconds, &labels);
    }

    /// Adds time in which a server ran no request; `loaded` says whether any memory was reserved on it.
    pub fn add_idle_server_time(&self, pool: &PoolName, server: &ServerName, loaded: bool, seconds: f64) {
        let labels = [
            KeyValue::new("pool", pool.to_string()),
            KeyValue::new("server", server.to_string()),
            KeyValue::new("loaded", loaded),
        ];
        self.idle_accelerator_seconds.add(seconds, &labels);
    }

    /// Counts a confirmed plan write.
    pub fn count_write(&self, pool: &PoolName) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.plan_writes.add(1, &labels);
        // Exports the conflict counter before the first conflict, so that its rate is defined.
        self.plan_conflicts.add(0, &labels);
    }

    /// Counts a plan that could not be written because another process had changed it.
    pub fn count_conflict(&self, pool: &PoolName) {
        self.plan_conflicts.add(1, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// Sets the gauge that shows whether this process holds the pool's lease.
    pub fn set_lease_held(&self, pool: &PoolName, held: bool) {
        let labels = [KeyValue::new("pool", pool.to_string())];
        self.lease_held.record(u64::from(held), &labels);
    }
}
