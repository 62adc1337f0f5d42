//! Selects the log lines of all processes that explain one request.
//!
//! These are the lines with the request's id, and the lines on which a process changed its view of the configuration,
//! or of a server or model that the request used, shortly before or during the request.

use std::collections::BTreeSet;

/// Changes of the view are included from this many milliseconds before the first line of the request.
const CONTEXT_BEFORE_MS: u64 = 5_000;
/// Numbers of the events that report a change of the view.
const VIEW_EVENTS: std::ops::Range<u16> = 2_000..5_999;

/// Parsed log line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine<'a> {
    time: &'a str,
    event: u16,
    request: &'a str,
    text: &'a str,
}

/// Returns the lines that explain the request, ordered by time; none if no line has its id.
pub fn explain_request<'a>(logs: impl IntoIterator<Item = &'a str>, request: &str) -> Vec<&'a str> {
    let mut lines: Vec<LogLine<'a>> = logs.into_iter().filter_map(parse).collect();
    lines.sort();
    let own: Vec<&LogLine<'a>> = lines.iter().filter(|it| it.request == request).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = own.iter().filter_map(|it| field_value(it.text, "server=")).collect();
    let models: BTreeSet<&str> = own.iter().filter_map(|it| field_value(it.text, "model=")).collect();
    let is_in_window = |it: &LogLine<'_>| {
        millis_of_day(it.time) + CONTEXT_BEFORE_MS >= millis_of_day(first.time) && it.time <= last.time
    };
    let explaining = lines.iter().filter(|it| {
        let names_server = field_value(it.text, "server=").is_some_and(|server| servers.contains(server));
        let names_model = field_value(it.text, "model=").is_some_and(|model| models.contains(model));
        // 2017 reports a change of coordinator, the 4000s concern processes, members, leases and configuration, and the
        // 5000s contact with the store.
        let is_cluster_wide = matches!(it.event, 2_017 | 4_000..=4_999 | 5_000..=5_999);
        let is_view_change = VIEW_EVENTS.contains(&it.event) && (names_server || names_model || is_cluster_wide);
        it.request == request || (it.request == "-" && is_view_change && is_in_window(it))
    });
    explaining.map(|it| it.text).collect()
}

fn parse(text: &str) -> Option<LogLine<'_>> {
    let text = text.trim_end();
    // A log collector may have put its own fields before the line.
    let start = text.find("20")?;
    let text = &text[start..];
    let mut words = text.split(' ');
    let time = words.next().filter(|it| it.ends_with('Z'))?;
    let event = words.nth(1)?.strip_prefix('E')?.parse().ok()?;
    let request = field_value(text, "request=")?;
    Some(LogLine {
        time,
        event,
        request,
        text,
    })
}

fn field_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|it| it.strip_prefix(name))
}

/// Milliseconds since midnight of an RFC 3339 time.
fn millis_of_day(time: &str) -> u64 {
    let clock = time.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    let parts = clock.split([':', '.']).filter_map(|it| it.parse::<u64>().ok());
    let parts: Vec<u64> = parts.collect();
    match parts[..] {
        [h, m, s, ms] => ((h * 60 + m) * 60 + s) * 1_000 + ms,
        _ => 0,
    }
}
