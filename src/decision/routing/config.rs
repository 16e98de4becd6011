//! Settings of the routing decision.

use std::time::Duration;

/// Settings of the routing decision; the document holds what operators change.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Prefixes that beliefs are kept of.
    pub max_prefixes: usize,
    /// Holders that are remembered of a prefix.
    pub max_holders: usize,
    /// Age at which a belief in a server of unknown cache lifetime is worth 1/e.
    pub initial_cache_lifetime: Duration,
    /// Bounds of the cache lifetime that is learnt of a server.
    pub min_cache_lifetime: Duration,
    /// Upper bound of the learnt cache lifetime; older beliefs are dropped.
    pub max_cache_lifetime: Duration,
    /// Factor on the trust in beliefs that are older than a gap in the server's events.
    pub event_gap_factor: f64,
    /// Probability that a home holds a prefix that this node has no belief of.
    pub home_cached_probability: f64,
    /// Time constant with which a home that came back empty holds its prefixes again.
    pub cache_refill_time: Duration,
    /// Factor on the trust in a holder that is no home: other nodes do not keep its copy in use.
    pub non_home_holder_factor: f64,
    /// Factor on the home trust for the first server after the homes, and again for the second.
    pub fallback_home_factor: f64,
    /// Weight of the delay that a prefill causes to the requests behind it.
    pub delay_weight: f64,
    /// Prompt tokens assumed to be computed for a request before any was observed.
    pub initial_prefilled_tokens: f64,
    /// Time constant of the request rates of prefixes.
    pub rate_window: Duration,
    /// Share of a server's concurrent requests that one prefix may fill before it gets a home more.
    pub max_home_utilisation: f64,
    /// Factor below which the load of a prefix has to fall before it loses a home.
    pub home_shrink_factor: f64,
    /// Homes of one prefix at most.
    pub max_homes: u32,
    /// Servers of a model up to which every one is scored.
    pub max_full_scan_servers: usize,
    /// Servers sampled beside homes and holders when not every one is scored.
    pub sampled_servers: usize,
    /// Share of the other nodes that is assumed to send as this node does since a load report.
    pub correlated_node_fraction: f64,
    /// Multiple of a server's concurrent requests that the nodes together may have under way on it.
    pub overload_factor: f64,
    /// Time constant with which the other nodes' part of a load report loses its weight.
    pub report_decay_time: Duration,
    /// Age at which what a report says of loaded models is no longer relied on.
    pub model_report_lifetime: Duration,
    /// Time constant with which a server's excess wait is forgotten.
    pub excess_wait_decay_time: Duration,
    /// Time a server gets no request after its first failure; doubles with each further one.
    pub min_backoff: Duration,
    /// Longest time a server gets no request after failures.
    pub max_backoff: Duration,
    /// Seconds of occupancy assumed of a request before any was observed.
    pub initial_occupancy_s: f64,
    /// Time that an import from the KV store takes beside the transfer.
    pub import_overhead: Duration,
    /// Time for which an answer of the KV store is relied on.
    pub store_answer_lifetime: Duration,
    /// Weight of a server's used share of concurrent requests, in seconds.
    pub utilisation_cost_s: f64,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            max_prefixes: 100_000,
            max_holders: 12,
            initial_cache_lifetime: Duration::from_secs(30),
            min_cache_lifetime: Duration::from_secs(1),
            max_cache_lifetime: Duration::from_secs(300),
            event_gap_factor: 0.5,
            home_cached_probability: 0.95,
            cache_refill_time: Duration::from_secs(4),
            non_home_holder_factor: 0.6,
            fallback_home_factor: 0.1,
            delay_weight: 4.0,
            initial_prefilled_tokens: 500.0,
            rate_window: Duration::from_secs(5),
            max_home_utilisation: 0.3,
            home_shrink_factor: 0.7,
            max_homes: 64,
            max_full_scan_servers: 32,
            sampled_servers: 6,
            correlated_node_fraction: 0.5,
            overload_factor: 3.0,
            report_decay_time: Duration::from_secs(3),
            model_report_lifetime: Duration::from_secs(10),
            excess_wait_decay_time: Duration::from_secs(3),
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(8),
            initial_occupancy_s: 1.0,
            import_overhead: Duration::from_millis(5),
            store_answer_lifetime: Duration::from_secs(30),
            utilisation_cost_s: 0.002,
        }
    }
}
