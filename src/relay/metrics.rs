//! Metrics of a relay node.
//!
//! Every family is described in `docs/operators/relay_metrics.md`.

use crate::adapters::caller_memory::CallerMemoryMetrics;
use crate::metrics::LatencyFamily;
use crate::metrics::labels::{LinkLabels, ReasonLabels};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Instant;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.7, 1.5, 5.0, 15.0];

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AnswerLabels {
    /// Route.
    pub route: String,
    /// Outcome: `complete`, `failed`, `refused`, `broken` or `left`.
    pub outcome: String,
}

/// Labels of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabels {
    /// Route.
    pub route: String,
}

impl Default for LatencyFamily<RouteLabels> {
    fn default() -> Self {
        Self::new(|| Histogram::new(LATENCY_BUCKETS_S))
    }
}

/// Labels of requests that count against a quota.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct QuotaLabels {
    /// Workspace, `all` where there are many.
    pub workspace: String,
    /// Outcome: `granted`, `denied`, `too_small` or `unknown`.
    pub outcome: String,
}

/// All metrics of a relay node. Clones share their values.
#[derive(Clone, Debug, Default)]
pub struct RelayMetrics {
    /// Requests by route and outcome.
    pub requests: Family<AnswerLabels, Counter>,
    /// Time from the head of a request to the first byte of its answer.
    pub first_answer: LatencyFamily<RouteLabels>,
    /// Refusals by reason.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Resends by reason.
    pub resends: Family<ReasonLabels, Counter>,
    /// Strikes of crashes against keys of requests, as they became known.
    pub key_strikes: Counter,
    /// Streams that were resumed at another server.
    pub resumed_streams: Counter,
    /// Searches for the software version of a stream that its caller resumes, by source.
    pub stream_searches: Family<ReasonLabels, Counter>,
    /// Units of requests that count against quotas, by workspace and outcome.
    pub quota_units: Family<QuotaLabels, Counter>,
    /// Time that queries for grants of quotas took, by route.
    pub quota_wait: LatencyFamily<RouteLabels>,
    /// Requests of other nodes, which this one sends on.
    pub forwarded_requests: Counter,
    /// Memory that callers make the node hold.
    pub caller_memory: CallerMemoryMetrics,
    /// Failed exchanges with servers, by step.
    pub server_failures: Family<ReasonLabels, Counter>,
    /// Calls to the coordination store, by call.
    pub store_calls: Family<ReasonLabels, Counter>,
    /// Failed calls to the coordination store, by call.
    pub store_failures: Family<ReasonLabels, Counter>,
    /// Orders to servers, by outcome.
    pub orders: Family<ReasonLabels, Counter>,
    /// Open partner links.
    pub links: Gauge,
    /// Bytes sent to partners, by kind of message.
    pub link_sent_bytes: Family<LinkLabels, Counter>,
    /// Bytes received from partners, by kind of message.
    pub link_received_bytes: Family<LinkLabels, Counter>,
    /// Revision of the configuration in force.
    pub configuration_revision: Gauge,
    /// Known servers.
    pub servers: Gauge,
    /// Servers that have named a limit for all nodes together.
    pub limited_servers: Gauge,
    /// Messages and periodic work whose handling ended with an unexpected error.
    pub handler_panics: Counter,
    /// Log lines dropped because standard output was too slow.
    pub dropped_log_lines: Counter,
}

impl RelayMetrics {
    /// Records that the answer begins now to a request of `route` that arrived at `arrived_at`.
    pub fn observe_first_answer(&self, route: &str, arrived_at: Instant) {
        self.first_answer.observe(&RouteLabels { route: route.to_owned() }, arrived_at.elapsed());
    }

    /// Registers all metrics with `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("relay_requests", "Requests by route and outcome", self.requests.clone());
        registry.register_with_unit(
            "relay_first_answer",
            "Time to the first byte of an answer",
            Unit::Seconds,
            self.first_answer.family(),
        );
        self.caller_memory.register(registry, "relay_");
        registry.register("relay_refusals", "Refusals by reason", self.refusals.clone());
        registry.register("relay_resends", "Requests sent once more", self.resends.clone());
        registry.register(
            "relay_key_strikes",
            "Strikes against keys of requests that may crash servers",
            self.key_strikes.clone(),
        );
        registry.register(
            "relay_resumed_streams",
            "Streams that went on at another server",
            self.resumed_streams.clone(),
        );
        registry.register(
            "relay_stream_searches",
            "Searches for the software version of a stream that its caller resumes",
            self.stream_searches.clone(),
        );
        registry.register(
            "relay_quota_units",
            "Units of requests that count against quotas by workspace and outcome",
            self.quota_units.clone(),
        );
        registry.register_with_unit(
            "relay_quota_wait",
            "Time that queries for grants of quotas took",
            Unit::Seconds,
            self.quota_wait.family(),
        );
        registry.register(
            "relay_forwarded_requests",
            "Requests of other nodes that this one sends on",
            self.forwarded_requests.clone(),
        );
        registry.register(
            "relay_server_failures",
            "Failed exchanges with servers by step",
            self.server_failures.clone(),
        );
        registry.register("relay_store_calls", "Calls to the store", self.store_calls.clone());
        registry.register(
            "relay_store_failures",
            "Failed calls to the store",
            self.store_failures.clone(),
        );
        registry.register("relay_orders", "Orders to servers by outcome", self.orders.clone());
        registry.register("relay_links", "Open partner links", self.links.clone());
        registry.register_with_unit(
            "relay_link_sent",
            "Bytes sent to partners by kind of message",
            Unit::Bytes,
            self.link_sent_bytes.clone(),
        );
        registry.register_with_unit(
            "relay_link_received",
            "Bytes received from partners by kind of message",
            Unit::Bytes,
            self.link_received_bytes.clone(),
        );
        registry.register(
            "relay_configuration_revision",
            "Revision of the configuration in force",
            self.configuration_revision.clone(),
        );
        registry.register(
            "relay_handler_panics",
            "Messages and periodic work whose handling panicked",
            self.handler_panics.clone(),
        );
        registry.register("relay_servers", "Servers known", self.servers.clone());
        registry.register(
            "relay_limited_servers",
            "Servers that have named a limit for all nodes together",
            self.limited_servers.clone(),
        );
        registry.register(
            "relay_dropped_log_lines",
            "Log lines dropped because standard output did not take them in time",
            self.dropped_log_lines.clone(),
        );
    }
}
