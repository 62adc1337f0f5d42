//! Benchmarks and capacity slopes of guavaarch.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use guava_bench::allocator::CountingAllocator;

mod cmd;
mod config;
mod util;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Measures the data path, and the growth of control-plane work with the size of the fleet.
#[derive(Debug, Parser)]
#[command(name = "guava-bench", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares calls through a router with direct calls to the backend server.
    #[command(long_about = cmd::router::USAGE)]
    Router(cmd::router::Args),
    /// Measures how control-plane work grows with the size of the fleet and writes the table.
    #[command(long_about = cmd::slopes::USAGE)]
    Slopes(cmd::slopes::Args),
    /// Serves the stand-in backend server for the `router` command.
    #[command(hide = true, long_about = cmd::serve_engine::USAGE)]
    ServeEngine(cmd::serve_engine::Args),
    /// Serves the router for the `router` command.
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
