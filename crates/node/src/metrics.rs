//! Metrics of the process.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use guava_core::config::Kind;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::lease_manager::LeaseManager;
use crate::shared::Shared;
use crate::{Members, Spread};

const METER: &str = "guavaarch";

/// Registry of metrics and the meter that feeds it.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let builder = SdkMeterProvider::builder();
        // The exporter can only fail when its collector is registered twice, and the registry is new.
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(_) => builder.build(),
        };
        Self { registry, provider }
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter(METER)
    }

    pub(crate) fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}

impl Metrics {
    /// Registers the runtime's own metrics.
    pub(crate) fn observe(&self, shared: &Arc<Shared>, manager: &Arc<LeaseManager>) {
        let meter = self.meter();
        let gauge = |name: &'static str, text: &'static str, read: fn(&Shared) -> u64| {
            let shared = Arc::downgrade(shared);
            meter
                .u64_observable_gauge(name)
                .with_description(text)
                .with_callback(move |observer| {
                    if let Some(shared) = shared.upgrade() {
                        observer.observe(read(&shared), &[]);
                    }
                })
                .build();
        };
        gauge("guava_members_live", "Members not believed down", |it| {
            it.members.live().len() as u64
        });
        gauge(
            "guava_entries",
            "Entries of the gossip map, tombstones included",
            |it| it.spread.len() as u64,
        );
        gauge("guava_confirmation_age_ms", "Age of the last confirmation", |it| {
            it.members.age()
        });
        gauge("guava_isolated", "Whether the VM is isolated", |it| {
            u64::from(it.members.isolated())
        });
        gauge("guava_ready", "Whether the process takes requests", |it| {
            u64::from(it.is_ready())
        });
        let versions = Arc::downgrade(shared);
        meter
            .u64_observable_gauge("guava_config_version")
            .with_description("Largest version of configuration in force here, by kind")
            .with_callback(move |observer| {
                let Some(shared) = versions.upgrade() else {
                    return;
                };
                for kind in Kind::CONFIG {
                    let version = shared.spread.newest(kind).sequence;
                    observer.observe(version, &[KeyValue::new("kind", kind.plural())]);
                }
            })
            .build();
        let sent = shared.sender.bytes();
        meter
            .u64_observable_counter("guava_gossip_sent_bytes")
            .with_description("Bytes sent in datagrams")
            .with_callback(move |observer| observer.observe(sent.load(Ordering::Relaxed), &[]))
            .build();
        let manager = Arc::downgrade(manager);
        meter
            .u64_observable_gauge("guava_leases_held")
            .with_description("Leases held")
            .with_callback(move |observer| {
                if let Some(manager) = manager.upgrade() {
                    observer.observe(manager.all_held().len() as u64, &[]);
                }
            })
            .build();
    }
}
