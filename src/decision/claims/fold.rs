//! Fold of the log stream `claims`: who owns which key, the same on every node.

use super::record::{ClaimEntry, ClaimId, DecodedRecord, Fingerprint, KeyHash, decode_record};
use crate::ports::{LogPage, LogRecord};
use crate::types::LogOffset;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Owner of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Claim that owns the key.
    pub claim: ClaimId,
    /// Fingerprint of the owner's call.
    pub fingerprint: Fingerprint,
}

/// Outcome of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldedEntry {
    /// The claim owns its key.
    Owns {
        /// Claim.
        claim: ClaimId,
        /// Key.
        key: KeyHash,
    },
    /// An earlier claim owns the key.
    Lost {
        /// Claim.
        claim: ClaimId,
        /// Key.
        key: KeyHash,
        /// Owner of the key.
        owner: KeyOwner,
    },
    /// The claim gave the key free.
    Released {
        /// Claim.
        claim: ClaimId,
        /// Key.
        key: KeyHash,
    },
}

#[derive(Debug, Default)]
struct KeyClaims {
    owner: Option<KeyOwner>,
    last_ms: u64,
}

#[derive(Debug)]
struct SeenRecord {
    offset: LogOffset,
    appended_ms: u64,
    key: KeyHash,
}

/// Fold of the stream, bounded by the memory of claims.
#[derive(Debug)]
pub struct ClaimFold {
    dedup_window_ms: u64,
    next_offset: Option<LogOffset>,
    /// When the fold last held every record that the log kept.
    caught_up_at: Option<Instant>,
    latest_ms: u64,
    /// Until when claims may be hidden by unreadable or lost records.
    hidden_until: Option<Instant>,
    retention_short: bool,
    keys: HashMap<KeyHash, KeyClaims>,
    seen: VecDeque<SeenRecord>,
}

impl ClaimFold {
    /// Returns an empty fold that remembers claims for `dedup_window_ms` of the log's clock.
    pub fn new(dedup_window_ms: u64) -> Self {
        Self {
            dedup_window_ms,
            next_offset: None,
            caught_up_at: None,
            latest_ms: 0,
            hidden_until: None,
            retention_short: false,
            keys: HashMap::new(),
            seen: VecDeque::new(),
        }
    }

    /// Whether earlier claims may be hidden: by records of a newer build, or by a log that keeps
    /// records for less time than the settings say.
    pub fn is_blind(&self, now: Instant) -> bool {
        self.retention_short || self.hidden_until.is_some_and(|until| now < until)
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset.unwrap_or(1)
    }

    /// Latest time of the log's clock that was seen.
    pub fn latest(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.latest_ms)
    }

    /// Owner of `key`.
    pub fn owner(&self, key: KeyHash) -> Option<KeyOwner> {
        self.keys.get(&key).and_then(|claims| claims.owner)
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Folds `page` and returns the outcomes in log order; a page that does not continue the fold
    /// changes nothing.
    pub fn apply(&mut self, page: &LogPage, now: Instant) -> Vec<FoldedEntry> {
        let mut folded = Vec::new();
        let next_offset = self.next_offset.unwrap_or(page.first_offset);
        if page.first_offset > next_offset {
            self.skip_lost(page.first_offset, now);
        } else {
            self.next_offset = Some(next_offset);
        }
        if page.records.first().is_some_and(|record| record.offset > self.next_offset()) {
            return folded;
        }
        for record in &page.records {
            self.fold_record(record, now, &mut folded);
        }
        if page.next_offset == self.next_offset() {
            self.caught_up_at = Some(now);
        }
        self.forget_old();
        self.check_retention(page.first_offset);
        folded
    }

    /// Goes on at `first_offset` after records expired unread. A log that drops records before
    /// their time may have hidden claims that still count.
    fn skip_lost(&mut self, first_offset: LogOffset, now: Instant) {
        let memory = Duration::from_millis(self.dedup_window_ms);
        if self.caught_up_at.is_some_and(|caught_up_at| now < caught_up_at + memory) {
            self.hidden_until = Some(now + memory);
        }
        self.next_offset = Some(first_offset);
    }

    fn fold_record(&mut self, record: &LogRecord, now: Instant, folded: &mut Vec<FoldedEntry>) {
        if record.offset != self.next_offset() {
            return;
        }
        self.next_offset = Some(record.offset + 1);
        let appended_ms = unix_ms(record.appended_at);
        self.latest_ms = self.latest_ms.max(appended_ms);
        match decode_record(&record.payload) {
            DecodedRecord::Batch(entries) => {
                for entry in entries {
                    folded.extend(self.fold_entry(entry, record.offset, appended_ms));
                }
            }
            DecodedRecord::Newer => {
                self.hidden_until = Some(now + Duration::from_millis(self.dedup_window_ms));
            }
            DecodedRecord::Foreign => {}
        }
    }

    fn fold_entry(
        &mut self,
        entry: ClaimEntry,
        offset: LogOffset,
        appended_ms: u64,
    ) -> Option<FoldedEntry> {
        match entry {
            ClaimEntry::Claim { claim, key, fingerprint } => {
                self.seen.push_back(SeenRecord { offset, appended_ms, key });
                let oldest_ms = self.oldest_ms();
                let claims = self.keys.entry(key).or_default();
                if claims.last_ms < oldest_ms {
                    *claims = KeyClaims::default();
                }
                claims.last_ms = claims.last_ms.max(appended_ms);
                self.fold_claim(claim, key, fingerprint)
            }
            ClaimEntry::Release { claim, key } => {
                let claims = self.keys.get_mut(&key)?;
                claims.owner.take_if(|owner| owner.claim == claim)?;
                Some(FoldedEntry::Released { claim, key })
            }
        }
    }

    fn fold_claim(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        fingerprint: Fingerprint,
    ) -> Option<FoldedEntry> {
        let claims = self.keys.get_mut(&key)?;
        match claims.owner {
            Some(owner) if owner.claim == claim => None,
            Some(owner) => Some(FoldedEntry::Lost { claim, key, owner }),
            None => {
                claims.owner = Some(KeyOwner { claim, fingerprint });
                Some(FoldedEntry::Owns { claim, key })
            }
        }
    }

    /// Time before which claims are forgotten.
    fn oldest_ms(&self) -> u64 {
        self.latest_ms.saturating_sub(self.dedup_window_ms)
    }

    /// Forgets keys whose last claim is older than the memory.
    fn forget_old(&mut self) {
        let oldest_ms = self.oldest_ms();
        while self.seen.front().is_some_and(|seen| seen.appended_ms < oldest_ms) {
            let Some(seen) = self.seen.pop_front() else { return };
            if self.keys.get(&seen.key).is_some_and(|claims| claims.last_ms < oldest_ms) {
                self.keys.remove(&seen.key);
            }
        }
    }

    /// Notes whether the log dropped a record that must still be remembered; a node that starts
    /// now could not know of it.
    fn check_retention(&mut self, first_offset: LogOffset) {
        self.retention_short = self.seen.front().is_some_and(|seen| seen.offset < first_offset);
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
