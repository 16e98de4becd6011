//! Fold of the stream `power`: the same shares for every reader, never more than the whole.

use super::messages::{ShareAction, ShareRecord, TOTAL_PARTS};
use crate::decision::leases::deadlines::reader_deadline;
use crate::decision::leases::stream::{FoldStep, StreamReader, StreamRecord};
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Record on the stream `power`.
pub type ShareStreamRecord = StreamRecord<ShareRecord, ShareEntry>;

/// Share of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareEntry {
    /// Instance.
    pub instance: InstanceId,
    /// Offset of the last record in force.
    pub offset: LogOffset,
    /// Parts held.
    pub parts: u64,
    /// Milliseconds that the share lasts.
    pub lease_ms: u64,
    /// Longest time in milliseconds for which its work or grants can go on after it has ended.
    pub outlast_ms: u64,
    /// Address that the instance listens on.
    pub address: SmolStr,
}

/// Share as this node read it.
#[derive(Clone, Debug)]
pub struct TimedEntry {
    /// Share.
    pub entry: ShareEntry,
    /// When nobody can use the share any more.
    pub expires_at: Instant,
}

/// Share record as read, and whether it counts.
#[derive(Clone, Debug)]
pub struct FoldedRecord {
    /// Record.
    pub record: ShareRecord,
    /// Whether the record changed the ledger.
    pub counts: bool,
}

/// All shares as read from the log.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    entries: BTreeMap<InstanceId, TimedEntry>,
    reader: StreamReader<ShareRecord>,
    transit_ms: u64,
}

impl ShareLedger {
    /// Returns the ledger of a reader that has read nothing, of shares that last `lease_ms` at
    /// most and that work may outlast by `transit_ms`.
    pub fn new(instance: &InstanceId, lease_ms: u64, transit_ms: u64) -> Self {
        let reader = StreamReader::new(instance, lease_ms + transit_ms);
        Self { entries: BTreeMap::new(), reader, transit_ms }
    }

    /// Takes in that shares may last `lease_ms`.
    pub fn raise_max_lease(&mut self, lease_ms: u64) {
        self.reader.raise_max_validity(lease_ms + self.transit_ms);
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.reader.next_offset()
    }

    /// Returns the share of `instance`.
    pub fn entry(&self, instance: &InstanceId) -> Option<&ShareEntry> {
        self.entries.get(instance).map(|read| &read.entry)
    }

    /// Returns the offset of the last record in force of `instance`, 0 if none.
    pub fn offset(&self, instance: &InstanceId) -> LogOffset {
        self.entry(instance).map_or(0, |entry| entry.offset)
    }

    /// Returns the shares in the order of their instances.
    pub fn entries(&self) -> impl Iterator<Item = &TimedEntry> {
        self.entries.values()
    }

    /// Returns the parts that nobody holds, or none while that is unknown.
    pub fn free_parts(&self) -> Option<u64> {
        self.reader.is_current().then(|| TOTAL_PARTS.saturating_sub(self.held_parts()))
    }

    /// Returns a checkpoint or reset to append, if one is due.
    pub fn take_due_maintenance(&mut self, now: Instant) -> Option<ShareStreamRecord> {
        if self.reader.take_reset_due(now) {
            return Some(StreamRecord::Reset);
        }
        self.reader.take_checkpoint_due(now).then(|| StreamRecord::Checkpoint {
            as_of: self.next_offset() - 1,
            entries: self.entries.values().map(|read| read.entry.clone()).collect(),
        })
    }

    /// Folds a page that was asked for from offset `from`; returns the records read.
    pub fn fold_page(
        &mut self,
        page: &LogPage,
        from: LogOffset,
        now: Instant,
    ) -> Vec<FoldedRecord> {
        let mut read = Vec::new();
        for step in self.reader.read_page(page, from, now) {
            match step {
                FoldStep::Replace(entries) => self.install(entries, now),
                FoldStep::Change { offset, record } => {
                    let counts = self.apply(&record, offset, now);
                    read.push(FoldedRecord { record, counts });
                }
            }
        }
        read
    }

    fn held_parts(&self) -> u64 {
        self.entries.values().map(|read| read.entry.parts).sum()
    }

    fn install(&mut self, entries: Vec<ShareEntry>, now: Instant) {
        self.entries.clear();
        entries.into_iter().for_each(|entry| self.insert(entry, now));
    }

    fn insert(&mut self, entry: ShareEntry, now: Instant) {
        let transit = Duration::from_millis(self.transit_ms);
        let expires_at = reader_deadline(now, entry.lease_ms) + transit;
        self.entries.insert(entry.instance.clone(), TimedEntry { entry, expires_at });
    }

    fn apply(&mut self, record: &ShareRecord, offset: LogOffset, now: Instant) -> bool {
        if record.replaces != self.offset(&record.instance) {
            return false;
        }
        let ShareAction::Hold { parts, lease_ms, outlast_ms, address } = &record.action else {
            self.entries.remove(&record.instance);
            return true;
        };
        let own_parts = self.entry(&record.instance).map_or(0, |entry| entry.parts);
        let other_parts = self.held_parts() - own_parts;
        if other_parts.checked_add(*parts).is_none_or(|sum| sum > TOTAL_PARTS) {
            return false;
        }
        let entry = ShareEntry {
            instance: record.instance.clone(),
            offset,
            parts: *parts,
            lease_ms: *lease_ms,
            outlast_ms: *outlast_ms,
            address: address.clone(),
        };
        self.insert(entry, now);
        true
    }
}
