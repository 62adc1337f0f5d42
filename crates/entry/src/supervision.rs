//! Restart of loops that panic.
//!
//! A panic ends only its task. For a request that is enough, but without one of the control loops the process would
//! serve on with an ever older view, or hold the lease without placing models.

use std::time::Duration;

use tokio::time::sleep;

/// Pause before a loop is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs the loop that `start` creates, and a new one whenever it panics, until one ends.
pub async fn supervise<F, R>(name: &'static str, start: F)
where
    F: Fn() -> R,
    R: Future<Output = ()> + Send + 'static,
{
    loop {
        match tokio::spawn(start()).await {
            Err(e) if e.is_panic() => log::error!("the loop panicked and is started again: {name}"),
            // Tasks are cancelled only when the process ends.
            _ => return,
        }
        sleep(RESTART_PAUSE).await;
    }
}
