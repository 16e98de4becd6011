//! Position of a reader on a log stream, and what it cannot see because records have expired.

use super::tenure::unseen_deadline;
use crate::ports::{LogPage, LogRecord};
use crate::types::LogOffset;
use std::time::{Duration, Instant, SystemTime};

/// How a page continues what was read before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PageStart {
    /// The page leaves out records that the log still keeps; it must not be folded.
    Skips,
    /// The page continues what was read.
    Continues,
    /// Records before the page have expired unread; what was folded is void.
    Cut,
}

/// Records that expired unread.
#[derive(Clone, Copy, Debug)]
struct Unseen {
    /// When everything that they held has lapsed, by the reader's clock.
    lapsed_at: Instant,
    /// When the log appended the first record after them.
    seen_from: Option<SystemTime>,
}

/// Position of a reader on a log stream.
#[derive(Clone, Debug)]
pub struct History {
    next_offset: LogOffset,
    start: LogOffset,
    unseen: Option<Unseen>,
    has_read: bool,
    period_ms: u64,
}

impl History {
    /// Returns the position of a reader that has read nothing, of records that hold for
    /// `period_ms`.
    pub fn new(period_ms: u64) -> Self {
        Self { next_offset: 1, start: 1, unseen: None, has_read: false, period_ms }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the lowest offset that was visible to the reader.
    pub fn start(&self) -> LogOffset {
        self.start
    }

    /// Whether nothing out of sight can still be held at `now`.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.has_read && self.unseen.is_none_or(|unseen| now >= unseen.lapsed_at)
    }

    /// Begins a page that was asked for from offset `from`.
    pub fn begin_page(&mut self, page: &LogPage, from: LogOffset, now: Instant) -> PageStart {
        if from > self.next_offset {
            return PageStart::Skips;
        }
        self.has_read = true;
        if page.first_offset <= self.next_offset {
            return PageStart::Continues;
        }
        self.start = page.first_offset;
        self.next_offset = page.first_offset;
        let lapsed_at = unseen_deadline(now, self.period_ms);
        self.unseen = Some(Unseen { lapsed_at, seen_from: None });
        PageStart::Cut
    }

    /// Begins a record of the page; returns whether it is new.
    pub fn begin_record(&mut self, record: &LogRecord) -> bool {
        if record.offset < self.next_offset {
            return false;
        }
        self.next_offset = record.offset + 1;
        if let Some(unseen) = &mut self.unseen {
            let seen_from = *unseen.seen_from.get_or_insert(record.appended_at);
            if record.appended_at >= seen_from + Duration::from_millis(2 * self.period_ms) {
                self.unseen = None;
            }
        }
        true
    }
}
