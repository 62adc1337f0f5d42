//! The command `guavactl list`.

use guava_core::config::Kind;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

pub const USAGE: &str = "\
Lists the objects of a kind.

Usage:
    guavactl list models";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Plural name of the kind, such as profiles or keys.
    #[arg(value_parser = util::parse_kind)]
    kind: Kind,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let list = Call::get(&[args.kind.plural()]).send(cli)?;
    let items = list["items"].as_array().cloned().unwrap_or_default();
    output::print(cli, &list, &items, &["name", "version", "spec"]);
    Ok(())
}
