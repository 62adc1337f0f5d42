//! Idempotency records over a fake platform.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::ids::OrganisationName;
use guava_node::Node;
use guava_router::idempotency::RecordService;
use guava_router::{Claim, ClaimRefusal, IdempotencyRecords, Outcome, StoredAnswer};

use fakes::{STORE_DELAY, World};

mod fakes;

const KEY: &str = "order-17";
const HOURS_25: Duration = Duration::from_hours(25);

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

fn start(world: &Arc<World>, vm: &str) -> (Node, RecordService) {
    let node = world.router(vm, 1);
    let service = RecordService::start(node.clone(), b"secret");
    (node, service)
}

async fn claim(router: &(Node, RecordService), digest: &str, wait_ms: u64) -> Result<Claim, ClaimRefusal> {
    let deadline = router.0.clock.now() + wait_ms;
    router.1.claim(&organisation(), KEY, digest, deadline).await
}

async fn finish(router: &(Node, RecordService), claim: Claim, outcome: Outcome) {
    let Claim::Run { attempt } = claim else {
        panic!("not claimed: {claim:?}");
    };
    router.1.finish(&organisation(), KEY, &attempt, outcome).await;
}

fn answer(body: &[u8]) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: body.to_vec(),
    }
}

fn refused(code: Code) -> Result<Claim, ClaimRefusal> {
    Err(ClaimRefusal { code })
}

/// Guards against two routers that both run a request, with the answer to the claim lost or not.
#[tokio::test(start_paused = true)]
async fn one_of_two_routers_runs() {
    for lost in [0, 1] {
        let world = World::new(lost as u64);
        let (a, b) = (start(&world, "a"), start(&world, "b"));
        world.store.lose_answers(lost);

        let (first, second) = tokio::join!(claim(&a, "d", 500), claim(&b, "d", 500));

        let claims = [first.unwrap(), second.unwrap()];
        assert_eq!(claims.iter().filter(|it| matches!(it, Claim::Run { .. })).count(), 1);
        assert_eq!(claims.iter().filter(|it| **it == Claim::Unknown).count(), 1);
    }
}

/// Guards against a repeat through another router that does not get the stored answer, byte for byte.
#[tokio::test(start_paused = true)]
async fn repeat_gets_the_stored_answer() {
    for body in [&b"plain text"[..], &[0xff, 0x00, 0xfe]] {
        let world = World::new(10);
        let (a, b) = (start(&world, "a"), start(&world, "b"));
        let first = claim(&a, "d", 500).await.unwrap();
        let waiting = claim(&b, "d", 60_000);
        let end = async {
            tokio::time::sleep(Duration::from_secs(3)).await;
            finish(&a, first, Outcome::Answered(answer(body))).await;
        };

        let (repeat, ()) = tokio::join!(waiting, end);
        let other = claim(&b, "other", 500).await;

        assert_eq!(repeat, Ok(Claim::Replay(answer(body))));
        assert_eq!(other, refused(Code::IdempotencyConflict));
    }
}

/// Guards against a claim that is answered as refused or run while the platform is down.
#[tokio::test(start_paused = true)]
async fn platform_down_refuses() {
    let world = World::new(11);
    let a = start(&world, "a");
    world.store.set_down(true);

    let down = claim(&a, "d", 500).await;
    world.store.set_down(false);
    let up = claim(&a, "d", 500).await;

    assert_eq!(down, refused(Code::RecordUnavailable));
    assert!(matches!(up, Ok(Claim::Run { .. })));
}

/// Guards against an outcome that is lost because the platform was down when it was to be written.
#[tokio::test(start_paused = true)]
async fn outcome_is_written_after_an_outage() {
    let world = World::new(12);
    let (a, b) = (start(&world, "a"), start(&world, "b"));
    let first = claim(&a, "d", 500).await.unwrap();
    world.store.set_down(true);
    finish(&a, first, Outcome::Answered(answer(b"x"))).await;
    tokio::time::sleep(Duration::from_mins(1)).await;

    world.store.set_down(false);
    world.store.lose_answers(1);
    a.1.shutdown().await;
    let repeat = claim(&b, "d", 0).await;

    assert_eq!(repeat, Ok(Claim::Replay(answer(b"x"))));
}

/// Guards against a second run after the first claimant has ended, and against a wait for ever.
#[tokio::test(start_paused = true)]
async fn ended_claimant_leaves_an_unknown_outcome() {
    let world = World::new(13);
    let (a, b) = (start(&world, "a"), start(&world, "b"));
    claim(&a, "d", 500).await.unwrap();
    let alive = claim(&b, "d", 500).await;
    world.end(&a.0);

    let begun = b.0.clock.now();
    let ended = claim(&b, "d", 500).await;

    assert_eq!(alive, Ok(Claim::Unknown));
    assert_eq!(ended, Ok(Claim::Unknown));
    assert!(b.0.clock.now().since(begun) < 500, "proof makes waiting needless");
}

/// Guards against a key that stays blocked although nothing ran.
#[tokio::test(start_paused = true)]
async fn request_that_did_not_run_frees_the_key() {
    let world = World::new(14);
    let (a, b) = (start(&world, "a"), start(&world, "b"));
    let first = claim(&a, "d", 500).await.unwrap();
    finish(&a, first, Outcome::NotRun).await;
    let second = claim(&b, "d", 500).await.unwrap();
    finish(&b, second, Outcome::NotRun).await;

    // A caller that goes away when the record has been created, the answer was lost and it is being read back.
    world.store.lose_answers(1);
    let gone = tokio::time::timeout(STORE_DELAY * 5 / 2, claim(&a, "d", 500)).await;
    let created = world.store.objects(Kind::Idempotency).len();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let third = claim(&b, "d", 500).await;

    assert_eq!((gone.is_err(), created), (true, 1));
    assert!(matches!(third, Ok(Claim::Run { .. })));
}

/// Guards against a record that the platform cannot hold, and against a run because it could not be stored.
#[tokio::test(start_paused = true)]
async fn too_large_answer_is_an_unknown_outcome() {
    let world = World::new(15);
    let a = start(&world, "a");
    let first = claim(&a, "d", 500).await.unwrap();

    finish(&a, first, Outcome::Answered(answer(&vec![b'x'; 901_000]))).await;

    assert_eq!(claim(&a, "d", 500).await, Ok(Claim::Unknown));
}

/// Guards against keys in the platform's objects and against keys that headers cannot carry.
#[tokio::test(start_paused = true)]
async fn objects_do_not_contain_the_key() {
    let world = World::new(16);
    let a = start(&world, "a");
    claim(&a, "d", 500).await.unwrap();

    let objects = world.store.objects(Kind::Idempotency);
    let bad = a.1.claim(&organisation(), "", "d", a.0.clock.now() + 5).await;

    assert!(objects.iter().all(|it| !format!("{it:?}").contains(KEY)));
    assert_eq!(bad, refused(Code::InvalidIdempotencyKey));
}

/// Guards against records that pile up, and against one deleted while its request runs.
#[tokio::test(start_paused = true)]
async fn expired_records_are_deleted() {
    let world = World::new(17);
    let a = start(&world, "a");
    let first = claim(&a, "d", 500).await.unwrap();
    tokio::time::sleep(HOURS_25).await;
    let while_running = world.store.objects(Kind::Idempotency).len();

    finish(&a, first, Outcome::Unknown).await;
    tokio::time::sleep(Duration::from_hours(1)).await;

    assert_eq!(while_running, 1);
    assert_eq!(world.store.objects(Kind::Idempotency).len(), 0);
}
