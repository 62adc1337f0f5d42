//! The command `guavactl completions`.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::config::Cli;

pub const USAGE: &str = "\
Prints a completion script for a shell.

Usage:
    guavactl completions bash > /etc/bash_completion.d/guavactl";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Shell that will load the script.
    #[arg(value_enum)]
    shell: Shell,
}

pub fn run(args: &Args) {
    let mut command = Cli::command();
    clap_complete::generate(args.shell, &mut command, "guavactl", &mut std::io::stdout());
}
