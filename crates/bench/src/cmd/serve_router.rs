//! The `guava-bench serve-router` command.

use std::net::SocketAddr;

use guava_bench::error::BenchError;
use guava_bench::parts;

use crate::util;

/// Long help text.
pub(crate) const USAGE: &str = "\
Serves a router until standard input is closed. Started by `guava-bench router`.

Usage:
    guava-bench serve-router --threads 4 --backend 127.0.0.1:7200";

/// Worker threads of the process runtime, in addition to those that serve callers.
const RUNTIME_THREADS: usize = 1;

/// Arguments of `guava-bench serve-router`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Number of threads that serve callers.
    #[arg(long)]
    threads: usize,
    /// Address of the backend server.
    #[arg(long)]
    backend: SocketAddr,
}

/// Serves the router until standard input is closed.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    util::runtime(RUNTIME_THREADS)?.block_on(async {
        let router = parts::start_router(args.backend, args.threads).await?;
        parts::serve_until_stdin_closes(router.handle.addr()).await
    })
}
