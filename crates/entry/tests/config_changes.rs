//! Tests of requests on kept connections while configurations come in quick succession.

mod support;

use std::sync::Arc;
use std::time::Duration;

use guava_entry::state::EntryState;
use guava_fleet::model::Configuration;
use guava_platform::config;
use guava_platform_standin::raw::request_text;
use guava_platform_standin::settings::{self, BOOKING_PATH, ENGINE_SERVICE, LOOKUP_PATH, PLAIN_SERVICE, STREAM_PATH};
use rstest::rstest;
use support::{KEY, MODEL, answer_head, chunk, event, list_servers, start_entry, start_server, whole_answer, write};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time for which configurations and requests come.
const STORM: Duration = Duration::from_secs(4);
/// Kept connections, each with one request at a time.
const CONNECTIONS: usize = 24;
/// Longest wait for an answer: the longest time limit of a route, and half a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(12_500);

/// Whether the configurations withdraw the key and the routes of the requests now and then, and move a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Withdrawals {
    None,
    Some,
}

/// Changes time limits, limits on connections, the order of the routes, and the keys and routes of others.
fn put_varied_config(state: &EntryState, version: u64, withdrawals: Withdrawals) {
    let mut keys = vec![KEY.to_owned()];
    keys.extend((0..version % 3).map(|index| format!("other-{version}-{index}")));
    let mut changed = configuration(version, keys);
    changed.limits.idle_timeout_ms = [1_000, 15_000, 4_000][version as usize % 3];
    changed.limits.head_timeout_ms = [500, 3_000][version as usize % 2];
    if version.is_multiple_of(2) {
        for route in &mut changed.routes {
            route.timeout_ms /= 2;
        }
        let mut added = changed.routes[2].clone();
        added.name = format!("added-{version}");
        added.path_prefix = format!("/added-{version}/");
        changed.routes.push(added);
    } else {
        changed.routes.rotate_left(1);
    }
    if withdrawals == Withdrawals::Some {
        match version % 5 {
            0 => changed.organisations[0].keys.retain(|it| it != KEY),
            1 => changed.routes.retain(|it| it.path_prefix != LOOKUP_PATH),
            2 => changed.routes.retain(|it| it.path_prefix != STREAM_PATH),
            3 => {
                // The plain servers of the test send no streams.
                for route in changed.routes.iter_mut().filter(|it| it.path_prefix != STREAM_PATH) {
                    route.targets = vec![(PLAIN_SERVICE.to_owned(), 1), (ENGINE_SERVICE.to_owned(), 1)];
                }
            }
            _ => {}
        }
    }
    state.apply_config(changed, "test");
}

fn configuration(version: u64, keys: Vec<String>) -> Configuration {
    let value = settings::configuration(version, 4, &[("bangor".to_owned(), keys)], 1e7);
    config::decode(&value).expect("a valid configuration")
}

