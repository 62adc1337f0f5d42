//! Tests of streams at servers of several software versions: a stream goes on only at the version that began it.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use guava_entry::state::{EntryState, now};
use guava_fleet::model::StoreRevision;
use guava_platform_standin::settings::STREAM_PATH;
use rstest::rstest;
use support::{ScriptedServer, answer_head, call, chunk, event, list_servers, start_entry, start_server, write};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Events of a whole stream.
const EVENTS: u32 = 6;
/// Events of a stream that breaks off.
const EVENTS_BEFORE_BREAK: u32 = 3;
/// Time for which a stream that breaks off stays open.
const BREAK_AFTER: Duration = Duration::from_millis(200);
/// Time within which a request that cannot be served is refused, far below every deadline.
const AT_ONCE: Duration = Duration::from_millis(1_000);

/// Engine of a software version that runs `script`.
async fn engine<F, R>(id: &str, version: Option<&str>, script: F) -> ScriptedServer
where
    F: Fn(TcpStream, String) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let mut server = start_server(id, true, script).await;
    server.entry.version = version.map(str::to_owned);
    server
}

/// Engine whose streams break off after some events.
async fn breaking_engine(id: &str, version: Option<&str>) -> ScriptedServer {
    engine(id, version, |mut stream, attempt| async move {
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        for id in 1..=EVENTS_BEFORE_BREAK {
            write(&mut stream, &chunk(&event(id))).await;
        }
        sleep(BREAK_AFTER).await;
    })
    .await
}

/// Engine whose streams break off before the first event.
async fn mute_engine(id: &str, version: &str) -> ScriptedServer {
    engine(id, Some(version), |mut stream, attempt| async move {
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        sleep(BREAK_AFTER).await;
    })
    .await
}

/// Engine that sends the events of a stream from `first` on.
async fn sound_engine(id: &str, version: Option<&str>, first: u32) -> ScriptedServer {
    engine(id, version, move |mut stream, attempt| async move {
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        for id in first..=EVENTS {
            write(&mut stream, &chunk(&event(id))).await;
        }
        write(&mut stream, "0\r\n\r\n").await;
    })
    .await
}

/// Lists further servers before the first stream breaks off.
async fn list_later(state: &EntryState, servers: &[&ScriptedServer]) {
    sleep(BREAK_AFTER / 2).await;
    for (number, server) in (2..).zip(servers) {
        let revision = StoreRevision { era: 1, number };
        state.apply_server(&server.entry.id, Some(server.entry.clone()), revision, now());
    }
}

fn event_ids(answer: &str) -> Vec<&str> {
    answer.lines().filter_map(|it| it.strip_prefix("id: ")).collect()
}

fn requests_at(servers: &[&ScriptedServer]) -> usize {
    servers.iter().map(|it| it.received.lock().len()).sum()
}

/// Guards against a stream that goes on at another software version within one answer.
#[tokio::test]
async fn interrupted_stream_goes_on_at_its_version() {
    let entry = start_entry(Arc::default()).await;
    let first = breaking_engine("first", Some("v1")).await;
    let same = sound_engine("same", Some("v1"), EVENTS_BEFORE_BREAK + 1).await;
    let mut others = Vec::new();
    for index in 0..8 {
        others.push(sound_engine(&format!("other-{index}"), Some("v2"), EVENTS_BEFORE_BREAK + 1).await);
    }
    let others: Vec<&ScriptedServer> = others.iter().collect();
    list_servers(&entry.state, &[&first]);

    let later: Vec<&ScriptedServer> = others.iter().copied().chain([&same]).collect();
    let ((answer, is_closed), ()) =
        tokio::join!(call(entry.address, "r1", STREAM_PATH), list_later(&entry.state, &later));

    assert!(is_closed && answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(event_ids(&answer), ["1", "2", "3", "4", "5", "6"]);
    assert_eq!(requests_at(&others), 0, "no server of another version got it");
}

/// Guards against a stream that goes on at another software version, or waits for its deadline, when no server of its
/// version is left; and against one that goes on although its server named no version.
#[rstest]
#[case::version_has_left(Some("v1"), Some("v2"))]
#[case::no_version_named(None, None)]
#[tokio::test]
async fn stream_whose_version_cannot_serve_is_aborted_at_once(
    #[case] first: Option<&str>,
    #[case] other: Option<&str>,
) {
    let entry = start_entry(Arc::default()).await;
    let first = breaking_engine("first", first).await;
    let other = sound_engine("other", other, EVENTS_BEFORE_BREAK + 1).await;
    list_servers(&entry.state, &[&first]);

    let later = [&other];
    let started = Instant::now();
    let ((answer, _), ()) = tokio::join!(call(entry.address, "r1", STREAM_PATH), list_later(&entry.state, &later));

    assert_eq!(event_ids(&answer), ["1", "2", "3"]);
    assert!(!answer.ends_with("0\r\n\r\n"), "the stream looks complete: {answer}");
    assert_eq!(requests_at(&[&other]), 0);
    assert!(started.elapsed() < BREAK_AFTER + AT_ONCE, "{:?}", started.elapsed());
}

/// Guards against a stream that is bound to a version that brought no event.
#[tokio::test]
async fn attempt_without_an_event_goes_to_another_version() {
    let entry = start_entry(Arc::default()).await;
    let mute = mute_engine("mute", "v1").await;
    let sound = sound_engine("sound", Some("v2"), 1).await;
    list_servers(&entry.state, &[&mute]);
    let later = [&sound];

    let ((answer, is_closed), ()) =
        tokio::join!(call(entry.address, "r1", STREAM_PATH), list_later(&entry.state, &later));

    assert!(is_closed && answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(event_ids(&answer), ["1", "2", "3", "4", "5", "6"]);
}
