//! JSON-RPC client for calls to other members.

use std::collections::HashMap;
use std::error::Error as StdError;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::http_helpers::HttpError;
use jsonrpsee::core::params::ObjectParams;
use jsonrpsee::http_client::transport::Error as TransportError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::types::ErrorObjectOwned;
use parking_lot::Mutex;
use serde_json::Value;

use crate::{MemberInfo, PeerError, Peers};

/// Largest request or response body in bytes. Pulls of entries are paged and stay well below it.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 32 * 1024 * 1024;

/// Most cached clients. The cache is cleared when it is full; otherwise addresses of replaced VMs would accumulate.
const MAX_CLIENTS: usize = 4_096;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP status with which a peer rejects a call when it has too many connections.
const TOO_MANY_REQUESTS: u16 = 429;

/// [`Peers`] with one cached HTTP client per address.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl PeerClients {
    /// Client for `addr`; created when none is cached.
    fn client(&self, addr: SocketAddr) -> Result<HttpClient, PeerError> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&addr) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .connect_timeout(CONNECT_TIMEOUT)
            .build(format!("http://{addr}"))
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(addr, client.clone());
        Ok(client)
    }
}

#[async_trait]
impl Peers for PeerClients {
    async fn call(
        &self,
        member: &MemberInfo,
        method: &str,
        params: Value,
        timeout: Duration,
    ) -> Result<Value, PeerError> {
        let client = self.client(member.rpc_addr)?;
        let params = object_params(params)?;
        let response = tokio::time::timeout(timeout, client.request::<Value, _>(method, params));
        match response.await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(peer_error(&error)),
            Err(elapsed) => Err(PeerError::OutcomeUnknown(elapsed.to_string())),
        }
    }
}

fn object_params(params: Value) -> Result<ObjectParams, PeerError> {
    let mut object = ObjectParams::new();
    let Value::Object(fields) = params else {
        return Ok(object);
    };
    for (name, value) in fields {
        object
            .insert(&name, value)
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
    }
    Ok(object)
}

/// Classifies a failed call. Only a failure to deliver the request, or an explicit refusal, proves that the call had no
/// effect.
fn peer_error(error: &ClientError) -> PeerError {
    match error {
        ClientError::Call(object) => refused(object),
        ClientError::Transport(inner) => transport_error(inner.as_ref()),
        other => PeerError::OutcomeUnknown(other.to_string()),
    }
}

fn transport_error(error: &(dyn StdError + Send + Sync + 'static)) -> PeerError {
    if let Some(nested) = error.downcast_ref::<ClientError>() {
        return peer_error(nested);
    }
    let text = error.to_string();
    match error.downcast_ref::<TransportError>() {
        Some(TransportError::Rejected { status_code }) if *status_code == TOO_MANY_REQUESTS => {
            PeerError::Unreachable(text)
        }
        Some(TransportError::Http(HttpError::Stream(inner))) => {
            let client_error = inner.downcast_ref::<hyper_util::client::legacy::Error>();
            if client_error.is_some_and(hyper_util::client::legacy::Error::is_connect) {
                PeerError::Unreachable(text)
            } else {
                PeerError::OutcomeUnknown(text)
            }
        }
        Some(TransportError::Url(_) | TransportError::RequestTooLarge) => PeerError::Unreachable(text),
        _ => PeerError::OutcomeUnknown(text),
    }
}

fn refused(object: &ErrorObjectOwned) -> PeerError {
    PeerError::Refused(object.code(), object.message().to_owned())
}
