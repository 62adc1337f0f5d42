//! The object service, through the trait, in process and over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::ids::OperationId;
use guava_objects::{
    Change, Expect, Faults, HttpObjectStore, MemoryObjectStore, ObjectStore, PlatformError, PlatformFront, RateLimit,
    StandInPlatform, put_with_readback, serve_platform,
};
use rstest::rstest;
use serde_json::json;

/// Long enough that a test only reaches it by failing.
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
enum Via {
    Process,
    Http,
}

struct Fixture {
    store: Arc<dyn ObjectStore>,
    standin: StandInPlatform,
    front: Option<PlatformFront>,
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn fixture(via: Via) -> Fixture {
    fixture_with(via, MemoryObjectStore::new())
}

fn fixture_with(via: Via, objects: MemoryObjectStore) -> Fixture {
    let standin = StandInPlatform {
        objects: Arc::new(objects),
        ..StandInPlatform::new()
    };
    match via {
        Via::Process => Fixture {
            store: Arc::<MemoryObjectStore>::clone(&standin.objects),
            standin,
            front: None,
        },
        Via::Http => {
            let front = serve_platform(&standin, loopback(), 1).unwrap();
            Fixture {
                store: Arc::new(HttpObjectStore::new(front.addr())),
                standin,
                front: Some(front),
            }
        }
    }
}

fn op(text: &str) -> OperationId {
    OperationId::new(text)
}

/// Guards against writes that ignore their condition and against versions that do not grow over all objects.
#[rstest]
#[tokio::test]
async fn writes_are_conditional(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via);
    let name = "org/model:a-1";

    let first = it
        .store
        .put(Kind::Model, name, &json!({"n": 1}), Expect::Absent, &op("a"))
        .await
        .unwrap();
    let other = it
        .store
        .put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("b"))
        .await
        .unwrap();
    let again = it
        .store
        .put(Kind::Model, name, &json!({"n": 2}), Expect::Absent, &op("c"))
        .await;
    let stale = it
        .store
        .put(Kind::Model, name, &json!({"n": 2}), Expect::Version(other), &op("d"))
        .await;
    let missing = it
        .store
        .put(Kind::Model, "none", &json!({}), Expect::Version(1), &op("e"))
        .await;
    let second = it
        .store
        .put(Kind::Model, name, &json!({"n": 3}), Expect::Version(first), &op("f"))
        .await
        .unwrap();
    let object = it.store.get(Kind::Model, name).await.unwrap().unwrap();
    let list = it.store.list(Kind::Model).await.unwrap();

    assert!(first < other && other < second);
    assert_eq!(again, Err(PlatformError::Conflict(Some(first))));
    assert_eq!(stale, Err(PlatformError::Conflict(Some(first))));
    assert_eq!(missing, Err(PlatformError::Conflict(None)));
    assert_eq!((object.version, object.operation.as_str()), (second, "f"));
    assert_eq!((object.name.as_str(), &object.spec), (name, &json!({"n": 3})));
    assert_eq!(list.version, second);
    assert_eq!(list.items, vec![object]);
}

/// Guards against a deletion of an object that somebody has changed.
#[rstest]
#[tokio::test]
async fn deletion_needs_the_current_version(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via);
    let version = it
        .store
        .put(Kind::Key, "k", &json!({}), Expect::Absent, &op("a"))
        .await
        .unwrap();

    let wrong = it.store.delete(Kind::Key, "k", version + 7).await;
    let right = it.store.delete(Kind::Key, "k", version).await.unwrap();
    let repeated = it.store.delete(Kind::Key, "k", version).await;

    assert_eq!(wrong, Err(PlatformError::Conflict(Some(version))));
    assert!(right > version);
    assert_eq!(repeated, Err(PlatformError::Conflict(None)));
    assert_eq!(it.store.get(Kind::Key, "k").await, Ok(None));
}

