//! `guavactl completions`.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::config::Cli;

/// Usage text.
pub const USAGE: &str = "\
Prints a completion script for a shell.

Usage:
    guavactl completions bash > /etc/bash_completion.d/guavactl";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Shell.
    #[arg(value_enum)]
    shell: Shell,
}

/// Runs the command.
pub fn run(args: &Args) {
    let mut command = Cli::command();
    clap_complete::generate(args.shell, &mut command, "guavactl", &mut std::io::stdout());
}
