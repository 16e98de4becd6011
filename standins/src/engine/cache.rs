//! Prefix cache of an engine: blocks in order of use, and the levels that requests named in it.

use lru::LruCache;
use std::collections::{BTreeSet, HashMap};
use std::num::NonZeroUsize;

/// Level of a prompt as named by a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixLevel {
    /// Key of the prefix.
    pub key: u64,
    /// Whole blocks up to the end of the level.
    pub blocks: usize,
}

/// Change of a named level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LevelChange {
    /// The prefix is cached up to `blocks`.
    Stored {
        /// Key of the prefix.
        key: u64,
        /// Whole blocks up to the end of the level.
        blocks: usize,
    },
    /// The prefix is no longer wholly cached.
    Evicted {
        /// Key of the prefix.
        key: u64,
    },
}

/// Bounded cache of blocks; the least recently used block goes first.
pub struct BlockCache {
    blocks: LruCache<u64, ()>,
    level_keys: HashMap<u64, BTreeSet<u64>>,
}

impl BlockCache {
    /// Returns an empty cache of `capacity` blocks, at least one.
    pub fn new(capacity: usize) -> Self {
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        Self { blocks: LruCache::new(capacity), level_keys: HashMap::new() }
    }

    /// Returns how many of the leading `hashes` are cached, without counting as a use.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains(hash)).count()
    }

    /// Stores all `hashes` of a prompt and returns the changes of named levels.
    pub fn store(&mut self, hashes: &[u64], levels: &[PrefixLevel]) -> Vec<LevelChange> {
        let mut changes = Vec::new();
        // The last block is used first, so that a prefix loses its end before its start.
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
