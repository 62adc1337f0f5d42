//! Tests of the HTTP answers of the stand-in engine and service.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::ids::{ModelName, ReplicaId, Term};
use guava_engine::{
    Action, CacheEventKind, EngineFaults, EngineReplicaState, EngineSettings, HttpEngine, Order, RequestState,
    ServerHandle, StandInEngine, StandInService, serve_engine, serve_service,
};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Waits until `condition` holds. The limit is far longer than any test needs, even on a busy machine.
async fn eventually(condition: impl AsyncFn() -> bool) {
    let limit = Duration::from_secs(30);
    let reached = tokio::time::timeout(limit, async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(reached.await.is_ok(), "condition not reached within {limit:?}");
}

/// Starts an engine with model `m` loaded as replica `r1`, and serves it on loopback.
async fn ready_engine(settings: EngineSettings) -> (Arc<StandInEngine>, ServerHandle) {
    let settings = EngineSettings {
        memory_load_ms: 0,
        remote_load_ms: 0,
        ..settings
    };
    let engine = StandInEngine::new(settings, None);
    let order = Order {
        replica: ReplicaId::new("r1"),
        term: Term(1),
        instance: None,
        action: Action::Load {
            model: ModelName::new("m"),
            version: 1,
            adapter: None,
            bytes: 1,
        },
    };
    engine.take_order(&order).unwrap();
    eventually(async || engine.current_report().replicas[0].state == EngineReplicaState::Ready).await;
    let server = serve_engine(&engine, loopback()).await.unwrap();
    (engine, server)
}

/// Returns status and body, or `None` if the connection closed before the answer was complete.
async fn post(addr: SocketAddr, path: &str, headers: &[(&str, &str)], body: &Value) -> Option<(u16, Bytes)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = http::Request::post(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body.to_string())).unwrap();
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

async fn post_chat(server: &ServerHandle, id: &str, body: &Value) -> Option<(u16, Bytes)> {
    post(server.addr(), "/v1/chat/completions", &[("x-request-id", id)], body).await
}

/// Sends a request that runs for hours on an engine with a nonzero `decode_us`. Dropping the connection cancels it.
async fn send_long_request(addr: SocketAddr, stream: bool) -> TcpStream {
    let mut connection = TcpStream::connect(addr).await.unwrap();
    let body = chat(1_000_000, stream).to_string();
    let length = body.len();
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n");
    connection.write_all(head.as_bytes()).await.unwrap();
    connection.write_all(body.as_bytes()).await.unwrap();
    connection
}

fn chat(tokens: u32, stream: bool) -> Value {
    json!({
        "model": "m",
        "messages": [{"role": "user", "content": "How is a valve seat checked?"}],
        "max_tokens": tokens,
        "stream": stream,
        "stream_options": {"include_usage": true},
    })
}

/// Returns the text and the usage of a streamed answer, and whether its last event is `[DONE]`.
fn read_stream(body: &[u8]) -> (String, Value, bool) {
    let text = std::str::from_utf8(body).unwrap();
    let lines = text.split("\n\n").filter_map(|it| it.strip_prefix("data: "));
    let events = lines
        .clone()
        .filter_map(|it| serde_json::from_str::<Value>(it).ok())
        .collect::<Vec<_>>();
    let content = events
        .iter()
        .filter_map(|it| it["choices"][0]["delta"]["content"].as_str());
    let usage = events.last().map(|it| it["usage"].clone()).unwrap_or_default();
    (content.collect(), usage, lines.last() == Some("[DONE]"))
}

/// Guards against whole and streamed answers that differ, and answers that belong to another request.
#[tokio::test]
async fn whole_and_streamed_answers_agree() {
    let (engine, server) = ready_engine(EngineSettings::default()).await;

    let (status, whole) = post_chat(&server, "req\"1", &chat(20, false)).await.unwrap();
    let (_, streamed) = post_chat(&server, "req\"1", &chat(20, true)).await.unwrap();
    let text_request = json!({"model": "m", "prompt": "abcd", "max_tokens": 2});
    let headers = [
        ("x-request-id", "req-2"),
        ("x-guava-replica", "r1"),
        ("idempotency-key", "k"),
    ];
    let (_, text) = post(server.addr(), "/v1/completions", &headers, &text_request)
        .await
        .unwrap();

    let whole: Value = serde_json::from_slice(&whole).unwrap();
    let (content, usage, is_done) = read_stream(&streamed);
    let text: Value = serde_json::from_slice(&text).unwrap();
    assert_eq!(status, 200);
    assert_eq!(whole["choices"][0]["message"]["content"], content);
    assert!(content.starts_with("req\"1 1 2 ") && is_done, "{content}");
    assert_eq!(whole["usage"]["completion_tokens"], 20);
    assert_eq!(usage["prompt_tokens"], whole["usage"]["prompt_tokens"]);
    assert_eq!(text["choices"][0]["text"], "req-2 1");
    let record = engine.record();
    let last = &record.requests[2];
    assert_eq!(
        (last.idempotency_key.as_deref(), last.replica.as_str()),
        (Some("k"), "r1")
    );
    assert!(last.headers.iter().any(|it| it == "x-guava-replica"));
    assert!(record.requests.iter().all(|it| it.state == RequestState::Finished));
}

