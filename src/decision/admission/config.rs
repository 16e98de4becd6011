//! Settings of admission.

use super::{Refusal, RefusalReason};
use crate::types::Priority;
use std::time::{Duration, Instant};

/// Minimum time after which a refused caller may retry.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Maximum queue wait of an interactive request in milliseconds.
    pub max_interactive_wait_ms: u64,
    /// Maximum queue wait of a normal request in milliseconds.
    pub max_normal_wait_ms: u64,
    /// Maximum queue wait of a batch request in milliseconds.
    pub max_batch_wait_ms: u64,
    /// Burst of a workspace's rate limits, in seconds at the full rate.
    pub burst_s: f64,
    /// Concurrent requests of this node as a multiple of its share of the servers' capacity.
    pub overcommit_factor: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_interactive_wait_ms: 300,
            max_normal_wait_ms: 600,
            max_batch_wait_ms: 5_000,
            burst_s: 2.0,
            overcommit_factor: 1.25,
        }
    }
}

impl AdmissionConfig {
    /// Returns the refusal of a request that would wait for `wait`; it may be retried when the wait
    /// will have shrunk to the maximum of its priority.
    pub fn wait_refusal(&self, priority: Priority, wait: Duration, now: Instant) -> Refusal {
        let excess = wait.saturating_sub(self.max_wait(priority));
        Refusal { reason: RefusalReason::WaitTooLong, retry_at: now + excess.max(MIN_RETRY_DELAY) }
    }

    /// Returns the maximum queue wait of requests with `priority`.
    pub fn max_wait(&self, priority: Priority) -> Duration {
        Duration::from_millis(match priority {
            Priority::Interactive => self.max_interactive_wait_ms,
            Priority::Normal => self.max_normal_wait_ms,
            Priority::Batch => self.max_batch_wait_ms,
        })
    }
}
