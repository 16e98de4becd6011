//! Queue of claim entries to append: one append in flight, limited to the node's share of appends.

use super::messages::ClaimCommand;
use super::record::ClaimEntry;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum entries in one batch.
const MAX_BATCH_ENTRIES: usize = 256;
/// Maximum appends in quick succession after an idle period.
const MAX_BURST_APPENDS: u32 = 8;
/// Milliseconds to wait after the first failed append; the wait doubles up to [`MAX_BACKOFF_MS`].
const INITIAL_BACKOFF_MS: u64 = 50;
/// Maximum milliseconds to wait after a failed append.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Consecutive failed appends after which the log counts as down.
const LOG_DOWN_FAILURES: u32 = 3;

/// Entries waiting to be appended, with retry backoff and a rate limit.
#[derive(Debug)]
pub struct AppendQueue {
    entries: VecDeque<ClaimEntry>,
    in_flight: Option<InFlightAppend>,
    next_batch: u64,
    consecutive_failures: u32,
    retry_at: Option<Instant>,
    append_interval: Duration,
    /// When the whole burst is available again; each append moves it one interval later.
    burst_full_at: Option<Instant>,
}

#[derive(Debug)]
struct InFlightAppend {
    batch: u64,
    entries: Vec<ClaimEntry>,
}

impl AppendQueue {
    /// Returns an empty queue limited to `appends_per_s`.
    pub fn new(appends_per_s: u32) -> Self {
        let mut queue = Self {
            entries: VecDeque::new(),
            in_flight: None,
            next_batch: 1,
            consecutive_failures: 0,
            retry_at: None,
            append_interval: Duration::ZERO,
            burst_full_at: None,
        };
        queue.set_rate(appends_per_s, 1);
        queue
    }

    /// Limits this node to an equal share of `appends_per_s` among `live_nodes`.
    pub fn set_rate(&mut self, appends_per_s: u32, live_nodes: u32) {
        self.append_interval = Duration::from_secs(1) * live_nodes.max(1) / appends_per_s.max(1);
    }

    /// Time of the next append attempt if the log counts as down.
    pub fn log_down_until(&self) -> Option<Instant> {
        if self.consecutive_failures < LOG_DOWN_FAILURES { None } else { self.retry_at }
    }

    /// Adds an entry at the back.
    pub fn push(&mut self, entry: ClaimEntry) {
        self.entries.push_back(entry);
    }

    /// Drops queued entries that don't satisfy `predicate`; an append in flight is unaffected.
    pub fn retain(&mut self, predicate: impl Fn(&ClaimEntry) -> bool) {
        self.entries.retain(predicate);
    }

    /// Returns the next append unless one is in flight, backing off or over the rate limit.
    pub fn start_append(&mut self, now: Instant) -> Option<ClaimCommand> {
        let is_backing_off = self.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.in_flight.is_some()
            || self.entries.is_empty()
            || is_backing_off
            || !self.is_within_rate(now)
        {
            return None;
        }
        let full_at = self.burst_full_at.map_or(now, |full_at| full_at.max(now));
        self.burst_full_at = Some(full_at + self.append_interval);
        let count = self.entries.len().min(MAX_BATCH_ENTRIES);
        let entries: Vec<ClaimEntry> = self.entries.drain(..count).collect();
        let batch = self.next_batch;
        self.next_batch += 1;
        self.in_flight = Some(InFlightAppend { batch, entries: entries.clone() });
        Some(ClaimCommand::Append { batch, entries })
    }

    /// Records the result of the append of `batch`. Returns false if that batch is not in flight.
    /// The entries of an append that may not have taken effect return to the front of the queue.
    pub fn finish_append(&mut self, batch: u64, appended: bool, now: Instant) -> bool {
        let Some(finished) = self.in_flight.take_if(|in_flight| in_flight.batch == batch) else {
            return false;
        };
        if appended {
            self.consecutive_failures = 0;
            self.retry_at = None;
            return true;
        }
        for entry in finished.entries.into_iter().rev() {
            self.entries.push_front(entry);
        }
        let backoff_ms =
            (INITIAL_BACKOFF_MS << self.consecutive_failures.min(8)).min(MAX_BACKOFF_MS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = Some(now + Duration::from_millis(backoff_ms));
        true
    }

    fn is_within_rate(&self, now: Instant) -> bool {
        let burst = self.append_interval * (MAX_BURST_APPENDS - 1);
        self.burst_full_at.is_none_or(|full_at| full_at <= now + burst)
    }
}
