//! The program `guavactl`, the operator's command line for guavaarch.

use std::process::ExitCode;

use clap::Parser;

mod client;
mod cmd;
mod config;
mod error;
mod output;
mod util;

use config::Cli;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cmd::run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guavactl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
