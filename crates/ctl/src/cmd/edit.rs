//! `guavactl edit`.

use std::path::PathBuf;

use http::Method;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;
use crate::util;

/// Usage text.
pub const USAGE: &str = "\
Replaces an object, on condition that it still has the given version.

The file holds the object {\"kind\", \"spec\"}. When another edit came first, the command fails with exit code 4 and
tells the current version.

Usage:
    guavactl edit --version 12 profile.json";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Version that this edit replaces, as shown by show.
    #[arg(long)]
    version: u64,
    /// File, or - for standard input.
    file: PathBuf,
}

/// Runs the command.
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
