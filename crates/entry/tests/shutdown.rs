//! Tests of callers' connections during a graceful shutdown.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream as StdStream;
use std::sync::Arc;
use std::time::Duration;

use guava_entry::state::now;
use guava_platform_standin::settings::{BOOKING_PATH, LOOKUP_PATH, REPORT_PATH, STREAM_PATH};
use rstest::rstest;
use support::{
    Entry, FakePeers, ScriptedServer, add_peers, answer_head, call, chunk, event, list_servers, read_to_end, request,
    start_entry, start_server, whole_answer, write,
};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Size of an answer; a few fill the buffers of a connection.
const LARGE_ANSWER_BYTES: usize = 1_000_000;
/// Wait for the prompt's turn at the engine, long enough for a shutdown in between.
const PACE_WAIT_MS: u64 = 400;
/// Time that requests have left when the shutdown begins.
const LEFT_MS: u64 = 400;

/// Where a connection is when the shutdown closes connections.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Established, not accepted by the process yet.
    Backlog,
    /// Accepted, without a request so far.
    Fresh,
    /// Kept open after a request.
    Kept,
}

/// Guards against a request that is cut off without an answer because its bytes had arrived and were not read yet when
/// connections were closed. The runtime has one thread, so nothing is read between the request and the closing.
#[rstest]
#[case::backlog(Stage::Backlog)]
#[case::fresh(Stage::Fresh)]
#[case::kept(Stage::Kept)]
#[tokio::test]
async fn request_that_has_arrived_is_answered(#[case] stage: Stage) {
    let entry = start_entry(Arc::default()).await;
    let server = start_server("a", false, |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, "served")).await;
    })
    .await;
    list_servers(&entry.state, &[&server]);
    let mut callers: Vec<StdStream> = Vec::new();
    for index in 0..20 {
        let mut caller = StdStream::connect(entry.address).expect("the process accepts connections");
        if !matches!(stage, Stage::Backlog) {
            sleep(Duration::from_millis(20)).await;
        }
        if matches!(stage, Stage::Kept) {
            caller
                .write_all(request(&format!("first-{index}"), BOOKING_PATH).as_bytes())
                .expect("open");
            sleep(Duration::from_millis(50)).await;
            let mut buf = [0; 1_024];
            let size = caller.read(&mut buf).expect("an answer");
            assert!(buf[..size].starts_with(b"HTTP/1.1 200"));
        }
        callers.push(caller);
    }

    entry.state.begin_shutdown();
    for (index, caller) in callers.iter_mut().enumerate() {
        caller
            .write_all(request(&format!("r{index}"), BOOKING_PATH).as_bytes())
            .expect("open");
    }
    entry.state.begin_draining();
    entry.closing.send_replace(true);

    let mut cut = 0;
    for caller in callers {
        caller.set_nonblocking(true).expect("a socket");
        let mut caller = TcpStream::from_std(caller).expect("a socket");
        let (answer, is_closed) = read_to_end(&mut caller).await;
        let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("not_run");
        cut += usize::from(!(is_closed && (is_refused || answer.starts_with("HTTP/1.1 200"))));
    }
    assert_eq!(cut, 0, "requests without an answer");
}

/// Guards against connections that stay open until the process is killed although nobody uses them.
#[tokio::test]
async fn idle_connection_is_closed() {
    let entry = start_entry(Arc::default()).await;
    let mut caller = TcpStream::connect(entry.address)
        .await
        .expect("the process accepts connections");
    sleep(Duration::from_millis(20)).await;

    entry.state.begin_shutdown();
    entry.closing.send_replace(true);

    let ended = tokio::time::timeout(Duration::from_secs(1), read_to_end(&mut caller)).await;
    assert_eq!(ended.expect("closed in time"), (String::new(), true));
}

/// Guards against an answer that is cut in a shutdown because its caller has not read all of it when the connection counts
/// as idle.
#[rstest]
#[tokio::test]
async fn answer_that_is_read_slowly_is_not_cut(#[values(1, 2, 3, 4, 5, 6)] requests: usize) {
    let entry = start_entry(Arc::default()).await;
    let server = start_server("a", false, move |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, &"x".repeat(LARGE_ANSWER_BYTES))).await;
        sleep(Duration::from_secs(1)).await;
    })
    .await;
    list_servers(&entry.state, &[&server]);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a socket");
    let mut caller = socket
        .connect(entry.address)
        .await
        .expect("the process accepts connections");
    // One of these answers exceeds the buffers of the connection.
    for index in 0..requests {
        assert!(write(&mut caller, &request(&format!("r{index}"), BOOKING_PATH)).await);
        sleep(Duration::from_millis(200)).await;
    }

    entry.state.begin_shutdown();
    entry.state.begin_draining();
    entry.closing.send_replace(true);
    sleep(Duration::from_millis(500)).await;

    let (answers, is_closed) = read_to_end(&mut caller).await;
    let whole = answers.matches("\r\n0\r\n\r\n").count();
    assert!(is_closed, "the connection is reset");
    assert!(whole >= server.received.lock().len(), "{whole} whole answers");
    assert!(answers.ends_with("\r\n0\r\n\r\n") || answers.ends_with('}'));
}

