//! Reader of a log stream whose older records expire.
//!
//! Whether a record takes effect depends on all records before it. A reader that starts after
//! records have expired therefore waits for a checkpoint: the state that another reader has folded
//! up to an offset after which all records are still on the log. If no reader is left that could
//! append one, the stream stays idle; once everything on it must have lapsed, the waiting reader
//! appends a reset.

use super::deadlines::reader_deadline;
use crate::ports::{LogPage, LogRecord};
use crate::types::{InstanceId, LogOffset};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Minimum milliseconds between checkpoints of a stream.
const CHECKPOINT_PERIOD_MS: u64 = 60_000;
/// Maximum delay in milliseconds that a reader adds to its checkpoints and resets. Delays differ
/// between readers, so that one appends first and the others skip theirs.
const MAX_JITTER_MS: u64 = 20_000;

/// Record on a stream, in JSON, with changes of type `R` and state entries of type `E`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum StreamRecord<R, E> {
    /// Change of the state.
    Change(R),
    /// State after the record at `as_of`.
    Checkpoint {
        /// Offset of the last record that the state includes.
        as_of: LogOffset,
        /// All entries of the state.
        entries: Vec<E>,
    },
    /// Empty state: everything before this record has lapsed.
    Reset,
}

/// Change of the state that a reader returns for its caller to apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoldStep<R, E> {
    /// Replace the state by these entries.
    Replace(Vec<E>),
    /// Apply a change record.
    Change {
        /// Offset of the record.
        offset: LogOffset,
        /// Record.
        record: R,
    },
}

/// State before the changes that a reader reads.
#[derive(Clone, Debug)]
enum Base<R> {
    Known,
    /// Records before `first_offset` expired unread; later changes are buffered until a checkpoint.
    Unknown {
        first_offset: LogOffset,
        changes: Vec<(LogOffset, R)>,
    },
}

/// Reader of a stream; turns its records into steps to fold.
#[derive(Clone, Debug)]
pub struct StreamReader<R> {
    next_offset: LogOffset,
    base: Base<R>,
    has_read_page: bool,
    checkpoint_at: Option<Instant>,
    reset_at: Option<Instant>,
    /// Maximum milliseconds for which a record can be valid.
    max_valid_ms: u64,
    /// Delay of this reader's checkpoints and resets, derived from its instance id.
    jitter: Duration,
}

impl<R: Clone + DeserializeOwned> StreamReader<R> {
    /// Returns a reader at the start of a stream with records valid for at most `max_valid_ms`.
    pub fn new(instance: &InstanceId, max_valid_ms: u64) -> Self {
        let jitter_ms = xxhash_rust::xxh3::xxh3_64(instance.as_bytes()) % MAX_JITTER_MS;
        Self {
            next_offset: 1,
            base: Base::Known,
            has_read_page: false,
            checkpoint_at: None,
            reset_at: None,
            max_valid_ms,
            jitter: Duration::from_millis(jitter_ms),
        }
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Raises the maximum validity of records to `max_valid_ms` if that is longer.
    pub fn raise_max_validity(&mut self, max_valid_ms: u64) {
        self.max_valid_ms = self.max_valid_ms.max(max_valid_ms);
    }

    /// Whether the folded state includes all records up to the last one read.
    pub fn is_current(&self) -> bool {
        self.has_read_page && matches!(self.base, Base::Known)
    }

    /// Returns the reset, or the checkpoint of `entries`, to append if one is due, and schedules the
    /// next one.
    pub fn take_due_maintenance<E>(
        &mut self,
        entries: impl Iterator<Item = E>,
        now: Instant,
    ) -> Option<StreamRecord<R, E>> {
        if self.take_reset_due(now) {
            return Some(StreamRecord::Reset);
        }
        self.take_checkpoint_due(now).then(|| StreamRecord::Checkpoint {
            as_of: self.next_offset - 1,
            entries: entries.collect(),
        })
    }

    /// Returns true if a checkpoint should be appended now, and schedules the next one.
    fn take_checkpoint_due(&mut self, now: Instant) -> bool {
        let is_due = self.is_current() && self.checkpoint_at.is_some_and(|at| now >= at);
        if is_due {
            self.postpone_checkpoint(now);
        }
        is_due
    }

    /// Returns true if a reset should be appended now, and schedules the next one.
    fn take_reset_due(&mut self, now: Instant) -> bool {
        let is_due = !self.is_current() && self.reset_at.is_some_and(|at| now >= at);
        if is_due {
            self.postpone_reset(now);
        }
        is_due
    }

    /// Reads a page that was requested from `from_offset`; returns the steps to fold.
    pub fn read_page<E: DeserializeOwned>(
        &mut self,
        page: &LogPage,
        from_offset: LogOffset,
        now: Instant,
    ) -> Vec<FoldStep<R, E>> {
        if from_offset > self.next_offset {
            return Vec::new();
        }
        self.has_read_page = true;
        if page.first_offset > self.next_offset {
            self.next_offset = page.first_offset;
            self.base = Base::Unknown { first_offset: page.first_offset, changes: Vec::new() };
            self.postpone_reset(now);
        }
        let mut steps = Vec::new();
        for record in &page.records {
            if record.offset >= self.next_offset {
                self.next_offset = record.offset + 1;
                self.read_record(record, now, &mut steps);
            }
        }
        steps
    }

    fn read_record<E: DeserializeOwned>(
        &mut self,
        log_record: &LogRecord,
        now: Instant,
        steps: &mut Vec<FoldStep<R, E>>,
    ) {
        self.postpone_reset(now);
        if self.checkpoint_at.is_none() {
            self.postpone_checkpoint(now);
        }
        match serde_json::from_slice(&log_record.payload) {
            Ok(StreamRecord::Change(record)) => match &mut self.base {
                Base::Known => steps.push(FoldStep::Change { offset: log_record.offset, record }),
                Base::Unknown { changes, .. } => changes.push((log_record.offset, record)),
            },
            Ok(StreamRecord::Checkpoint { as_of, entries }) => {
                self.postpone_checkpoint(now);
                self.install_checkpoint(as_of, entries, steps);
            }
            Ok(StreamRecord::Reset) => {
                self.base = Base::Known;
                steps.push(FoldStep::Replace(Vec::new()));
            }
            Err(error) => {
                log::warn!(
                    "event=unreadable_record offset={} error=\"{error}\"",
                    log_record.offset
                );
            }
        }
    }

    fn install_checkpoint<E>(
        &mut self,
        as_of: LogOffset,
        entries: Vec<E>,
        steps: &mut Vec<FoldStep<R, E>>,
    ) {
        let Base::Unknown { first_offset, changes } = &mut self.base else { return };
        if as_of + 1 < *first_offset {
            return;
        }
        steps.push(FoldStep::Replace(entries));
        let later = std::mem::take(changes).into_iter().filter(|(offset, _)| *offset > as_of);
        steps.extend(later.map(|(offset, record)| FoldStep::Change { offset, record }));
        self.base = Base::Known;
    }

    fn postpone_checkpoint(&mut self, now: Instant) {
        self.checkpoint_at = Some(now + Duration::from_millis(CHECKPOINT_PERIOD_MS) + self.jitter);
    }

    /// Schedules a reset for when everything valid at the last read has lapsed, and a reader that
    /// knows the state would have appended a checkpoint.
    fn postpone_reset(&mut self, now: Instant) {
        let idle_ms = self.max_valid_ms.max(CHECKPOINT_PERIOD_MS + MAX_JITTER_MS) + MAX_JITTER_MS;
        self.reset_at = Some(reader_deadline(now, idle_ms) + self.jitter);
    }
}
