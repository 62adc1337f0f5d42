//! The request path over HTTP, with fakes behind it.

mod support;

use guava_core::events::Event;
use serde_json::json;
use support::{Act, Backend, World, call, chat_body, json_answer, stream_answer, withdraw};

/// Guards against an answer that does not reach its caller, and against a settlement other than the stated usage.
#[tokio::test]
async fn a_whole_answer_is_passed_on_and_settled() {
    let world = World::start().await;
    let answer = json!({"choices": [], "usage": {"total_tokens": 11}});
    let backend = Backend::answering(json_answer(&answer)).await;
    world.place(&[backend.addr], 4);

    let reply = world.chat(&chat_body()).await;

    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.json(), answer);
    let id = &reply.headers["x-request-id"];
    assert!(backend.seen.lock()[0].contains(&format!("x-request-id: {id}")));
    world.until("the reservation is settled", World::settled_once).await;
    assert_eq!(world.quota.settled.lock()[0].1, 11);
}
