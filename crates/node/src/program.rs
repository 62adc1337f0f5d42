//! Entry point of a program that joins the cluster: checks its settings and runs it until a signal requests a shutdown.

use std::fmt::Display;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Args, CommandFactory, FromArgMatches, Parser};
use guava_core::ids::Role;
use guava_objects::{HttpObjectStore, HttpVmList};

use crate::runtime::{NodeError, Runtime};
use crate::settings::CommonArgs;
use crate::signal::shutdown_signal;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// A program that runs on each entry VM in one role.
pub trait Program {
    /// Settings of this program, in addition to [`CommonArgs`].
    type Args: Args + Send;
    /// Error that ends the program; printed to standard error.
    type Error: Display + From<NodeError> + From<std::io::Error>;

    /// Name of the binary, for `--help` and error messages.
    const NAME: &'static str;
    /// One-line description of the program, for `--help`.
    const ABOUT: &'static str;
    /// Role under which the process joins the cluster.
    const ROLE: Role;

    /// Checks the settings and returns one message per fault; empty when all are valid.
    fn check(args: &Self::Args) -> Vec<String>;

    /// Runs the program until `stop` completes, then stops it gracefully.
    fn run(
        args: Self::Args,
        common: CommonArgs,
        runtime: Runtime,
        stop: impl Future<Output = ()> + Send,
    ) -> impl Future<Output = Result<(), Self::Error>>;
}

#[derive(Parser)]
#[command(version, after_help = "Exit codes: 0 ok, 1 other, 2 usage or settings.")]
struct Cli<A: Args> {
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    own: A,
}

/// Runs the program, or prints all faults of the settings to standard error and exits with code 2.
///
/// With `--check` it exits after the check of the settings.
pub fn main<P: Program>() -> ExitCode {
    let command = Cli::<P::Args>::command().name(P::NAME).about(P::ABOUT);
    let cli = match Cli::<P::Args>::from_arg_matches(&command.get_matches()) {
        Ok(cli) => cli,
        Err(error) => error.exit(),
    };
    let faults: Vec<_> = cli.common.check().into_iter().chain(P::check(&cli.own)).collect();
    if !faults.is_empty() {
        for fault in &faults {
            eprintln!("{}: {fault}", P::NAME);
        }
        return ExitCode::from(EXIT_SETTINGS);
    }
    if cli.common.check {
        return ExitCode::SUCCESS;
    }
    match run::<P>(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", P::NAME);
            ExitCode::FAILURE
        }
    }
}

fn run<P: Program>(cli: Cli<P::Args>) -> Result<(), P::Error> {
    let executor = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    executor.block_on(async {
        let stop = shutdown_signal()?;
        let store = Arc::new(HttpObjectStore::new(cli.common.platform_addr));
        let vms = Arc::new(HttpVmList::new(cli.common.platform_addr));
        let runtime = Runtime::start(&cli.common, P::ROLE, store, vms).await?;
        P::run(cli.own, cli.common, runtime, stop).await
    })
}
