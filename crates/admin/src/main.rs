//! Administration API as a program.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use guava_admin::{AdminArgs, AdminError, serve};
use guava_core::ids::Role;
use guava_node::program::{self, Checked};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use guava_node::signal::shutdown_signal;
use guava_platform::{HttpObjectStore, HttpVmList};
use jsonrpsee::RpcModule;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves the administration API of one VM.
#[derive(Debug, Parser)]
#[command(
    name = "guava-admin",
    version,
    about,
    after_help = "Exit codes: 0 ok, 1 other, 2 usage or settings."
)]
struct Cli {
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    admin: AdminArgs,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let faults = cli.common.check().into_iter().chain(cli.admin.check()).collect();
    let checked = Checked {
        name: "guava-admin",
        faults,
        only_check: cli.common.check,
    };
    program::run(&checked, run(cli))
}

async fn run(cli: Cli) -> Result<(), AdminError> {
    let stop = shutdown_signal()?;
    let store = Arc::new(HttpObjectStore::new(cli.common.platform_addr));
    let vms = Arc::new(HttpVmList::new(cli.common.platform_addr));
    let runtime = Runtime::start(&cli.common, Role::Admin, store, vms).await?;
    runtime.serve_rpc(RpcModule::new(())).await?;
    let handle = serve(&cli.admin, runtime.node.clone(), runtime.health())?;
    stop.await;
    runtime.begin_shutdown();
    tokio::time::sleep(Duration::from_millis(cli.common.balancer_notice_ms)).await;
    handle.stop();
    runtime.stop().await;
    Ok(())
}
