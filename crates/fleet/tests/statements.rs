//! Tests of the decision whether a request waits while no server takes it.

use guava_fleet::statements::Obstacle;
use rstest::rstest;

/// Guards against callers that wait for what does not come in time, and against refusals just before a server takes more.
#[rstest]
#[case::all_leave(Obstacle::Leaving, 500, Some(100), false)]
#[case::rest_ends_in_time(Obstacle::Resting(499), 500, None, true)]
#[case::rest_ends_too_late(Obstacle::Resting(500), 500, None, false)]
#[case::no_time_left(Obstacle::Resting(1), 0, None, false)]
#[case::loaded_before(Obstacle::Resting(9_000), 0, Some(6_000), true)]
#[case::loaded_after(Obstacle::Resting(5_000), 0, Some(6_000), false)]
#[case::held_by_the_resting_engine(Obstacle::Resting(5_000), 0, Some(0), false)]
fn request_waits_for_what_comes_soon(
    #[case] obstacle: Obstacle,
    #[case] spare_ms: u64,
    #[case] load_ms: Option<u64>,
    #[case] expected: bool,
) {
    assert_eq!(obstacle.is_worth_waiting(spare_ms, load_ms), expected);
}
