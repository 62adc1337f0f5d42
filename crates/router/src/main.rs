//! Program entry.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use guava_core::ids::Role;
use guava_node::runtime::{NodeError, Runtime};
use guava_node::settings::CommonArgs;
use guava_platform::{HttpObjectStore, HttpVmList, ObjectStore, VmList};
use guava_router::{RouterArgs, RouterError, RouterParts, serve};
use quick_error::quick_error;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const EXIT_SETTINGS: u8 = 2;
const EXIT_OTHER: u8 = 1;

/// Router of guavaarch: callers' HTTP API, quota, queues and dispatch.
#[derive(Debug, Parser)]
#[command(name = "guava-router", version)]
struct Args {
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    router: RouterArgs,
}

quick_error! {
    /// Failure of the program.
    #[derive(Debug)]
    enum Error {
        /// Runtime.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// Router.
        Router(error: RouterError) {
            from()
            display("{error}")
        }
        /// A part that this build does not contain.
        Missing(part: &'static str) {
            display("this build contains no {part}")
        }
        /// Signals or threads.
        Io(error: std::io::Error) {
            from()
            display("{error}")
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let faults = args.router.check();
    if !faults.is_empty() {
        eprintln!("{}", faults.join("\n"));
        return ExitCode::from(EXIT_SETTINGS);
    }
    match start(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            let is_settings = matches!(
                error,
                Error::Node(NodeError::Settings(_)) | Error::Router(RouterError::Settings(_))
            );
            ExitCode::from(if is_settings { EXIT_SETTINGS } else { EXIT_OTHER })
        }
    }
}

fn start(args: Args) -> Result<(), Error> {
    if args.common.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(args))
}

async fn run(args: Args) -> Result<(), Error> {
    // Handlers come first: a signal during the start must not end the process without a graceful shutdown.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let notice = Duration::from_millis(args.common.balancer_notice_ms);
    let (store, vms) = platform(args.common.platform_addr);
    let runtime = Arc::new(Runtime::start(&args.common, Role::Router, store, vms).await?);
    let router = serve(args.router, runtime.node.clone(), parts(&runtime)?).await?;
    runtime.serve_rpc(router.rpc_module()?).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    runtime.begin_shutdown();
    let stopped = router.shutdown(notice).await;
    if let Ok(runtime) = Arc::try_unwrap(runtime) {
        runtime.stop().await;
    }
    Ok(stopped?)
}

/// Platform as HTTP adapters reach it.
fn platform(addr: SocketAddr) -> (Arc<dyn ObjectStore>, Arc<dyn VmList>) {
    (Arc::new(HttpObjectStore::new(addr)), Arc::new(HttpVmList::new(addr)))
}

/// Parts of the request path.
fn parts(_runtime: &Arc<Runtime>) -> Result<RouterParts, Error> {
    Err(Error::Missing("quota, idempotency records and jobs"))
}
