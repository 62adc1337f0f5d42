//! `guavactl timeline`.

use serde_json::Value;

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
    let events = answer["events"].as_array().map_or(&[][..], Vec::as_slice);
    let rows: Vec<Value> = events.iter().map(|it| row(it, events)).collect();
    let columns = ["time", "after", "member", "event", "request", "model", "detail"];
    output::print(cli, &answer, &rows, &columns);
    for member in answer["unreachable"].as_array().into_iter().flatten() {
        eprintln!("guavactl: no events from {member}");
    }
    Ok(())
}

/// Row of an event, with its time of day and its distance from the first event.
fn row(event: &Value, events: &[Value]) -> Value {
    let wall_ms = |it: &Value| it["wall_ms"].as_u64().unwrap_or_default();
    let first = events.first().map_or(0, wall_ms);
    let after_ms = wall_ms(event).saturating_sub(first);
    let mut row = event.clone();
    row["time"] = output::time_of_day(wall_ms(event)).into();
    row["after"] = format!("+{after_ms} ms").into();
    row["event"] = format!("E{}", event["event"]).into();
    row
}
