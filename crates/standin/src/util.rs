//! Errors, common flags, runtime and output of the commands.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use quick_error::quick_error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

quick_error! {
    /// Failure of a command.
    #[derive(Debug)]
    pub enum StandInError {
        /// An operation on a socket, a thread, a signal handler or the output failed.
        Io(error: io::Error) {
            from()
            source(error)
            display("{error}")
        }
        /// A setting is invalid: the flags it concerns and the accepted values.
        Setting(name: &'static str, accepted: &'static str) {
            display("{name}: accepted is {accepted}")
        }
    }
}

impl StandInError {
    /// Exit code: 2 for invalid settings, otherwise 1.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Io(_) => ExitCode::FAILURE,
            Self::Setting(..) => ExitCode::from(EXIT_SETTINGS),
        }
    }
}

/// Flags of every command.
#[derive(Debug, Args)]
pub(crate) struct ListenArgs {
    /// Address to listen on; with port 0 the system chooses a free port.
    #[arg(long, env = "GUAVA_STANDIN_ADDR", default_value = "127.0.0.1:0")]
    pub(crate) addr: SocketAddr,
    /// Number of worker threads; 0 for one per processor.
    #[arg(long, env = "GUAVA_STANDIN_THREADS", default_value_t = 0)]
    threads: usize,
}

impl ListenArgs {
    /// Number of worker threads, with 0 replaced by the number of processors.
    pub(crate) fn worker_threads(&self) -> usize {
        let available = std::thread::available_parallelism().map_or(1, usize::from);
        if self.threads == 0 { available } else { self.threads }
    }

    /// Starts a runtime with that number of worker threads.
    pub(crate) fn runtime(&self) -> Result<Runtime, StandInError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.worker_threads())
            .enable_all()
            .build()?;
        Ok(runtime)
    }
}

/// Prints an address with its bound port to standard output, on a line of its own.
pub(crate) fn print_addr(addr: SocketAddr) -> Result<(), StandInError> {
    let mut out = io::stdout().lock();
    writeln!(out, "{addr}")?;
    out.flush()?;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_stop() -> Result<(), StandInError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
