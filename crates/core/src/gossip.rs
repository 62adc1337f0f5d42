//! Map of versioned entries that converges to the same content in all processes.
//!
//! A merge keeps the entry with the larger version, so the order of arrival does not matter. The map maintains a digest
//! of each of its buckets, so that two processes find the buckets in which they differ by comparing 64 numbers.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use rand::RngCore;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::config::Kind;
use crate::gossip_entry::{Entry, EntryKey, Version};

/// Number of buckets into which keys are hashed, each with its own digest.
pub const BUCKETS: usize = 64;

/// Number of members to which a change is pushed.
pub const FANOUT: usize = 3;

/// Maximum total length of the encoded entries in one push, in bytes. Leaves room for a header in a datagram of 1,200
/// bytes.
pub const PUSH_BYTES: usize = 1_100;

/// Number of latest changes that are kept, to be offered to another process before whole buckets are.
pub const RECENT: usize = 256;

/// Digests of all buckets, in order of bucket.
pub type Digests = [u64; BUCKETS];

derive_value! {
    /// Notice of an entry that is too large for a datagram and must be pulled.
    pub struct Notice {
        /// Key of the entry.
        pub key: EntryKey,
        /// Version of the entry at the sender.
        pub version: Version,
    }

    /// Entries pushed in one datagram.
    #[derive(Default)]
    pub struct Push {
        /// Entries that fit into the datagram.
        pub entries: Vec<Arc<Entry>>,
        /// Notices of entries that are too large for any datagram.
        pub notices: Vec<Notice>,
    }
}

/// Versioned entries with the digests of their buckets and a queue of changes to push.
#[derive(Debug)]
pub struct GossipMap {
    entries: HashMap<EntryKey, Arc<Entry>>,
    digests: Digests,
    newest: HashMap<Kind, Version>,
    queue: VecDeque<EntryKey>,
    queued: HashSet<EntryKey>,
    recent: VecDeque<EntryKey>,
}

impl Default for GossipMap {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            digests: [0; BUCKETS],
            newest: HashMap::new(),
            queue: VecDeque::new(),
            queued: HashSet::new(),
            recent: VecDeque::new(),
        }
    }
}

impl GossipMap {
    /// Entry of `key`, which may be a tombstone.
    pub fn get(&self, key: &EntryKey) -> Option<&Arc<Entry>> {
        self.entries.get(key)
    }

    /// All entries, tombstones included.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// Number of entries, tombstones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Largest version of any configuration entry of `kind`; zero when there is none.
    pub fn newest(&self, kind: Kind) -> Version {
        self.newest.get(&kind).copied().unwrap_or_default()
    }

    /// Whether the version is larger than that of the entry in the map, or the map has no entry of `key`.
    pub fn is_newer(&self, key: &EntryKey, version: Version) -> bool {
        self.entries.get(key).is_none_or(|known| known.version < version)
    }

    /// Stores the entry when it is newer than the one in the map, and queues it to be pushed.
    ///
    /// Returns the stored entry, or `None` when the map is unchanged.
    pub fn merge(&mut self, entry: Entry) -> Option<Arc<Entry>> {
        let entry = self.merge_without_push(entry)?;
        if self.queued.insert(entry.key.clone()) {
            self.queue.push_back(entry.key.clone());
        }
        Some(entry)
    }

