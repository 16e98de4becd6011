//! Fold of the stream `power` into the shares of all instances, the same for every reader.

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

/// Share of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareEntry {
    /// Instance.
    pub instance: InstanceId,
    /// Offset of the last accepted record.
    pub offset: LogOffset,
    /// Size of the share in parts.
    pub parts: u64,
    /// Milliseconds after which the share expires unless it is renewed.
    pub lease_ms: u64,
    /// Maximum time in milliseconds for which its requests or grants can outlast its process.
    pub outlast_ms: u64,
    /// Address that the instance listens on for as long as it runs.
    pub address: SmolStr,
}

/// Share with its expiry on this node's clock.
#[derive(Clone, Debug)]
pub struct TimedEntry {
    /// Share.
    pub entry: ShareEntry,
    /// From when no request can use the share any more.
    pub expires_at: Instant,
}

/// Share record that was folded.
#[derive(Clone, Debug)]
pub struct FoldedRecord {
    /// Record.
    pub record: ShareRecord,
    /// Whether the record changed the ledger; otherwise it was rejected.
    pub is_accepted: bool,
}

/// Shares of all instances according to the log; they never exceed [`TOTAL_PARTS`] together.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    entries: BTreeMap<InstanceId, TimedEntry>,
    reader: StreamReader<ShareRecord>,
    request_transit_ms: u64,
}

impl ShareLedger {
    /// Returns an empty ledger for shares with lease periods of up to `lease_ms`, which requests
    /// may outlast by `request_transit_ms`.
    pub fn new(instance: &InstanceId, lease_ms: u64, request_transit_ms: u64) -> Self {
        let reader = StreamReader::new(instance, lease_ms + request_transit_ms);
        Self { entries: BTreeMap::new(), reader, request_transit_ms }
    }

    /// Allows shares with lease periods of up to `lease_ms`; a lower value changes nothing.
    pub fn raise_max_lease(&mut self, lease_ms: u64) {
        self.reader.raise_max_validity(lease_ms + self.request_transit_ms);
    }

    /// Returns the offset to read the log from.
    pub fn next_offset(&self) -> LogOffset {
        self.reader.next_offset()
    }

    /// Returns the share of `instance`.
    pub fn entry(&self, instance: &InstanceId) -> Option<&ShareEntry> {
        self.entries.get(instance).map(|timed| &timed.entry)
    }

    /// Returns the offset of the last accepted record of `instance`, 0 if it has no share.
    pub fn last_offset(&self, instance: &InstanceId) -> LogOffset {
        self.entry(instance).map_or(0, |entry| entry.offset)
    }

    /// Returns the shares, ordered by instance.
    pub fn entries(&self) -> impl Iterator<Item = &TimedEntry> {
        self.entries.values()
    }

    /// Returns the parts that no share contains, or `None` until the log has been read far enough.
    pub fn free_parts(&self) -> Option<u64> {
        self.reader.is_current().then(|| TOTAL_PARTS.saturating_sub(self.held_parts()))
    }

    /// Returns a checkpoint or reset to append if one is due, and schedules the next one.
    pub fn take_due_maintenance(&mut self, now: Instant) -> Option<ShareStreamRecord> {
        let entries = self.entries.values().map(|timed| timed.entry.clone());
        self.reader.take_due_maintenance(entries, now)
    }

    /// Folds a page that was requested from `from_offset`; returns its share records.
    pub fn fold_page(
        &mut self,
        page: &LogPage,
        from_offset: LogOffset,
        now: Instant,
    ) -> Vec<FoldedRecord> {
        let mut folded = Vec::new();
        for step in self.reader.read_page(page, from_offset, now) {
            match step {
                FoldStep::Replace(entries) => self.replace_entries(entries, now),
                FoldStep::Change { offset, record } => {
                    let is_accepted = self.apply_change(&record, offset, now);
                    folded.push(FoldedRecord { record, is_accepted });
                }
            }
        }
        folded
    }

    fn held_parts(&self) -> u64 {
        self.entries.values().map(|timed| timed.entry.parts).sum()
    }

    fn replace_entries(&mut self, entries: Vec<ShareEntry>, now: Instant) {
        self.entries.clear();
        entries.into_iter().for_each(|entry| self.insert(entry, now));
    }

    fn insert(&mut self, entry: ShareEntry, now: Instant) {
        let transit = Duration::from_millis(self.request_transit_ms);
        let expires_at = reader_deadline(now, entry.lease_ms) + transit;
        self.entries.insert(entry.instance.clone(), TimedEntry { entry, expires_at });
    }

    /// Applies a record, unless it replaces one that is no longer in force or needs parts that are
    /// not free; returns whether it did.
    fn apply_change(&mut self, record: &ShareRecord, offset: LogOffset, now: Instant) -> bool {
        if record.replaces != self.last_offset(&record.instance) {
            return false;
        }
        let ShareAction::Hold { parts, lease_ms, outlast_ms, address } = &record.action else {
            self.entries.remove(&record.instance);
            return true;
        };
        let previous_parts = self.entry(&record.instance).map_or(0, |entry| entry.parts);
        let other_parts = self.held_parts() - previous_parts;
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
