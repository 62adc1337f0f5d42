//! Tests of the object service through its trait, in process and over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::ids::OperationId;
use guava_objects::{
    Change, Expect, Faults, HttpObjectStore, MemoryObjectStore, ObjectStore, PlatformError, PlatformServer, RateLimit,
    StandInPlatform, put_with_readback, serve_platform,
};
use rstest::rstest;
use serde_json::json;

/// Timeout of watches that must report a change; only a failing test waits for it.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of watches that are not expected to wait for a change.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// How a test calls the object service.
#[derive(Debug, Clone, Copy)]
enum Access {
    InProcess,
    Http,
}

struct Fixture {
    store: Arc<dyn ObjectStore>,
    standin: StandInPlatform,
    server: Option<PlatformServer>,
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn fixture(access: Access) -> Fixture {
    fixture_with(access, MemoryObjectStore::new())
}

fn fixture_with(access: Access, objects: MemoryObjectStore) -> Fixture {
    let standin = StandInPlatform {
        objects: Arc::new(objects),
        ..StandInPlatform::new()
    };
    match access {
        Access::InProcess => Fixture {
            store: Arc::<MemoryObjectStore>::clone(&standin.objects),
            standin,
            server: None,
        },
        Access::Http => {
            let server = serve_platform(&standin, loopback(), 1).unwrap();
            Fixture {
                store: Arc::new(HttpObjectStore::new(server.addr())),
                standin,
                server: Some(server),
            }
        }
    }
}

fn op(text: &str) -> OperationId {
    OperationId::new(text)
}

/// Guards against writes that ignore their precondition and against versions that do not increase across all objects.
#[rstest]
#[tokio::test]
async fn writes_are_conditional(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture(access);
    let name = "org/model:a-1";

    let first = fixture
        .store
        .put(Kind::Model, name, &json!({"n": 1}), Expect::Absent, &op("a"))
        .await
        .unwrap();
    let other = fixture
        .store
        .put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("b"))
        .await
        .unwrap();
    let repeated = fixture
        .store
        .put(Kind::Model, name, &json!({"n": 2}), Expect::Absent, &op("c"))
        .await;
    let stale = fixture
        .store
        .put(Kind::Model, name, &json!({"n": 2}), Expect::Version(other), &op("d"))
        .await;
    let missing = fixture
        .store
        .put(Kind::Model, "none", &json!({}), Expect::Version(1), &op("e"))
        .await;
    let second = fixture
        .store
        .put(Kind::Model, name, &json!({"n": 3}), Expect::Version(first), &op("f"))
        .await
        .unwrap();
    let object = fixture.store.get(Kind::Model, name).await.unwrap().unwrap();
    let list = fixture.store.list(Kind::Model).await.unwrap();

    assert!(first < other && other < second);
    assert_eq!(repeated, Err(PlatformError::Conflict(Some(first))));
    assert_eq!(stale, Err(PlatformError::Conflict(Some(first))));
    assert_eq!(missing, Err(PlatformError::Conflict(None)));
    assert_eq!((object.version, object.operation.as_str()), (second, "f"));
    assert_eq!((object.name.as_str(), &object.spec), (name, &json!({"n": 3})));
    assert_eq!(list.version, second);
    assert_eq!(list.items, vec![object]);
}

/// Guards against the deletion of an object that has changed since it was read.
#[rstest]
#[tokio::test]
async fn deletion_needs_the_current_version(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture(access);
    let version = fixture
        .store
        .put(Kind::Key, "k", &json!({}), Expect::Absent, &op("a"))
        .await
        .unwrap();

    let wrong = fixture.store.delete(Kind::Key, "k", version + 7).await;
    let right = fixture.store.delete(Kind::Key, "k", version).await.unwrap();
    let repeated = fixture.store.delete(Kind::Key, "k", version).await;

    assert_eq!(wrong, Err(PlatformError::Conflict(Some(version))));
    assert!(right > version);
    assert_eq!(repeated, Err(PlatformError::Conflict(None)));
    assert_eq!(fixture.store.get(Kind::Key, "k").await, Ok(None));
}

