//! Changes of configuration and keys during faults of the platform and with concurrent operators.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Answer, Fleet, FleetConfig, completion, model, wait_for};
use futures::future::join_all;
use http::Method;
use serde_json::{Value, json};

/// Time within which an accepted change must be in force on all VMs.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(8);

async fn start_warm_fleet(vms: usize) -> Fleet {
    let fleet = Fleet::start(&FleetConfig::new(vms, 1).object(model("mistral", "lookup"))).await;
    for vm in 0..vms {
        let answer = fleet
            .send_completion(vm, "bangor", &completion("mistral", 1, false), &[])
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

/// Sends requests to every router until it refuses the key, and returns the time that the slowest router took.
async fn wait_until_refused_everywhere(fleet: &Fleet) -> Duration {
    let start = Instant::now();
    let routers = (0..fleet.vms.len()).map(async |vm| {
        wait_for("the router refuses the key", async || {
            fleet
                .send_completion(vm, "bangor", &completion("mistral", 1, false), &[])
                .await
                .code()
                == "G1103"
        })
        .await;
    });
    join_all(routers).await;
    start.elapsed()
}

/// Guards against a withdrawn key that some VM continues to accept.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_everywhere() {
    let fleet = start_warm_fleet(3).await;

    let withdrawn = fleet.admin(0, Method::POST, "/keys/bangor/withdraw", None, None).await;
    let took = wait_until_refused_everywhere(&fleet).await;

    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    println!("withdrawn key refused everywhere after {took:?}");
    assert!(took <= MAX_PROPAGATION_TIME, "{took:?}");
}

/// Guards against a withdrawal that takes effect late because the platform answers slowly and its watches stall.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_everywhere_while_the_platform_is_slow() {
    let fleet = start_warm_fleet(3).await;
    fleet
        .set_platform_faults(&json!({ "objects": { "latency_ms": 700, "watch_stall": true } }))
        .await;

    let withdrawn = fleet.admin(1, Method::POST, "/keys/bangor/withdraw", None, None).await;
    let took = wait_until_refused_everywhere(&fleet).await;

    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    println!("withdrawn key refused everywhere after {took:?} with a slow platform");
    assert!(took <= MAX_PROPAGATION_TIME, "{took:?}");
}

/// Guards against a lost update: of two concurrent edits of one version, one must fail with a conflict.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_is_told() {
    let fleet = Fleet::start(&FleetConfig::new(2, 1)).await;
    let (version, spec) = lookup_profile(&fleet, 0).await;
    let (mut first_edit, mut second_edit) = (spec.clone(), spec);
    first_edit["priority"] = json!(1);
    second_edit["priority"] = json!(2);

    let (first_answer, second_answer) = tokio::join!(
        fleet.admin(0, Method::PUT, "/profiles/lookup", Some(version), Some(&first_edit)),
        fleet.admin(1, Method::PUT, "/profiles/lookup", Some(version), Some(&second_edit)),
    );

    let (accepted, rejected): (Vec<Answer>, Vec<Answer>) = [first_answer, second_answer]
        .into_iter()
        .partition(|it| it.status == 200);
    assert_eq!((accepted.len(), rejected.len()), (1, 1));
    assert_eq!(rejected[0].code(), "G3004");
    assert_eq!(
        rejected[0].json()["error"]["current_version"],
        accepted[0].json()["version"]
    );
}

/// Guards against reporting a failure to an operator although the write took effect and only the platform's answer was
/// lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_answer_is_recovered() {
    let fleet = Fleet::start(&FleetConfig::new(1, 1)).await;
    let (version, mut spec) = lookup_profile(&fleet, 0).await;
    spec["priority"] = json!(7);
    fleet
        .set_platform_faults(&json!({ "objects": { "lose_next_writes": 1 } }))
        .await;

    let edited = fleet
        .admin(0, Method::PUT, "/profiles/lookup", Some(version), Some(&spec))
        .await;

    assert_eq!(edited.status, 200, "{edited:?}");
    let (current, shown) = lookup_profile(&fleet, 0).await;
    assert_eq!(edited.json()["version"], json!(current));
    assert_eq!(shown["priority"], json!(7));
}

/// Guards against a restarted router that accepts a withdrawn key because it reads old objects from the platform.
#[tokio::test(flavor = "multi_thread")]
async fn restart_with_stale_reads_does_not_revert() {
    let mut fleet = start_warm_fleet(3).await;
    let withdrawn = fleet.admin(0, Method::POST, "/keys/bangor/withdraw", None, None).await;
    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    wait_until_refused_everywhere(&fleet).await;
    // Reads now return the state from before the withdrawal.
    fleet
        .set_platform_faults(&json!({ "objects": { "stale_reads_ms": 600_000 } }))
        .await;

    fleet.vms[2].router.kill();
    fleet.vms[2].router = fleet.start_role(2, 3, "router");
    fleet.wait_until_ready(2).await;
    let answer = fleet
        .send_completion(2, "bangor", &completion("mistral", 1, false), &[])
        .await;

    assert!(["G1103", "G1102"].contains(&answer.code().as_str()), "{answer:?}");
}

/// Guards against routers that stop serving while the platform is down, and against a restarted router that cannot get
/// its configuration then.
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_the_platform_is_down() {
    let mut fleet = start_warm_fleet(3).await;
    fleet
        .set_platform_faults(&json!({ "objects": { "down": true }, "vms": { "down": true } }))
        .await;

    fleet.vms[1].router.kill();
    fleet.vms[1].router = fleet.start_role(1, 3, "router");
    fleet.wait_until_ready(1).await;
    // Longer than an isolated VM continues to serve.
    tokio::time::sleep(Duration::from_secs(8)).await;

    for vm in 0..3 {
        wait_for("the router serves without the platform", async || {
            fleet
                .send_completion(vm, "bangor", &completion("mistral", 1, false), &[])
                .await
                .status
                == 200
        })
        .await;
    }
}
