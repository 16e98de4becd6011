//! Lease durations and retry periods.

use serde::{Deserialize, Serialize};

/// Lease durations and retry periods.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Duration of a lease in milliseconds.
    pub lease_ms: u64,
    /// Milliseconds from an append until the holder renews the lease.
    #[serde(rename = "renew_ms")]
    pub renew_after_ms: u64,
    /// Milliseconds until an append that has not been read back is repeated.
    #[serde(rename = "repeat_ms")]
    pub repeat_append_after_ms: u64,
    /// Maximum milliseconds from the check of the lease deadline until an order takes effect.
    pub order_transit_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            renew_after_ms: 3_000,
            repeat_append_after_ms: 2_000,
            order_transit_ms: 5_000,
        }
    }
}
