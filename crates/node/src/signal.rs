//! Signals that ask for a graceful shutdown.

use tokio::signal::unix::{SignalKind, signal};

/// Installs handlers for SIGTERM and SIGINT and returns a future that waits for either.
///
/// Programs call this before they start their parts, so that a signal during the start does not end them at once.
///
/// # Errors
///
/// Fails when the operating system refuses a signal handler.
pub fn shutdown_signal() -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
