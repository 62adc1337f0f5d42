//! Tests of streams at servers of several software versions: a stream goes on only at the version that began it.

mod support;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use guava_entry::peers::{PaceAnswer, PaceRequest};
use guava_entry::state::{EntryState, now};
use guava_fleet::model::StoreRevision;
use guava_fleet::placement::Wait;
use guava_platform::{CallError, Http};
use guava_platform_standin::raw::taken_up_lines;
use guava_platform_standin::settings::{ENGINE_SERVICE, LOOKUP_PATH, REPORT_PATH, STREAM_PATH};
use http::{Request, Response};
use rstest::rstest;
use support::{
    KEY, MODEL, ScriptedServer, add_peers, answer_head, call, call_with_lines, chunk, event, list_servers, put_config,
    start_entry, start_entry_with, start_server, whole_answer, write,
};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Events of a whole stream.
const EVENTS: u32 = 6;
/// Events of a stream that breaks off.
const EVENTS_BEFORE_BREAK: u32 = 3;
/// Time for which a stream that breaks off stays open.
const BREAK_AFTER: Duration = Duration::from_millis(200);
/// Time within which a request that cannot be served is refused, far below every deadline.
const AT_ONCE: Duration = Duration::from_secs(1);

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
    support::list_versions(state);
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

/// Guards against a stream that goes on somewhere although nobody knows which version began it.
#[rstest]
#[case::unknown_attempt(taken_up_lines("never-seen", 3))]
#[case::unnamed_attempt("last-event-id: 3\r\n".to_owned())]
#[tokio::test]
async fn stream_of_unknown_origin_is_refused_at_once(#[case] lines: String) {
    let entry = start_entry(Arc::default()).await;
    let sound = sound_engine("sound", Some("v1"), EVENTS_BEFORE_BREAK + 1).await;
    list_servers(&entry.state, &[&sound]);

    let started = Instant::now();
    let (answer, _) = call_with_lines(entry.address, "r2", STREAM_PATH, &lines).await;

    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("G1210"),
        "{answer}"
    );
    assert!(answer.contains("not_run"), "{answer}");
    assert_eq!(requests_at(&[&sound]), 0);
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
}

/// Guards against requests that are refused for a header that has a meaning for resumable streams only.
#[rstest]
#[tokio::test]
async fn other_routes_ignore_the_stream_that_a_request_names(#[values(REPORT_PATH, LOOKUP_PATH)] path: &str) {
    let entry = start_entry(Arc::default()).await;
    let engine = sound_engine("engine", Some("v1"), 1).await;
    let plain = start_server("plain", false, |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, "whole")).await;
    })
    .await;
    list_servers(&entry.state, &[&engine, &plain]);

    let (answer, _) = call_with_lines(entry.address, "r2", path, &taken_up_lines("never-seen", 3)).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a stream that a caller takes up and that goes on at another version than the one that began it.
#[tokio::test]
async fn stream_taken_up_goes_on_at_its_version() {
    let entry = start_entry(Arc::default()).await;
    let first = breaking_engine("first", Some("v1")).await;
    let same = sound_engine("same", Some("v1"), EVENTS_BEFORE_BREAK + 1).await;
    let other = sound_engine("other", Some("v2"), EVENTS_BEFORE_BREAK + 1).await;
    list_servers(&entry.state, &[&first]);
    let (begun, _) = call(entry.address, "r1", STREAM_PATH).await;
    list_later(&entry.state, &[&same, &other]).await;

    for index in 0..16 {
        let attempt = format!("r2-{index}");
        let (answer, _) = call_with_lines(entry.address, &attempt, STREAM_PATH, &taken_up_lines("r1", 3)).await;

        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(event_ids(&begun), ["1", "2", "3"]);
    assert_eq!(requests_at(&[&other]), 0, "no server of another version got it");
}

/// Guards against a stream that a caller takes up and that waits, or goes on elsewhere, when its version has left.
#[tokio::test]
async fn stream_taken_up_whose_version_has_left_is_refused_at_once() {
    let entry = start_entry(Arc::default()).await;
    let first = breaking_engine("first", Some("v1")).await;
    let other = sound_engine("other", Some("v2"), EVENTS_BEFORE_BREAK + 1).await;
    list_servers(&entry.state, &[&first]);
    call(entry.address, "r1", STREAM_PATH).await;
    list_later(&entry.state, &[&other]).await;
    let revision = StoreRevision { era: 1, number: 3 };
    entry.state.apply_server("first", None, revision, now());

    let started = Instant::now();
    let (answer, _) = call_with_lines(entry.address, "r2", STREAM_PATH, &taken_up_lines("r1", 3)).await;

    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("G1209"),
        "{answer}"
    );
    assert!(
        answer.contains("not_run") && !answer.to_lowercase().contains("retry-after"),
        "{answer}"
    );
    assert_eq!(requests_at(&[&other]), 0);
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
}

