//! Settings, reports and commands of a weight rollout.

use crate::types::{ModelId, ServerId, ServiceId, WeightsRevision};
use std::collections::BTreeMap;
use std::time::Instant;
use strum::Display;

/// Settings of a weight rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Fraction of the servers that may load at once without slowing each other.
    pub loading_fraction: f64,
    /// Maximum fraction of a service's servers that are closed at once, including those that load.
    pub closed_fraction: f64,
    /// Servers that may load at once even if `loading_fraction` allows fewer; twice as many of a
    /// service may be closed, up to half of all.
    pub min_loading: usize,
    /// Milliseconds that a server takes to load weights while few others load.
    pub load_ms: u64,
    /// Milliseconds by which a server's report lags behind its state.
    pub report_lag_ms: u64,
    /// Milliseconds between the notice that closes a server and its order, for the notice to reach
    /// all nodes.
    pub notice_delay_ms: u64,
    /// Milliseconds after which resumable streams must leave a closed server.
    pub evict_after_ms: u64,
    /// Milliseconds after which a closed server is ordered even if it still has requests.
    pub drain_timeout_ms: u64,
    /// Milliseconds after which an unanswered order or report request counts as lost.
    pub answer_timeout_ms: u64,
    /// Milliseconds between the report requests to a loading server.
    pub report_period_ms: u64,
    /// Milliseconds after which outdated weights are replaced without waiting for running requests.
    pub max_run_wait_ms: u64,
    /// Milliseconds for which a server that does not answer is skipped.
    pub retry_delay_ms: u64,
}

impl RolloutSettings {
    /// Returns the settings for sites with so many nodes that notices and loads are forwarded.
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
            retry_delay_ms: 700,
        }
    }
}

/// What happens to running requests when a server replaces its weights.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunPolicy {
    /// The server waits until they end.
    Wait,
    /// They continue with the new weights.
    Keep,
}

/// State of one of the model's servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutServer {
    /// Id of the server.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Revision of the weights that it is believed to have loaded.
    pub revision: WeightsRevision,
    /// Requests of all nodes that have not ended.
    pub requests: u32,
    /// Since when its weights have been outdated, `None` if they are not.
    pub outdated_since: Option<Instant>,
}

/// Report of a server about its weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WeightsReport {
    /// Revision of the loaded weights of each model.
    pub weights: BTreeMap<ModelId, WeightsRevision>,
    /// Whether the server is carrying out an order.
    pub is_busy: bool,
    /// Orders accepted since the server started.
    pub accepted_orders: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum WeightsOrderOutcome {
    /// The server carries out the order.
    Accepted,
    /// The server has loaded the weights already.
    AlreadyHolds,
    /// Another order is running, or others were accepted since the report.
    Conflict,
    /// The server has seen a higher fencing number.
    Fenced,
    /// The server rejects the order as invalid.
    Invalid,
    /// There was no answer; the order may still be carried out.
    Unknown,
}

/// Command to the caller of the rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutCommand {
    /// Close the server to new requests on all nodes.
    Close(ServerId),
    /// Make resumable streams leave the server, on all nodes.
    Evict(ServerId),
    /// Request a report from the server.
    Report(ServerId),
    /// Order the server to load the weights.
    Order {
        /// Server to order.
        server: ServerId,
        /// Expected number of orders that the server has accepted; another number makes it reject
        /// the order.
        accepted_orders: u64,
        /// What happens to its running requests.
        runs: RunPolicy,
    },
    /// Reopen the server on all nodes: it has loaded the weights.
    Finish {
        /// Server to reopen.
        server: ServerId,
        /// Revision of the weights that it has loaded.
        revision: WeightsRevision,
    },
    /// Reopen the server, which does not answer; the rollout tries it again later.
    Abandon(ServerId),
}
