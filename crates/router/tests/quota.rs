//! Tests of the quota service with fakes of the other routers' RPC and of the object service.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::quota::ShareMap;
use guava_core::units::Millis;
use guava_node::Node;
use guava_router::Quota;
use guava_router::quota::QuotaService;

use fakes::{FakeFleet, STORE_DELAY};

mod fakes;

const RATE: u64 = 1_000;
const BURST: u64 = 4_000;

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

fn configure(fleet: &FakeFleet, rate: u64, burst: u64, sequence: u64) {
    let spec = serde_json::json!({"name": "mill", "rate": rate, "burst": burst});
    fleet.configure(Kind::Organisation, "mill", &spec, sequence);
}

fn start_router(fleet: &Arc<FakeFleet>, vm: &str, incarnation: u64) -> (Node, Arc<QuotaService>) {
    let node = fleet.add_router(vm, incarnation);
    let service = QuotaService::start(node.clone());
    fleet.serve_rpc(&node, service.rpc().unwrap());
    (node, service)
}

/// Configures the organisation, starts three routers and waits until they hold the shares.
async fn start_three_routers(fleet: &Arc<FakeFleet>) -> Vec<(Node, Arc<QuotaService>)> {
    configure(fleet, RATE, BURST, 1);
    let nodes: Vec<_> = ["a", "b", "c"].iter().map(|vm| fleet.add_router(vm, 1)).collect();
    let mut routers = Vec::new();
    for node in nodes {
        let service = QuotaService::start(node.clone());
        fleet.serve_rpc(&node, service.rpc().unwrap());
        routers.push((node, service));
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    routers
}

/// Makes `attempts` reservations one after another and returns the sum of the tokens granted.
async fn reserve_repeatedly(node: &Node, service: &QuotaService, prefix: &str, tokens: u64, attempts: u64) -> u64 {
    let mut admitted = 0;
    for number in 0..attempts {
        let request = RequestId::new(format!("{prefix}{number}"));
        let deadline = node.clock.now() + 200;
        if service
            .reserve(&organisation(), &request, tokens, deadline)
            .await
            .is_ok()
        {
            admitted += tokens;
        }
    }
    admitted
}

fn stored_map(fleet: &FakeFleet) -> ShareMap {
    let objects = fleet.store.objects(Kind::Shares);
    serde_json::from_value(objects[0].spec.clone()).unwrap()
}

/// Guards against a burst that is within the limits but refused because all of it arrives at one router.
#[tokio::test(start_paused = true)]
async fn burst_at_one_router_is_served() {
    let fleet = FakeFleet::new(1);
    let routers = start_three_routers(&fleet).await;
    let (node, service) = &routers[2];
    let (mill, small) = (organisation(), RequestId::new("small"));

    let immediate = service.reserve(&mill, &small, 100, node.clock.now()).now_or_never();
    service.settle(&small, 0);
    let whole_burst = service
        .reserve(
            &organisation(),
            &RequestId::new("whole"),
            BURST,
            node.clock.now() + 1_000,
        )
        .await;
    let started = node.clock.now();
    let refusal = service
        .reserve(
            &organisation(),
            &RequestId::new("more"),
            BURST,
            node.clock.now() + 1_000,
        )
        .await
        .unwrap_err();

    assert_eq!(
        immediate,
        Some(Ok(())),
        "a reservation from a local share must not wait"
    );
    assert_eq!(whole_burst, Ok(()));
    assert_eq!(refusal.code, Code::RateExceeded);
    assert_eq!(refusal.limit, RATE);
    assert!(refusal.remaining < BURST);
    assert!(refusal.retry_after_ms.is_some_and(|it| it > 1_000));
    assert!(
        node.clock.now().since(started) <= 1_000,
        "a reservation that cannot be covered must be refused early"
    );
}

/// Guards against granting more than the limits, and against losing tokens, when calls between routers are lost or
/// delivered twice.
#[tokio::test(start_paused = true)]
async fn lost_and_repeated_calls_do_not_change_the_limit() {
    let fleet = FakeFleet::new(2);
    let routers = start_three_routers(&fleet).await;
    fleet.lose_calls(0.4);
    let started = routers[0].0.clock.now();

    let tasks = routers.iter().enumerate().map(|(at, (node, service))| async move {
        reserve_repeatedly(node, service, &format!("{at}-"), 50, 300).await
    });
    let admitted: u64 = futures::future::join_all(tasks).await.into_iter().sum();

    let elapsed = routers[0].0.clock.now().since(started);
    let limit = BURST + RATE * elapsed / 1_000;
    println!("admitted {admitted} of {limit} in {elapsed} ms with lost and repeated calls");
    assert!(admitted <= limit, "{admitted} > {limit}");
    assert!(admitted * 2 > limit, "{admitted} of {limit}: tokens are lost");
}

/// Guards against a settlement that returns tokens twice, and against tokens that stay reserved for a caller that has
/// cancelled.
#[tokio::test(start_paused = true)]
async fn settlement_and_cancellation_return_tokens_once() {
    let fleet = FakeFleet::new(3);
    let routers = start_three_routers(&fleet).await;
    let (node, service) = &routers[0];
    let deadline = node.clock.now() + 10_000;
    let (mill, cancelled) = (organisation(), RequestId::new("c"));
    // The reservation needs two rounds of calls of 1 ms each, so it is cancelled while tokens are being transferred.
    let reservation = service.reserve(&mill, &cancelled, BURST, deadline);
    tokio::time::timeout(Duration::from_millis(1), reservation)
        .await
        .unwrap_err();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let request = RequestId::new("r");
    service.reserve(&mill, &request, BURST, deadline).await.unwrap();

    service.settle(&request, 0);
    service.settle(&request, 0);
    service.settle(&RequestId::new("unknown"), 0);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let started = node.clock.now();
    let admitted = reserve_repeatedly(node, service, "d", 100, 100).await;

    let limit = BURST + RATE * node.clock.now().since(started) / 1_000;
    assert!(admitted <= limit, "{admitted} > {limit}");
    assert!(
        admitted >= BURST - 100,
        "{admitted}: the unused tokens were not returned"
    );
}

/// Guards against a share that starts with tokens after its holder was killed, although the holder may have granted
/// them, and against shares that nobody takes over.
#[tokio::test(start_paused = true)]
async fn share_is_taken_over_only_if_its_holder_has_provably_ended() {
    let fleet = FakeFleet::new(4);
    let routers = start_three_routers(&fleet).await;
    let holder = stored_map(&fleet).shares[0].holder.clone();
    let at = routers
        .iter()
        .position(|(node, _)| node.members.me().id == holder.member)
        .unwrap();
    let (killed, other) = (&routers[at], &routers[(at + 1) % 3]);
    killed.1.abort();
    tokio::time::sleep(Duration::from_secs(30)).await;
    let before = stored_map(&fleet);

    fleet.end_with_proof(&killed.0);
    fleet.store.lose_answers(1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started = other.0.clock.now();
    let admitted = reserve_repeatedly(&other.0, &other.1, "k", 50, 60).await;

    let after = stored_map(&fleet);
    assert_eq!(before.shares[0].holder, holder, "no proof, no take-over");
    assert!(after.shares.iter().all(|it| it.holder != holder));
    let limit = BURST + RATE * other.0.clock.now().since(started) / 1_000;
    assert!(
        admitted < limit,
        "{admitted}: a share that was taken over started with tokens"
    );
    assert!(admitted > 0);
}

/// Guards against tokens that are lost in a graceful shutdown, and against a share that both routers use.
#[tokio::test(start_paused = true)]
async fn shutdown_hands_over_shares_with_their_tokens() {
    let fleet = FakeFleet::new(5);
    let routers = start_three_routers(&fleet).await;
    let holder = stored_map(&fleet).shares[0].holder.clone();
    let at = routers
        .iter()
        .position(|(node, _)| node.members.me().id == holder.member)
        .unwrap();
    let (leaving, other) = (&routers[at], &routers[(at + 1) % 3]);
    fleet.store.lose_answers(1);

    leaving.1.shutdown().await;
    fleet.end_with_proof(&leaving.0);
    let started = other.0.clock.now();
    let admitted = reserve_repeatedly(&other.0, &other.1, "h", 100, 60).await;

    assert!(stored_map(&fleet).shares.iter().all(|it| it.holder != holder));
    let limit = BURST + RATE * other.0.clock.now().since(started) / 1_000;
    assert!(admitted <= limit, "{admitted} > {limit}");
    assert!(admitted >= BURST - 100, "{admitted}: tokens were lost");
}

/// Guards against reservations that fail while the object service is down, and against a change of limits that is not
/// applied meanwhile.
#[tokio::test(start_paused = true)]
async fn limits_change_during_a_platform_outage() {
    let fleet = FakeFleet::new(6);
    let routers = start_three_routers(&fleet).await;
    fleet.store.set_down(true);
    configure(&fleet, RATE, 400, 2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (node, service) = &routers[1];

    let too_large = service
        .reserve(&organisation(), &RequestId::new("x"), 401, Millis(u64::MAX))
        .await
        .unwrap_err();
    let started = node.clock.now();
    let admitted = reserve_repeatedly(node, service, "p", 20, 40).await;

    assert_eq!(too_large.code, Code::RequestExceedsBurst);
    let limit = 400 + RATE * node.clock.now().since(started) / 1_000;
    assert!(admitted <= limit, "{admitted} > {limit}");
    assert!(admitted >= 380);
}

/// Guards against a restarted router that does not take over the shares of its earlier incarnation, or starts them with
/// tokens.
#[tokio::test(start_paused = true)]
async fn restarted_router_takes_over_its_shares_without_tokens() {
    let fleet = FakeFleet::new(7);
    configure(&fleet, RATE, BURST, 1);
    let (_node, first_service) = start_router(&fleet, "a", 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    first_service.abort();

    let (node, second_service) = start_router(&fleet, "a", 2);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let early = second_service
        .reserve(&organisation(), &RequestId::new("e"), BURST, node.clock.now() + 50)
        .await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    let late = second_service
        .reserve(&organisation(), &RequestId::new("l"), BURST, node.clock.now() + 50)
        .await;

    assert_eq!(early.unwrap_err().code, Code::RateExceeded);
    assert_eq!(late, Ok(()));
}

/// Guards against a refusal with `RateExceeded` when no share holder is known.
#[tokio::test(start_paused = true)]
async fn reservation_without_known_holder_is_refused_as_unavailable() {
    let fleet = FakeFleet::new(8);
    fleet.store.set_down(true);
    configure(&fleet, RATE, BURST, 1);
    let (node, service) = start_router(&fleet, "a", 1);

    let refusal = service
        .reserve(&organisation(), &RequestId::new("r"), 10, node.clock.now() + 1_000)
        .await
        .unwrap_err();

    assert_eq!(refusal.code, Code::QuotaUnavailable);
}

/// Guards against a share that is used by two routers because the write of a hand-over took effect, but its answer was
/// lost and the previous holder cannot read the map.
#[tokio::test(start_paused = true)]
async fn share_stays_frozen_while_the_outcome_of_its_hand_over_is_unknown() {
    let fleet = FakeFleet::new(9);
    let routers = start_three_routers(&fleet).await;
    let held = |node: &Node| {
        let map = stored_map(&fleet);
        let holders = map.shares.iter().filter(|it| it.holder.member == node.members.me().id);
        holders.count()
    };
    let (node, service) = routers.iter().find(|(node, _)| held(node) == 1).unwrap();
    fleet.store.lose_answers(1);
    let outage = async {
        tokio::time::sleep(STORE_DELAY * 3 / 2).await;
        fleet.store.set_down(true);
    };

    tokio::join!(service.shutdown(), outage);
    let admitted = reserve_repeatedly(node, service, "u", 50, 10).await;

    assert_eq!(held(node), 0, "the write took effect");
    assert_eq!(admitted, 0, "another router may use the share");
}

/// Guards against a check that is skipped because the last one found nothing to do, although a router has joined or a
/// holder is proved to have ended without a change of the live routers.
#[tokio::test(start_paused = true)]
async fn shares_move_after_a_period_without_changes() {
    let fleet = FakeFleet::new(11);
    let mut routers = start_three_routers(&fleet).await;
    tokio::time::sleep(Duration::from_mins(1)).await;
    let before = stored_map(&fleet);

    let joined_routers: Vec<_> = ["d", "e", "f", "g", "h"]
        .iter()
        .map(|vm| start_router(&fleet, vm, 1))
        .collect();
    routers.extend(joined_routers);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let early = stored_map(&fleet);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let moved = stored_map(&fleet);

    let ended_holder = moved.shares[0].holder.clone();
    let at = routers
        .iter()
        .position(|(node, _)| node.members.me().id == ended_holder.member);
    let killed = routers.swap_remove(at.unwrap());
    killed.1.abort();
    fleet.remove_from_live(&killed.0);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let unproved = stored_map(&fleet);
    fleet.end_with_proof(&killed.0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let proved = stored_map(&fleet);

    assert_eq!(
        early, before,
        "a share was handed over before the new plan had been stable"
    );
    assert_ne!(moved, before, "the routers that joined hold no share");
    assert_eq!(unproved.shares[0].holder, ended_holder, "no proof, no take-over");
    assert!(proved.shares.iter().all(|it| it.holder != ended_holder));
}