/// Engine that has started anew under its id with another version: its entry, as far as it is known here, is of its
/// earlier start.
async fn restarted_engine(id: &str) -> ScriptedServer {
    let server = engine(id, Some("v1"), |mut stream, attempt| async move {
        let head = answer_head(&attempt, "transfer-encoding: chunked\r\n");
        let events: String = (1..=EVENTS)
            .map(|id| chunk(&event(id).replace("piece", "other")))
            .collect();
        write(&mut stream, &format!("{head}{events}0\r\n\r\n")).await;
    })
    .await;
    server.reported_start.store(2, Ordering::Relaxed);
    server
}

/// Makes the process one that has learnt nothing for five seconds, because it was cut off or stood still.
fn fall_behind(state: &EntryState) {
    let before = now() - 5_000;
    state.record_store_contact(1, before);
    state.streams.observe(state, now());
}

/// Guards against a process out of step that records a stream for the version that its server ran before, so that it goes
/// on at a server of that version.
#[tokio::test]
async fn stream_does_not_begin_at_an_unknown_start_of_a_server() {
    let entry = start_entry(Arc::default()).await;
    let restarted = restarted_engine("restarted").await;
    list_servers(&entry.state, &[&restarted]);
    fall_behind(&entry.state);

    let (answer, _) = call(entry.address, "r1", STREAM_PATH).await;

    assert_eq!(requests_at(&[&restarted]), 1);
    assert!(
        !answer.contains("other") && !answer.starts_with("HTTP/1.1 200"),
        "{answer}"
    );
}

/// Guards against a stream that is taken up at a process out of step, and goes on at another version than the one that
/// began it.
#[tokio::test]
async fn stream_is_not_taken_up_at_an_unknown_start_of_a_server() {
    let entry = start_entry(Arc::default()).await;
    let first = breaking_engine("first", Some("v1")).await;
    list_servers(&entry.state, &[&first]);
    call(entry.address, "r1", STREAM_PATH).await;
    let restarted = restarted_engine("restarted").await;
    list_servers(&entry.state, &[&restarted]);
    fall_behind(&entry.state);

    let lines = taken_up_lines("r1", EVENTS_BEFORE_BREAK);
    let (answer, _) = call_with_lines(entry.address, "r2", STREAM_PATH, &lines).await;

    assert_eq!(requests_at(&[&restarted]), 1);
    assert!(
        !answer.contains("other") && !answer.starts_with("HTTP/1.1 200"),
        "{answer}"
    );
}

/// Guards against streams that end at a process out of step although their server is the one that it knows.
#[tokio::test]
async fn stream_begins_at_a_known_start_of_a_server_out_of_step() {
    let entry = start_entry(Arc::default()).await;
    let server = sound_engine("same", Some("v1"), 1).await;
    list_servers(&entry.state, &[&server]);
    fall_behind(&entry.state);

    let (answer, _) = call(entry.address, "r1", STREAM_PATH).await;

    assert_eq!(event_ids(&answer), ["1", "2", "3", "4", "5", "6"]);
}

