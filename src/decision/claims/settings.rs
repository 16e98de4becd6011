//! Settings of the claims decision.

use crate::types::Faults;
use std::time::Duration;

/// Minimum milliseconds for which the log must keep records beyond the deduplication window.
const MIN_RETENTION_MARGIN_MS: u64 = 60_000;

/// Settings of the claims decision; all nodes must have the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimsSettings {
    /// Milliseconds after its first use, or after the creation time in the key, for which a key is
    /// valid.
    pub key_age_ms: u64,
    /// Maximum difference in milliseconds between the clocks of callers and of the log.
    pub clock_skew_ms: u64,
    /// Milliseconds for which the log keeps records.
    pub log_retention_ms: u64,
    /// Milliseconds that a request waits for its claim to be read back from the log.
    pub claim_timeout_ms: u64,
    /// Milliseconds from the creation of a claim in which a retry may reuse it after a timeout.
    pub claim_reuse_ms: u64,
    /// Maximum appends per second to the stream, over all nodes.
    pub appends_per_s: u32,
    /// Milliseconds for which an answer is kept for retries.
    pub kept_answer_ms: u64,
    /// Maximum bytes of all kept answers together.
    pub max_kept_answers_bytes: usize,
    /// Maximum claims that may be pending at once.
    pub max_pending_claims: usize,
}

impl Default for ClaimsSettings {
    fn default() -> Self {
        Self {
            key_age_ms: 300_000,
            clock_skew_ms: 30_000,
            log_retention_ms: 600_000,
            claim_timeout_ms: 3_000,
            claim_reuse_ms: 20_000,
            appends_per_s: 200,
            kept_answer_ms: 60_000,
            max_kept_answers_bytes: 4 << 20,
            max_pending_claims: 1_024,
        }
    }
}

impl ClaimsSettings {
    /// Milliseconds, by the log's clock, for which claims are tracked to detect retries.
    pub fn dedup_window_ms(&self) -> u64 {
        self.key_age_ms + 2 * self.clock_skew_ms
    }

    /// Reports inconsistent settings under `path`.
    pub fn check(&self, path: &str, faults: &mut Faults) {
        faults.require(
            self.log_retention_ms >= self.dedup_window_ms() + MIN_RETENTION_MARGIN_MS,
            format!("{path}.log_retention_ms"),
            "must be above key_age_ms + 2 * clock_skew_ms by a minute",
        );
        let claim_ms = self.claim_timeout_ms + self.claim_reuse_ms;
        faults.require(
            claim_ms < MIN_RETENTION_MARGIN_MS && claim_ms <= 2 * self.clock_skew_ms,
            format!("{path}.claim_timeout_ms"),
            "must, together with claim_reuse_ms, be below a minute and at most 2 * clock_skew_ms",
        );
        faults.require(self.appends_per_s > 0, format!("{path}.appends_per_s"), "must be above 0");
    }

    /// [`Self::claim_timeout_ms`] as a duration.
    pub(super) fn claim_timeout(&self) -> Duration {
        Duration::from_millis(self.claim_timeout_ms)
    }

    /// [`Self::claim_reuse_ms`] as a duration.
    pub(super) fn claim_reuse(&self) -> Duration {
        Duration::from_millis(self.claim_reuse_ms)
    }
}
