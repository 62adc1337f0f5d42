//! Detection of outdated configuration from the status of a process.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{FakePlatform, settings, start};
use guava_core::gossip_entry::Version;
use guava_core::ids::Term;
use guava_node::status::Status;
use serde_json::json;

fn versions(pairs: &[(&str, u64)]) -> BTreeMap<String, Version> {
    let version = |sequence| Version {
        term: Term(0),
        sequence,
    };
    pairs
        .iter()
        .map(|(kind, sequence)| ((*kind).to_owned(), version(*sequence)))
        .collect()
}

/// Guards against a change that is reported as in force at a process that knows only an older version of the kind, or
/// none.
#[tokio::test]
async fn kinds_with_older_or_missing_versions_are_outdated() {
    let platform = Arc::new(FakePlatform::default());
    let runtime = start(&settings("vm0", Vec::new()), &platform).await;
    let me = runtime.node.members.me().clone();
    let answer = runtime
        .node
        .peers
        .call(&me, "status", json!({}), Duration::from_secs(30))
        .await
        .unwrap();
    let status = Status {
        newest: versions(&[("keys", 7), ("models", 5), ("profiles", 3)]),
        ..serde_json::from_value(answer).unwrap()
    };

    let outdated = status.outdated(&versions(&[("keys", 7), ("models", 6), ("pools", 1), ("profiles", 2)]));

    assert_eq!(outdated, ["models", "pools"]);
    assert!(status.outdated(&status.newest).is_empty());
}
