//! Settings of the routing decision.

use std::time::Duration;

/// Settings of the routing decision that operators cannot change; the document has the others.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Maximum number of prefixes in the index.
    pub max_prefixes: usize,
    /// Maximum number of holders per prefix.
    pub max_holders: usize,
    /// Initial estimate of a server's cache lifetime: the age since last use at which a prefix is
    /// still cached with probability 1/e.
    pub initial_cache_lifetime: Duration,
    /// Lower bound of the estimated cache lifetime.
    pub min_cache_lifetime: Duration,
    /// Upper bound of the estimated cache lifetime; older index entries are removed.
    pub max_cache_lifetime: Duration,
    /// Factor on the cached probability of prefixes last used before a gap in the cache events.
    pub event_gap_factor: f64,
    /// Probability that a home has a prefix cached that the index says nothing about.
    pub home_cached_probability: f64,
    /// Time constant with which requests refill the cache of a restarted home.
    pub cache_refill_time: Duration,
    /// Factor on the cached probability of a holder that is not a home: other nodes send it no
    /// requests that would keep the prefix in its cache.
    pub non_home_holder_factor: f64,
    /// Factor on the home's cached probability for each rank after the last home.
    pub fallback_home_factor: f64,
    /// Weight of the delay that a prefill causes to the requests queued behind it.
    pub delay_weight: f64,
    /// Prompt tokens that a request is assumed to prefill before any request was observed.
    pub initial_prefilled_tokens: f64,
    /// Time constant of the decayed request counts of prefixes.
    pub rate_window: Duration,
    /// Fraction of a server's concurrent requests that one prefix may use before it gets another
    /// home.
    pub max_home_utilisation: f64,
    /// Fraction of the next smaller number of homes that the load must fall below before the
    /// prefix loses a home.
    pub home_shrink_factor: f64,
    /// Maximum number of homes of a prefix.
    pub max_homes: u32,
    /// Maximum number of a model's servers for which every server is scored.
    pub max_full_scan_servers: usize,
    /// Servers sampled in addition to homes and holders when not every server is scored.
    pub sampled_servers: usize,
    /// Fraction of the other nodes assumed to have sent the same load as this node since the last
    /// load report.
    pub correlated_node_fraction: f64,
    /// Multiple of a server's concurrent requests that all nodes together may have in progress on
    /// it.
    pub overload_factor: f64,
    /// Time constant with which the other nodes' load in a report decays.
    pub report_decay_time: Duration,
    /// Age after which a report no longer shows that a model is not loaded.
    pub model_report_lifetime: Duration,
    /// Time constant with which a server's excess wait decays.
    pub excess_wait_decay_time: Duration,
    /// Backoff after a server's first failure; doubles with each consecutive failure.
    pub min_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
    /// Seconds for which a request is assumed to occupy a server before any was observed.
    pub initial_occupancy_s: f64,
    /// Time that an import from the KV store takes in addition to the transfer.
    pub import_overhead: Duration,
    /// Time for which an answer of the KV store stays valid.
    pub store_answer_lifetime: Duration,
    /// Seconds added to the score per unit of utilisation (requests over concurrent requests).
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
