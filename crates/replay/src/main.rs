//! Command `guava-replay`, which replays recorded traces against the loading policies.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod cmd;

/// Replays recorded traces against the loading policies in virtual time.
#[derive(Debug, Parser)]
#[command(name = "guava-replay", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Generates the traces of all scenarios.
    #[command(long_about = cmd::generate::USAGE)]
    Generate(cmd::generate::Args),
    /// Replays traces and prints the four measures.
    #[command(long_about = cmd::run::USAGE)]
    Run(cmd::run::Args),
    /// Replays traces and draws a plot of each of the four measures.
    #[command(long_about = cmd::plot::USAGE)]
    Plot(cmd::plot::Args),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Generate(args) => cmd::generate::run(&args),
        Command::Run(args) => cmd::run::run(&args),
        Command::Plot(args) => cmd::plot::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guava-replay: {error}");
            ExitCode::FAILURE
        }
    }
}
