//! The command `guavactl edit`.

use std::path::PathBuf;

use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

pub const USAGE: &str = "\
Replaces an object if it still has the given version.

The file holds the object {\"kind\", \"spec\"}. If it has been edited in the meantime, the command fails with exit code
4 and reports the current version.

Usage:
    guavactl edit --version 12 profile.json";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Version to replace, as printed by the show command.
    #[arg(long)]
    version: u64,
    /// JSON file, or - for standard input.
    file: PathBuf,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    for object in util::read_objects(&args.file)? {
        let spec = object.spec();
        let call = Call::new(Method::PUT, &[object.kind().plural(), object.name()]);
        let edited = call.if_match(args.version).body(&spec).send(cli)?;
        output::print(
            cli,
            &edited,
            std::slice::from_ref(&edited),
            &["kind", "name", "version"],
        );
    }
    Ok(())
}
