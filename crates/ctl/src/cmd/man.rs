//! `guavactl man`.

use clap::CommandFactory;

use crate::config::Cli;
use crate::error::CtlError;

/// Usage text.
pub const USAGE: &str = "\
Prints the manual page.

Usage:
    guavactl man | man -l -";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Runs the command.
pub fn run(_args: &Args) -> Result<(), CtlError> {
    clap_mangen::Man::new(Cli::command()).render(&mut std::io::stdout())?;
    Ok(())
}
