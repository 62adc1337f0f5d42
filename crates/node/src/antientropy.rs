//! Anti-entropy: repairs differences between members by pulls over JSON-RPC.
//!
//! A mismatch is first repaired from the recent changes of the other member. Whole buckets are large in a large fleet,
//! so they are pulled only at start and when no other member has reported the same entries for some time.

use std::sync::Arc;
use std::time::Duration;

use guava_core::gossip::{BUCKETS, Digests};
use guava_core::gossip_entry::Entry;
use guava_core::ids::MemberId;
use guava_core::membership::{MemberInfo, MemberState};
use guava_core::units::Millis;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::shared::Shared;
use crate::{GossipState, PeerError};

/// JSON-RPC method that returns the entries of buckets whose digests differ.
pub(crate) const PULL_METHOD: &str = "spread.pull";

/// Time limit of a call that pulls whole buckets.
const ALL_PULL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a call that pulls recent changes; a paused peer must not delay repairs from others.
const RECENT_PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Total size of entries after which a response includes no further bucket.
const PAGE_BYTES: usize = 1_000_000;
/// Most calls of one pull.
const MAX_PAGES: usize = 2 * BUCKETS;
/// Time since the last accepted entry within which pushes are expected to resolve a mismatch.
const SETTLE_MS: u64 = 300;
/// Time since the last repair after which a mismatch is repaired even while entries keep arriving.
const MAX_DEFER_MS: u64 = 3_000;
/// Time without a member that reports the same entries after which whole buckets are pulled.
const UNMATCHED_AFTER_MS: u64 = 4_000;
/// Time between repairs of the member list. Heartbeats normally carry changes of membership.
const MEMBERS_INTERVAL_MS: u64 = 10_000;
/// Time between repairs of the member list during the first [`STARTUP_MS`], while the process is learning the members.
const STARTUP_MEMBERS_INTERVAL_MS: u64 = 2_000;
/// Time for which a process counts as recently started.
const STARTUP_MS: u64 = 30_000;

/// Mismatch with another member, as reported by a heartbeat or a push.
#[derive(Debug)]
pub(crate) struct Mismatch {
    pub(crate) member: MemberId,
    /// Whether entries differ.
    pub(crate) entries: bool,
    /// Whether the member lists differ.
    pub(crate) members: bool,
    /// Whether an entry is known to be missing, so that the repair must not wait for pushes.
    pub(crate) urgent: bool,
}

/// Extent of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Scope {
    /// Recent changes in buckets whose digests differ.
    Recent,
    /// All entries of buckets whose digests differ.
    All,
}

/// Parameters of `spread.pull`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PullParams {
    /// Digests of the caller's buckets.
    pub(crate) digests: Vec<u64>,
    pub(crate) scope: Scope,
    /// Whether the caller requests the member list.
    pub(crate) members: bool,
}

/// Result of `spread.pull`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PullReply {
    /// Hexadecimal postcard encoding of the entries.
    pub(crate) entries: String,
    /// Hexadecimal postcard encoding of the member list; an empty list when it was not requested.
    pub(crate) members: String,
    /// Whether buckets were left out; the caller then calls again with its new digests.
    pub(crate) more: bool,
    /// Whether the responding member has its configuration.
    pub(crate) configured: bool,
}

/// Handles `spread.pull`.
pub(crate) fn answer(shared: &Shared, params: &PullParams) -> PullReply {
    let theirs = Digests::try_from(params.digests.as_slice()).unwrap_or([0; BUCKETS]);
    let (entries, more) = match params.scope {
        Scope::Recent => (shared.gossip.recent(&theirs), false),
        Scope::All => shared.gossip.differing(&theirs, PAGE_BYTES),
    };
    let states = if params.members {
        shared.members.states()
    } else {
        Vec::new()
    };
    PullReply {
        entries: to_hex(&entries),
        members: to_hex(&states),
        more,
        configured: shared.is_configured(),
    }
}

