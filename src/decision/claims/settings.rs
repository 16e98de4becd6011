//! Settings of the claims decision.

use crate::types::Faults;
use std::time::Duration;

/// Least milliseconds by which the log must keep records beyond the memory of claims.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// Settings of the claims decision; all nodes must have the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimsSettings {
    /// Milliseconds after its first use (or the time that it carries) for which a key holds.
    pub key_age_ms: u64,
    /// Largest difference between the clocks of callers and of the log.
    pub clock_skew_ms: u64,
    /// Milliseconds for which the log is known to keep records.
    pub log_retention_ms: u64,
    /// Milliseconds that a call waits for its claim.
    pub claim_timeout_ms: u64,
    /// Milliseconds after which a claim that was given up is no longer taken up again.
    pub claim_reuse_ms: u64,
    /// Appends a second to the stream, over all nodes.
    pub appends_per_s: u32,
    /// Milliseconds for which an answer is kept for callers that send again.
    pub kept_answer_ms: u64,
    /// Bytes of all kept answers together.
    pub max_kept_answers_bytes: usize,
    /// Calls that may wait for a claim at once.
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
    /// Milliseconds of the log's clock for which claims are remembered.
    pub fn dedup_window_ms(&self) -> u64 {
        self.key_age_ms + 2 * self.clock_skew_ms
    }

    /// Reports the settings that do not fit each other.
    pub fn check(&self, path: &str, faults: &mut Faults) {
        faults.require(
            self.log_retention_ms >= self.dedup_window_ms() + RETENTION_MARGIN_MS,
            format!("{path}.log_retention_ms"),
            "must be above key_age_ms + 2 * clock_skew_ms by a minute",
        );
        let claim_ms = self.claim_timeout_ms + self.claim_reuse_ms;
        faults.require(
            claim_ms < RETENTION_MARGIN_MS && claim_ms <= 2 * self.clock_skew_ms,
            format!("{path}.claim_timeout_ms"),
            "must be, with claim_reuse_ms, below a minute and 2 * clock_skew_ms",
        );
        faults.require(self.appends_per_s > 0, format!("{path}.appends_per_s"), "must be above 0");
    }

    /// Period for which a call waits for its claim.
    pub(super) fn claim_timeout(&self) -> Duration {
        Duration::from_millis(self.claim_timeout_ms)
    }

    /// Period within which a claim that was given up may be taken up again.
    pub(super) fn claim_reuse(&self) -> Duration {
        Duration::from_millis(self.claim_reuse_ms)
    }
}
