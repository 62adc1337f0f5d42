//! Command line: global options and subcommands.

use std::net::SocketAddr;

use clap::{Parser, Subcommand, ValueEnum};

use crate::cmd;

/// Operates a guavaarch deployment through its administration API.
#[derive(Debug, Parser)]
#[command(name = "guavactl", version, about, after_help = EXIT_CODES)]
pub struct Cli {
    /// Address of the administration API.
    #[arg(long, env = "GUAVA_ADMIN_ADDR", default_value = "127.0.0.1:7300", global = true)]
    pub admin_addr: SocketAddr,
    /// Operator's token for the administration API.
    #[arg(
        long,
        env = "GUAVA_ADMIN_TOKEN",
        default_value = "",
        hide_env_values = true,
        global = true
    )]
    pub admin_token: String,
    /// Output format.
    #[arg(long, short, value_enum, default_value_t = Format::Table, global = true)]
    pub output: Format,
    #[command(subcommand)]
    pub command: Command,
}

const EXIT_CODES: &str = "Exit codes: 0 ok, 1 other, 2 usage, 3 not found, 4 conflict, 5 refused, 6 unavailable.";

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// JSON as returned by the API.
    Json,
    /// Aligned columns.
    Table,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks files of objects without contacting the administration API.
    #[command(long_about = cmd::check::USAGE)]
    Check(cmd::check::Args),
    /// Creates the objects of a file, in order.
    #[command(long_about = cmd::create::USAGE)]
    Create(cmd::create::Args),
    /// Shows one object with its version.
    #[command(long_about = cmd::show::USAGE)]
    Show(cmd::show::Args),
    /// Lists the objects of a kind.
    #[command(long_about = cmd::list::USAGE)]
    List(cmd::list::Args),
    /// Replaces an object if it still has the given version.
    #[command(long_about = cmd::edit::USAGE)]
    Edit(cmd::edit::Args),
    /// Deletes an object if it still has the given version.
    #[command(long_about = cmd::delete::USAGE)]
    Delete(cmd::delete::Args),
    /// Prints changes to objects of a kind as they occur, one JSON line each.
    #[command(long_about = cmd::watch::USAGE)]
    Watch(cmd::watch::Args),
    /// Grants an organisation a new key and prints it; the key cannot be shown again.
    #[command(long_about = cmd::grant::USAGE)]
    Grant(cmd::grant::Args),
    /// Withdraws a key; it stops working within seconds.
    #[command(long_about = cmd::withdraw::USAGE)]
    Withdraw(cmd::withdraw::Args),
    /// Drains a backend server: it gets no new requests, and running requests finish.
    #[command(long_about = cmd::drain::USAGE)]
    Drain(cmd::drain::Args),
    /// Shows every member and whether the newest configuration is in force on it.
    #[command(long_about = cmd::status::USAGE)]
    Status(cmd::status::Args),
    /// Explains why a request would be refused or to which replicas it could be routed.
    #[command(long_about = cmd::explain::USAGE)]
    Explain(cmd::explain::Args),
    /// Explains where an entry process would send a request now, without sending it.
    #[command(long_about = cmd::locate::USAGE)]
    Locate(cmd::locate::Args),
    /// Shows the events of all processes for a request or a model, oldest first.
    #[command(long_about = cmd::timeline::USAGE)]
    Timeline(cmd::timeline::Args),
    /// Changes the log level of a running process.
    #[command(long_about = cmd::loglevel::USAGE)]
    LogLevel(cmd::loglevel::Args),
    /// Prints a completion script for a shell.
    #[command(long_about = cmd::completions::USAGE)]
    Completions(cmd::completions::Args),
    /// Prints the manual page.
    #[command(long_about = cmd::man::USAGE)]
    Man(cmd::man::Args),
}
