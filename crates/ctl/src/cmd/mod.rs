//! Subcommands, one module each.

pub mod check;
pub mod completions;
pub mod create;
pub mod delete;
pub mod drain;
pub mod edit;
pub mod explain;
pub mod grant;
pub mod list;
pub mod locate;
pub mod loglevel;
pub mod man;
pub mod show;
pub mod status;
pub mod timeline;
pub mod watch;
pub mod withdraw;

use crate::config::{Cli, Command};
use crate::error::CtlError;

/// Runs the subcommand of the command line.
pub fn run(cli: &Cli) -> Result<(), CtlError> {
    match &cli.command {
        Command::Check(args) => check::run(args),
        Command::Create(args) => create::run(cli, args),
        Command::Show(args) => show::run(cli, args),
        Command::List(args) => list::run(cli, args),
        Command::Edit(args) => edit::run(cli, args),
        Command::Delete(args) => delete::run(cli, args),
        Command::Watch(args) => watch::run(cli, args),
        Command::Grant(args) => grant::run(cli, args),
        Command::Withdraw(args) => withdraw::run(cli, args),
        Command::Drain(args) => drain::run(cli, args),
        Command::Status(args) => status::run(cli, args),
        Command::Explain(args) => explain::run(cli, args),
        Command::Locate(args) => locate::run(cli, args),
        Command::Timeline(args) => timeline::run(cli, args),
        Command::LogLevel(args) => loglevel::run(cli, args),
        Command::Completions(args) => {
            completions::run(args);
            Ok(())
        }
        Command::Man(args) => man::run(args),
    }
}
