//! Strikes by key, merged from all nodes.

use super::evidence::{KeyStrike, REFUSAL_RANK, SuspectKey};
use crate::types::{Incarnation, ServerId};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the last strike in which a key is refused; doubles with each crash of a chain that is
/// long enough for a refusal.
const FIRST_BLOCK_PERIOD: Duration = Duration::from_secs(30);

/// Maximum time after the last strike in which a key is refused.
const MAX_BLOCK_PERIOD: Duration = Duration::from_secs(600);

/// Maximum doublings of the time in which a key is refused.
const MAX_DOUBLINGS: u32 = 5;

/// Time after which a strike expires.
const STRIKE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum keys with strikes; the one with the lowest rank is evicted.
const MAX_KEYS: usize = 4_096;

/// Maximum strikes of a key; the oldest one is evicted.
const MAX_STRIKES_PER_KEY: usize = 64;

/// Server that crashed, and its incarnation.
pub(super) type Crash = (ServerId, Incarnation);

/// Strike against a key.
#[derive(Clone, Debug)]
pub(super) struct RecordedStrike {
    pub(super) crash: Crash,
    pub(super) rank: u32,
    is_cleared: bool,
    /// When this node first heard of the crash.
    recorded_at: Instant,
    /// When the server crashed.
    pub(super) crashed_at: Instant,
    expires_at: Instant,
}

impl RecordedStrike {
    /// Returns `None` for a strike that has expired.
    fn new(strike: &KeyStrike, now: Instant) -> Option<Self> {
        let age = Duration::from_millis(strike.age_ms);
        let lifetime = STRIKE_LIFETIME.checked_sub(age).filter(|left| !left.is_zero())?;
        Some(Self {
            crash: (strike.server.clone(), strike.incarnation),
            rank: strike.rank,
            is_cleared: strike.is_cleared,
            recorded_at: now,
            crashed_at: now.checked_sub(age).unwrap_or(now),
            expires_at: now + lifetime,
        })
    }

    fn is_live(&self, now: Instant) -> bool {
        !self.is_cleared && now < self.expires_at
    }

    /// Merges another report of the same crash; returns whether partners must hear of the result.
    fn merge(&mut self, other: &Self) -> bool {
        let is_news = other.rank > self.rank || other.is_cleared && !self.is_cleared;
        self.rank = self.rank.max(other.rank);
        self.is_cleared |= other.is_cleared;
        self.crashed_at = self.crashed_at.min(other.crashed_at);
        self.expires_at = self.expires_at.min(other.expires_at);
        is_news
    }

    fn to_strike(&self, key: SuspectKey, now: Instant) -> KeyStrike {
        let left = self.expires_at.saturating_duration_since(now);
        let age_ms = STRIKE_LIFETIME.saturating_sub(left).as_millis();
        KeyStrike {
            key,
            server: self.crash.0.clone(),
            incarnation: self.crash.1,
            rank: self.rank,
            is_cleared: self.is_cleared,
            age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX),
        }
    }
}

/// Strikes by key. Cleared and expired ones are kept within the bounds, so that a partner that sends
/// them again does not revive them.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyStrikes {
    strikes: HashMap<SuspectKey, Vec<RecordedStrike>>,
}

impl KeyStrikes {
    /// Returns the highest rank of the live strikes of `key`, 0 without any.
    pub(super) fn rank(&self, key: SuspectKey, now: Instant) -> u32 {
        self.strikes.get(&key).map_or(0, |strikes| highest_rank(strikes, now))
    }

    /// Like `rank`, of the strikes that this node knew at `known_at`.
    pub(super) fn rank_known_at(&self, key: SuspectKey, known_at: Instant, now: Instant) -> u32 {
        let known = self.live(key, now).filter(|strike| strike.recorded_at <= known_at);
        known.map(|strike| strike.rank).max().unwrap_or(0)
    }

