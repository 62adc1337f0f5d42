//! Choice of the backend server for a request.

use guava_core::rendezvous;
use rand::{Rng, RngCore};

/// Cost of a request that runs at the server already, relative to one free place.
const LOAD_WEIGHT: f64 = 1.0;
/// Cost of another availability zone: under a twentieth of the slots, so that it only decides between servers of
/// similar load.
const ZONE_WEIGHT: f64 = 0.02;
/// Gain of the server that probably keeps the shared parts of the prompt.
const AFFINITY_WEIGHT: f64 = 0.04;
/// Cost of recent failures.
const FAILURE_WEIGHT: f64 = 2.0;
/// Range of the random part, which keeps VMs from choosing alike.
const JITTER: f64 = 0.02;

/// Backend server that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Whether it is in the availability zone of this VM.
    pub same_zone: bool,
    /// Requests that it runs or keeps waiting, from all VMs.
    pub in_flight: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether its recent requests failed in a row.
    pub avoided: bool,
    /// Part of its recent requests that failed.
    pub failing: f64,
}

/// Best candidate; avoided servers come last. `affinity` is the shared part of the prompt.
pub fn choose<'a>(
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    affinity: Option<&str>,
    rng: &mut dyn RngCore,
) -> Option<Candidate<'a>> {
    let candidates: Vec<Candidate<'a>> = candidates.into_iter().collect();
    let preferred = affinity.and_then(|key| {
        candidates
            .iter()
            .max_by_key(|it| rendezvous::weight(key, it.id))
            .map(|it| it.id)
    });
    let scored = candidates.into_iter().map(|it| {
        let score = score(&it, preferred == Some(it.id)) + rng.random_range(0.0..JITTER);
        (it, score)
    });
    scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(it, _)| it)
}

fn score(candidate: &Candidate<'_>, has_prefix: bool) -> f64 {
    let load = f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1));
    let mut score = LOAD_WEIGHT * load + FAILURE_WEIGHT * candidate.failing;
    if !candidate.same_zone {
        score += ZONE_WEIGHT;
    }
    if has_prefix {
        score -= AFFINITY_WEIGHT;
    }
    if candidate.avoided {
        score += 1_000.0;
    }
    score
}