/// Pulls differing entries from `member`, and its member list if `members` is set.
///
/// Returns whether `member` has its configuration; false when entries still differ after [`MAX_PAGES`] calls.
pub(crate) async fn pull(shared: &Shared, member: &MemberInfo, scope: Scope, members: bool) -> Result<bool, PeerError> {
    let mut requests_members = members;
    let timeout = match scope {
        Scope::Recent => RECENT_PULL_TIMEOUT,
        Scope::All => ALL_PULL_TIMEOUT,
    };
    for _ in 0..MAX_PAGES {
        let params = PullParams {
            digests: shared.gossip.digests().to_vec(),
            scope,
            members: requests_members,
        };
        let params = serde_json::to_value(params).map_err(malformed_response)?;
        let response = shared.peers.call(member, PULL_METHOD, params, timeout).await?;
        let reply: PullReply = serde_json::from_value(response).map_err(malformed_response)?;
        let entries: Vec<Entry> = from_hex(&reply.entries)?;
        for entry in entries {
            match scope {
                Scope::Recent => shared.gossip.put(entry),
                Scope::All => shared.gossip.put_without_push(entry),
            };
        }
        let states: Vec<MemberState> = from_hex(&reply.members)?;
        let out = shared.members.merge(states);
        shared.dispatch(out).await;
        requests_members = false;
        if !reply.more {
            return Ok(reply.configured);
        }
    }
    Ok(false)
}

/// Times of the last repairs.
#[derive(Debug)]
struct RepairTimes {
    /// Start of the repair loop.
    started: Millis,
    recent: Millis,
    all: Millis,
    members: Millis,
}

impl RepairTimes {
    /// Scope of the repair of entries that is due at `now`, which is then recorded as done; `None` when none is due.
    fn due_scope(&mut self, shared: &Shared, mismatch: &Mismatch, now: Millis) -> Option<Scope> {
        if !mismatch.entries {
            return None;
        }
        let unmatched = now.since(shared.gossip.last_match()) >= UNMATCHED_AFTER_MS;
        if unmatched && now.since(self.all) >= UNMATCHED_AFTER_MS {
            self.all = now;
            return Some(Scope::All);
        }
        let settled = now.since(shared.gossip.last_change()) >= SETTLE_MS;
        let deferred_long = now.since(self.recent) >= MAX_DEFER_MS;
        if !(mismatch.urgent || settled || deferred_long) {
            return None;
        }
        self.recent = now;
        Some(Scope::Recent)
    }

    /// Whether a repair of the member list is due at `now`, which is then recorded as done.
    fn members_due(&mut self, mismatch: &Mismatch, now: Millis) -> bool {
        let is_starting = now.since(self.started) < STARTUP_MS;
        let interval = if is_starting {
            STARTUP_MEMBERS_INTERVAL_MS
        } else {
            MEMBERS_INTERVAL_MS
        };
        let due = mismatch.members && now.since(self.members) >= interval;
        if due {
            self.members = now;
        }
        due
    }
}

/// Repairs reported mismatches until the sender is dropped or the task is aborted.
pub(crate) async fn repair_loop(shared: Arc<Shared>, mut mismatches: mpsc::Receiver<Mismatch>) {
    let started = shared.clock.now();
    let mut last_repairs = RepairTimes {
        started,
        recent: started,
        all: started,
        members: started,
    };
    while let Some(mismatch) = mismatches.recv().await {
        let now = shared.clock.now();
        let scope = last_repairs.due_scope(&shared, &mismatch, now);
        let members = last_repairs.members_due(&mismatch, now);
        if scope.is_none() && !members {
            continue;
        }
        let Some(peer) = shared.members.find(&mismatch.member) else {
            continue;
        };
        let scope = scope.unwrap_or(Scope::Recent);
        if let Err(error) = pull(&shared, &peer, scope, members).await {
            log::debug!("pull from {} failed: {error}", peer.id);
        }
    }
}

fn to_hex<T: Serialize>(value: &T) -> String {
    hex::encode(postcard::to_allocvec(value).unwrap_or_default())
}

fn from_hex<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, PeerError> {
    let bytes = hex::decode(text).map_err(malformed_response)?;
    postcard::from_bytes(&bytes).map_err(malformed_response)
}

fn malformed_response(error: impl std::fmt::Display) -> PeerError {
    PeerError::OutcomeUnknown(format!("malformed answer: {error}"))
}
