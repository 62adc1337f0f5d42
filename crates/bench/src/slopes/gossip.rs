//! Memory, updates and messages of the gossip map of one member.

use guava_core::config::Kind;
use guava_core::gossip::{FANOUT, GossipMap};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::Term;

use super::Series;
use super::membership::HEX_CHARS_PER_BYTE;
use crate::allocator::retained_bytes;
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 4] = [1_000, 10_000, 25_000, 50_000];
/// Entries at the design size; `docs/CAPACITY.md` shows how they add up.
pub(super) const DESIGN_SIZE: f64 = 34_000.0;
const MERGES: u64 = 2_000;
const DIGESTS: u64 = 2_000;
/// Total size of entries at which the runtime ends a pull response.
const MAX_PULL_BYTES: usize = 1_000_000;
const UPDATED_SEQUENCE: u64 = 2;

/// Entry of a backend server, the most frequent kind of entry.
pub(super) fn server_entry(index: usize, sequence: u64) -> Entry {
    let name = format!("runner-{index:05}");
    let spec = serde_json::json!({
        "name": name, "addr": format!("10.1.{}.{}:8000", index / 250 % 250, index % 250), "zone": "zone-3",
        "pool": format!("pool-{:03}", index / 100), "memory_bytes": 640_u64 << 30, "checks_fence": true,
        "forgets_orders": false, "draining": false,
    });
    Entry {
        key: EntryKey::Config(Kind::Server, name),
        version: Version {
            term: Term(0),
            sequence,
        },
        value: spec.to_string().into_bytes(),
    }
}

fn filled_map(size: usize) -> GossipMap {
    let mut map = GossipMap::default();
    (0..size).for_each(|it| {
        map.merge(server_entry(it, 1));
    });
    map.take_pushes(usize::MAX);
    map
}

pub(super) fn measure() -> Vec<Series> {
    let mut memory = Series::new("gossip map: memory", "entries", "B", DESIGN_SIZE);
    let mut merge = Series::new("gossip map: merge of a change", "entries", "ns", DESIGN_SIZE);
    let mut merge_known = Series::new("gossip map: merge of a known version", "entries", "ns", DESIGN_SIZE);
    let mut digest = Series::new("gossip map: digest for a heartbeat", "entries", "ns", DESIGN_SIZE);
    let mut pull = Series::new(
        "gossip map: answer to a pull of one bucket",
        "entries",
        "µs",
        DESIGN_SIZE,
    );
    let mut pull_bytes = Series::new(
        "gossip map: bytes of an answer to a pull of one bucket",
        "entries",
        "B",
        DESIGN_SIZE,
    );
    let mut recent_bytes = Series::new(
        "gossip map: bytes of an answer to a pull of the latest changes, one bucket",
        "entries",
        "B",
        DESIGN_SIZE,
    );
    let mut push_bytes = Series::new(
        "gossip map: bytes sent per change and member",
        "entries",
        "B",
        DESIGN_SIZE,
    );
    for size in SIZES {
        let (mut map, retained) = retained_bytes(|| filled_map(size));
        memory.add_point(size, retained);
        let entry_index = |index: u64| (index as usize * 7919) % size;
        let changes: Vec<Entry> = (0..MERGES)
            .map(|it| server_entry(entry_index(it), UPDATED_SEQUENCE))
            .collect();
        let mut duplicates = changes.clone().into_iter();
        let mut changes = changes.into_iter();
        merge.add_point(
            size,
            ns_per_call(MERGES, |_| {
                changes.next().and_then(|it| map.merge(it));
            }),
        );
        merge_known.add_point(
            size,
            ns_per_call(MERGES, |_| {
                duplicates.next().and_then(|it| map.merge(it));
            }),
        );
        digest.add_point(
            size,
            ns_per_call(DIGESTS, |_| {
                std::hint::black_box(map.digest());
            }),
        );
        let ((entries, _), ns) = timed(|| map.entries_of(&[5], MAX_PULL_BYTES));
        pull.add_point(size, ns / 1e3);
        let encoded = postcard::to_allocvec(&entries).map_or(0, |it| it.len());
        pull_bytes.add_point(size, (encoded * HEX_CHARS_PER_BYTE) as f64);
        let encoded = postcard::to_allocvec(&map.recent_of(&[5])).map_or(0, |it| it.len());
        recent_bytes.add_point(size, (encoded * HEX_CHARS_PER_BYTE) as f64);
        map.take_pushes(usize::MAX);
        map.merge(server_entry(3, UPDATED_SEQUENCE + 1));
        let encoded: usize = map
            .take_pushes(usize::MAX)
            .iter()
            .map(|it| postcard::to_allocvec(it).map_or(0, |it| it.len()))
            .sum();
        push_bytes.add_point(size, (encoded * FANOUT) as f64);
    }
    vec![
        memory,
        merge,
        merge_known,
        digest,
        pull,
        pull_bytes,
        recent_bytes,
        push_bytes,
    ]
}
