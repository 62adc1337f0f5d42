//! Operating system signals that request a graceful shutdown.

use tokio::signal::unix::{SignalKind, signal};

/// Installs handlers for SIGTERM and SIGINT and returns a future that waits for either.
///
/// Programs call this before anything else is started, so that a signal during startup does not kill them.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed.
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
