//! Continuous batching: a limited number of requests run at once, and the others queue by priority.

use std::cmp::Ordering as CmpOrdering;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Batch of one replica: each running request holds one of its slots.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: u32,
    /// Copy of `Queue::in_use` that is read without the lock.
    running: AtomicU32,
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    /// Slots held by requests.
    in_use: u32,
    /// Number given to the latest waiter.
    sequence: u64,
    waiters: BinaryHeap<Waiter>,
}

/// A waiting request, ordered by priority (highest first) and then by arrival.
#[derive(Debug)]
struct Waiter {
    priority: i64,
    sequence: u64,
    grant: oneshot::Sender<BatchSlot>,
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> CmpOrdering {
        let by_priority = self.priority.cmp(&other.priority);
        by_priority.then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<CmpOrdering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == CmpOrdering::Equal
    }
}

impl Eq for Waiter {}

/// A slot held by a request. Dropping it hands the slot to the next waiter or frees it.
#[derive(Debug)]
pub(crate) struct BatchSlot(Arc<Batch>);

impl Batch {
    pub(crate) fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            running: AtomicU32::new(0),
            queue: Mutex::default(),
        })
    }

    /// Number of slots in use.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Waits for a slot. Dropping the future gives up the place in the queue.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: i64) -> BatchSlot {
        let grant = {
            let mut queue = self.queue.lock();
            if queue.in_use < self.slots {
                queue.in_use += 1;
                self.running.store(queue.in_use, Ordering::Relaxed);
                return BatchSlot(Arc::clone(self));
            }
            let (tx, rx) = oneshot::channel();
            queue.sequence += 1;
            let sequence = queue.sequence;
            queue.waiters.push(Waiter {
                priority,
                sequence,
                grant: tx,
            });
            rx
        };
        match grant.await {
            Ok(slot) => slot,
            // A waiter leaves the queue only when it is granted a slot, and `self` keeps the queue alive.
            Err(_closed) => unreachable!("a waiter was dropped without a grant"),
        }
    }

    fn release(self: &Arc<Self>) {
        let mut queue = self.queue.lock();
        while let Some(waiter) = queue.waiters.pop() {
            if waiter.grant.is_closed() {
                continue;
            }
            // The lock is released first: if the receiver has just been dropped, the slot is dropped here, and that
            // takes the lock again.
            drop(queue);
            // `send` returns the slot if the receiver is gone; dropping it hands it to the next waiter.
            drop(waiter.grant.send(BatchSlot(Arc::clone(self))));
            return;
        }
        queue.in_use -= 1;
        self.running.store(queue.in_use, Ordering::Relaxed);
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.0.release();
    }
}
