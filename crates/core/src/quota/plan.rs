//! Assignment of an organisation's shares to routers.

use std::fmt::Write;

use xxhash_rust::xxh3::xxh3_64;

use super::SHARES;
use crate::ids::{MemberId, OrganisationName};

/// Returns the router that should hold each share, by index of the share; `None` when `live` is empty.
///
/// `current` gives the present holder of each share, or `None` for a share that needs a new one. The shares are
/// distributed evenly over the highest-ranked routers by rendezvous hash, at most [`SHARES`] of them. A share stays
/// with its present holder where that is possible, because moving it forfeits the outstanding tokens.
pub fn plan_holders(
    organisation: &OrganisationName,
    current: &[Option<MemberId>],
    live: &[MemberId],
) -> Option<Vec<MemberId>> {
    let holders = top_ranked(organisation, live);
    if holders.is_empty() {
        return None;
    }
    let max_shares = SHARES.div_ceil(holders.len());
    let mut counts = vec![0; holders.len()];
    let mut assigned = vec![None; SHARES];
    for (index, holder) in current.iter().enumerate().take(SHARES) {
        let rank = holder
            .as_ref()
            .and_then(|it| holders.iter().position(|other| *other == it));
        if let Some(rank) = rank.filter(|it| counts[*it] < max_shares) {
            counts[rank] += 1;
            assigned[index] = Some(holders[rank].clone());
        }
    }
    let mut least_loaded = || {
        let rank = (0..holders.len()).min_by_key(|it| counts[*it]).unwrap_or_default();
        counts[rank] += 1;
        holders[rank].clone()
    };
    Some(
        assigned
            .into_iter()
            .map(|it| it.unwrap_or_else(&mut least_loaded))
            .collect(),
    )
}

/// The [`SHARES`] highest-ranked distinct routers by rendezvous hash, best first.
fn top_ranked<'a>(organisation: &OrganisationName, live: &'a [MemberId]) -> Vec<&'a MemberId> {
    let mut text = format!("{organisation}\n");
    let prefix = text.len();
    let mut top: Vec<(u64, &MemberId)> = Vec::with_capacity(SHARES + 1);
    for router in live {
        text.truncate(prefix);
        // Writing to a string cannot fail.
        let _ = write!(text, "{router}");
        let ranked = (xxh3_64(text.as_bytes()), router);
        if top.len() == SHARES && top[SHARES - 1] >= ranked {
            continue;
        }
        if let Err(index) = top.binary_search_by(|it| ranked.cmp(it)) {
            top.insert(index, ranked);
            top.truncate(SHARES);
        }
    }
    top.into_iter().map(|(_, it)| it).collect()
}
