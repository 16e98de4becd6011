//! Bounded index of the prefixes that servers are believed to have cached, by prefix key.

use super::config::RoutingConfig;
use super::fleet::ServerIndex;
use super::homes::PrefixRate;
use crate::types::Incarnation;
use std::collections::VecDeque;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;
use std::time::Instant;

/// Entries examined for eviction for each new prefix.
const EVICTION_SCAN_ENTRIES: usize = 3;

/// Prefix entries by key; a clone shares all entries.
pub type PrefixMap = imbl::GenericHashMap<
    u64,
    Arc<PrefixEntry>,
    BuildHasherDefault<KeyHasher>,
    imbl::shared_ptr::DefaultSharedPtr,
>;

/// Pass-through hasher: prefix keys are hashes already.
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

/// Server believed to have a prefix cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// Index of the server.
    pub server: ServerIndex,
    /// Incarnation that cached the prefix; a later one starts with an empty cache.
    pub incarnation: Incarnation,
    /// Last known time at which the server cached or used the prefix.
    pub used_at: Instant,
}

/// Answer of the KV store for a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredTokens {
    /// Stored tokens, 0 if none.
    pub tokens: u32,
    /// When the answer expires.
    pub valid_until: Instant,
}

/// Holders, request rate and stored tokens of a prefix.
#[derive(Clone, Debug)]
pub struct PrefixEntry {
    /// Holders, at most one entry per server.
    pub holders: Vec<Holder>,
    /// Request rate from this node, and the number of homes derived from it.
    pub rate: PrefixRate,
    /// Last answer of the KV store, `None` if it was not queried.
    pub stored: Option<StoredTokens>,
    /// When the prefix was last requested, cached or looked up in the KV store.
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
            // Most prefixes have one or two holders; amortised growth would waste memory.
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

/// Index of prefixes, bounded in size; evicts entries that were not used recently.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    entries: PrefixMap,
    /// Keys of all entries in the order in which they are examined for eviction.
    eviction_queue: VecDeque<u64>,
}

impl PrefixIndex {
    /// Returns a clone of the entries that shares them with the index.
    pub fn entries(&self) -> PrefixMap {
        self.entries.clone()
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the index has no prefixes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: u64) -> Option<&PrefixEntry> {
        self.entries.get(&key).map(Arc::as_ref)
    }

    /// Adds or updates a holder of the prefix `key`; a full entry drops its oldest holder.
    pub fn add_holder(&mut self, key: u64, holder: Holder, config: &RoutingConfig, now: Instant) {
        let entry = self.entry_or_insert(key, config, now);
        entry.add_holder(holder, config.max_holders);
    }

    /// Removes `server` from the holders of the prefix `key`.
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

    /// Returns the entry of `key`, created if missing; a full index evicts another one first.
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

    /// Removes expired entries among those examined and, in a full index, the least recently used
    /// of them.
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

    /// Removes `key`, which [`Self::evict_entries`] has just put back, from the eviction queue.
    fn remove_requeued(&mut self, key: u64) {
        let from = self.eviction_queue.len().saturating_sub(EVICTION_SCAN_ENTRIES);
        let position = self.eviction_queue.iter().skip(from).position(|&requeued| requeued == key);
        if let Some(position) = position {
            self.eviction_queue.remove(from + position);
        }
    }
}
