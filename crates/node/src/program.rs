//! Entry of a program that is a member: settings are checked, then it runs until a signal asks it to stop.

use std::fmt::Display;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Args, CommandFactory, FromArgMatches, Parser};
use guava_core::ids::Role;
use guava_objects::{HttpObjectStore, HttpVmList};

use crate::runtime::{NodeError, Runtime};
use crate::settings::CommonArgs;
use crate::signal::shutdown_signal;

/// Exit code for faults in settings.
const EXIT_SETTINGS: u8 = 2;

/// A program with a role on each VM.
pub trait Program {
    /// Settings of this program, next to those that all programs share.
    type Args: Args + Send;
    /// Failure of the program.
    type Error: Display + From<NodeError> + From<std::io::Error>;

    /// Name of the binary.
    const NAME: &'static str;
    /// What the program does, for `--help`.
    const ABOUT: &'static str;
    /// Role of the process.
    const ROLE: Role;

    /// All faults of the settings.
    fn check(args: &Self::Args) -> Vec<String>;

    /// Runs until `stop` ends, then stops gracefully.
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

/// Reports all faults of the settings at once, or runs the program.
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
    let threads = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    threads.block_on(async {
        let stop = shutdown_signal()?;
        let store = Arc::new(HttpObjectStore::new(cli.common.platform_addr));
        let vms = Arc::new(HttpVmList::new(cli.common.platform_addr));
        let runtime = Runtime::start(&cli.common, P::ROLE, store, vms).await?;
        P::run(cli.own, cli.common, runtime, stop).await
    })
}
