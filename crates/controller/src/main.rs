//! Controller of guavaarch.

use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use guava_controller::{ControllerArgs, ControllerError, serve};
use guava_core::ids::Role;
use guava_engine::HttpEngine;
use guava_node::health_server::HealthServer;
use guava_node::program::{self, Checked};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use guava_node::signal::shutdown_signal;
use guava_platform::{HttpObjectStore, HttpVmList};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Decides which model, adapter and version is loaded on which backend server.
#[derive(Debug, Parser)]
#[command(
    name = "guava-controller",
    version,
    about,
    after_help = "Exit codes: 0 ok, 1 other, 2 usage or settings."
)]
struct Cli {
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    controller: ControllerArgs,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let faults = cli.common.check().into_iter().chain(cli.controller.check()).collect();
    let checked = Checked {
        name: "guava-controller",
        faults,
        only_check: cli.common.check,
    };
    program::run(&checked, run(cli))
}

async fn run(cli: Cli) -> Result<(), ControllerError> {
    let stop = shutdown_signal()?;
    let store = Arc::new(HttpObjectStore::new(cli.common.platform_addr));
    let vms = Arc::new(HttpVmList::new(cli.common.platform_addr));
    let runtime = Runtime::start(&cli.common, Role::Controller, store, vms).await?;
    let health = cli
        .common
        .health_addr
        .map(|addr| HealthServer::start(addr, runtime.health()));
    let health = health.transpose()?;
    let engine = Arc::new(HttpEngine::new());
    let controller = serve(cli.controller, runtime.node.clone(), engine, runtime.meter()).await?;
    runtime.serve_rpc(controller.rpc_module()).await?;
    stop.await;
    runtime.begin_shutdown();
    controller.stop().await;
    runtime.stop().await;
    if let Some(health) = health {
        health.stop();
    }
    Ok(())
}
