//! Configuration and keys under platform faults and racing operators.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Answer, Fleet, Plan, completion, model, wait_for};
use futures::future::join_all;
use http::Method;
use serde_json::{Value, json};

/// Longest time until an accepted change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(8);

async fn warm_fleet(vms: usize) -> Fleet {
    let fleet = Fleet::start(&Plan::new(vms, 1).object(model("mistral", "lookup"))).await;
    for vm in 0..vms {
        let answer = fleet
            .complete(vm, "bangor", &completion("mistral", 1, false), &[])
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    fleet
}

async fn lookup_profile(fleet: &Fleet, vm: usize) -> (u64, Value) {
    let shown = fleet
        .admin(vm, Method::GET, "/profiles/lookup", None, None)
        .await
        .json();
    (shown["version"].as_u64().unwrap_or_default(), shown["spec"].clone())
}

/// Sends lookups to every router until each refuses the key, and returns how long the slowest took.
async fn refused_everywhere(fleet: &Fleet) -> Duration {
    let start = Instant::now();
    let routers = (0..fleet.vms.len()).map(async |vm| {
        wait_for("the router refuses the key", async || {
            fleet
                .complete(vm, "bangor", &completion("mistral", 1, false), &[])
                .await
                .code()
                == "G1103"
        })
        .await;
    });
    join_all(routers).await;
    start.elapsed()
}

/// Guards against a key that goes on working at some VM after it was withdrawn.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_everywhere() {
    let fleet = warm_fleet(3).await;

    let withdrawn = fleet.admin(0, Method::POST, "/keys/bangor/withdraw", None, None).await;
    let took = refused_everywhere(&fleet).await;

    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    println!("withdrawn key refused everywhere after {took:?}");
    assert!(took <= IN_FORCE, "{took:?}");
}

/// Guards against a withdrawal that depends on a platform that has become slow.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_everywhere_while_the_platform_is_slow() {
    let fleet = warm_fleet(3).await;
    fleet
        .platform_faults(&json!({ "objects": { "latency_ms": 700, "watch_stall": true } }))
        .await;

    let withdrawn = fleet.admin(1, Method::POST, "/keys/bangor/withdraw", None, None).await;
    let took = refused_everywhere(&fleet).await;

    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    println!("withdrawn key refused everywhere after {took:?} with a slow platform");
    assert!(took <= IN_FORCE, "{took:?}");
}

/// Guards against two operators who overwrite each other unseen.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_is_told() {
    let fleet = Fleet::start(&Plan::new(2, 1)).await;
    let (version, spec) = lookup_profile(&fleet, 0).await;
    let (mut one, mut two) = (spec.clone(), spec);
    one["priority"] = json!(1);
    two["priority"] = json!(2);

    let (a, b) = tokio::join!(
        fleet.admin(0, Method::PUT, "/profiles/lookup", Some(version), Some(&one)),
        fleet.admin(1, Method::PUT, "/profiles/lookup", Some(version), Some(&two)),
    );

    let (won, lost): (Vec<Answer>, Vec<Answer>) = [a, b].into_iter().partition(|it| it.status == 200);
    assert_eq!((won.len(), lost.len()), (1, 1));
    assert_eq!(lost[0].code(), "G3004");
    assert_eq!(lost[0].json()["error"]["current_version"], won[0].json()["version"]);
}

/// Guards against an operator who is told of a failure although the write took effect.
#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_answer_is_recovered() {
    let fleet = Fleet::start(&Plan::new(1, 1)).await;
    let (version, mut spec) = lookup_profile(&fleet, 0).await;
    spec["priority"] = json!(7);
    fleet
        .platform_faults(&json!({ "objects": { "lose_next_writes": 1 } }))
        .await;

    let edited = fleet
        .admin(0, Method::PUT, "/profiles/lookup", Some(version), Some(&spec))
        .await;

    assert_eq!(edited.status, 200, "{edited:?}");
    let (current, shown) = lookup_profile(&fleet, 0).await;
    assert_eq!(edited.json()["version"], json!(current));
    assert_eq!(shown["priority"], json!(7));
}

/// Guards against a restarted router that puts an old key list in force from a stale platform read.
#[tokio::test(flavor = "multi_thread")]
async fn restart_with_stale_reads_does_not_revert() {
    let mut fleet = warm_fleet(3).await;
    let withdrawn = fleet.admin(0, Method::POST, "/keys/bangor/withdraw", None, None).await;
    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    refused_everywhere(&fleet).await;
    // From now on reads show the state before the withdrawal.
    fleet
        .platform_faults(&json!({ "objects": { "stale_reads_ms": 600_000 } }))
        .await;

    fleet.vms[2].router.kill();
    fleet.vms[2].router = fleet.start_role(2, 3, "router");
    fleet.wait_ready(2).await;
    let answer = fleet.complete(2, "bangor", &completion("mistral", 1, false), &[]).await;

    assert!(["G1103", "G1102"].contains(&answer.code().as_str()), "{answer:?}");
}

/// Guards against service that stops with the platform, and against a configuration that a restart cannot get.
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_the_platform_is_down() {
    let mut fleet = warm_fleet(3).await;
    fleet
        .platform_faults(&json!({ "objects": { "down": true }, "vms": { "down": true } }))
        .await;

    fleet.vms[1].router.kill();
    fleet.vms[1].router = fleet.start_role(1, 3, "router");
    fleet.wait_ready(1).await;
    // Longer than a VM without contact would go on serving.
    tokio::time::sleep(Duration::from_secs(8)).await;

    for vm in 0..3 {
        wait_for("the router serves without the platform", async || {
            fleet
                .complete(vm, "bangor", &completion("mistral", 1, false), &[])
                .await
                .status
                == 200
        })
        .await;
    }
}
