//! Runs the soak test from the command line.

use std::process::ExitCode;

use clap::Parser;
use guava_soak::cmd::{Args, run};

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("guava-soak: {e}");
            ExitCode::FAILURE
        }
    }
}
