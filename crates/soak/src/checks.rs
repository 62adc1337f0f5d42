//! Checks the guarantees of the system against what callers and backend servers observed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use guava_platform_standin::caller::{Finished, Outcome, Try};
use guava_platform_standin::record::{Arrival, ReceivedOrder, Record, Run};
use guava_platform_standin::settings::{BOOKING_PATH, ENGINE_SERVICE, REPORT_PATH, STREAM_PATH};

use crate::faults::Disturbance;
use crate::limits;

/// Shortest permitted time between the last order of one process to an engine and the first order of another process.
const MIN_ORDER_GAP: Duration = Duration::from_secs(3);
/// Sliding window in which the tokens of an organisation are summed.
const RATE_WINDOW: Duration = Duration::from_secs(8);
/// Number of streams that may hold events of two software versions.
const MAX_JOINED: usize = 2;
/// Number of streams taken up after which their share counts.
const MIN_TAKEN_UP: usize = 12;
/// Number of servers of its version with which a stream that is taken up must go on.
const MIN_SERVERS: usize = 2;
/// Time after a disturbance until what it concerned is calm.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Fraction, from 0 to 1, of the requests after recovery that must be served.
const MIN_SERVED_FRACTION: f64 = 0.9;

/// Time after a VM was informed that a server leaves in which its callers' requests may still reach the server.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a VM was asked for a rest after which its requests count.
const REST_REACTION_TIME: Duration = Duration::from_millis(500);
/// Number of requests that may reach a server in the rest that it has asked the VM for.
const MAX_IN_REST: usize = 2;

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
    /// Injected faults.
    pub disturbances: &'a [Disturbance],
    /// Addresses of the entry processes for callers.
    pub addresses: &'a [SocketAddr],
}

impl Observations<'_> {
    /// Whether neither the VM with this address nor the store was disturbed at any time between the two.
    pub(crate) fn is_calm(&self, address: SocketAddr, from: Instant, to: Instant) -> bool {
        let Some(vm) = self.addresses.iter().position(|it| *it == address) else {
            return false;
        };
        let mut concerning = self.disturbances.iter().filter(|it| it.concerns_vm(vm));
        !concerning.any(|it| it.from <= to && from <= it.to + SETTLING_TIME)
    }

    /// All attempts, with their requests.
    pub(crate) fn tries(&self) -> impl Iterator<Item = (&Finished, &Try)> {
        let finished = self.finished.iter();
        finished.flat_map(|it| it.tries.iter().map(move |sent| (it, sent)))
    }

    /// Whether this server was up, without a fault, at any time between the two.
    pub(crate) fn has_server_been_sound(&self, server: &str, from: Instant, to: Instant) -> bool {
        let lives = self.record.lives();
        let has_lived = lives
            .iter()
            .any(|it| it.server == server && it.from <= from && it.to.is_none_or(|end| end > to));
        let mut concerning = self.disturbances.iter().filter(|it| it.concerns_server(server));
        has_lived && !concerning.any(|it| it.from <= to && from <= it.to + SETTLING_TIME)
    }

    /// Whether the VM with this address ran without a stop or restart between the two.
    fn has_run(&self, address: SocketAddr, from: Instant, to: Instant) -> bool {
        let Some(vm) = self.addresses.iter().position(|it| *it == address) else {
            return false;
        };
        let mut interrupting = self.disturbances.iter().filter(|it| it.interrupts_vm(vm));
        !interrupting.any(|it| it.from <= to && from <= it.to + SETTLING_TIME)
    }

    /// Whether no fault kept backend servers from answering at any time between the two.
    fn have_servers_been_sound(&self, from: Instant, to: Instant) -> bool {
        let mut concerning = self.disturbances.iter().filter(|it| it.concerns_servers());
        !concerning.any(|it| it.from <= to && from <= it.to + SETTLING_TIME)
    }
}

