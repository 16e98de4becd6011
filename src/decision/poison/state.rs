//! Strikes of a node, its own and its partners'.

use super::{Fingerprint, MOST_STRIKES, Strike, Suspicion};
use imbl::HashMap;
use std::time::{Duration, Instant};

/// Time for which a strike counts.
const STRIKE_LIFETIME: Duration = Duration::from_secs(3_600);

/// Most fingerprints that are remembered; the one whose strikes end first makes room.
const MOST_FINGERPRINTS: usize = 4_096;

/// Strike with the time at which it is forgotten.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LiveStrike {
    strike: Strike,
    forgotten_at: Instant,
    is_cleared: bool,
}

impl LiveStrike {
    fn is_same_crash(&self, other: &Self) -> bool {
        let (own, other) = (&self.strike, &other.strike);
        own.server == other.server && own.incarnation == other.incarnation
    }
}

/// Strikes known to a node.
#[derive(Clone, Debug, Default)]
pub struct PoisonState {
    strikes: HashMap<Fingerprint, Vec<LiveStrike>>,
}

/// Immutable view of the strikes.
#[derive(Clone, Debug, Default)]
pub struct PoisonView {
    strikes: HashMap<Fingerprint, Vec<LiveStrike>>,
}

impl PoisonState {
    /// Adds `strike`; returns whether it was new, so that partners are to be told.
    pub fn add(&mut self, strike: Strike, now: Instant) -> bool {
        self.forget(now);
        if self.is_known(&strike) {
            return false;
        }
        if self.strikes.len() >= MOST_FINGERPRINTS {
            self.make_room();
        }
        let forgotten_at = now + STRIKE_LIFETIME;
        let fingerprint = strike.fingerprint;
        self.strikes.entry(fingerprint).or_default().push(LiveStrike {
            strike,
            forgotten_at,
            is_cleared: false,
        });
        true
    }

    /// Clears a request that ran to its end: what crashed its servers was another one.
    ///
    /// The cleared strikes stay known, so that a partner that tells them again changes nothing.
    pub fn exonerate(&mut self, fingerprint: Fingerprint) {
        if let Some(strikes) = self.strikes.get_mut(&fingerprint) {
            strikes.iter_mut().for_each(|live| live.is_cleared = true);
        }
    }

    /// Returns all strikes, for a partner that has just connected.
    pub fn strikes(&self) -> Vec<Strike> {
        let all = self.strikes.values().flatten().filter(|live| !live.is_cleared);
        all.map(|live| live.strike.clone()).collect()
    }

    /// Returns a view that shares the strikes.
    pub fn view(&self) -> PoisonView {
        PoisonView { strikes: self.strikes.clone() }
    }

    fn is_known(&self, strike: &Strike) -> bool {
        let known = self.strikes.get(&strike.fingerprint);
        known.is_some_and(|known| known.iter().any(|live| live.strike == *strike))
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |live: &LiveStrike| live.forgotten_at <= now;
        if !self.strikes.values().flatten().any(is_old) {
            return;
        }
        self.strikes = std::mem::take(&mut self.strikes)
            .into_iter()
            .filter_map(|(fingerprint, mut strikes)| {
                strikes.retain(|live| !is_old(live));
                (!strikes.is_empty()).then_some((fingerprint, strikes))
            })
            .collect();
    }

    fn make_room(&mut self) {
        let last = |strikes: &[LiveStrike]| strikes.iter().map(|live| live.forgotten_at).max();
        let oldest = self.strikes.iter().min_by_key(|(_, strikes)| last(strikes));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.strikes.remove(&fingerprint);
        }
    }
}

impl PoisonView {
    /// Returns what is to be done with the request of `fingerprint`.
    ///
    /// Strikes of one server count once: a server that crashes again and again by itself does not
    /// condemn the request that keeps being sent to it. A request that shares all its crashes with
    /// another one stays a suspect up to one further crash, since only one of them is the cause.
    pub fn suspicion(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let Some(strikes) = self.strikes.get(&fingerprint) else { return Suspicion::None };
        let live: Vec<&LiveStrike> =
            strikes.iter().filter(|live| live.forgotten_at > now && !live.is_cleared).collect();
        let mut servers: Vec<_> = live.iter().map(|live| &live.strike.server).collect();
        servers.sort_unstable();
        servers.dedup();
        match (servers.len(), live.iter().map(|live| live.forgotten_at).max()) {
            (0, _) | (_, None) => Suspicion::None,
            (count, Some(until)) if count > MOST_STRIKES => Suspicion::Refused { until },
            (MOST_STRIKES, Some(until)) if !self.is_shared(fingerprint, &live) => {
                Suspicion::Refused { until }
            }
            _ => Suspicion::Suspect,
        }
    }

    /// Returns whether another request has all of the `crashes` too.
    fn is_shared(&self, fingerprint: Fingerprint, crashes: &[&LiveStrike]) -> bool {
        self.strikes.iter().filter(|(other, _)| **other != fingerprint).any(|(_, strikes)| {
            crashes.iter().all(|crash| {
                strikes.iter().any(|live| !live.is_cleared && live.is_same_crash(crash))
            })
        })
    }
}
