//! Tests of the order in which VMs compete for the coordinator's lease.

use guava_core::lease::ACTIVE_CANDIDATES;
use guava_fleet::succession::{LiveVm, Succession, WIDENING_MS};
use rstest::rstest;

/// Processor time of a small VM, in hundredths of a core.
const SMALL: u32 = 12;
/// Processor time of a large VM, in hundredths of a core.
const LARGE: u32 = 50;
/// Name of the lease.
const LEASE: &str = "coordinator";

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("front-{index}")).collect()
}

fn fleet<'a>(names: &'a [String], processors: &'a [u32]) -> impl DoubleEndedIterator<Item = LiveVm<'a>> + Clone {
    let pairs = names.iter().zip(processors.iter().copied()).collect::<Vec<_>>();
    pairs.into_iter().map(|(vm, processor)| LiveVm { vm, processor })
}

/// Guards against a small VM that coordinates a large fleet without the bandwidth and processor time for it, and
/// against a fleet without a coordinator because its few large VMs are unreachable. Small VMs do not compete while the
/// large ones have not had their time.
#[rstest]
#[case::equal(&[SMALL, SMALL, SMALL], &["front-0", "front-1", "front-2"])]
#[case::enough_large(&[SMALL, LARGE, LARGE, LARGE], &["front-1", "front-2", "front-3"])]
#[case::few_large(&[SMALL, LARGE, LARGE], &["front-0", "front-1", "front-2"])]
#[case::alone(&[SMALL], &["front-0"])]
fn large_vms_coordinate_when_there_are_enough(#[case] processors: &[u32], #[case] expected: &[&str]) {
    let names = names(processors.len());
    let succession = Succession::new(LEASE, fleet(&names, processors));

    let mut preferred = succession.preferred().to_vec();
    preferred.sort_unstable();
    let competing = names.iter().map(String::as_str);
    let competing: Vec<&str> = competing
        .filter(|it| succession.rank(it, WIDENING_MS - 1).is_some())
        .collect();
    assert_eq!(preferred, expected);
    assert_eq!(competing, expected);
    assert_eq!(succession.order().len(), processors.len());
}

/// Guards against a fleet that has no coordinator for as long as the store turns away all VMs that compete for the
/// lease.
#[test]
fn more_vms_compete_while_there_is_no_coordinator() {
    let processors: Vec<u32> = (0..59).map(|it| if it % 7 == 0 { LARGE } else { SMALL }).collect();
    let names = names(processors.len());
    let succession = Succession::new(LEASE, fleet(&names, &processors));
    let competing = |vacant_ms: u64| {
        names
            .iter()
            .filter(|it| succession.rank(it, vacant_ms).is_some())
            .count()
    };

    let counts: Vec<usize> = [0, 300, 500, 1_000, 2_000, 60_000].into_iter().map(competing).collect();

    assert_eq!(counts[..2], [ACTIVE_CANDIDATES; 2]);
    assert!(counts.is_sorted(), "{counts:?}");
    // If the store turns away every second VM, all of 15 are turned away once in 30,000 times.
    assert!(counts[4] >= 15, "{counts:?}");
    // While the store answers nobody, its load by those that compete stays bounded.
    assert_eq!(counts[4], counts[5]);
}

/// Guards against an order that depends on the order of the list of members, by which VMs would compete at once.
#[test]
fn all_vms_agree_on_the_order() {
    let processors = [SMALL, LARGE, SMALL, LARGE, LARGE, SMALL];
    let names = names(processors.len());
    let members = fleet(&names, &processors);

    let expected = Succession::new(LEASE, members.clone());

    assert_eq!(Succession::new(LEASE, members.rev()), expected);
}
