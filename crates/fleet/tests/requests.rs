//! Look-up of routes and keys, and splitting of event streams.

use std::collections::BTreeMap;
use std::sync::Arc;

use guava_fleet::events::Splitter;
use guava_fleet::model::{CallerLimits, Configuration, Organisation, Route, RouteKind};
use guava_fleet::routes::{ActiveConfig, host_name};
use proptest::prelude::*;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        targets: vec![("s".to_owned(), 1)],
        max_attempts: 1,
        open: false,
        resumable: false,
        gap_ms: 0,
    }
}

fn in_force() -> ActiveConfig {
    let organisation = Organisation {
        name: "bangor".to_owned(),
        keys: vec!["key-1".to_owned()],
        priority: None,
        counts_tokens: true,
        plain_tokens: 200,
        rate: 0.0,
        burst: 0.0,
    };
    ActiveConfig::new(Arc::new(Configuration {
        version: 1,
        routes: vec![route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/")],
        services: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        organisations: vec![organisation],
    }))
}

/// Guards against a request that goes to the service of a shorter prefix, another host or a removed route.
#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("A.Example:8080", "/x/y/1", Some("long"))]
#[case("a.example", "/x", None)]
#[case("b.example", "/x/1", None)]
fn the_longest_prefix_of_the_host_wins(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let in_force = in_force();

    let found = in_force.route(host, path).map(|it| it.name.as_str());

    assert_eq!(found, expected);
}

/// Guards against a key that names another organisation or none.
#[test]
fn a_key_names_its_organisation() {
    let in_force = in_force();

    assert_eq!(
        in_force.organisation("key-1").map(|it| it.name.as_str()),
        Some("bangor")
    );
    assert!(in_force.organisation("key-2").is_none());
}

/// Guards against a host with a port that matches no route.
#[rstest]
#[case("a.example:80", "a.example")]
#[case("[::1]", "[::1]")]
fn ports_are_no_part_of_a_host(#[case] host: &str, #[case] expected: &str) {
    assert_eq!(host_name(host), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against events that are lost, doubled or passed on in part, wherever the bytes are cut.
    #[test]
    fn whole_events_pass_in_order(count in 1_usize..30, cuts in prop::collection::vec(1_usize..40, 1..60)) {
        let events: Vec<String> = (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        let text = events.concat();
        let torn = format!("{text}id: {}\ndata: to", count + 1);
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        let mut rest = torn.as_bytes();
        let mut at = 0;
        while !rest.is_empty() {
            let (part, tail) = rest.split_at(cuts[at % cuts.len()].min(rest.len()));
            let whole = splitter.push(part).expect("events are small");
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend(whole);
            rest = tail;
            at += 1;
        }

        prop_assert_eq!(passed, text.into_bytes());
        let last_id = count.to_string();
        prop_assert_eq!(splitter.last_id(), Some(last_id.as_str()));
        prop_assert!(!splitter.rest().is_empty());
    }
}
