//! Entry point of the router program `guava-router`.

use std::process::ExitCode;
use std::time::Duration;

use guava_core::ids::Role;
use guava_node::program::{self, Program};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use guava_router::program::RouterProgram;
use guava_router::{RouterArgs, RouterError};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

struct Router;

impl Program for Router {
    type Args = RouterArgs;
    type Error = RouterError;

    const NAME: &'static str = "guava-router";
    const ABOUT: &'static str = "Serves callers: admission, quota, queues and dispatch to backend servers";
    const ROLE: Role = Role::Router;

    fn check(args: &RouterArgs) -> Vec<String> {
        args.check()
    }

    async fn run(
        args: RouterArgs,
        common: CommonArgs,
        runtime: Runtime,
        stop: impl Future<Output = ()> + Send,
    ) -> Result<(), RouterError> {
        let router = RouterProgram::start(args, &runtime).await?;
        stop.await;
        runtime.begin_shutdown();
        let notice = Duration::from_millis(common.balancer_notice_ms);
        let stopped = router.shutdown(notice).await;
        runtime.stop().await;
        stopped
    }
}

fn main() -> ExitCode {
    program::main::<Router>()
}
