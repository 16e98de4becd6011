//! Reader of a log stream whose older records expire.
//!
//! Whether a record counts depends on everything before it. A reader that starts after records
//! have expired therefore waits for a checkpoint: the state that another reader had folded up to
//! an offset from which everything is still visible. If no reader is left that could write one,
//! the stream is silent; once all that it held must have lapsed, it is reset.

use super::deadlines::reader_deadline;
use crate::ports::{LogPage, LogRecord};
use crate::types::{InstanceId, LogOffset};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Milliseconds between checkpoints of a stream.
const CHECKPOINT_MS: u64 = 60_000;
/// Milliseconds over which readers spread checkpoints and resets, so that one of them writes.
const SPREAD_MS: u64 = 20_000;

/// Record on a stream, in JSON: a change of type `R`, or a state of entries of type `E`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum StreamRecord<R, E> {
    /// Change of the state.
    Change(R),
    /// State after the record at `as_of`.
    Checkpoint {
        /// Offset of the last record folded in.
        as_of: LogOffset,
        /// Whole state.
        entries: Vec<E>,
    },
    /// Everything held before this record has lapsed.
    Reset,
}

/// What a record does to the state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoldStep<R, E> {
    /// Replace the state.
    Replace(Vec<E>),
    /// Apply a change.
    Change {
        /// Offset of the change.
        offset: LogOffset,
        /// Change.
        record: R,
    },
}

/// State that a reader folds onto.
#[derive(Clone, Debug)]
enum Base<R> {
    Known,
    /// Records before `start` expired unread; the changes from there on wait for a checkpoint.
    Awaited {
        start: LogOffset,
        changes: Vec<(LogOffset, R)>,
    },
}

/// Reader of a stream.
#[derive(Clone, Debug)]
pub struct StreamReader<R> {
    next_offset: LogOffset,
    base: Base<R>,
    has_read: bool,
    checkpoint_at: Option<Instant>,
    reset_at: Option<Instant>,
    lapse_ms: u64,
    spread: Duration,
}

impl<R: Clone + DeserializeOwned> StreamReader<R> {
    /// Returns a reader at the start of a stream whose records hold for `lapse_ms` at most.
    pub fn new(instance: &InstanceId, lapse_ms: u64) -> Self {
        let spread_ms = xxhash_rust::xxh3::xxh3_64(instance.as_bytes()) % SPREAD_MS;
        Self {
            next_offset: 1,
            base: Base::Known,
            has_read: false,
            checkpoint_at: None,
            reset_at: None,
            lapse_ms,
            spread: Duration::from_millis(spread_ms),
        }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Takes in that records may hold for `lapse_ms`.
    pub fn raise_max_validity(&mut self, lapse_ms: u64) {
        self.lapse_ms = self.lapse_ms.max(lapse_ms);
    }

    /// Whether the state folded is the true one as of the last record read.
    pub fn is_current(&self) -> bool {
        self.has_read && matches!(self.base, Base::Known)
    }

    /// Whether a checkpoint should be appended; postpones the next one.
    pub fn take_checkpoint_due(&mut self, now: Instant) -> bool {
        let is_due = self.is_current() && self.checkpoint_at.is_some_and(|at| now >= at);
        if is_due {
            self.postpone_checkpoint(now);
        }
        is_due
    }

    /// Whether a reset should be appended; postpones the next one.
    pub fn take_reset_due(&mut self, now: Instant) -> bool {
        let is_due = !self.is_current() && self.reset_at.is_some_and(|at| now >= at);
        if is_due {
            self.postpone_reset(now);
        }
        is_due
    }

    /// Reads a page that was asked for from offset `from`; returns the steps to fold.
    pub fn read_page<E: DeserializeOwned>(
        &mut self,
        page: &LogPage,
        from_offset: LogOffset,
        now: Instant,
    ) -> Vec<FoldStep<R, E>> {
        if from_offset > self.next_offset {
            return Vec::new();
        }
        self.has_read = true;
        if page.first_offset > self.next_offset {
            self.next_offset = page.first_offset;
            self.base = Base::Awaited { start: page.first_offset, changes: Vec::new() };
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
                Base::Awaited { changes, .. } => changes.push((log_record.offset, record)),
            },
            Ok(StreamRecord::Checkpoint { as_of, entries }) => {
                self.postpone_checkpoint(now);
                self.install(as_of, entries, steps);
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

    fn install<E>(&mut self, as_of: LogOffset, entries: Vec<E>, steps: &mut Vec<FoldStep<R, E>>) {
        let Base::Awaited { start, changes } = &mut self.base else { return };
        if as_of + 1 < *start {
            return;
        }
        steps.push(FoldStep::Replace(entries));
        let later = std::mem::take(changes).into_iter().filter(|(offset, _)| *offset > as_of);
        steps.extend(later.map(|(offset, record)| FoldStep::Change { offset, record }));
        self.base = Base::Known;
    }

    fn postpone_checkpoint(&mut self, now: Instant) {
        self.checkpoint_at = Some(now + Duration::from_millis(CHECKPOINT_MS) + self.spread);
    }

    /// A reset waits until everything held when the last record was read has lapsed, and until a
    /// reader that knows the state would have written a checkpoint.
    fn postpone_reset(&mut self, now: Instant) {
        let silent_ms = self.lapse_ms.max(CHECKPOINT_MS + SPREAD_MS) + SPREAD_MS;
        self.reset_at = Some(reader_deadline(now, silent_ms) + self.spread);
    }
}
