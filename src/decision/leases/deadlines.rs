//! Deadlines of leases and other rights that a log record grants for a limited time.

use std::time::{Duration, Instant};

/// Divisor of the drift margin: two clocks drift apart by at most 1/100 of a period.
const DRIFT_DIVISOR: u64 = 100;
/// Minimum drift margin in milliseconds.
const MIN_DRIFT_MARGIN_MS: u64 = 200;

/// Returns the margin that covers the drift between two clocks over `period_ms`.
pub fn drift_margin(period_ms: u64) -> Duration {
    Duration::from_millis(period_ms / DRIFT_DIVISOR + MIN_DRIFT_MARGIN_MS)
}

/// Returns when a node that read a record at `read_at` may treat it as lapsed. The record's author
/// counts `period_ms` from before its append, so it stops using the record earlier than that.
pub fn reader_deadline(read_at: Instant, period_ms: u64) -> Instant {
    read_at + Duration::from_millis(period_ms) + drift_margin(period_ms)
}
