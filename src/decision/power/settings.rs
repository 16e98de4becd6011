//! Settings of power shares and transfers.

use serde::{Deserialize, Serialize};

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
    pub ask_ms: u64,
    /// Milliseconds for which an unused grant is kept.
    pub grant_idle_ms: u64,
}

impl Default for PowerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 900_000,
            renew_ms: 60_000,
            repeat_ms: 2_000,
            work_limit_ms: 120_000,
            transit_ms: 5_000,
            ask_ms: 400,
            grant_idle_ms: 2_000,
        }
    }
}
