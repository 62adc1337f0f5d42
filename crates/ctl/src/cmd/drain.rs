//! `guavactl drain`.

use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Drains a backend server: it gets no new work, running requests finish.

Usage:
    guavactl drain runner-3
    guavactl drain --undo runner-3";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Take the server back into service.
    #[arg(long)]
    undo: bool,
    /// Backend server.
    server: String,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let action = if args.undo { "undrain" } else { "drain" };
    let drained = Call::new(Method::POST, &["servers", &args.server, action]).send(cli)?;
    output::print(cli, &drained, std::slice::from_ref(&drained), &["name", "version"]);
    Ok(())
}
