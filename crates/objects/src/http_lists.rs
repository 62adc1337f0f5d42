//! HTTP adapters of the list of VMs and the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use guava_core::derive_value;
use http::{Method, StatusCode};

use crate::client::{CALL_TIMEOUT, HttpClient};
use crate::http_objects::error_for_status;
use crate::{Checkpoint, PlatformError, VmInfo, VmList, WeightStore, wire};

/// Timeout of the read of a whole checkpoint.
const FETCH_TIMEOUT: Duration = Duration::from_mins(10);

derive_value! {
    /// Answer to `GET /vms`.
    pub(crate) struct VmItems {
        pub(crate) items: Vec<VmInfo>,
    }

    /// Answer to `POST /weights/{name}/fetch`.
    pub(crate) struct Fetched {
        pub(crate) bytes: u64,
    }
}

/// HTTP adapter of the list of VMs; calls take at most [`CALL_TIMEOUT`].
#[derive(Debug)]
pub struct HttpVmList {
    server: SocketAddr,
    client: HttpClient,
}

impl HttpVmList {
    /// Creates the adapter for the list at `server`, with a connection pool of its own.
    pub fn new(server: SocketAddr) -> Self {
        Self {
            server,
            client: HttpClient::new(),
        }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        let call = self
            .client
            .call(Method::GET, self.server, "/vms", Bytes::new(), CALL_TIMEOUT);
        let answer = call.await?;
        if answer.status != StatusCode::OK {
            return Err(error_for_status(&answer));
        }
        Ok(wire::parse::<VmItems>(&answer.body)?.items)
    }
}

/// HTTP adapter of the weight store; a lookup takes at most [`CALL_TIMEOUT`], the read of a checkpoint 10 minutes.
#[derive(Debug)]
pub struct HttpWeightStore {
    server: SocketAddr,
    client: HttpClient,
}

impl HttpWeightStore {
    /// Creates the adapter for the weight store at `server`, with a connection pool of its own.
    pub fn new(server: SocketAddr) -> Self {
        Self {
            server,
            client: HttpClient::new(),
        }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn checkpoint(&self, name: &str) -> Result<Option<Checkpoint>, PlatformError> {
        let path = format!("/weights/{}", wire::encode_segment(name));
        let call = self
            .client
            .call(Method::GET, self.server, &path, Bytes::new(), CALL_TIMEOUT);
        let answer = call.await?;
        match answer.status {
            StatusCode::OK => wire::parse(&answer.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(error_for_status(&answer)),
        }
    }

    async fn fetch(&self, name: &str) -> Result<u64, PlatformError> {
        let path = format!("/weights/{}/fetch", wire::encode_segment(name));
        let call = self
            .client
            .call(Method::POST, self.server, &path, Bytes::new(), FETCH_TIMEOUT);
        let answer = call.await?;
        match answer.status {
            StatusCode::OK => Ok(wire::parse::<Fetched>(&answer.body)?.bytes),
            StatusCode::NOT_FOUND => Err(PlatformError::Conflict(None)),
            _ => Err(error_for_status(&answer)),
        }
    }
}
