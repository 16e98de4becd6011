//! Index of recently prefilled prompt prefixes: which server has them cached, and whether the
//! external store of KV cache has them.

use super::prompt::PrefixKey;
use crate::types::ServerId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a saved prefix counts as stored; a full store replaces its content within
/// minutes.
const STORED_LIFETIME: Duration = Duration::from_secs(45);

/// Time after a save request in which the same prefix is not saved again.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Time after its last use in which a prefix is likely still cached; engines evict within seconds.
const LIKELY_CACHED_FOR: Duration = Duration::from_secs(8);

/// Time after its last use in which a prefix is certainly still cached.
const SURELY_CACHED_FOR: Duration = Duration::from_secs(2);

/// Maximum prefixes in the index.
const MAX_PREFIXES: usize = 16_384;

/// What is known of one prefix.
#[derive(Clone, Debug, Default)]
struct PrefixRecord {
    /// Until when the prefix counts as stored.
    stored_until: Option<Instant>,
    /// Until when a save that was asked for is not repeated.
    saving_until: Option<Instant>,
    last_use: Option<LastUse>,
}

/// Last use of a prefix.
#[derive(Clone, Debug)]
struct LastUse {
    server: ServerId,
    used_at: Instant,
}

/// Prefix key with the server that has the prefix cached.
pub type CachedPrefix = (PrefixKey, ServerId);

/// Index of recently prefilled prefixes.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    prefixes: HashMap<PrefixKey, PrefixRecord>,
    /// Stored prefixes to report to partners.
    newly_stored: Vec<PrefixKey>,
    /// Cached prefixes to report to partners.
    newly_cached: Vec<CachedPrefix>,
}

impl PrefixIndex {
    /// Records that a server was asked to save the prefixes `keys` and answered the request.
    pub fn add_stored(&mut self, keys: &[PrefixKey], now: Instant) {
        for key in keys {
            if !self.is_stored(*key, now) {
                self.newly_stored.push(*key);
                self.set_stored(*key, now);
            }
        }
    }

    /// Marks the prefixes `keys` as being saved by a server.
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

    /// Records prefixes whose saving a partner reported.
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

    /// Records that `server` prefills the prefixes `keys`; `is_announced` says whether the
    /// deepest one is reported to partners.
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

    /// Records cached prefixes that a partner reported.
    pub fn add_cached_by_partner(&mut self, prefixes: &[CachedPrefix], now: Instant) {
        prefixes.iter().for_each(|(key, server)| self.set_cached(*key, server, now));
    }

    /// Returns the prefixes to announce that servers prefilled for this node since the last call.
    pub fn take_newly_cached(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.newly_cached)
    }

    /// Returns the server that last used a prefix, if the prefix is likely still cached there.
    pub fn likely_cached_on(&self, key: PrefixKey, now: Instant) -> Option<&ServerId> {
        let last_use = self.prefixes.get(&key)?.last_use.as_ref()?;
        (now < last_use.used_at + LIKELY_CACHED_FOR).then_some(&last_use.server)
    }

    /// Returns the chance from 0 to 1 that the server that last used a prefix still has it cached.
    pub fn cached_chance(&self, key: PrefixKey, now: Instant) -> f64 {
        let last_use = self.prefixes.get(&key).and_then(|prefix| prefix.last_use.as_ref());
        let Some(last_use) = last_use else { return 0.0 };
        let unsure_for = now.saturating_duration_since(last_use.used_at + SURELY_CACHED_FOR);
        let unsure_period = LIKELY_CACHED_FOR - SURELY_CACHED_FOR;
        (1.0 - unsure_for.as_secs_f64() / unsure_period.as_secs_f64()).max(0.0)
    }

    /// Whether a prefix is certainly still cached on `server`.
    pub fn is_cached_on(&self, key: PrefixKey, server: &ServerId, now: Instant) -> bool {
        let last_use = self.prefixes.get(&key).and_then(|prefix| prefix.last_use.as_ref());
        last_use
            .is_some_and(|used| used.server == *server && now < used.used_at + SURELY_CACHED_FOR)
    }

    /// Forgets all stored prefixes, after the store lost its content.
    pub fn clear_stored(&mut self) {
        self.prefixes.values_mut().for_each(|prefix| prefix.stored_until = None);
        self.newly_stored.clear();
    }

    fn set_stored(&mut self, key: PrefixKey, now: Instant) {
        self.entry(key, now).stored_until = Some(now + STORED_LIFETIME);
    }

    fn set_cached(&mut self, key: PrefixKey, server: &ServerId, now: Instant) {
        self.entry(key, now).last_use = Some(LastUse { server: server.clone(), used_at: now });
    }

    fn entry(&mut self, key: PrefixKey, now: Instant) -> &mut PrefixRecord {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, prefix| {
                prefix.stored_until.is_some_and(|until| now < until)
                    || prefix
                        .last_use
                        .as_ref()
                        .is_some_and(|last_use| now < last_use.used_at + LIKELY_CACHED_FOR)
            });
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
        self.prefixes.entry(key).or_default()
    }
}
