//! `guavactl timeline`.

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Shows the events of all processes for one request or one model, in order.

Usage:
    guavactl timeline --request 6f1c
    guavactl timeline --model mistral";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Request id, as in the x-request-id header of the answer.
    #[arg(long)]
    request: Option<String>,
    /// Model or adapter.
    #[arg(long)]
    model: Option<String>,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let pairs = [("request", args.request.as_deref()), ("model", args.model.as_deref())];
    let answer = Call::get(&["timeline"]).query(&pairs).send(cli)?;
    let events = answer["events"].as_array().cloned().unwrap_or_default();
    output::print(
        cli,
        &answer,
        &events,
        &["wall_ms", "member", "event", "request", "model", "detail"],
    );
    for member in answer["unreachable"].as_array().into_iter().flatten() {
        eprintln!("guavactl: no events from {member}");
    }
    Ok(())
}
