//! `guava-replay plot`.

use std::path::PathBuf;

use guava_replay::error::ReplayError;
use guava_replay::pool::Policy;
use guava_replay::scenario::{self, Recorded};
use guava_replay::{figures, plot};

/// Usage text.
pub const USAGE: &str = "\
Replays traces and draws one plot for each measure as SVG.

Usage:
    guava-replay plot traces docs";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory of scenarios.
    #[arg(default_value = "traces")]
    dir: PathBuf,
    /// Directory of the plots.
    #[arg(default_value = "docs")]
    out: PathBuf,
    /// Root of the repository.
    #[arg(long, default_value = ".")]
    root: PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), ReplayError> {
    let paths = scenario::find(&args.dir)?;
    let recorded: Result<Vec<Recorded>, _> = paths.iter().map(|it| Recorded::read(&args.root, it)).collect();
    let measured = figures::measure_all(&recorded?, &Policy::ALL);
    plot::draw_all(&measured, &args.out)
}
