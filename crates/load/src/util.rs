//! Reads the idle time of accelerators from `/metrics`.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Metric that counts the seconds during which backend servers ran no requests.
const IDLE_METRIC: &str = "guava_idle_accelerator_seconds_total";

/// Sum of the idle metric in seconds over all addresses that answer, or `None` when none answers.
pub async fn idle_seconds(addrs: &[SocketAddr]) -> Option<f64> {
    let mut sum = None;
    for addr in addrs {
        if let Some(value) = scrape_idle_seconds(*addr).await {
            sum = Some(sum.unwrap_or(0.0) + value);
        }
    }
    sum
}

async fn scrape_idle_seconds(addr: SocketAddr) -> Option<f64> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{addr}/metrics").parse().ok()?;
    let body = client.get(uri).await.ok()?.into_body().collect().await.ok()?.to_bytes();
    let text = String::from_utf8(body.to_vec()).ok()?;
    let values = text.lines().filter(|line| line.starts_with(IDLE_METRIC));
    Some(
        values
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum(),
    )
}
