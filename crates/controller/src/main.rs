//! Command that runs the guavaarch controller as a process of its own.

use std::process::ExitCode;
use std::sync::Arc;

use guava_controller::{ControllerArgs, ControllerError, serve};
use guava_core::ids::Role;
use guava_engine::HttpEngine;
use guava_node::health_server;
use guava_node::program::{self, Program};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

struct Controller;

impl Program for Controller {
    type Args = ControllerArgs;
    type Error = ControllerError;

    const NAME: &'static str = "guava-controller";
    const ABOUT: &'static str = "Decides which model, adapter and version is loaded on which backend server";
    const ROLE: Role = Role::Controller;

    fn check(args: &ControllerArgs) -> Vec<String> {
        args.check()
    }

    async fn run(
        args: ControllerArgs,
        common: CommonArgs,
        runtime: Runtime,
        stop: impl Future<Output = ()> + Send,
    ) -> Result<(), ControllerError> {
        let health = common
            .health_addr
            .map(|addr| health_server::serve(addr, runtime.health()));
        let health = health.transpose()?;
        let engine = Arc::new(HttpEngine::new());
        let controller = serve(args, runtime.node.clone(), engine, runtime.meter()).await?;
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
}

fn main() -> ExitCode {
    program::main::<Controller>()
}