/// Guards against missed, repeated and foreign changes in a watch.
#[rstest]
#[tokio::test]
async fn watch_reports_changes_after_its_start(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via);
    let start = it
        .store
        .put(Kind::Route, "old", &json!({}), Expect::Absent, &op("a"))
        .await
        .unwrap();
    let quiet = it.store.watch(Kind::Route, start, SHORT).await.unwrap();
    let store = Arc::clone(&it.store);
    let waiting = tokio::spawn(async move { store.watch(Kind::Route, start, LONG).await });

    it.store
        .put(Kind::Pool, "other", &json!({}), Expect::Absent, &op("b"))
        .await
        .unwrap();
    let put = it
        .store
        .put(Kind::Route, "new", &json!({"x": 1}), Expect::Absent, &op("c"))
        .await
        .unwrap();
    let seen = waiting.await.unwrap().unwrap();
    let deleted = it.store.delete(Kind::Route, "new", put).await.unwrap();
    let after = it.store.watch(Kind::Route, put, LONG).await.unwrap();

    assert_eq!(quiet, vec![]);
    let Change::Put(object) = &seen[0] else {
        panic!("expected a write, saw {seen:?}")
    };
    assert_eq!(
        (object.name.as_str(), object.version, object.operation.as_str()),
        ("new", put, "c")
    );
    let expected = Change::Deleted {
        kind: Kind::Route,
        name: "new".to_owned(),
        version: deleted,
    };
    assert_eq!(after, vec![expected]);
}

/// Guards against a watch that silently skips changes which are no longer kept.
#[rstest]
#[tokio::test]
async fn watch_from_a_forgotten_version_expires(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture_with(via, MemoryObjectStore::new().with_history_limit(2));
    for name in ["a", "b", "c", "d"] {
        it.store
            .put(Kind::Route, name, &json!({}), Expect::Absent, &op(name))
            .await
            .unwrap();
    }

    let forgotten = it.store.watch(Kind::Route, 1, SHORT).await;
    let kept = it.store.watch(Kind::Route, 2, SHORT).await.unwrap();

    assert_eq!(forgotten, Err(PlatformError::Expired));
    assert_eq!(kept.len(), 2);
}

/// Guards against taking a write with a lost answer for one without effect.
#[rstest]
#[tokio::test]
async fn lost_answer_is_read_back_by_operation_id(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via);
    let lose = |n| Faults {
        lose_next_writes: n,
        ..Faults::default()
    };

    it.standin.objects.set_faults(lose(1));
    let lost = it
        .store
        .put(Kind::Plan, "p", &json!({"n": 1}), Expect::Absent, &op("a"))
        .await;
    let object = it.store.get(Kind::Plan, "p").await.unwrap().unwrap();
    it.standin.objects.set_faults(lose(1));
    let expect = Expect::Version(object.version);
    let recovered = put_with_readback(&*it.store, Kind::Plan, "p", &json!({"n": 2}), expect, &op("b"))
        .await
        .unwrap();
    let beaten = put_with_readback(&*it.store, Kind::Plan, "p", &json!({"n": 3}), expect, &op("c")).await;

    assert!(matches!(lost, Err(PlatformError::OutcomeUnknown(_))), "{lost:?}");
    assert_eq!(object.operation.as_str(), "a");
    assert_eq!(it.store.get(Kind::Plan, "p").await.unwrap().unwrap().version, recovered);
    assert_eq!(beaten, Err(PlatformError::Conflict(Some(recovered))));
}

/// Guards against an outage that lets calls through or looks like an unknown outcome.
#[rstest]
#[tokio::test]
async fn outage_refuses_calls_without_effect(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via);
    let store = Arc::clone(&it.store);
    let watching = tokio::spawn(async move { store.watch(Kind::Job, 0, LONG).await });

    it.standin.objects.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = it.store.put(Kind::Job, "j", &json!({}), Expect::Absent, &op("a")).await;
    let watch = watching.await.unwrap();
    it.standin.objects.set_faults(Faults::default());

    assert!(matches!(refused, Err(PlatformError::Unavailable(_))), "{refused:?}");
    assert!(matches!(watch, Err(PlatformError::Unavailable(_))), "{watch:?}");
    assert_eq!(it.store.get(Kind::Job, "j").await, Ok(None));
}

