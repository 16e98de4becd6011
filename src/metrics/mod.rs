//! Metrics of a node, exposed in the OpenMetrics text format.
//!
//! `docs/operators/metrics.md` describes every metric family.

pub mod labels;

pub use labels::{
    FailureLabels, LeaseLabels, PeerLabels, ReasonLabels, StreamLabels, WorkspaceLabels,
};

use crate::adapters::caller_memory::CallerMemoryMetrics;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::fmt;
use std::hash::Hash;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Gauge of a time in seconds, with fractions.
pub type SecondsGauge = Gauge<f64, AtomicU64>;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Family of latency histograms, one for each label set.
#[derive(Clone, Debug)]
pub struct LatencyFamily<L>(Family<L, Histogram, fn() -> Histogram>);

impl<L: Clone + Eq + Hash> LatencyFamily<L> {
    /// Creates a family; `histogram` constructs the histogram of a new label set.
    pub fn new(histogram: fn() -> Histogram) -> Self {
        Self(Family::new_with_constructor(histogram))
    }

    /// Records `latency` in the histogram of `labels`.
    pub fn observe(&self, labels: &L, latency: Duration) {
        self.0.get_or_create(labels).observe(latency.as_secs_f64());
    }

    /// Returns the underlying family, to be registered.
    pub fn family(&self) -> Family<L, Histogram, fn() -> Histogram> {
        self.0.clone()
    }
}

impl Default for LatencyFamily<WorkspaceLabels> {
    fn default() -> Self {
        Self::new(|| Histogram::new(LATENCY_BUCKETS_S))
    }
}

/// Metrics of a node; clones share their values. Fields have the names of the exposed metrics.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Model requests answered completely.
    pub answers: Family<WorkspaceLabels, Counter>,
    /// Failed calls, by error code and by whether they were executed.
    pub failures: Family<FailureLabels, Counter>,
    /// Time to first token, measured from the arrival of the request.
    pub first_token_seconds: LatencyFamily<WorkspaceLabels>,
    /// Prompt tokens of completely answered requests, as counted by the engines.
    pub prompt_tokens: Family<WorkspaceLabels, Counter>,
    /// Prompt tokens of completely answered requests that engines reused from their KV cache.
    pub cached_tokens: Family<WorkspaceLabels, Counter>,
    /// Prompt tokens that the router expected to be cached but the engine recomputed.
    pub recomputed_tokens: Family<WorkspaceLabels, Counter>,
    /// Routing decisions, by reason.
    pub route_decisions: Family<ReasonLabels, Counter>,
    /// Retries of model requests.
    pub retries: Counter,
    /// Failed exchanges with peers, by kind of peer and step.
    pub peer_errors: Family<PeerLabels, Counter>,
    /// Leases held by this node.
    pub leases_held: Gauge,
    /// Fencing number of the latest acquisition, by lease.
    pub lease_fencing_number: Family<LeaseLabels, Gauge>,
    /// Placement orders, by reason.
    pub placement_orders: Family<ReasonLabels, Counter>,
    /// Watts that this node may commit.
    pub power_share_watts: Gauge,
    /// Watts that this node has committed.
    pub power_committed_watts: Gauge,
    /// Watts granted to partners and not returned yet.
    pub power_given_watts: Gauge,
    /// Watts granted by partners.
    pub power_received_watts: Gauge,
    /// Attempts cancelled because the power budget no longer covered them.
    pub power_shed: Counter,
    /// Nodes that this node considers live, including itself.
    pub live_nodes: Gauge,
    /// Bytes sent to partners.
    pub link_sent_bytes: Counter,
    /// Bytes received from partners.
    pub link_received_bytes: Counter,
    /// Messages to partners dropped because the send queue of the connection was full.
    pub link_dropped_messages: Counter,
    /// Verdicts on the claims of calls with an idempotency key.
    pub claims: Family<ReasonLabels, Counter>,
    /// Offset of the next read, by log stream.
    pub log_read_offset: Family<StreamLabels, Gauge>,
    /// Unix time of the last successful read, by log stream.
    pub log_read_timestamp_seconds: Family<StreamLabels, SecondsGauge>,
    /// Failed reads, by log stream.
    pub log_read_failures: Family<StreamLabels, Counter>,
    /// Revision of the document in force.
    pub document_revision: Gauge,
    /// Latest accepted revision; above the revision in force while that document is held back.
    pub document_accepted_revision: Gauge,
    /// 1 while the latest accepted document is held back because this build finds it invalid, or
    /// while a record of a later format stops the fold.
    pub document_held_back: Gauge,
    /// Malformed records read from the configuration stream.
    pub configuration_bad_records: Counter,
    /// Requests to the administration API, by outcome.
    pub admin_requests: Family<ReasonLabels, Counter>,
    /// Memory that callers make the node hold.
    pub caller_memory: CallerMemoryMetrics,
}

