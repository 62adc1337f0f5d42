//! Metrics of the request path.

use std::sync::Weak;

use guava_core::codes::Code;
use guava_core::ids::OrganisationName;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use crate::dispatch::{Load, Target};
use crate::path::Router;

/// Upper bounds of the buckets of the wait histograms. The library's default bounds suit milliseconds and would put all
/// cold starts of up to 5 s into one bucket.
const WAIT_BOUNDARIES_S: [f64; 14] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 60.0,
];

/// End of a request, reported as label `outcome`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer was forwarded to the caller.
    Finished,
    /// The request was refused and has not run.
    Refused,
    /// The request failed after it was sent to a backend server.
    Failed,
    /// The caller closed its connection before the request ended.
    CallerLeft,
}

impl Ending {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Counters and histograms that the request path updates.
#[derive(Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    cold_start: Histogram<f64>,
    wait: Histogram<f64>,
}

impl Metrics {
    /// Creates the counters and histograms with `meter`.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("guava_router_requests")
                .with_description("Requests by outcome")
                .build(),
            refusals: meter
                .u64_counter("guava_router_refusals")
                .with_description("Refusals and failures by code and organisation")
                .build(),
            cold_start: meter
                .f64_histogram("guava_router_cold_start_seconds")
                .with_description("Wait of requests that found no ready replica")
                .with_boundaries(WAIT_BOUNDARIES_S.to_vec())
                .build(),
            wait: meter
                .f64_histogram("guava_router_wait_seconds")
                .with_description("Wait of requests that found all slots of ready replicas taken")
                .with_boundaries(WAIT_BOUNDARIES_S.to_vec())
                .build(),
        }
    }

    /// Counts a request that has ended.
    pub fn count_ending(&self, ending: Ending) {
        self.requests.add(1, &[KeyValue::new("outcome", ending.as_str())]);
    }

    /// Counts an error answer by code and organisation; `None` if the organisation is not known.
    pub fn count_error(&self, code: Code, organisation: Option<&OrganisationName>) {
        let organisation = organisation.map_or_else(String::new, ToString::to_string);
        let attributes = [
            KeyValue::new("code", code.to_string()),
            KeyValue::new("organisation", organisation),
        ];
        self.refusals.add(1, &attributes);
    }

    /// Records how long a request waited for a slot. `is_cold_start` is true if the request found no ready replica.
    pub fn record_wait(&self, is_cold_start: bool, wait_ms: u64) {
        let histogram = if is_cold_start { &self.cold_start } else { &self.wait };
        histogram.record(wait_ms as f64 / 1000.0, &[]);
    }
}

/// Registers the gauges of waiting and running requests, which read the router's state when metrics are collected.
pub fn observe(meter: &Meter, router: &Weak<Router>) {
    gauge(
        meter,
        "guava_router_waiting",
        "Waiting requests by model",
        router,
        |it| it.waiting,
    );
    gauge(
        meter,
        "guava_router_in_flight",
        "Running requests by model",
        router,
        |it| it.running,
    );
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str, router: &Weak<Router>, read: fn(&Load) -> u64) {
    let router = Weak::clone(router);
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            let targets = router.upgrade().map(|it| it.targets.all()).unwrap_or_default();
            for target in targets {
                observer.observe(read(&target.load()), &labels(&target));
            }
        })
        .build();
}

fn labels(target: &Target) -> [KeyValue; 2] {
    [
        KeyValue::new("pool", target.key.pool.to_string()),
        KeyValue::new("model", target.key.name().to_owned()),
    ]
}
