//! The command `guavactl watch`.

use guava_core::config::Kind;
use serde_json::Value;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::util;

pub const USAGE: &str = "\
Prints changes to objects of a kind as they occur, one JSON line each, until interrupted or until --count is reached.

Usage:
    guavactl watch keys";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Plural name of the kind, such as profiles or keys.
    #[arg(value_parser = util::parse_kind)]
    kind: Kind,
    /// Stop once this many changes have been printed; changes received together are all printed.
    #[arg(long)]
    count: Option<usize>,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let list = Call::get(&[args.kind.plural()]).send(cli)?;
    let mut since = list["version"].as_u64().unwrap_or_default();
    let mut printed = 0;
    while args.count.is_none_or(|count| printed < count) {
        let answer = Call::get(&[args.kind.plural()])
            .query(&[("watch", Some(&since.to_string()))])
            .send(cli)?;
        for change in answer["changes"].as_array().into_iter().flatten() {
            println!("{change}");
            printed += 1;
            since = since.max(version_of(change));
        }
    }
    Ok(())
}

/// Version of a change: a deletion carries it itself, a written object in the object.
fn version_of(change: &Value) -> u64 {
    let version = change.get("version").unwrap_or(&change["object"]["version"]);
    version.as_u64().unwrap_or_default()
}
