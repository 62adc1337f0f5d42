//! Helpers for the commands.

use std::io;

use tokio::runtime::{Builder, Runtime};

/// Multi-threaded runtime with `threads` worker threads.
pub(crate) fn runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}

/// Median of the values, the upper one of the two middle values if their number is even; zero without values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
