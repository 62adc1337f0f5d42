//! `guavactl watch`.

use guava_core::config::Kind;
use serde_json::Value;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::util;

/// Usage text.
pub const USAGE: &str = "\
Prints the changes of a kind, one JSON line each, until interrupted.

Usage:
    guavactl watch keys";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Kind, such as profiles or keys.
    #[arg(value_parser = util::kind)]
    kind: Kind,
    /// Stop after this many changes.
    #[arg(long)]
    count: Option<usize>,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let list = Call::get(&[args.kind.plural()]).send(cli)?;
    let mut since = list["version"].as_u64().unwrap_or_default();
    let mut seen = 0;
    while args.count.is_none_or(|count| seen < count) {
        let answer = Call::get(&[args.kind.plural()])
            .query(&[("watch", Some(&since.to_string()))])
            .send(cli)?;
        for change in answer["changes"].as_array().into_iter().flatten() {
            println!("{change}");
            seen += 1;
            since = since.max(version_of(change));
        }
    }
    Ok(())
}

fn version_of(change: &Value) -> u64 {
    let version = change.get("version").unwrap_or(&change["object"]["version"]);
    version.as_u64().unwrap_or_default()
}
