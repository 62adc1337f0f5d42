//! Joins the log lines of all processes that explain one request.
//!
//! Besides the lines with the request's id come those in which a process changed what it believes of a server that the
//! request met, or of the configuration, shortly before or during the request.

use std::collections::BTreeSet;

/// Time before the first line of a request from which on changes of belief are shown, in milliseconds.
const BEFORE_MS: u64 = 5_000;
/// Numbers of the events that change beliefs.
const BELIEFS: std::ops::Range<u16> = 2_000..5_999;

/// Log line with the fields that the story needs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Line<'a> {
    time: &'a str,
    event: u16,
    request: &'a str,
    text: &'a str,
}

/// Lines that explain the request, in order of time.
pub fn story<'a>(logs: impl IntoIterator<Item = &'a str>, request: &str) -> Vec<&'a str> {
    let mut lines: Vec<Line<'a>> = logs.into_iter().filter_map(parse).collect();
    lines.sort();
    let own: Vec<&Line<'a>> = lines.iter().filter(|it| it.request == request).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let servers: BTreeSet<&str> = own.iter().filter_map(|it| field(it.text, "server=")).collect();
    let models: BTreeSet<&str> = own.iter().filter_map(|it| field(it.text, "model=")).collect();
    let is_near = |it: &Line<'_>| millis(it.time) + BEFORE_MS >= millis(first.time) && it.time <= last.time;
    let told = lines.iter().filter(|it| {
        let names_server = field(it.text, "server=").is_some_and(|server| servers.contains(server));
        let names_model = field(it.text, "model=").is_some_and(|model| models.contains(model));
        let is_general = matches!(it.event, 2_017 | 4_000..=4_999 | 5_000..=5_999);
        let is_belief = BELIEFS.contains(&it.event) && (names_server || names_model || is_general);
        it.request == request || (it.request == "-" && is_belief && is_near(it))
    });
    told.map(|it| it.text).collect()
}

fn parse(text: &str) -> Option<Line<'_>> {
    let text = text.trim_end();
    // A collector may have put its own fields before the line.
    let start = text.find("20")?;
    let text = &text[start..];
    let mut words = text.split(' ');
    let time = words.next().filter(|it| it.ends_with('Z'))?;
    let event = words.nth(1)?.strip_prefix('E')?.parse().ok()?;
    let request = field(text, "request=")?;
    Some(Line {
        time,
        event,
        request,
        text,
    })
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|it| it.strip_prefix(name))
}

/// Milliseconds of the day of a time in RFC 3339.
fn millis(time: &str) -> u64 {
    let clock = time.split('T').nth(1).unwrap_or_default().trim_end_matches('Z');
    let parts = clock.split([':', '.']).filter_map(|it| it.parse::<u64>().ok());
    let parts: Vec<u64> = parts.collect();
    match parts[..] {
        [h, m, s, ms] => ((h * 60 + m) * 60 + s) * 1_000 + ms,
        _ => 0,
    }
}
