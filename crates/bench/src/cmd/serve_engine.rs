//! The `guava-bench serve-engine` command.

use guava_bench::error::BenchError;
use guava_bench::parts;

use crate::util;

/// Long help text.
pub(crate) const USAGE: &str = "\
Serves a stand-in engine until standard input is closed. Started by `guava-bench router`.

Usage:
    guava-bench serve-engine --threads 3 --decode-us 0";

/// Arguments of `guava-bench serve-engine`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Number of worker threads.
    #[arg(long)]
    threads: usize,
    /// Time per generated token in microseconds.
    #[arg(long)]
    decode_us: u64,
}

/// Serves the stand-in engine until standard input is closed.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    util::runtime(args.threads)?.block_on(async {
        let (_engine, server) = parts::start_engine(args.decode_us).await?;
        parts::serve_until_stdin_closes(server.addr()).await
    })
}
