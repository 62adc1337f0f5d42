//! Continuous batching: a limited number of requests run at once, the others wait by priority.

use std::cmp::Ordering as Order;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Slots of one replica.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: u32,
    running: AtomicU32,
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    taken: u32,
    sequence: u64,
    waiters: BinaryHeap<Waiter>,
}

/// A waiting request; larger priority first, then order of arrival.
#[derive(Debug)]
struct Waiter {
    priority: i64,
    sequence: u64,
    granted: oneshot::Sender<BatchSlot>,
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> Order {
        let by_priority = self.priority.cmp(&other.priority);
        by_priority.then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<Order> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Order::Equal
    }
}

impl Eq for Waiter {}

/// A taken slot; dropping it passes it on.
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

    /// Requests running now.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Waits for a slot; giving up the wait gives up the place.
    pub(crate) async fn enter(self: &Arc<Self>, priority: i64) -> BatchSlot {
        let granted = {
            let mut queue = self.queue.lock();
            if queue.taken < self.slots {
                queue.taken += 1;
                self.running.store(queue.taken, Ordering::Relaxed);
                return BatchSlot(Arc::clone(self));
            }
            let (tx, rx) = oneshot::channel();
            queue.sequence += 1;
            let sequence = queue.sequence;
            queue.waiters.push(Waiter {
                priority,
                sequence,
                granted: tx,
            });
            rx
        };
        match granted.await {
            Ok(slot) => slot,
            // Waiters are only removed by a grant, and the queue lives as long as this reference.
            Err(_closed) => unreachable!("a waiter was dropped without a grant"),
        }
    }

    fn leave(self: &Arc<Self>) {
        let mut queue = self.queue.lock();
        while let Some(waiter) = queue.waiters.pop() {
            if waiter.granted.is_closed() {
                continue;
            }
            // Sent without the lock: a receiver that has just gone makes the slot drop here, which locks again.
            drop(queue);
            // A grant that nobody takes comes back and is passed on when it is dropped.
            drop(waiter.granted.send(BatchSlot(Arc::clone(self))));
            return;
        }
        queue.taken -= 1;
        self.running.store(queue.taken, Ordering::Relaxed);
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.0.leave();
    }
}
