//! `guava-load generate`.

use std::fs;
use std::path::PathBuf;

use guava_load::error::LoadError;
use guava_load::{generate, trace};

/// Usage text.
pub const USAGE: &str = "\
Generates a trace from a mix. The same mix, which names its seed, always gives the same trace.

Usage:
    guava-load generate mix.json trace.jsonl";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Description of the mix, in JSON.
    mix: PathBuf,
    /// Trace file to write.
    trace: PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), LoadError> {
    let text = fs::read_to_string(&args.mix)?;
    let mix = serde_json::from_str(&text).map_err(|error| LoadError::Settings(vec![format!("mix: {error}")]))?;
    let requests = generate::generate(&mix);
    trace::write(&args.trace, &requests)?;
    println!("{} requests", requests.len());
    Ok(())
}
