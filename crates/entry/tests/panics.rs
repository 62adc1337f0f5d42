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
use guava_platform_standin::settings::STREAM_PATH;
use http::{Request, Response};
use support::{KEY, add_peers, call, list_servers, put_config, start_entry_with, start_server};

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
