//! Tests of answers that arrive while the process is suspended.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use guava_entry::client::PooledClient;
use guava_platform::{CallError, Http};
use http::Request;
use rstest::rstest;

/// Time for which a call waits for its answer.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Guards against an answer from before a suspension that is taken for a fresh one, as if what it tells were still true.
#[rstest]
#[case::not_suspended(Duration::ZERO, true)]
#[case::suspended(2 * TIMEOUT, false)]
#[tokio::test]
async fn answer_that_waited_in_a_suspension_counts_as_late(#[case] suspended: Duration, #[case] is_answered: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_024]);
        thread::sleep(TIMEOUT / 4);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        thread::sleep(2 * TIMEOUT);
    });
    let client = PooledClient::new(0, 1_024);
    let req = Request::get("/").body(Bytes::new()).expect("a request");

    let call = tokio::spawn(async move { client.call(address, req, TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    // Blocks the only thread of the runtime, as a suspension does.
    thread::sleep(suspended);
    let answer = call.await.expect("the call does not panic");

    assert_eq!(answer.is_ok(), is_answered, "{answer:?}");
    assert!(is_answered || matches!(answer, Err(CallError::Unanswered(_))));
}
