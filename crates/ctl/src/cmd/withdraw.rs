//! The command `guavactl withdraw`.

use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Withdraws a key; it stops working within seconds.

Usage:
    guavactl withdraw 3f2a9c";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Public part of the key.
    id: String,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let withdrawn = Call::new(Method::POST, &["keys", &args.id, "withdraw"]).send(cli)?;
    output::print(cli, &withdrawn, std::slice::from_ref(&withdrawn), &["name", "version"]);
    Ok(())
}
