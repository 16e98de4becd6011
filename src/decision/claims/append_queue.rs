//! Queue of claim entries: one append under way at a time, paced to the node's share of appends.

use super::messages::ClaimCommand;
use super::record::ClaimEntry;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Entries in one batch at most.
const BATCH_ENTRIES: usize = 256;
/// Appends that a node may do at once after a pause.
const BURST_APPENDS: u32 = 8;
/// Wait after the first failed append; it doubles up to [`LONGEST_BACKOFF_MS`].
const FIRST_BACKOFF_MS: u64 = 50;
/// Longest wait after a failed append.
const LONGEST_BACKOFF_MS: u64 = 1_000;
/// Failed appends in a row after which the log counts as down.
const FAILURES_DOWN: u32 = 3;

/// Queue of entries to append.
#[derive(Debug)]
pub struct AppendQueue {
    entries: VecDeque<ClaimEntry>,
    under_way: Option<UnderWay>,
    next_batch: u64,
    failures: u32,
    retry_at: Option<Instant>,
    interval: Duration,
    /// When the allowance is full again; an append moves it one interval on.
    allowance_full_at: Option<Instant>,
}

#[derive(Debug)]
struct UnderWay {
    batch: u64,
    entries: Vec<ClaimEntry>,
}

impl AppendQueue {
    /// Returns an empty queue for `appends_per_s` appends a second.
    pub fn new(appends_per_s: u32) -> Self {
        let mut queue = Self {
            entries: VecDeque::new(),
            under_way: None,
            next_batch: 1,
            failures: 0,
            retry_at: None,
            interval: Duration::ZERO,
            allowance_full_at: None,
        };
        queue.set_share(appends_per_s, 1);
        queue
    }

    /// Shares `appends_per_s` among `live_nodes`.
    pub fn set_share(&mut self, appends_per_s: u32, live_nodes: u32) {
        self.interval = Duration::from_secs(1) * live_nodes.max(1) / appends_per_s.max(1);
    }

    /// When the next append may be tried, if the log counts as down.
    pub fn down_until(&self) -> Option<Instant> {
        if self.failures < FAILURES_DOWN { None } else { self.retry_at }
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: ClaimEntry) {
        self.entries.push_back(entry);
    }

    /// Keeps only the waiting entries for which `wanted` holds.
    pub fn retain(&mut self, wanted: impl Fn(&ClaimEntry) -> bool) {
        self.entries.retain(wanted);
    }

    /// Starts the next append if one may start.
    pub fn start(&mut self, now: Instant) -> Option<ClaimCommand> {
        let waits = self.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.under_way.is_some() || self.entries.is_empty() || waits || !self.has_allowance(now)
        {
            return None;
        }
        let full_at = self.allowance_full_at.map_or(now, |full_at| full_at.max(now));
        self.allowance_full_at = Some(full_at + self.interval);
        let count = self.entries.len().min(BATCH_ENTRIES);
        let entries: Vec<ClaimEntry> = self.entries.drain(..count).collect();
        let batch = self.next_batch;
        self.next_batch += 1;
        self.under_way = Some(UnderWay { batch, entries: entries.clone() });
        Some(ClaimCommand::Append { batch, entries })
    }

    /// Ends the append of `batch`. Returns whether it was the one under way. Entries of an append
    /// whose effect is unknown go back to the front.
    pub fn end(&mut self, batch: u64, appended: bool, now: Instant) -> bool {
        let Some(ended) = self.under_way.take_if(|under_way| under_way.batch == batch) else {
            return false;
        };
        if appended {
            self.failures = 0;
            self.retry_at = None;
            return true;
        }
        for entry in ended.entries.into_iter().rev() {
            self.entries.push_front(entry);
        }
        let backoff_ms = (FIRST_BACKOFF_MS << self.failures.min(8)).min(LONGEST_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + Duration::from_millis(backoff_ms));
        true
    }

    fn has_allowance(&self, now: Instant) -> bool {
        let burst = self.interval * (BURST_APPENDS - 1);
        self.allowance_full_at.is_none_or(|full_at| full_at <= now + burst)
    }
}
