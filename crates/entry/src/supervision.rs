//! Restart of loops that panic.
//!
//! A panic ends only its task. For a request that is enough, but without one of the loops of control the process would
//! serve on with an ever older view, or hold the lease without placing models.

use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::sleep;

/// Pause before a loop is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Starts a loop; called again after each panic.
pub type LoopStart = Box<dyn Fn() -> BoxFuture<'static, ()> + Send>;

/// Runs a loop, and again whenever it panics, until it ends.
pub async fn supervise(name: &'static str, start: LoopStart) {
    loop {
        match tokio::spawn(start()).await {
            Err(e) if e.is_panic() => log::error!("the loop panicked and is started again: {name}"),
            // Tasks are cancelled only when the process ends.
            _ => return,
        }
        sleep(RESTART_PAUSE).await;
    }
}
