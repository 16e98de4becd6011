//! Timing of power shares and transfers.

use serde::{Deserialize, Serialize};

/// Milliseconds added to the validity of a grant when it is rounded up.
const GRANT_ROUNDING_MS: u64 = 1;

/// Timing of power shares and transfers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PowerSettings {
    /// Milliseconds after which a share expires unless it is renewed: the longest log outage to
    /// bridge, plus the longest request.
    pub lease_ms: u64,
    /// Milliseconds from an append until the share is renewed.
    #[serde(rename = "renew_ms")]
    pub renew_after_ms: u64,
    /// Milliseconds after which an append that was not read back from the log is repeated.
    #[serde(rename = "repeat_ms")]
    pub repeat_append_after_ms: u64,
    /// Maximum time in milliseconds from the start of a request to its deadline.
    pub work_limit_ms: u64,
    /// Maximum time in milliseconds that a request takes to reach its server, by which the server
    /// may run it beyond its deadline.
    #[serde(rename = "transit_ms")]
    pub request_transit_ms: u64,
    /// Milliseconds between asks while power is lacking; grants that answer an ask later are
    /// returned.
    #[serde(rename = "ask_ms")]
    pub ask_period_ms: u64,
    /// Milliseconds by which the requested validity of a grant exceeds the request that lacked
    /// power, so that later requests can use the grant too.
    pub grant_reuse_ms: u64,
    /// Milliseconds after the last contact with a giver from which its grants cover no new
    /// requests.
    #[serde(rename = "heard_ms")]
    pub contact_timeout_ms: u64,
    /// Maximum age in milliseconds of the state that a server's load report shows.
    pub report_lag_ms: u64,
    /// Milliseconds between probes of an instance that has a share and no link to this node.
    #[serde(rename = "probe_ms")]
    pub probe_period_ms: u64,
    /// Milliseconds after which an unused grant is returned.
    #[serde(rename = "grant_idle_ms")]
    pub grant_idle_timeout_ms: u64,
}

impl PowerSettings {
    /// Returns the maximum time in milliseconds for which requests or grants of an instance can
    /// outlast its process.
    pub fn outlast_ms(&self) -> u64 {
        self.work_limit_ms + self.grant_reuse_ms + GRANT_ROUNDING_MS
    }

    /// Returns the milliseconds after the end of an instance from which an idle load report proves
    /// that the server runs none of its requests: by then its grants cover no new requests, none is
    /// in transit, and the report does not show an earlier state.
    pub fn idle_proof_delay_ms(&self) -> u64 {
        let last_grant_ms = self.request_transit_ms.max(self.ask_period_ms);
        last_grant_ms + self.contact_timeout_ms + self.request_transit_ms + self.report_lag_ms
    }
}

impl Default for PowerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 900_000,
            renew_after_ms: 60_000,
            repeat_append_after_ms: 2_000,
            work_limit_ms: 120_000,
            request_transit_ms: 3_000,
            ask_period_ms: 400,
            grant_reuse_ms: 30_000,
            contact_timeout_ms: 3_000,
            report_lag_ms: 4_000,
            probe_period_ms: 2_000,
            grant_idle_timeout_ms: 2_000,
        }
    }
}
