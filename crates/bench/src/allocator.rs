//! Allocator that counts the live bytes of each thread.
//!
//! The counter belongs to the thread, so that it costs no shared cache line in the router's threads.

use std::alloc::{GlobalAlloc, Layout};
use std::cell::Cell;

use mimalloc::MiMalloc;

thread_local! {
    static LIVE: Cell<i64> = const { Cell::new(0) };
}

/// mimalloc with a counter.
#[derive(Debug)]
pub struct Counting;

fn count(bytes: i64) {
    // Fails while the thread ends; nobody reads its counter then.
    let _ = LIVE.try_with(|it| it.set(it.get() + bytes));
}

// SAFETY: every call is passed on to mimalloc unchanged, and counting does not allocate.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { MiMalloc.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        // SAFETY: the pointer comes from mimalloc and the caller keeps the contract of `dealloc`.
        unsafe { MiMalloc.dealloc(ptr, layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        count(new_size as i64 - layout.size() as i64);
        // SAFETY: the pointer comes from mimalloc and the caller keeps the contract of `realloc`.
        unsafe { MiMalloc.realloc(ptr, layout, new_size) }
    }
}

/// Bytes allocated and not freed by this thread.
pub fn live_bytes() -> i64 {
    LIVE.with(Cell::get)
}

/// Runs `make` and returns its value with the bytes that it keeps.
pub fn kept_bytes<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = live_bytes();
    let value = make();
    (value, (live_bytes() - before) as f64)
}
