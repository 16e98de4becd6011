//! Budget that limits retries to a fraction of the first attempts.

use std::time::Instant;

/// Retries added to the budget per first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Retries added per second whatever the traffic, so that an idle node can retry.
const RETRIES_PER_S: f64 = 1.0;

/// Maximum number of available retries.
const MAX_AVAILABLE_RETRIES: f64 = 20.0;

/// Token bucket of retries, refilled by first attempts and, slowly, by time.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available_retries: f64,
    updated_at: Instant,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(now: Instant) -> Self {
        Self { available_retries: MAX_AVAILABLE_RETRIES, updated_at: now }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.refill(now);
        self.available_retries =
            (self.available_retries + RETRIES_PER_ATTEMPT).min(MAX_AVAILABLE_RETRIES);
    }

    /// Takes one retry; returns false if none is available.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.available_retries < 1.0 {
            return false;
        }
        self.available_retries -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.available_retries =
            (self.available_retries + elapsed_s * RETRIES_PER_S).min(MAX_AVAILABLE_RETRIES);
    }
}
