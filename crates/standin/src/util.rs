//! Errors, runtime and output shared by the commands.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use quick_error::quick_error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;

quick_error! {
    /// Failure of a command.
    #[derive(Debug)]
    pub enum StandInError {
        /// A socket, thread or output failed.
        Io(error: io::Error) {
            from()
            source(error)
            display("{error}")
        }
        /// A setting is wrong.
        Setting(name: &'static str, accepted: &'static str) {
            display("{name}: accepted is {accepted}")
        }
    }
}

impl StandInError {
    /// Exit code of the process.
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
    /// Address to serve on; port 0 takes a free one.
    #[arg(long, env = "GUAVA_STANDIN_ADDR", default_value = "127.0.0.1:0")]
    pub(crate) addr: SocketAddr,
    /// Worker threads; 0 takes one for each processor.
    #[arg(long, env = "GUAVA_STANDIN_THREADS", default_value_t = 0)]
    threads: usize,
}

impl ListenArgs {
    /// Number of worker threads.
    pub(crate) fn workers(&self) -> usize {
        let available = std::thread::available_parallelism().map_or(1, usize::from);
        if self.threads == 0 { available } else { self.threads }
    }

    /// Runtime with that number of threads.
    pub(crate) fn runtime(&self) -> Result<Runtime, StandInError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.workers())
            .enable_all()
            .build()?;
        Ok(runtime)
    }
}

/// Prints a bound address on a line of its own.
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
