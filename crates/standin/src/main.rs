//! Program that serves stand-ins of the systems around guavaarch: the platform, engines and services.

use std::process::ExitCode;

use clap::Parser as _;

mod cmd;
mod config;
mod util;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let config = config::Config::parse();
    match config.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guava-standin: {error}");
            error.exit_code()
        }
    }
}
