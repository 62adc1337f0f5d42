//! The gossip map at one member.

use guava_core::config::Kind;
use guava_core::gossip::{FANOUT, GossipMap};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::Term;

use super::Series;
use super::membership::HEX;
use crate::allocator::kept_bytes;
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 4] = [1_000, 10_000, 25_000, 50_000];
/// Entries at the design size; `docs/CAPACITY.md` shows the sum.
pub(super) const DESIGN: f64 = 34_000.0;
const MERGES: u64 = 2_000;
const DIGESTS: u64 = 2_000;
/// Sum of sizes after which the runtime cuts an answer to a pull.
const PULL_BYTES: usize = 1_000_000;
const UPDATED: u64 = 2;

/// Entry of a backend server, the most frequent kind.
pub(super) fn entry(index: usize, sequence: u64) -> Entry {
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

fn filled(size: usize) -> GossipMap {
    let mut map = GossipMap::default();
    (0..size).for_each(|it| {
        map.merge(entry(it, 1));
    });
    map.take_pushes(usize::MAX);
    map
}

pub(super) fn measure() -> Vec<Series> {
    let mut memory = Series::new("gossip map: memory", "entries", "B", DESIGN);
    let mut merge = Series::new("gossip map: merge of a change", "entries", "ns", DESIGN);
    let mut known = Series::new("gossip map: merge of a known version", "entries", "ns", DESIGN);
    let mut digest = Series::new("gossip map: digest for a heartbeat", "entries", "ns", DESIGN);
    let mut repair = Series::new("gossip map: answer to a pull of one bucket", "entries", "µs", DESIGN);
    let mut pulled = Series::new(
        "gossip map: bytes of an answer to a pull of one bucket",
        "entries",
        "B",
        DESIGN,
    );
    let mut recent = Series::new(
        "gossip map: bytes of an answer to a pull of the latest changes, one bucket",
        "entries",
        "B",
        DESIGN,
    );
    let mut pushed = Series::new("gossip map: bytes sent per change and member", "entries", "B", DESIGN);
    for size in SIZES {
        let (mut map, kept) = kept_bytes(|| filled(size));
        memory.add(size, kept);
        let at = |index: u64| (index as usize * 7919) % size;
        let changes: Vec<Entry> = (0..MERGES).map(|it| entry(at(it), UPDATED)).collect();
        let mut again = changes.clone().into_iter();
        let mut changes = changes.into_iter();
        merge.add(
            size,
            ns_per_call(MERGES, |_| {
                changes.next().and_then(|it| map.merge(it));
            }),
        );
        known.add(
            size,
            ns_per_call(MERGES, |_| {
                again.next().and_then(|it| map.merge(it));
            }),
        );
        digest.add(
            size,
            ns_per_call(DIGESTS, |_| {
                std::hint::black_box(map.digest());
            }),
        );
        let ((entries, _), ns) = timed(|| map.entries_of(&[5], PULL_BYTES));
        repair.add(size, ns / 1e3);
        let encoded = postcard::to_allocvec(&entries).map_or(0, |it| it.len());
        pulled.add(size, (encoded * HEX) as f64);
        let encoded = postcard::to_allocvec(&map.recent_of(&[5])).map_or(0, |it| it.len());
        recent.add(size, (encoded * HEX) as f64);
        map.take_pushes(usize::MAX);
        map.merge(entry(3, UPDATED + 1));
        let encoded: usize = map
            .take_pushes(usize::MAX)
            .iter()
            .map(|it| postcard::to_allocvec(it).map_or(0, |it| it.len()))
            .sum();
        pushed.add(size, (encoded * FANOUT) as f64);
    }
    vec![memory, merge, known, digest, repair, pulled, recent, pushed]
}
