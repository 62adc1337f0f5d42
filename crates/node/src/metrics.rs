//! Metrics of the process runtime.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use guava_core::config::Kind;
use guava_telemetry::Metrics;
use opentelemetry::KeyValue;

use crate::lease_manager::LeaseManager;
use crate::shared::Shared;
use crate::{GossipState, Members};

/// Registers the metrics of the runtime; they are read when metrics are scraped.
pub(crate) fn register(metrics: &Metrics, shared: &Arc<Shared>, manager: &Arc<LeaseManager>) {
    let meter = metrics.meter();
    let gauge = |name: &'static str, description: &'static str, read: fn(&Shared) -> u64| {
        let shared = Arc::downgrade(shared);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
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
        |it| it.gossip.len() as u64,
    );
    gauge("guava_confirmation_age_ms", "Age of the last confirmation", |it| {
        it.members.confirmation_age()
    });
    gauge("guava_isolated", "Whether the VM is isolated", |it| {
        u64::from(it.members.isolated())
    });
    gauge("guava_ready", "Whether the process takes requests", |it| {
        u64::from(it.is_ready())
    });
    gauge("guava_client_bytes", "Bytes held for clients", |it| it.budget.bytes());
    gauge("guava_client_connections", "Open connections of clients", |it| {
        it.budget.connections()
    });
    gauge(
        "guava_client_unfinished_requests",
        "Requests whose body has not been received whole",
        |it| it.budget.unfinished_requests(),
    );
    let rejecting = Arc::downgrade(shared);
    meter
        .u64_observable_counter("guava_client_rejections")
        .with_description("Connections of clients rejected because of a limit")
        .with_callback(move |observer| {
            if let Some(shared) = rejecting.upgrade() {
                observer.observe(shared.budget.rejections(), &[]);
            }
        })
        .build();
    let weak_shared = Arc::downgrade(shared);
    meter
        .u64_observable_gauge("guava_config_version")
        .with_description("Largest version of configuration in force here, by kind")
        .with_callback(move |observer| {
            let Some(shared) = weak_shared.upgrade() else {
                return;
            };
            for kind in Kind::CONFIG {
                let version = shared.gossip.newest(kind).sequence;
                observer.observe(version, &[KeyValue::new("kind", kind.plural())]);
            }
        })
        .build();
    let sent_bytes = shared.sender.sent_bytes();
    meter
        .u64_observable_counter("guava_gossip_sent_bytes")
        .with_description("Bytes sent in datagrams")
        .with_callback(move |observer| observer.observe(sent_bytes.load(Ordering::Relaxed), &[]))
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
