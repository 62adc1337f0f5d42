//! Plan of which router should hold which share.

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
    let mut ranked: Vec<_> = live.iter().map(|it| (weight(organisation, it), it)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.truncate(SHARES);
    let holders: Vec<_> = ranked.into_iter().map(|(_, it)| it).collect();
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

fn weight(organisation: &OrganisationName, router: &MemberId) -> u64 {
    xxh3_64(format!("{organisation}\n{router}").as_bytes())
}
