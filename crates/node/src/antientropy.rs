//! Repair of differences between members over JSON-RPC.
//!
//! A difference is first repaired from the latest changes of the other member. Whole buckets are pulled only at start
//! and when no other member has had the same entries for some time, because they are large in a large fleet.

use std::sync::Arc;
use std::time::Duration;

use guava_core::gossip::{BUCKETS, Digests};
use guava_core::ids::MemberId;
use guava_core::membership::{Belief, MemberInfo};
use guava_core::spread::Entry;
use guava_core::units::Millis;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::shared::Shared;
use crate::{PeerError, Spread};

/// JSON-RPC method that answers with the entries of differing buckets.
pub(crate) const PULL_METHOD: &str = "spread.pull";

/// Time limit of a pull of whole buckets.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a pull of latest changes; a paused peer must not hold up repairs from others.
const RECENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Sum of the sizes of entries after which an answer is cut at the next bucket.
const PULL_BYTES: usize = 1_000_000;
/// Most answers of one repair.
const MAX_PAGES: usize = 2 * BUCKETS;
/// Age of the last change below which a difference is expected to be repaired by pushes.
const SETTLE_MS: u64 = 300;
/// Time after which a difference is repaired even while changes arrive all the time.
const MAX_DEFER_MS: u64 = 3_000;
/// Time without any member that has the same entries after which whole buckets are pulled.
const UNMATCHED_MS: u64 = 4_000;
/// Time between repairs of the list of members; changes of membership normally travel with heartbeats.
const MEMBERS_GAP_MS: u64 = 10_000;
/// The same for a process that started less than [`YOUNG_MS`] ago and has still to learn the members.
const YOUNG_MEMBERS_GAP_MS: u64 = 2_000;
/// Time for which a process counts as just started.
const YOUNG_MS: u64 = 30_000;

/// Differences from another member.
#[derive(Debug)]
pub(crate) struct Mismatch {
    /// Other member.
    pub(crate) member: MemberId,
    /// Whether entries differ.
    pub(crate) entries: bool,
    /// Whether the known members differ.
    pub(crate) members: bool,
    /// Whether an entry is known to be missing.
    pub(crate) urgent: bool,
}

/// Extent of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Scope {
    /// Latest changes in differing buckets.
    Recent,
    /// All entries of differing buckets.
    All,
}

/// Parameters of `spread.pull`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PullParams {
    /// Digests of the caller's buckets.
    pub(crate) digests: Vec<u64>,
    /// Extent.
    pub(crate) scope: Scope,
    /// Whether the caller wants the known members.
    pub(crate) members: bool,
}

/// Answer of `spread.pull`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PullReply {
    /// Hexadecimal postcard encoding of the entries.
    pub(crate) entries: String,
    /// Hexadecimal postcard encoding of the beliefs about members.
    pub(crate) members: String,
    /// Whether buckets are missing.
    pub(crate) more: bool,
    /// Whether the answering member has its configuration.
    pub(crate) configured: bool,
}

/// Answers `spread.pull`.
pub(crate) fn answer(shared: &Shared, params: &PullParams) -> PullReply {
    let theirs = Digests::try_from(params.digests.as_slice()).unwrap_or([0; BUCKETS]);
    let (entries, more) = match params.scope {
        Scope::Recent => (shared.spread.recent(&theirs), false),
        Scope::All => shared.spread.differing(&theirs, PULL_BYTES),
    };
    let beliefs = if params.members {
        shared.members.beliefs()
    } else {
        Vec::new()
    };
    PullReply {
        entries: to_hex(&entries),
        members: to_hex(&beliefs),
        more,
        configured: shared.is_configured(),
    }
}

/// Pulls what differs from `member`; tells whether that member has its configuration.
pub(crate) async fn pull(shared: &Shared, member: &MemberInfo, scope: Scope, members: bool) -> Result<bool, PeerError> {
    let mut wants_members = members;
    let timeout = match scope {
        Scope::Recent => RECENT_TIMEOUT,
        Scope::All => PULL_TIMEOUT,
    };
    for _ in 0..MAX_PAGES {
        let params = PullParams {
            digests: shared.spread.digests().to_vec(),
            scope,
            members: wants_members,
        };
        let params = serde_json::to_value(params).map_err(malformed)?;
        let answer = shared.peers.call(member, PULL_METHOD, params, timeout).await?;
        let reply: PullReply = serde_json::from_value(answer).map_err(malformed)?;
        let entries: Vec<Entry> = from_hex(&reply.entries)?;
        for entry in entries {
            shared.spread.put(entry);
        }
        let beliefs: Vec<Belief> = from_hex(&reply.members)?;
        let out = shared.members.merge(beliefs);
        shared.dispatch(out).await;
        wants_members = false;
        if !reply.more {
            return Ok(reply.configured);
        }
    }
    Ok(false)
}

/// Moments of earlier repairs.
#[derive(Debug)]
struct Repairs {
    started: Millis,
    recent: Millis,
    all: Millis,
    members: Millis,
}

impl Repairs {
    /// Extent of the repair that is due now.
    fn scope(&mut self, shared: &Shared, mismatch: &Mismatch, now: Millis) -> Option<Scope> {
        if !mismatch.entries {
            return None;
        }
        let unmatched = now.since(shared.spread.matched()) >= UNMATCHED_MS;
        if unmatched && now.since(self.all) >= UNMATCHED_MS {
            self.all = now;
            return Some(Scope::All);
        }
        let settled = now.since(shared.spread.changed()) >= SETTLE_MS;
        let deferred_long = now.since(self.recent) >= MAX_DEFER_MS;
        if !(mismatch.urgent || settled || deferred_long) {
            return None;
        }
        self.recent = now;
        Some(Scope::Recent)
    }

    /// Whether the list of members is to be repaired now.
    fn members(&mut self, mismatch: &Mismatch, now: Millis) -> bool {
        let is_young = now.since(self.started) < YOUNG_MS;
        let gap = if is_young { YOUNG_MEMBERS_GAP_MS } else { MEMBERS_GAP_MS };
        let due = mismatch.members && now.since(self.members) >= gap;
        if due {
            self.members = now;
        }
        due
    }
}

/// Repairs differences that heartbeats show.
pub(crate) async fn repair_loop(shared: Arc<Shared>, mut mismatches: mpsc::Receiver<Mismatch>) {
    let started = shared.clock.now();
    let mut repairs = Repairs {
        started,
        recent: started,
        all: started,
        members: started,
    };
    while let Some(mismatch) = mismatches.recv().await {
        let now = shared.clock.now();
        let scope = repairs.scope(&shared, &mismatch, now);
        let members = repairs.members(&mismatch, now);
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
    let bytes = hex::decode(text).map_err(malformed)?;
    postcard::from_bytes(&bytes).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> PeerError {
    PeerError::OutcomeUnknown(format!("malformed answer: {error}"))
}
