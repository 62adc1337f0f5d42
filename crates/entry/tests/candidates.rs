//! Tests of the selection of VMs that may become the coordinator.

use guava_entry::coordinator::candidates;
use guava_entry::state::Member;
use rstest::rstest;

/// Processor time of a small VM, in hundredths of a core.
const SMALL: u32 = 12;
/// Processor time of a large VM, in hundredths of a core.
const LARGE: u32 = 50;

fn fleet(processors: &[u32]) -> Vec<Member> {
    let member = |(index, processor): (usize, &u32)| Member {
        vm: format!("front-{index}"),
        address: ([127, 0, 0, 1], 7_600 + index as u16).into(),
        incarnation: 1,
        processor: *processor,
    };
    processors.iter().enumerate().map(member).collect()
}

/// Guards against a small VM that coordinates a large fleet without the bandwidth and processor time for it, and
/// against a fleet without a coordinator because its few large VMs are unreachable.
#[rstest]
#[case::equal(&[SMALL, SMALL, SMALL], &["front-0", "front-1", "front-2"])]
#[case::enough_large(&[SMALL, LARGE, LARGE, LARGE], &["front-1", "front-2", "front-3"])]
#[case::few_large(&[SMALL, LARGE, LARGE], &["front-0", "front-1", "front-2"])]
#[case::alone(&[SMALL], &["front-0"])]
fn large_vms_coordinate_when_there_are_enough(#[case] processors: &[u32], #[case] expected: &[&str]) {
    let eligible = candidates(fleet(processors));

    assert_eq!(eligible, expected);
}
