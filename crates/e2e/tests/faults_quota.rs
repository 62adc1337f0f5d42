//! An organisation's rate and burst over all VMs together, under killed and paused routers.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Answer, Fleet, Plan, completion, key, model, organisation};
use futures::future::join_all;

/// Tokens a second of the limited organisation: slow, so that the burst decides.
const RATE: u64 = 10;
/// Tokens at once of the limited organisation.
const BURST: u64 = 400;
/// Tokens that one request reserves: four of the prompt and six of the answer.
const REQUEST: u64 = 10;

async fn limited_fleet(vms: usize) -> Fleet {
    let plan = Plan::new(vms, 1)
        .object(model("mistral", "lookup"))
        .object(organisation("powys", RATE, BURST))
        .object(key("powys"));
    let fleet = Fleet::start(&plan).await;
    for vm in 0..vms {
        let answer = fleet
            .complete(vm, "bangor", &completion("mistral", 1, false), &[])
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    // The share holders of a new organisation become known within two seconds or so.
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet
}

/// Sends requests of the limited organisation, each at the next of `vms`.
async fn send(fleet: &Fleet, vms: &[usize], count: usize) -> Vec<Answer> {
    let body = completion("mistral", 6, false);
    join_all((0..count).map(|number| fleet.complete(vms[number % vms.len()], "powys", &body, &[]))).await
}

fn served(answers: &[Answer]) -> u64 {
    answers.iter().filter(|it| it.status == 200).count() as u64 * REQUEST
}

fn bound(elapsed: Duration) -> u64 {
    BURST + (RATE as f64 * elapsed.as_secs_f64()).ceil() as u64
}

/// Guards against refusing a burst within the limit because it arrives at one VM alone.
#[tokio::test(flavor = "multi_thread")]
async fn burst_at_one_vm_is_served() {
    let fleet = limited_fleet(3).await;

    let answers = send(&fleet, &[1], (BURST / REQUEST) as usize).await;

    let refused: Vec<_> = answers.iter().filter(|it| it.status != 200).collect();
    println!("refused within burst at one VM: {} of {}", refused.len(), answers.len());
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against more than rate and burst when one organisation sends ten times its burst to all VMs.
#[tokio::test(flavor = "multi_thread")]
async fn ten_times_the_burst_at_all_vms_stays_within_the_limit() {
    let fleet = limited_fleet(3).await;
    let start = Instant::now();

    let answers = send(&fleet, &[0, 1, 2], (10 * BURST / REQUEST) as usize).await;

    let (served, bound) = (served(&answers), bound(start.elapsed()));
    println!("served {served} tokens of at most {bound}");
    assert!(served <= bound, "{served} tokens of at most {bound}");
    assert!(
        answers
            .iter()
            .filter(|it| it.status != 200)
            .all(|it| it.code() == "G1201"),
        "{answers:?}"
    );
}

/// Guards against a fresh budget after a restart: every router is killed once while the organisation sends on.
#[tokio::test(flavor = "multi_thread")]
async fn killed_quota_holders_do_not_make_budget() {
    let mut fleet = limited_fleet(3).await;
    let start = Instant::now();

    let mut total = served(&send(&fleet, &[0, 1, 2], (2 * BURST / REQUEST) as usize).await);
    for vm in 0..3 {
        fleet.vms[vm].router.kill();
        let others: Vec<_> = (0..3).filter(|it| *it != vm).collect();
        total += served(&send(&fleet, &others, (BURST / REQUEST) as usize).await);
        fleet.vms[vm].router = fleet.start_role(vm, 3, "router");
        fleet.wait_ready(vm).await;
        total += served(&send(&fleet, &[0, 1, 2], (BURST / REQUEST) as usize).await);
    }

    let bound = bound(start.elapsed());
    println!("served {total} tokens of at most {bound} over three kills");
    assert!(total <= bound, "{total} tokens of at most {bound}");
}

/// Guards against a paused router that spends tokens twice after others have gone on.
#[tokio::test(flavor = "multi_thread")]
async fn paused_quota_holder_does_not_make_budget() {
    let fleet = limited_fleet(3).await;
    let start = Instant::now();

    let mut total = served(&send(&fleet, &[0, 1, 2], (BURST / REQUEST / 2) as usize).await);
    fleet.vms[2].router.signal(libc::SIGSTOP);
    total += served(&send(&fleet, &[0, 1], (2 * BURST / REQUEST) as usize).await);
    fleet.vms[2].router.signal(libc::SIGCONT);
    total += served(&send(&fleet, &[0, 1, 2], (2 * BURST / REQUEST) as usize).await);

    let bound = bound(start.elapsed());
    println!("served {total} tokens of at most {bound} over a pause");
    assert!(total <= bound, "{total} tokens of at most {bound}");
}
