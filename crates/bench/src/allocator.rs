//! Global allocator that counts the live bytes of each thread.
//!
//! The counter is thread-local, so that the router's threads do not contend for a shared cache line.

use std::alloc::{GlobalAlloc, Layout};
use std::cell::Cell;

use mimalloc::MiMalloc;

thread_local! {
    static LIVE_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// mimalloc with a counter of the live bytes of each thread, read with [`live_bytes`].
#[derive(Debug)]
pub struct CountingAllocator;

fn count(bytes: i64) {
    // Fails during destruction of the thread-local storage, when the counter is no longer read.
    let _ = LIVE_BYTES.try_with(|it| it.set(it.get() + bytes));
}

// SAFETY: every call is forwarded to mimalloc unchanged, and counting does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { MiMalloc.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        // SAFETY: the pointer comes from mimalloc and the caller upholds the contract of `dealloc`.
        unsafe { MiMalloc.dealloc(ptr, layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        count(new_size as i64 - layout.size() as i64);
        // SAFETY: the pointer comes from mimalloc and the caller upholds the contract of `realloc`.
        unsafe { MiMalloc.realloc(ptr, layout, new_size) }
    }
}

/// Bytes that this thread has allocated minus the bytes that it has freed.
///
/// Negative when the thread frees memory of other threads. Always zero unless [`CountingAllocator`] is the global
/// allocator.
pub fn live_bytes() -> i64 {
    LIVE_BYTES.with(Cell::get)
}

/// Runs `build` and returns its value with the number of bytes by which the live bytes of this thread grew.
pub fn retained_bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = live_bytes();
    let value = build();
    (value, (live_bytes() - before) as f64)
}
