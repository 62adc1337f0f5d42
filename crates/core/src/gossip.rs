//! Map of versioned entries that all processes converge to.
//!
//! Merging keeps the larger version, so the order of arrival does not matter. The map keeps a digest of each of its
//! buckets up to date, so that two processes find the buckets in which they differ by comparing 64 numbers.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use rand::RngCore;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::config::Kind;
use crate::spread::{Entry, EntryKey, Version};

/// Number of buckets with a digest of their own.
pub const BUCKETS: usize = 64;

/// Members to which a change is pushed.
pub const FANOUT: usize = 3;

/// Largest sum of encoded entries in one push; leaves room for the datagram's header within 1,200 bytes.
pub const PUSH_BYTES: usize = 1_100;

/// Latest changes that are offered before whole buckets are.
pub const RECENT: usize = 256;

/// Digests of all buckets.
pub type Digests = [u64; BUCKETS];

derive_value! {
    /// Notice of an entry that is too large for a datagram and must be pulled.
    pub struct Notice {
        /// Key of the entry.
        pub key: EntryKey,
        /// Version that the sender has.
        pub version: Version,
    }

    /// Entries pushed in one datagram.
    #[derive(Default)]
    pub struct Push {
        /// Entries.
        pub entries: Vec<Arc<Entry>>,
        /// Entries that do not fit into a datagram.
        pub notices: Vec<Notice>,
    }
}

/// Entries with the digests of their buckets and the queue of changes to push.
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
    /// Entry of `key`, tombstones included.
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

    /// Largest version of configuration of `kind`.
    pub fn newest(&self, kind: Kind) -> Version {
        self.newest.get(&kind).copied().unwrap_or_default()
    }

    /// Whether a merge of this version of `key` would change the map.
    pub fn is_news(&self, key: &EntryKey, version: Version) -> bool {
        self.entries.get(key).is_none_or(|known| known.version < version)
    }

    /// Keeps the entry when its version is larger than the known one, and queues it to be pushed.
    ///
    /// Of two values with the same version the larger one is kept, so that all members still converge when a writer
    /// uses a version twice.
    pub fn merge(&mut self, entry: Entry) -> Option<Arc<Entry>> {
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
        if self.queued.insert(entry.key.clone()) {
            self.queue.push_back(entry.key.clone());
        }
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(entry.key.clone());
        let entry = Arc::new(entry);
        self.entries.insert(entry.key.clone(), Arc::clone(&entry));
        Some(entry)
    }

    /// Digests of all buckets.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Digest of the whole map.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|it| it.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// Buckets in which `theirs` differs.
    pub fn differing(&self, theirs: &Digests) -> Vec<usize> {
        (0..BUCKETS).filter(|it| self.digests[*it] != theirs[*it]).collect()
    }

    /// Entries of the given buckets, in order of bucket, until their values exceed `limit` bytes.
    ///
    /// A bucket is returned whole; the flag tells whether buckets are missing. The receiver then asks again with its
    /// new digests.
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
    /// A difference is nearly always a change that a push did not reach; a whole bucket would cost a hundred times its
    /// size.
    pub fn recent_of(&self, buckets: &[usize]) -> Vec<Arc<Entry>> {
        let keys: HashSet<&EntryKey> = self.recent.iter().collect();
        keys.into_iter()
            .filter(|it| buckets.contains(&bucket_of(it)))
            .filter_map(|it| self.entries.get(it).cloned())
            .collect()
    }

    /// Whether changes wait to be pushed.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Empties the queue into pushes of at most [`PUSH_BYTES`] each.
    pub fn take_pushes(&mut self) -> Vec<Push> {
        let mut pushes = Vec::new();
        let mut push = Push::default();
        let mut bytes = 0;
        while let Some(key) = self.queue.pop_front() {
            self.queued.remove(&key);
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            let whole = encoded_len(entry);
            let fits = whole <= PUSH_BYTES;
            let size = if fits { whole } else { whole - entry.value.len() };
            if bytes + size > PUSH_BYTES && bytes > 0 {
                pushes.push(std::mem::take(&mut push));
                bytes = 0;
            }
            bytes += size;
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

/// Chooses up to [`FANOUT`] receivers of a push.
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

/// Upper bound of the entry's length in a datagram.
fn encoded_len(entry: &Entry) -> usize {
    const VERSION_AND_LENGTHS: usize = 30;
    encoded_key(&entry.key).len() + VERSION_AND_LENGTHS + entry.value.len()
}
