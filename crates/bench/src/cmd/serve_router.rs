//! `guava-bench serve-router`.

use std::net::SocketAddr;

use guava_bench::error::BenchError;
use guava_bench::parts;

use crate::util;

/// Usage text.
pub(crate) const USAGE: &str = "\
Serves a router until standard input is closed. Started by `guava-bench router`.

Usage:
    guava-bench serve-router --threads 4 --backend 127.0.0.1:7200";

/// Threads of the process runtime beside the router's own.
const RUNTIME_THREADS: usize = 1;

/// Arguments.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Threads that serve callers.
    #[arg(long)]
    threads: usize,
    /// Address of the backend server.
    #[arg(long)]
    backend: SocketAddr,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    util::runtime(RUNTIME_THREADS)?.block_on(async {
        let router = parts::router(args.backend, args.threads).await?;
        parts::serve_until_closed(router.handle.addr()).await
    })
}
