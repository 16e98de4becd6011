//! Fold of the log stream `claims`: computes the same owner of each key on every node.

use super::record::{ClaimEntry, ClaimId, DecodedRecord, Fingerprint, KeyHash, decode_record};
use crate::ports::{LogPage, LogRecord};
use crate::types::LogOffset;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Claim that owns a key, and the call that it was made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Owning claim.
    pub claim: ClaimId,
    /// Fingerprint of the claimed call.
    pub fingerprint: Fingerprint,
}

/// Effect of an entry on the owner of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryOutcome {
    /// The claim is the first one on a free key and now owns it.
    Acquired {
        /// Claim.
        claim: ClaimId,
        /// Key.
        key: KeyHash,
    },
    /// An earlier claim owns the key.
    Rejected {
        /// Claim.
        claim: ClaimId,
        /// Key.
        key: KeyHash,
        /// Owner of the key.
        owner: KeyOwner,
    },
    /// The owning claim released the key.
    Released {
        /// Claim.
        claim: ClaimId,
        /// Key.
        key: KeyHash,
    },
}

/// Owner of a key, and the append time of its latest claim.
#[derive(Debug, Default)]
struct KeyState {
    owner: Option<KeyOwner>,
    last_claim_unix_ms: u64,
}

/// Position of a claim in the log.
#[derive(Debug)]
struct LoggedClaim {
    offset: LogOffset,
    appended_unix_ms: u64,
    key: KeyHash,
}

/// Owners of all keys that were claimed within the deduplication window.
#[derive(Debug)]
pub struct ClaimFold {
    dedup_window_ms: u64,
    next_offset: Option<LogOffset>,
    /// When the fold last included every record on the log.
    caught_up_at: Option<Instant>,
    latest_append_unix_ms: u64,
    /// Until when claims in unreadable or lost records may still be within the window.
    may_lack_claims_until: Option<Instant>,
    /// Whether the log has dropped claims that are within the window.
    is_log_retention_short: bool,
    keys: HashMap<KeyHash, KeyState>,
    /// Claims within the window, in log order.
    logged_claims: VecDeque<LoggedClaim>,
}

impl ClaimFold {
    /// Returns an empty fold that tracks a key until the log's clock is `dedup_window_ms` past the
    /// key's last claim.
    pub fn new(dedup_window_ms: u64) -> Self {
        Self {
            dedup_window_ms,
            next_offset: None,
            caught_up_at: None,
            latest_append_unix_ms: 0,
            may_lack_claims_until: None,
            is_log_retention_short: false,
            keys: HashMap::new(),
            logged_claims: VecDeque::new(),
        }
    }

    /// Whether the fold may lack claims within the window: because of records of a newer build, or
    /// of a log that keeps records for less time than the settings say.
    pub fn may_lack_claims(&self, now: Instant) -> bool {
        self.is_log_retention_short || self.may_lack_claims_until.is_some_and(|until| now < until)
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset.unwrap_or(1)
    }

