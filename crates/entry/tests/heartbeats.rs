//! Tests of heartbeats in a fleet as large as in the largest sweep.

use guava_core::units::Millis;
use guava_entry::cluster_view::ClusterView;
use guava_entry::state::{Heartbeat, KnownMember, Member};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// VMs of the largest sweep.
const VMS: usize = 300;
/// Interval between two exchanges of a VM.
const EXCHANGE_MS: u64 = 1_000;
/// Exchanges of each VM until heartbeats have spread for the first time.
const WARM_UP: u64 = 15;

fn member(index: usize) -> Member {
    Member {
        vm: format!("front-{index}"),
        address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 7_600).into(),
        incarnation: 1_000 + index as u64,
        processor: 12,
    }
}

/// View of a VM that knows all others and has had no contact with any of them.
fn view(own: usize) -> ClusterView {
    let mut view = ClusterView::default();
    for member in (0..VMS).filter(|it| *it != own).map(member) {
        let known = KnownMember {
            member: member.clone(),
            last_contact: None,
            last_failed: None,
        };
        view.members.insert(member.vm, known);
    }
    view
}

fn heartbeats(fleet: &[ClusterView], own: usize, now: Millis) -> Vec<Heartbeat> {
    let mut heartbeats = fleet[own].heartbeats(now);
    heartbeats.push(Heartbeat {
        key: member(own).heartbeat_key(),
        age: 0,
    });
    heartbeats
}

/// Each VM exchanges heartbeats with a random other one. VMs from index `stopped` on do not take part.
fn exchange_round(fleet: &mut [ClusterView], stopped: usize, now: Millis, rng: &mut ChaCha8Rng) {
    for own in 0..stopped {
        let other = rng.random_range(0..stopped);
        let sent = heartbeats(fleet, own, now);
        let answer = heartbeats(fleet, other, now);
        fleet[other].record_heartbeats(&sent, now);
        fleet[own].record_heartbeats(&answer, now);
    }
}

fn members_not_live(fleet: &[ClusterView], own: usize, now: Millis) -> Vec<usize> {
    let live = |index: &usize| fleet[own].members[&member(*index).vm].is_live(now);
    (0..VMS).filter(|it| *it != own && !live(it)).collect()
}

/// Guards against live members that count as dead because heartbeats spread too slowly in a large fleet. With sixteen
/// heartbeats per exchange, each of 300 VMs saw 23 others a second as dead and then as live again, and switched to
/// another feed.
#[rstest]
fn live_members_stay_live_everywhere(#[values(1, 2)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<ClusterView> = (0..VMS).map(view).collect();

    let mut not_live = Vec::new();
    for at in 0..WARM_UP + 15 {
        let now = Millis(100_000 + at * EXCHANGE_MS);
        exchange_round(&mut fleet, VMS, now, &mut rng);
        if at >= WARM_UP {
            not_live.extend((0..VMS).step_by(10).flat_map(|own| members_not_live(&fleet, own, now)));
        }
    }

    assert!(not_live.is_empty(), "{} times: {not_live:?}", not_live.len());
}

/// Guards against a dead VM that counts as live because others keep passing on its heartbeats.
#[test]
fn a_stopped_member_counts_as_dead() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut fleet: Vec<ClusterView> = (0..VMS).map(view).collect();
    let mut now = Millis(100_000);
    for _ in 0..WARM_UP {
        now = now + EXCHANGE_MS;
        exchange_round(&mut fleet, VMS, now, &mut rng);
    }

    let stopped = VMS - 1;
    for _ in 0..9 {
        now = now + EXCHANGE_MS;
        exchange_round(&mut fleet, stopped, now, &mut rng);
    }

    for own in (0..stopped).step_by(10) {
        assert!(
            members_not_live(&fleet, own, now).contains(&stopped),
            "VM {own} still counts it as live"
        );
    }
}

/// Guards against a heartbeat of an earlier process of a VM that counts for its next process.
#[test]
fn a_restarted_process_has_another_heartbeat_key() {
    let mut restarted = member(7);
    restarted.incarnation += 1;

    assert_ne!(member(7).heartbeat_key(), restarted.heartbeat_key());
}
