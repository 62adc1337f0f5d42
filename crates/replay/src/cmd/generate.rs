//! The command `guava-replay generate`.

use std::path::PathBuf;

use guava_load::trace;
use guava_replay::error::ReplayError;
use guava_replay::scenario::{self, Scenario};

/// Long help text of the command.
pub const USAGE: &str = "\
Generates the trace of each scenario below a directory and stores it in the directory of the scenario. A scenario
contains its seeds, so it always gives the same trace.

Usage:
    guava-replay generate traces";

/// Arguments of the command.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory that is searched for scenarios, with all directories below it.
    #[arg(default_value = "traces")]
    dir: PathBuf,
}

/// Generates the trace of every scenario, overwriting existing ones.
pub fn run(args: &Args) -> Result<(), ReplayError> {
    for path in scenario::find_scenarios(&args.dir)? {
        let scenario: Scenario = scenario::read_json(&path)?;
        let requests = scenario.generate();
        trace::write(&scenario::sibling_path(&path, ".trace.jsonl"), &requests)?;
        println!("{}: {} requests", path.display(), requests.len());
    }
    Ok(())
}