    /// Latest append time of a record, by the log's clock.
    pub fn latest_append_at(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.latest_append_unix_ms)
    }

    /// Returns the owner of `key`.
    pub fn owner(&self, key: KeyHash) -> Option<KeyOwner> {
        self.keys.get(&key).and_then(|state| state.owner)
    }

    /// Number of tracked keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is tracked.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Folds `page` and returns the outcomes of its entries in log order. A page with a gap after
    /// the last folded record changes nothing.
    pub fn apply(&mut self, page: &LogPage, now: Instant) -> Vec<EntryOutcome> {
        let mut outcomes = Vec::new();
        let next_offset = self.next_offset.unwrap_or(page.first_offset);
        if page.first_offset > next_offset {
            self.skip_expired(page.first_offset, now);
        } else {
            self.next_offset = Some(next_offset);
        }
        if page.records.first().is_some_and(|record| record.offset > self.next_offset()) {
            return outcomes;
        }
        for record in &page.records {
            self.fold_record(record, now, &mut outcomes);
        }
        if page.next_offset == self.next_offset() {
            self.caught_up_at = Some(now);
        }
        self.drop_expired();
        self.check_retention(page.first_offset);
        outcomes
    }

    /// Continues at `first_offset` after records expired unread. If they expired within a window
    /// after the last complete read, claims within the window may be lost.
    fn skip_expired(&mut self, first_offset: LogOffset, now: Instant) {
        let dedup_window = Duration::from_millis(self.dedup_window_ms);
        if self.caught_up_at.is_some_and(|caught_up_at| now < caught_up_at + dedup_window) {
            self.may_lack_claims_until = Some(now + dedup_window);
        }
        self.next_offset = Some(first_offset);
    }

    fn fold_record(&mut self, record: &LogRecord, now: Instant, outcomes: &mut Vec<EntryOutcome>) {
        if record.offset != self.next_offset() {
            return;
        }
        self.next_offset = Some(record.offset + 1);
        let appended_unix_ms = unix_ms(record.appended_at);
        self.latest_append_unix_ms = self.latest_append_unix_ms.max(appended_unix_ms);
        match decode_record(&record.payload) {
            DecodedRecord::Batch(entries) => {
                for entry in entries {
                    outcomes.extend(self.fold_entry(entry, record.offset, appended_unix_ms));
                }
            }
            DecodedRecord::Newer => {
                self.may_lack_claims_until =
                    Some(now + Duration::from_millis(self.dedup_window_ms));
            }
            DecodedRecord::Foreign => {}
        }
    }

    /// Folds an entry. A key whose last claim lies before the window is free again.
    fn fold_entry(
        &mut self,
        entry: ClaimEntry,
        offset: LogOffset,
        appended_unix_ms: u64,
    ) -> Option<EntryOutcome> {
        match entry {
            ClaimEntry::Claim { claim, key, fingerprint } => {
                self.logged_claims.push_back(LoggedClaim { offset, appended_unix_ms, key });
                let window_start_unix_ms = self.window_start_unix_ms();
                let state = self.keys.entry(key).or_default();
                if state.last_claim_unix_ms < window_start_unix_ms {
                    *state = KeyState::default();
                }
                state.last_claim_unix_ms = state.last_claim_unix_ms.max(appended_unix_ms);
                self.fold_claim(claim, key, fingerprint)
            }
            ClaimEntry::Release { claim, key } => {
                let state = self.keys.get_mut(&key)?;
                state.owner.take_if(|owner| owner.claim == claim)?;
                Some(EntryOutcome::Released { claim, key })
            }
        }
    }

    fn fold_claim(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        fingerprint: Fingerprint,
    ) -> Option<EntryOutcome> {
        let state = self.keys.get_mut(&key)?;
        match state.owner {
            Some(owner) if owner.claim == claim => None,
            Some(owner) => Some(EntryOutcome::Rejected { claim, key, owner }),
            None => {
                state.owner = Some(KeyOwner { claim, fingerprint });
                Some(EntryOutcome::Acquired { claim, key })
            }
        }
    }

    /// Start of the deduplication window.
    fn window_start_unix_ms(&self) -> u64 {
        self.latest_append_unix_ms.saturating_sub(self.dedup_window_ms)
    }

    /// Removes keys whose last claim is older than the window.
    fn drop_expired(&mut self) {
        let window_start_unix_ms = self.window_start_unix_ms();
        while self
            .logged_claims
            .front()
            .is_some_and(|logged| logged.appended_unix_ms < window_start_unix_ms)
        {
            let Some(logged) = self.logged_claims.pop_front() else { return };
            if self
                .keys
                .get(&logged.key)
                .is_some_and(|state| state.last_claim_unix_ms < window_start_unix_ms)
            {
                self.keys.remove(&logged.key);
            }
        }
    }

    /// Checks whether the log has dropped a claim within the window: a node that starts now could
    /// not read it.
    fn check_retention(&mut self, first_offset: LogOffset) {
        self.is_log_retention_short =
            self.logged_claims.front().is_some_and(|logged| logged.offset < first_offset);
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
