//! Validation of state charts and lookup of transitions.

use guava_core::chart::{self, Chart, ChartError};
use rstest::rstest;

fn chart_text(states: &str, transitions: &str) -> String {
    format!("name = \"test\"\ninitial = \"a\"\nstates = [{states}]\ntransitions = [{transitions}]\n")
}

/// Guards against an invalid chart in `charts/`, which would make the process panic.
#[test]
fn embedded_charts_are_valid() {
    assert_eq!(chart::check_all(), Ok(()));
}

/// Guards against typing errors in a chart that would otherwise show up only when the faulty transition is taken.
#[rstest]
#[case::unknown("\"a\"", "{from=\"a\",event=\"x\",to=\"b\"}", ChartError::UnknownState("b".into()))]
#[case::unreachable("\"a\",\"b\"", "{from=\"b\",event=\"x\",to=\"a\"}", ChartError::UnreachableState("b".into()))]
#[case::ambiguous(
    "\"a\",\"b\"",
    "{from=\"a\",event=\"x\",to=\"b\"},{from=\"a\",event=\"x\",to=\"a\"}",
    ChartError::Ambiguous("a".into(), "x".into())
)]
fn invalid_chart_is_rejected(#[case] states: &str, #[case] transitions: &str, #[case] expected: ChartError) {
    let text = chart_text(states, transitions);

    let result = Chart::parse(&text);

    assert_eq!(result.err(), Some(expected));
}

/// Guards against a state change by an event for which the chart has no transition.
#[test]
fn missing_transition_returns_none() {
    let chart = Chart::parse(chart::REPLICA).expect("embedded chart");

    assert_eq!(chart.next("loading", "loaded"), Some("ready"));
    assert_eq!(chart.next("released", "loaded"), None);
}
