//! The four measures by which policies are compared (cold start, idle accelerators, worst-served organisation, refused
//! requests), their lower bounds and some counters.

use std::collections::BTreeMap;
use std::time::Duration;

use guava_core::ids::ModelName;
use guava_core::plan::CacheTier;
use guava_load::report::{Latency, OrganisationReport};

use crate::bound;
use crate::pool::Policy;
use crate::replay::{self, Outcome, ReplayResult, RequestEnd};
use crate::scenario::RecordedTrace;

/// Accelerators per backend server; the design has 80,000 in 10,000 runners.
const ACCELERATORS_PER_SERVER: f64 = 8.0;
/// Number of cold starts listed in [`Figures::slowest_cold_starts`].
const MAX_SLOWEST_COLD_STARTS: usize = 5;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// Measures of one trace under one policy.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Name of the trace, such as `welsh/steady`.
    pub trace: String,
    /// Policy against which the trace was replayed.
    pub policy: Policy,
    /// Time to the first token of the cold starts that produced one.
    pub cold_start: Latency,
    /// The same including refused cold starts, which count with the cold start limit of their profile, so that refusing
    /// slow requests cannot improve the value.
    pub cold_start_with_refused: Latency,
    /// Unavoidable part of the times in `cold_start`.
    pub cold_start_bound: Latency,
    /// Accelerator hours of running backend servers without a running request, within the window of the scenario.
    pub idle_hours: f64,
    /// The part of `idle_hours` in which the backend server had memory reserved for replicas.
    pub idle_loaded_hours: f64,
    /// Organisation that was served the smallest fraction (0 to 1) of its entitled tokens, with this fraction. `none`
    /// and 1 for a trace without requests.
    pub worst_served: (String, f64),
    /// Number of requests refused although within their organisation's rate.
    pub refused: u64,
    /// Trace indexes of the refused requests.
    pub refused_indexes: Vec<usize>,
    /// Slowest cold starts, slowest first: trace index, time to the first token and its unavoidable part, both in
    /// milliseconds.
    pub slowest_cold_starts: Vec<(usize, u64, u64)>,
    /// Lower bound on `refused` for policies that load no model before its first request.
    pub refused_min: u64,
    /// Number of requests within their organisation's rate and burst.
    pub admitted: u64,
    /// Number of requests answered completely.
    pub answered: u64,
    /// Number of admitted deferred requests without a complete answer when the replay ended.
    pub deferred_unanswered: u64,
    /// Number of requests that failed because their backend server was stopped.
    pub interrupted: u64,
    /// Number of model and adapter loads that were started.
    pub loads: u64,
}

impl Figures {
    /// Replays a trace against a policy and computes the measures.
    pub fn measure(recorded: &RecordedTrace, policy: Policy) -> Self {
        let result = replay::replay(recorded, policy);
        Self::new(recorded, policy, &result)
    }

    fn new(recorded: &RecordedTrace, policy: Policy, result: &ReplayResult) -> Self {
        let requests = || result.requests.iter();
        let count = |predicate: &dyn Fn(&Outcome) -> bool| requests().filter(|it| predicate(it)).count() as u64;
        let cold_starts = || requests().filter(|it| it.is_cold_start);
        let millis = Duration::from_millis;
        let with_refused = cold_starts().filter_map(|it| {
            if it.end == RequestEnd::Refused {
                Some(it.cold_start_limit_ms)
            } else {
                it.first_token_ms
            }
        });
        let hours = |ms: u64| ms as f64 * ACCELERATORS_PER_SERVER / MS_PER_HOUR;
        Self {
            trace: recorded.name.clone(),
            policy,
            cold_start: Latency::of(cold_starts().filter_map(|it| it.first_token_ms).map(millis)),
            cold_start_with_refused: Latency::of(with_refused.map(millis)),
            cold_start_bound: Latency::of(
                cold_starts()
                    .filter(|it| it.first_token_ms.is_some())
                    .map(|it| millis(it.min_first_token_ms)),
            ),
            idle_hours: hours(result.idle_ms),
            idle_loaded_hours: hours(result.idle_loaded_ms),
            worst_served: worst_served(recorded, result),
            refused: count(&|it| it.end == RequestEnd::Refused),
            refused_indexes: refused_indexes(result),
            slowest_cold_starts: slowest_cold_starts(result),
            refused_min: bound::min_refusals(recorded, result, &models_on_disk(recorded)),
            admitted: count(&Outcome::is_admitted),
            answered: count(&Outcome::is_answered),
            deferred_unanswered: count(&|it| it.is_deferred && it.is_admitted() && !it.is_answered()),
            interrupted: count(&|it| it.end == RequestEnd::Interrupted),
            loads: result.loads,
        }
    }
}

fn refused_indexes(result: &ReplayResult) -> Vec<usize> {
    let requests = result.requests.iter().enumerate();
    requests
        .filter(|(_, it)| it.end == RequestEnd::Refused)
        .map(|(index, _)| index)
        .collect()
}

fn slowest_cold_starts(result: &ReplayResult) -> Vec<(usize, u64, u64)> {
    let cold_starts = result.requests.iter().enumerate().filter(|(_, it)| it.is_cold_start);
    let mut cold_starts: Vec<_> = cold_starts
        .filter_map(|(index, it)| Some((index, it.first_token_ms?, it.min_first_token_ms)))
        .collect();
    cold_starts.sort_by_key(|(_, ms, _)| std::cmp::Reverse(*ms));
    cold_starts.truncate(MAX_SLOWEST_COLD_STARTS);
    cold_starts
}

fn models_on_disk(recorded: &RecordedTrace) -> std::collections::BTreeSet<ModelName> {
    let engines = replay::initial_engines(recorded);
    let models = recorded.config.models.keys();
    let cached = models.filter(|it| replay::fastest_tier(it, &engines) != CacheTier::Remote);
    cached.cloned().collect()
}

fn worst_served(recorded: &RecordedTrace, result: &ReplayResult) -> (String, f64) {
    let mut reports: BTreeMap<&str, OrganisationReport> = BTreeMap::new();
    for (req, outcome) in recorded.requests.iter().zip(&result.requests) {
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

/// Measures all traces under the given policies, each replay on its own thread. The result is ordered by trace, then
/// policy, as in the arguments.
///
/// # Panics
///
/// Panics when a replay panics.
pub fn measure_all(recorded: &[RecordedTrace], policies: &[Policy]) -> Vec<Figures> {
    let runs = recorded
        .iter()
        .flat_map(|it| policies.iter().map(move |policy| (it, *policy)));
    let runs: Vec<(&RecordedTrace, Policy)> = runs.collect();
    std::thread::scope(|scope| {
        let threads: Vec<_> = runs
            .into_iter()
            .map(|(it, policy)| scope.spawn(move || Figures::measure(it, policy)))
            .collect();
        let measured = threads.into_iter().map(|it| it.join().expect("replay thread panicked"));
        measured.collect()
    })
}
