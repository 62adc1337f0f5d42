//! Cache of checkpoints that an engine keeps in memory and on disk.

use std::collections::VecDeque;

use guava_core::ids::ModelName;

use crate::settings::EngineSettings;
use crate::{CachedCheckpoint, Tier};

/// Checkpoint caches of an engine, one for each tier that it holds itself.
#[derive(Debug)]
pub(crate) struct Tiers {
    memory: TierCache,
    disk: TierCache,
}

#[derive(Debug)]
pub(crate) struct TierCache {
    max_bytes: u64,
    /// Model, version and size in bytes, least recently loaded first.
    entries: VecDeque<(ModelName, u64, u64)>,
}

impl Tiers {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let empty_cache = |max_bytes| TierCache {
            max_bytes,
            entries: VecDeque::new(),
        };
        let mut tiers = Self {
            memory: empty_cache(settings.memory_tier_bytes),
            disk: empty_cache(settings.disk_tier_bytes),
        };
        for it in &settings.cached {
            match it.tier {
                Tier::Memory => tiers.memory.store(&it.model, it.version, 0),
                Tier::Disk => tiers.disk.store(&it.model, it.version, 0),
                Tier::Remote => (),
            }
        }
        tiers
    }

    /// Returns the fastest tier that holds the checkpoint, or `None` if it must be loaded remotely.
    pub(crate) fn find(&self, model: &ModelName, version: u64) -> Option<Tier> {
        let in_memory = self.memory.contains(model, version).then_some(Tier::Memory);
        in_memory.or_else(|| self.disk.contains(model, version).then_some(Tier::Disk))
    }

    /// Adds a checkpoint that has just been loaded to both tiers.
    pub(crate) fn store(&mut self, model: &ModelName, version: u64, bytes: u64) {
        self.memory.store(model, version, bytes);
        self.disk.store(model, version, bytes);
    }

    /// Lists every cached checkpoint once, with its fastest tier.
    pub(crate) fn cached(&self) -> Vec<CachedCheckpoint> {
        let only_on_disk = self.disk.entries.iter().filter(|it| !self.memory.contains(&it.0, it.1));
        let memory = self.memory.entries.iter().map(|it| (it, Tier::Memory));
        let disk = only_on_disk.map(|it| (it, Tier::Disk));
        let checkpoint = |((model, version, _), tier): (&(ModelName, u64, u64), Tier)| CachedCheckpoint {
            model: model.clone(),
            version: *version,
            tier,
        };
        memory.chain(disk).map(checkpoint).collect()
    }
}

impl TierCache {
    pub(crate) fn contains(&self, model: &ModelName, version: u64) -> bool {
        self.entries.iter().any(|it| it.0 == *model && it.1 == version)
    }

    /// Adds a checkpoint or marks it as the most recently loaded, then evicts the oldest ones beyond the size limit.
    pub(crate) fn store(&mut self, model: &ModelName, version: u64, bytes: u64) {
        self.entries.retain(|it| !(it.0 == *model && it.1 == version));
        self.entries.push_back((model.clone(), version, bytes));
        let mut total_bytes = self.entries.iter().map(|it| it.2).sum::<u64>();
        while total_bytes > self.max_bytes
            && let Some((_, _, evicted_bytes)) = self.entries.pop_front()
        {
            total_bytes -= evicted_bytes;
        }
    }
}