    /// Stores the entry when it is newer than the one in the map, without pushing it.
    ///
    /// For entries that other members already have, such as those a process reads at start; pushing them would flood the
    /// network.
    ///
    /// Of two values with the same version the larger one is kept, so that all members still converge when a writer
    /// reuses a version. Returns the stored entry, or `None` when the map is unchanged.
    pub fn merge_without_push(&mut self, entry: Entry) -> Option<Arc<Entry>> {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|it| (it.version, &it.value) >= (entry.version, &entry.value)) {
            return None;
        }
        let bucket = bucket_of(&entry.key);
        let removed = known.map_or(0, |it| digest_of(it));
        self.digests[bucket] ^= removed ^ digest_of(&entry);
        if let EntryKey::Config(kind, _) = &entry.key {
            let newest = self.newest.entry(*kind).or_default();
            *newest = entry.version.max(*newest);
        }
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(entry.key.clone());
        let entry = Arc::new(entry);
        self.entries.insert(entry.key.clone(), Arc::clone(&entry));
        Some(entry)
    }

    /// Digests of all buckets, to be compared by another process with [`GossipMap::differing`].
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Digest of the whole map; equal for maps with equal entries.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|it| it.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// Numbers of the buckets whose digest differs from that in `theirs`.
    pub fn differing(&self, theirs: &Digests) -> Vec<usize> {
        (0..BUCKETS).filter(|it| self.digests[*it] != theirs[*it]).collect()
    }

    /// Entries of the given buckets, in that order, until their encoded length exceeds `limit` bytes.
    ///
    /// Buckets are never split. The flag is true when buckets are missing from the result; the receiver then requests
    /// them with its updated digests.
    pub fn entries_of(&self, buckets: &[usize], limit: usize) -> (Vec<Arc<Entry>>, bool) {
        let mut by_bucket: HashMap<usize, Vec<&Arc<Entry>>> = HashMap::new();
        for entry in self.entries.values() {
            by_bucket.entry(bucket_of(&entry.key)).or_default().push(entry);
        }
        let mut found = Vec::new();
        let mut bytes = 0;
        for bucket in buckets {
            if bytes > limit {
                return (found, true);
            }
            for entry in by_bucket.remove(bucket).unwrap_or_default() {
                bytes += encoded_len(entry);
                found.push(Arc::clone(entry));
            }
        }
        (found, false)
    }

    /// Entries of the given buckets that are among the latest [`RECENT`] changes.
    ///
    /// A difference is nearly always a change whose push was lost; the whole bucket would cost a hundred times its size.
    pub fn recent_of(&self, buckets: &[usize]) -> Vec<Arc<Entry>> {
        let keys: HashSet<&EntryKey> = self.recent.iter().collect();
        keys.into_iter()
            .filter(|it| buckets.contains(&bucket_of(it)))
            .filter_map(|it| self.entries.get(it).cloned())
            .collect()
    }

    /// Whether any changes are queued to be pushed.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Removes queued changes and returns them in up to `limit` pushes of at most [`PUSH_BYTES`] each.
    pub fn take_pushes(&mut self, limit: usize) -> Vec<Push> {
        let mut pushes = Vec::new();
        let mut push = Push::default();
        let mut bytes = 0;
        while let Some(key) = self.queue.pop_front() {
            let Some(entry) = self.entries.get(&key) else {
                self.queued.remove(&key);
                continue;
            };
            let full_len = encoded_len(entry);
            let fits = full_len <= PUSH_BYTES;
            let pushed_len = if fits { full_len } else { full_len - entry.value.len() };
            if bytes + pushed_len > PUSH_BYTES && bytes > 0 {
                pushes.push(std::mem::take(&mut push));
                bytes = 0;
                if pushes.len() >= limit {
                    self.queue.push_front(key);
                    break;
                }
            }
            bytes += pushed_len;
            self.queued.remove(&key);
            if fits {
                push.entries.push(Arc::clone(entry));
            } else {
                push.notices.push(Notice {
                    key,
                    version: entry.version,
                });
            }
        }
        if bytes > 0 {
            pushes.push(push);
        }
        pushes
    }
}

/// Chooses up to [`FANOUT`] distinct members at random to receive a push.
pub fn choose_receivers<T: Clone>(members: &[T], rng: &mut dyn RngCore) -> Vec<T> {
    let mut indexes: Vec<usize> = (0..members.len()).collect();
    let (chosen, _) = indexes.partial_shuffle(rng, FANOUT);
    chosen.iter().map(|it| members[*it].clone()).collect()
}

fn encoded_key(key: &EntryKey) -> Vec<u8> {
    postcard::to_allocvec(key).unwrap_or_default()
}

fn bucket_of(key: &EntryKey) -> usize {
    xxh3_64(&encoded_key(key)) as usize % BUCKETS
}

fn digest_of(entry: &Entry) -> u64 {
    let mut bytes = encoded_key(&entry.key);
    bytes.extend(entry.version.term.0.to_le_bytes());
    bytes.extend(entry.version.sequence.to_le_bytes());
    xxh3_64_with_seed(&entry.value, xxh3_64(&bytes))
}

/// Upper bound of the encoded length of an entry, in bytes.
fn encoded_len(entry: &Entry) -> usize {
    const VERSION_AND_LENGTHS: usize = 30;
    encoded_key(&entry.key).len() + VERSION_AND_LENGTHS + entry.value.len()
}
