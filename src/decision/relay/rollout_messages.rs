//! Settings, reports and commands of a rollout.

use crate::types::{ModelId, ServerId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::Instant;
use strum::Display;

/// Settings of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Part of the servers that may load at once without slowing each other.
    pub loading_fraction: f64,
    /// Part of the servers that may be closed at once, those that load among them.
    pub closed_fraction: f64,
    /// Servers that may load at once whatever their number.
    pub min_loading: usize,
    /// Milliseconds that a server takes to load weights while few others do.
    pub load_ms: u64,
    /// Milliseconds by which a server's report lags.
    pub report_lag_ms: u64,
    /// Milliseconds between the notice that closes a server and the order: the way to all nodes.
    pub notice_delay_ms: u64,
    /// Milliseconds after which streams that can go on elsewhere are taken off a closed server.
    pub evict_after_ms: u64,
    /// Milliseconds for which a closed server's requests are waited for before it is ordered.
    pub drain_timeout_ms: u64,
    /// Milliseconds until an order or report without an answer counts as lost.
    pub answer_timeout_ms: u64,
    /// Milliseconds between reports of a server that changes.
    pub report_period_ms: u64,
    /// Milliseconds after which runs on outdated weights are no longer waited for.
    pub max_run_wait_ms: u64,
    /// Milliseconds for which a server that does not answer is left alone.
    pub retry_ms: u64,
}

impl RolloutSettings {
    /// Returns the settings for so many nodes that notices and loads go over several of them.
    pub fn for_many_nodes() -> Self {
        Self { notice_delay_ms: 300, evict_after_ms: 300, closed_fraction: 0.25, ..Self::default() }
    }
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            loading_fraction: 0.2,
            closed_fraction: 0.4,
            min_loading: 2,
            load_ms: 430,
            report_lag_ms: 200,
            notice_delay_ms: 60,
            evict_after_ms: 250,
            drain_timeout_ms: 1_500,
            answer_timeout_ms: 250,
            report_period_ms: 60,
            max_run_wait_ms: 4_500,
            retry_ms: 700,
        }
    }
}

/// What happens to the runs of a server that changes its weights.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunPolicy {
    /// The change waits until they end.
    Wait,
    /// They go on under the new weights.
    Keep,
}

/// Server of the model, as the fleet knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutServer {
    /// Id.
    pub id: ServerId,
    /// Weights that it is believed to hold.
    pub revision: WeightsRevision,
    /// Requests at the server.
    pub requests: u32,
    /// Since when its weights have been outdated, none if they are not.
    pub outdated_since: Option<Instant>,
}

/// Report of a server about its weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightsReport {
    /// Weights of each model.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that the server has accepted since its start.
    pub accepted_orders: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum WeightsOrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// The server holds the weights already.
    AlreadyHolds,
    /// Another order is under way, or others were accepted meanwhile.
    Conflict,
    /// A higher fencing number was used.
    Fenced,
    /// The server rejects the order for good.
    Invalid,
    /// There was no answer; the order may still be carried out.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutCommand {
    /// Close the server to new requests on all nodes.
    Close(ServerId),
    /// Take streams that can go on elsewhere off the server, on all nodes.
    Evict(ServerId),
    /// Ask the server for its report.
    Report(ServerId),
    /// Order the server to change.
    Order {
        /// Server.
        server: ServerId,
        /// Orders that the server must have accepted so far for this one to count.
        accepted_orders: u64,
        /// What happens to its runs.
        runs: RunPolicy,
    },
    /// The server holds the weights: reopen it on all nodes.
    Finish {
        /// Server.
        server: ServerId,
        /// Its weights.
        revision: WeightsRevision,
    },
    /// The server does not answer: reopen it, it is tried again later.
    Abandon(ServerId),
}
