//! Detection of isolation, proofs of termination, and rendezvous ranking.

use std::collections::HashSet;

use guava_core::confirmation::{COUNTED_VMS, Confirmation, FleetView, ISOLATED_AFTER_MS};
use guava_core::ids::{Incarnation, MemberId, Role, VmName};
use guava_core::rendezvous;
use guava_core::termination::{LIST_LAG_MS, ListedVm, Terminations};
use guava_core::units::Millis;
use rstest::rstest;

const START: Millis = Millis(100_000);

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm{index}"))
}

fn fleet(listed: usize, listed_alive: usize) -> FleetView {
    FleetView {
        listed: (0..listed).map(vm).collect(),
        listed_alive,
    }
}

/// Guards against a VM that does not count as isolated although it reaches neither the platform nor a majority, and
/// against one that does although it reaches a majority.
#[rstest]
#[case::alone_of_six(6, 0, true)]
#[case::half_of_six(6, 2, true)]
#[case::majority_of_six(6, 3, false)]
#[case::only_vm(1, 0, false)]
#[case::unknown_list(0, 3, true)]
fn majority_of_listed_vms_confirms(#[case] listed: usize, #[case] answering: usize, #[case] isolated: bool) {
    let mut confirmation = Confirmation::new(vm(0), START);
    let stale_ms = 60_000;
    let now = START + ISOLATED_AFTER_MS + 1;

    for index in 1..=answering {
        confirmation.answered(&vm(index), stale_ms, now - 1_000);
    }
    confirmation.observe(&fleet(listed, listed), now);

    assert_eq!(confirmation.isolated(now), isolated);
}

/// Guards against contact dated by the arrival of an answer: answers read after a pause would hide the isolation.
#[test]
fn confirmation_age_counts_from_the_sending_of_the_call() {
    let mut confirmation = Confirmation::new(vm(0), START);
    let sent = START + 10_000;

    confirmation.answered(&vm(1), 1_000, sent);
    confirmation.platform_answered(START + 5_000);

    assert_eq!(confirmation.age(sent + 500), 1_500);
    assert!(confirmation.isolated(sent + 4_000));
}

/// Guards against an estimate for a large fleet that ignores unanswered pings, or that only a minority of VMs is alive.
#[rstest]
#[case::most_answered(5, 1, 100, false)]
#[case::most_unanswered(2, 5, 100, true)]
#[case::minority_alive(5, 1, 40, true)]
fn majority_of_a_large_fleet_is_estimated_from_pings(
    #[case] answered: usize,
    #[case] unanswered: usize,
    #[case] listed_alive: usize,
    #[case] isolated: bool,
) {
    let listed = 100;
    assert!(listed > COUNTED_VMS);
    let mut confirmation = Confirmation::new(vm(0), START);
    let now = START + ISOLATED_AFTER_MS;

    (0..answered).for_each(|_| confirmation.ping_ended(true, now - 1_000));
    (0..unanswered).for_each(|_| confirmation.ping_ended(false, now - 1_000));
    confirmation.observe(&fleet(listed, listed_alive), now);

    assert_eq!(confirmation.isolated(now), isolated);
}

fn listed(instance: &str, ended: bool) -> Vec<ListedVm> {
    vec![ListedVm {
        name: vm(1),
        instance: instance.to_owned(),
        ended,
    }]
}

fn router() -> MemberId {
    MemberId::new("vm1", Role::Router)
}

/// Guards against a proof of termination that is never made, or is made from a list that may be out of date. The first
/// keeps the resources of an ended process occupied, the second releases those of a running one.
#[rstest]
#[case::ended_at_once(&[(1_000, "a", true)], false)]
#[case::ended_later(&[(1_000, "a", true), (LIST_LAG_MS, "a", true)], true)]
#[case::replaced(&[(LIST_LAG_MS, "a", false), (90_000, "b", false)], true)]
#[case::list_lagged_behind_a_replacement(&[(1_000, "a", false), (2_000, "b", false), (90_000, "b", false)], false)]
#[case::ended_instance_before_this_one(&[(1_000, "a", true), (LIST_LAG_MS, "b", false)], false)]
#[case::instance_unchanged(&[(LIST_LAG_MS, "a", false), (90_000, "a", false)], false)]
fn list_proves_termination(#[case] lists: &[(u64, &str, bool)], #[case] proved: bool) {
    let mut terminations = Terminations::default();
    let incarnation = Incarnation(5);
    terminations.record_incarnation(&router(), incarnation, START);

    let found: Vec<_> = lists
        .iter()
        .flat_map(|(after, instance, ended)| terminations.listed(&listed(instance, *ended), START + *after))
        .collect();

    assert_eq!(found.len(), usize::from(proved));
    assert_eq!(terminations.has_ended(&router(), incarnation), proved);
}

/// Guards against an earlier incarnation that counts as running after a restart, and against a later one that counts as
/// ended.
#[test]
fn later_incarnation_proves_the_end_of_earlier_ones() {
    let mut terminations = Terminations::default();

    terminations.record_incarnation(&router(), Incarnation(5), START);
    terminations.record_incarnation(&router(), Incarnation(7), START);

    assert!(terminations.has_ended(&router(), Incarnation(5)));
    assert!(terminations.has_ended(&router(), Incarnation(6)));
    assert!(!terminations.has_ended(&router(), Incarnation(7)));
    assert_eq!(terminations.latest(&router()), Some(Incarnation(7)));
}

/// Guards against positions that differ from the order of the ranking: two members, or none, would take rank 0 for a
/// lease.
#[test]
fn positions_follow_the_ranking() {
    let names: Vec<String> = (0..50).map(|it| format!("vm{it}/controller")).collect();
    for key in ["pool/a", "pool/b", "job/3"] {
        let ranked = rendezvous::rank(key, &names, |it| it.as_str());
        for (rank, name) in ranked.iter().enumerate() {
            let position = rendezvous::position(key, names.iter().map(String::as_str), name);
            assert_eq!(position, Some(rank));
        }
        let unknown = rendezvous::position(key, names.iter().map(String::as_str), "vm50/controller");
        assert_eq!(unknown, None);
    }
}

/// Guards against ranks that depend on the input order or change when another candidate leaves, and against uneven
/// distribution of first ranks.
#[test]
fn ranking_is_stable_and_balanced() {
    let names: Vec<String> = (0..20).map(|it| format!("vm{it}/router")).collect();
    let mut first = HashSet::new();
    for key in 0..200 {
        let key = format!("lease-{key}");
        let ranked = rendezvous::rank(&key, &names, |it| it.as_str());
        let reversed = rendezvous::rank(&key, names.iter().rev(), |it| it.as_str());
        let without_first = rendezvous::rank(&key, ranked[1..].iter().copied(), |it| it.as_str());
        assert_eq!(ranked, reversed);
        assert_eq!(without_first, ranked[1..]);
        let position = rendezvous::position(&key, names.iter().map(String::as_str), ranked[3]);
        assert_eq!(position, Some(3));
        first.insert(ranked[0].clone());
    }
    assert!(first.len() >= 18, "200 keys fall on {} of 20 candidates", first.len());
}