    /// Returns when a refusal because of `key` ends, which may be in the past, `None` without live
    /// strikes.
    pub(super) fn refused_until(&self, key: SuspectKey, now: Instant) -> Option<Instant> {
        let convictions = self.live(key, now).filter(|strike| strike.rank >= REFUSAL_RANK);
        let doublings = (convictions.count().saturating_sub(1) as u32).min(MAX_DOUBLINGS);
        let period = (FIRST_BLOCK_PERIOD * 2_u32.pow(doublings)).min(MAX_BLOCK_PERIOD);
        self.live(key, now).map(|strike| strike.crashed_at + period).max()
    }

    /// Returns the keys that have strikes, cleared and expired ones too.
    pub(super) fn keys(&self) -> impl Iterator<Item = SuspectKey> {
        self.strikes.keys().copied()
    }

    /// Merges a strike; returns whether it changed anything.
    pub(super) fn merge(&mut self, strike: KeyStrike, now: Instant) -> bool {
        let Some(new) = RecordedStrike::new(&strike, now) else { return false };
        if self.strikes.len() >= MAX_KEYS && !self.strikes.contains_key(&strike.key) {
            self.evict_key(now);
        }
        let known = self.strikes.entry(strike.key).or_default();
        if let Some(same) = known.iter_mut().find(|same| same.crash == new.crash) {
            return same.merge(&new);
        }
        if known.len() >= MAX_STRIKES_PER_KEY {
            evict_strike(known);
        }
        known.push(new);
        true
    }

    /// Whether all crashes of the live strikes of `key` were before `at`; false without any.
    pub(super) fn are_crashes_before(&self, key: SuspectKey, at: Instant, now: Instant) -> bool {
        let mut crashes = self.live(key, now).map(|strike| strike.crashed_at).peekable();
        crashes.peek().is_some() && crashes.all(|crashed_at| crashed_at < at)
    }

    /// Clears the strikes of `key`; returns those that were live.
    pub(super) fn clear(&mut self, key: SuspectKey, now: Instant) -> Vec<KeyStrike> {
        let Some(strikes) = self.strikes.get_mut(&key) else { return Vec::new() };
        let live = strikes.iter_mut().filter(|strike| strike.is_live(now));
        live.map(|strike| {
            strike.is_cleared = true;
            strike.to_strike(key, now)
        })
        .collect()
    }

    /// Returns all strikes that have not expired.
    pub(super) fn all(&self, now: Instant) -> Vec<KeyStrike> {
        let strikes =
            self.strikes.iter().flat_map(|(key, of_key)| of_key.iter().map(|one| (*key, one)));
        strikes
            .filter(|(_, strike)| now < strike.expires_at)
            .map(|(key, strike)| strike.to_strike(key, now))
            .collect()
    }

    /// Returns the strikes of `key` that are neither cleared nor expired.
    pub(super) fn live(
        &self,
        key: SuspectKey,
        now: Instant,
    ) -> impl Iterator<Item = &RecordedStrike> {
        self.strikes.get(&key).into_iter().flatten().filter(move |strike| strike.is_live(now))
    }

    /// Evicts the key with the lowest rank, of several the one that expires first. Cleared strikes
    /// count, since a partner could revive the refusal of a key that was cleared and then evicted.
    fn evict_key(&mut self, now: Instant) {
        let priority = |strikes: &[RecordedStrike]| {
            let unexpired = strikes.iter().filter(|strike| now < strike.expires_at);
            unexpired.map(|strike| (strike.rank, strike.expires_at)).max()
        };
        let lowest = self.strikes.iter().min_by_key(|(_, strikes)| priority(strikes));
        if let Some(key) = lowest.map(|(key, _)| *key) {
            self.strikes.remove(&key);
        }
    }
}

fn highest_rank(strikes: &[RecordedStrike], now: Instant) -> u32 {
    let live = strikes.iter().filter(|strike| strike.is_live(now));
    live.map(|strike| strike.rank).max().unwrap_or(0)
}

fn evict_strike(strikes: &mut Vec<RecordedStrike>) {
    let oldest = strikes.iter().enumerate().min_by_key(|(_, strike)| strike.expires_at);
    if let Some(index) = oldest.map(|(index, _)| index) {
        strikes.swap_remove(index);
    }
}
