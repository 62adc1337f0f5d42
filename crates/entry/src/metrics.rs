//! Metrics of the process.
//!
//! Each logged event is counted by its number, so that every decision has a counter and the catalogue of events bounds
//! the number of series. Names and units follow the Prometheus conventions.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use guava_core::events::Event;
use guava_fleet::model::RouteKind;
use guava_telemetry::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

use crate::logging;
use crate::state::{EntryState, now};

/// Upper bounds of the histogram buckets in seconds.
const BUCKET_BOUNDS_S: [f64; 13] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0];

static EVENTS: [AtomicU64; Event::ALL.len()] = [const { AtomicU64::new(0) }; Event::ALL.len()];
static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();

#[derive(Debug)]
struct Instruments {
    first_byte: Histogram<f64>,
    model_wait: Histogram<f64>,
    order: Histogram<f64>,
    store_call: Histogram<f64>,
    loads: Counter<u64>,
    peer_bytes: Counter<u64>,
    origin_lookups: Counter<u64>,
    sends: Counter<u64>,
    rejected_clients: Counter<u64>,
}

/// Counts an event, whether or not its line is written to the log.
pub fn count_event(event: Event) {
    let at = Event::ALL.iter().position(|it| *it == event);
    if let Some(counter) = at.and_then(|at| EVENTS.get(at)) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Records the time from a request's arrival to the first byte of its answer.
pub fn first_byte(kind: RouteKind, ms: u64) {
    let kind = match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Streaming => "streaming",
    };
    record(|it| &it.first_byte, ms, &[KeyValue::new("kind", kind)]);
}

/// Records the time for which a request waited for a model.
pub fn model_wait(ms: u64) {
    record(|it| &it.model_wait, ms, &[]);
}

/// Records the time that an engine took to answer an order.
pub fn order(ms: u64, outcome: &'static str) {
    record(|it| &it.order, ms, &[KeyValue::new("outcome", outcome)]);
}

/// Records the duration of a call to the store.
pub fn store_call(method: &str, result: &'static str, ms: u64) {
    let labels = [
        KeyValue::new("method", method.to_owned()),
        KeyValue::new("result", result),
    ];
    record(|it| &it.store_call, ms, &labels);
}

/// Counts a load that an engine accepted, by the tier that holds the weights.
pub fn load(tier: &'static str) {
    if let Some(instruments) = INSTRUMENTS.get() {
        instruments.loads.add(1, &[KeyValue::new("tier", tier)]);
    }
}

/// Counts a look-up of the origin of a stream, by its result.
pub fn origin_lookup(result: &'static str) {
    if let Some(instruments) = INSTRUMENTS.get() {
        instruments.origin_lookups.add(1, &[KeyValue::new("result", result)]);
    }
}

/// Counts a request that is sent to a backend server, by what the server has stated that speaks against it.
pub fn sent(stated: &'static str) {
    if let Some(instruments) = INSTRUMENTS.get() {
        instruments.sends.add(1, &[KeyValue::new("stated", stated)]);
    }
}

/// Counts a client that was rejected, by the listener and the limit that was reached.
pub fn client_rejected(listener: &'static str, limit: &'static str) {
    if let Some(instruments) = INSTRUMENTS.get() {
        let labels = [KeyValue::new("listener", listener), KeyValue::new("limit", limit)];
        instruments.rejected_clients.add(1, &labels);
    }
}

/// Counts the bytes of a message between entry processes and of its answer.
pub fn peer_bytes(message: &str, sent: usize, received: usize) {
    let Some(instruments) = INSTRUMENTS.get() else {
        return;
    };
    for (direction, bytes) in [("sent", sent), ("received", received)] {
        let labels = [
            KeyValue::new("message", message.to_owned()),
            KeyValue::new("direction", direction),
        ];
        instruments.peer_bytes.add(bytes as u64, &labels);
    }
}

fn record(of: impl Fn(&Instruments) -> &Histogram<f64>, ms: u64, labels: &[KeyValue]) {
    if let Some(instruments) = INSTRUMENTS.get() {
        of(instruments).record(ms as f64 / 1_000.0, labels);
    }
}

