//! Metrics of the router.

use std::sync::Weak;

use guava_core::codes::Code;
use guava_core::ids::OrganisationName;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use crate::dispatch::{Load, Target};
use crate::path::Router;

/// Upper bounds of the buckets of waits, in seconds. The library's default bounds suit milliseconds and would put every
/// cold start of up to 5 s into one bucket.
const WAIT_BOUNDARIES_S: [f64; 14] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 60.0,
];

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was passed on.
    Finished,
    /// Refused, not run.
    Refused,
    /// Failed after it was sent.
    Failed,
    /// The caller closed its connection.
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

/// Instruments that the request path writes to.
#[derive(Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    cold_start: Histogram<f64>,
    wait: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments.
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

    /// Counts a request that ended.
    pub fn ended(&self, ending: Ending) {
        self.requests.add(1, &[KeyValue::new("outcome", ending.as_str())]);
    }

    /// Counts an error answer.
    pub fn refused(&self, code: Code, organisation: Option<&OrganisationName>) {
        let organisation = organisation.map_or_else(String::new, ToString::to_string);
        let attributes = [
            KeyValue::new("code", code.to_string()),
            KeyValue::new("organisation", organisation),
        ];
        self.refusals.add(1, &attributes);
    }

    /// Records how long a request waited for a slot.
    pub fn waited(&self, cold: bool, wait_ms: u64) {
        let histogram = if cold { &self.cold_start } else { &self.wait };
        histogram.record(wait_ms as f64 / 1000.0, &[]);
    }
}

/// Registers the gauges that read the router's state.
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

fn gauge(meter: &Meter, name: &'static str, text: &'static str, router: &Weak<Router>, read: fn(&Load) -> u64) {
    let router = Weak::clone(router);
    meter
        .u64_observable_gauge(name)
        .with_description(text)
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
