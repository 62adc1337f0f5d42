//! Configuration in force at this router.

use std::sync::Arc;

use arc_swap::ArcSwap;
use guava_core::snapshot::Snapshot;
use guava_core::spread::Entry;
use guava_node::GossipState;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::{RecvError, TryRecvError};

/// Newest snapshot, readable without a lock.
#[derive(Debug, Default)]
pub struct Config {
    snapshot: ArcSwap<Snapshot>,
}

impl Config {
    /// Snapshot in force.
    pub fn current(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Reads all entries anew.
    pub fn reload(&self, gossip: &dyn GossipState) {
        let mut snapshot = Snapshot::default();
        gossip.entries().iter().for_each(|entry| snapshot.apply(entry));
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Follows changes and calls `changed` after each batch. Ends when the sender is gone.
    pub async fn follow(&self, gossip: &dyn GossipState, mut rx: Receiver<Arc<Entry>>, changed: impl Fn(&Snapshot)) {
        self.reload(gossip);
        changed(&self.current());
        loop {
            match rx.recv().await {
                Ok(first) => self.apply_batch(gossip, &first, &mut rx),
                Err(RecvError::Lagged(_)) => self.reload(gossip),
                Err(RecvError::Closed) => return,
            }
            changed(&self.current());
        }
    }

    /// Applies all entries that have arrived to one copy of the snapshot, because a copy costs more than an entry.
    fn apply_batch(&self, gossip: &dyn GossipState, first: &Arc<Entry>, rx: &mut Receiver<Arc<Entry>>) {
        let mut snapshot = Snapshot::clone(&self.current());
        apply_newest(&mut snapshot, gossip, first);
        loop {
            match rx.try_recv() {
                Ok(entry) => apply_newest(&mut snapshot, gossip, &entry),
                Err(TryRecvError::Lagged(_)) => return self.reload(gossip),
                Err(TryRecvError::Empty | TryRecvError::Closed) => break,
            }
        }
        self.snapshot.store(Arc::new(snapshot));
    }
}

/// Applies the newest known entry of the key, because entries may be received out of order.
fn apply_newest(snapshot: &mut Snapshot, gossip: &dyn GossipState, received: &Arc<Entry>) {
    let newest = gossip.get(&received.key);
    snapshot.apply(newest.as_ref().unwrap_or(received));
}
