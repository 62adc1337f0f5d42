//! VMs that have lost the connection to the platform, or to the platform and all other VMs.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, FleetConfig, completion, model, wait_for};
use http::Method;
use serde_json::json;

/// Time within which an accepted change must be in force on all VMs.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(8);

async fn start_warm_fleet() -> Fleet {
    let fleet = Fleet::start(&FleetConfig::new(3, 1).object(model("mistral", "lookup"))).await;
    for vm in 0..3 {
        let answer = fleet
            .send_completion(vm, "bangor", &completion("mistral", 1, false), &[])
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    fleet
}

/// Guards against a VM that accepts a withdrawn key because it cannot reach the platform, although it reaches other
/// VMs.
#[tokio::test(flavor = "multi_thread")]
async fn vm_cut_from_the_platform_learns_of_a_withdrawal_from_peers() {
    let fleet = start_warm_fleet().await;
    fleet.links[2].cut();

    let withdrawn = fleet.admin(0, Method::POST, "/keys/bangor/withdraw", None, None).await;
    let start = Instant::now();
    wait_for("the disconnected VM refuses the key", async || {
        fleet
            .send_completion(2, "bangor", &completion("mistral", 1, false), &[])
            .await
            .code()
            == "G1103"
    })
    .await;

    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    println!(
        "withdrawn key refused by the disconnected VM after {:?}",
        start.elapsed()
    );
    assert!(start.elapsed() <= MAX_PROPAGATION_TIME, "{:?}", start.elapsed());
}

/// Guards against an isolated VM that serves requests although it cannot learn of withdrawn keys, and against a VM that
/// keeps refusing requests after the other VMs can be reached again.
#[tokio::test(flavor = "multi_thread")]
async fn vm_without_any_contact_refuses_until_it_has_contact_again() {
    let fleet = start_warm_fleet().await;
    let addr = fleet.vms[2].router_addr();
    fleet.links[2].cut();
    for vm in &fleet.vms[..2] {
        vm.signal_all(libc::SIGSTOP);
    }

    wait_for("the VM reports that it is not ready", async || {
        fleet.call(addr, Method::GET, "/readyz", &[], None).await.status == 503
    })
    .await;
    let refused = fleet
        .send_completion(2, "bangor", &completion("mistral", 1, false), &[])
        .await;
    for vm in &fleet.vms[..2] {
        vm.signal_all(libc::SIGCONT);
    }
    fleet.wait_until_ready(2).await;
    let served = fleet
        .send_completion(2, "bangor", &completion("mistral", 1, false), &[])
        .await;

    assert_eq!(refused.code(), "G1401", "{refused:?}");
    assert_eq!(refused.json()["error"]["run"], json!("not_run"));
    assert_eq!(served.status, 200, "{served:?}");
}
