//! Open-loop sending of a trace to routers.

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

/// Response header by which a router says that a replica had to be loaded.
const COLD_START_HEADER: &str = "x-guava-cold-start-ms";
/// Text of one token in the router's estimate of four bytes.
const TOKEN_TEXT: &str = "word";

/// How one request of a trace ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Index in the trace.
    pub index: usize,
    /// HTTP status, or zero when there was no answer.
    pub status: u16,
    /// Result code of a refusal, such as `G1201`.
    pub code: Option<String>,
    /// Whether a refusal says that the request was not run.
    pub not_run: bool,
    /// From the scheduled arrival to the first byte of the answer.
    pub first_byte: Duration,
    /// From the scheduled arrival to the end of the answer.
    pub total: Duration,
    /// Whether a replica had to be loaded.
    pub cold: bool,
    /// Whether the answer was whole.
    pub whole: bool,
}

/// Sends each request of a trace at its time, whatever the earlier ones do.
pub async fn replay(routers: &[SocketAddr], keys: &BTreeMap<String, String>, trace: &[TraceRequest]) -> Vec<Sample> {
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(1_024)
        .build_http();
    let start = Instant::now();
    let mut running = Vec::with_capacity(trace.len());
    for (index, req) in trace.iter().enumerate() {
        let at = start + Duration::from_millis(req.at_ms);
        tokio::time::sleep_until(at.into()).await;
        let router = routers[index % routers.len()];
        let http = build(router, keys.get(&req.organisation).map_or("", String::as_str), req);
        running.push(tokio::spawn(send(client.clone(), index, at, http, req.stream)));
    }
    join_all(running).await.into_iter().flatten().collect()
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
    at: Instant,
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
        whole: false,
    };
    if let Ok(res) = client.request(req).await {
        sample.status = res.status().as_u16();
        sample.cold = res.headers().contains_key(COLD_START_HEADER);
        read_body(res.into_body(), at, stream, &mut sample).await;
    }
    sample.total = at.elapsed();
    sample
}

async fn read_body(mut body: hyper::body::Incoming, at: Instant, stream: bool, sample: &mut Sample) {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return;
        };
        if buf.is_empty() {
            sample.first_byte = at.elapsed();
        }
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
    }
    let is_ok = sample.status == StatusCode::OK.as_u16();
    sample.whole = is_ok && (!stream || buf.trim_ascii_end().ends_with(b"data: [DONE]"));
    if !is_ok {
        let answer: Value = serde_json::from_slice(&buf).unwrap_or_default();
        sample.code = answer["error"]["code"].as_str().map(str::to_owned);
        sample.not_run = answer["error"]["run"] == json!("not_run");
    }
}
