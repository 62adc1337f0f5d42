//! Choice of a replica, and slots that requests hold.

use guava_core::ids::{ReplicaId, RequestId, Zone};
use guava_core::placement::{ReplicaAddress, ReplicaState};
use guava_core::routing::{Preference, SlotRegistry, choose, prefix_hash};
use proptest::prelude::*;

fn replica(name: &str, zone: &str, slots: u32) -> ReplicaAddress {
    ReplicaAddress {
        replica: ReplicaId::new(name),
        server: name.into(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        slots,
        state: ReplicaState::Ready,
    }
}

fn fill(slots: &mut SlotRegistry, name: &str, count: usize) {
    for number in 0..count {
        let request = RequestId::new(format!("{name}-{number}"));
        assert!(slots.acquire(&request, &ReplicaId::new(name), u32::MAX));
    }
}

fn chosen(replicas: &[ReplicaAddress], slots: &SlotRegistry, prefix: Option<u64>, avoid: &[ReplicaId]) -> String {
    let zone = Zone::new("a");
    let preference = Preference {
        zone: &zone,
        prefix,
        avoid,
    };
    choose(replicas, slots, preference).map_or_else(String::new, |it| it.replica.to_string())
}

proptest! {
    /// Guards against slots that leak or are released twice, by comparison with a list of holders.
    #[test]
    fn slots_agree_with_a_list_of_holders(ops in prop::collection::vec((0u8..8, 0u8..3, any::<bool>()), 0..80)) {
        let mut slots = SlotRegistry::default();
        let mut holders: Vec<(u8, u8)> = Vec::new();
        for (request, replica, acquire) in ops {
            let id = RequestId::new(format!("q{request}"));
            let target = ReplicaId::new(format!("r{replica}"));
            let held = holders.iter().any(|(it, _)| *it == request);
            if acquire {
                let free = holders.iter().filter(|(_, it)| *it == replica).count() < 2;
                prop_assert_eq!(slots.acquire(&id, &target, 2), free && !held);
                if free && !held {
                    holders.push((request, replica));
                }
            } else {
                prop_assert_eq!(slots.release(&id), held);
                holders.retain(|(it, _)| *it != request);
            }
            let on_replica = holders.iter().filter(|(_, it)| *it == replica).count();
            prop_assert_eq!(slots.in_flight(&target) as usize, on_replica);
            prop_assert_eq!(slots.total(), holders.len());
        }
    }
}

/// Guards against requests to other availability zones while a replica in the own zone is as free.
#[test]
fn the_own_zone_is_preferred_until_it_is_busier() {
    let replicas = [replica("far", "b", 8), replica("near", "a", 8)];
    let mut slots = SlotRegistry::default();

    let idle = chosen(&replicas, &slots, None, &[]);
    fill(&mut slots, "near", 2);
    let busy = chosen(&replicas, &slots, None, &[]);

    assert_eq!((idle.as_str(), busy.as_str()), ("near", "far"));
}

/// Guards against prompts with the same prefix going to different replicas, and against a frequent prefix overloading one
/// replica.
#[test]
fn a_prefix_keeps_its_replica_until_it_is_much_busier() {
    let replicas = [replica("r1", "a", 64), replica("r2", "a", 64), replica("r3", "a", 64)];
    let mut slots = SlotRegistry::default();
    let prefix = Some(prefix_hash(b"You are the desk of the institute."));

    let first = chosen(&replicas, &slots, prefix, &[]);
    fill(&mut slots, &first, 4);
    let second = chosen(&replicas, &slots, prefix, &[]);
    assert!(slots.acquire(&RequestId::new("one more"), &ReplicaId::new(&first), u32::MAX));
    let third = chosen(&replicas, &slots, prefix, &[]);

    assert_eq!(first, second);
    assert_ne!(first, third);
}

/// Guards against more requests on a replica than it has slots, and against a retry on a failed replica while another has
/// a free slot.
#[test]
fn full_and_failed_replicas_are_skipped() {
    let replicas = [replica("r1", "a", 1), replica("r2", "a", 1)];
    let mut slots = SlotRegistry::default();
    let failed = [ReplicaId::new("r1")];

    let retry = chosen(&replicas, &slots, None, &failed);
    fill(&mut slots, "r2", 1);
    let only_failed_left = chosen(&replicas, &slots, None, &failed);
    fill(&mut slots, "r1", 1);
    let full = chosen(&replicas, &slots, None, &[]);

    assert_eq!(
        (retry.as_str(), only_failed_left.as_str(), full.as_str()),
        ("r2", "r1", "")
    );
}
