//! Announces to the other controllers which load orders of an earlier term were never sent, so that the lease's new
//! holder can release the memory reserved for them.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use guava_core::derive_value;
use guava_core::ids::{PoolName, ReplicaId, Role, Term};
use guava_core::units::Millis;

use crate::shared::Shared;

/// Interval between repeats of an announcement, in milliseconds.
const REPEAT_INTERVAL_MS: u64 = 5_000;
/// Number of times an announcement is made. A new holder that receives none of them keeps the reservations until the VM
/// of the previous holder has ended.
const ANNOUNCEMENT_ATTEMPTS: u32 = 24;
/// Time limit of one call to another controller.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

derive_value! {
    /// Confirmation that load orders were not and will not be sent: the argument of `plan.released`.
    pub struct UnsentLoads {
        /// Pool whose plan has the replicas.
        pub pool: PoolName,
        /// Term of the plan in which memory was reserved for the replicas.
        pub term: Term,
        /// Replicas whose load orders were not sent.
        pub replicas: Vec<ReplicaId>,
    }
}

#[derive(Debug)]
struct Announcement {
    unsent: UnsentLoads,
    next_at: Millis,
    attempts_left: u32,
}

/// Announcements of one pool that are still to be repeated.
#[derive(Debug)]
pub struct Announcer {
    shared: Arc<Shared>,
    pool: PoolName,
    pending: Vec<Announcement>,
}

impl Announcer {
    /// Creates an announcer without announcements.
    pub fn new(shared: Arc<Shared>, pool: PoolName) -> Self {
        Self {
            shared,
            pool,
            pending: Vec::new(),
        }
    }

    /// Adds an announcement in place of an earlier one of the same term. It is made for the first time with the next
    /// [`Announcer::announce_due`].
    pub fn add(&mut self, term: Term, replicas: Vec<ReplicaId>, now: Millis) {
        let unsent = UnsentLoads {
            pool: self.pool.clone(),
            term,
            replicas,
        };
        self.pending.retain(|it| it.unsent.term != term);
        self.pending.push(Announcement {
            unsent,
            next_at: now,
            attempts_left: ANNOUNCEMENT_ATTEMPTS,
        });
    }

    /// Makes the announcements that are due and waits for the answers.
    pub async fn announce_due(&mut self) {
        let now = self.shared.now();
        let mut due = Vec::new();
        for it in self.pending.iter_mut().filter(|it| it.next_at <= now) {
            it.next_at = now + REPEAT_INTERVAL_MS;
            it.attempts_left -= 1;
            due.push(it.unsent.clone());
        }
        self.pending.retain(|it| it.attempts_left > 0);
        self.call_other_controllers(&due).await;
    }

    /// Makes every remaining announcement one last time, before the process stops.
    pub async fn announce_now(&mut self) {
        let due: Vec<UnsentLoads> = self.pending.drain(..).map(|it| it.unsent).collect();
        self.call_other_controllers(&due).await;
    }

    async fn call_other_controllers(&self, due: &[UnsentLoads]) {
        if due.is_empty() {
            return;
        }
        let own_id = self.shared.own_id();
        let live = self.shared.node.members.live();
        let other_controllers: Vec<_> = live
            .iter()
            .filter(|it| it.id.role == Role::Controller && it.id != *own_id)
            .collect();
        let calls = due.iter().flat_map(|unsent| {
            let params = serde_json::to_value(unsent).unwrap_or_default();
            other_controllers.iter().map(move |member| {
                let peers = &self.shared.node.peers;
                peers.call(member, "plan.released", params.clone(), CALL_TIMEOUT)
            })
        });
        // Errors are ignored because every announcement is made `ANNOUNCEMENT_ATTEMPTS` times.
        join_all(calls).await;
    }
}
