//! Tests of invalid input over HTTP: each kind of error has its own code, and no invalid request reaches a backend server.

mod support;

use rstest::rstest;
use serde_json::json;
use support::{Backend, Fixture, call, chat_body, json_answer, raw_call, request_text};

const CHAT: &str = "/v1/chat/completions";

fn chat_body_with(changes: &serde_json::Value) -> String {
    let mut body = chat_body();
    for (field, value) in changes.as_object().into_iter().flatten() {
        body[field] = value.clone();
    }
    body.to_string()
}

/// Guards against invalid bodies that are accepted or answered with a code that does not identify the error.
#[rstest]
#[case::not_json("{", 400, "G1001")]
#[case::empty("", 400, "G1001")]
#[case::not_an_object("[\"advice\"]", 400, "G1002")]
#[case::number("7", 400, "G1002")]
#[case::no_model("{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 400, "G1008")]
#[case::null_model("{\"model\":null}", 400, "G1008")]
#[case::model_number("{\"model\":7}", 400, "G1002")]
#[case::duplicate_model("{\"model\":\"advice\",\"model\":\"other\"}", 400, "G1003")]
#[case::no_messages("{\"model\":\"advice\"}", 400, "G1008")]
#[case::empty_messages("{\"model\":\"advice\",\"messages\":[]}", 400, "G1002")]
#[case::no_role("{\"model\":\"advice\",\"messages\":[{\"content\":\"x\"}]}", 400, "G1008")]
#[case::content_number(
    "{\"model\":\"advice\",\"messages\":[{\"role\":\"user\",\"content\":1}]}",
    400,
    "G1002"
)]
#[case::prompt_in_chat("{\"model\":\"advice\",\"prompt\":\"x\"}", 400, "G1003")]
#[case::stream_text(&chat_body_with(&json!({"stream": "yes"})), 400, "G1002")]
#[case::zero_output(&chat_body_with(&json!({"max_tokens": 0})), 400, "G1002")]
#[case::negative_output(&chat_body_with(&json!({"max_tokens": -1})), 400, "G1002")]
#[case::different_output_limits(&chat_body_with(&json!({"max_completion_tokens": 9})), 400, "G1003")]
#[case::temperature_too_high(&chat_body_with(&json!({"temperature": 3})), 400, "G1002")]
#[case::too_many_choices(&chat_body_with(&json!({"n": 1000})), 400, "G1002")]
#[case::unknown_model(&chat_body_with(&json!({"model": "none"})), 404, "G1104")]
#[case::unknown_profile(&chat_body_with(&json!({"profile": "none"})), 404, "G1105")]
#[case::idempotency_key_required(&chat_body_with(&json!({"profile": "strict"})), 400, "G1012")]
#[tokio::test]
async fn invalid_body_is_refused(#[case] body: &str, #[case] status: u16, #[case] code: &str) {
    let fixture = Fixture::start().await;
    let bearer = format!("Bearer {}", fixture.key);

    let headers = [("authorization", bearer.as_str())];
    let reply = call(fixture.router.addr(), "POST", CHAT, &headers, body.as_bytes()).await;

    assert_eq!((reply.status, reply.code().as_str()), (status, code), "{reply:?}");
    assert_eq!(reply.run(), "not_run");
    assert!(fixture.quota.reserved.lock().is_empty());
}

/// Guards against invalid or conflicting headers that are accepted or answered with the wrong code.
#[rstest]
#[case::profiles_differ(&[("x-guava-profile", "fast")], &json!({"profile": "filing"}), 400, "G1003")]
#[case::empty_idempotency_key(&[("idempotency-key", " ")], &json!({}), 400, "G1011")]
#[case::compressed(&[("content-encoding", "gzip")], &json!({}), 400, "G1014")]
#[case::deferred_stream(&[("prefer", "respond-async")], &json!({"stream": true}), 400, "G1003")]
#[case::two_api_keys(&[("x-api-key", "gv_k9_abc")], &json!({}), 400, "G1003")]
#[tokio::test]
async fn invalid_headers_are_refused(
    #[case] headers: &[(&str, &str)],
    #[case] changes: &serde_json::Value,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fixture = Fixture::start().await;
    let body: serde_json::Value = serde_json::from_str(&chat_body_with(changes)).expect("JSON");

    let reply = fixture.post(CHAT, headers, &body).await;

    assert_eq!((reply.status, reply.code().as_str()), (status, code), "{reply:?}");
    assert_eq!(reply.run(), "not_run");
}

