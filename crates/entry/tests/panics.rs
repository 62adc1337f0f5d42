//! Tests of requests whose handling panics.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use guava_entry::peers::PaceAnswer;
use guava_platform::{CallError, Http};
use guava_platform_standin::settings::{ENGINE_SERVICE, STREAM_PATH};
use http::{Request, Response};
use support::{
    KEY, add_peers, answer_head, call, chunk, event, list_servers, put_config, start_entry_with, start_server, write,
};
use tokio::time::sleep;

/// Other entry processes that let some prompts be sent; further requests to send one panic.
#[derive(Debug)]
struct PanickingPeers {
    sound_answers: AtomicUsize,
}

#[async_trait]
impl Http for PanickingPeers {
    async fn call(&self, _: SocketAddr, req: Request<Bytes>, _: Duration) -> Result<Response<Bytes>, CallError> {
        if req.uri().path() != "/pace" {
            return Err(CallError::NotRun("not faked".to_owned()));
        }
        assert!(self.sound_answers.load(Ordering::Relaxed) > 0, "a panic of the test");
        self.sound_answers.fetch_sub(1, Ordering::Relaxed);
        let answer = PaceAnswer {
            granted: true,
            wait_ms: 0,
        };
        Ok(Response::new(postcard::to_stdvec(&answer).expect("encodable").into()))
    }
}

async fn entry_that_panics_after(sound_answers: usize) -> support::Entry {
    let sound_answers = AtomicUsize::new(sound_answers);
    let entry = start_entry_with(Arc::new(PanickingPeers { sound_answers })).await;
    put_config(&entry.state, 1, &[KEY]);
    add_peers(&entry.state);
    entry
}

/// Guards against a request that ends with its connection, without an answer, because its handling panics.
#[tokio::test]
async fn request_whose_handling_panics_is_answered() {
    let entry = entry_that_panics_after(0).await;
    let engine = start_server("a", true, |_, _| async {}).await;
    list_servers(&entry.state, &[&engine]);

    let (answer, is_closed) = call(entry.address, "r1", STREAM_PATH).await;

    assert!(is_closed);
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert!(
        answer.contains("G9001") && answer.contains("outcome_unknown"),
        "{answer}"
    );
    assert_eq!(engine.received.lock().len(), 0);
}

/// Guards against a stream that looks complete although its relay panicked.
#[tokio::test]
async fn stream_whose_relay_panics_does_not_look_complete() {
    let entry = entry_that_panics_after(1).await;
    // Requests that leave a retry to this process.
    for _ in 0..100 {
        entry.state.record_request(ENGINE_SERVICE, guava_entry::state::now());
    }
    let mut engines = Vec::new();
    for id in ["a", "b"] {
        let engine = start_server(id, true, |mut stream, attempt| async move {
            write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
            write(&mut stream, &chunk(&event(1))).await;
            sleep(Duration::from_secs(4)).await;
        });
        engines.push(engine.await);
    }
    list_servers(&entry.state, &[&engines[0], &engines[1]]);

    let (answer, _) = call(entry.address, "r1", STREAM_PATH).await;

    assert!(answer.contains("id: 1\n"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "the stream looks complete: {answer}");
}
