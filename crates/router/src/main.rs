//! Router of guavaarch.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use guava_core::ids::Role;
use guava_node::program::{self, Checked};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use guava_node::signal::shutdown_signal;
use guava_platform::{HttpObjectStore, HttpVmList};
use guava_router::program::RouterProgram;
use guava_router::{RouterArgs, RouterError};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves callers: admission, quota, queues and dispatch to backend servers.
#[derive(Debug, Parser)]
#[command(
    name = "guava-router",
    version,
    about,
    after_help = "Exit codes: 0 ok, 1 other, 2 usage or settings."
)]
struct Cli {
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    router: RouterArgs,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let faults = cli.common.check().into_iter().chain(cli.router.check()).collect();
    let checked = Checked {
        name: "guava-router",
        faults,
        only_check: cli.common.check,
    };
    program::run(&checked, run(cli))
}

async fn run(cli: Cli) -> Result<(), RouterError> {
    let stop = shutdown_signal()?;
    let store = Arc::new(HttpObjectStore::new(cli.common.platform_addr));
    let vms = Arc::new(HttpVmList::new(cli.common.platform_addr));
    let runtime = Runtime::start(&cli.common, Role::Router, store, vms).await?;
    let router = RouterProgram::start(cli.router, &runtime).await?;
    stop.await;
    runtime.begin_shutdown();
    let stopped = router
        .shutdown(Duration::from_millis(cli.common.balancer_notice_ms))
        .await;
    runtime.stop().await;
    stopped
}