/// Guards against requests that run without a valid API key.
#[rstest]
#[case::none(None, "G1101")]
#[case::not_bearer(Some("Basic abc"), "G1101")]
#[case::malformed(Some("Bearer abc"), "G1102")]
#[case::unknown_id(Some("Bearer gv_none_abc"), "G1102")]
#[case::wrong_secret(Some("Bearer gv_k1_abc"), "G1102")]
#[tokio::test]
async fn invalid_api_key_is_refused(#[case] authorization: Option<&str>, #[case] code: &str) {
    let fixture = Fixture::start().await;
    let headers: Vec<(&str, &str)> = authorization.map(|it| ("authorization", it)).into_iter().collect();

    let body = chat_body().to_string();
    let reply = call(fixture.router.addr(), "POST", CHAT, &headers, body.as_bytes()).await;

    assert_eq!((reply.status, reply.code().as_str()), (401, code), "{reply:?}");
}

/// Guards against unknown paths and unsupported methods that are accepted or answered with the wrong code.
#[rstest]
#[case("GET", "/", 404, "G1009")]
#[case("GET", "/v1/jobs/", 404, "G1009")]
#[case("GET", CHAT, 405, "G1010")]
#[case("DELETE", "/v1/models", 405, "G1010")]
#[case("POST", "/v1/jobs/job-1", 405, "G1010")]
#[case("GET", "/svc/none/x", 404, "G1106")]
#[tokio::test]
async fn unknown_path_or_method_is_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fixture = Fixture::start().await;
    let bearer = format!("Bearer {}", fixture.key);

    let reply = call(fixture.router.addr(), method, path, &[("authorization", &bearer)], b"").await;

    assert_eq!((reply.status, reply.code().as_str()), (status, code), "{reply:?}");
}

/// Guards against invalid UTF-8 in a body that is forwarded to a backend server.
#[tokio::test]
async fn invalid_utf8_is_refused() {
    let fixture = Fixture::start().await;
    let bearer = format!("Bearer {}", fixture.key);
    let headers = [("authorization", bearer.as_str())];

    let reply = call(fixture.router.addr(), "POST", CHAT, &headers, b"{\"model\":\"\xff\"}").await;

    assert_eq!((reply.status, reply.code().as_str()), (400, "G1004"), "{reply:?}");
}

/// Guards against bodies, with or without `content-length`, and headers that exceed their size limit and are accepted.
#[rstest]
#[case::content_length("content-length: 5000\r\n", 5_000, 413, "G1005")]
#[case::chunked("transfer-encoding: chunked\r\n", 5_000, 413, "G1005")]
#[case::headers("", 0, 431, "G1006")]
#[tokio::test]
async fn oversized_input_is_refused(
    #[case] framing: &str,
    #[case] body_bytes: usize,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fixture = Fixture::start_with(|args| args.body_limit_bytes = 4_096).await;
    let padding = if body_bytes == 0 {
        "x".repeat(40_000)
    } else {
        String::new()
    };
    let mut text = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: r\r\nconnection: close\r\nauthorization: Bearer {}\r\n\
         x-padding: {padding}\r\n{framing}\r\n",
        fixture.key
    );
    if framing.starts_with("transfer") {
        text.extend([
            &format!("{body_bytes:x}\r\n"),
            "x".repeat(body_bytes).as_str(),
            "\r\n0\r\n\r\n",
        ]);
    } else {
        text.push_str(&"x".repeat(body_bytes));
    }

    let reply = raw_call(fixture.router.addr(), text.as_bytes()).await;

    assert_eq!((reply.status, reply.code().as_str()), (status, code), "{reply:?}");
}

/// Guards against a caller that keeps memory and a connection in use by sending its body too slowly.
#[tokio::test]
async fn slow_body_is_refused() {
    let fixture = Fixture::start_with(|args| args.body_timeout_ms = 100).await;
    let bearer = format!("Bearer {}", fixture.key);
    let headers = [("authorization", bearer.as_str()), ("content-length", "100")];

    let reply = raw_call(fixture.router.addr(), &request_text("POST", CHAT, &headers, b"{")).await;

    assert_eq!((reply.status, reply.code().as_str()), (408, "G1007"), "{reply:?}");
}

/// Guards against an incomplete body, after the caller has closed its side, that is forwarded as if it were complete.
#[rstest]
#[case::content_length("content-length: 100\r\n\r\nhalf")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")]
#[tokio::test]
async fn incomplete_body_is_not_forwarded(#[case] rest: &str) {
    use tokio::io::AsyncWriteExt;

    let fixture = Fixture::start().await;
    let backend = Backend::answering(json_answer(&json!({}))).await;
    fixture.place_plain(backend.addr);
    let mut caller = tokio::net::TcpStream::connect(fixture.router.addr())
        .await
        .expect("the router listens");
    let text = format!("POST /svc/open/order HTTP/1.1\r\nhost: r\r\n{rest}");
    caller.write_all(text.as_bytes()).await.expect("the request is written");

    caller.shutdown().await.expect("the caller closes its side");

    let mut answer = Vec::new();
    drop(tokio::io::AsyncReadExt::read_to_end(&mut caller, &mut answer).await);
    assert!(String::from_utf8_lossy(&answer).contains("G1013"), "{answer:?}");
    assert_eq!(backend.requests(), 0);
}
