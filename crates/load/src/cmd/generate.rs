//! The `guava-load generate` command.

use std::fs;
use std::path::PathBuf;

use guava_load::error::LoadError;
use guava_load::{generate, trace};

/// Long help text.
pub const USAGE: &str = "\
Generates a trace from a mix. The mix contains the seed, so the same mix always gives the same trace.

Usage:
    guava-load generate mix.json trace.jsonl";

/// Arguments of `guava-load generate`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// JSON file that describes the mix.
    mix: PathBuf,
    /// Trace file to write.
    trace: PathBuf,
}

/// Generates the trace, writes it and prints the number of requests.
pub fn run(args: &Args) -> Result<(), LoadError> {
    let json = fs::read_to_string(&args.mix)?;
    let mix = serde_json::from_str(&json).map_err(|error| LoadError::Settings(vec![format!("mix: {error}")]))?;
    let requests = generate::generate(&mix);
    trace::write(&args.trace, &requests)?;
    println!("{} requests", requests.len());
    Ok(())
}
