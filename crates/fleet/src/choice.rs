//! Choice of the backend server for a request.
//!
//! A VM that is alone knows the load exactly and takes the lowest score. Several VMs choose at the same time from counts
//! that are out of date, and would all take the same server until the next counts arrive. Each therefore draws two
//! servers at random and takes the one to which it owes more. The probabilities follow the servers' room, and the
//! reported load as far as it can still be true; see `docs/design/even-load.md`.

use std::collections::HashMap;

use guava_core::rendezvous;
use guava_core::units::Millis;
use rand::{Rng, RngCore};

use crate::load::Loads;

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

/// Part of the change of load that follows from the counts which the choice makes up for. A larger part makes the load
/// swing, because counts already lack what the VMs have sent for the same reason.
const LEVELLING: f64 = 0.5;
/// Largest part by which a server gets more than its share of the room. It leaves half of the ratio of 1.4 that is
/// allowed to chance.
const MAX_EXTRA: f64 = 0.2;
/// Factor of a server in the same availability zone.
const SAME_ZONE: f64 = 1.05;
/// Factor of a server at which requests fail; it gets some, so that its recovery is noticed.
const MIN_HEALTH: f64 = 0.02;
/// Least part of the slots in use that counts in [`health`], so that it is defined at idle servers.
const MIN_UTILISATION: f64 = 0.05;
/// Requests that a VM owes a server more than another before it takes that one.
const CREDIT_STEP: f64 = 0.5;
/// Requests that a VM owes a server from which it takes it for its cached prompt part.
const PREFERRED_CREDIT: f64 = 0.25;

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

/// What a choice depends on besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceContext<'a> {
    /// Service of the servers.
    pub service: &'a str,
    /// Shared part of the prompt; requests with the same one prefer the same server.
    pub affinity: Option<&'a str>,
    /// Number of VMs that send requests to the servers.
    pub vms: usize,
    /// Current time.
    pub now: Millis,
}

/// Chooses a candidate such that the choices of all VMs together are even, and records the choice in `loads`. Avoided
/// servers are chosen only if there are no others. Returns `None` if there is no candidate.
///
/// `loads` are those from which the candidates' numbers of requests in flight stem.
pub fn choose_even<'a>(
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    context: &ChoiceContext<'_>,
    loads: &mut Loads,
    rng: &mut dyn RngCore,
) -> Option<Candidate<'a>> {
    let now = context.now;
    let mut candidates: Vec<Candidate<'a>> = candidates.into_iter().collect();
    if context.vms <= 1 {
        let best = choose(candidates, context.affinity, rng)?;
        loads.record_choice(best.id, now);
        return Some(best);
    }
    retain_preferred(&mut candidates);
    let shares = even_shares(&candidates, context, loads);
    for (candidate, share) in candidates.iter().zip(&shares) {
        loads.add_credit(candidate.id, *share, now);
    }
    let first = draw(&shares, rng)?;
    let second = draw(&shares, rng)?;
    let preferred = context.affinity.and_then(|key| {
        let open = (0..candidates.len()).filter(|it| shares[*it] > 0.0);
        open.max_by_key(|it| rendezvous::weight(key, candidates[*it].id))
    });
    let credit = |index: usize| loads.credit(candidates[index].id);
    let due = preferred.filter(|it| credit(*it) >= PREFERRED_CREDIT);
    let chosen = due.unwrap_or_else(|| {
        let credit_difference = credit(second) - credit(first);
        let is_nearer = candidates[second].same_zone && !candidates[first].same_zone;
        if credit_difference >= CREDIT_STEP || (is_nearer && credit_difference > -CREDIT_STEP) {
            second
        } else {
            first
        }
    });
    let best = candidates.swap_remove(chosen);
    loads.record_choice(best.id, now);
    Some(best)
}

/// Leaves avoided candidates out if there are others.
fn retain_preferred(candidates: &mut Vec<Candidate<'_>>) {
    if candidates.iter().any(|it| !it.avoided) {
        candidates.retain(|it| !it.avoided);
    }
}

