//! Tests of callers' connections during a graceful shutdown.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream as StdStream;
use std::sync::Arc;
use std::time::Duration;

use guava_platform_standin::settings::BOOKING_PATH;
use rstest::rstest;
use support::{list_servers, read_to_end, request, start_entry, start_server, whole_answer, write};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Size of an answer; a few fill the buffers of a connection.
const LARGE_ANSWER_BYTES: usize = 1_000_000;

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
