//! Messages between the nodes that receive requests and the owners of quotas.

use crate::types::WorkspaceId;
use serde::{Deserialize, Serialize};

/// What the owners of a quota grant together, as of a revision of the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaLimit {
    /// Revision of the configuration; the owner applies the newest that it has seen.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Units a second.
    #[serde(rename = "r")]
    pub rate_per_s: u64,
    /// Units beyond the rate at one moment.
    #[serde(rename = "b")]
    pub burst: u64,
    /// Length of the window in which the sum is bounded, 0 without such a bound.
    #[serde(rename = "m", default)]
    pub window_ms: u64,
    /// Maximum units in any window.
    #[serde(rename = "s", default)]
    pub window_units: u64,
}

/// Value of [`QuotaQuery::seen_permille`] of a node that sees all others.
pub const ALL_SEEN_PERMILLE: u16 = 1_000;

/// Asks an owner whether a request is within the quota of its workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaQuery {
    /// Workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
    /// Limit as known to the sender.
    #[serde(rename = "l")]
    pub limit: QuotaLimit,
    /// Units of the request.
    #[serde(rename = "u")]
    pub units: u64,
    /// Priority of the request's route, 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Milliseconds since the start of the sender, the maximum if it does not say.
    #[serde(rename = "a", default = "unknown_age")]
    pub sender_age_ms: u32,
    /// Thousandths of the nodes that the sender sees, all if it does not say. An owner that has started
    /// inside a cut learns from it that there is another side.
    #[serde(rename = "f", default = "all_seen")]
    pub seen_permille: u16,
}

fn all_seen() -> u16 {
    ALL_SEEN_PERMILLE
}

fn unknown_age() -> u32 {
    u32::MAX
}

/// Answer of an owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaAnswer {
    /// The request is within the quota.
    Granted,
    /// It is not.
    Denied {
        /// Milliseconds until there is probably room for it.
        retry_ms: u32,
        /// Units left, negative after a request that was larger than what was left.
        level: i64,
        /// Revision of the limit that was applied.
        revision: u64,
    },
    /// The node does not own the quota, or does not know yet what other nodes have granted.
    NotOwner,
}

/// Corrects what an owner has granted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaCorrection {
    /// Workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceId,
    /// Units that no server ran, negative for units of a resend after a possible run.
    #[serde(rename = "u")]
    pub units: i64,
}
