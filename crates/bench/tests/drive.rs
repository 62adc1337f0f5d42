//! Tests of the benchmark's load generator.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use guava_bench::drive::{Failures, Target, run_closed_loop, run_open_loop};
use guava_bench::process::allow_open_files;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Rate of the open loop in requests a second.
const RATE: f64 = 100.0;
const DURATION: Duration = Duration::from_millis(200);

/// Server that answers the first request of each connection with `response` and then closes the connection.
async fn start_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let addr = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                if socket.read(&mut buf).await.is_ok_and(|read| read > 0) {
                    // The write fails only when the client has disconnected.
                    let _ = socket.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    addr
}

fn target(addr: SocketAddr) -> Target {
    Target {
        addr,
        key: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Guards against a report that confuses error statuses with broken connections.
#[tokio::test(flavor = "multi_thread")]
async fn failures_are_counted_by_kind() {
    let refusing = start_server("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
    let breaking = start_server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf").await;

    let refused = run_open_loop(&target(refusing), 1, RATE, DURATION)
        .await
        .expect("it listens")
        .failures;
    let broken = run_closed_loop(&target(breaking), 1, DURATION)
        .await
        .expect("it listens")
        .failures;

    assert!(refused.status > 0, "{refused}");
    assert!(broken.broken > 0 && broken.status == 0, "{broken}");
}

/// Guards against a total that does not name the kinds of failures in it.
#[test]
fn failure_text_lists_kinds() {
    let mut failures = Failures::default();
    failures += Failures {
        connect: 2,
        unanswered: 1,
        ..Failures::default()
    };

    assert_eq!(failures.to_string(), "3 failures, no connection 2, unanswered 1");
}

/// Guards against a benchmark that runs out of file descriptors midway instead of reporting the needed limit first.
#[test]
fn insufficient_open_file_limit_is_reported() {
    let error = allow_open_files(u64::MAX).expect_err("no system allows so many");

    assert!(error.to_string().contains("ulimit"), "{error}");
}
