//! `guavactl explain`.

use serde_json::Value;

use crate::client::Call;
use crate::config::Cli;
use crate::error::CtlError;
use crate::output;

/// Usage text.
pub const USAGE: &str = "\
Says why a request would be refused or where it would go.

Usage:
    guavactl explain --organisation bangor --model mistral";

/// Fields of an explanation, in the order of the table.
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

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Organisation.
    #[arg(long)]
    organisation: Option<String>,
    /// Public part of a key, in place of an organisation.
    #[arg(long)]
    key: Option<String>,
    /// Model or adapter.
    #[arg(long)]
    model: String,
    /// Profile; the model's own when left out.
    #[arg(long)]
    profile: Option<String>,
    /// VM whose router is asked; any when left out.
    #[arg(long)]
    vm: Option<String>,
}

/// Runs the command.
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
