//! Tests of the restart of loops that panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use guava_entry::supervision::supervise;

/// Guards against a process that goes on without one of its loops after an unexpected error in it.
#[tokio::test]
async fn loop_that_panics_is_started_again() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&starts);
    let start = move || {
        let is_first = counter.fetch_add(1, Ordering::Relaxed) == 0;
        async move { assert!(!is_first, "the first start fails") }
    };

    let ended = tokio::time::timeout(Duration::from_secs(5), supervise("test", start)).await;

    ended.expect("the loop ends");
    assert_eq!(starts.load(Ordering::Relaxed), 2);
}