/// Adds the gauges of what servers state and of those that cannot be reached.
fn add_server_gauges(gauge: &impl Fn(&'static str, &'static str, fn(&EntryState) -> u64)) {
    gauge(
        "guava_servers_resting",
        "Backend servers that have asked this VM for a rest",
        EntryState::resting_servers,
    );
    gauge(
        "guava_servers_unreachable",
        "Backend servers to which this VM cannot open a connection",
        EntryState::unreachable_servers,
    );
    gauge(
        "guava_servers_limited",
        "Backend servers that name a limit on the requests of all VMs",
        EntryState::limited_servers,
    );
}

/// Adds the gauges of what is held for callers.
fn add_intake_gauges(gauge: &impl Fn(&'static str, &'static str, fn(&EntryState) -> u64)) {
    gauge("guava_intake_bytes", "Bytes held for callers", |it| it.callers.bytes());
    gauge(
        "guava_intake_requests",
        "Requests of callers that have not been received whole",
        |it| it.callers.requests(),
    );
    gauge("guava_intake_connections", "Connections of callers", |it| {
        it.callers.connections()
    });
}

/// Registers all instruments. Until this call, only events are counted.
pub fn register(state: &std::sync::Arc<EntryState>) -> Metrics {
    let metrics = Metrics::default();
    let meter = metrics.meter();
    meter
        .u64_observable_counter("guava_events")
        .with_description("Logged events by number")
        .with_callback(|observer| {
            for (event, counter) in Event::ALL.iter().zip(&EVENTS) {
                let count = counter.load(Ordering::Relaxed);
                if count > 0 {
                    observer.observe(count, &[KeyValue::new("event", event.to_string())]);
                }
            }
        })
        .build();
    let gauge = |name: &'static str, description: &'static str, read: fn(&EntryState) -> u64| {
        let state = std::sync::Arc::downgrade(state);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                if let Some(state) = state.upgrade() {
                    observer.observe(read(&state), &[]);
                }
            })
            .build();
    };
    gauge("guava_config_version", "Version of the configuration in force", |it| {
        it.config().map_or(0, |it| it.config.version)
    });
    gauge(
        "guava_source_age_ms",
        "Time for which configuration and servers may be out of date",
        |it| it.source_age_ms(now()),
    );
    gauge("guava_servers", "Backend servers that are known", |it| {
        it.servers().len() as u64
    });
    gauge("guava_members", "Other entry processes that are known", |it| {
        it.members().len() as u64
    });
    gauge("guava_requests_waiting", "Requests that wait for a model", |it| {
        it.waiting_requests()
    });
    gauge("guava_requests_running", "Requests that run at backend servers", |it| {
        it.running_requests()
    });
    gauge(
        "guava_condemned_prompts",
        "Parts of prompts, or combinations of them, whose requests are refused because they crash backend servers",
        |it| it.findings.verdict_count(),
    );
    gauge(
        "guava_stream_records",
        "Records of streams that callers may take up",
        |it| it.streams.record_count(),
    );
    add_server_gauges(&gauge);
    add_intake_gauges(&gauge);
    gauge(
        "guava_log_lines_dropped",
        "Log lines dropped because their reader was slow",
        |_| logging::dropped(),
    );
    let histogram = |name: &'static str, description: &'static str| {
        let built = meter.f64_histogram(name).with_description(description).with_unit("s");
        built.with_boundaries(BUCKET_BOUNDS_S.to_vec()).build()
    };
    let counter =
        |name: &'static str, description: &'static str| meter.u64_counter(name).with_description(description).build();
    // A second registration, as in tests, keeps the first instruments.
    let _ = INSTRUMENTS.set(Instruments {
        first_byte: histogram("guava_first_byte", "Time from arrival to the first byte of the answer"),
        model_wait: histogram("guava_model_wait", "Time for which requests waited for a model"),
        order: histogram("guava_order", "Time that engines took to answer orders"),
        store_call: histogram("guava_store_call", "Time that calls to the store took"),
        loads: counter("guava_loads", "Loads that engines accepted, by where the weights lie"),
        peer_bytes: counter("guava_peer_bytes", "Bytes of messages between entry processes"),
        origin_lookups: counter(
            "guava_origin_lookups",
            "Look-ups of the origin of streams that callers take up",
        ),
        sends: counter(
            "guava_sends",
            "Requests sent to backend servers, by what the server has stated against it",
        ),
        rejected_clients: counter(
            "guava_clients_rejected",
            "Clients rejected because a limit on what is held for clients was reached",
        ),
    });
    metrics
}
