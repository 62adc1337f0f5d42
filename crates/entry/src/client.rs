//! HTTP client for calls with small answers: to the store, to engines' control interfaces and to other entry processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use guava_platform::{CallError, Http};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::metrics;
use crate::state::now;

/// Largest answer of the store or of an entry process; a page of a list from the store has about 1 MB.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Largest answer of an engine; a report lists the models and adapters of one engine. Many engines are polled at a time,
/// and a faulty one may send bytes without end.
const MAX_ENGINE_ANSWER_BYTES: usize = 256 << 10;
/// Timeout for opening a connection; a round trip within a deployment takes about 3 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time for which an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Client for the store that records a metric for each call.
#[derive(Debug)]
pub struct StoreClient(pub Arc<dyn Http>);

#[async_trait]
impl Http for StoreClient {
    async fn call(
        &self,
        address: SocketAddr,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let method = req.method().clone();
        let at = now();
        let answer = self.0.call(address, req, timeout).await;
        let result = match answer.as_ref().map(Response::status) {
            Ok(status) if status.is_success() => "success",
            Ok(StatusCode::CONFLICT) => "conflict",
            Ok(StatusCode::GONE) => "history_gone",
            Ok(StatusCode::TOO_MANY_REQUESTS) => "over_rate",
            Ok(StatusCode::SERVICE_UNAVAILABLE) => "unavailable",
            Ok(_) => "refused",
            Err(_) => "unanswered",
        };
        metrics::store_call(method.as_str(), result, now().since(at));
        answer
    }
}

/// Clients of the process, by the calls that they make.
#[derive(Debug, Clone)]
pub struct Clients {
    /// For the store and other entry processes.
    pub internal: Arc<dyn Http>,
    /// For reports of engines. Connections are kept: the number of orders in a report shows whether it is outdated.
    pub reports: Arc<dyn Http>,
    /// For orders to engines, each on its own connection: a late second copy of an answer would be taken for that to the
    /// next order.
    pub orders: Arc<dyn Http>,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            internal: Arc::new(PooledClient::new(MAX_IDLE_CONNECTIONS, MAX_ANSWER_BYTES)),
            reports: Arc::new(PooledClient::new(MAX_IDLE_CONNECTIONS, MAX_ENGINE_ANSWER_BYTES)),
            orders: Arc::new(PooledClient::new(0, MAX_ENGINE_ANSWER_BYTES)),
        }
    }
}

/// Client with a connection pool.
#[derive(Debug)]
pub struct PooledClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_answer_bytes: usize,
}

impl PooledClient {
    /// Creates a client that keeps up to `max_idle` idle connections to each address.
    pub fn new(max_idle: usize, max_answer_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .pool_timer(TokioTimer::new())
            // A retry on another connection could run a call twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            max_answer_bytes,
        }
    }
}

#[async_trait]
impl Http for PooledClient {
    async fn call(
        &self,
        address: SocketAddr,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let (mut head, body) = req.into_parts();
        let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
        head.uri = format!("http://{address}{path}")
            .parse::<Uri>()
            .map_err(|e| CallError::NotRun(e.to_string()))?;
        let req = Request::from_parts(head, Full::new(body));
        let exchange = async {
            let answer = self.client.request(req).await.map_err(|e| {
                if e.is_connect() {
                    CallError::NotRun(e.to_string())
                } else {
                    CallError::Unanswered(e.to_string())
                }
            })?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, self.max_answer_bytes).collect().await;
            let body = body.map_err(|e| CallError::Unanswered(e.to_string()))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let unanswered = || {
            Err(CallError::Unanswered(format!(
                "no answer within {} ms",
                timeout.as_millis()
            )))
        };
        let sent = now();
        let answer = tokio::time::timeout(timeout, exchange).await;
        // An answer that waited while this process was suspended tells what was true before.
        if now().since(sent) > timeout.as_millis() as u64 {
            return unanswered();
        }
        answer.unwrap_or_else(|_| unanswered())
    }
}
