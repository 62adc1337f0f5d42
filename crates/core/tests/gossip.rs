//! Compares the gossip map with a naive map in which the last arrival wins.

use std::collections::HashMap;
use std::sync::Arc;

use guava_core::config::Kind;
use guava_core::gossip::{FANOUT, GossipMap, PUSH_BYTES, choose_receivers};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::Term;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn entry(name: u8, term: u64, sequence: u64) -> Entry {
    let version = Version {
        term: Term(term),
        sequence,
    };
    // Every fourth write is a deletion.
    let value = if sequence % 4 == 3 {
        Vec::new()
    } else {
        format!("{term}.{sequence}").into_bytes()
    };
    Entry {
        key: EntryKey::Config(Kind::Model, format!("m{name}")),
        version,
        value,
    }
}

fn merge_all(entries: &[Entry]) -> GossipMap {
    let mut map = GossipMap::default();
    for it in entries {
        map.merge(it.clone());
    }
    map
}

/// Naive map: keeps the last arrival of each key.
fn last_arrival(entries: &[Entry]) -> HashMap<EntryKey, Entry> {
    entries.iter().map(|it| (it.key.clone(), it.clone())).collect()
}

fn newest(entries: &[Entry]) -> HashMap<EntryKey, Version> {
    let mut newest = HashMap::new();
    for it in entries {
        let known: &mut Version = newest.entry(it.key.clone()).or_default();
        *known = it.version.max(*known);
    }
    newest
}

fn any_entries() -> impl Strategy<Value = Vec<Entry>> {
    let any_entry = (0_u8..6, 0_u64..3, 1_u64..20).prop_map(|(name, term, sequence)| entry(name, term, sequence));
    prop::collection::vec(any_entry, 0..60)
}

/// Stores the seeds of failed cases next to this file.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against reverted values and against divergence when entries arrive late, repeated or reordered.
    #[test]
    fn order_of_arrival_does_not_matter(entries in any_entries(), shuffled in any_entries().prop_shuffle(), seed: u64) {
        let mut arrivals = [entries.clone(), shuffled, entries].concat();
        let first = merge_all(&arrivals);
        rand::seq::SliceRandom::shuffle(arrivals.as_mut_slice(), &mut ChaCha8Rng::seed_from_u64(seed));
        let second = merge_all(&arrivals);

        for (key, version) in newest(&arrivals) {
            prop_assert_eq!(first.get(&key).unwrap().version, version);
        }
        prop_assert_eq!(first.digests(), second.digests());
        prop_assert_eq!(first.digest(), second.digest());
    }

    /// Guards against differences that the digests do not reveal or that a pull does not repair.
    #[test]
    fn pulling_differing_buckets_makes_maps_equal(ours in any_entries(), theirs in any_entries()) {
        let mut ours = merge_all(&ours);
        let theirs = merge_all(&theirs);
        let has_same_entries = |a: &GossipMap, b: &GossipMap| {
            a.len() == b.len() && a.iter().all(|it| b.get(&it.key) == Some(it))
        };
        prop_assert_eq!(has_same_entries(&ours, &theirs), ours.digest() == theirs.digest());

        let mut theirs_after = theirs;
        for _ in 0..64 {
            let (entries, more) = theirs_after.entries_of(&theirs_after.differing(ours.digests()), 10);
            let their_missing = ours.entries_of(&ours.differing(theirs_after.digests()), usize::MAX).0;
            for entry in entries {
                ours.merge(Arc::unwrap_or_clone(entry));
            }
            for entry in their_missing {
                theirs_after.merge(Arc::unwrap_or_clone(entry));
            }
            if !more {
                break;
            }
        }
        prop_assert!(has_same_entries(&ours, &theirs_after));
    }
}

/// Guards against arrivals that would not reveal a missing version check: a late datagram must revert the naive map.
#[test]
fn naive_map_reverts() {
    let arrivals = [entry(1, 0, 1), entry(1, 0, 2), entry(1, 0, 1)];
    let key = &arrivals[0].key;

    let naive = last_arrival(&arrivals);
    let map = merge_all(&arrivals);

    assert_eq!(naive[key].version.sequence, 1);
    assert_eq!(map.get(key).unwrap().version.sequence, 2);
}

/// Guards against pushes above the size limit, lost changes and large entries without a notice.
#[test]
fn pushes_fit_into_datagrams_and_cover_all_changes() {
    let mut map = GossipMap::default();
    for name in 0..200 {
        map.merge(entry(name, 1, 1));
    }
    let large = Entry {
        value: vec![b'x'; 5_000],
        ..entry(250, 1, 1)
    };
    map.merge(large.clone());

    let mut pushes = map.take_pushes(2);
    assert_eq!(pushes.len(), 2);
    pushes.extend(map.take_pushes(usize::MAX));

    assert!(
        pushes
            .iter()
            .all(|it| postcard::to_allocvec(it).unwrap().len() <= PUSH_BYTES)
    );
    assert_eq!(pushes.iter().map(|it| it.entries.len()).sum::<usize>(), 200);
    let notices: Vec<_> = pushes.iter().flat_map(|it| &it.notices).collect();
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].key, large.key);
    assert!(!map.has_queued());
}

/// Guards against sending whole buckets for one missed change, and against omitting the changed entry.
#[test]
fn recent_changes_are_offered_alone() {
    let mut ours = merge_all(&(0..=255).map(|it| entry(it, 1, 1)).collect::<Vec<_>>());
    let mut theirs = merge_all(&(0..=255).map(|it| entry(it, 1, 1)).collect::<Vec<_>>());
    for name in 0..=255 {
        ours.merge(entry(name, 1, 2));
        theirs.merge(entry(name, 1, 2));
    }
    theirs.merge(entry(7, 1, 4));

    let offered = theirs.recent_of(&theirs.differing(ours.digests()));

    assert!(offered.iter().any(|it| **it == entry(7, 1, 4)));
    assert!(offered.len() < 20, "{} entries for one change", offered.len());
    assert!(theirs.recent_of(&[]).is_empty());
}

/// Guards against a push to fewer members than possible, or twice to the same member.
#[test]
fn receivers_are_distinct() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for count in 0..6_usize {
        let members: Vec<usize> = (0..count).collect();
        let mut chosen = choose_receivers(&members, &mut rng);
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen.len(), count.min(FANOUT));
    }
}
