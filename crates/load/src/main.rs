//! Open-loop load tool of guavaarch.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use guava_load::error::LoadError;

mod cmd;
mod util;

/// Generates traces of requests, sends them to routers and reports latency and service per organisation.
#[derive(Debug, Parser)]
#[command(
    name = "guava-load",
    version,
    about,
    after_help = "Exit codes: 0 ok, 1 other, 2 usage or settings."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Sends a trace to routers and prints a report.
    #[command(long_about = cmd::run::USAGE)]
    Run(cmd::run::Args),
    /// Generates a trace from a mix.
    #[command(long_about = cmd::generate::USAGE)]
    Generate(cmd::generate::Args),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(args) => cmd::run::run(&args),
        Command::Generate(args) => cmd::generate::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guava-load: {error}");
            ExitCode::from(if matches!(error, LoadError::Settings(_)) { 2 } else { 1 })
        }
    }
}
