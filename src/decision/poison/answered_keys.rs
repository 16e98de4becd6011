//! Keys of requests that were lately answered.

use super::evidence::SuspectKey;
use std::collections::HashMap;
use std::mem;
use std::time::{Duration, Instant};

/// Time for which an answer is remembered.
const ANSWERED_MEMORY: Duration = Duration::from_secs(300);

/// Maximum keys of one generation.
const MAX_GENERATION_KEYS: usize = 32_768;

/// Last answer of each key, in two generations of which the older one is dropped when the newer one
/// is full.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredKeys {
    newer: HashMap<SuspectKey, Instant>,
    older: HashMap<SuspectKey, Instant>,
}

impl AnsweredKeys {
    pub(super) fn insert(&mut self, key: SuspectKey, now: Instant) {
        if self.newer.len() >= MAX_GENERATION_KEYS && !self.newer.contains_key(&key) {
            self.older = mem::take(&mut self.newer);
        }
        self.newer.insert(key, now);
    }

    pub(super) fn answered_at(&self, key: SuspectKey) -> Option<Instant> {
        self.newer.get(&key).or_else(|| self.older.get(&key)).copied()
    }

    /// Returns whether a request with the key was answered within the remembered time.
    pub(super) fn contains(&self, key: SuspectKey, now: Instant) -> bool {
        self.answered_at(key).is_some_and(|answered_at| now < answered_at + ANSWERED_MEMORY)
    }
}
