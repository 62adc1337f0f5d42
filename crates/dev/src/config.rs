//! Command line of `guava-dev`.

use std::path::PathBuf;

/// Runs the whole system in one process on loopback, with stand-ins for the platform, engines, weight store and plain
/// services.
#[derive(Debug, Parser)]
#[command(
    name = "guava-dev",
    version,
    about,
    after_help = "Exit codes: 0 ok, 1 other, 2 usage or settings."
)]
pub struct Args {
    /// JSON file of the objects to create at start; examples/welsh.json by default.
    #[arg(long, env = "GUAVA_DEV_CONFIG")]
    pub config: Option<PathBuf>,
    /// Number of entry VMs, each with a router, a controller and an administration API.
    #[arg(long, env = "GUAVA_DEV_VMS", default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=6))]
    pub vms: u16,
    /// Port of the first router; the others use the ports after it.
    #[arg(long, env = "GUAVA_DEV_ROUTER_PORT", default_value_t = 7_100)]
    pub router_port: u16,
    /// Port of the first administration API; the others use the ports after it.
    #[arg(long, env = "GUAVA_DEV_ADMIN_PORT", default_value_t = 7_300)]
    pub admin_port: u16,
    /// Port of the first controller's health checks and metrics; the others use the ports after it.
    #[arg(long, env = "GUAVA_DEV_HEALTH_PORT", default_value_t = 7_200)]
    pub health_port: u16,
    /// Log level: off, error, warn, info, debug or trace.
    #[arg(long, env = "GUAVA_LOG_LEVEL", default_value = "warn")]
    pub log_level: log::LevelFilter,
    /// Check the settings and the objects, then exit.
    #[arg(long)]
    pub check: bool,
}

use clap::Parser;
