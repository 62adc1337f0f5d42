//! Benchmarks and capacity slopes of guavaarch.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use guava_bench::allocator::Counting;

mod cmd;
mod config;
mod util;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Measures the data path and the growth of control work with the size of the fleet.
#[derive(Debug, Parser)]
#[command(name = "guava-bench", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares calls through a router with direct calls.
    #[command(long_about = cmd::router::USAGE)]
    Router(cmd::router::Args),
    /// Measures how control work grows and writes the table.
    #[command(long_about = cmd::slopes::USAGE)]
    Slopes(cmd::slopes::Args),
    /// Serves the backend server of `router`.
    #[command(hide = true, long_about = cmd::serve_engine::USAGE)]
    ServeEngine(cmd::serve_engine::Args),
    /// Serves the router of `router`.
    #[command(hide = true, long_about = cmd::serve_router::USAGE)]
    ServeRouter(cmd::serve_router::Args),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Router(args) => cmd::router::run(&args),
        Command::Slopes(args) => cmd::slopes::run(&args),
        Command::ServeEngine(args) => cmd::serve_engine::run(&args),
        Command::ServeRouter(args) => cmd::serve_router::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("guava-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
