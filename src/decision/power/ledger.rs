//! Fold of the stream `power`: the same shares for every reader, never more than the whole.

use super::messages::{ShareAction, ShareRecord, TOTAL_PARTS};
use crate::decision::leases::history::{History, PageStart};
use crate::decision::leases::tenure::reader_deadline;
use crate::ports::{LogPage, LogRecord};
use crate::types::{InstanceId, LogOffset};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of an instance as read from the log.
#[derive(Clone, Debug)]
pub struct ShareEntry {
    /// Offset of the last record in force.
    pub offset: LogOffset,
    /// Parts held.
    pub parts: u64,
    /// Address that the instance listens on.
    pub address: SmolStr,
    /// Longest time in milliseconds from the start of a request to its deadline.
    pub work_limit_ms: u64,
    /// When nobody can use the share any more.
    pub lapsed_at: Instant,
}

/// Share record as read, and whether it counts.
#[derive(Clone, Debug)]
pub struct ReadShare {
    /// Record.
    pub record: ShareRecord,
    /// Whether the record changed the ledger.
    pub counts: bool,
}

/// All shares as read from the log.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    entries: BTreeMap<InstanceId, ShareEntry>,
    history: History,
    transit_ms: u64,
}

impl ShareLedger {
    /// Returns the ledger of a reader that has read nothing. `lease_ms` bounds shares that it
    /// cannot see, `transit_ms` the time by which work may outlast a share.
    pub fn new(lease_ms: u64, transit_ms: u64) -> Self {
        Self { entries: BTreeMap::new(), history: History::new(lease_ms + transit_ms), transit_ms }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.history.next_offset()
    }

    /// Returns the share of `instance`.
    pub fn entry(&self, instance: &InstanceId) -> Option<&ShareEntry> {
        self.entries.get(instance)
    }

    /// Returns the offset of the last record in force of `instance`, 0 if none.
    pub fn offset(&self, instance: &InstanceId) -> LogOffset {
        self.entries.get(instance).map_or(0, |entry| entry.offset)
    }

    /// Returns the shares by instance.
    pub fn entries(&self) -> impl Iterator<Item = (&InstanceId, &ShareEntry)> {
        self.entries.iter()
    }

    /// Returns the parts that nobody holds, or none while shares may be out of sight.
    pub fn free_parts(&self, now: Instant) -> Option<u64> {
        if !self.history.is_complete(now) {
            return None;
        }
        Some(TOTAL_PARTS.saturating_sub(self.held_parts()))
    }

    /// Folds a page that was asked for from offset `from`; returns the records read.
    pub fn fold_page(&mut self, page: &LogPage, from: LogOffset, now: Instant) -> Vec<ReadShare> {
        match self.history.begin_page(page, from, now) {
            PageStart::Skips => return Vec::new(),
            PageStart::Continues => {}
            PageStart::Cut => self.entries.clear(),
        }
        let mut read = Vec::new();
        for record in &page.records {
            if self.history.begin_record(record) {
                read.extend(self.fold(record, now));
            }
        }
        read
    }

    fn held_parts(&self) -> u64 {
        self.entries.values().map(|entry| entry.parts).sum()
    }

    fn fold(&mut self, log_record: &LogRecord, now: Instant) -> Option<ReadShare> {
        let record: ShareRecord = serde_json::from_slice(&log_record.payload).ok()?;
        let counts = self.apply(&record, log_record.offset, now);
        Some(ReadShare { record, counts })
    }

    fn apply(&mut self, record: &ShareRecord, offset: LogOffset, now: Instant) -> bool {
        let last = self.entries.get(&record.instance);
        let replaces_last = match last {
            Some(last) => record.replaces == last.offset,
            None => record.replaces < self.history.start(),
        };
        if !replaces_last {
            return false;
        }
        let ShareAction::Hold { parts, lease_ms, work_limit_ms, address } = &record.action else {
            self.entries.remove(&record.instance);
            return true;
        };
        let others = self.held_parts() - last.map_or(0, |entry| entry.parts);
        if others.checked_add(*parts).is_none_or(|sum| sum > TOTAL_PARTS) {
            return false;
        }
        let transit = Duration::from_millis(self.transit_ms);
        let entry = ShareEntry {
            offset,
            parts: *parts,
            address: address.clone(),
            work_limit_ms: *work_limit_ms,
            lapsed_at: reader_deadline(now, *lease_ms) + transit,
        };
        self.entries.insert(record.instance.clone(), entry);
        true
    }
}
