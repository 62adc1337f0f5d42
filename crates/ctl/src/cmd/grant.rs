//! The command `guavactl grant`.

use http::Method;
use serde_json::json;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Grants an organisation a new key and prints it; the key cannot be shown again.

Usage:
    guavactl grant bangor";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Name of the organisation.
    organisation: String,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let body = json!({ "organisation": args.organisation });
    let granted = Call::new(Method::POST, &["grant"]).body(&body).send(cli)?;
    output::print(
        cli,
        &granted,
        std::slice::from_ref(&granted),
        &["name", "version", "key"],
    );
    Ok(())
}