/// Guards against limits that are not enforced or not told apart.
#[rstest]
#[tokio::test]
async fn limits_are_enforced(#[values(Via::Process, Via::Http)] via: Via) {
    let limit = RateLimit {
        reads_per_second: 0.0,
        writes_per_second: 2.0,
    };
    let it = fixture_with(via, MemoryObjectStore::new().with_rate_limit(limit));
    let large = json!("x".repeat(1_000_001));

    let too_large = it.store.put(Kind::Job, "j", &large, Expect::Absent, &op("a")).await;
    let read = it.store.get(Kind::Job, "j").await;

    assert_eq!(too_large, Err(PlatformError::TooLarge));
    assert_eq!(read, Err(PlatformError::RateLimited));
    assert_eq!(it.standin.objects.counts().get, 1);
    assert_eq!(it.standin.objects.counts().put, 1);
}

/// Guards against stale reads and stalled watches that show the newest state after all.
#[rstest]
#[tokio::test]
async fn stale_reads_and_stalled_watches_show_old_state(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via);
    let stale = Faults {
        stale_reads_ms: 600_000,
        watch_stall: true,
        ..Faults::default()
    };
    let version = it
        .store
        .put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("a"))
        .await
        .unwrap();

    it.standin.objects.set_faults(stale);
    let old = it.store.get(Kind::Pool, "p").await;
    let old_list = it.store.list(Kind::Pool).await.unwrap();
    let stalled = it.store.watch(Kind::Pool, 0, SHORT).await;
    it.standin.objects.set_faults(Faults::default());
    let new_list = it.store.list(Kind::Pool).await.unwrap();

    assert_eq!(old, Ok(None));
    assert_eq!((old_list.version, old_list.items.len()), (0, 0));
    assert_eq!(stalled, Ok(vec![]));
    assert_eq!((new_list.version, new_list.items.len()), (version, 1));
}

/// Guards against reporting a call that was never sent as one with an unknown outcome, and the reverse.
#[tokio::test]
async fn unsent_and_unanswered_calls_are_told_apart() {
    let closed = std::net::TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
    let silent = std::net::TcpListener::bind(loopback()).unwrap();
    let unsent = HttpObjectStore::new(closed);
    let unanswered = HttpObjectStore::new(silent.local_addr().unwrap());

    let refused = unsent.put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("a")).await;
    let unknown = unanswered
        .put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("a"))
        .await;

    assert!(matches!(refused, Err(PlatformError::Unavailable(_))), "{refused:?}");
    assert!(matches!(unknown, Err(PlatformError::OutcomeUnknown(_))), "{unknown:?}");
}

/// Guards against random losses that a seed does not repeat, and against losses without effect.
#[tokio::test]
async fn random_losses_repeat_with_their_seed() {
    let lost_of = async |seed| {
        let it = fixture(Via::Process);
        it.standin.objects.set_faults(Faults {
            lose_write_probability: 0.5,
            seed,
            ..Faults::default()
        });
        let mut lost = Vec::new();
        for n in 0..40 {
            let name = n.to_string();
            let put = it
                .store
                .put(Kind::Job, &name, &json!({}), Expect::Absent, &op("a"))
                .await;
            lost.push(put.is_err());
        }
        assert_eq!(it.store.list(Kind::Job).await.unwrap().items.len(), 40);
        lost
    };

    let (first, again, other) = (lost_of(7).await, lost_of(7).await, lost_of(8).await);

    assert_eq!(first, again);
    assert_ne!(first, other);
}

/// Guards against a stopped front that goes on answering on open connections.
#[tokio::test]
async fn stopped_front_closes_its_connections() {
    let mut it = fixture(Via::Http);
    it.store.get(Kind::Job, "j").await.unwrap();

    if let Some(front) = it.front.take() {
        front.stop();
    }
    // The first call may be written to the pooled connection before its end is seen.
    let pooled = it.store.put(Kind::Job, "j", &json!({}), Expect::Absent, &op("a")).await;
    let fresh = it.store.put(Kind::Job, "j", &json!({}), Expect::Absent, &op("b")).await;

    let failed = matches!(
        pooled,
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Unavailable(_))
    );
    assert!(failed, "{pooled:?}");
    assert!(matches!(fresh, Err(PlatformError::Unavailable(_))), "{fresh:?}");
    assert_eq!(it.standin.objects.counts().put, 0);
}
