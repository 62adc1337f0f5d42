//! VMs whose link to the platform, or to everything, is cut.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, Plan, completion, model, wait_for};
use http::Method;
use serde_json::json;

/// Longest time until an accepted change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(8);

async fn warm_fleet() -> Fleet {
    let fleet = Fleet::start(&Plan::new(3, 1).object(model("mistral", "lookup"))).await;
    for vm in 0..3 {
        let answer = fleet
            .complete(vm, "bangor", &completion("mistral", 1, false), &[])
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    fleet
}

/// Guards against a VM that learns of a withdrawn key only from the platform, which it cannot reach.
#[tokio::test(flavor = "multi_thread")]
async fn vm_cut_from_the_platform_learns_of_a_withdrawal_from_peers() {
    let fleet = warm_fleet().await;
    fleet.links[2].cut();

    let withdrawn = fleet.admin(0, Method::POST, "/keys/bangor/withdraw", None, None).await;
    let start = Instant::now();
    wait_for("the cut VM refuses the key", async || {
        fleet
            .complete(2, "bangor", &completion("mistral", 1, false), &[])
            .await
            .code()
            == "G1103"
    })
    .await;

    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    println!("withdrawn key refused by the cut VM after {:?}", start.elapsed());
    assert!(start.elapsed() <= IN_FORCE, "{:?}", start.elapsed());
}

/// Guards against a VM that serves keyed requests while it cannot learn of withdrawn keys, and against one that stays
/// isolated after it has contact again.
#[tokio::test(flavor = "multi_thread")]
async fn vm_without_any_contact_refuses_until_it_has_contact_again() {
    let fleet = warm_fleet().await;
    let addr = fleet.vms[2].router_addr();
    fleet.links[2].cut();
    for vm in &fleet.vms[..2] {
        vm.signal_all(libc::SIGSTOP);
    }

    wait_for("the VM knows that it is isolated", async || {
        fleet.call(addr, Method::GET, "/readyz", &[], None).await.status == 503
    })
    .await;
    let refused = fleet.complete(2, "bangor", &completion("mistral", 1, false), &[]).await;
    for vm in &fleet.vms[..2] {
        vm.signal_all(libc::SIGCONT);
    }
    fleet.wait_ready(2).await;
    let served = fleet.complete(2, "bangor", &completion("mistral", 1, false), &[]).await;

    assert_eq!(refused.code(), "G1401", "{refused:?}");
    assert_eq!(refused.json()["error"]["run"], json!("not_run"));
    assert_eq!(served.status, 200, "{served:?}");
}
