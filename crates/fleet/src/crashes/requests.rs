//! Verdicts on single requests that come again.
//!
//! A request that crashes each server it runs at differs from a sound one in how its attempts end: a sound one is answered
//! somewhere, or its server lives on. A sound request may still meet several crashes in a row, so the evidence is weighed
//! by how likely that is: the more other servers crash, and the longer the attempts had run, the more crashes it takes. While
//! hardly any other server crashes, three are enough, whenever they come.

use std::collections::{BTreeMap, HashMap, HashSet};

use guava_core::units::Millis;

use super::{Crash, EPISODE_MS, KnownProof, Named, PROOF_AFTER_MS, PROOF_SPREAD_MS, is_identity};

/// Crashes of different servers under one request before it is refused.
const MIN_CRASHES: usize = 3;
/// The same while servers crash for other reasons, if a part of its prompt may account for them.
const MIN_CRASHES_WITH_PART: usize = 5;
/// The same while servers crash for other reasons, if its attempts had run on: more than a sound request meets that is sent
/// again a few times.
const MIN_LATE_CRASHES: usize = 7;
/// Crashes under a request whose attempts had run on, for each crash for another reason, for these to count as rare.
const MIN_CRASHES_PER_OTHER: usize = 5;
/// Time before now, at least, in which other crashes are counted.
const OTHERS_MS: u64 = 10_000;
/// Other crashes in that time from which on servers count as crashing for other reasons as well.
const MIN_OTHERS: usize = 3;
/// Time after [`MIN_CRASHES`] before a request is refused whose attempts had run on: crashes for other reasons may follow, and
/// they must be rare.
const LATE_WAIT_MS: u64 = 1_200;
/// Largest probability, while servers crash for other reasons, that a sound request meets its crashes by chance.
const MAX_CHANCE: f64 = 1e-5;

/// Request that is to be refused.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct GuiltyRequest<'a> {
    /// Its identity.
    pub identity: &'a str,
    /// Crashes that it accounts for.
    pub crashes: usize,
    /// Natural logarithm of the probability that a sound request meets these crashes by chance.
    pub ln_chance: f64,
}

/// Crash under a request, and for how long the request had been at the server.
#[derive(Debug, Clone, Copy)]
struct Met {
    at: Millis,
    ran_ms: u64,
}

/// What is known when requests are judged.
pub(super) struct Known<'a, 'b> {
    /// Crashes in the order of their times.
    pub crashes: &'b [Crash<'a>],
    /// Parts and identities that enough suspects name for a verdict.
    pub recurring: &'b HashSet<&'b str>,
    /// Parts of prompts that may have caused crashes.
    pub parts: &'b BTreeMap<&'b str, Named<'b>>,
    /// Proofs that requests are sound, by their identities.
    pub proofs: &'b HashMap<String, KnownProof>,
    /// Number of servers among which crashes are spread.
    pub servers: usize,
    /// Time of the judgement.
    pub now: Millis,
}

