//! The program `guava-admin`, which serves the administration API.

use std::process::ExitCode;
use std::time::Duration;

use guava_admin::{AdminArgs, AdminError, serve};
use guava_core::ids::Role;
use guava_node::program::{self, Program};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use jsonrpsee::RpcModule;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

struct Admin;

impl Program for Admin {
    type Args = AdminArgs;
    type Error = AdminError;

    const NAME: &'static str = "guava-admin";
    const ABOUT: &'static str = "Serves the administration API of one VM";
    const ROLE: Role = Role::Admin;

    fn check(args: &AdminArgs) -> Vec<String> {
        args.check()
    }

    async fn run(
        args: AdminArgs,
        common: CommonArgs,
        runtime: Runtime,
        stop: impl Future<Output = ()> + Send,
    ) -> Result<(), AdminError> {
        runtime.serve_rpc(RpcModule::new(())).await?;
        let handle = serve(&args, runtime.node.clone(), runtime.health())?;
        stop.await;
        runtime.begin_shutdown();
        tokio::time::sleep(Duration::from_millis(common.balancer_notice_ms)).await;
        handle.stop();
        runtime.stop().await;
        Ok(())
    }
}

fn main() -> ExitCode {
    program::main::<Admin>()
}
