//! Tests of the idempotency records with a fake object service.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::ids::OrganisationName;
use guava_node::Node;
use guava_router::idempotency::RecordService;
use guava_router::{Claim, ClaimRefusal, IdempotencyRecords, Outcome, StoredAnswer};

use fakes::{FakeFleet, STORE_DELAY};

mod fakes;

const KEY: &str = "order-17";
const HOURS_25: Duration = Duration::from_hours(25);

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

fn start_router(fleet: &Arc<FakeFleet>, vm: &str) -> (Node, RecordService) {
    let node = fleet.add_router(vm, 1);
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

/// Guards against two routers that claim the same key at the same time and both run the request, including if the
/// answer to one claim is lost.
#[tokio::test(start_paused = true)]
async fn only_one_of_two_concurrent_claims_may_run() {
    for lost_answers in [0, 1] {
        let fleet = FakeFleet::new(lost_answers as u64);
        let (a, b) = (start_router(&fleet, "a"), start_router(&fleet, "b"));
        fleet.store.lose_answers(lost_answers);

        let (first, second) = tokio::join!(claim(&a, "d", 500), claim(&b, "d", 500));

        let claims = [first.unwrap(), second.unwrap()];
        assert_eq!(claims.iter().filter(|it| matches!(it, Claim::Run { .. })).count(), 1);
        assert_eq!(claims.iter().filter(|it| **it == Claim::Unknown).count(), 1);
    }
}

/// Guards against a repeated request that runs again at another router, or gets other bytes than the stored answer.
#[tokio::test(start_paused = true)]
async fn repeated_request_gets_the_stored_answer() {
    for body in [&b"plain text"[..], &[0xff, 0x00, 0xfe]] {
        let fleet = FakeFleet::new(10);
        let (a, b) = (start_router(&fleet, "a"), start_router(&fleet, "b"));
        let first = claim(&a, "d", 500).await.unwrap();
        let repeated_claim = claim(&b, "d", 60_000);
        let finish_later = async {
            tokio::time::sleep(Duration::from_secs(3)).await;
            finish(&a, first, Outcome::Answered(answer(body))).await;
        };

        let (repeat, ()) = tokio::join!(repeated_claim, finish_later);
        let other_request = claim(&b, "other", 500).await;

        assert_eq!(repeat, Ok(Claim::Replay(answer(body))));
        assert_eq!(other_request, refused(Code::IdempotencyConflict));
    }
}

/// Guards against a request that may run although the object service is down and its claim cannot be stored, and against
/// a key that stays blocked after the outage.
#[tokio::test(start_paused = true)]
async fn claims_are_refused_while_the_platform_is_down() {
    let fleet = FakeFleet::new(11);
    let a = start_router(&fleet, "a");
    fleet.store.set_down(true);

    let during_outage = claim(&a, "d", 500).await;
    fleet.store.set_down(false);
    let after_outage = claim(&a, "d", 500).await;

    assert_eq!(during_outage, refused(Code::RecordUnavailable));
    assert!(matches!(after_outage, Ok(Claim::Run { .. })));
}

/// Guards against an outcome that is lost because the object service is down when the request ends.
#[tokio::test(start_paused = true)]
async fn outcome_is_written_after_an_outage() {
    let fleet = FakeFleet::new(12);
    let (a, b) = (start_router(&fleet, "a"), start_router(&fleet, "b"));
    let first = claim(&a, "d", 500).await.unwrap();
    fleet.store.set_down(true);
    finish(&a, first, Outcome::Answered(answer(b"x"))).await;
    tokio::time::sleep(Duration::from_mins(1)).await;

    fleet.store.set_down(false);
    fleet.store.lose_answers(1);
    a.1.shutdown().await;
    let repeat = claim(&b, "d", 0).await;

    assert_eq!(repeat, Ok(Claim::Replay(answer(b"x"))));
}

/// Guards against a request that runs again after the router that claimed its key has ended, and against repeats that
/// wait forever.
#[tokio::test(start_paused = true)]
async fn ended_claimant_leaves_an_unknown_outcome() {
    let fleet = FakeFleet::new(13);
    let (a, b) = (start_router(&fleet, "a"), start_router(&fleet, "b"));
    claim(&a, "d", 500).await.unwrap();
    let before_end = claim(&b, "d", 500).await;
    fleet.end_with_proof(&a.0);

    let started = b.0.clock.now();
    let after_end = claim(&b, "d", 500).await;

    assert_eq!(before_end, Ok(Claim::Unknown));
    assert_eq!(after_end, Ok(Claim::Unknown));
    assert!(
        b.0.clock.now().since(started) < 500,
        "a claimant that has provably ended must not be waited for"
    );
}

/// Guards against a key that stays claimed although its request did not run, including if the caller disconnects
/// during the claim.
#[tokio::test(start_paused = true)]
async fn request_that_did_not_run_releases_its_key() {
    let fleet = FakeFleet::new(14);
    let (a, b) = (start_router(&fleet, "a"), start_router(&fleet, "b"));
    let first = claim(&a, "d", 500).await.unwrap();
    finish(&a, first, Outcome::NotRun).await;
    let second = claim(&b, "d", 500).await.unwrap();
    finish(&b, second, Outcome::NotRun).await;

    // The caller disconnects after the record was created and its answer lost, while the record is read.
    fleet.store.lose_answers(1);
    let cancelled = tokio::time::timeout(STORE_DELAY * 5 / 2, claim(&a, "d", 500)).await;
    let record_count = fleet.store.objects(Kind::Idempotency).len();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let third = claim(&b, "d", 500).await;

    assert_eq!((cancelled.is_err(), record_count), (true, 1));
    assert!(matches!(third, Ok(Claim::Run { .. })));
}

/// Guards against an answer that exceeds the size limit of objects: it must not leave the key claimed or let the request
/// run again.
#[tokio::test(start_paused = true)]
async fn too_large_answer_is_recorded_as_unknown_outcome() {
    let fleet = FakeFleet::new(15);
    let a = start_router(&fleet, "a");
    let first = claim(&a, "d", 500).await.unwrap();

    finish(&a, first, Outcome::Answered(answer(&vec![b'x'; 901_000]))).await;

    assert_eq!(claim(&a, "d", 500).await, Ok(Claim::Unknown));
}

/// Guards against callers' keys that can be read in the object service, and against keys that headers cannot carry.
#[tokio::test(start_paused = true)]
async fn objects_do_not_contain_the_key() {
    let fleet = FakeFleet::new(16);
    let a = start_router(&fleet, "a");
    claim(&a, "d", 500).await.unwrap();

    let objects = fleet.store.objects(Kind::Idempotency);
    let invalid_key = a.1.claim(&organisation(), "", "d", a.0.clock.now() + 5).await;

    assert!(objects.iter().all(|it| !format!("{it:?}").contains(KEY)));
    assert_eq!(invalid_key, refused(Code::InvalidIdempotencyKey));
}

/// Guards against expired records that are never deleted, and against a record that is deleted while its request runs.
#[tokio::test(start_paused = true)]
async fn expired_records_are_deleted() {
    let fleet = FakeFleet::new(17);
    let a = start_router(&fleet, "a");
    let first = claim(&a, "d", 500).await.unwrap();
    tokio::time::sleep(HOURS_25).await;
    let count_while_running = fleet.store.objects(Kind::Idempotency).len();

    finish(&a, first, Outcome::Unknown).await;
    tokio::time::sleep(Duration::from_hours(1)).await;

    assert_eq!(count_while_running, 1);
    assert_eq!(fleet.store.objects(Kind::Idempotency).len(), 0);
}
