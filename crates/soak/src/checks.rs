//! Checks the guarantees of the system against what callers and backend servers observed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use guava_platform_standin::caller::{Finished, Outcome};
use guava_platform_standin::record::{ReceivedOrder, Record, Run};
use guava_platform_standin::settings::{BOOKING_PATH, REPORT_PATH};

/// Shortest permitted time between the last order of one process to an engine and the first order of another process.
const MIN_ORDER_GAP: Duration = Duration::from_secs(3);
/// Sliding window in which the tokens of an organisation are summed.
const RATE_WINDOW: Duration = Duration::from_secs(8);
/// Fraction, from 0 to 1, of the requests after recovery that must be served.
const MIN_SERVED_FRACTION: f64 = 0.9;

/// Observations of one run, as input to [`check`].
#[derive(Debug)]
pub struct Observations<'a> {
    /// Finished requests of all callers.
    pub finished: &'a [Finished],
    /// Requests and orders that reached backend servers.
    pub record: &'a Record,
    /// Name of the organisation that owns each key.
    pub organisation_by_key: &'a BTreeMap<String, String>,
    /// Rate limit of each organisation in tokens per second, and its burst in tokens.
    pub rate: f64,
    /// Time from which requests must be served as usual, because the recovery time after the last fault has passed.
    pub recovered_at: Instant,
}

/// Returns a description of each violated guarantee; empty if all guarantees held.
pub fn check(observations: &Observations<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    check_answers(observations, &mut violations);
    check_executions(observations, &mut violations);
    check_orders(&observations.record.orders(), &mut violations);
    check_rates(observations, &mut violations);
    check_recovery(observations, &mut violations);
    violations.extend(
        observations
            .record
            .overfilled()
            .into_iter()
            .map(|it| format!("an engine exceeded its memory: {it}")),
    );
    violations
}

/// Reports incorrect answers, and requests that ran although they were refused as not run.
fn check_answers(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let runs = observations.record.runs_by_attempt();
    for it in observations.finished {
        let attempt = &it.call.attempt;
        match &it.outcome {
            Outcome::Wrong(why) | Outcome::Joined(why) => violations.push(format!("{attempt}: {why}")),
            Outcome::NotRun(status) if must_run_at_most_once(it) && runs.contains_key(attempt) => {
                violations.push(format!(
                    "{attempt}: refused as not run with status {status}, but it ran"
                ));
            }
            _ => {}
        }
    }
}

fn must_run_at_most_once(it: &Finished) -> bool {
    [BOOKING_PATH, REPORT_PATH].contains(&it.call.path)
}

/// Reports requests that ran too often or for the wrong organisation, or that carried the caller's key to a backend
/// server.
fn check_executions(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let runs = observations.record.runs_by_attempt();
    let calls: BTreeMap<&str, &Finished> = observations
        .finished
        .iter()
        .map(|it| (it.call.attempt.as_str(), it))
        .collect();
    for (attempt, runs) in &runs {
        let Some(finished) = calls.get(attempt.as_str()) else {
            violations.push(format!("{attempt}: ran, but no caller sent it"));
            continue;
        };
        if must_run_at_most_once(finished) && runs.len() > 1 {
            let servers: Vec<&str> = runs.iter().map(|it| it.server.as_str()).collect();
            violations.push(format!(
                "{attempt}: must run at most once, but ran on {}",
                servers.join(" and ")
            ));
        }
        let max_runs = if must_run_at_most_once(finished) { 1 } else { 2 };
        if runs.len() > max_runs {
            violations.push(format!("{attempt}: ran {} times; the limit is {max_runs}", runs.len()));
        }
        let organisation = observations.organisation_by_key.get(&finished.call.key);
        if runs.iter().any(|it| it.organisation.as_ref() != organisation) {
            violations.push(format!("{attempt}: ran for another organisation"));
        }
        if runs.iter().any(|it| it.has_key) {
            violations.push(format!("{attempt}: a backend server received the caller's key"));
        }
    }
}

/// Reports orders of two processes to one engine less than [`MIN_ORDER_GAP`] apart, fencing tokens that decrease, and
/// fencing tokens that two processes use.
fn check_orders(orders: &[ReceivedOrder], violations: &mut Vec<String>) {
    let mut holder_by_token: BTreeMap<u64, &str> = BTreeMap::new();
    for order in orders {
        let holder = holder_by_token.entry(order.token).or_insert(&order.holder);
        if *holder != order.holder {
            let (token, other) = (order.token, &order.holder);
            violations.push(format!("fencing token {token} of {holder} and {other}"));
        }
    }
    let mut last_order: BTreeMap<&str, &ReceivedOrder> = BTreeMap::new();
    for order in orders {
        if let Some(previous) = last_order.insert(&order.server, order) {
            let gap = order.at - previous.at;
            if previous.holder != order.holder && gap < MIN_ORDER_GAP {
                let gap = gap.as_millis();
                violations.push(format!(
                    "{}: orders of {} and {} only {gap} ms apart",
                    order.server, previous.holder, order.holder
                ));
            }
            if order.token < previous.token {
                violations.push(format!(
                    "{}: fencing token {} after {}",
                    order.server, order.token, previous.token
                ));
            }
        }
    }
}

/// Reports organisations that were granted more tokens than their rate and burst allow.
fn check_rates(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let mut by_organisation: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in observations.record.runs() {
        by_organisation
            .entry(run.organisation.clone().unwrap_or_default())
            .or_default()
            .push(run);
    }
    let allowed = (observations.rate * (RATE_WINDOW.as_secs_f64() + 1.0)) * 1.1 + 11_000.0;
    for (organisation, runs) in by_organisation {
        let mut first = 0;
        let mut tokens = 0;
        for index in 0..runs.len() {
            tokens += runs[index].tokens;
            while runs[index].at - runs[first].at > RATE_WINDOW {
                tokens -= runs[first].tokens;
                first += 1;
            }
            if tokens as f64 > allowed {
                violations.push(format!("{organisation}: {tokens} tokens within {RATE_WINDOW:?}"));
                break;
            }
        }
    }
}

/// Reports when too few requests are served after recovery from all faults.
fn check_recovery(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let after_recovery: Vec<&Finished> = observations
        .finished
        .iter()
        .filter(|it| it.at >= observations.recovered_at)
        .collect();
    let served = after_recovery.iter().filter(|it| it.outcome == Outcome::Served).count();
    if (served as f64) < MIN_SERVED_FRACTION * after_recovery.len() as f64 {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for it in &after_recovery {
            *outcomes
                .entry(format!("{} {:?}", it.call.path, it.outcome))
                .or_default() += 1;
        }
        violations.push(format!(
            "{served} of {} requests served after recovery: {outcomes:?}",
            after_recovery.len()
        ));
    }
}
