//! Command line: one subcommand per stand-in.

use clap::{Parser, Subcommand};

use crate::cmd;
use crate::util::StandInError;

/// Serves a stand-in of a system that guavaarch depends on.
#[derive(Debug, Parser)]
#[command(name = "guava-standin", version)]
pub(crate) struct Config {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    #[command(about = cmd::platform::USAGE)]
    Platform(cmd::platform::Args),
    #[command(about = cmd::engine::USAGE)]
    Engine(cmd::engine::Args),
    #[command(about = cmd::service::USAGE)]
    Service(cmd::service::Args),
}

impl Config {
    /// Runs the chosen command until the process receives SIGTERM or SIGINT.
    pub(crate) fn run(&self) -> Result<(), StandInError> {
        match &self.command {
            Command::Platform(args) => cmd::platform::run(args),
            Command::Engine(args) => cmd::engine::run(args),
            Command::Service(args) => cmd::service::run(args),
        }
    }
}
