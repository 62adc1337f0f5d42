//! The command `guavactl explain`.

use serde_json::Value;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

pub const USAGE: &str = "\
Explains why a request would be refused or to which replicas it could be routed.

Usage:
    guavactl explain --organisation bangor --model mistral";

/// Fields of the explanation that the table shows, in order.
const FIELDS: [&str; 9] = [
    "admitted",
    "code",
    "reason",
    "organisation",
    "profile",
    "pool",
    "waiting",
    "running",
    "expected_wait_ms",
];

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Organisation that sends the request.
    #[arg(long)]
    organisation: Option<String>,
    /// Public part of a caller's key, instead of an organisation.
    #[arg(long)]
    key: Option<String>,
    /// Name of the model or adapter.
    #[arg(long)]
    model: String,
    /// Profile of the request; defaults to the model's profile.
    #[arg(long)]
    profile: Option<String>,
    /// VM whose router is asked; any router by default.
    #[arg(long)]
    vm: Option<String>,
}

pub fn run(cli: &Cli, args: &Args) -> Result<(), CtlError> {
    let pairs = [
        ("organisation", args.organisation.as_deref()),
        ("key", args.key.as_deref()),
        ("model", Some(args.model.as_str())),
        ("profile", args.profile.as_deref()),
        ("vm", args.vm.as_deref()),
    ];
    let answer = Call::get(&["explain"]).query(&pairs).send(cli)?;
    let explanation = &answer["explanation"];
    let fields: Vec<(&str, &Value)> = std::iter::once(("router", &answer["router"]))
        .chain(FIELDS.map(|it| (it, &explanation[it])))
        .collect();
    let replicas = explanation["replicas"].as_array().map_or(&[][..], Vec::as_slice);
    output::print_fields(
        cli,
        &answer,
        &fields,
        replicas,
        &["replica", "server", "zone", "affinity"],
    );
    Ok(())
}