/// Returns a description of each violated guarantee; empty if all guarantees held.
pub fn check(observations: &Observations<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    check_answers(observations, &mut violations);
    check_executions(observations, &mut violations);
    check_orders(&observations.record.orders(), &mut violations);
    check_rates(observations, &mut violations);
    check_recovery(observations, &mut violations);
    check_versions(observations.finished, &mut violations);
    check_taken_up(observations, &mut violations);
    check_planned_work(observations, &mut violations);
    check_statements(observations, &mut violations);
    limits::check_repeats(observations, &mut violations);
    limits::check_time_left(observations, &mut violations);
    limits::check_unanswered(observations, &mut violations);
    limits::check_falls(observations, &mut violations);
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
        for Try { attempt, outcome, .. } in &it.tries {
            match outcome {
                Outcome::Wrong(why) => violations.push(format!("{attempt}: {why}")),
                Outcome::NotRun(status) if must_run_at_most_once(it) && runs.contains_key(attempt) => {
                    violations.push(format!(
                        "{attempt}: refused as not run with status {status}, but it ran"
                    ));
                }
                _ => {}
            }
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
        .flat_map(|it| it.tries.iter().map(move |sent| (sent.attempt.as_str(), it)))
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
    let served = after_recovery
        .iter()
        .filter(|it| it.tries[0].outcome == Outcome::Served);
    let served = served.count();
    if (served as f64) < MIN_SERVED_FRACTION * after_recovery.len() as f64 {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for it in &after_recovery {
            *outcomes
                .entry(format!("{} {:?}", it.call.path, it.tries[0].outcome))
                .or_default() += 1;
        }
        violations.push(format!(
            "{served} of {} requests served after recovery: {outcomes:?}",
            after_recovery.len()
        ));
    }
}

/// Reports streams with events of two software versions, if there are more than [`MAX_JOINED`].
fn check_versions(finished: &[Finished], violations: &mut Vec<String>) {
    let joined = finished.iter().filter_map(|it| match &it.outcome {
        Outcome::Joined(why) => Some(format!("{}: {why}", it.call.attempt)),
        _ => None,
    });
    let joined: Vec<String> = joined.collect();
    if joined.len() > MAX_JOINED {
        violations.extend(joined);
    }
}

/// Reports when the share of the streams that go on, of those that are taken up at calm VMs while two servers of their
/// version serve, is under half of the share of new streams that begin.
fn check_taken_up(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let lives = observations.record.lives();
    let have_servers = |version: &str, sent: &Try| {
        let serving = lives.iter().filter(|it| {
            it.service == ENGINE_SERVICE
                && it.version == version
                && it.from + SETTLING_TIME <= sent.at
                && it.to.is_none_or(|to| to > sent.ended)
        });
        serving.count() >= MIN_SERVERS
    };
    let is_calm = |sent: &Try| {
        observations.is_calm(sent.address, sent.at, sent.ended)
            && observations.have_servers_been_sound(sent.at, sent.ended)
    };
    let streams = || observations.finished.iter().filter(|it| it.call.path == STREAM_PATH);
    let taken_up = streams().filter(|it| {
        let mut later = it.tries.iter().filter(|it| it.events_before > 0).peekable();
        let version = it.version.as_deref().unwrap_or_default();
        later.peek().is_some() && later.all(|it| is_calm(it) && have_servers(version, it))
    });
    let taken_up: Vec<bool> = taken_up.map(Finished::has_gone_on).collect();
    let new: Vec<bool> = streams()
        .filter(|it| is_calm(&it.tries[0]))
        .map(|it| it.version.is_some())
        .collect();
    let count = |streams: &[bool]| streams.iter().filter(|it| **it).count();
    let (gone_on, begun) = (count(&taken_up), count(&new));
    if taken_up.len() >= MIN_TAKEN_UP && gone_on * new.len() * 2 < begun * taken_up.len() {
        violations.push(format!(
            "{gone_on} of {} streams taken up went on, {begun} of {} new ones began",
            taken_up.len(),
            new.len()
        ));
    }
}

/// Reports requests that ended without a complete answer at calm VMs although servers were silent or the configuration
/// changed at most.
fn check_planned_work(observations: &Observations<'_>, violations: &mut Vec<String>) {
    for (it, sent) in observations.tries() {
        let had_time = sent.ended - it.at < it.call.deadline;
        let lives = observations.record.lives();
        let mut ends = lives.iter().filter_map(|it| it.to);
        if sent.outcome == Outcome::Cut
            && had_time
            && observations.is_calm(sent.address, sent.at, sent.ended)
            && observations.have_servers_been_sound(sent.at, sent.ended)
            && !ends.any(|end| end <= sent.ended && sent.at <= end + SETTLING_TIME)
        {
            let after = (sent.ended - sent.at).as_millis();
            violations.push(format!("{}: no complete answer after {after} ms", sent.attempt));
        }
    }
}

/// Reports requests at servers that had told the same VM that they leave, or that had asked it for a rest.
fn check_statements(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let tries = observations.finished.iter().flat_map(|it| &it.tries);
    let tries: BTreeMap<&str, &Try> = tries.map(|it| (it.attempt.as_str(), it)).collect();
    let arrivals = observations.record.arrivals();
    let mut by_server: BTreeMap<&str, Vec<(&Arrival, &Try)>> = BTreeMap::new();
    for arrival in &arrivals {
        if let Some(sent) = tries.get(arrival.attempt.as_str()) {
            by_server.entry(&arrival.server).or_default().push((arrival, sent));
        }
    }
    for (server, reached) in &by_server {
        for (reported, told_try) in reached {
            let Some(answered) = reported.answered else {
                continue;
            };
            let same_vm = || {
                let later = reached.iter().filter(|(_, sent)| sent.address == told_try.address);
                later.filter(|(it, _)| observations.has_run(told_try.address, answered, it.at))
            };
            let late = |(_, sent): &&(&Arrival, &Try)| sent.at > answered + DRAIN_TIME;
            let was_passed_on = told_try.outcome == Outcome::Served;
            if reported.said_leaving
                && was_passed_on
                && let Some((it, _)) = same_vm().find(late)
            {
                let after = (it.at - answered).as_millis();
                violations.push(format!(
                    "{server}: {} came {after} ms after it said that it leaves",
                    it.attempt
                ));
            }
            if let Some(rest) = reported.rest {
                let span = answered + REST_REACTION_TIME..answered + rest;
                let count = same_vm().filter(|(it, _)| span.contains(&it.at)).count();
                if count > MAX_IN_REST {
                    violations.push(format!("{server}: {count} requests in a rest of {rest:?}"));
                }
            }
        }
    }
}
