//! What the strikes of a key prove against requests with it.
//!
//! Requests that a server runs at the same time are cut by the same crash, so that a sound one may
//! have the strikes of one that crashes servers. A crash does not count against a key if another
//! key with more crashes explains it. Keys with equally many crashes are tied: they run in turn, so
//! that the next answer or crash tells them apart.

use super::evidence::{REFUSAL_RANK, SuspectKey};
use super::key_strikes::{Crash, KeyStrikes, RecordedStrike};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time between the turns of tied keys.
const TURN_PERIOD: Duration = Duration::from_millis(2_000);

/// Time from the begin of its turn in which a key may run: what it crashes has crashed before the
/// next turn.
const TURN_ADMISSION_PERIOD: Duration = Duration::from_millis(1_000);

/// What the strikes of a key prove.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Proof {
    /// Too little for a refusal.
    None,
    /// The key or another one has caused the crashes.
    Tied {
        /// When the next turn begins, `None` if it is the turn of this key.
        next_turn_at: Option<Instant>,
    },
    /// The key has caused the crashes.
    Conclusive,
}

/// Another key that may explain crashes of a key, with its live strikes.
struct Rival<'a> {
    key: SuspectKey,
    strikes: Vec<&'a RecordedStrike>,
}

/// Keys that requests with some keys do not have, by the crashes that they may explain. Only requests with all of
/// their keys are refused, so that others explain crashes as well.
pub(super) struct OtherKeys<'a> {
    strikes: &'a KeyStrikes,
    excluded: HashSet<SuspectKey>,
    /// Number of keys by the number of their live strikes, for each crash.
    by_crash: HashMap<&'a Crash, HashMap<usize, usize>>,
    now: Instant,
}

impl<'a> OtherKeys<'a> {
    fn new(strikes: &'a KeyStrikes, excluded: HashSet<SuspectKey>, now: Instant) -> Self {
        let mut others = Self { strikes, excluded, by_crash: HashMap::new(), now };
        let mut by_crash: HashMap<&Crash, HashMap<usize, usize>> = HashMap::new();
        for rival in strikes.keys().filter_map(|key| others.rival(key)) {
            for strike in &rival.strikes {
                let by_count = by_crash.entry(&strike.crash).or_default();
                *by_count.entry(rival.strikes.len()).or_default() += 1;
            }
        }
        others.by_crash = by_crash;
        others
    }

    /// Returns a key with its strikes if it is another one, and may explain crashes.
    fn rival(&self, key: SuspectKey) -> Option<Rival<'a>> {
        if self.excluded.contains(&key) {
            return None;
        }
        let strikes: Vec<&RecordedStrike> = self.strikes.live(key, self.now).collect();
        reaches_refusal(&strikes).then_some(Rival { key, strikes })
    }

    /// Whether a key with more than `count` strikes explains a crash.
    fn stronger_explains(&self, crash: &Crash, count: usize) -> bool {
        let by_count = self.by_crash.get(crash);
        by_count.is_some_and(|by_count| by_count.keys().any(|other| *other > count))
    }

    /// Whether a key with `count` strikes explains a crash of `key`, which has as many.
    fn tied_explains(&self, crash: &Crash, count: usize, key: SuspectKey) -> bool {
        let tied = self.by_crash.get(crash).and_then(|by_count| by_count.get(&count));
        let own = usize::from(!self.excluded.contains(&key));
        tied.is_some_and(|tied| *tied > own)
    }

    /// Returns the keys with as many strikes as `key` that explain one of the crashes.
    fn tied(&self, key: SuspectKey, count: usize, crashes: &[&Crash]) -> Vec<Rival<'a>> {
        let keys = self.strikes.keys().filter(|other| *other != key);
        let rivals = keys.filter_map(|other| self.rival(other));
        let explains =
            |rival: &Rival<'_>| rival.strikes.iter().any(|one| crashes.contains(&&one.crash));
        rivals.filter(|rival| rival.strikes.len() == count && explains(rival)).collect()
    }
}

