//! The command `guavactl show`.

use guava_core::config::Kind;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

pub const USAGE: &str = "\
Shows one object with its version.

Usage:
    guavactl show profiles quick";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Plural name of the kind, such as profiles or keys.
    #[arg(value_parser = util::parse_kind)]
    kind: Kind,
    /// Name of the object.
    name: String,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let object = Call::get(&[args.kind.plural(), &args.name]).send(cli)?;
    output::print(
        cli,
        &object,
        std::slice::from_ref(&object),
        &["kind", "name", "version", "spec"],
    );
    Ok(())
}
