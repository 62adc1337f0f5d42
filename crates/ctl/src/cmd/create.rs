//! The command `guavactl create`.

use std::path::PathBuf;

use http::Method;
use serde_json::json;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

pub const USAGE: &str = "\
Creates the objects of a file, in order.

A file holds one object {\"kind\", \"spec\"} or an array of them. An object must come after those that it references.

Usage:
    guavactl create examples/welsh.json";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// JSON file, or - for standard input.
    file: PathBuf,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let objects = util::read_objects(&args.file)?;
    let faults: Vec<_> = objects.iter().flat_map(util::fault_lines).collect();
    if !faults.is_empty() {
        return Err(CtlError::Faults(faults));
    }
    let mut created = Vec::new();
    for object in &objects {
        let spec = object.spec();
        created.push(
            Call::new(Method::POST, &[object.kind().plural()])
                .body(&spec)
                .send(cli)?,
        );
    }
    output::print(cli, &json!(created), &created, &["kind", "name", "version"]);
    Ok(())
}
