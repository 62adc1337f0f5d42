//! Signals that ask for a graceful shutdown.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the operating system refuses a signal handler.
pub async fn shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
