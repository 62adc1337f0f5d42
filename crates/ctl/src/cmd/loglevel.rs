//! The command `guavactl log-level`.

use http::Method;
use serde_json::json;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;

pub const USAGE: &str = "\
Changes the log level of a running process.

Usage:
    guavactl log-level vm-1 router debug";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Name of the VM on which the process runs.
    vm: String,
    /// Role of the process: router, controller or admin.
    role: String,
    /// New level: off, error, warn, info, debug or trace.
    level: String,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let body = json!({ "level": args.level });
    let path = ["members", &args.vm, &args.role, "log-level"];
    let answer = Call::new(Method::PUT, &path).body(&body).send(cli)?;
    println!("{answer}");
    Ok(())
}
