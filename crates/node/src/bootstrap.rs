//! First fill of a starting process.
//!
//! A process has its configuration after one list from the platform and, if it reaches any peer, a full pull from one;
//! a pull from a peer that has its configuration is enough when the platform does not answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::config::Kind;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::antientropy::{self, Scope};
use crate::shared::Shared;
use crate::watchers;

/// Time for which a process with seeds waits for a first peer.
const PEER_WAIT_MS: u64 = 2_000;
/// Time between looks for a peer.
const PEER_POLL: Duration = Duration::from_millis(50);
/// Time limit of the list of one kind.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest and longest time until a failed fill is tried again, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 300..1_200;

/// Fills the map and marks the process as configured.
pub(crate) async fn fill(shared: Arc<Shared>, has_seeds: bool) {
    if has_seeds {
        wait_for_peer(&shared).await;
    }
    let mut missing = watchers::KINDS.to_vec();
    loop {
        let (failed, from_peer) = tokio::join!(list(&shared, &missing), pull(&shared));
        missing = failed;
        let done = match from_peer {
            Peer::Configured => true,
            Peer::Unconfigured | Peer::None => missing.is_empty(),
            Peer::Failed => false,
        };
        if done {
            break;
        }
        let pause = rand::rng().random_range(RETRY_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    shared.configured.store(true, Ordering::Release);
    shared.spread.log_changes.store(true, Ordering::Release);
}

async fn wait_for_peer(shared: &Shared) {
    let start = shared.clock.now();
    while shared.members.other_addrs().is_empty() && shared.clock.now().since(start) < PEER_WAIT_MS {
        tokio::time::sleep(PEER_POLL).await;
    }
}

/// Lists `kinds` and returns those whose list failed. Only they are listed again: a platform that refuses a part of the
/// calls when many processes start at once would hardly ever answer all of one attempt.
async fn list(shared: &Shared, kinds: &[Kind]) -> Vec<Kind> {
    let lists = kinds.iter().map(|kind| async move {
        let list = tokio::time::timeout(LIST_TIMEOUT, watchers::list(shared, *kind)).await;
        let is_listed = list.is_ok_and(|it| it.is_some());
        (!is_listed).then_some(*kind)
    });
    futures::future::join_all(lists).await.into_iter().flatten().collect()
}

enum Peer {
    /// No peer is known.
    None,
    /// The pull failed.
    Failed,
    /// A peer answered that has no configuration itself.
    Unconfigured,
    /// A peer answered that has its configuration.
    Configured,
}

async fn pull(shared: &Shared) -> Peer {
    let peers = shared.members.others();
    let Some(peer) = peers.choose(&mut rand::rng()).cloned() else {
        return Peer::None;
    };
    match antientropy::pull(shared, &peer, Scope::All, true).await {
        Ok(true) => Peer::Configured,
        Ok(false) => Peer::Unconfigured,
        Err(_) => Peer::Failed,
    }
}