impl<'a> Known<'a, '_> {
    /// Requests that are proven guilty, in no particular order.
    pub(super) fn guilty(&self) -> Vec<GuiltyRequest<'a>> {
        let mut met: HashMap<&'a str, Vec<Met>> = HashMap::new();
        for crash in self.crashes {
            for (identity, ran_ms) in crash.requests(self.recurring) {
                let is_cleared = self.proofs.get(identity).is_some_and(|it| crash.at <= it.begun);
                if !is_cleared && crash.is_open_for_request(identity, ran_ms) {
                    met.entry(identity).or_default().push(Met { at: crash.at, ran_ms });
                }
            }
        }
        let counted = met.into_iter().map(|(identity, met)| (identity, independent(&met)));
        let repeated = counted.filter(|(_, met)| met.len() >= MIN_CRASHES);
        repeated
            .filter_map(|(identity, met)| self.judge(identity, &met))
            .collect()
    }

    /// `met` are the crashes that count separately, in the order of their times.
    fn judge(&self, identity: &'a str, met: &[Met]) -> Option<GuiltyRequest<'a>> {
        let now = self.now;
        let (first, enough) = (met.first()?.at, met.get(MIN_CRASHES - 1)?.at);
        let since = Millis(first.0.min(now.0.saturating_sub(OTHERS_MS)));
        let is_other = |it: &&Crash<'_>| it.at >= since && it.explained_by.is_empty() && !it.names(identity);
        let others = self.crashes.iter().filter(is_other).count();
        let server_ms = now.since(since).max(OTHERS_MS) as f64 * self.servers.max(1) as f64;
        let rate = (others + 1) as f64 / server_ms;
        let ln_chance = met.iter().map(|it| ln_probability(rate, it.ran_ms)).sum::<f64>();
        let is_unlikely = ln_chance < MAX_CHANCE.ln();
        let is_late = met.iter().any(|it| it.ran_ms > PROOF_AFTER_MS);
        let is_guilty = if is_late {
            others * MIN_CRASHES_PER_OTHER <= met.len() && now.since(enough) >= LATE_WAIT_MS
                || met.len() >= MIN_LATE_CRASHES && is_unlikely
        } else {
            others < MIN_OTHERS || met.len() >= MIN_CRASHES_WITH_PART || is_unlikely && !self.may_part_account(identity)
        };
        let has_waited = now.since(first) >= PROOF_SPREAD_MS;
        (is_guilty && has_waited).then_some(GuiltyRequest {
            identity,
            crashes: met.len(),
            ln_chance,
        })
    }

    /// Whether a part of a request's prompt may account for its crashes.
    fn may_part_account(&self, identity: &str) -> bool {
        let suspects = self.crashes.iter().flat_map(|it| &it.suspects);
        let mut parts = suspects.filter(|it| it.has(identity)).flat_map(|it| &it.parts);
        parts.any(|it| self.parts.contains_key(it.as_str()))
    }
}

/// Logarithm of the probability that a server crashes within the time that a request had been there.
fn ln_probability(crashes_per_ms: f64, ran_ms: u64) -> f64 {
    let expected = crashes_per_ms * ran_ms.max(1) as f64;
    (-(-expected).exp_m1()).ln()
}

/// Crashes that count separately. Of those within [`EPISODE_MS`], such as when a rack is lost, the one with the longest
/// attempt counts.
fn independent(met: &[Met]) -> Vec<Met> {
    let mut counted = Vec::new();
    let mut rest = met;
    while let Some(first) = rest.first() {
        let count = rest.iter().take_while(|it| it.at.since(first.at) < EPISODE_MS).count();
        let (together, later) = rest.split_at(count);
        counted.extend(together.iter().max_by_key(|it| it.ran_ms));
        rest = later;
    }
    counted
}

impl<'a> Crash<'a> {
    /// Recurring requests that were under way, and for how long the oldest attempt of each had been at the server.
    fn requests(&self, recurring: &HashSet<&str>) -> HashMap<&'a str, u64> {
        let mut requests = HashMap::new();
        for it in &self.suspects {
            if let Some(identity) = it.identity().filter(|it| recurring.contains(it)) {
                let ran_ms: &mut u64 = requests.entry(identity).or_default();
                *ran_ms = it.ran_ms.max(*ran_ms);
            }
        }
        requests
    }

    /// Whether the crash counts against a request that had been there for `ran_ms`. A condemned request that had been there
    /// for longer does not account for it.
    fn is_open_for_request(&self, identity: &str, ran_ms: u64) -> bool {
        self.explained_by.iter().all(|it| match it.parts.as_slice() {
            [other] if is_identity(other) => {
                let ran = self.suspects.iter().filter(|it| it.has(other)).map(|it| it.ran_ms);
                other == identity || ran.min().is_some_and(|it| it > ran_ms)
            }
            _ => it.has(identity),
        })
    }
}