/// Guards against running a malformed request, or one for a model or replica that the engine does not serve.
#[rstest]
#[case(json!({"model": "other"}), "r1", 404)]
#[case(json!({"model": "m"}), "r2", 409)]
#[case(json!({"model": 7}), "r1", 400)]
#[tokio::test]
async fn invalid_requests_do_not_run(#[case] body: Value, #[case] replica: &str, #[case] expected: u16) {
    let (engine, server) = ready_engine(EngineSettings::default()).await;

    let answer = post(server.addr(), "/v1/completions", &[("x-guava-replica", replica)], &body).await;

    assert_eq!(answer.unwrap().0, expected);
    assert_eq!(engine.record().request_count, 0);
}

/// Guards against a truncated answer that looks complete, and against a fault for one request that also truncates
/// the next.
#[rstest]
#[case(false, 0)]
#[case(false, 3)]
#[case(true, 0)]
#[case(true, 3)]
#[tokio::test]
async fn cut_answers_are_incomplete(#[case] stream: bool, #[case] tokens: u32) {
    let (engine, server) = ready_engine(EngineSettings::default()).await;
    let faults = EngineFaults {
        die_after_tokens: Some(tokens),
        die_next: Some(1),
        ..EngineFaults::default()
    };
    engine.set_faults(faults);

    let first = post_chat(&server, "a", &chat(10, stream)).await;
    let second = post_chat(&server, "b", &chat(10, stream)).await;

    assert_eq!(first, None);
    assert_eq!(second.unwrap().0, 200);
    let states = engine.record().requests.iter().map(|it| it.state).collect::<Vec<_>>();
    assert_eq!(states, [RequestState::Died, RequestState::Finished]);
}

/// Guards against continuing a request after the client has closed the connection, while the answer is generated or
/// streamed.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test]
async fn closed_connections_cancel_requests(#[case] stream: bool) {
    let settings = EngineSettings {
        decode_us: 50_000,
        ..EngineSettings::default()
    };
    let (engine, server) = ready_engine(settings).await;
    let mut connection = send_long_request(server.addr(), stream).await;

    if stream {
        connection.read_exact(&mut [0; 16]).await.unwrap();
    }
    eventually(async || !engine.record().requests.is_empty()).await;
    let running = engine.current_report().replicas[0].running;
    drop(connection);
    eventually(async || engine.record().requests[0].state != RequestState::Running).await;

    assert_eq!(running, 1);
    assert_eq!(engine.record().requests[0].state, RequestState::Cancelled);
    eventually(async || engine.current_report().replicas[0].running == 0).await;
}

/// Guards against an unload that interrupts a running request or frees the memory before the request has finished.
#[tokio::test]
async fn unload_lets_running_requests_finish() {
    let settings = EngineSettings {
        decode_us: 100_000,
        ..EngineSettings::default()
    };
    let (engine, server) = ready_engine(settings).await;
    let addr = server.addr();
    let running = tokio::spawn(async move { post(addr, "/v1/chat/completions", &[], &chat(20, false)).await });
    eventually(async || !engine.record().requests.is_empty()).await;

    let unload = Order {
        replica: ReplicaId::new("r1"),
        term: Term(1),
        instance: None,
        action: Action::Unload,
    };
    engine.take_order(&unload).unwrap();
    let status_after_unload = post_chat(&server, "late", &chat(1, false)).await.unwrap().0;
    let memory_while_running = engine.record().memory_bytes;
    let status_of_running = running.await.unwrap().unwrap().0;

    assert_eq!(
        (status_after_unload, memory_while_running, status_of_running),
        (404, 1, 200)
    );
    eventually(async || engine.current_report().replicas[0].state == EngineReplicaState::Ended).await;
    assert_eq!(engine.record().memory_bytes, 0);
}

