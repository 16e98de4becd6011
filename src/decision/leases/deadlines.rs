//! Deadline arithmetic shared by everything that is held by a record on the log.

use std::time::{Duration, Instant};

/// Part of a period by which two clocks may drift apart over it.
const DRIFT_DIVISOR: u64 = 100;
/// Least drift margin in milliseconds.
const LEAST_DRIFT_MARGIN_MS: u64 = 200;

/// Returns the margin that covers the drift of two clocks over `period_ms`.
pub fn drift_margin(period_ms: u64) -> Duration {
    Duration::from_millis(period_ms / DRIFT_DIVISOR + LEAST_DRIFT_MARGIN_MS)
}

/// Returns when a reader of a record may treat it as lapsed: the record's holder counts from
/// before its append, the reader from when it read the record, plus the drift margin.
pub fn reader_deadline(read_at: Instant, period_ms: u64) -> Instant {
    read_at + Duration::from_millis(period_ms) + drift_margin(period_ms)
}
