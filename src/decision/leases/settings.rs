//! Settings of leases.

use serde::{Deserialize, Serialize};

/// Settings of leases.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Milliseconds that a lease lasts.
    pub lease_ms: u64,
    /// Milliseconds after an append at which the holder renews.
    pub renew_ms: u64,
    /// Milliseconds after which an append that was not read back is repeated.
    pub repeat_ms: u64,
    /// Longest time in milliseconds from the check of the deadline until an order takes effect.
    pub order_transit_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { lease_ms: 10_000, renew_ms: 3_000, repeat_ms: 2_000, order_transit_ms: 5_000 }
    }
}
