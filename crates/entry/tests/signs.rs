//! Signs of life in a fleet as large as the largest sweep.

use guava_core::units::Millis;
use guava_entry::cluster_view::ClusterView;
use guava_entry::state::{KnownMember, Member, Sign};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// VMs of the largest sweep.
const VMS: usize = 300;
/// Time between two exchanges of a VM.
const EXCHANGE_MS: u64 = 1_000;
/// Exchanges of each VM before the signs of life have spread for the first time.
const WARM_UP: u64 = 15;

fn member(index: usize) -> Member {
    Member {
        vm: format!("front-{index}"),
        address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 7_600).into(),
        incarnation: 1_000 + index as u64,
        processor: 12,
    }
}

/// Beliefs of a VM that knows all others and has heard of none.
fn believed(own: usize) -> ClusterView {
    let mut believed = ClusterView::default();
    for member in (0..VMS).filter(|it| *it != own).map(member) {
        let known = KnownMember {
            member: member.clone(),
            heard: None,
            failed: None,
        };
        believed.members.insert(member.vm, known);
    }
    believed
}

fn signs(believed: &[ClusterView], own: usize, now: Millis) -> Vec<Sign> {
    let mut signs = believed[own].signs(now);
    signs.push(Sign {
        key: member(own).key(),
        age: 0,
    });
    signs
}

/// Each VM exchanges with one other, chosen at random; those from `stopped` on do not take part.
fn round(fleet: &mut [ClusterView], stopped: usize, now: Millis, rng: &mut ChaCha8Rng) {
    for own in 0..stopped {
        let other = rng.random_range(0..stopped);
        let told = signs(fleet, own, now);
        let answer = signs(fleet, other, now);
        fleet[other].note_signs(&told, now);
        fleet[own].note_signs(&answer, now);
    }
}

fn silent(fleet: &[ClusterView], own: usize, now: Millis) -> Vec<usize> {
    let live = |index: &usize| fleet[own].members[&member(*index).vm].is_live(now);
    (0..VMS).filter(|it| *it != own && !live(it)).collect()
}

/// Guards against members that count as dead because the signs of life of a large fleet spread too slowly: with sixteen
/// told in an exchange, each VM of 300 took 23 others a second for dead and alive again, and followed another feed.
#[rstest]
fn live_members_stay_live_everywhere(#[values(1, 2)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<ClusterView> = (0..VMS).map(believed).collect();

    let mut found = Vec::new();
    for at in 0..WARM_UP + 15 {
        let now = Millis(100_000 + at * EXCHANGE_MS);
        round(&mut fleet, VMS, now, &mut rng);
        if at >= WARM_UP {
            found.extend((0..VMS).step_by(10).flat_map(|own| silent(&fleet, own, now)));
        }
    }

    assert!(found.is_empty(), "{} times: {found:?}", found.len());
}

/// Guards against a dead VM that is kept alive by signs of life that others pass on.
#[test]
fn a_stopped_member_counts_as_dead_soon() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut fleet: Vec<ClusterView> = (0..VMS).map(believed).collect();
    let mut now = Millis(100_000);
    for _ in 0..WARM_UP {
        now = now + EXCHANGE_MS;
        round(&mut fleet, VMS, now, &mut rng);
    }

    let stopped = VMS - 1;
    for _ in 0..9 {
        now = now + EXCHANGE_MS;
        round(&mut fleet, stopped, now, &mut rng);
    }

    for own in (0..stopped).step_by(10) {
        assert!(silent(&fleet, own, now).contains(&stopped), "{own} takes it for live");
    }
}

/// Guards against a sign of life of an earlier process of a VM that counts for the next one.
#[test]
fn signs_of_life_belong_to_one_life() {
    let mut restarted = member(7);
    restarted.incarnation += 1;

    assert_ne!(member(7).key(), restarted.key());
}
