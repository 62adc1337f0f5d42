//! Replays every trace against both policies and checks the bounds in its `.expect.json` file.

use std::path::{Path, PathBuf};

use guava_core::ids::ServerName;
use guava_load::trace;
use guava_replay::expect::Expected;
use guava_replay::figures::{Figures, measure_all};
use guava_replay::pool::Policy;
use guava_replay::replay::{RequestEnd, replay};
use guava_replay::scenario::{self, RecordedTrace, Scenario};
use rstest::rstest;

/// Maximum total size of the files in the deployment directories below `traces/`, in bytes.
const MAX_TRACE_BYTES: u64 = 3_000_000;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_trace(name: &str) -> RecordedTrace {
    let path = repository_root().join("traces").join(format!("{name}.mix.json"));
    RecordedTrace::read(&repository_root(), &path).unwrap()
}

fn trace_names() -> Vec<String> {
    let paths = scenario::find_scenarios(&repository_root().join("traces")).unwrap();
    paths
        .iter()
        .map(|it| RecordedTrace::read(&repository_root(), it).unwrap().name)
        .collect()
}

/// Guards against a change of the cost policy that makes a recorded trace miss the stated targets.
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
    let recorded = read_trace(&format!("{deployment}/{trace}"));
    let expected: Expected = scenario::read_json(&scenario::sibling_path(&recorded.path, ".expect.json")).unwrap();

    let measured = measure_all(std::slice::from_ref(&recorded), &Policy::ALL);

    let [naive, cost]: [Figures; 2] = measured.try_into().unwrap();
    let misses = expected.misses(&cost, &naive);
    assert!(misses.is_empty(), "{}", misses.join("\n"));
}

/// Guards against a new trace that is missing in the test cases above, and against traces that bloat the repository.
#[test]
fn every_trace_is_replayed_and_all_are_small() {
    let mut total_bytes = 0;
    for deployment in ["welsh", "ecuador"] {
        let dir = repository_root().join("traces").join(deployment);
        total_bytes += dir
            .read_dir()
            .unwrap()
            .map(|it| it.unwrap().metadata().unwrap().len())
            .sum::<u64>();
    }

    assert_eq!(trace_names().len(), 14);
    assert!(total_bytes < MAX_TRACE_BYTES, "{total_bytes} bytes");
}

/// Guards against a scenario or generator that was changed without regenerating the traces.
#[test]
fn stored_traces_match_their_scenarios() {
    for path in scenario::find_scenarios(&repository_root().join("traces")).unwrap() {
        let scenario: Scenario = scenario::read_json(&path).unwrap();

        let stored = trace::read(&scenario::sibling_path(&path, ".trace.jsonl")).unwrap();

        assert_eq!(scenario.generate(), stored, "{}", path.display());
    }
}

/// Guards against hidden state or randomness in a replay, which would make the measures of two policies incomparable,
/// and against requests without a final state.
#[test]
fn replay_is_deterministic_and_finishes_every_request() {
    let mut recorded = read_trace("welsh/cold-burst");
    recorded.requests.truncate(120);
    recorded.scenario.window_ms = 60_000;

    let first = replay(&recorded, Policy::Cost);
    let second = replay(&recorded, Policy::Cost);

    assert_eq!(first.loads, second.loads);
    for (a, b) in first.requests.iter().zip(&second.requests) {
        assert_eq!((a.first_token_ms, a.end), (b.first_token_ms, b.end));
        assert_ne!(a.end, RequestEnd::Unfinished);
    }
}

/// Guards against a reclaimed backend server that still receives requests after its notice, and against the loss of
/// idempotent requests that run on it.
#[test]
fn reclaimed_server_gets_no_new_requests_and_loses_at_most_one() {
    let mut recorded = read_trace("welsh/reclaim");
    recorded.requests.retain(|it| it.at_ms < 30_000);
    recorded.scenario.window_ms = 60_000;
    recorded.scenario.reclaims.truncate(1);
    recorded.scenario.reclaims[0].at_ms = 10_000;
    recorded.scenario.reclaims[0].notice_ms = 5_000;
    recorded.scenario.reclaims[0].server = ServerName::new("advice-1");

    let result = replay(&recorded, Policy::Cost);

    let unanswered: Vec<RequestEnd> = result
        .requests
        .iter()
        .map(|it| it.end)
        .filter(|it| !matches!(it, RequestEnd::Answered(_)))
        .collect();
    assert!(
        unanswered.iter().all(|it| *it == RequestEnd::Interrupted),
        "{unanswered:?}"
    );
    assert!(unanswered.len() <= 1, "{unanswered:?}");
}
