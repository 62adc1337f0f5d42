//! The four measures of a replay and their bounds.

use std::collections::BTreeMap;
use std::time::Duration;

use guava_core::ids::ModelName;
use guava_core::plan::CacheTier;
use guava_load::report::{Latency, OrganisationReport};

use crate::bound;
use crate::pool::Policy;
use crate::replay::{self, End, Outcome, Outcomes};
use crate::scenario::Recorded;

/// Accelerators of a backend server: 80,000 in 10,000 runners at the design's size.
const ACCELERATORS_PER_SERVER: f64 = 8.0;
/// Slowest cold starts kept for inspection.
const SLOWEST_KEPT: usize = 5;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// Measures of one trace under one policy.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Trace.
    pub trace: String,
    /// Policy.
    pub policy: Policy,
    /// Time to the first token of answered cold starts.
    pub cold: Latency,
    /// The same with refused cold starts counted at their profile's limit, so that refusing cannot improve it.
    pub cold_with_refused: Latency,
    /// Unavoidable part of the answered cold starts.
    pub cold_bound: Latency,
    /// Accelerator hours of all servers without a running request.
    pub idle_hours: f64,
    /// The same, of servers that hold replicas.
    pub idle_held_hours: f64,
    /// Organisation with the smallest part of its entitled tokens.
    pub worst: (String, f64),
    /// Requests refused although within the rate.
    pub refused: u64,
    /// Their indexes in the trace.
    pub refusals: Vec<usize>,
    /// Slowest cold starts: index in the trace, time to the first token and its unavoidable part.
    pub slowest: Vec<(usize, u64, u64)>,
    /// Least possible number of them.
    pub refused_bound: u64,
    /// Requests within the rate.
    pub admitted: u64,
    /// Answers.
    pub answered: u64,
    /// Deferred requests not answered when the replay ended.
    pub deferred_left: u64,
    /// Requests that ended with their server.
    pub interrupted: u64,
    /// Loads.
    pub loads: u64,
}

impl Figures {
    /// Replays a trace and computes its measures.
    pub fn measure(recorded: &Recorded, policy: Policy) -> Self {
        let outcomes = replay::replay(recorded, policy);
        Self::new(recorded, policy, &outcomes)
    }

    fn new(recorded: &Recorded, policy: Policy, outcomes: &Outcomes) -> Self {
        let requests = || outcomes.requests.iter();
        let count = |test: &dyn Fn(&Outcome) -> bool| requests().filter(|it| test(it)).count() as u64;
        let cold = || requests().filter(|it| it.cold);
        let millis = Duration::from_millis;
        let with_refused = cold().filter_map(|it| {
            if it.end == End::Refused {
                Some(it.limit_ms)
            } else {
                it.first_ms
            }
        });
        let hours = |ms: u64| ms as f64 * ACCELERATORS_PER_SERVER / MS_PER_HOUR;
        Self {
            trace: recorded.name.clone(),
            policy,
            cold: Latency::of(cold().filter_map(|it| it.first_ms).map(millis)),
            cold_with_refused: Latency::of(with_refused.map(millis)),
            cold_bound: Latency::of(cold().filter(|it| it.first_ms.is_some()).map(|it| millis(it.bound_ms))),
            idle_hours: hours(outcomes.idle_ms),
            idle_held_hours: hours(outcomes.idle_held_ms),
            worst: worst_served(recorded, outcomes),
            refused: count(&|it| it.end == End::Refused),
            refusals: refusals(outcomes),
            slowest: slowest(outcomes),
            refused_bound: bound::least_refusals(recorded, outcomes, &on_disk(recorded)),
            admitted: count(&Outcome::is_admitted),
            answered: count(&Outcome::is_answered),
            deferred_left: count(&|it| it.deferred && it.is_admitted() && !it.is_answered()),
            interrupted: count(&|it| it.end == End::Interrupted),
            loads: outcomes.loads,
        }
    }
}

fn refusals(outcomes: &Outcomes) -> Vec<usize> {
    let all = outcomes.requests.iter().enumerate();
    all.filter(|(_, it)| it.end == End::Refused)
        .map(|(index, _)| index)
        .collect()
}

fn slowest(outcomes: &Outcomes) -> Vec<(usize, u64, u64)> {
    let cold = outcomes.requests.iter().enumerate().filter(|(_, it)| it.cold);
    let mut cold: Vec<_> = cold
        .filter_map(|(index, it)| Some((index, it.first_ms?, it.bound_ms)))
        .collect();
    cold.sort_by_key(|(_, ms, _)| std::cmp::Reverse(*ms));
    cold.truncate(SLOWEST_KEPT);
    cold
}

fn on_disk(recorded: &Recorded) -> std::collections::BTreeSet<ModelName> {
    let engines = replay::engines(recorded);
    let models = recorded.config.models.keys();
    let cached = models.filter(|it| replay::fastest_tier(it, &engines) != CacheTier::Remote);
    cached.cloned().collect()
}

fn worst_served(recorded: &Recorded, outcomes: &Outcomes) -> (String, f64) {
    let mut reports: BTreeMap<&str, OrganisationReport> = BTreeMap::new();
    for (req, outcome) in recorded.requests.iter().zip(&outcomes.requests) {
        let report = reports.entry(&req.organisation).or_default();
        if outcome.is_admitted() {
            report.entitled_tokens += req.tokens();
            report.served_tokens += if outcome.is_answered() { req.tokens() } else { 0 };
        }
    }
    let ratios = reports.iter().map(|(name, it)| ((*name).to_owned(), it.served_ratio()));
    ratios
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or_else(|| ("none".to_owned(), 1.0))
}

/// Measures of all traces under the given policies, each replay on a thread of its own.
///
/// # Panics
///
/// Panics when a replay does.
pub fn measure_all(recorded: &[Recorded], policies: &[Policy]) -> Vec<Figures> {
    let runs = recorded
        .iter()
        .flat_map(|it| policies.iter().map(move |policy| (it, *policy)));
    let runs: Vec<(&Recorded, Policy)> = runs.collect();
    std::thread::scope(|scope| {
        let threads: Vec<_> = runs
            .into_iter()
            .map(|(it, policy)| scope.spawn(move || Figures::measure(it, policy)))
            .collect();
        let measured = threads.into_iter().map(|it| it.join().expect("the replay ends"));
        measured.collect()
    })
}
