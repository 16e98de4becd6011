//! Fold of the stream `leases`: computes the same holder of each lease on every node.

use super::deadlines::reader_deadline;
use super::messages::{LeaseAction, LeaseKind, LeaseRecord};
use super::stream::{FoldStep, StreamReader, StreamRecord};
use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

/// Record on the stream `leases`.
pub type LeaseStreamRecord = StreamRecord<LeaseRecord, LeaseEntry>;

/// State of a lease after the last record in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseEntry {
    /// Lease.
    pub kind: LeaseKind,
    /// Offset of the record in force.
    pub offset: LogOffset,
    /// Fencing number: offset of the record that acquired the lease.
    pub fencing_number: LogOffset,
    /// Holder, none after a release.
    pub holder: Option<InstanceId>,
    /// Duration of the lease in milliseconds, 0 after a release.
    pub lease_ms: u64,
}

/// Lease as read from the log, with the time on this node's clock from when others may acquire it.
#[derive(Clone, Debug)]
struct TimedEntry {
    entry: LeaseEntry,
    free_at: Instant,
}

/// All leases as read from the log.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    reader: StreamReader<LeaseRecord>,
    entries: BTreeMap<LeaseKind, TimedEntry>,
}

impl LeaseTable {
    /// Returns the table of a node that has read nothing, for leases of at most `lease_ms`.
    pub fn new(instance: &InstanceId, lease_ms: u64) -> Self {
        Self { reader: StreamReader::new(instance, lease_ms), entries: BTreeMap::new() }
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> LogOffset {
        self.reader.next_offset()
    }

    /// Returns the state of `kind` after its last record in force.
    pub fn entry(&self, kind: LeaseKind) -> Option<&LeaseEntry> {
        self.entries.get(&kind).map(|timed| &timed.entry)
    }

    /// Returns the offset of the last record in force of `kind`, 0 if none.
    pub fn last_offset(&self, kind: LeaseKind) -> LogOffset {
        self.entry(kind).map_or(0, |entry| entry.offset)
    }

    /// Whether `instance` may try to acquire `kind` at `now`.
    pub fn can_acquire(&self, instance: &InstanceId, kind: LeaseKind, now: Instant) -> bool {
        self.reader.is_current()
            && self.entries.get(&kind).is_none_or(|timed| {
                now >= timed.free_at || timed.entry.holder.as_ref() == Some(instance)
            })
    }

    /// Returns the checkpoint or reset to append if one is due, and schedules the next one.
    pub fn take_due_maintenance(&mut self, now: Instant) -> Option<LeaseStreamRecord> {
        let entries = self.entries.values().map(|timed| timed.entry.clone());
        self.reader.take_due_maintenance(entries, now)
    }

    /// Folds a page that was requested from `from_offset`; returns the records that took effect.
    pub fn fold_page(
        &mut self,
        page: &LogPage,
        from_offset: LogOffset,
        now: Instant,
    ) -> Vec<LeaseRecord> {
        let mut applied = Vec::new();
        for step in self.reader.read_page(page, from_offset, now) {
            match step {
                FoldStep::Replace(entries) => self.replace_entries(entries, now),
                FoldStep::Change { offset, record } => {
                    if self.apply_change(&record, offset, now) {
                        applied.push(record);
                    }
                }
            }
        }
        applied
    }

    fn replace_entries(&mut self, entries: Vec<LeaseEntry>, now: Instant) {
        let timed = |entry: LeaseEntry| {
            let free_at = reader_deadline(now, entry.lease_ms);
            (entry.kind, TimedEntry { entry, free_at })
        };
        self.entries = entries.into_iter().map(timed).collect();
    }

    /// Applies a record unless it replaces one that is no longer in force; returns whether it did.
    fn apply_change(&mut self, record: &LeaseRecord, offset: LogOffset, now: Instant) -> bool {
        if record.replaces != self.last_offset(record.kind) {
            return false;
        }
        let last = self.entry(record.kind);
        let same_holder = last.filter(|last| last.holder.as_ref() == Some(&record.holder));
        let fencing_number = same_holder.map_or(offset, |last| last.fencing_number);
        let (holder, lease_ms, free_at) = match record.action {
            LeaseAction::Hold { lease_ms } => {
                (Some(record.holder.clone()), lease_ms, reader_deadline(now, lease_ms))
            }
            LeaseAction::Release => (None, 0, now),
        };
        let entry = LeaseEntry { kind: record.kind, offset, fencing_number, holder, lease_ms };
        self.entries.insert(record.kind, TimedEntry { entry, free_at });
        true
    }
}
