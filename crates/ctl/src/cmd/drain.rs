//! The command `guavactl drain`.

use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Drains a backend server: it gets no new requests, and running requests finish.

Usage:
    guavactl drain runner-3
    guavactl drain --undo runner-3";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Return the backend server to service.
    #[arg(long)]
    undo: bool,
    /// Name of the backend server.
    server: String,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let action = if args.undo { "undrain" } else { "drain" };
    let updated = Call::new(Method::POST, &["servers", &args.server, action]).send(cli)?;
    output::print(cli, &updated, std::slice::from_ref(&updated), &["name", "version"]);
    Ok(())
}
