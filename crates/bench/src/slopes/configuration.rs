//! Check of API keys, and memory and updates of the configuration snapshot, in one process.

use guava_core::config::Kind;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::OrganisationName;
use guava_core::keys::{KeyHasher, PresentedKey, new_key};
use guava_core::snapshot::Snapshot;
use rand_chacha::ChaCha8Rng;

use super::{Series, gossip, seeded_rng};
use crate::allocator::retained_bytes;
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 4] = [1_000, 5_000, 10_000, 25_000];
/// Configuration objects at the design size; `docs/CAPACITY.md` shows how they add up.
const DESIGN_SIZE: f64 = 19_700.0;
const KEY_CHECKS: u64 = 10_000;
const COPIES: u64 = 5;
const APPLIED_CHANGES: u64 = 1_000;

fn key_entry(hasher: &KeyHasher, index: usize, rng: &mut ChaCha8Rng) -> (Entry, String) {
    let id = format!("k{index}");
    let new = new_key(hasher, &id, &OrganisationName::new("callers"), rng);
    let entry = Entry {
        key: EntryKey::Config(Kind::Key, id),
        version: Version::default(),
        value: serde_json::to_vec(&new.key).unwrap_or_default(),
    };
    (entry, new.text)
}

fn is_accepted(snapshot: &Snapshot, hasher: &KeyHasher, text: &str) -> bool {
    let Ok(presented) = PresentedKey::parse(text) else {
        return false;
    };
    let stored = snapshot.keys.get(presented.id);
    stored.is_some_and(|it| !it.withdrawn && hasher.matches(&presented, it))
}

pub(super) fn measure() -> Vec<Series> {
    let mut check = Series::new("key check", "keys", "ns", 10_000.0);
    let mut keys_memory = Series::new("snapshot: memory of keys", "keys", "B", 10_000.0);
    let mut memory = Series::new("snapshot: memory of backend servers", "objects", "B", DESIGN_SIZE);
    let mut copy = Series::new("snapshot: copy for a batch of changes", "objects", "µs", DESIGN_SIZE);
    let mut apply = Series::new("snapshot: application of one change", "objects", "ns", DESIGN_SIZE);
    let hasher = KeyHasher::new(b"pepper of the benchmark");
    let mut rng = seeded_rng();
    for size in SIZES {
        let (entries, texts): (Vec<Entry>, Vec<String>) = (0..size).map(|it| key_entry(&hasher, it, &mut rng)).unzip();
        let build_snapshot = |entries: &[Entry]| {
            let mut snapshot = Snapshot::default();
            for entry in entries {
                snapshot.apply(entry);
            }
            snapshot
        };
        let (snapshot, retained) = retained_bytes(|| build_snapshot(&entries));
        keys_memory.add_point(size, retained);
        let object_index = |index: u64| index as usize * 7919 % size;
        check.add_point(
            size,
            ns_per_call(KEY_CHECKS, |it| {
                std::hint::black_box(is_accepted(&snapshot, &hasher, &texts[object_index(it)]));
            }),
        );
        let servers: Vec<Entry> = (0..size).map(|it| gossip::server_entry(it, 1)).collect();
        let (mut snapshot, retained) = retained_bytes(|| build_snapshot(&servers));
        memory.add_point(size, retained);
        let (copies, ns) = timed(|| (0..COPIES).map(|_| snapshot.clone()).collect::<Vec<_>>());
        copy.add_point(size, ns / 1e3 / COPIES as f64);
        drop(copies);
        apply.add_point(
            size,
            ns_per_call(APPLIED_CHANGES, |it| snapshot.apply(&servers[object_index(it)])),
        );
    }
    vec![check, keys_memory, memory, copy, apply]
}