/// Guards against a watch that misses changes, repeats them or reports those of another kind.
#[rstest]
#[tokio::test]
async fn watch_reports_changes_after_its_start(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture(access);
    let start = fixture
        .store
        .put(Kind::Route, "old", &json!({}), Expect::Absent, &op("a"))
        .await
        .unwrap();
    let unchanged = fixture.store.watch(Kind::Route, start, SHORT_TIMEOUT).await.unwrap();
    let store = Arc::clone(&fixture.store);
    let waiting = tokio::spawn(async move { store.watch(Kind::Route, start, LONG_TIMEOUT).await });

    fixture
        .store
        .put(Kind::Pool, "other", &json!({}), Expect::Absent, &op("b"))
        .await
        .unwrap();
    let put = fixture
        .store
        .put(Kind::Route, "new", &json!({"x": 1}), Expect::Absent, &op("c"))
        .await
        .unwrap();
    let reported = waiting.await.unwrap().unwrap();
    let deleted = fixture.store.delete(Kind::Route, "new", put).await.unwrap();
    let after = fixture.store.watch(Kind::Route, put, LONG_TIMEOUT).await.unwrap();

    assert_eq!(unchanged, vec![]);
    let Change::Put(object) = &reported[0] else {
        panic!("expected a write, the watch reported {reported:?}")
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

/// Guards against a watch that silently skips changes that the store no longer has.
#[rstest]
#[tokio::test]
async fn watch_from_a_dropped_version_expires(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture_with(access, MemoryObjectStore::new().with_history_limit(2));
    for name in ["a", "b", "c", "d"] {
        fixture
            .store
            .put(Kind::Route, name, &json!({}), Expect::Absent, &op(name))
            .await
            .unwrap();
    }

    let expired = fixture.store.watch(Kind::Route, 1, SHORT_TIMEOUT).await;
    let kept = fixture.store.watch(Kind::Route, 2, SHORT_TIMEOUT).await.unwrap();

    assert_eq!(expired, Err(PlatformError::Expired));
    assert_eq!(kept.len(), 2);
}

/// Guards against treating a write whose answer was lost as one without effect.
#[rstest]
#[tokio::test]
async fn lost_answer_is_read_back_by_operation_id(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture(access);
    let lose_next = |n| Faults {
        lose_next_writes: n,
        ..Faults::default()
    };

    fixture.standin.objects.set_faults(lose_next(1));
    let lost = fixture
        .store
        .put(Kind::Plan, "p", &json!({"n": 1}), Expect::Absent, &op("a"))
        .await;
    let object = fixture.store.get(Kind::Plan, "p").await.unwrap().unwrap();
    fixture.standin.objects.set_faults(lose_next(1));
    let expect = Expect::Version(object.version);
    let recovered = put_with_readback(&*fixture.store, Kind::Plan, "p", &json!({"n": 2}), expect, &op("b"))
        .await
        .unwrap();
    let superseded = put_with_readback(&*fixture.store, Kind::Plan, "p", &json!({"n": 3}), expect, &op("c")).await;

    assert!(matches!(lost, Err(PlatformError::OutcomeUnknown(_))), "{lost:?}");
    assert_eq!(object.operation.as_str(), "a");
    assert_eq!(
        fixture.store.get(Kind::Plan, "p").await.unwrap().unwrap().version,
        recovered
    );
    assert_eq!(superseded, Err(PlatformError::Conflict(Some(recovered))));
}

/// Guards against calls that succeed during an outage or fail with an unknown outcome.
#[rstest]
#[tokio::test]
async fn outage_refuses_calls_without_effect(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture(access);
    let store = Arc::clone(&fixture.store);
    let watching = tokio::spawn(async move { store.watch(Kind::Job, 0, LONG_TIMEOUT).await });

    fixture.standin.objects.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = fixture
        .store
        .put(Kind::Job, "j", &json!({}), Expect::Absent, &op("a"))
        .await;
    let watch = watching.await.unwrap();
    fixture.standin.objects.set_faults(Faults::default());

    assert!(matches!(refused, Err(PlatformError::Unavailable(_))), "{refused:?}");
    assert!(matches!(watch, Err(PlatformError::Unavailable(_))), "{watch:?}");
    assert_eq!(fixture.store.get(Kind::Job, "j").await, Ok(None));
}

/// Guards against limits of size and rate that are not enforced or not distinguished.
#[rstest]
#[tokio::test]
async fn limits_are_enforced(#[values(Access::InProcess, Access::Http)] access: Access) {
    let limit = RateLimit {
        reads_per_second: 0.0,
        writes_per_second: 2.0,
    };
    let fixture = fixture_with(access, MemoryObjectStore::new().with_rate_limit(limit));
    let large = json!("x".repeat(1_000_001));

    let too_large = fixture
        .store
        .put(Kind::Job, "j", &large, Expect::Absent, &op("a"))
        .await;
    let read = fixture.store.get(Kind::Job, "j").await;

    assert_eq!(too_large, Err(PlatformError::TooLarge));
    assert_eq!(read, Err(PlatformError::RateLimited));
    assert_eq!(fixture.standin.objects.counts().get, 1);
    assert_eq!(fixture.standin.objects.counts().put, 1);
}

/// Guards against stale reads and stalled watches that show the current state although the faults are set.
#[rstest]
#[tokio::test]
async fn stale_reads_and_stalled_watches_show_old_state(#[values(Access::InProcess, Access::Http)] access: Access) {
    let fixture = fixture(access);
    let stale = Faults {
        stale_reads_ms: 600_000,
        watch_stall: true,
        ..Faults::default()
    };
    let version = fixture
        .store
        .put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("a"))
        .await
        .unwrap();

    fixture.standin.objects.set_faults(stale);
    let old = fixture.store.get(Kind::Pool, "p").await;
    let old_list = fixture.store.list(Kind::Pool).await.unwrap();
    let stalled = fixture.store.watch(Kind::Pool, 0, SHORT_TIMEOUT).await;
    fixture.standin.objects.set_faults(Faults::default());
    let new_list = fixture.store.list(Kind::Pool).await.unwrap();

    assert_eq!(old, Ok(None));
    assert_eq!((old_list.version, old_list.items.len()), (0, 0));
    assert_eq!(stalled, Ok(vec![]));
    assert_eq!((new_list.version, new_list.items.len()), (version, 1));
}

/// Guards against reporting a call that was never sent as one with an unknown outcome, or the reverse.
#[tokio::test]
async fn unsent_and_unanswered_calls_are_distinguished() {
    let unused_addr = std::net::TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
    let silent_listener = std::net::TcpListener::bind(loopback()).unwrap();
    let unsent = HttpObjectStore::new(unused_addr);
    let unanswered = HttpObjectStore::new(silent_listener.local_addr().unwrap());

    let refused = unsent.put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("a")).await;
    let unknown = unanswered
        .put(Kind::Pool, "p", &json!({}), Expect::Absent, &op("a"))
        .await;

    assert!(matches!(refused, Err(PlatformError::Unavailable(_))), "{refused:?}");
    assert!(matches!(unknown, Err(PlatformError::OutcomeUnknown(_))), "{unknown:?}");
}

