//! The command `guava-replay plot`.

use std::path::PathBuf;

use guava_replay::error::ReplayError;
use guava_replay::pool::Policy;
use guava_replay::scenario::{self, RecordedTrace};
use guava_replay::{figures, plot};

/// Long help text of the command.
pub const USAGE: &str = "\
Replays traces and draws an SVG plot of each measure.

Usage:
    guava-replay plot traces docs";

/// Arguments of the command.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory that is searched for scenarios, with all directories below it.
    #[arg(default_value = "traces")]
    dir: PathBuf,
    /// Directory to which the plots are written.
    #[arg(default_value = "docs")]
    out: PathBuf,
    /// Root of the repository, to which the paths of the configurations are relative.
    #[arg(long, default_value = ".")]
    root: PathBuf,
}

/// Replays all traces under both policies and draws the plots.
pub fn run(args: &Args) -> Result<(), ReplayError> {
    let paths = scenario::find_scenarios(&args.dir)?;
    let recorded: Result<Vec<RecordedTrace>, _> = paths.iter().map(|it| RecordedTrace::read(&args.root, it)).collect();
    let measured = figures::measure_all(&recorded?, &Policy::ALL);
    plot::draw_all(&measured, &args.out)
}
