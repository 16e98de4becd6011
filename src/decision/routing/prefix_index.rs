//! What this node believes to be cached where, by prefix key.

use super::config::RoutingConfig;
use super::fleet::ServerIndex;
use super::homes::PrefixRate;
use crate::types::Incarnation;
use std::collections::VecDeque;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;
use std::time::Instant;

/// Entries that the eviction hand looks at for each new prefix.
const EVICTION_SCAN_ENTRIES: usize = 3;

/// Prefixes by key; a clone shares all entries.
pub type PrefixMap = imbl::GenericHashMap<
    u64,
    Arc<PrefixEntry>,
    BuildHasherDefault<KeyHasher>,
    imbl::shared_ptr::DefaultSharedPtr,
>;

/// Hasher of prefix keys, which are hashes already.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }
}

/// Server that is believed to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// Server.
    pub server: ServerIndex,
    /// Incarnation that stored the prefix; the belief is void for any other.
    pub incarnation: Incarnation,
    /// When the server last stored or used the prefix, as far as this node knows.
    pub used_at: Instant,
}

/// Prefix kept by the KV store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredTokens {
    /// Tokens kept, 0 if none.
    pub tokens: u32,
    /// Until when the answer of the store is relied on.
    pub valid_until: Instant,
}

/// What is known of a prefix.
#[derive(Clone, Debug)]
pub struct PrefixEntry {
    /// Holders, at most one a server.
    pub holders: Vec<Holder>,
    /// Rate of requests from this node and the homes that follow from it.
    pub rate: PrefixRate,
    /// What the KV store keeps, none if it was not asked.
    pub stored: Option<StoredTokens>,
    /// When the entry was last used.
    pub used_at: Instant,
}

impl PrefixEntry {
    fn new(now: Instant) -> Self {
        Self { holders: Vec::new(), rate: PrefixRate::new(now), stored: None, used_at: now }
    }

    fn add_holder(&mut self, holder: Holder, max_holders: usize) {
        if let Some(known) = self.holders.iter_mut().find(|known| known.server == holder.server) {
            *known = holder;
            return;
        }
        if self.holders.len() < max_holders {
            // Most prefixes have one or two holders; a doubled capacity would cost more than they do.
            self.holders.reserve_exact(1);
            self.holders.push(holder);
            return;
        }
        let oldest = self.holders.iter_mut().min_by_key(|known| known.used_at);
        if let Some(oldest) = oldest.filter(|oldest| oldest.used_at <= holder.used_at) {
            *oldest = holder;
        }
    }
}

/// Index of believed prefixes, bounded in size.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    entries: PrefixMap,
    eviction_queue: VecDeque<u64>,
}

impl PrefixIndex {
    /// Returns the entries; the clone shares them with the index.
    pub fn entries(&self) -> PrefixMap {
        self.entries.clone()
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: u64) -> Option<&PrefixEntry> {
        self.entries.get(&key).map(Arc::as_ref)
    }

    /// Takes in that `holder` holds the prefix `key`.
    pub fn add_holder(&mut self, key: u64, holder: Holder, config: &RoutingConfig, now: Instant) {
        let entry = self.entry_or_insert(key, config, now);
        entry.add_holder(holder, config.max_holders);
    }

    /// Takes in that `server` no longer holds the prefix `key`.
    pub fn remove_holder(&mut self, key: u64, server: ServerIndex) {
        let is_held =
            |entry: &Arc<PrefixEntry>| entry.holders.iter().any(|holder| holder.server == server);
        if !self.entries.get(&key).is_some_and(is_held) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            Arc::make_mut(entry).holders.retain(|holder| holder.server != server);
        }
    }

    /// Returns the entry of `key`, made if it is new; a full index evicts another for it.
    pub fn entry_or_insert(
        &mut self,
        key: u64,
        config: &RoutingConfig,
        now: Instant,
    ) -> &mut PrefixEntry {
        if !self.entries.contains_key(&key) {
            self.evict_entries(config, now);
            self.eviction_queue.push_back(key);
        }
        let entry = self.entries.entry(key).or_insert_with(|| Arc::new(PrefixEntry::new(now)));
        let entry = Arc::make_mut(entry);
        entry.used_at = now;
        entry
    }

    /// Drops expired entries under the hand and, in a full index, the least recently used of some.
    fn evict_entries(&mut self, config: &RoutingConfig, now: Instant) {
        let mut oldest: Option<u64> = None;
        let mut oldest_used_at = now;
        for _ in 0..EVICTION_SCAN_ENTRIES {
            let Some(key) = self.eviction_queue.pop_front() else { break };
            let Some(used_at) = self.entries.get(&key).map(|entry| entry.used_at) else { continue };
            if used_at + config.max_cache_lifetime < now {
                self.entries.remove(&key);
                continue;
            }
            self.eviction_queue.push_back(key);
            if oldest.is_none() || used_at < oldest_used_at {
                oldest = Some(key);
                oldest_used_at = used_at;
            }
        }
        if self.entries.len() < config.max_prefixes {
            return;
        }
        if let Some(key) = oldest {
            self.entries.remove(&key);
            self.remove_requeued(key);
        }
    }

    /// Takes `key`, which the hand has just passed, off the hand's round.
    fn remove_requeued(&mut self, key: u64) {
        let from = self.eviction_queue.len().saturating_sub(EVICTION_SCAN_ENTRIES);
        let position = self.eviction_queue.iter().skip(from).position(|&passed| passed == key);
        if let Some(position) = position {
            self.eviction_queue.remove(from + position);
        }
    }
}
