//! Prompt prefixes that were read lately, and where: on which server, and whether the store of kept
//! KV cache has them.

use super::prompt::PrefixKey;
use crate::types::ServerId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a prefix in the store counts as kept; a store of this size replaces its content
/// within minutes.
const STORED_LIFETIME: Duration = Duration::from_secs(45);

/// Time for which a save that was asked for is not asked for again.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which a server counts as holding a prefix after its last use; engines evict within
/// seconds.
const LIKELY_CACHED_PERIOD: Duration = Duration::from_secs(8);

/// Time after its last use in which a server surely holds a prefix.
const SURELY_CACHED_PERIOD: Duration = Duration::from_secs(2);

/// Prefixes remembered at most.
const MAX_PREFIXES: usize = 16_384;

#[derive(Clone, Debug, Default)]
struct PrefixRecord {
    stored_until: Option<Instant>,
    saving_until: Option<Instant>,
    held: Option<Held>,
}

/// Last use of a prefix.
#[derive(Clone, Debug)]
struct Held {
    server: ServerId,
    used_at: Instant,
}

/// Prefix with the server that reads it.
pub type CachedPrefix = (PrefixKey, ServerId);

/// Prefixes that were read lately.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    prefixes: HashMap<PrefixKey, PrefixRecord>,
    newly_stored: Vec<PrefixKey>,
    newly_cached: Vec<CachedPrefix>,
}

impl PrefixIndex {
    /// Takes in that a server was asked to save the prefixes `keys` to the store.
    pub fn add_stored(&mut self, keys: &[PrefixKey], now: Instant) {
        for key in keys {
            if !self.is_stored(*key, now) {
                self.newly_stored.push(*key);
                self.set_stored(*key, now);
            }
        }
    }

    /// Takes in that a server is asked to save the prefixes `keys`.
    pub fn mark_saving(&mut self, keys: &[PrefixKey], now: Instant) {
        for key in keys {
            self.entry(*key, now).saving_until = Some(now + SAVE_RETRY_DELAY);
        }
    }

    /// Whether a prefix is neither stored nor being saved.
    pub fn needs_save(&self, key: PrefixKey, now: Instant) -> bool {
        let saving = self.prefixes.get(&key).and_then(|prefix| prefix.saving_until);
        !self.is_stored(key, now) && saving.is_none_or(|until| until <= now)
    }

    /// Takes in prefixes that partners had saved.
    pub fn add_stored_by_partner(&mut self, keys: &[PrefixKey], now: Instant) {
        keys.iter().for_each(|key| self.set_stored(*key, now));
    }

    /// Returns the prefixes that this node had saved since the last call.
    pub fn take_newly_stored(&mut self) -> Vec<PrefixKey> {
        std::mem::take(&mut self.newly_stored)
    }

    /// Whether the store has a prefix.
    pub fn is_stored(&self, key: PrefixKey, now: Instant) -> bool {
        let until = self.prefixes.get(&key).and_then(|prefix| prefix.stored_until);
        until.is_some_and(|until| now < until)
    }

    /// Takes in that `server` reads the prefixes `keys`; `is_told` says whether other nodes are to
    /// know of the deepest.
    pub fn add_cached(
        &mut self,
        keys: &[PrefixKey],
        server: &ServerId,
        is_announced: bool,
        now: Instant,
    ) {
        keys.iter().for_each(|key| self.set_cached(*key, server, now));
        if let Some(deepest) = keys.last().filter(|_| is_announced) {
            self.newly_cached.push((*deepest, server.clone()));
        }
    }

    /// Takes in prefixes that servers read for other nodes.
    pub fn add_cached_by_partner(&mut self, held: &[CachedPrefix], now: Instant) {
        held.iter().for_each(|(key, server)| self.set_cached(*key, server, now));
    }

    /// Returns the prefixes that servers read for this node since the last call.
    pub fn take_newly_cached(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.newly_cached)
    }

    /// Returns the server that read a prefix last, if it may still hold it.
    pub fn likely_cached_on(&self, key: PrefixKey, now: Instant) -> Option<&ServerId> {
        let held = self.prefixes.get(&key)?.held.as_ref()?;
        (now < held.used_at + LIKELY_CACHED_PERIOD).then_some(&held.server)
    }

    /// Whether `server` read a prefix last, and so lately that it holds it.
    pub fn is_cached_on(&self, key: PrefixKey, server: &ServerId, now: Instant) -> bool {
        let held = self.prefixes.get(&key).and_then(|prefix| prefix.held.as_ref());
        held.is_some_and(|held| held.server == *server && now < held.used_at + SURELY_CACHED_PERIOD)
    }

    /// Forgets what the store kept, after it was lost.
    pub fn clear_stored(&mut self) {
        self.prefixes.values_mut().for_each(|prefix| prefix.stored_until = None);
        self.newly_stored.clear();
    }

    fn set_stored(&mut self, key: PrefixKey, now: Instant) {
        self.entry(key, now).stored_until = Some(now + STORED_LIFETIME);
    }

    fn set_cached(&mut self, key: PrefixKey, server: &ServerId, now: Instant) {
        self.entry(key, now).held = Some(Held { server: server.clone(), used_at: now });
    }

    fn entry(&mut self, key: PrefixKey, now: Instant) -> &mut PrefixRecord {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, prefix| {
                prefix.stored_until.is_some_and(|until| now < until)
                    || prefix
                        .held
                        .as_ref()
                        .is_some_and(|held| now < held.used_at + LIKELY_CACHED_PERIOD)
            });
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
        self.prefixes.entry(key).or_default()
    }
}
