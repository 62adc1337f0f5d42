//! State charts are checked before the code interprets them.

use guava_core::chart::{self, Chart, ChartError};
use rstest::rstest;

fn chart_text(states: &str, transitions: &str) -> String {
    format!("name = \"test\"\ninitial = \"a\"\nstates = [{states}]\ntransitions = [{transitions}]\n")
}

/// Guards against a shipped chart with a fault.
#[test]
fn shipped_charts_are_sound() {
    assert_eq!(chart::check_all(), Ok(()));
}

/// Guards against typing errors that would surface only in a rare transition.
#[rstest]
#[case::unknown("\"a\"", "{from=\"a\",event=\"x\",to=\"b\"}", ChartError::UnknownState("b".into()))]
#[case::unreachable("\"a\",\"b\"", "{from=\"b\",event=\"x\",to=\"a\"}", ChartError::UnreachableState("b".into()))]
#[case::ambiguous(
    "\"a\",\"b\"",
    "{from=\"a\",event=\"x\",to=\"b\"},{from=\"a\",event=\"x\",to=\"a\"}",
    ChartError::Ambiguous("a".into(), "x".into())
)]
fn faults_are_refused(#[case] states: &str, #[case] transitions: &str, #[case] expected: ChartError) {
    let text = chart_text(states, transitions);

    let result = Chart::parse(&text);

    assert_eq!(result.err(), Some(expected));
}

/// Guards against a transition that the chart does not have.
#[test]
fn unknown_transition_is_none() {
    let chart = Chart::parse(chart::REPLICA).expect("shipped chart");

    assert_eq!(chart.next("loading", "loaded"), Some("ready"));
    assert_eq!(chart.next("released", "loaded"), None);
}
