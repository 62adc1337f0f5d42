//! `guavactl status`.

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Shows every member and whether the newest configuration is in force there.

Usage:
    guavactl status";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Runs the command.
pub fn run(cli: &Cli, _args: &Args) -> Result<(), CtlError> {
    let status = Call::get(&["status"]).send(cli)?;
    let members = status["members"].as_array().cloned().unwrap_or_default();
    output::print(cli, &status, &members, &["member", "in_force", "status", "error"]);
    Ok(())
}
