//! Plan of which router should hold which share.

use std::fmt::Write;

use xxhash_rust::xxh3::xxh3_64;

use super::SHARES;
use crate::ids::{MemberId, OrganisationName};

/// Plans the holder of each share; `None` when no router is alive.
///
/// The first routers by rendezvous hash, as many as there are shares or routers, hold the shares evenly. A share stays
/// with its present holder where the plan allows it, because a move costs the tokens outstanding.
pub fn plan_holders(
    organisation: &OrganisationName,
    current: &[Option<MemberId>],
    live: &[MemberId],
) -> Option<Vec<MemberId>> {
    let holders = first_ranked(organisation, live);
    if holders.is_empty() {
        return None;
    }
    let quota = SHARES.div_ceil(holders.len());
    let mut counts = vec![0; holders.len()];
    let mut planned = vec![None; SHARES];
    for (at, holder) in current.iter().enumerate().take(SHARES) {
        let rank = holder
            .as_ref()
            .and_then(|it| holders.iter().position(|other| *other == it));
        if let Some(rank) = rank.filter(|it| counts[*it] < quota) {
            counts[rank] += 1;
            planned[at] = Some(holders[rank].clone());
        }
    }
    let mut fewest = || {
        let rank = (0..holders.len()).min_by_key(|it| counts[*it]).unwrap_or_default();
        counts[rank] += 1;
        holders[rank].clone()
    };
    Some(planned.into_iter().map(|it| it.unwrap_or_else(&mut fewest)).collect())
}

/// First [`SHARES`] different routers by rendezvous hash.
fn first_ranked<'a>(organisation: &OrganisationName, live: &'a [MemberId]) -> Vec<&'a MemberId> {
    let mut text = format!("{organisation}\n");
    let prefix = text.len();
    let mut first: Vec<(u64, &MemberId)> = Vec::with_capacity(SHARES + 1);
    for router in live {
        text.truncate(prefix);
        // Writing to a string cannot fail.
        let _ = write!(text, "{router}");
        let ranked = (xxh3_64(text.as_bytes()), router);
        if first.len() == SHARES && first[SHARES - 1] >= ranked {
            continue;
        }
        if let Err(at) = first.binary_search_by(|it| ranked.cmp(it)) {
            first.insert(at, ranked);
            first.truncate(SHARES);
        }
    }
    first.into_iter().map(|(_, it)| it).collect()
}
