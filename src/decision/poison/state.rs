//! Strikes that a node knows of, its own and those of its partners.

use super::{Fingerprint, REFUSAL_STRIKES, Strike, Suspicion};
use imbl::HashMap;
use std::time::{Duration, Instant};

/// Time after which a strike expires.
const STRIKE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of fingerprints with strikes; the one whose strikes expire first is evicted.
const MAX_FINGERPRINTS: usize = 4_096;

/// Strike with its expiry and whether it was cleared.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RecordedStrike {
    strike: Strike,
    expires_at: Instant,
    is_cleared: bool,
}

impl RecordedStrike {
    fn is_same_crash(&self, other: &Self) -> bool {
        let (this, other) = (&self.strike, &other.strike);
        this.server == other.server && this.incarnation == other.incarnation
    }
}

/// Strikes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct PoisonState {
    strikes: HashMap<Fingerprint, Vec<RecordedStrike>>,
}

/// Immutable view of the strikes, with which traffic threads check requests.
#[derive(Clone, Debug, Default)]
pub struct PoisonView {
    strikes: HashMap<Fingerprint, Vec<RecordedStrike>>,
}

impl PoisonState {
    /// Adds `strike`; returns whether it is new and must be sent to the partners.
    pub fn add(&mut self, strike: Strike, now: Instant) -> bool {
        self.remove_expired(now);
        if self.is_known(&strike) {
            return false;
        }
        if self.strikes.len() >= MAX_FINGERPRINTS {
            self.evict_oldest();
        }
        let expires_at = now + STRIKE_LIFETIME;
        let fingerprint = strike.fingerprint;
        self.strikes.entry(fingerprint).or_default().push(RecordedStrike {
            strike,
            expires_at,
            is_cleared: false,
        });
        true
    }

    /// Clears the strikes of a request that ran to completion: another request caused its crashes.
    ///
    /// The strikes are kept as cleared, so that a partner that sends them again does not revive
    /// them.
    pub fn clear_strikes(&mut self, fingerprint: Fingerprint) {
        if let Some(strikes) = self.strikes.get_mut(&fingerprint) {
            strikes.iter_mut().for_each(|recorded| recorded.is_cleared = true);
        }
    }

    /// Returns all strikes that are not cleared, for a partner that has just connected.
    pub fn strikes(&self) -> Vec<Strike> {
        let all = self.strikes.values().flatten().filter(|recorded| !recorded.is_cleared);
        all.map(|recorded| recorded.strike.clone()).collect()
    }

    /// Returns a view that shares the strikes.
    pub fn view(&self) -> PoisonView {
        PoisonView { strikes: self.strikes.clone() }
    }

    fn is_known(&self, strike: &Strike) -> bool {
        let known = self.strikes.get(&strike.fingerprint);
        known.is_some_and(|known| known.iter().any(|recorded| recorded.strike == *strike))
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_expired = |recorded: &RecordedStrike| recorded.expires_at <= now;
        if !self.strikes.values().flatten().any(is_expired) {
            return;
        }
        self.strikes = std::mem::take(&mut self.strikes)
            .into_iter()
            .filter_map(|(fingerprint, mut strikes)| {
                strikes.retain(|recorded| !is_expired(recorded));
                (!strikes.is_empty()).then_some((fingerprint, strikes))
            })
            .collect();
    }

    fn evict_oldest(&mut self) {
        let last =
            |strikes: &[RecordedStrike]| strikes.iter().map(|recorded| recorded.expires_at).max();
        let oldest = self.strikes.iter().min_by_key(|(_, strikes)| last(strikes));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.strikes.remove(&fingerprint);
        }
    }
}

impl PoisonView {
    /// Returns how to treat the request with `fingerprint`.
    ///
    /// Strikes of one server count once, so that a server that crashes repeatedly for other reasons
    /// does not cause the refusal of the requests sent to it. A request that shares all its crashes
    /// with another one is refused only after one further strike, since one of the two is innocent.
    pub fn suspicion(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let Some(strikes) = self.strikes.get(&fingerprint) else { return Suspicion::None };
        let live: Vec<&RecordedStrike> = strikes
            .iter()
            .filter(|recorded| recorded.expires_at > now && !recorded.is_cleared)
            .collect();
        let mut servers: Vec<_> = live.iter().map(|recorded| &recorded.strike.server).collect();
        servers.sort_unstable();
        servers.dedup();
        match (servers.len(), live.iter().map(|recorded| recorded.expires_at).max()) {
            (0, _) | (_, None) => Suspicion::None,
            (count, Some(until)) if count > REFUSAL_STRIKES => Suspicion::Refused { until },
            (REFUSAL_STRIKES, Some(until)) if !self.is_shared(fingerprint, &live) => {
                Suspicion::Refused { until }
            }
            _ => Suspicion::Suspect,
        }
    }

    /// Returns whether another request has all of the `crashes` too.
    fn is_shared(&self, fingerprint: Fingerprint, crashes: &[&RecordedStrike]) -> bool {
        self.strikes.iter().filter(|(other, _)| **other != fingerprint).any(|(_, strikes)| {
            crashes.iter().all(|crash| {
                strikes.iter().any(|recorded| !recorded.is_cleared && recorded.is_same_crash(crash))
            })
        })
    }
}
