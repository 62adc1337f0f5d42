//! Administration API, through which operators and teams configure and inspect the system.
//!
//! Every edit of an object is conditional on its version, so that an operator cannot unknowingly overwrite the edit of
//! another one. An accepted change is written to the platform first and then published by gossip at once, so that it
//! reaches all processes even if the platform fails right after the write.

use std::net::SocketAddr;
use std::sync::Arc;

use guava_core::keys::{KeyHasher, MIN_PEPPER_BYTES};
use guava_node::Node;
use guava_node::health::Health;
use guava_node::http::HttpServer;
use guava_node::runtime::NodeError;
use parking_lot::Mutex;
use quick_error::quick_error;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

pub mod fleet;
pub mod http;
pub mod keys;
pub mod objects;
pub mod reply;

quick_error! {
    /// Failure to start the administration API.
    #[derive(Debug)]
    pub enum AdminError {
        /// The listener could not be opened or the server did not start.
        Listen(error: std::io::Error) {
            from()
            display("cannot listen: {error}")
        }
        /// The process runtime failed.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// The settings are invalid; one line for each fault.
        Settings(faults: Vec<String>) {
            display("settings: {}", faults.join("; "))
        }
    }
}

/// Shortest accepted operator token, in bytes.
const MIN_TOKEN_BYTES: usize = 8;

/// Settings of the administration API.
#[derive(Debug, Clone, clap::Args)]
pub struct AdminArgs {
    /// Address on which the administration API listens.
    #[arg(long, env = "GUAVA_ADMIN_ADDR", default_value = "127.0.0.1:7300")]
    pub admin_addr: SocketAddr,
    /// Token that operators send as `Authorization: Bearer`.
    #[arg(long, env = "GUAVA_ADMIN_TOKEN", hide_env_values = true)]
    pub admin_token: String,
    /// Secret with which callers' keys are hashed; must be the same for all processes of a deployment.
    #[arg(long, env = "GUAVA_PEPPER", hide_env_values = true)]
    pub pepper: String,
}

impl AdminArgs {
    /// Returns one line for each invalid setting, with the accepted range; empty if all are valid.
    pub fn check(&self) -> Vec<String> {
        let settings = [
            (
                "--admin-token (GUAVA_ADMIN_TOKEN)",
                self.admin_token.len(),
                MIN_TOKEN_BYTES,
            ),
            ("--pepper (GUAVA_PEPPER)", self.pepper.len(), MIN_PEPPER_BYTES),
        ];
        let too_short = settings.into_iter().filter(|(_, len, min)| len < min);
        too_short
            .map(|(name, _, min)| format!("{name}: accepted is {min} bytes or more"))
            .collect()
    }
}

/// State shared by all requests to the administration API.
#[derive(Debug)]
pub struct Admin {
    node: Node,
    health: Health,
    token: String,
    hasher: KeyHasher,
    rng: Mutex<StdRng>,
}

impl Admin {
    /// Creates the state. The settings must have passed [`AdminArgs::check`].
    pub fn new(args: &AdminArgs, node: Node, health: Health) -> Self {
        Self {
            node,
            health,
            token: args.admin_token.clone(),
            hasher: KeyHasher::new(args.pepper.as_bytes()),
            rng: Mutex::new(StdRng::from_os_rng()),
        }
    }

    /// Returns 128 random bits in hexadecimal, for identifiers that must never repeat.
    fn random_id(&self) -> String {
        let mut buf = [0; 16];
        self.rng.lock().fill_bytes(&mut buf);
        hex::encode(buf)
    }
}

/// Serves the administration API until the returned handle is stopped.
///
/// # Errors
///
/// Fails if the settings are invalid, the listener cannot be opened or the server does not start.
pub fn serve(args: &AdminArgs, node: Node, health: Health) -> Result<HttpServer, AdminError> {
    let faults = args.check();
    if !faults.is_empty() {
        return Err(AdminError::Settings(faults));
    }
    http::serve(args.admin_addr, Arc::new(Admin::new(args, node, health)))
}
