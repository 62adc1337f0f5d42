//! `guava-bench serve-engine`.

use guava_bench::error::BenchError;
use guava_bench::parts;

use crate::util;

/// Usage text.
pub(crate) const USAGE: &str = "\
Serves a stand-in engine until standard input is closed. Started by `guava-bench router`.

Usage:
    guava-bench serve-engine --threads 3 --decode-us 0";

/// Arguments.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Threads.
    #[arg(long)]
    threads: usize,
    /// Time per generated token in microseconds.
    #[arg(long)]
    decode_us: u64,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    util::runtime(args.threads)?.block_on(async {
        let (_engine, front) = parts::engine(args.decode_us).await?;
        parts::serve_until_closed(front.addr()).await
    })
}
