//! `guavactl delete`.

use guava_core::config::Kind;
use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

/// Usage text.
pub const USAGE: &str = "\
Deletes an object, on condition that it still has the given version.

Usage:
    guavactl delete --version 12 models mistral";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Version to delete, as shown by show.
    #[arg(long)]
    version: u64,
    /// Kind, such as profiles or keys.
    #[arg(value_parser = util::kind)]
    kind: Kind,
    /// Name.
    name: String,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let call = Call::new(Method::DELETE, &[args.kind.plural(), &args.name]);
    let deleted = call.if_match(args.version).send(cli)?;
    output::print(cli, &deleted, std::slice::from_ref(&deleted), &["name", "version"]);
    Ok(())
}
