//! The command `guavactl timeline`.

use serde_json::Value;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Shows the events of all processes for a request or a model, oldest first.

Usage:
    guavactl timeline --request 6f1c
    guavactl timeline --model mistral";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Request id, from the x-request-id header of the answer.
    #[arg(long)]
    request: Option<String>,
    /// Name of the model or adapter.
    #[arg(long)]
    model: Option<String>,
}

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

/// Builds the table row of an event, with its timestamp and the time since the first event.
fn row(event: &Value, events: &[Value]) -> Value {
    let wall_ms = |it: &Value| it["wall_ms"].as_u64().unwrap_or_default();
    let first_ms = events.first().map_or(0, wall_ms);
    let after_ms = wall_ms(event).saturating_sub(first_ms);
    let mut row = event.clone();
    row["time"] = output::format_timestamp(wall_ms(event)).into();
    row["after"] = format!("+{after_ms} ms").into();
    row["event"] = format!("E{}", event["event"]).into();
    row
}
