//! Tests of the origin of streams: fleets of 6, 60 and 300 VMs in virtual time.

mod stream_load;

use guava_core::units::Millis;
use guava_fleet::streams::{Serving, Versions};
use rstest::rstest;
use stream_load::{Day, Outcome, Servers, play};

const V1: &str = "v1";
const V2: &str = "v2";
const START: Millis = Millis(10_000_000);

fn servers(version: &'static str, from: u64, until: u64) -> Servers {
    Servers {
        version,
        listed: from..until,
        run_until: until,
    }
}

/// Day on which the servers of the first version leave at `v1_until` and those of the second come at 20 s.
fn release(v1_until: u64) -> Day {
    Day {
        length_ms: 60_000,
        servers: vec![servers(V1, 0, v1_until), servers(V2, 20_000, u64::MAX)],
        ..Day::default()
    }
}

fn assert_sound(day: &Day, outcome: &Outcome) {
    let name = format!("seed {} with {} VMs: {outcome:?}", day.seed, day.vms);
    assert_eq!(outcome.joined, [], "{name}");
    assert!(outcome.taken_up >= 12 && outcome.new >= 12, "{name}");
    // Of streams taken up, at least half of the share of new ones go on.
    assert!(
        2 * outcome.gone_on * outcome.new >= outcome.taken_up * outcome.begun,
        "{name}"
    );
    assert!(4 * outcome.begun >= 3 * outcome.new, "{name}");
}

/// Guards against streams that are joined from two versions, and against refusals of most streams that are taken up.
#[rstest]
#[case::calm(release(40_000))]
#[case::power_loss_with_two_versions(Day { power_loss: Some(30_000), ..release(u64::MAX) })]
#[case::power_loss_after_the_old_version(Day { power_loss: Some(41_000), ..release(40_000) })]
#[case::silent_store(Day { store_silent: 25_000..32_000, power_loss: Some(30_000), ..release(40_000) })]
#[case::restored_store(Day { restore: Some((26_000, 10_000)), ..release(40_000) })]
#[case::restored_store_after_power_loss(Day { restore: Some((31_000, 5_000)), power_loss: Some(30_000), ..release(u64::MAX) })]
#[case::restored_store_with_power_loss(Day { restore: Some((26_000, 10_000)), power_loss: Some(26_000), ..release(u64::MAX) })]
#[case::restored_store_without_a_version_that_left(Day {
    restore: Some((26_000, 10_000)),
    power_loss: Some(26_000),
    servers: vec![servers(V1, 0, u64::MAX), servers(V2, 20_000, 26_000)],
    ..release(u64::MAX)
})]
#[case::cut_off(Day { cut: 15_000..45_000, ..release(25_000) })]
#[case::frozen(Day { frozen: 15_000..45_000, ..release(25_000) })]
#[case::restarted(Day { restarts: vec![22_000, 30_000, 42_000], ..release(40_000) })]
fn streams_go_on_only_at_the_version_that_began_them(#[case] day: Day) {
    for (vms, seed) in [(6, 1), (6, 2), (6, 3), (6, 4), (60, 1), (60, 2), (300, 1)] {
        let day = Day {
            seed,
            vms,
            ..day.clone()
        };

        let outcome = play(day.clone());

        assert_sound(&day, &outcome);
    }
}

/// Guards against a version that is taken for the only one while a VM still begins streams at another.
#[rstest]
#[case::cut_off(Day { cut: 20_000..320_000, ..Day::default() })]
#[case::frozen(Day { frozen: 20_000..231_000, ..Day::default() })]
#[case::restored(Day { cut: 20_000..320_000, restore: Some((50_000, 30_000)), ..Day::default() })]
#[case::power_loss(Day { power_loss: Some(230_000), ..Day::default() })]
fn version_that_leaves_and_returns_is_not_confused(#[case] day: Day) {
    let unlisted = Servers {
        run_until: 230_000,
        ..servers(V1, 0, 40_000)
    };
    for seed in 1..=4 {
        let day = Day {
            seed,
            vms: 6,
            length_ms: 420_000,
            servers: vec![
                unlisted.clone(),
                servers(V2, 30_000, u64::MAX),
                servers(V1, 232_000, u64::MAX),
            ],
            ..day.clone()
        };

        let outcome = play(day.clone());

        assert_sound(&day, &outcome);
    }
}

/// Guards against processes that begin no streams because they have started while the store is silent.
#[test]
fn process_takes_over_what_another_has_found_in_the_table() {
    let serving = [V1, V2].map(|version| Serving {
        service: "advice",
        version: Some(version),
    });
    let mut other = Versions::default();
    other.observe(START, serving, 0, 1);
    let table = other.next_table(START, None, false, true).expect("versions to add");
    other.record_table(START, START, &table);
    let mut started = Versions::default();
    started.observe(START, [serving[1]], 5_000, 1);

    started.confirm(START, START, &other.confirmed(START));

    assert!(started.may_begin(START, "advice", Some(V2)));
    assert!(!started.may_begin(START, "advice", Some(V1)));
}
