//! The command `guavactl check`.

use std::path::PathBuf;

use crate::error::CtlError;
use crate::util;

pub const USAGE: &str = "\
Checks files of objects without contacting the administration API.

A file holds one object {\"kind\", \"spec\"} or an array of them. All faults in all files are reported at once.

Usage:
    guavactl check examples/welsh.json";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// JSON files, or - for standard input.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

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
