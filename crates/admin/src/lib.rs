//! Administration API: what operators and teams use to drive the system.
//!
//! Every edit is conditional on a version, so that two operators who edit the same object cannot overwrite each other
//! unseen. An accepted change goes to the platform first and then straight into the spread, which makes it reach the
//! fleet even when the platform fails right after the write.

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
        /// The listener could not be opened.
        Listen(error: std::io::Error) {
            from()
            display("cannot listen: {error}")
        }
        /// The process runtime failed.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// Settings have faults.
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
    /// Address of the administration API.
    #[arg(long, env = "GUAVA_ADMIN_ADDR", default_value = "127.0.0.1:7300")]
    pub admin_addr: SocketAddr,
    /// Token that operators send as `Authorization: Bearer`.
    #[arg(long, env = "GUAVA_ADMIN_TOKEN", hide_env_values = true)]
    pub admin_token: String,
    /// Secret under which callers' keys are hashed; the same for all processes of a deployment.
    #[arg(long, env = "GUAVA_PEPPER", hide_env_values = true)]
    pub pepper: String,
}

impl AdminArgs {
    /// All faults of the settings, with the accepted range.
    pub fn check(&self) -> Vec<String> {
        let settings = [
            (
                "--admin-token (GUAVA_ADMIN_TOKEN)",
                self.admin_token.len(),
                MIN_TOKEN_BYTES,
            ),
            ("--pepper (GUAVA_PEPPER)", self.pepper.len(), MIN_PEPPER_BYTES),
        ];
        let short = settings.into_iter().filter(|(_, len, least)| len < least);
        short
            .map(|(name, _, least)| format!("{name}: accepted is {least} bytes or more"))
            .collect()
    }
}

/// State of the administration API.
#[derive(Debug)]
pub struct Admin {
    node: Node,
    health: Health,
    token: String,
    hasher: KeyHasher,
    rng: Mutex<StdRng>,
}

impl Admin {
    /// Creates the state for checked settings.
    pub fn new(args: &AdminArgs, node: Node, health: Health) -> Self {
        Self {
            node,
            health,
            token: args.admin_token.clone(),
            hasher: KeyHasher::new(args.pepper.as_bytes()),
            rng: Mutex::new(StdRng::from_os_rng()),
        }
    }

    /// Text of 128 random bits, for identifiers that must be unique for ever.
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
/// Fails when settings have faults or the listener cannot be opened.
pub fn serve(args: &AdminArgs, node: Node, health: Health) -> Result<HttpServer, AdminError> {
    let faults = args.check();
    if !faults.is_empty() {
        return Err(AdminError::Settings(faults));
    }
    http::serve(args.admin_addr, Arc::new(Admin::new(args, node, health)))
}
