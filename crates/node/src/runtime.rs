//! Start and stop of the process runtime.

use std::sync::Arc;

use guava_core::ids::Role;
use guava_platform::{ObjectStore, VmList};
use jsonrpsee::RpcModule;
use quick_error::quick_error;

use crate::Node;
use crate::settings::CommonArgs;

quick_error! {
    /// Failure to start the runtime.
    #[derive(Debug)]
    pub enum NodeError {
        /// A socket could not be opened.
        Socket(error: std::io::Error) {
            from()
            display("socket: {error}")
        }
        /// Settings have faults.
        Settings(faults: Vec<String>) {
            display("settings: {}", faults.join("; "))
        }
    }
}

/// A running process runtime.
#[derive(Debug)]
pub struct Runtime {
    /// Parts that the program uses.
    pub node: Node,
}

#[expect(clippy::unused_async, reason = "the bodies are being written")]
impl Runtime {
    /// Opens the gossip socket and starts membership, gossip, leases and platform watches.
    ///
    /// # Errors
    ///
    /// Fails when settings have faults or a socket cannot be opened.
    pub async fn start(
        _cfg: &CommonArgs,
        _role: Role,
        _store: Arc<dyn ObjectStore>,
        _vms: Arc<dyn VmList>,
    ) -> Result<Self, NodeError> {
        todo!()
    }

    /// Serves the program's JSON-RPC methods and the runtime's own.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be opened.
    pub async fn serve_rpc(&self, _module: RpcModule<()>) -> Result<(), NodeError> {
        todo!()
    }

    /// Whether the configuration has arrived and the VM is neither isolated nor shutting down.
    pub fn ready(&self) -> bool {
        todo!()
    }

    /// Meter for the program's metrics.
    pub fn meter(&self) -> opentelemetry::metrics::Meter {
        todo!()
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        todo!()
    }

    /// Starts a graceful shutdown: `ready` turns false and `node.shutdown` turns true.
    pub fn begin_shutdown(&self) {
        todo!()
    }

    /// Hands over leases, says goodbye to peers and stops the background tasks.
    pub async fn stop(self) {
        todo!()
    }
}
