//! Program entry.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use guava_core::ids::Role;
use guava_node::runtime::{NodeError, Runtime};
use guava_node::settings::CommonArgs;
use guava_platform::{HttpObjectStore, HttpVmList};
use guava_router::idempotency::RecordService;
use guava_router::jobs::JobService;
use guava_router::quota::QuotaService;
use guava_router::{Quota, RouterArgs, RouterError, RouterParts, serve};
use jsonrpsee::core::RegisterMethodError;
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
        /// A JSON-RPC method could not be registered.
        Rpc(error: RegisterMethodError) {
            from()
            display("JSON-RPC: {error}")
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
    let mut faults = args.common.check();
    faults.extend(args.router.check());
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
    let addr = args.common.platform_addr;
    let store = Arc::new(HttpObjectStore::new(addr));
    let vms = Arc::new(HttpVmList::new(addr));
    let runtime = Runtime::start(&args.common, Role::Router, store, vms).await?;
    let quota = QuotaService::start(runtime.node.clone());
    let parts = parts(&runtime, &quota, &args.router);
    let router = serve(args.router, runtime.node.clone(), parts).await?;
    let mut module = router.rpc_module()?;
    module.merge(quota.rpc()?)?;
    runtime.serve_rpc(module).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    runtime.begin_shutdown();
    let stopped = router.shutdown(notice).await;
    quota.shutdown().await;
    runtime.stop().await;
    Ok(stopped?)
}

fn parts(runtime: &Runtime, quota: &Arc<QuotaService>, args: &RouterArgs) -> RouterParts {
    let node = runtime.node.clone();
    let health = runtime.health();
    let metrics = runtime.health();
    RouterParts {
        quota: Arc::clone(quota) as Arc<dyn Quota>,
        records: Arc::new(RecordService::start(node.clone(), args.pepper.as_bytes())),
        jobs: Box::new(move |executor| Arc::new(JobService::start(node, executor))),
        meter: runtime.meter(),
        metrics_text: Box::new(move || metrics.answer("/metrics").map(|it| it.body).unwrap_or_default()),
        ready: Box::new(move || health.ready()),
    }
}
