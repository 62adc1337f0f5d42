//! Settings that all programs share.

use std::net::SocketAddr;

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
