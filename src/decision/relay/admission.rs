//! Whether a request is sent to the server chosen for it, or refused at once.
//!
//! A server with more work than it can begin within the latency objective would answer everything
//! late. Refusing what exceeds the objective keeps the others on time; a caller that comes back after
//! a refusal is late already and is served whatever the backlog, behind those that can be on time.

use std::time::{Duration, Instant};

/// Part of the latency objective that the work ahead of a new request may take.
const FIRST_TRY_OBJECTIVE_FRACTION: f64 = 0.85;

/// Part of the remaining time that the work ahead of any request may take.
const REMAINING_TIME_FRACTION: f64 = 0.6;

/// Part of the time at first from which a request counts as one that comes back.
const RETRY_REMAINING_FRACTION: f64 = 0.95;

/// Milliseconds of work ahead beyond which no request is sent: callers leave a stream that has not
/// begun after two seconds.
const MAX_EXPECTED_MS: f64 = 1_500.0;

/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_DELAY_MS: f64 = 1_500.0;

/// Priorities by which a request that comes back stands behind new ones.
const RETRY_PRIORITY_STEP: u8 = 1;

/// Request as far as it decides the admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Milliseconds that the caller waits from now on.
    pub remaining_ms: f64,
    /// Milliseconds that callers of the route wait at first.
    pub timeout_ms: f64,
    /// Milliseconds within which the answer should begin.
    pub latency_objective_ms: f64,
    /// Whether a server has run it in part, so that refusing it would waste that.
    pub has_started: bool,
}

impl AdmissionRequest {
    /// Whether the caller has used some of its time before, at another node or try.
    pub fn is_retry(&self) -> bool {
        self.remaining_ms < self.timeout_ms * RETRY_REMAINING_FRACTION
    }

    /// Returns the priority with which servers are to take the request.
    pub fn server_priority(&self, priority: u8) -> u8 {
        if self.is_retry() { priority.saturating_add(RETRY_PRIORITY_STEP) } else { priority }
    }

    /// Returns when the caller should come back if the server that would begin in `expected_ms`
    /// must not get the request, none if it may.
    pub fn refusal_retry_at(&self, expected_ms: f64, now: Instant) -> Option<Instant> {
        if self.has_started {
            return None;
        }
        let limit_ms = if self.is_retry() {
            (self.remaining_ms * REMAINING_TIME_FRACTION).min(MAX_EXPECTED_MS)
        } else {
            (self.latency_objective_ms * FIRST_TRY_OBJECTIVE_FRACTION)
                .min(self.remaining_ms * REMAINING_TIME_FRACTION)
        };
        if expected_ms <= limit_ms {
            return None;
        }
        let excess_ms = (expected_ms - limit_ms / 2.0).min(MAX_RETRY_DELAY_MS);
        Some(now + Duration::from_secs_f64(excess_ms / 1_000.0))
    }
}
