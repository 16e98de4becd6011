//! Settings of power shares and transfers.

use serde::{Deserialize, Serialize};

/// Milliseconds by which a grant is rounded up.
const GRANT_ROUNDING_MS: u64 = 1;

/// Settings of power shares and transfers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PowerSettings {
    /// Milliseconds that a share lasts: the longest log outage that passes unnoticed, plus the
    /// longest request.
    pub lease_ms: u64,
    /// Milliseconds after an append at which a share is renewed.
    pub renew_ms: u64,
    /// Milliseconds after which an append that was not read back is repeated.
    pub repeat_ms: u64,
    /// Longest time in milliseconds from the start of a request to its deadline.
    pub work_limit_ms: u64,
    /// Longest time in milliseconds by which a server may end a request after its deadline,
    /// because the request was under way.
    pub transit_ms: u64,
    /// Milliseconds between asks while power is lacking; an ask is answered within it or not at
    /// all.
    #[serde(rename = "ask_ms")]
    pub ask_period_ms: u64,
    /// Milliseconds beyond the request that lacked power for which a grant is asked, so that later
    /// requests can use it too.
    pub grant_reuse_ms: u64,
    /// Milliseconds after the last message of a giver from which its grants cover no new work.
    #[serde(rename = "heard_ms")]
    pub contact_timeout_ms: u64,
    /// Longest time in milliseconds by which a server's load report lags.
    pub report_lag_ms: u64,
    /// Milliseconds between probes of an instance that has a share and no link to this node.
    pub probe_ms: u64,
    /// Milliseconds for which an unused grant is kept.
    pub grant_idle_ms: u64,
}

impl PowerSettings {
    /// Returns the longest time in milliseconds for which work or grants of an instance can go on
    /// after the instance has ended.
    pub fn outlast_ms(&self) -> u64 {
        self.work_limit_ms + self.grant_reuse_ms + GRANT_ROUNDING_MS
    }

    /// Returns the time in milliseconds after an instance has ended from which a load report
    /// without requests shows that its work has ended on that server too: no grant of it covers
    /// new work, nothing is under way, and the report does not show an earlier state.
    pub fn idle_proof_ms(&self) -> u64 {
        let last_grant_ms = self.transit_ms.max(self.ask_period_ms);
        last_grant_ms + self.contact_timeout_ms + self.transit_ms + self.report_lag_ms
    }
}

impl Default for PowerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 900_000,
            renew_ms: 60_000,
            repeat_ms: 2_000,
            work_limit_ms: 120_000,
            transit_ms: 3_000,
            ask_period_ms: 400,
            grant_reuse_ms: 30_000,
            contact_timeout_ms: 3_000,
            report_lag_ms: 4_000,
            probe_ms: 2_000,
            grant_idle_ms: 2_000,
        }
    }
}
