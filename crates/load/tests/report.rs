//! Tests of the report and the trace generator.

use std::collections::BTreeMap;
use std::time::Duration;

use guava_load::client::Sample;
use guava_load::generate::{Mix, Source, generate};
use guava_load::report::{Latency, Limit, Report, ideal_admissions};
use guava_load::trace::TraceRequest;

fn request(at_ms: u64, tokens: u64) -> TraceRequest {
    TraceRequest {
        at_ms,
        organisation: "bangor".to_owned(),
        model: "m".to_owned(),
        profile: None,
        prompt_tokens: tokens,
        output_tokens: 0,
        stream: false,
        idempotency_key: None,
    }
}

fn sample(index: usize, status: u16) -> Sample {
    Sample {
        index,
        status,
        code: (status != 200).then(|| "G1201".to_owned()),
        not_run: status != 200,
        first_byte: Duration::from_millis(10),
        total: Duration::from_millis(10),
        cold: false,
        complete: status == 200,
    }
}

fn limits(rate: u64, burst: u64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("bangor".to_owned(), Limit { rate, burst })])
}

fn mix(seed: u64) -> Mix {
    Mix {
        seed,
        duration_ms: 10_000,
        models: vec!["a".to_owned(), "b".to_owned()],
        skew: 1.0,
        sources: vec![Source {
            organisation: "bangor".to_owned(),
            requests_per_second: 50.0,
            surge_factor: 1.0,
        }],
        surge_ms: None,
        prompt_tokens: (1, 10),
        output_tokens: (1, 10),
        stream: false,
        profile: None,
        idempotency_keys: false,
    }
}

/// Guards against counting a refusal above the rate limit as a refusal within the rate.
#[test]
fn only_refusals_within_rate_are_counted() {
    let trace = [request(0, 10), request(0, 10), request(500, 5), request(500, 5)];
    let samples = [sample(0, 429), sample(1, 429), sample(2, 200), sample(3, 429)];

    let report = Report::new(&trace, &samples, &limits(10, 10));

    assert_eq!(ideal_admissions(&trace, &limits(10, 10)), [true, false, true, false]);
    assert_eq!(report.refused_within_rate(), 1);
    assert_eq!(report.organisations["bangor"].entitled_tokens, 15);
    assert_eq!(report.organisations["bangor"].served_tokens, 5);
    assert_eq!(report.organisations["bangor"].answered_tokens, 5);
    assert_eq!(
        report.refused_within_rate_codes,
        BTreeMap::from([("G1201".to_owned(), 1)])
    );
}

/// Guards against a histogram that loses the slowest sample.
#[test]
fn latency_maximum_includes_slowest_sample() {
    let latency = Latency::of((1..=100).map(Duration::from_millis));

    assert_eq!(latency.count, 100);
    assert!(latency.max >= Duration::from_millis(100));
    assert!(latency.p50 >= Duration::from_millis(50) && latency.p50 < Duration::from_millis(52));
}

/// Guards against a generator whose output depends on anything but the mix, or does not depend on the seed.
#[test]
fn same_seed_gives_same_trace() {
    assert_eq!(generate(&mix(7)), generate(&mix(7)));
    assert_ne!(generate(&mix(7)), generate(&mix(8)));
}
