//! `guavactl check`.

use std::path::PathBuf;

use crate::error::CtlError;
use crate::util;

/// Usage text.
pub const USAGE: &str = "\
Checks files of objects without sending anything.

A file holds one object {\"kind\", \"spec\"} or an array of them. All faults of all files are told at once.

Usage:
    guavactl check examples/welsh.json";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Files, or - for standard input.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CtlError> {
    let mut faults = Vec::new();
    let mut count = 0;
    for file in &args.files {
        let objects = util::read_objects(file)?;
        count += objects.len();
        faults.extend(objects.iter().flat_map(util::fault_lines));
    }
    if !faults.is_empty() {
        return Err(CtlError::Faults(faults));
    }
    println!("{count} objects checked");
    Ok(())
}
