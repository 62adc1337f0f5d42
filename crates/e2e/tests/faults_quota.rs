//! Rate and burst of an organisation, summed over all VMs, while routers are killed and paused.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Answer, Fleet, FleetConfig, completion, key, model, organisation};
use futures::future::join_all;

/// Rate of the limited organisation in tokens per second; so low that mainly the burst limits the test.
const RATE: u64 = 10;
/// Burst of the limited organisation in tokens.
const BURST: u64 = 400;
/// Tokens that one request reserves: four for the prompt and six for the output.
const TOKENS_PER_REQUEST: u64 = 10;

async fn start_limited_fleet(vms: usize) -> Fleet {
    let config = FleetConfig::new(vms, 1)
        .object(model("mistral", "lookup"))
        .object(organisation("powys", RATE, BURST))
        .object(key("powys"));
    let fleet = Fleet::start(&config).await;
    for vm in 0..vms {
        let answer = fleet
            .send_completion(vm, "bangor", &completion("mistral", 1, false), &[])
            .await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    // Routers need about two seconds to learn which of them hold shares of a new organisation's quota.
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet
}

/// Sends `count` concurrent requests of the limited organisation to `vms` in turn.
async fn send_requests(fleet: &Fleet, vms: &[usize], count: usize) -> Vec<Answer> {
    let body = completion("mistral", 6, false);
    join_all((0..count).map(|number| fleet.send_completion(vms[number % vms.len()], "powys", &body, &[]))).await
}

fn served_tokens(answers: &[Answer]) -> u64 {
    answers.iter().filter(|it| it.status == 200).count() as u64 * TOKENS_PER_REQUEST
}

fn max_tokens(elapsed: Duration) -> u64 {
    BURST + (RATE as f64 * elapsed.as_secs_f64()).ceil() as u64
}

/// Guards against refusing a burst that is within the limit because all of it arrives at one VM.
#[tokio::test(flavor = "multi_thread")]
async fn burst_at_one_vm_is_served() {
    let fleet = start_limited_fleet(3).await;

    let answers = send_requests(&fleet, &[1], (BURST / TOKENS_PER_REQUEST) as usize).await;

    let refused: Vec<_> = answers.iter().filter(|it| it.status != 200).collect();
    println!(
        "refused within the burst at one VM: {} of {}",
        refused.len(),
        answers.len()
    );
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against admitting more than rate and burst allow when an organisation sends ten times its burst to all VMs.
#[tokio::test(flavor = "multi_thread")]
async fn ten_times_the_burst_at_all_vms_stays_within_the_limit() {
    let fleet = start_limited_fleet(3).await;
    let start = Instant::now();

    let answers = send_requests(&fleet, &[0, 1, 2], (10 * BURST / TOKENS_PER_REQUEST) as usize).await;

    let (tokens, limit) = (served_tokens(&answers), max_tokens(start.elapsed()));
    println!("served {tokens} tokens of at most {limit}");
    assert!(tokens <= limit, "{tokens} tokens of at most {limit}");
    assert!(
        answers
            .iter()
            .filter(|it| it.status != 200)
            .all(|it| it.code() == "G1201"),
        "{answers:?}"
    );
}

/// Guards against a restarted router that grants the full burst again: each router is killed and restarted in turn
/// while the organisation continues to send.
#[tokio::test(flavor = "multi_thread")]
async fn killed_quota_holders_do_not_make_budget() {
    let mut fleet = start_limited_fleet(3).await;
    let start = Instant::now();

    let mut total = served_tokens(&send_requests(&fleet, &[0, 1, 2], (2 * BURST / TOKENS_PER_REQUEST) as usize).await);
    for vm in 0..3 {
        fleet.vms[vm].router.kill();
        let others: Vec<_> = (0..3).filter(|it| *it != vm).collect();
        total += served_tokens(&send_requests(&fleet, &others, (BURST / TOKENS_PER_REQUEST) as usize).await);
        fleet.vms[vm].router = fleet.start_role(vm, 3, "router");
        fleet.wait_until_ready(vm).await;
        total += served_tokens(&send_requests(&fleet, &[0, 1, 2], (BURST / TOKENS_PER_REQUEST) as usize).await);
    }

    let limit = max_tokens(start.elapsed());
    println!("served {total} tokens of at most {limit} with three killed routers");
    assert!(total <= limit, "{total} tokens of at most {limit}");
}

/// Guards against a paused router that, when it resumes, grants tokens which other routers have granted in the
/// meantime.
#[tokio::test(flavor = "multi_thread")]
async fn paused_quota_holder_does_not_make_budget() {
    let fleet = start_limited_fleet(3).await;
    let start = Instant::now();

    let mut total = served_tokens(&send_requests(&fleet, &[0, 1, 2], (BURST / TOKENS_PER_REQUEST / 2) as usize).await);
    fleet.vms[2].router.signal(libc::SIGSTOP);
    total += served_tokens(&send_requests(&fleet, &[0, 1], (2 * BURST / TOKENS_PER_REQUEST) as usize).await);
    fleet.vms[2].router.signal(libc::SIGCONT);
    total += served_tokens(&send_requests(&fleet, &[0, 1, 2], (2 * BURST / TOKENS_PER_REQUEST) as usize).await);

    let limit = max_tokens(start.elapsed());
    println!("served {total} tokens of at most {limit} with a paused router");
    assert!(total <= limit, "{total} tokens of at most {limit}");
}
