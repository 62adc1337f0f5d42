//! The command `guavactl delete`.

use guava_core::config::Kind;
use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

pub const USAGE: &str = "\
Deletes an object if it still has the given version.

Usage:
    guavactl delete --version 12 models mistral";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Version to delete, as printed by the show command.
    #[arg(long)]
    version: u64,
    /// Plural name of the kind, such as profiles or keys.
    #[arg(value_parser = util::parse_kind)]
    kind: Kind,
    /// Name of the object.
    name: String,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let call = Call::new(Method::DELETE, &[args.kind.plural(), &args.name]);
    let deleted = call.if_match(args.version).send(cli)?;
    output::print(cli, &deleted, std::slice::from_ref(&deleted), &["name", "version"]);
    Ok(())
}
