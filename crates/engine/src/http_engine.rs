//! HTTP implementation of the [`Engine`] trait.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use guava_core::ids::Term;
use guava_objects::client::{Answer, CallError, HttpClient};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::engine_front::OrderRefusal;
use crate::prefix::CacheEvents;
use crate::{Engine, EngineError, EngineReport, Order};

/// Time limit for a call, until its answer has been read.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client for the control API of engines.
#[derive(Debug, Clone, Default)]
pub struct HttpEngine {
    caller: HttpClient,
}

impl HttpEngine {
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fetches the published cache events with a number above `since`.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or sends no valid answer within 2 s.
    pub async fn cache_events(&self, server: SocketAddr, since: u64) -> Result<CacheEvents, EngineError> {
        self.get_json(server, &format!("/control/cache-events?since={since}"))
            .await
    }

    async fn get_json<T: DeserializeOwned>(&self, server: SocketAddr, path: &str) -> Result<T, EngineError> {
        let answer = self
            .caller
            .call(Method::GET, server, path, Bytes::new(), CALL_TIMEOUT)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(status_error(&answer));
        }
        parse_body(&answer)
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn order(&self, server: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let body = serde_json::to_vec(order).map_err(|error| EngineError::Unreachable(error.to_string()))?;
        let call = self
            .caller
            .call(Method::POST, server, "/control/orders", body.into(), CALL_TIMEOUT);
        let answer = call.await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let newest = parse_body::<OrderRefusal>(&answer)?.newest_term;
                Err(EngineError::Fenced(newest.unwrap_or(Term(0))))
            }
            StatusCode::UNPROCESSABLE_ENTITY => Err(EngineError::Refused(parse_body::<OrderRefusal>(&answer)?.reason)),
            _ => Err(status_error(&answer)),
        }
    }

    async fn report(&self, server: SocketAddr) -> Result<EngineReport, EngineError> {
        self.get_json(server, "/control/report").await
    }
}

impl From<CallError> for EngineError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) => Self::Unreachable(reason),
            CallError::NoAnswer(reason) => Self::OutcomeUnknown(reason),
        }
    }
}

/// Error for an answer with an unexpected status.
fn status_error(answer: &Answer) -> EngineError {
    let reason = answer.status.to_string();
    match answer.status {
        StatusCode::SERVICE_UNAVAILABLE => EngineError::Unreachable(reason),
        _ => EngineError::OutcomeUnknown(reason),
    }
}

fn parse_body<T: DeserializeOwned>(answer: &Answer) -> Result<T, EngineError> {
    serde_json::from_slice(&answer.body).map_err(|error| EngineError::OutcomeUnknown(error.to_string()))
}
