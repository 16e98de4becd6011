//! Token bucket of one owner of a quota.

use super::messages::QuotaLimit;
use super::owners::OWNERS;
use super::window::WindowSum;
use std::time::{Duration, Instant};

/// Part of the burst below which requests of priority 1 are denied; each lower priority adds as much.
const RESERVE_FRACTION: f64 = 0.1;

/// Priority from which the reserve does not grow.
const LOWEST_RESERVED_PRIORITY: u8 = 3;

/// Seconds' worth of the rate below which a request is small.
const SMALL_REQUEST_S: f64 = 0.01;

/// Minimum burst in seconds' worth of the rate: a bucket without any would never grant.
const MIN_BURST_S: f64 = 0.1;

/// Longest time after which a denied caller is told to come back.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Bucket with one owner's part of a quota.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    limit: QuotaLimit,
    /// Part of the limit that the owners grant together.
    part: f64,
    /// Units left as of `filled_at`.
    level: f64,
    filled_at: Instant,
    /// Units of denied requests whose callers were told when to come back, so that they do not all
    /// come at the same moment.
    promised: f64,
    /// Units that were granted within the window.
    granted: WindowSum,
}

impl Bucket {
    /// Returns a bucket that is empty at `filled_at`.
    pub(super) fn new(limit: QuotaLimit, filled_at: Instant) -> Self {
        Self {
            limit,
            part: 1.0,
            level: 0.0,
            filled_at,
            promised: 0.0,
            granted: WindowSum::new(filled_at),
        }
    }

    /// Returns the revision of the limit.
    pub(super) fn revision(&self) -> u64 {
        self.limit.revision
    }

    /// Returns the units left.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Sets which part of the limit the owners grant together.
    pub(super) fn set_part(&mut self, part: f64, now: Instant) {
        if part == self.part {
            return;
        }
        self.fill(now);
        self.part = part;
        self.level = self.level.min(self.capacity());
    }

    /// Applies a limit unless the known one is newer.
    pub(super) fn set_limit(&mut self, limit: QuotaLimit, now: Instant) {
        if limit.revision <= self.limit.revision {
            return;
        }
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
        self.promised = 0.0;
    }

    /// Takes the units of a request.
    ///
    /// # Errors
    ///
    /// The delay after which there is probably room for it.
    pub(super) fn take(&mut self, units: u64, priority: u8, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        let reserve = self.reserve(units, priority);
        let excess = self.window_excess(now);
        if self.level > reserve && excess <= 0.0 {
            self.level -= units as f64;
            self.granted.add(units as i64, now);
            return Ok(());
        }
        let missing = (reserve - self.level).max(excess) + self.promised;
        let delay_s = (missing / self.rate_per_s()).min(MAX_RETRY_DELAY.as_secs_f64());
        self.promised += units as f64;
        Err(Duration::from_secs_f64(delay_s.max(0.0)))
    }

    /// Adds units that were granted in vain; removes them if negative.
    pub(super) fn correct(&mut self, units: i64, now: Instant) {
        self.fill(now);
        self.level = (self.level + units as f64).min(self.capacity());
        self.granted.add(-units, now);
    }

    /// Returns the units that were granted in the last window beyond its sum.
    fn window_excess(&mut self, now: Instant) -> f64 {
        let QuotaLimit { window_ms, window_units, .. } = self.limit;
        if window_ms == 0 {
            return 0.0;
        }
        let granted = self.granted.sum(Duration::from_millis(window_ms), now);
        granted as f64 - window_units as f64 * self.part / OWNERS as f64
    }

    fn fill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let filled = self.rate_per_s() * elapsed_s;
        self.level = (self.level + filled).min(self.capacity());
        self.promised = (self.promised - filled).max(0.0);
        self.filled_at = self.filled_at.max(now);
    }

    fn rate_per_s(&self) -> f64 {
        self.limit.rate_per_s.max(1) as f64 * self.part / OWNERS as f64
    }

    fn capacity(&self) -> f64 {
        (self.limit.burst as f64 * self.part / OWNERS as f64).max(self.rate_per_s() * MIN_BURST_S)
    }

    /// Returns what a request leaves to more urgent ones; a small one takes little from them, so that
    /// it leaves less.
    fn reserve(&self, units: u64, priority: u8) -> f64 {
        let levels = priority.min(LOWEST_RESERVED_PRIORITY);
        let relative_size = (units as f64 / (self.rate_per_s() * SMALL_REQUEST_S)).min(1.0);
        self.capacity() * RESERVE_FRACTION * f64::from(levels) * relative_size
    }
}
