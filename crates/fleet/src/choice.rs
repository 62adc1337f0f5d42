//! Choice of the backend server for a request, by the lowest score.

use guava_core::rendezvous;
use rand::{Rng, RngCore};

/// Cost of a server's load, as the ratio of requests in flight to slots.
const LOAD_WEIGHT: f64 = 1.0;
/// Cost of a server in another availability zone. It equals less than a twentieth of the slots, so it only decides
/// between servers of similar load.
const ZONE_WEIGHT: f64 = 0.02;
/// Bonus of the server that probably has the shared part of the prompt cached.
const AFFINITY_WEIGHT: f64 = 0.04;
/// Cost of the recent failure rate.
const FAILURE_WEIGHT: f64 = 2.0;
/// Range of the random term, which keeps VMs from choosing the same server.
const JITTER: f64 = 0.02;

/// Backend server that can take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Id of the backend server.
    pub id: &'a str,
    /// Whether the server is in the availability zone of this VM.
    pub same_zone: bool,
    /// Requests that it runs or has queued, from all VMs.
    pub in_flight: u32,
    /// Requests that it runs concurrently; zero counts as one.
    pub slots: u32,
    /// Whether it is avoided after consecutive failures; such a server is chosen only if there is no other.
    pub avoided: bool,
    /// Recent failure rate, from 0 to 1.
    pub failing: f64,
}

/// Returns the best candidate; avoided servers come last. Returns `None` if there is no candidate.
///
/// `affinity` is the shared part of the prompt; requests with the same one prefer the same server.
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

fn score(candidate: &Candidate<'_>, is_preferred: bool) -> f64 {
    let load = f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1));
    let mut score = LOAD_WEIGHT * load + FAILURE_WEIGHT * candidate.failing;
    if !candidate.same_zone {
        score += ZONE_WEIGHT;
    }
    if is_preferred {
        score -= AFFINITY_WEIGHT;
    }
    if candidate.avoided {
        score += 1_000.0;
    }
    score
}