/// Guards against a batch that runs more requests than it has slots, or ignores priorities.
#[tokio::test]
async fn waiting_requests_run_by_priority() {
    let settings = EngineSettings {
        slots: 1,
        decode_us: 20_000,
        ..EngineSettings::default()
    };
    let (engine, server) = ready_engine(settings).await;
    let addr = server.addr();
    let send = |priority: i64, tokens: u32| {
        let mut body = chat(tokens, false);
        body["priority"] = priority.into();
        tokio::spawn(async move { post(addr, "/v1/chat/completions", &[], &body).await })
    };
    let wait_for_waiting = |count| {
        let engine = Arc::clone(&engine);
        async move {
            eventually(async || engine.current_report().replicas[0].waiting == count).await;
        }
    };

    let first = send_long_request(addr, false).await;
    eventually(async || engine.current_report().replicas[0].running == 1).await;
    let low_priority = send(1, 1_000_000);
    wait_for_waiting(1).await;
    let high_priority = send(2, 1);
    wait_for_waiting(2).await;

    drop(first);

    // The request with low priority runs for hours, so the other one can finish in time only if it runs first.
    assert_eq!(high_priority.await.unwrap().unwrap().0, 200);
    low_priority.abort();
}

/// Guards against a prefix cache that never hits or never evicts, and against cache events that are published before
/// their delay or without the configured losses.
#[tokio::test]
async fn prefix_cache_is_limited_and_its_events_lag_and_have_gaps() {
    let delayed = EngineSettings {
        prefix_blocks: 4,
        event_delay_ms: 600_000,
        ..EngineSettings::default()
    };
    let immediate = EngineSettings {
        prefix_blocks: 4,
        event_delay_ms: 0,
        event_gap_every: 2,
        ..EngineSettings::default()
    };
    let (engine, server) = ready_engine(immediate).await;
    let (_, delayed_server) = ready_engine(delayed).await;
    let request = |letter: &str| json!({"model": "m", "prompt": letter.repeat(200), "max_tokens": 1});
    let cached_tokens = async |letter: &str| {
        let (_, body) = post(server.addr(), "/v1/completions", &[], &request(letter))
            .await
            .unwrap();
        let body: Value = serde_json::from_slice(&body).unwrap();
        body["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
    };
    post(delayed_server.addr(), "/v1/completions", &[], &request("a"))
        .await
        .unwrap();

    let counts = [
        cached_tokens("a").await,
        cached_tokens("a").await,
        cached_tokens("b").await,
        cached_tokens("a").await,
    ];
    let client = HttpEngine::new();
    let events = client.cache_events(server.addr(), 0).await.unwrap();
    let later_events = client.cache_events(server.addr(), events.next).await.unwrap();
    let delayed_events = client.cache_events(delayed_server.addr(), 0).await.unwrap();

    assert_eq!(counts, [0, 48, 0, 0]);
    assert!(events.events.iter().all(|it| it.sequence % 2 == 1));
    assert!(events.events.iter().any(|it| it.kind == CacheEventKind::Evicted));
    assert_eq!(later_events.events, vec![]);
    assert_eq!(delayed_events.events, vec![]);
    assert!(engine.record().request_count == 4);
}

/// Guards against a service that does not count calls whose answer was truncated.
#[tokio::test]
async fn service_counts_calls_by_id_even_if_answers_are_cut() {
    let service = StandInService::new(0);
    let server = serve_service(&service, loopback()).await.unwrap();

    let by_query = post(server.addr(), "/book?id=7", &[("x-request-id", "q")], &json!({}))
        .await
        .unwrap();
    service.set_faults(EngineFaults {
        die_after_tokens: Some(0),
        ..EngineFaults::default()
    });
    let without_body = post(server.addr(), "/book", &[], &json!({"id": "7"})).await;
    service.set_faults(EngineFaults {
        die_after_tokens: Some(1),
        ..EngineFaults::default()
    });
    let with_partial_body = post(server.addr(), "/book", &[], &json!({"id": 8})).await;

    let answer: Value = serde_json::from_slice(&by_query.1).unwrap();
    let record = service.record();
    assert_eq!(answer, json!({"id": "7", "count": 1, "request": "q"}));
    assert_eq!((without_body, with_partial_body), (None, None));
    assert_eq!((record.counts["7"], record.counts["8"]), (2, 1));
    assert_eq!(record.calls[1].state, RequestState::Died);
}
