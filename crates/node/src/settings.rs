//! Settings that all programs share.

use std::net::SocketAddr;

use guava_core::config::is_name;

use crate::logging::LogFormat;

/// Flags and environment variables of every program that is a member.
#[derive(Debug, Clone, clap::Args)]
pub struct CommonArgs {
    /// Name of the VM this process runs on.
    #[arg(long, env = "GUAVA_VM")]
    pub vm: String,
    /// Availability zone of the VM.
    #[arg(long, env = "GUAVA_ZONE")]
    pub zone: String,
    /// UDP address for heartbeats and gossip.
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
    /// Gossip addresses of other processes, tried at start.
    #[arg(long, env = "GUAVA_SEEDS", value_delimiter = ',')]
    pub seeds: Vec<SocketAddr>,
    /// Log level: error, warn, info, debug or trace.
    #[arg(long, env = "GUAVA_LOG_LEVEL", default_value = "info")]
    pub log_level: log::LevelFilter,
    /// Log lines as `text` or `json`.
    #[arg(long, env = "GUAVA_LOG_FORMAT", default_value = "text")]
    pub log_format: String,
    /// Time between failing readiness and closing listeners at a graceful shutdown, in milliseconds.
    #[arg(long, env = "GUAVA_BALANCER_NOTICE_MS", default_value_t = 5_000)]
    pub balancer_notice_ms: u64,
    /// Only check the settings and exit.
    #[arg(long)]
    pub check: bool,
}

/// Longest time between failing readiness and closing listeners, in milliseconds.
const MAX_BALANCER_NOTICE_MS: u64 = 600_000;

/// Most seeds; a process needs one that answers.
const MAX_SEEDS: usize = 64;

impl CommonArgs {
    /// All faults of the settings, each with the setting's name and what it accepts.
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
        let own = "an IP address of this VM, not 0.0.0.0 or ::, and a port";
        require(is_own(self.gossip_addr), "--gossip-addr (GUAVA_GOSSIP_ADDR)", own);
        require(is_own(self.rpc_addr), "--rpc-addr (GUAVA_RPC_ADDR)", own);
        require(
            self.health_addr.is_none_or(is_own),
            "--health-addr (GUAVA_HEALTH_ADDR)",
            own,
        );
        let remote = "an IP address and port 1 to 65535";
        require(
            is_remote(self.platform_addr),
            "--platform-addr (GUAVA_PLATFORM_ADDR)",
            remote,
        );
        require(
            self.seeds.iter().all(|it| is_remote(*it)) && self.seeds.len() <= MAX_SEEDS,
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
        faults
    }
}

fn is_plain_name(text: &str) -> bool {
    is_name(text) && !text.contains('/')
}

/// Port 0 is accepted: the operating system chooses one, and peers learn it.
fn is_own(addr: SocketAddr) -> bool {
    !addr.ip().is_unspecified() && !addr.ip().is_multicast()
}

fn is_remote(addr: SocketAddr) -> bool {
    is_own(addr) && addr.port() != 0
}
