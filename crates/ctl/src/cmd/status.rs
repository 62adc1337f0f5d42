//! `guavactl status`.

use serde_json::{Value, json};

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Shows every member and whether the newest configuration is in force there.

Configuration is in force at a member when it has the newest version that the asked administration API knows of every
kind. Kinds of which it has an older one are named under OUTDATED. Members believed down are left out.

Usage:
    guavactl status";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {}

/// Runs the command.
pub fn run(cli: &Cli, _args: &Args) -> Result<(), CtlError> {
    let status = Call::get(&["status"]).send(cli)?;
    let members = status["members"].as_array();
    let rows: Vec<_> = members.into_iter().flatten().map(row).collect();
    let columns = ["member", "in_force", "outdated", "ready", "isolated", "leases", "error"];
    output::print(cli, &status, &rows, &columns);
    Ok(())
}

/// Row of a member; kinds of configuration that are not yet in force are named.
fn row(member: &Value) -> Value {
    let status = &member["status"];
    let outdated = member["outdated"].as_array().into_iter().flatten();
    let outdated: Vec<_> = outdated.filter_map(Value::as_str).collect();
    json!({
        "member": member["member"],
        "in_force": member["in_force"],
        "outdated": outdated.join(","),
        "ready": status["ready"],
        "isolated": status["isolated"],
        "leases": status["leases"].as_array().map(Vec::len),
        "error": member["error"],
    })
}
