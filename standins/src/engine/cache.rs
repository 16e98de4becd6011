//! Prefix cache of an engine: an LRU cache of blocks, and the prefix levels cached in it.

use lru::LruCache;
use std::collections::{BTreeSet, HashMap};
use std::num::NonZeroUsize;

/// Level of a prompt: a prefix that a request names by its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixLevel {
    /// Prefix key.
    pub key: u64,
    /// Number of whole blocks in the prefix.
    pub blocks: usize,
}

/// Change of a prefix level in the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LevelChange {
    /// The prefix is now cached whole.
    Stored {
        /// Prefix key.
        key: u64,
        /// Number of whole blocks in the prefix.
        blocks: usize,
    },
    /// The prefix is no longer cached whole.
    Evicted {
        /// Prefix key.
        key: u64,
    },
}

/// Bounded cache of blocks, which evicts the least recently used block.
pub struct BlockCache {
    blocks: LruCache<u64, ()>,
    /// Keys of the levels that end with a block, by the block's hash.
    level_keys: HashMap<u64, BTreeSet<u64>>,
}

impl BlockCache {
    /// Returns an empty cache of `capacity` blocks, at least 1.
    pub fn new(capacity: usize) -> Self {
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        Self { blocks: LruCache::new(capacity), level_keys: HashMap::new() }
    }

    /// Returns the number of leading `hashes` that are cached, without marking them as used.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains(hash)).count()
    }

    /// Caches all blocks of a prompt and returns the changes of prefix levels.
    pub fn store(&mut self, hashes: &[u64], levels: &[PrefixLevel]) -> Vec<LevelChange> {
        let mut changes = Vec::new();
        // Pushed from the last block to the first, so that the end of a prefix is evicted first.
        for hash in hashes.iter().rev() {
            if let Some((evicted, ())) = self.blocks.push(*hash, ())
                && evicted != *hash
            {
                let keys = self.level_keys.remove(&evicted).unwrap_or_default();
                changes.extend(keys.into_iter().map(|key| LevelChange::Evicted { key }));
            }
        }
        for level in levels {
            let last = level.blocks.checked_sub(1).and_then(|last| hashes.get(last));
            let Some(last) = last.filter(|last| self.blocks.contains(last)) else { continue };
            if self.level_keys.entry(*last).or_default().insert(level.key) {
                changes.push(LevelChange::Stored { key: level.key, blocks: level.blocks });
            }
        }
        changes
    }
}
