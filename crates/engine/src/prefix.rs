//! Prefix cache of limited size, and the events that report its changes.
//!
//! A prompt is split into blocks. The hash of a block also covers all blocks before it, so equal hashes mean equal
//! prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use guava_core::{derive_scalar, derive_value};
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::completion::BYTES_PER_TOKEN;

/// Number of tokens in a block.
pub(crate) const BLOCK_TOKENS: usize = 16;
const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;
/// Maximum number of events kept; the oldest are dropped first.
const MAX_EVENTS: usize = 8_192;

derive_scalar! {
    /// Kind of change to a block.
    #[serde(rename_all = "snake_case")]
    pub enum CacheEventKind {
        /// The block was added to the cache.
        Stored,
        /// The block was removed from the cache.
        Evicted,
    }
}

derive_value! {
    /// One change to the prefix cache.
    pub struct CacheEvent {
        /// Number of the event, from 1 without gaps; a missing number means that an event was lost.
        pub sequence: u64,
        /// Whether the block was stored or evicted.
        pub kind: CacheEventKind,
        /// Model or adapter that the prompt was for.
        pub model: String,
        /// Hash of the block and all blocks before it, as 16 hexadecimal digits.
        pub block: String,
    }

    /// Answer to `GET /control/cache-events`.
    pub struct CacheEvents {
        /// Value to pass as `since` in the next read.
        pub next: u64,
        /// Published events with a number above `since`, in order.
        pub events: Vec<CacheEvent>,
    }
}

/// Prefix cache of one engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    max_blocks: usize,
    publish_delay: Duration,
    /// Events whose number is a multiple of this are lost; 0 for none.
    lose_every: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of uses of blocks so far; serves as the time of a use.
    use_count: u64,
    /// Cached blocks by hash.
    blocks: HashMap<u64, Block>,
    /// Hashes of the cached blocks, least recently used first.
    hash_by_last_use: BTreeMap<u64, u64>,
    /// Number of the latest event.
    sequence: u64,
    /// Events with the time at which they occurred.
    events: VecDeque<(Instant, CacheEvent)>,
}

#[derive(Debug)]
struct Block {
    last_use: u64,
    model: String,
}

impl PrefixCache {
    pub(crate) fn new(max_blocks: usize, publish_delay: Duration, lose_every: u64) -> Self {
        Self {
            max_blocks,
            publish_delay,
            lose_every,
            state: Mutex::default(),
        }
    }

    /// Stores the blocks of a prompt and returns how many of its leading tokens were cached already.
    pub(crate) fn lookup_and_store(&self, model: &str, prompt: &[u8]) -> usize {
        if self.max_blocks == 0 || prompt.len() < BLOCK_BYTES {
            return 0;
        }
        let seed = xxh3_64_with_seed(model.as_bytes(), 0);
        let hashes = prompt.chunks_exact(BLOCK_BYTES).scan(seed, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        });
        let hashes = hashes.take(self.max_blocks).collect::<Vec<_>>();
        let mut state = self.state.lock();
        let cached_blocks = hashes.iter().take_while(|hash| state.blocks.contains_key(hash)).count();
        for &hash in &hashes {
            self.mark_used(&mut state, model, hash);
        }
        while state.blocks.len() > self.max_blocks
            && let Some((_, hash)) = state.hash_by_last_use.pop_first()
        {
            if let Some(block) = state.blocks.remove(&hash) {
                self.publish(&mut state, CacheEventKind::Evicted, block.model, hash);
            }
        }
        cached_blocks * BLOCK_TOKENS
    }

    /// Returns the events with a number above `since` whose publication delay has passed.
    pub(crate) fn events(&self, since: u64) -> CacheEvents {
        let state = self.state.lock();
        let published = state
            .events
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.publish_delay);
        let events = published
            .filter(|(_, event)| event.sequence > since)
            .map(|(_, event)| event.clone());
        let events = events.collect::<Vec<_>>();
        CacheEvents {
            next: events.last().map_or(since, |event| event.sequence),
            events,
        }
    }

    fn mark_used(&self, state: &mut State, model: &str, hash: u64) {
        state.use_count += 1;
        let last_use = state.use_count;
        state.hash_by_last_use.insert(last_use, hash);
        if let Some(block) = state.blocks.get_mut(&hash) {
            let previous_use = std::mem::replace(&mut block.last_use, last_use);
            state.hash_by_last_use.remove(&previous_use);
            return;
        }
        let model = model.to_owned();
        state.blocks.insert(
            hash,
            Block {
                last_use,
                model: model.clone(),
            },
        );
        self.publish(state, CacheEventKind::Stored, model, hash);
    }

    fn publish(&self, state: &mut State, kind: CacheEventKind, model: String, hash: u64) {
        state.sequence += 1;
        let sequence = state.sequence;
        if self.lose_every > 0 && sequence.is_multiple_of(self.lose_every) {
            return;
        }
        let event = CacheEvent {
            sequence,
            kind,
            model,
            block: format!("{hash:016x}"),
        };
        state.events.push_back((Instant::now(), event));
        if state.events.len() > MAX_EVENTS {
            state.events.pop_front();
        }
    }
}
