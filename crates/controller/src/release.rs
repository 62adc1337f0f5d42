//! Tells the other controllers which load orders of an earlier term were never sent.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use guava_core::derive_value;
use guava_core::ids::{PoolName, ReplicaId, Role, Term};
use guava_core::units::Millis;

use crate::shared::Shared;

/// Time between repeats of an announcement, in milliseconds.
const REPEAT_MS: u64 = 5_000;
/// Number of repeats; a successor that misses all of them keeps the reservations until the VM has ended.
const REPEATS: u32 = 24;
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

derive_value! {
    /// Confirmation that load orders were not and will not be sent: the argument of `plan.released`.
    pub struct Released {
        /// Pool.
        pub pool: PoolName,
        /// Term in which the replicas were decided.
        pub term: Term,
        /// Replicas.
        pub replicas: Vec<ReplicaId>,
    }
}

#[derive(Debug)]
struct Announcement {
    released: Released,
    next: Millis,
    left: u32,
}

/// Announcements of one pool.
#[derive(Debug)]
pub struct Announcer {
    shared: Arc<Shared>,
    pool: PoolName,
    pending: Vec<Announcement>,
}

impl Announcer {
    /// Nothing to announce yet.
    pub fn new(shared: Arc<Shared>, pool: PoolName) -> Self {
        Self {
            shared,
            pool,
            pending: Vec::new(),
        }
    }

    /// Adds an announcement; the first call goes out with the next turn.
    pub fn add(&mut self, term: Term, replicas: Vec<ReplicaId>, now: Millis) {
        let released = Released {
            pool: self.pool.clone(),
            term,
            replicas,
        };
        self.pending.retain(|it| it.released.term != term);
        self.pending.push(Announcement {
            released,
            next: now,
            left: REPEATS,
        });
    }

    /// Makes the announcements that are due.
    pub async fn announce_due(&mut self) {
        let now = self.shared.now();
        let mut due = Vec::new();
        for it in self.pending.iter_mut().filter(|it| it.next <= now) {
            it.next = now + REPEAT_MS;
            it.left -= 1;
            due.push(it.released.clone());
        }
        self.pending.retain(|it| it.left > 0);
        self.call_all(&due).await;
    }

    /// Makes all announcements at once, before the process stops.
    pub async fn announce_now(&mut self) {
        let due: Vec<Released> = self.pending.drain(..).map(|it| it.released).collect();
        self.call_all(&due).await;
    }

    async fn call_all(&self, due: &[Released]) {
        if due.is_empty() {
            return;
        }
        let me = self.shared.me();
        let live = self.shared.node.members.live();
        let others: Vec<_> = live
            .iter()
            .filter(|it| it.id.role == Role::Controller && it.id != *me)
            .collect();
        let calls = due.iter().flat_map(|released| {
            let params = serde_json::to_value(released).unwrap_or_default();
            others.iter().map(move |member| {
                let peers = &self.shared.node.peers;
                peers.call(member, "plan.released", params.clone(), CALL_TIMEOUT)
            })
        });
        // A lost call is repeated; see `REPEATS`.
        join_all(calls).await;
    }
}
