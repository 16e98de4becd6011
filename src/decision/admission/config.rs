//! Settings of admission.

use crate::types::Priority;
use std::time::Duration;

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Longest wait of an interactive request in milliseconds.
    pub interactive_wait_ms: u64,
    /// Longest wait of a normal request in milliseconds.
    pub normal_wait_ms: u64,
    /// Longest wait of a batch request in milliseconds.
    pub batch_wait_ms: u64,
    /// Seconds of its rate that a workspace may use at once.
    pub burst_s: f64,
    /// Requests that this node runs at once for each request that its share of the servers runs.
    pub running_factor: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            interactive_wait_ms: 300,
            normal_wait_ms: 600,
            batch_wait_ms: 5_000,
            burst_s: 2.0,
            running_factor: 1.25,
        }
    }
}

impl AdmissionConfig {
    /// Returns the longest wait of a request of `priority`.
    pub fn longest_wait(&self, priority: Priority) -> Duration {
        Duration::from_millis(match priority {
            Priority::Interactive => self.interactive_wait_ms,
            Priority::Normal => self.normal_wait_ms,
            Priority::Batch => self.batch_wait_ms,
        })
    }
}
