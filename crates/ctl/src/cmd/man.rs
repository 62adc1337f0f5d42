//! The command `guavactl man`.

use clap::CommandFactory;

use crate::config::Cli;
use crate::error::CtlError;

pub const USAGE: &str = "\
Prints the manual page.

Usage:
    guavactl man | man -l -";

#[derive(Debug, clap::Args)]
pub struct Args {}

pub fn run(_args: &Args) -> Result<(), CtlError> {
    clap_mangen::Man::new(Cli::command()).render(&mut std::io::stdout())?;
    Ok(())
}
