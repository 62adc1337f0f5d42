//! The command `guavactl status`.

use serde_json::{Value, json};

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Shows every member and whether the newest configuration is in force on it.

Configuration is in force on a member that has, for every kind, the newest version known to the administration API
that is asked. Kinds of which it has an older version or none are listed under OUTDATED. Members considered down are
omitted.

Usage:
    guavactl status";

#[derive(Debug, clap::Args)]
pub struct Args {}

pub fn run(cli: &Cli, _args: &Args) -> Result<(), CtlError> {
    let status = Call::get(&["status"]).send(cli)?;
    let members = status["members"].as_array();
    let rows: Vec<_> = members.into_iter().flatten().map(row).collect();
    let columns = ["member", "in_force", "outdated", "ready", "isolated", "leases", "error"];
    output::print(cli, &status, &rows, &columns);
    Ok(())
}

/// Builds the table row of a member. `outdated` lists the kinds of which it has an older version or none.
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
