//! Promises, checked from what callers and backend servers saw.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use guava_platform_standin::caller::{Finished, Outcome};
use guava_platform_standin::record::{ReceivedOrder, Record, Run};
use guava_platform_standin::settings::{BOOKING_PATH, REPORT_PATH};

/// Least time between the last order of one process to an engine and the first of another.
const ORDER_GAP: Duration = Duration::from_secs(3);
/// Window of an organisation's rate.
const RATE_WINDOW: Duration = Duration::from_secs(8);
/// Part of the calm requests that must be served.
const SERVED_PART: f64 = 0.9;

/// What one run is checked for.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// Requests of callers.
    pub finished: &'a [Finished],
    /// What backend servers saw.
    pub record: &'a Record,
    /// Organisation of each key.
    pub organisations: &'a BTreeMap<String, String>,
    /// Rate and burst of each organisation in tokens.
    pub rate: f64,
    /// From when no fault was left and its effects were over.
    pub calm: Instant,
}

/// Broken promises; empty when all were kept.
pub fn check(evidence: &Evidence<'_>) -> Vec<String> {
    let mut broken = Vec::new();
    check_answers(evidence, &mut broken);
    check_runs(evidence, &mut broken);
    check_orders(&evidence.record.orders(), &mut broken);
    check_rates(evidence, &mut broken);
    check_calm(evidence, &mut broken);
    broken.extend(
        evidence
            .record
            .overfilled()
            .into_iter()
            .map(|it| format!("an engine was overfilled: {it}")),
    );
    broken
}

/// Wrong answers, and refusals of what has run.
fn check_answers(evidence: &Evidence<'_>, broken: &mut Vec<String>) {
    let runs = evidence.record.runs_by_attempt();
    for it in evidence.finished {
        let attempt = &it.call.attempt;
        match &it.outcome {
            Outcome::Wrong(why) => broken.push(format!("{attempt}: {why}")),
            Outcome::NotRun(status) if may_run_once(it) && runs.contains_key(attempt) => {
                broken.push(format!("{attempt}: answered {status} and ran"));
            }
            _ => {}
        }
    }
}

fn may_run_once(it: &Finished) -> bool {
    [BOOKING_PATH, REPORT_PATH].contains(&it.call.path)
}

/// Requests that ran twice, for another organisation or with the caller's key.
fn check_runs(evidence: &Evidence<'_>, broken: &mut Vec<String>) {
    let runs = evidence.record.runs_by_attempt();
    let calls: BTreeMap<&str, &Finished> = evidence
        .finished
        .iter()
        .map(|it| (it.call.attempt.as_str(), it))
        .collect();
    for (attempt, runs) in &runs {
        let Some(finished) = calls.get(attempt.as_str()) else {
            broken.push(format!("{attempt}: ran and was sent by nobody"));
            continue;
        };
        if may_run_once(finished) && runs.len() > 1 {
            let servers: Vec<&str> = runs.iter().map(|it| it.server.as_str()).collect();
            broken.push(format!("{attempt}: ran at {}", servers.join(" and ")));
        }
        let most = if may_run_once(finished) { 1 } else { 2 };
        if runs.len() > most {
            broken.push(format!("{attempt}: ran {} times where {most} are allowed", runs.len()));
        }
        let organisation = evidence.organisations.get(&finished.call.key);
        if runs.iter().any(|it| it.organisation.as_ref() != organisation) {
            broken.push(format!("{attempt}: ran for another organisation"));
        }
        if runs.iter().any(|it| it.has_key) {
            broken.push(format!("{attempt}: a backend server got the caller's key"));
        }
    }
}

/// Orders of two processes to one engine in turn, and fencing tokens that fall.
fn check_orders(orders: &[ReceivedOrder], broken: &mut Vec<String>) {
    let mut last: BTreeMap<&str, &ReceivedOrder> = BTreeMap::new();
    for order in orders {
        if let Some(before) = last.insert(&order.server, order) {
            let gap = order.at - before.at;
            if before.holder != order.holder && gap < ORDER_GAP {
                let gap = gap.as_millis();
                broken.push(format!(
                    "{}: orders of {} and {} after {gap} ms",
                    order.server, before.holder, order.holder
                ));
            }
            if order.token < before.token {
                broken.push(format!(
                    "{}: token {} after {}",
                    order.server, order.token, before.token
                ));
            }
            if order.token == before.token && order.holder != before.holder {
                broken.push(format!("{}: two holders with token {}", order.server, order.token));
            }
        }
    }
}

/// Organisations that got more than their rate and burst.
fn check_rates(evidence: &Evidence<'_>, broken: &mut Vec<String>) {
    let mut by_organisation: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in evidence.record.runs() {
        by_organisation
            .entry(run.organisation.clone().unwrap_or_default())
            .or_default()
            .push(run);
    }
    let allowed = (evidence.rate * (RATE_WINDOW.as_secs_f64() + 1.0)) * 1.1 + 11_000.0;
    for (organisation, runs) in by_organisation {
        let mut first = 0;
        let mut sum = 0;
        for at in 0..runs.len() {
            sum += runs[at].tokens;
            while runs[at].at - runs[first].at > RATE_WINDOW {
                sum -= runs[first].tokens;
                first += 1;
            }
            if sum as f64 > allowed {
                broken.push(format!("{organisation}: {sum} tokens within {RATE_WINDOW:?}"));
                break;
            }
        }
    }
}

/// Requests that are not served although all faults are over.
fn check_calm(evidence: &Evidence<'_>, broken: &mut Vec<String>) {
    let calm: Vec<&Finished> = evidence.finished.iter().filter(|it| it.at >= evidence.calm).collect();
    let served = calm.iter().filter(|it| it.outcome == Outcome::Served).count();
    if (served as f64) < SERVED_PART * calm.len() as f64 {
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for it in &calm {
            *ends.entry(format!("{} {:?}", it.call.path, it.outcome)).or_default() += 1;
        }
        broken.push(format!(
            "{served} of {} requests served after the faults: {ends:?}",
            calm.len()
        ));
    }
}