/// Guards against a request that is sent to a server so late that its answer cannot come before the process ends.
#[tokio::test]
async fn waiting_request_is_not_sent_when_draining_has_begun() {
    let peers = Arc::new(FakePeers {
        wait_ms: PACE_WAIT_MS,
        ..FakePeers::default()
    });
    let entry = start_entry(Arc::clone(&peers)).await;
    add_peers(&entry.state);
    let engine = start_server("a", true, |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, "served")).await;
    })
    .await;
    list_servers(&entry.state, &[&engine]);

    let draining = async {
        while peers.paced.lock().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        entry.state.begin_shutdown();
        entry.state.begin_draining();
    };
    let ((answer, _), ()) = tokio::join!(call(entry.address, "r1", STREAM_PATH), draining);

    assert_eq!(engine.received.lock().len(), 0);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not_run") && answer.to_lowercase().contains("connection: close"));
}

/// Begins a shutdown when the server has the request; the answer, if it ends soon enough.
async fn call_and_shut_down(entry: &Entry, server: &ScriptedServer, path: &str) -> Option<(String, bool)> {
    let shutdown = async {
        while server.received.lock().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        entry.state.end_requests_at(now() + LEFT_MS);
        entry.state.begin_shutdown();
        entry.state.begin_draining();
    };
    let both = async { tokio::join!(call(entry.address, "r1", path), shutdown) };
    let finished = tokio::time::timeout(Duration::from_secs(2), both).await;
    finished.ok().map(|(answer, ())| answer)
}

/// Guards against a running request that gets no answer, or is sent to yet another server, when the process ends.
#[rstest]
#[case::at_most_once(BOOKING_PATH)]
#[case::may_run_again(LOOKUP_PATH)]
#[case::stream_before_its_head(REPORT_PATH)]
#[tokio::test]
async fn running_request_is_answered_before_the_process_ends(#[case] path: &str) {
    let entry = start_entry(Arc::default()).await;
    let silent = |is_engine| {
        start_server("a", is_engine, |stream, _| async move {
            sleep(Duration::from_secs(30)).await;
            drop(stream);
        })
    };
    let server = silent(path == REPORT_PATH).await;
    list_servers(&entry.state, &[&server]);

    let in_time = call_and_shut_down(&entry, &server, path).await;
    let (answer, is_closed) = in_time.expect("answered in time");

    assert!(is_closed && answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(answer.contains("outcome_unknown"), "{answer}");
    assert_eq!(server.received.lock().len(), 1);
}

/// Guards against a stream that looks complete because the process ended.
#[rstest]
#[case::may_continue(STREAM_PATH)]
#[case::may_not_continue(REPORT_PATH)]
#[tokio::test]
async fn running_stream_is_aborted_before_the_process_ends(#[case] path: &str) {
    let entry = start_entry(Arc::default()).await;
    let engine = start_server("a", true, |mut stream, attempt| async move {
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        for id in 1..300 {
            write(&mut stream, &chunk(&event(id))).await;
            sleep(Duration::from_millis(100)).await;
        }
    })
    .await;
    list_servers(&entry.state, &[&engine]);

    let in_time = call_and_shut_down(&entry, &engine, path).await;
    let (answer, _) = in_time.expect("ended in time");

    assert!(answer.contains("piece 1") && !answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a server that works on a request beyond the end of the process.
#[tokio::test]
async fn server_is_told_how_long_the_process_runs() {
    let entry = start_entry(Arc::default()).await;
    let server = start_server("a", false, |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, "served")).await;
    })
    .await;
    list_servers(&entry.state, &[&server]);
    entry.state.end_requests_at(now() + LEFT_MS);
    entry.state.begin_shutdown();

    let (answer, _) = call(entry.address, "r1", BOOKING_PATH).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let head = server.received.lock()[0].to_lowercase();
    let (_, left) = head.split_once("deadline-ms: ").expect("the time left is sent");
    let left: u64 = left.lines().next().and_then(|it| it.parse().ok()).expect("a number");
    assert!(left <= LEFT_MS, "{left}");
}