/// Guards against random losses of answers that differ between runs with the same seed, and against lost writes that
/// take no effect.
#[tokio::test]
async fn random_losses_repeat_with_their_seed() {
    let losses_with = async |seed| {
        let fixture = fixture(Access::InProcess);
        fixture.standin.objects.set_faults(Faults {
            lose_write_probability: 0.5,
            seed,
            ..Faults::default()
        });
        let mut lost = Vec::new();
        for n in 0..40 {
            let name = n.to_string();
            let put = fixture
                .store
                .put(Kind::Job, &name, &json!({}), Expect::Absent, &op("a"))
                .await;
            lost.push(put.is_err());
        }
        assert_eq!(fixture.store.list(Kind::Job).await.unwrap().items.len(), 40);
        lost
    };

    let (first, repeated, other) = (losses_with(7).await, losses_with(7).await, losses_with(8).await);

    assert_eq!(first, repeated);
    assert_ne!(first, other);
}

/// Guards against a stopped server that still answers on open connections.
#[tokio::test]
async fn stopped_server_closes_its_connections() {
    let mut fixture = fixture(Access::Http);
    fixture.store.get(Kind::Job, "j").await.unwrap();

    if let Some(server) = fixture.server.take() {
        server.stop();
    }
    // The first call may be written to the pooled connection before the client notices that it is closed.
    let pooled = fixture
        .store
        .put(Kind::Job, "j", &json!({}), Expect::Absent, &op("a"))
        .await;
    let fresh = fixture
        .store
        .put(Kind::Job, "j", &json!({}), Expect::Absent, &op("b"))
        .await;

    let failed = matches!(
        pooled,
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Unavailable(_))
    );
    assert!(failed, "{pooled:?}");
    assert!(matches!(fresh, Err(PlatformError::Unavailable(_))), "{fresh:?}");
    assert_eq!(fixture.standin.objects.counts().put, 0);
}
