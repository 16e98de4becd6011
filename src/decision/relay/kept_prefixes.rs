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
const SAVING_PERIOD: Duration = Duration::from_millis(1_500);

/// Time for which a server counts as holding a prefix after its last use; engines evict within
/// seconds.
const HELD_LIFETIME: Duration = Duration::from_secs(8);

/// Prefixes remembered at most.
const MOST_PREFIXES: usize = 16_384;

#[derive(Clone, Debug, Default)]
struct KeptPrefix {
    stored_until: Option<Instant>,
    saving_until: Option<Instant>,
    held: Option<(ServerId, Instant)>,
}

/// Prefixes that were read lately.
#[derive(Clone, Debug, Default)]
pub struct KeptPrefixes {
    prefixes: HashMap<PrefixKey, KeptPrefix>,
    newly_stored: Vec<PrefixKey>,
}

impl KeptPrefixes {
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
    pub fn add_saving(&mut self, keys: &[PrefixKey], now: Instant) {
        for key in keys {
            self.entry(*key, now).saving_until = Some(now + SAVING_PERIOD);
        }
    }

    /// Whether a prefix is neither stored nor being saved.
    pub fn is_unsaved(&self, key: PrefixKey, now: Instant) -> bool {
        let saving = self.prefixes.get(&key).and_then(|prefix| prefix.saving_until);
        !self.is_stored(key, now) && saving.is_none_or(|until| until <= now)
    }

    /// Takes in prefixes that partners had saved.
    pub fn add_stored_elsewhere(&mut self, keys: &[PrefixKey], now: Instant) {
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

    /// Takes in that `server` reads the prefixes `keys`.
    pub fn add_held(&mut self, keys: &[PrefixKey], server: &ServerId, now: Instant) {
        for key in keys {
            self.entry(*key, now).held = Some((server.clone(), now + HELD_LIFETIME));
        }
    }

    /// Returns the server that read a prefix last, if it may still hold it.
    pub fn holder(&self, key: PrefixKey, now: Instant) -> Option<&ServerId> {
        let (server, until) = self.prefixes.get(&key)?.held.as_ref()?;
        (now < *until).then_some(server)
    }

    /// Forgets what the store kept, after it was lost.
    pub fn forget_stored(&mut self) {
        self.prefixes.values_mut().for_each(|prefix| prefix.stored_until = None);
        self.newly_stored.clear();
    }

    fn set_stored(&mut self, key: PrefixKey, now: Instant) {
        self.entry(key, now).stored_until = Some(now + STORED_LIFETIME);
    }

    fn entry(&mut self, key: PrefixKey, now: Instant) -> &mut KeptPrefix {
        if self.prefixes.len() >= MOST_PREFIXES {
            self.prefixes.retain(|_, prefix| {
                prefix.stored_until.is_some_and(|until| now < until)
                    || prefix.held.as_ref().is_some_and(|(_, until)| now < *until)
            });
        }
        if self.prefixes.len() >= MOST_PREFIXES {
            self.prefixes.clear();
        }
        self.prefixes.entry(key).or_default()
    }
}
