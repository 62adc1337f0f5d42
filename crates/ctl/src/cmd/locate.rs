//! The command `guavactl locate`.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};

use crate::client::Call;
use crate::config::{Cli, Format};
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Explains where an entry process would send a request now, without sending it: for each service of the route whether the
request would be sent, wait, be handed to another VM or be refused, the share of such requests that each server gets from
this VM, and why other servers are left out. Rate limits and verdicts on prompts are not checked.

Usage:
    guavactl locate --entry 10.0.0.7:9464 --host desk.example --path /advice/ --organisation bangor --model mistral";

/// Fields of a service that the table shows, in order.
const FIELDS: [&str; 6] = ["service", "weight", "outcome", "code", "wait_ms", "load_age_ms"];
/// Columns of the table of servers.
const COLUMNS: [&str; 8] = [
    "server", "zone", "share", "running", "slots", "cold", "failing", "left_out",
];

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address at which the entry process serves its metrics.
    #[arg(long)]
    entry: SocketAddr,
    /// Host that the caller names.
    #[arg(long)]
    host: String,
    /// Path of the request.
    #[arg(long, default_value = "/")]
    path: String,
    /// Organisation that sends the request; not needed for open routes.
    #[arg(long)]
    organisation: Option<String>,
    /// Model that the request needs.
    #[arg(long)]
    model: Option<String>,
    /// Adapter of the model.
    #[arg(long, requires = "model")]
    adapter: Option<String>,
    /// Id of the first part of the prompt.
    #[arg(long)]
    prompt_part: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Prints the answer as JSON, like `--output json`.
    #[arg(long)]
    json: bool,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let description = json!({
        "host": args.host,
        "path": args.path,
        "organisation": args.organisation,
        "model": args.model,
        "adapter": args.adapter,
        "prompt_part": args.prompt_part,
        "deadline_ms": args.deadline_ms,
    });
    let answer = Call::to_process(args.entry, Method::POST, "/explain")
        .body(&description)
        .send(cli)?;
    let services = answer["services"].as_array().map_or(&[][..], Vec::as_slice);
    if args.json || cli.output == Format::Json {
        println!("{answer:#}");
        return Ok(());
    }
    let general = ["vm", "zone", "config_version", "route", "kind", "other_vms"];
    let general: Vec<(&str, &Value)> = general.into_iter().map(|it| (it, &answer[it])).collect();
    output::print_fields(cli, &answer, &general, &[], &[]);
    for service in services {
        println!();
        let fields: Vec<(&str, &Value)> = FIELDS.into_iter().map(|it| (it, &service[it])).collect();
        let servers = service["servers"].as_array().map_or(&[][..], Vec::as_slice);
        output::print_fields(cli, service, &fields, servers, &COLUMNS);
    }
    Ok(())
}
