//! Admission control: sends a request to the chosen server or refuses it at once.
//!
//! A server whose backlog exceeds the latency objective would answer every request late. Refusing
//! the excess keeps the other requests on time. A retry after a refusal is late already, so it is
//! admitted with a much longer backlog, but at a lower priority than first tries.

use std::time::{Duration, Instant};

/// Fraction of the latency objective that the expected wait of a first try may take.
const FIRST_TRY_OBJECTIVE_FRACTION: f64 = 0.85;

/// Fraction of the remaining time that the expected wait of any request may take.
const REMAINING_TIME_FRACTION: f64 = 0.6;

/// Fraction of the timeout below which the remaining time marks a request as a retry.
const RETRY_REMAINING_FRACTION: f64 = 0.95;

/// Maximum expected wait of a retry: callers drop a stream that has not begun after two seconds.
const MAX_RETRY_EXPECTED_MS: f64 = 1_500.0;

/// Maximum delay after which a refused caller is told to retry.
const MAX_RETRY_DELAY_MS: f64 = 1_500.0;

/// Levels by which the priority of a retry is below that of a first try.
const RETRY_PRIORITY_STEP: u8 = 1;

/// Facts about a request that decide its admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Milliseconds that the caller still waits.
    pub remaining_ms: f64,
    /// Timeout of the route in milliseconds.
    pub timeout_ms: f64,
    /// Milliseconds within which the answer should begin.
    pub latency_objective_ms: f64,
    /// Whether a server has run part of the request; refusing it would waste that work.
    pub has_started: bool,
}

impl AdmissionRequest {
    /// Whether the caller has spent time on an earlier try or another node.
    pub fn is_retry(&self) -> bool {
        self.remaining_ms < self.timeout_ms * RETRY_REMAINING_FRACTION
    }

    /// Returns the priority to send to the server for a request of `priority`.
    pub fn server_priority(&self, priority: u8) -> u8 {
        if self.is_retry() { priority.saturating_add(RETRY_PRIORITY_STEP) } else { priority }
    }

    /// Returns when the caller should retry if the request must be refused, `None` if it is
    /// admitted.
    ///
    /// `expected_ms` is the expected time until the chosen server begins to answer.
    pub fn refusal_retry_at(&self, expected_ms: f64, now: Instant) -> Option<Instant> {
        if self.has_started {
            return None;
        }
        let limit_ms = if self.is_retry() {
            (self.remaining_ms * REMAINING_TIME_FRACTION).min(MAX_RETRY_EXPECTED_MS)
        } else {
            (self.latency_objective_ms * FIRST_TRY_OBJECTIVE_FRACTION)
                .min(self.remaining_ms * REMAINING_TIME_FRACTION)
        };
        if expected_ms <= limit_ms {
            return None;
        }
        let retry_delay_ms = (expected_ms - limit_ms / 2.0).min(MAX_RETRY_DELAY_MS);
        Some(now + Duration::from_secs_f64(retry_delay_ms / 1_000.0))
    }
}
