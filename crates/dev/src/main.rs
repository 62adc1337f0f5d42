//! The program `guava-dev`, which runs the whole system in one process on loopback, with in-process stand-ins for all
//! external systems.

use std::process::ExitCode;

use clap::Parser;

mod config;
mod error;
mod standins;
mod system;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match system::run(&config::Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guava-dev: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
