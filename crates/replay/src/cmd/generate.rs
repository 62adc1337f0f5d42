//! `guava-replay generate`.

use std::path::PathBuf;

use guava_load::trace;
use guava_replay::error::ReplayError;
use guava_replay::scenario::{self, Scenario};

/// Usage text.
pub const USAGE: &str = "\
Generates the trace beside each scenario below a directory. The same scenario, which names its seeds, always gives the
same trace.

Usage:
    guava-replay generate traces";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory of scenarios.
    #[arg(default_value = "traces")]
    dir: PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), ReplayError> {
    for path in scenario::find(&args.dir)? {
        let scenario: Scenario = scenario::read_json(&path)?;
        let requests = scenario.generate();
        trace::write(&scenario::sibling(&path, ".trace.jsonl"), &requests)?;
        println!("{}: {} requests", path.display(), requests.len());
    }
    Ok(())
}
