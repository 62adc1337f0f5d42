//! Initial synchronisation of a starting process.
//!
//! A process is configured once it has listed all kinds from the platform and, if it knows any peer, completed a full
//! pull from one. When the platform does not answer, a full pull from a configured peer is enough.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::config::Kind;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::antientropy::{self, Scope};
use crate::shared::Shared;
use crate::watchers;

/// Time for which a process with seeds waits until it knows a peer.
const PEER_WAIT_MS: u64 = 2_000;
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for listing one kind.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// Range of the random pause before an incomplete synchronisation is retried.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 300..1_200;

/// Loads the replicated entries and marks the process as configured; retries until it succeeds.
pub(crate) async fn synchronise(shared: Arc<Shared>, has_seeds: bool) {
    if has_seeds {
        wait_for_peer(&shared).await;
    }
    let mut missing = watchers::WATCHED_KINDS.to_vec();
    loop {
        let (failed, pulled) = tokio::join!(list_kinds(&shared, &missing), pull_from_peer(&shared));
        missing = failed;
        let done = match pulled {
            PeerPull::Configured => true,
            PeerPull::Unconfigured | PeerPull::NoPeer => missing.is_empty(),
            PeerPull::Failed => false,
        };
        if done {
            break;
        }
        let pause = rand::rng().random_range(RETRY_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    shared.configured.store(true, Ordering::Release);
    shared.gossip.log_changes.store(true, Ordering::Release);
}

async fn wait_for_peer(shared: &Shared) {
    let start = shared.clock.now();
    while shared.members.other_addrs().is_empty() && shared.clock.now().since(start) < PEER_WAIT_MS {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
    }
}

/// Lists `kinds` and returns those whose list failed, so that only these are retried. When many processes start at once
/// the platform rate-limits some calls, and an attempt at all kinds would rarely succeed as a whole.
async fn list_kinds(shared: &Shared, kinds: &[Kind]) -> Vec<Kind> {
    let lists = kinds.iter().map(|kind| async move {
        let list = tokio::time::timeout(LIST_TIMEOUT, watchers::list_kind(shared, *kind)).await;
        let is_listed = list.is_ok_and(|it| it.is_some());
        (!is_listed).then_some(*kind)
    });
    futures::future::join_all(lists).await.into_iter().flatten().collect()
}

/// Result of a full pull from a random peer.
enum PeerPull {
    /// No peer is known.
    NoPeer,
    /// The call failed.
    Failed,
    /// The pull succeeded, but the peer is not configured itself.
    Unconfigured,
    /// The pull from a configured peer succeeded.
    Configured,
}

async fn pull_from_peer(shared: &Shared) -> PeerPull {
    let peers = shared.members.others();
    let Some(peer) = peers.choose(&mut rand::rng()).cloned() else {
        return PeerPull::NoPeer;
    };
    match antientropy::pull(shared, &peer, Scope::All, true).await {
        Ok(true) => PeerPull::Configured,
        Ok(false) => PeerPull::Unconfigured,
        Err(_) => PeerPull::Failed,
    }
}
