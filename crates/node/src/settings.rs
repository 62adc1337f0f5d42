//! Settings shared by all programs.

use std::net::SocketAddr;

use guava_core::config::is_name;

use crate::intake::IntakeArgs;
use crate::logging::LogFormat;

/// Flags and environment variables common to all programs that join the cluster.
#[derive(Debug, Clone, clap::Args)]
pub struct CommonArgs {
    /// Name of the VM this process runs on, as in the platform's VM list.
    #[arg(long, env = "GUAVA_VM")]
    pub vm: String,
    /// Availability zone of the VM.
    #[arg(long, env = "GUAVA_ZONE")]
    pub zone: String,
    /// UDP address for heartbeats and gossip; peers send to it.
    #[arg(long, env = "GUAVA_GOSSIP_ADDR")]
    pub gossip_addr: SocketAddr,
    /// TCP address of the JSON-RPC server for other processes of the system.
    #[arg(long, env = "GUAVA_RPC_ADDR")]
    pub rpc_addr: SocketAddr,
    /// TCP address that serves `/healthz`, `/readyz` and `/metrics`, for programs without an HTTP API of their own.
    #[arg(long, env = "GUAVA_HEALTH_ADDR")]
    pub health_addr: Option<SocketAddr>,
    /// Address of the platform's object service.
    #[arg(long, env = "GUAVA_PLATFORM_ADDR")]
    pub platform_addr: SocketAddr,
    /// Gossip addresses of other processes to contact at start, separated by commas.
    #[arg(long, env = "GUAVA_SEEDS", value_delimiter = ',')]
    pub seeds: Vec<SocketAddr>,
    /// Log level: off, error, warn, info, debug or trace.
    #[arg(long, env = "GUAVA_LOG_LEVEL", default_value = "info")]
    pub log_level: log::LevelFilter,
    /// Format of log lines: `text` or `json`.
    #[arg(long, env = "GUAVA_LOG_FORMAT", default_value = "text")]
    pub log_format: String,
    /// Time between failing readiness and closing listeners at a graceful shutdown, in milliseconds.
    #[arg(long, env = "GUAVA_BALANCER_NOTICE_MS", default_value_t = 5_000)]
    pub balancer_notice_ms: u64,
    /// Limits on what the process holds for its clients.
    #[command(flatten)]
    pub intake: IntakeArgs,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}

const MAX_BALANCER_NOTICE_MS: u64 = 600_000;

/// Most seeds; one that replies is enough.
const MAX_SEEDS: usize = 64;

impl CommonArgs {
    /// Checks the settings and returns one message per fault, with the name of the setting and the accepted values;
    /// empty when all are valid.
    pub fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |ok: bool, setting: &str, accepted: &str| {
            if !ok {
                faults.push(format!("{setting}: accepted is {accepted}"));
            }
        };
        let name = "1 to 128 of a-z A-Z 0-9 . _ : -, starting with a letter or digit";
        require(is_plain_name(&self.vm), "--vm (GUAVA_VM)", name);
        require(is_plain_name(&self.zone), "--zone (GUAVA_ZONE)", name);
        let listen_addr = "an IP address of this VM, not 0.0.0.0 or ::, and a port";
        require(
            is_listen_addr(self.gossip_addr),
            "--gossip-addr (GUAVA_GOSSIP_ADDR)",
            listen_addr,
        );
        require(
            is_listen_addr(self.rpc_addr),
            "--rpc-addr (GUAVA_RPC_ADDR)",
            listen_addr,
        );
        require(
            self.health_addr.is_none_or(is_listen_addr),
            "--health-addr (GUAVA_HEALTH_ADDR)",
            listen_addr,
        );
        let remote_addr = "an IP address and port 1 to 65535";
        require(
            is_remote_addr(self.platform_addr),
            "--platform-addr (GUAVA_PLATFORM_ADDR)",
            remote_addr,
        );
        require(
            self.seeds.iter().all(|it| is_remote_addr(*it)) && self.seeds.len() <= MAX_SEEDS,
            "--seeds (GUAVA_SEEDS)",
            "0 to 64 addresses separated by commas, each an IP address and port 1 to 65535",
        );
        require(
            self.log_format.parse::<LogFormat>().is_ok(),
            "--log-format (GUAVA_LOG_FORMAT)",
            "text or json",
        );
        require(
            self.balancer_notice_ms <= MAX_BALANCER_NOTICE_MS,
            "--balancer-notice-ms (GUAVA_BALANCER_NOTICE_MS)",
            "0 to 600000",
        );
        faults.extend(self.intake.check());
        faults
    }
}

/// A name without `/`, which separates the parts of a member's identifier.
fn is_plain_name(text: &str) -> bool {
    is_name(text) && !text.contains('/')
}

/// Whether peers can reach `addr`. Port 0 is accepted: the operating system chooses a port, and peers learn it by
/// gossip.
fn is_listen_addr(addr: SocketAddr) -> bool {
    !addr.ip().is_unspecified() && !addr.ip().is_multicast()
}

fn is_remote_addr(addr: SocketAddr) -> bool {
    is_listen_addr(addr) && addr.port() != 0
}
