//! What the strikes of a key prove against requests with it.
//!
//! Requests that a server runs at the same time are cut by the same crash, so that a sound one may
//! have the strikes of one that crashes servers. A crash does not count against a key if another
//! key with more crashes explains it. Keys with equally many crashes are tied: they run in turn, so
//! that the next answer or crash tells them apart.

use super::evidence::{REFUSAL_RANK, SuspectKey};
use super::key_strikes::{Crash, KeyStrikes, RecordedStrike};
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

impl Rival<'_> {
    fn explains(&self, crash: &Crash) -> bool {
        self.strikes.iter().any(|strike| strike.crash == *crash)
    }
}

impl KeyStrikes {
    /// Returns what the strikes of `key` prove against requests with all of `keys`, without that of
    /// the crash `except`. Rivals are keys that such a request does not have, since only requests
    /// with all of `keys` are refused.
    pub(super) fn proof(
        &self,
        key: SuspectKey,
        keys: &[SuspectKey],
        except: Option<&Crash>,
        now: Instant,
    ) -> Proof {
        let own: Vec<&RecordedStrike> = self.live(key, now).collect();
        if !reaches_refusal(&own) {
            return Proof::None;
        }
        let (stronger, tied): (Vec<Rival<'_>>, Vec<Rival<'_>>) = self
            .rivals(&own, keys, now)
            .into_iter()
            .partition(|rival| rival.strikes.len() > own.len());
        let mut unexplained: Vec<&Crash> = own.iter().map(|strike| &strike.crash).collect();
        unexplained.retain(|crash| Some(*crash) != except);
        unexplained.retain(|crash| !stronger.iter().any(|rival| rival.explains(crash)));
        if unexplained.len() < REFUSAL_RANK as usize {
            return Proof::None;
        }
        let is_own_only = |crash: &&&Crash| !tied.iter().any(|rival| rival.explains(crash));
        if unexplained.iter().filter(is_own_only).count() >= REFUSAL_RANK as usize {
            return Proof::Conclusive;
        }
        let tied: Vec<Rival<'_>> = tied
            .into_iter()
            .filter(|rival| unexplained.iter().any(|crash| rival.explains(crash)))
            .collect();
        Proof::Tied { next_turn_at: next_turn(key, &own, &tied, now) }
    }

    /// Returns the keys, other than `keys`, that have at least as many crashes as `own` and share one.
    fn rivals(&self, own: &[&RecordedStrike], keys: &[SuspectKey], now: Instant) -> Vec<Rival<'_>> {
        let is_shared =
            |strike: &&RecordedStrike| own.iter().any(|shared| shared.crash == strike.crash);
        self.keys()
            .filter(|other| !keys.contains(other))
            .map(|other| Rival { key: other, strikes: self.live(other, now).collect() })
            .filter(|rival| rival.strikes.len() >= own.len() && reaches_refusal(&rival.strikes))
            .filter(|rival| rival.strikes.iter().any(is_shared))
            .collect()
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