/// Reads one whole answer. Returns its status, or `None` if the connection ends before it is complete.
async fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|it| it.strip_prefix("content-length: "))
                .and_then(|it| it.parse::<usize>().ok());
            let is_whole = length.map_or(body.ends_with("0\r\n\r\n"), |it| body.len() >= it);
            if is_whole {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// Guards against a request that ends with its connection, without an answer or a refusal, because the configuration
/// changes while it waits or runs.
#[rstest]
#[case::of_others(Withdrawals::None)]
#[case::of_the_requests(Withdrawals::Some)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changed_configuration_leaves_no_request_unanswered(#[case] withdrawals: Withdrawals) {
    let entry = start_entry(Arc::default()).await;
    let mut servers = Vec::new();
    for index in 0..4 {
        let is_engine = index < 2;
        let script = move |mut stream: TcpStream, attempt: String| async move {
            if !is_engine {
                sleep(Duration::from_millis(40)).await;
                write(&mut stream, &whole_answer(&attempt, "served")).await;
                return;
            }
            write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
            for id in 1..=5 {
                write(&mut stream, &chunk(&event(id))).await;
                sleep(Duration::from_millis(40)).await;
            }
            write(&mut stream, "0\r\n\r\n").await;
        };
        servers.push(start_server(&format!("s{index}"), is_engine, script).await);
    }
    let servers: Vec<_> = servers.iter().collect();
    list_servers(&entry.state, &servers);
    let end = Instant::now() + STORM;
    let state = Arc::clone(&entry.state);
    let storm = tokio::spawn(async move {
        for version in 2.. {
            if Instant::now() >= end {
                break;
            }
            put_varied_config(&state, version, withdrawals);
            sleep(Duration::from_millis(7)).await;
        }
    });

    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|caller| {
            let address = entry.address;
            tokio::spawn(async move {
                let mut stream = TcpStream::connect(address).await.expect("accepted");
                let (mut sent, mut unanswered) = (0, Vec::new());
                while Instant::now() < end {
                    let path = [BOOKING_PATH, LOOKUP_PATH, STREAM_PATH][(caller + sent) % 3];
                    // Some connections are idle for most of the shortest idle timeout in between.
                    if caller % 4 == 0 {
                        sleep(Duration::from_millis(800)).await;
                    }
                    let attempt = format!("c{caller}-{sent}");
                    let text = request_text(&attempt, path, KEY, MODEL, "300,60", "");
                    assert!(write(&mut stream, &text).await);
                    sent += 1;
                    match timeout(ANSWER_TIMEOUT, read_answer(&mut stream)).await {
                        Ok(Some(200)) => {}
                        Ok(Some(_)) if withdrawals == Withdrawals::Some => {}
                        outcome => unanswered.push((attempt, path, outcome)),
                    }
                    if !unanswered.is_empty() {
                        break;
                    }
                }
                (sent, unanswered)
            })
        })
        .collect();
    let mut sent = 0;
    let mut unanswered = Vec::new();
    for caller in callers {
        let (count, lost) = caller.await.expect("the caller does not panic");
        sent += count;
        unanswered.extend(lost);
    }
    storm.await.expect("configurations are valid");

    assert_eq!(unanswered, Vec::new(), "of {sent} requests");
    assert!(sent > 10 * CONNECTIONS, "{sent} requests");
}

/// Guards against a kept connection that is closed by the idle timeout that was in force when it was accepted: its caller
/// still uses it within four fifths of the present one.
#[tokio::test]
async fn longer_idle_timeout_applies_to_open_connections() {
    let entry = start_entry(Arc::default()).await;
    let server = start_server("a", false, |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, "served")).await;
    })
    .await;
    list_servers(&entry.state, &[&server]);
    put_idle_timeout(&entry.state, 2, 1_000);
    let mut stream = TcpStream::connect(entry.address).await.expect("accepted");
    let text = |attempt| request_text(attempt, BOOKING_PATH, KEY, MODEL, "300,60", "");
    assert!(write(&mut stream, &text("r1")).await);
    assert_eq!(read_answer(&mut stream).await, Some(200));

    put_idle_timeout(&entry.state, 3, 15_000);
    sleep(Duration::from_millis(2_500)).await;
    write(&mut stream, &text("r2")).await;

    assert_eq!(read_answer(&mut stream).await, Some(200));
}

/// Guards against connections that stay open without use for longer than the idle timeout in force allows, also with a
/// head that is never complete.
#[rstest]
#[case::unused("")]
#[case::incomplete_head("GET / HTTP/1.1\r\nx-slow: ")]
#[tokio::test]
async fn shorter_idle_timeout_applies_to_open_connections(#[case] sent: &str) {
    let entry = start_entry(Arc::default()).await;
    let mut stream = TcpStream::connect(entry.address).await.expect("accepted");
    assert!(write(&mut stream, sent).await);
    sleep(Duration::from_millis(100)).await;

    put_idle_timeout(&entry.state, 2, 1_000);
    let ended = timeout(Duration::from_secs(3), read_answer(&mut stream)).await;

    assert_eq!(ended.expect("closed in time"), None);
}

fn put_idle_timeout(state: &EntryState, version: u64, idle_timeout_ms: u64) {
    let mut changed = configuration(version, vec![KEY.to_owned()]);
    changed.limits.idle_timeout_ms = idle_timeout_ms;
    state.apply_config(changed, "test");
}