impl KeyStrikes {
    /// Returns the keys that requests with `keys` do not have, `None` if none of `keys` has strikes enough for a
    /// refusal.
    pub(super) fn others(&self, keys: &[SuspectKey], now: Instant) -> Option<OtherKeys<'_>> {
        let is_relevant = keys.iter().any(|key| self.rank(*key, now) >= REFUSAL_RANK);
        is_relevant.then(|| OtherKeys::new(self, keys.iter().copied().collect(), now))
    }

    /// Returns what the strikes of `key` prove against requests that lack the `others`, without that of the crash
    /// `except`.
    pub(super) fn proof(
        &self,
        key: SuspectKey,
        others: &OtherKeys<'_>,
        except: Option<&Crash>,
        now: Instant,
    ) -> Proof {
        let own: Vec<&RecordedStrike> = self.live(key, now).collect();
        if !reaches_refusal(&own) {
            return Proof::None;
        }
        let mut unexplained: Vec<&Crash> = own.iter().map(|strike| &strike.crash).collect();
        unexplained.retain(|crash| Some(*crash) != except);
        unexplained.retain(|crash| !others.stronger_explains(crash, own.len()));
        if unexplained.len() < REFUSAL_RANK as usize {
            return Proof::None;
        }
        let is_own_only = |crash: &&&Crash| !others.tied_explains(crash, own.len(), key);
        if unexplained.iter().filter(is_own_only).count() >= REFUSAL_RANK as usize {
            return Proof::Conclusive;
        }
        let tied = others.tied(key, own.len(), &unexplained);
        Proof::Tied { next_turn_at: next_turn(key, &own, &tied, now) }
    }

    /// Returns those of `keys` whose own strikes prove that each of them has caused crashes.
    pub(super) fn conclusive(&self, keys: &[SuspectKey], now: Instant) -> BTreeSet<SuspectKey> {
        let is_relevant = keys.iter().any(|key| self.rank(*key, now) >= REFUSAL_RANK);
        if !is_relevant {
            return BTreeSet::new();
        }
        let others = OtherKeys::new(self, HashSet::new(), now);
        let is_conclusive = |key: &SuspectKey| {
            let own: Vec<&RecordedStrike> = self.live(*key, now).collect();
            let is_own_only = |strike: &&&RecordedStrike| {
                !others.stronger_explains(&strike.crash, own.len())
                    && !others.tied_explains(&strike.crash, own.len(), *key)
            };
            reaches_refusal(&own) && own.iter().filter(is_own_only).count() >= REFUSAL_RANK as usize
        };
        keys.iter().copied().filter(is_conclusive).collect()
    }
}

fn reaches_refusal(strikes: &[&RecordedStrike]) -> bool {
    strikes.iter().any(|strike| strike.rank >= REFUSAL_RANK)
}

/// Returns when the next turn begins, `None` if `key` may run now. In each turn one of tied keys
/// comes first in an order that all nodes work out alike.
fn next_turn(
    key: SuspectKey,
    own: &[&RecordedStrike],
    tied: &[Rival<'_>],
    now: Instant,
) -> Option<Instant> {
    let strikes = tied.iter().flat_map(|rival| &rival.strikes).chain(own);
    let last_crash_at = strikes.map(|strike| strike.crashed_at).max()?;
    let elapsed = now.saturating_duration_since(last_crash_at);
    let turn = (elapsed.as_millis() / TURN_PERIOD.as_millis()) as u32;
    let begins_at = last_crash_at + TURN_PERIOD * turn;
    let order = |key: SuspectKey| xxh3_64_with_seed(&key.to_le_bytes(), turn.into());
    let is_first = tied.iter().all(|rival| order(rival.key) < order(key));
    (!is_first || now >= begins_at + TURN_ADMISSION_PERIOD).then_some(begins_at + TURN_PERIOD)
}
