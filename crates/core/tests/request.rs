//! The rule for retrying, checked against a simulation of what backend servers may have done in the worst case, and the
//! lifecycle of a request, checked against its chart.

use guava_core::codes::Run;
use guava_core::request::{Attempt, Class, Lifecycle, RequestEvent, RequestState, Verdict};
use proptest::prelude::*;
use rstest::rstest;

/// What backend servers may have done in the worst case: run the request as soon as they received a byte.
#[derive(Debug, Clone, Copy, Default)]
struct WorstCase {
    runs: u32,
    answers_seen_by_caller: u32,
}

/// Repeats the attempts until the rule forbids another one, and returns the worst case and the last verdict.
fn simulate(class: Class, failures: &[(u64, u64, u64)]) -> (WorstCase, Option<Verdict>) {
    let mut worst_case = WorstCase::default();
    let mut last = None;
    for (bytes_sent, bytes_received, bytes_passed_on) in failures {
        // Bytes are forwarded only after they were received, and received only after some were sent.
        let bytes_received = if *bytes_sent == 0 { 0 } else { *bytes_received };
        let bytes_passed_on = (*bytes_passed_on).min(bytes_received);
        worst_case.runs += u32::from(*bytes_sent > 0);
        worst_case.answers_seen_by_caller += u32::from(bytes_passed_on > 0);
        let attempt = Attempt {
            class,
            bytes_sent: *bytes_sent,
            bytes_received,
            bytes_passed_on,
        };
        let verdict = attempt.verdict();
        last = Some(verdict);
        if verdict == Verdict::OutcomeUnknown {
            break;
        }
    }
    (worst_case, last)
}

fn failures() -> impl Strategy<Value = Vec<(u64, u64, u64)>> {
    let bytes = || prop_oneof![Just(0u64), 1u64..10_000];
    prop::collection::vec((bytes(), bytes(), bytes()), 1..8)
}

proptest! {
    /// Guards against a second run of a non-idempotent request, and against reporting one as not run that may have run.
    #[test]
    fn a_non_idempotent_request_runs_at_most_once(failures in failures()) {
        let (worst_case, last) = simulate(Class::NonIdempotent, &failures);
        prop_assert!(worst_case.runs <= 1);
        prop_assert_eq!(last == Some(Verdict::Retry { run: Run::NotRun }), worst_case.runs == 0);
    }

    /// Guards against forwarding the beginnings of two answers, and against failing a request that could be retried.
    #[test]
    fn an_idempotent_request_is_retried_until_bytes_were_forwarded(failures in failures()) {
        let (worst_case, last) = simulate(Class::Idempotent, &failures);
        prop_assert!(worst_case.answers_seen_by_caller <= 1);
        prop_assert_eq!(last == Some(Verdict::OutcomeUnknown), worst_case.answers_seen_by_caller == 1);
    }

    /// Guards against transitions that differ from the chart: an event that it does not allow must not change the state.
    #[test]
    fn a_disallowed_event_keeps_the_state(events in prop::collection::vec(0..RequestEvent::ALL.len(), 0..20)) {
        let chart = guava_core::chart::Chart::parse(guava_core::chart::REQUEST).expect("the request chart is valid");
        let mut lifecycle = Lifecycle::default();
        for event in events.into_iter().map(|index| RequestEvent::ALL[index]) {
            let before = lifecycle.state();
            let expected = chart.next(before.as_str(), event.as_str());
            let stepped = lifecycle.step(event);
            prop_assert_eq!(stepped.ok().map(RequestState::as_str), expected);
            prop_assert_eq!(lifecycle.state().as_str(), expected.unwrap_or(before.as_str()));
        }
    }
}

/// Guards against a chart that does not allow the usual sequences of events.
#[rstest]
#[case(&["admit", "send", "answer", "finish"], RequestState::Finished)]
#[case(&["admit", "send", "retry", "send", "answer", "fail"], RequestState::Failed)]
#[case(&["admit", "refuse"], RequestState::Refused)]
#[case(&["refuse"], RequestState::Refused)]
fn usual_paths_are_allowed(#[case] path: &[&str], #[case] end: RequestState) {
    let mut lifecycle = Lifecycle::default();

    for name in path {
        let event = RequestEvent::ALL
            .iter()
            .find(|it| it.as_str() == *name)
            .expect("a known event");
        lifecycle.step(*event).expect("the chart allows it");
    }

    assert_eq!(lifecycle.state(), end);
}