impl Metrics {
    /// Returns a registry that exposes these metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("coriandertide");
        self.register_traffic(&mut registry);
        self.caller_memory.register(&mut registry, "");
        self.register_control(&mut registry);
        self.register_configuration(&mut registry);
        registry
    }

    fn register_traffic(&self, registry: &mut Registry) {
        registry.register("answers", "Complete answers", self.answers.clone());
        registry.register("failures", "Failed calls by code", self.failures.clone());
        registry.register_with_unit(
            "first_token",
            "Time to the first token",
            Unit::Seconds,
            self.first_token_seconds.family(),
        );
        registry.register("prompt_tokens", "Prompt tokens", self.prompt_tokens.clone());
        registry.register(
            "cached_tokens",
            "Prompt tokens from engine caches",
            self.cached_tokens.clone(),
        );
        registry.register(
            "recomputed_tokens",
            "Prompt tokens computed though expected to be cached",
            self.recomputed_tokens.clone(),
        );
        registry.register(
            "route_decisions",
            "Routing decisions by reason",
            self.route_decisions.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "peer_errors",
            "Failed exchanges by peer and step",
            self.peer_errors.clone(),
        );
    }

    fn register_power(&self, registry: &mut Registry) {
        registry.register(
            "power_share_watts",
            "Watts this node may commit",
            self.power_share_watts.clone(),
        );
        registry.register(
            "power_committed_watts",
            "Watts this node has committed",
            self.power_committed_watts.clone(),
        );
        registry.register(
            "power_given_watts",
            "Watts given to partners",
            self.power_given_watts.clone(),
        );
        registry.register(
            "power_received_watts",
            "Watts received from partners",
            self.power_received_watts.clone(),
        );
        registry.register(
            "power_shed",
            "Attempts cancelled for want of power",
            self.power_shed.clone(),
        );
    }

    fn register_control(&self, registry: &mut Registry) {
        registry.register("leases_held", "Leases held by this node", self.leases_held.clone());
        registry.register(
            "lease_fencing_number",
            "Fencing number of the last acquisition",
            self.lease_fencing_number.clone(),
        );
        registry.register(
            "placement_orders",
            "Placement orders by reason",
            self.placement_orders.clone(),
        );
        self.register_power(registry);
        registry.register("live_nodes", "Live nodes seen", self.live_nodes.clone());
        registry.register_with_unit(
            "link_sent",
            "Bytes sent to partners",
            Unit::Bytes,
            self.link_sent_bytes.clone(),
        );
        registry.register_with_unit(
            "link_received",
            "Bytes received from partners",
            Unit::Bytes,
            self.link_received_bytes.clone(),
        );
        registry.register(
            "link_dropped_messages",
            "Messages to partners dropped",
            self.link_dropped_messages.clone(),
        );
        registry.register("claims", "Verdicts on calls with a key", self.claims.clone());
        registry.register(
            "log_read_offset",
            "Offset up to which a stream has been read",
            self.log_read_offset.clone(),
        );
        registry.register_with_unit(
            "log_read_timestamp",
            "Time of the last successful read of a stream",
            Unit::Seconds,
            self.log_read_timestamp_seconds.clone(),
        );
    }

    fn register_configuration(&self, registry: &mut Registry) {
        registry.register(
            "log_read_failures",
            "Failed reads of a stream",
            self.log_read_failures.clone(),
        );
        registry.register("document_revision", "Revision in force", self.document_revision.clone());
        registry.register(
            "document_accepted_revision",
            "Revision accepted on the log",
            self.document_accepted_revision.clone(),
        );
        registry.register(
            "document_held_back",
            "1 while the accepted document cannot be put in force",
            self.document_held_back.clone(),
        );
        registry.register(
            "configuration_bad_records",
            "Malformed configuration records",
            self.configuration_bad_records.clone(),
        );
        registry.register(
            "admin_requests",
            "Administration requests by outcome",
            self.admin_requests.clone(),
        );
    }
}

/// Encodes the metrics of `registry` in the OpenMetrics text format.
///
/// # Errors
///
/// The encoder's error if a metric cannot be encoded.
pub fn encode(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    text::encode(&mut text, registry)?;
    Ok(text)
}
