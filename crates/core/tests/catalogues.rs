//! `docs/codes.md` and `docs/events.md` list the same codes and events as the code.

use std::collections::HashSet;

use guava_core::codes::Code;
use guava_core::events::Event;

fn table_rows(page: &str) -> Vec<&str> {
    let is_row = |line: &&str| line.starts_with("| G") || line.starts_with("| E") && !line.starts_with("| Event");
    page.lines().filter(is_row).collect()
}

/// Guards against a code that is added, renumbered or reworded without updating its page.
#[test]
fn codes_page_matches_code() {
    let page = include_str!("../../../docs/codes.md");

    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| format!("| {code} | {} | {} |", code.status(), code.text()))
        .collect();

    assert_eq!(table_rows(page), expected);
}

/// Guards against an event that is added, renumbered or reworded without updating its page.
#[test]
fn events_page_matches_code() {
    let page = include_str!("../../../docs/events.md");

    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            format!(
                "| {event} | {} | {} |",
                event.level().as_str().to_lowercase(),
                event.text()
            )
        })
        .collect();

    assert_eq!(table_rows(page), expected);
}

/// Guards against two codes or two events that share a number.
#[test]
fn numbers_are_unique() {
    let codes: HashSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let events: HashSet<u16> = Event::ALL.iter().map(|event| event.number()).collect();

    assert_eq!(codes.len(), Code::ALL.len());
    assert_eq!(events.len(), Event::ALL.len());
}
