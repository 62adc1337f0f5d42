//! Configuration and placements in force at this router.

use std::sync::Arc;

use arc_swap::ArcSwap;
use guava_core::gossip_entry::Entry;
use guava_core::snapshot::Snapshot;
use guava_node::GossipState;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::{RecvError, TryRecvError};

/// Holds the newest snapshot, which is read without a lock.
#[derive(Debug, Default)]
pub struct Config {
    snapshot: ArcSwap<Snapshot>,
}

impl Config {
    /// Returns the newest snapshot; empty before the first [`Config::reload`].
    pub fn current(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Rebuilds the snapshot from all entries in `gossip`.
    pub fn reload(&self, gossip: &dyn GossipState) {
        let mut snapshot = Snapshot::default();
        gossip.entries().iter().for_each(|entry| snapshot.apply(entry));
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Applies the entries received from `entries` until the sender is dropped. Calls `on_change` with the new snapshot
    /// once at the start and after each batch.
    pub async fn follow(
        &self,
        gossip: &dyn GossipState,
        mut entries: Receiver<Arc<Entry>>,
        on_change: impl Fn(&Snapshot),
    ) {
        self.reload(gossip);
        on_change(&self.current());
        loop {
            match entries.recv().await {
                Ok(first) => self.apply_batch(gossip, &first, &mut entries),
                Err(RecvError::Lagged(_)) => self.reload(gossip),
                Err(RecvError::Closed) => return,
            }
            on_change(&self.current());
        }
    }

    /// Applies all entries received so far to one copy of the snapshot, because copying it costs more than applying an
    /// entry.
    fn apply_batch(&self, gossip: &dyn GossipState, first: &Arc<Entry>, entries: &mut Receiver<Arc<Entry>>) {
        let mut snapshot = Snapshot::clone(&self.current());
        apply_newest(&mut snapshot, gossip, first);
        loop {
            match entries.try_recv() {
                Ok(entry) => apply_newest(&mut snapshot, gossip, &entry),
                Err(TryRecvError::Lagged(_)) => return self.reload(gossip),
                Err(TryRecvError::Empty | TryRecvError::Closed) => break,
            }
        }
        self.snapshot.store(Arc::new(snapshot));
    }
}

/// Applies the newest known entry with the key of `received`, because entries may be received out of order.
fn apply_newest(snapshot: &mut Snapshot, gossip: &dyn GossipState, received: &Arc<Entry>) {
    let newest = gossip.get(&received.key);
    snapshot.apply(newest.as_ref().unwrap_or(received));
}
