//! Rate limits around a restart of all VMs, when callers take up the streams that broke off beside new requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use guava_core::units::Millis;
use guava_fleet::quota::{Bucket, LOCAL_PART, START_LEVEL, TokenWait};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const VMS: usize = 4;
/// Rate in tokens per second, and burst in tokens, of the organisation.
const RATE: f64 = 10_000.0;
const BURST: f64 = 10_000.0;
/// Tokens of a request.
const TOKENS: f64 = 1_540.0;
/// Time of the restart, and length of the day.
const RESTART_MS: u64 = 20_000;
const DAY_MS: u64 = 30_000;
/// Time before the restart in which no VM serves requests; their callers come back after it.
const OUTAGE_MS: u64 = 2_000;
/// Time within which callers come back.
const RETURN_MS: u64 = 300;
/// Time after the restart without a coordinator.
const VACANCY_MS: u64 = 500;
/// Streams that break off with the restart.
const TAKEN_UP: usize = 36;
const OBJECTIVE_MS: u64 = 500;
/// Time without a first event after which a caller leaves.
const PATIENCE_MS: u64 = 2_000;
/// Time from the admission of a request to its first event.
const FIRST_EVENT_MS: u64 = 150;
const DEADLINE_MS: u64 = 15_000;
/// Times that a caller returns after a refusal; callers that have met the outage have one left.
const RETURNS: u32 = 3;
const RETURNS_AFTER_OUTAGE: u32 = 1;

/// Request of a caller, ordered by the time of its next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Try {
    at: u64,
    /// When it arrived at the VM; it may wait there for the coordinator.
    arrived: u64,
    deadline: u64,
    returns_left: u32,
    is_taken_up: bool,
}

/// Requests that arrived and those that were admitted in time.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    arrived: u32,
    admitted: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.arrived)
    }
}

/// Local buckets of all VMs, and the bucket of the coordinator.
struct Limits {
    local: Vec<Bucket>,
    central: Bucket,
}

impl Limits {
    /// Buckets at the time `at`; a coordinator that does not know what was granted before starts with an empty one.
    fn new(at: u64, central_fill: f64) -> Self {
        let fraction = LOCAL_PART / VMS as f64;
        let local = Bucket::new(Millis(at), RATE * fraction, BURST * fraction, START_LEVEL);
        let central = 1.0 - LOCAL_PART;
        Self {
            local: vec![local; VMS],
            central: Bucket::new(Millis(at), RATE * central, BURST * central, central_fill),
        }
    }

    /// Takes tokens in the order in which a VM does; the error is the wait that was too long.
    fn admit(&mut self, vm: usize, at: u64, max_ms: u64) -> Result<u64, u64> {
        let at = Millis(at);
        let local = &mut self.local[vm];
        local
            .reserve(at, TOKENS, 0)
            .or_else(|_| self.central.reserve(at, TOKENS, max_ms))
            .or_else(|wait| local.reserve(at, TOKENS, max_ms).map_err(|it| it.min(wait)))
    }
}

/// Requests of a day with new ones at `overload` times the rate.
fn requests(overload: f64, rng: &mut ChaCha8Rng) -> Vec<Try> {
    let count = (overload * RATE / TOKENS * DAY_MS as f64 / 1_000.0) as usize;
    let new = (0..count).map(|_| {
        let sent = rng.random_range(0..DAY_MS);
        let meets_outage = (RESTART_MS - OUTAGE_MS..RESTART_MS).contains(&sent);
        (sent, meets_outage, false)
    });
    let mut arrivals: Vec<(u64, bool, bool)> = new.collect();
    let taken_up = (0..TAKEN_UP).map(|_| (rng.random_range(RESTART_MS - DEADLINE_MS / 2..RESTART_MS), true, true));
    arrivals.extend(taken_up.collect::<Vec<_>>());
    let tries = arrivals.into_iter().map(|(sent, meets_outage, is_taken_up)| {
        let at = if meets_outage {
            RESTART_MS + rng.random_range(0..RETURN_MS)
        } else {
            sent
        };
        Try {
            at,
            arrived: at,
            deadline: sent + DEADLINE_MS,
            returns_left: if meets_outage { RETURNS_AFTER_OUTAGE } else { RETURNS },
            is_taken_up,
        }
    });
    tries.collect()
}

/// Plays a day; returns the tallies of the streams that are taken up and of the new ones.
fn play(overload: f64, seed: u64) -> (Tally, Tally) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requests = requests(overload, &mut rng);
    let mut limits = Limits::new(0, 1.0);
    let mut has_restarted = false;
    let mut tallies = [Tally::default(); 2];
    for it in &requests {
        tallies[usize::from(it.is_taken_up)].arrived += 1;
    }
    let mut tries: BinaryHeap<Reverse<Try>> = requests.into_iter().map(Reverse).collect();
    while let Some(Reverse(it)) = tries.pop() {
        if it.at >= RESTART_MS && !std::mem::replace(&mut has_restarted, true) {
            limits = Limits::new(RESTART_MS, 0.0);
        }
        let left = it.deadline.saturating_sub(it.at);
        let unsettled_ms = it.at.checked_sub(RESTART_MS).unwrap_or(RESTART_MS);
        let wait = TokenWait::new(OBJECTIVE_MS, left, unsettled_ms).for_stream(PATIENCE_MS.min(left), it.is_taken_up);
        let waited = it.at - it.arrived;
        let coordinated_at = RESTART_MS + VACANCY_MS;
        if (RESTART_MS..coordinated_at).contains(&it.at) && it.at + wait.max_ms > coordinated_at {
            tries.push(Reverse(Try {
                at: coordinated_at,
                ..it
            }));
            continue;
        }
        match limits.admit(rng.random_range(0..VMS), it.at, wait.max_ms.saturating_sub(waited)) {
            Ok(wait) => {
                let first_event_ms = waited + wait + FIRST_EVENT_MS;
                tallies[usize::from(it.is_taken_up)].admitted += u32::from(first_event_ms < PATIENCE_MS);
            }
            Err(wait) if it.returns_left > 0 => {
                let at = it.at + wait.clamp(50, 10_000).min(left / 3);
                let returns_left = it.returns_left - 1;
                tries.push(Reverse(Try {
                    at,
                    arrived: at,
                    returns_left,
                    ..it
                }));
            }
            Err(_) => {}
        }
    }
    (tallies[1], tallies[0])
}

/// Guards against streams that were taken up and refused with 429 while new ones begin.
#[rstest]
fn streams_taken_up_go_on_as_new_ones_begin(
    #[values(1.1, 1.5, 2.0)] overload: f64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let (taken_up, new) = play(overload, seed);

    assert!(
        taken_up.share() >= 0.5 * new.share(),
        "taken up {taken_up:?}, new {new:?}"
    );
}
