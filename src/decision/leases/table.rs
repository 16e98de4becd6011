//! Fold of the stream `leases`: the same holder for every reader.

use super::history::{History, PageStart};
use super::messages::{LeaseAction, LeaseKind, LeaseRecord};
use super::tenure::reader_deadline;
use crate::ports::{LogPage, LogRecord};
use crate::types::{InstanceId, LogOffset};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// Record that counted, with the fencing number in force after it.
#[derive(Clone, Debug)]
pub struct AcceptedLease {
    /// Record.
    pub record: LeaseRecord,
    /// Offset of the record that acquired the lease.
    pub fencing_number: LogOffset,
}

/// Last record in force of a lease.
#[derive(Clone, Debug)]
struct LeaseEntry {
    offset: LogOffset,
    fencing_number: LogOffset,
    holder: Option<InstanceId>,
    lease_ms: u64,
    appended_at: SystemTime,
    free_at: Instant,
}

impl LeaseEntry {
    /// Whether a record appended at `appended_at` may ignore this entry, as a reader whose history
    /// is cut short does.
    fn is_forgotten(&self, appended_at: SystemTime) -> bool {
        appended_at > self.appended_at + Duration::from_millis(2 * self.lease_ms)
    }
}

/// All leases as read from the log.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    history: History,
    entries: BTreeMap<LeaseKind, LeaseEntry>,
    lease_ms: u64,
}

impl LeaseTable {
    /// Returns the table of a reader that has read nothing; `lease_ms` bounds leases it cannot see.
    pub fn new(lease_ms: u64) -> Self {
        Self { history: History::new(lease_ms), entries: BTreeMap::new(), lease_ms }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.history.next_offset()
    }

    /// Returns the offset of the last record in force of `kind`, 0 if none.
    pub fn offset(&self, kind: LeaseKind) -> LogOffset {
        self.entries.get(&kind).map_or(0, |entry| entry.offset)
    }

    /// Returns the fencing number of `kind`, 0 if none.
    pub fn fencing_number(&self, kind: LeaseKind) -> LogOffset {
        self.entries.get(&kind).map_or(0, |entry| entry.fencing_number)
    }

    /// Returns the last holder of `kind`.
    pub fn holder(&self, kind: LeaseKind) -> Option<&InstanceId> {
        self.entries.get(&kind)?.holder.as_ref()
    }

    /// Whether nobody else can still use `kind` at `now`.
    pub fn is_free(&self, kind: LeaseKind, now: Instant) -> bool {
        match self.entries.get(&kind) {
            Some(entry) => now >= entry.free_at,
            None => self.history.is_complete(now),
        }
    }

    /// Folds a page that was asked for from offset `from` and returns the records that count.
    pub fn fold_page(
        &mut self,
        page: &LogPage,
        from: LogOffset,
        now: Instant,
    ) -> Vec<AcceptedLease> {
        match self.history.begin_page(page, from, now) {
            PageStart::Skips => return Vec::new(),
            PageStart::Continues => {}
            PageStart::Cut => self.entries.clear(),
        }
        let mut accepted = Vec::new();
        for record in &page.records {
            if self.history.begin_record(record) {
                accepted.extend(self.fold(record, now));
            }
        }
        accepted
    }

    fn fold(&mut self, log_record: &LogRecord, now: Instant) -> Option<AcceptedLease> {
        let record: LeaseRecord = serde_json::from_slice(&log_record.payload).ok()?;
        if !self.replaces_last(&record, log_record.appended_at) {
            return None;
        }
        let last = self.entries.get(&record.kind);
        let same_holder = last.is_some_and(|last| last.holder.as_ref() == Some(&record.holder));
        let fencing_number = match last {
            Some(last) if same_holder => last.fencing_number,
            _ => log_record.offset,
        };
        let entry = match record.action {
            LeaseAction::Hold { lease_ms } => LeaseEntry {
                offset: log_record.offset,
                fencing_number,
                holder: Some(record.holder.clone()),
                lease_ms,
                appended_at: log_record.appended_at,
                free_at: reader_deadline(now, lease_ms),
            },
            LeaseAction::Release => LeaseEntry {
                offset: log_record.offset,
                fencing_number,
                holder: None,
                lease_ms: self.lease_ms,
                appended_at: log_record.appended_at,
                free_at: now,
            },
        };
        self.entries.insert(record.kind, entry);
        Some(AcceptedLease { record, fencing_number })
    }

    fn replaces_last(&self, record: &LeaseRecord, appended_at: SystemTime) -> bool {
        match self.entries.get(&record.kind) {
            Some(last) if record.replaces == last.offset => true,
            Some(last) => record.replaces == 0 && last.is_forgotten(appended_at),
            None => record.replaces < self.history.start(),
        }
    }
}
