//! Replays every trace against both policies and checks the expected outcome beside it.

use std::path::{Path, PathBuf};

use guava_core::ids::ServerName;
use guava_load::trace;
use guava_replay::expect::Expected;
use guava_replay::figures::{Figures, measure_all};
use guava_replay::pool::Policy;
use guava_replay::replay::{End, replay};
use guava_replay::scenario::{self, Recorded, Scenario};
use rstest::rstest;

/// Largest size of all files under `traces/`.
const MAX_BYTES: u64 = 3_000_000;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn recorded(name: &str) -> Recorded {
    let path = root().join("traces").join(format!("{name}.mix.json"));
    Recorded::read(&root(), &path).unwrap()
}

fn names() -> Vec<String> {
    let paths = scenario::find(&root().join("traces")).unwrap();
    paths
        .iter()
        .map(|it| Recorded::read(&root(), it).unwrap().name)
        .collect()
}

/// Guards against a change of the policy that misses the aims on a recorded trace.
#[rstest]
fn trace_has_its_expected_outcome(
    #[values("welsh", "ecuador")] deployment: &str,
    #[values(
        "cold-burst",
        "one-organisation",
        "morning",
        "slow-store",
        "reclaim",
        "overnight",
        "steady"
    )]
    trace: &str,
) {
    let recorded = recorded(&format!("{deployment}/{trace}"));
    let expected: Expected = scenario::read_json(&scenario::sibling(&recorded.path, ".expect.json")).unwrap();

    let measured = measure_all(std::slice::from_ref(&recorded), &Policy::ALL);

    let [naive, cost]: [Figures; 2] = measured.try_into().unwrap();
    let misses = expected.misses(&cost, &naive);
    assert!(misses.is_empty(), "{}", misses.join("\n"));
}

/// Guards against traces that nobody replays, and against a growing directory.
#[test]
fn every_trace_is_replayed_and_all_are_small() {
    let mut bytes = 0;
    for deployment in ["welsh", "ecuador"] {
        let dir = root().join("traces").join(deployment);
        bytes += dir
            .read_dir()
            .unwrap()
            .map(|it| it.unwrap().metadata().unwrap().len())
            .sum::<u64>();
    }

    assert_eq!(names().len(), 14);
    assert!(bytes < MAX_BYTES, "{bytes} bytes");
}

/// Guards against a trace that no longer belongs to its scenario.
#[test]
fn traces_are_those_of_their_scenarios() {
    for path in scenario::find(&root().join("traces")).unwrap() {
        let scenario: Scenario = scenario::read_json(&path).unwrap();

        let recorded = trace::read(&scenario::sibling(&path, ".trace.jsonl")).unwrap();

        assert_eq!(scenario.generate(), recorded, "{}", path.display());
    }
}

/// Guards against hidden state or randomness, with which figures of two policies could not be compared.
#[test]
fn replay_is_deterministic_and_accounts_for_every_request() {
    let mut recorded = recorded("welsh/cold-burst");
    recorded.requests.truncate(120);
    recorded.scenario.window_ms = 60_000;

    let first = replay(&recorded, Policy::Cost);
    let second = replay(&recorded, Policy::Cost);

    assert_eq!(first.loads, second.loads);
    for (a, b) in first.requests.iter().zip(&second.requests) {
        assert_eq!((a.first_ms, a.end), (b.first_ms, b.end));
        assert_ne!(a.end, End::Open);
    }
}

/// Guards against a reclaimed server that keeps serving, or loses requests that may run again.
#[test]
fn reclaimed_server_gets_no_new_work_and_its_requests_end() {
    let mut recorded = recorded("welsh/reclaim");
    recorded.requests.retain(|it| it.at_ms < 30_000);
    recorded.scenario.window_ms = 60_000;
    recorded.scenario.reclaims.truncate(1);
    recorded.scenario.reclaims[0].at_ms = 10_000;
    recorded.scenario.reclaims[0].notice_ms = 5_000;
    recorded.scenario.reclaims[0].server = ServerName::new("advice-1");

    let outcomes = replay(&recorded, Policy::Cost);

    let unanswered: Vec<End> = outcomes
        .requests
        .iter()
        .map(|it| it.end)
        .filter(|it| !matches!(it, End::Answered(_)))
        .collect();
    assert!(unanswered.iter().all(|it| *it == End::Interrupted), "{unanswered:?}");
    assert!(unanswered.len() <= 1, "{unanswered:?}");
}