/// Guards against a stream that is refused again and again while no engine loads its model: refused at once, it would count
/// as demand for an instant only.
#[tokio::test]
async fn refused_stream_counts_as_demand_until_its_caller_comes_back() {
    let entry = start_entry(Arc::default()).await;
    let mut empty = sound_engine("empty", Some("v1"), EVENTS_BEFORE_BREAK + 1).await;
    empty.entry.held.clear();
    list_servers(&entry.state, &[&empty]);
    entry
        .state
        .streams
        .record_begun(now(), "before", ENGINE_SERVICE, Some("v1"));
    let wait = Wait {
        service: ENGINE_SERVICE.to_owned(),
        model: MODEL.to_owned(),
        version: Some("v1".to_owned()),
        ms: 6_000,
    };
    entry.state.apply_waits(vec![wait], now());

    let lines = taken_up_lines("before", EVENTS_BEFORE_BREAK);
    let (answer, _) = call_with_lines(entry.address, "r1", STREAM_PATH, &lines).await;
    sleep(Duration::from_millis(1_500)).await;
    let (demand, _) = entry.state.collect_report();

    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("G1204"),
        "{answer}"
    );
    assert_eq!(requests_at(&[&empty]), 0);
    let bound = demand
        .iter()
        .filter(|it| it.model == MODEL && it.version.as_deref() == Some("v1"));
    assert_eq!(bound.map(|it| it.waiting).sum::<u32>(), 1, "{demand:?}");
}

/// Other entry processes that pace busy engines: they grant a prompt after `wait_ms`, if the request may wait so long.
#[derive(Debug)]
struct BusyPeers {
    wait_ms: u64,
}

#[async_trait]
impl Http for BusyPeers {
    async fn call(&self, _: SocketAddr, req: Request<Bytes>, _: Duration) -> Result<Response<Bytes>, CallError> {
        if req.uri().path() != "/pace" {
            return Err(CallError::NotRun("not faked".to_owned()));
        }
        let request: PaceRequest = postcard::from_bytes(req.body()).expect("a request to send a prompt");
        let answer = PaceAnswer {
            granted: request.max_wait_ms >= self.wait_ms,
            wait_ms: self.wait_ms,
        };
        Ok(Response::new(postcard::to_stdvec(&answer).expect("encodable").into()))
    }
}

/// Guards against a stream that goes on and waits behind new streams, which may go to engines of any version, until it is
/// refused; and against one that waits although no engine of its version can take it in time.
#[rstest]
#[case::stream_that_goes_on(900, true, "200", 0..1_500)]
#[case::new_stream(900, false, "503", 1_400..3_000)]
#[case::stream_that_cannot_go_on(5_000, true, "503", 0..600)]
#[tokio::test]
async fn stream_that_goes_on_comes_first_at_busy_engines(
    #[case] wait_ms: u64,
    #[case] goes_on: bool,
    #[case] status: &str,
    #[case] took_ms: Range<u128>,
) {
    let entry = start_entry_with(Arc::new(BusyPeers { wait_ms })).await;
    put_config(&entry.state, 1, &[KEY]);
    add_peers(&entry.state);
    let engine = sound_engine("busy", Some("v1"), EVENTS_BEFORE_BREAK + 1).await;
    list_servers(&entry.state, &[&engine]);
    entry
        .state
        .streams
        .record_begun(now(), "before", ENGINE_SERVICE, Some("v1"));

    let lines = if goes_on {
        taken_up_lines("before", EVENTS_BEFORE_BREAK)
    } else {
        String::new()
    };
    let started = Instant::now();
    let (answer, _) = call_with_lines(entry.address, "r1", STREAM_PATH, &lines).await;

    let elapsed = started.elapsed().as_millis();
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(took_ms.contains(&elapsed), "{elapsed} ms");
    assert!(wait_ms < 5_000 || answer.contains("retry-after: 5.000"), "{answer}");
}
