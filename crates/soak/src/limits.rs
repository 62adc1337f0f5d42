//! Checks of what servers get: retries of all VMs together, the time that requests leave them, and the load of servers that
//! say that they are brittle.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use guava_platform_standin::caller::{Outcome, Try};
use guava_platform_standin::record::Arrival;
use guava_platform_standin::settings::{ENGINE_SERVICE, PLAIN_SERVICE, REPORT_PATH, STREAM_PATH};

use crate::checks::Observations;
use crate::fleet::{ENGINE_COUNT, PLAIN_SERVER_COUNT};

/// Sliding window in which retries are counted, as in the settings of the fleet.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries that are allowed for each request in a window, and those that are allowed beside them, as in the settings.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 52.0;
/// Time by which a request may leave a server more than its caller has left.
const TIME_SLACK: Duration = Duration::from_millis(500);
/// Number of requests, and their share, that may leave servers more time.
const MAX_LATE: usize = 20;
const MAX_LATE_SHARE: f64 = 0.2;
/// Number of requests that may end without an answer at a calm VM after they reached a sound server.
const MAX_UNANSWERED: usize = 3;
/// Falls of brittle servers that are allowed, and those that are allowed for each server of the service.
const MAX_FALLS: f64 = 2.0;
const MAX_FALLS_PER_SERVER: f64 = 0.1;

/// Name of the service that serves a path.
fn service(path: &str) -> &'static str {
    if [STREAM_PATH, REPORT_PATH].contains(&path) {
        ENGINE_SERVICE
    } else {
        PLAIN_SERVICE
    }
}

/// Number of times, in order, that lie in the window from `from` on.
fn count_in(times: &[Instant], from: Instant) -> usize {
    let to = from + RETRY_WINDOW;
    times.partition_point(|it| *it < to) - times.partition_point(|it| *it < from)
}

/// Reports services that get more repeats of requests in some window than the fleet's budget allows.
pub fn check_repeats(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let tries = || observations.tries();
    let by_attempt: BTreeMap<&str, &str> = tries()
        .map(|(it, sent)| (sent.attempt.as_str(), service(it.call.path)))
        .collect();
    let mut arrivals = observations.record.arrivals();
    arrivals.sort_by_key(|it| it.at);
    for name in [ENGINE_SERVICE, PLAIN_SERVICE] {
        let requests = tries().filter(|(it, _)| service(it.call.path) == name);
        let mut requests: Vec<Instant> = requests.map(|(_, sent)| sent.at).collect();
        requests.sort();
        let mut first = std::collections::BTreeSet::new();
        let of_service = arrivals
            .iter()
            .filter(|it| by_attempt.get(it.attempt.as_str()) == Some(&name));
        let repeats = of_service.filter(|it| !first.insert(it.attempt.as_str()));
        let repeats: Vec<Instant> = repeats.map(|it| it.at).collect();
        let windows = repeats.iter().map(|from| {
            let before = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
            let counted = before.iter().filter_map(|it| from.checked_sub(*it));
            let most = counted.map(|from| count_in(&requests, from)).max().unwrap_or(0);
            let allowed = RETRY_RATIO * most as f64 + RETRY_SLACK;
            (count_in(&repeats, *from), allowed)
        });
        let excess = |it: &(usize, f64)| it.0 as f64 - it.1;
        let worst = windows.max_by(|a, b| excess(a).total_cmp(&excess(b)));
        if let Some((count, allowed)) = worst.filter(|it| excess(it) > 0.0) {
            violations.push(format!(
                "{name}: {count} repeats in {RETRY_WINDOW:?}, {allowed:.0} allowed"
            ));
        }
    }
}

/// Reports when requests leave servers more time than their callers have left.
pub fn check_time_left(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let tries: BTreeMap<&str, &Try> = observations
        .tries()
        .map(|(_, sent)| (sent.attempt.as_str(), sent))
        .collect();
    let mut arrivals = observations.record.arrivals();
    arrivals.sort_by_key(|it| it.at);
    let mut first: BTreeMap<String, Arrival> = BTreeMap::new();
    let (mut late, mut counted) = (0, 0);
    for it in arrivals {
        let Some(sent) = tries.get(it.attempt.as_str()) else {
            continue;
        };
        let left = it.left_ms.map(Duration::from_millis);
        counted += 1;
        let ends_late = match first.get(&it.attempt) {
            Some(first) => left.zip(first.left_ms).is_some_and(|(left, first_ms)| {
                let end = it.at + left;
                it.at > first.at + TIME_SLACK
                    && end > first.at + Duration::from_millis(first_ms) + TIME_SLACK
                    && end > sent.at + sent.time + TIME_SLACK
            }),
            None => false,
        };
        late += usize::from(ends_late || left.is_none_or(|it| it > sent.time + TIME_SLACK));
        first.entry(it.attempt.clone()).or_insert(it);
    }
    if late > MAX_LATE && late as f64 > MAX_LATE_SHARE * f64::from(counted) {
        violations.push(format!("{late} of {counted} requests left servers too much time"));
    }
}

/// Reports when requests that reached sound servers end without an answer at calm VMs.
pub fn check_unanswered(observations: &Observations<'_>, violations: &mut Vec<String>) {
    let mut servers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for it in observations.record.arrivals() {
        servers.entry(it.attempt).or_default().push(it.server);
    }
    let unanswered = observations.tries().filter(|(it, sent)| {
        sent.outcome == Outcome::Cut
            && sent.ended - it.at < it.call.deadline
            && observations.is_calm(sent.address, sent.at, sent.ended)
            && servers.get(&sent.attempt).is_some_and(|reached| {
                let is_sound = |server: &String| observations.has_server_been_sound(server, sent.at, sent.ended);
                reached.iter().all(is_sound)
            })
    });
    let unanswered: Vec<&str> = unanswered.map(|(_, sent)| sent.attempt.as_str()).collect();
    if unanswered.len() > MAX_UNANSWERED {
        violations.push(format!("no answer of sound servers: {}", unanswered.join(" ")));
    }
}

/// Reports services whose brittle servers fell over too often.
pub fn check_falls(observations: &Observations<'_>, violations: &mut Vec<String>) {
    for (name, servers) in [(ENGINE_SERVICE, ENGINE_COUNT), (PLAIN_SERVICE, PLAIN_SERVER_COUNT)] {
        let falls = observations.record.falls();
        let falls = falls.iter().filter(|it| it.service == name).count();
        let allowed = MAX_FALLS + MAX_FALLS_PER_SERVER * servers as f64;
        if falls as f64 > allowed {
            violations.push(format!(
                "{name}: {falls} falls of brittle servers, {allowed:.1} allowed"
            ));
        }
    }
}
