//! Prefix cache with limited memory and the events it publishes.
//!
//! A prompt is cut into blocks; the hash of a block covers all blocks before it, so that equal hashes mean equal
//! prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use guava_core::{derive_scalar, derive_value};
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::completion::BYTES_PER_TOKEN;

/// Tokens of one block.
pub(crate) const BLOCK_TOKENS: usize = 16;
const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;
/// Events kept for readers.
const EVENT_LIMIT: usize = 8_192;

derive_scalar! {
    /// What happened to a block.
    #[serde(rename_all = "snake_case")]
    pub enum CacheEventKind {
        /// It is in the cache now.
        Stored,
        /// It is no longer in the cache.
        Evicted,
    }
}

derive_value! {
    /// A change of the prefix cache.
    pub struct CacheEvent {
        /// Number of the event; a missing number is a lost event.
        pub sequence: u64,
        /// Kind.
        pub kind: CacheEventKind,
        /// Model.
        pub model: String,
        /// Hexadecimal hash of the block and all before it.
        pub block: String,
    }

    /// Answer to `GET /control/cache-events`.
    pub struct CacheEvents {
        /// Value of `since` for the next read.
        pub next: u64,
        /// Events published after `since`.
        pub events: Vec<CacheEvent>,
    }
}

/// Prefix cache of one engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: usize,
    delay: Duration,
    gap_every: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    clock: u64,
    blocks: HashMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

#[derive(Debug)]
struct Block {
    used: u64,
    model: String,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize, delay: Duration, gap_every: u64) -> Self {
        Self {
            limit,
            delay,
            gap_every,
            state: Mutex::default(),
        }
    }

    /// Stores the blocks of a prompt and returns the tokens that were cached before.
    pub(crate) fn visit(&self, model: &str, prompt: &[u8]) -> usize {
        if self.limit == 0 || prompt.len() < BLOCK_BYTES {
            return 0;
        }
        let seed = xxh3_64_with_seed(model.as_bytes(), 0);
        let hashes = prompt.chunks_exact(BLOCK_BYTES).scan(seed, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        });
        let hashes = hashes.take(self.limit).collect::<Vec<_>>();
        let mut state = self.state.lock();
        let cached = hashes.iter().take_while(|hash| state.blocks.contains_key(hash)).count();
        for &hash in &hashes {
            self.touch(&mut state, model, hash);
        }
        while state.blocks.len() > self.limit
            && let Some((_, hash)) = state.by_use.pop_first()
        {
            if let Some(block) = state.blocks.remove(&hash) {
                self.publish(&mut state, CacheEventKind::Evicted, block.model, hash);
            }
        }
        cached * BLOCK_TOKENS
    }

    /// Events after `since` whose delay has passed.
    pub(crate) fn events(&self, since: u64) -> CacheEvents {
        let state = self.state.lock();
        let published = state.events.iter().take_while(|(at, _)| at.elapsed() >= self.delay);
        let events = published
            .filter(|(_, event)| event.sequence > since)
            .map(|(_, event)| event.clone());
        let events = events.collect::<Vec<_>>();
        CacheEvents {
            next: events.last().map_or(since, |event| event.sequence),
            events,
        }
    }

    fn touch(&self, state: &mut State, model: &str, hash: u64) {
        state.clock += 1;
        let used = state.clock;
        state.by_use.insert(used, hash);
        if let Some(block) = state.blocks.get_mut(&hash) {
            let earlier = std::mem::replace(&mut block.used, used);
            state.by_use.remove(&earlier);
            return;
        }
        let model = model.to_owned();
        state.blocks.insert(
            hash,
            Block {
                used,
                model: model.clone(),
            },
        );
        self.publish(state, CacheEventKind::Stored, model, hash);
    }

    fn publish(&self, state: &mut State, kind: CacheEventKind, model: String, hash: u64) {
        state.sequence += 1;
        let sequence = state.sequence;
        if self.gap_every > 0 && sequence.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            sequence,
            kind,
            model,
            block: format!("{hash:016x}"),
        };
        state.events.push_back((Instant::now(), event));
        if state.events.len() > EVENT_LIMIT {
            state.events.pop_front();
        }
    }
}
