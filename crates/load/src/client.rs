//! Open-loop HTTP client that replays a trace against routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::trace::TraceRequest;

/// Response header that a router sets when a replica had to be loaded for the request.
const COLD_START_HEADER: &str = "x-guava-cold-start-ms";
/// Prompt text for one token: the router estimates one token per four bytes.
const TOKEN_TEXT: &str = "word";

/// Outcome of one request of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Index of the request in the trace.
    pub index: usize,
    /// HTTP status, or zero when no response was received.
    pub status: u16,
    /// Result code in the body of an error response, such as `G1201`; `None` without one.
    pub code: Option<String>,
    /// Whether the error response states that the request was not run.
    pub not_run: bool,
    /// Time from the scheduled arrival to the first frame of the response body; zero when none was received.
    pub first_byte: Duration,
    /// Time from the scheduled arrival to the end of the response or to the failure.
    pub total: Duration,
    /// Whether the router reported that a replica had to be loaded.
    pub cold: bool,
    /// Whether the status was 200 and the response was received to its end, including `[DONE]` for a stream.
    pub complete: bool,
}

/// Sends each request of a trace at its scheduled time without waiting for earlier ones, and waits for all responses.
///
/// Requests are distributed over `routers` in turn. `keys` maps organisations to API keys; a request of an organisation
/// without a key is sent with an empty one.
pub async fn replay(routers: &[SocketAddr], keys: &BTreeMap<String, String>, trace: &[TraceRequest]) -> Vec<Sample> {
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(1_024)
        .build_http();
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(trace.len());
    for (index, req) in trace.iter().enumerate() {
        let scheduled_at = start + Duration::from_millis(req.at_ms);
        tokio::time::sleep_until(scheduled_at.into()).await;
        let router = routers[index % routers.len()];
        let http_req = build(router, keys.get(&req.organisation).map_or("", String::as_str), req);
        tasks.push(tokio::spawn(send(
            client.clone(),
            index,
            scheduled_at,
            http_req,
            req.stream,
        )));
    }
    join_all(tasks).await.into_iter().flatten().collect()
}

fn build(router: SocketAddr, key: &str, req: &TraceRequest) -> Request<Full<Bytes>> {
    let prompt = TOKEN_TEXT.repeat(req.prompt_tokens as usize);
    let mut body = json!({
        "model": req.model,
        "prompt": prompt,
        "max_tokens": req.output_tokens,
        "stream": req.stream,
    });
    if let Some(profile) = &req.profile {
        body["profile"] = json!(profile);
    }
    let mut builder = Request::post(format!("http://{router}/v1/completions"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {key}"));
    if let Some(key) = &req.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("request parts are valid")
}

async fn send(
    client: Client<HttpConnector, Full<Bytes>>,
    index: usize,
    scheduled_at: Instant,
    req: Request<Full<Bytes>>,
    stream: bool,
) -> Sample {
    let mut sample = Sample {
        index,
        status: 0,
        code: None,
        not_run: false,
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
        cold: false,
        complete: false,
    };
    if let Ok(res) = client.request(req).await {
        sample.status = res.status().as_u16();
        sample.cold = res.headers().contains_key(COLD_START_HEADER);
        read_body(res.into_body(), scheduled_at, stream, &mut sample).await;
    }
    sample.total = scheduled_at.elapsed();
    sample
}

async fn read_body(mut body: hyper::body::Incoming, scheduled_at: Instant, stream: bool, sample: &mut Sample) {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return;
        };
        if buf.is_empty() {
            sample.first_byte = scheduled_at.elapsed();
        }
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
    }
    let is_ok = sample.status == StatusCode::OK.as_u16();
    sample.complete = is_ok && (!stream || buf.trim_ascii_end().ends_with(b"data: [DONE]"));
    if !is_ok {
        let error_body: Value = serde_json::from_slice(&buf).unwrap_or_default();
        sample.code = error_body["error"]["code"].as_str().map(str::to_owned);
        sample.not_run = error_body["error"]["run"] == json!("not_run");
    }
}
