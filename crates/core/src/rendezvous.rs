//! Rendezvous hashing: all processes rank the same candidates in the same order without communicating.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash weight of `candidate` for `key`; the candidate with the largest weight ranks first.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Candidates in order of rank for `key`. `name` returns the text that is hashed and breaks ties.
pub fn rank<T, N: AsRef<str>>(key: &str, candidates: impl IntoIterator<Item = T>, name: impl Fn(&T) -> N) -> Vec<T> {
    let mut ranked: Vec<(u64, N, T)> = candidates
        .into_iter()
        .map(|it| {
            let text = name(&it);
            (weight(key, text.as_ref()), text, it)
        })
        .collect();
    ranked.sort_by(|a, b| (Reverse(a.0), a.1.as_ref()).cmp(&(Reverse(b.0), b.1.as_ref())));
    ranked.into_iter().map(|(_, _, it)| it).collect()
}

/// Rank of `me` among the candidates for `key`, from zero, or `None` when it is not one of them.
///
/// Counts the candidates ranked before `me` without sorting, because leases call it after each change of membership.
pub fn position<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>, me: &str) -> Option<usize> {
    let seed = xxh3_64(key.as_bytes());
    let rank_key = |it: &'a str| (Reverse(xxh3_64_with_seed(it.as_bytes(), seed)), it);
    let own_rank_key = (Reverse(xxh3_64_with_seed(me.as_bytes(), seed)), me);
    let mut is_among_candidates = false;
    let mut ranked_before = 0;
    for candidate in candidates {
        is_among_candidates |= candidate == me;
        ranked_before += usize::from(rank_key(candidate) < own_rank_key);
    }
    is_among_candidates.then_some(ranked_before)
}