/// Part of the requests that each candidate gets from this VM by [`choose_even`], as long as nothing changes. A VM that is
/// alone sends the next one to the candidate with the lowest score.
pub fn shares(candidates: &[Candidate<'_>], context: &ChoiceContext<'_>, loads: &Loads) -> Vec<f64> {
    let mut open = candidates.to_vec();
    retain_preferred(&mut open);
    let open_shares = if context.vms <= 1 {
        let scores: Vec<f64> = open.iter().map(|it| score(it, false)).collect();
        let lowest = scores.iter().copied().fold(f64::INFINITY, f64::min);
        let lowest_count = scores.iter().filter(|it| **it <= lowest).count();
        let share = |it: f64| if it <= lowest { 1.0 / lowest_count as f64 } else { 0.0 };
        scores.into_iter().map(share).collect()
    } else {
        even_shares(&open, context, loads)
    };
    let shares_by_id: HashMap<&str, f64> = open.iter().map(|it| it.id).zip(open_shares).collect();
    let share_of = |it: &Candidate<'_>| shares_by_id.get(it.id).copied().unwrap_or(0.0);
    candidates.iter().map(share_of).collect()
}

/// Index drawn with the probabilities `shares`, whose sum is 1.
fn draw(shares: &[f64], rng: &mut dyn RngCore) -> Option<usize> {
    let mut left: f64 = rng.random_range(0.0..1.0);
    for (index, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return Some(index);
        }
    }
    // The sum of the shares may be rounded down.
    shares.iter().rposition(|it| *it > 0.0)
}

/// Probability of each candidate; their sum is 1.
fn even_shares(candidates: &[Candidate<'_>], context: &ChoiceContext<'_>, loads: &Loads) -> Vec<f64> {
    let room = |it: &Candidate<'_>| f64::from(it.slots.max(1)) * loads.pace(context.service, it.id);
    let rooms: Vec<f64> = candidates.iter().map(room).collect();
    let changes = changes(candidates, &rooms, context, loads);
    let slots: f64 = candidates.iter().map(|it| f64::from(it.slots.max(1))).sum();
    let utilisation = total_load(candidates) / slots;
    let failing = |it: &Candidate<'_>| it.failing.clamp(0.0, 1.0);
    let least_failing = candidates.iter().map(failing).fold(1.0, f64::min);
    let mut weights: Vec<f64> = candidates
        .iter()
        .zip(rooms.iter().zip(&changes))
        .map(|(it, (room, change))| {
            let health = health(failing(it) - least_failing, utilisation);
            let zone = if it.same_zone { SAME_ZONE } else { 1.0 };
            room * (1.0 + change) * health * zone
        })
        .collect();
    let mut total: f64 = weights.iter().sum();
    if total <= 0.0 {
        weights.clone_from(&rooms);
        total = rooms.iter().sum();
    }
    for weight in &mut weights {
        *weight /= total;
    }
    weights
}

/// Factor of a server whose failure rate is higher by `excess` than that of the best one.
///
/// As in [`score`], a failure rate of `f` costs as much as `FAILURE_WEIGHT * f` of the slots in use. A failed attempt costs
/// its caller more than a fuller server does, so where the others have room the server gets next to nothing.
fn health(excess: f64, utilisation: f64) -> f64 {
    let health = 1.0 - FAILURE_WEIGHT * excess / utilisation.max(MIN_UTILISATION);
    health.clamp(MIN_HEALTH, 1.0)
}

fn total_load(candidates: &[Candidate<'_>]) -> f64 {
    candidates.iter().map(|it| f64::from(it.in_flight)).sum()
}

/// Part by which each candidate gets more or less than its share of the room.
///
/// Requests that run for `run_ms` replace the counted load within that time, so after `age` the loads are level again if
/// each server gets its share times `1 + run_ms / age * (1 - load / mean load)`. What the loaded servers get less is
/// what the others get more, up to [`MAX_EXTRA`].
fn changes(candidates: &[Candidate<'_>], rooms: &[f64], context: &ChoiceContext<'_>, loads: &Loads) -> Vec<f64> {
    let total_room: f64 = rooms.iter().sum();
    let mean = total_load(candidates) / total_room;
    let Some(age_ms) = loads.age_ms(context.now).filter(|_| mean > 0.0) else {
        return vec![0.0; candidates.len()];
    };
    let gain = LEVELLING * loads.run_ms(context.service) / age_ms.max(1) as f64;
    let change = |(it, room): (&Candidate<'_>, &f64)| {
        let relative = f64::from(it.in_flight) / room / mean;
        (gain * (1.0 - relative)).clamp(-1.0, MAX_EXTRA)
    };
    let mut changes: Vec<f64> = candidates.iter().zip(rooms).map(change).collect();
    let sum = |of: fn(f64) -> f64| -> f64 { changes.iter().zip(rooms).map(|(it, room)| of(*it) * room).sum() };
    let (more, less) = (sum(|it| it.max(0.0)), sum(|it| (-it).max(0.0)));
    let moved = more.min(less);
    for it in &mut changes {
        *it *= if *it > 0.0 {
            moved / more
        } else {
            moved / less.max(f64::MIN_POSITIVE)
        };
    }
    changes
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
