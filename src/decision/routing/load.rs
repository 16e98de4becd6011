//! Load of a server: its last report, this node's requests since then, and learnt corrections.

use super::config::RoutingConfig;
use super::fleet::{Incarnations, ServerInfo};
use crate::ports::{LoadReport, LoadedModel};
use crate::types::{Incarnation, ModelId, WeightsVersion};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Weight of a new observation in the moving averages of a server.
const SMOOTHING: f64 = 0.2;
/// Lower bound of the refilled cache fraction of a restarted home, so that its prefixes still go
/// to it.
const MIN_REFILLED_FRACTION: f64 = 0.2;
/// Weight of a new observation in the average excess wait of all servers.
const FLEET_SMOOTHING: f64 = 0.05;
/// Seconds by which a first token may be late without counting as excess wait.
const WAIT_TOLERANCE_S: f64 = 0.02;
/// Fraction of the expected time by which it may be late in addition.
const WAIT_TOLERANCE_FRACTION: f64 = 0.1;

/// Routing state of a server.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Settings in the document, none if the server was removed from it.
    pub info: Option<Arc<ServerInfo>>,
    /// Whether the node's list of leaving servers has the server.
    pub is_listed_leaving: bool,
    /// Whether the server's last report says that it is leaving.
    pub is_reported_leaving: bool,
    /// Current and retired incarnations.
    pub incarnations: Incarnations,
    /// When a restart, which empties the cache, was last detected.
    pub restarted_at: Option<Instant>,
    /// Last load report.
    pub last_report: Option<ReportedLoad>,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// When the backoff after failures ends.
    pub backoff_until: Option<Instant>,
    /// Time to first token beyond the expected one.
    pub excess_wait: ExcessWait,
    /// Mean seconds for which a request occupies the server.
    pub mean_occupancy_s: f64,
    /// Mean prompt tokens that a request prefills.
    pub mean_prefilled_tokens: f64,
    /// Age since last use at which a prefix is still cached with probability 1/e, in seconds.
    pub cache_lifetime_s: f64,
    /// When a gap in the cache events was last detected.
    pub event_gap_at: Option<Instant>,
    /// Sequence number of the next cache event to request.
    pub next_event: u64,
}

/// Load report, and this node's requests in progress when it was received.
#[derive(Clone, Debug)]
pub struct ReportedLoad {
    /// When the report was requested.
    pub requested_at: Instant,
    /// Running and waiting requests.
    pub requests: u32,
    /// Waiting requests.
    pub waiting_requests: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_prompt_tokens: u64,
    /// Sequence number of the server's next cache event.
    pub next_event: u64,
    /// This node's requests in progress when the report was received.
    pub own_requests: u32,
    /// This node's pending prefill tokens when the report was received.
    pub own_pending_prefill_tokens: u64,
    /// Loaded models.
    pub models: Arc<[LoadedModel]>,
    /// When the absence of a model from `models` stops counting as evidence.
    pub absence_valid_until: Instant,
}

/// Whether a server serves a model with the weights version in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Serving {
    /// The last report has the model in that version.
    Yes,
    /// A recent report does not have it.
    No,
    /// No report, or one too old to rule the model out.
    Unknown,
}

/// Exponentially decaying excess of the observed over the expected wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExcessWait {
    seconds: f64,
    observed_at: Option<Instant>,
}

/// Observed and expected time to first token.
#[derive(Clone, Copy, Debug)]
pub struct TimeToFirstToken {
    /// Observed seconds.
    pub observed_s: f64,
    /// Expected seconds, without any excess wait.
    pub expected_s: f64,
}

impl ExcessWait {
    /// Returns the excess in seconds, decayed with time constant `decay_time`.
    pub fn seconds(&self, decay_time: Duration, now: Instant) -> f64 {
        let Some(observed_at) = self.observed_at else { return 0.0 };
        let age = now.saturating_duration_since(observed_at);
        self.seconds * (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
    }

    /// Updates the excess by an observation; the average lateness of the `fleet` does not count.
    pub fn observe(
        &mut self,
        time: TimeToFirstToken,
        fleet: &mut Self,
        decay_time: Duration,
        now: Instant,
    ) {
        let tolerance_s = WAIT_TOLERANCE_S + time.expected_s * WAIT_TOLERANCE_FRACTION;
        let late_s = (time.observed_s - time.expected_s - tolerance_s).max(0.0);
        let fleet_s = fleet.seconds(decay_time, now);
        self.smooth((late_s - fleet_s).max(0.0), SMOOTHING, decay_time, now);
        fleet.smooth(late_s, FLEET_SMOOTHING, decay_time, now);
    }

    fn smooth(&mut self, late_s: f64, weight: f64, decay_time: Duration, now: Instant) {
        let before = self.seconds(decay_time, now);
        self.seconds = before + (late_s - before) * weight;
        self.observed_at = Some(now);
    }
}

/// Estimated load of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Running and waiting requests.
    pub requests: f64,
    /// Prompt tokens waiting for prefill.
    pub pending_prefill_tokens: f64,
}

impl ServerState {
    /// Returns the state of a server that has not been contacted.
    pub fn new(info: Option<Arc<ServerInfo>>, config: &RoutingConfig) -> Self {
        Self {
            info,
            is_listed_leaving: false,
            is_reported_leaving: false,
            incarnations: Incarnations::default(),
            restarted_at: None,
            last_report: None,
            consecutive_failures: 0,
            backoff_until: None,
            excess_wait: ExcessWait::default(),
            mean_occupancy_s: config.initial_occupancy_s,
            mean_prefilled_tokens: config.initial_prefilled_tokens,
            cache_lifetime_s: config.initial_cache_lifetime.as_secs_f64(),
            event_gap_at: None,
            next_event: 0,
        }
    }

    /// Returns whether the server may get new requests, ignoring its backoff.
    pub fn is_in_service(&self) -> bool {
        self.info.is_some() && !self.is_listed_leaving && !self.is_reported_leaving
    }

    /// Returns whether the server is in backoff after failures.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Applies a load report; ignores one that was requested before the last.
    pub fn apply_report(
        &mut self,
        report: &LoadReport,
        requested_at: Instant,
        config: &RoutingConfig,
        now: Instant,
    ) {
        let is_stale =
            self.last_report.as_ref().is_some_and(|last| requested_at < last.requested_at);
        if is_stale || !self.observe_incarnation(report.incarnation, now) {
            return;
        }
        self.is_reported_leaving = report.leaving;
        self.consecutive_failures = 0;
        self.backoff_until = None;
        let counters = self.info.as_ref().map(|info| &info.counters);
        self.last_report = Some(ReportedLoad {
            requested_at,
            requests: report.running_requests.saturating_add(report.waiting_requests),
            waiting_requests: report.waiting_requests,
            waiting_prompt_tokens: report.waiting_prompt_tokens,
            next_event: report.next_event,
            own_requests: counters.map_or(0, |counters| counters.outstanding_requests()),
            own_pending_prefill_tokens: counters
                .map_or(0, |counters| counters.pending_prefill_tokens()),
            models: report.models.clone().into(),
            absence_valid_until: now + config.model_report_lifetime,
        });
    }

    /// Records that incarnation `seen` answered; returns false if it is retired.
    pub fn observe_incarnation(&mut self, seen: Incarnation, now: Instant) -> bool {
        let before = self.incarnations.last_seen();
        let is_current = self.incarnations.observe(seen);
        if is_current && before.is_some_and(|before| before != seen) {
            self.restarted_at = Some(now);
        }
        is_current
    }

    /// Records a failed request and starts an exponential backoff.
    pub fn record_failure(&mut self, config: &RoutingConfig, now: Instant) {
        let doublings = self.consecutive_failures.min(16);
        let backoff = config.min_backoff.saturating_mul(1 << doublings).min(config.max_backoff);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until = Some(now + backoff);
        self.incarnations.mark_unconfirmed();
    }

    /// Records an answer, which ends the backoff.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = None;
    }

    /// Returns whether the server serves `model` with weights `version`.
    pub fn serving(&self, model: &ModelId, version: &WeightsVersion, now: Instant) -> Serving {
        let Some(report) = &self.last_report else { return Serving::Unknown };
        let is_loaded =
            |it: &LoadedModel| it.weights_version == *version && is_model_or_adapter(it, model);
        if report.models.iter().any(is_loaded) {
            return Serving::Yes;
        }
        if now < report.absence_valid_until { Serving::No } else { Serving::Unknown }
    }

    /// Returns the last reported load plus the estimated load that all nodes have sent since then.
    pub fn load(&self, live_nodes: u32, config: &RoutingConfig, now: Instant) -> LoadEstimate {
        let Some(info) = &self.info else {
            return LoadEstimate { requests: 0.0, pending_prefill_tokens: 0.0 };
        };
        let own_requests = f64::from(info.counters.outstanding_requests());
        let own_tokens = info.counters.pending_prefill_tokens() as f64;
        let effective_other_nodes =
            f64::from(live_nodes.saturating_sub(1)) * config.correlated_node_fraction;
        let Some(report) = &self.last_report else {
            return LoadEstimate {
                requests: own_requests * (1.0 + effective_other_nodes),
                pending_prefill_tokens: own_tokens * (1.0 + effective_other_nodes),
            };
        };
        let age_s = now.saturating_duration_since(report.requested_at).as_secs_f64();
        let weight = (-age_s / config.report_decay_time.as_secs_f64()).exp();
        let reported_own_requests = f64::from(report.own_requests);
        let requests_of_others =
            (f64::from(report.requests) - reported_own_requests).max(0.0) * weight;
        let requests_since_report = (own_requests - reported_own_requests).max(0.0);
        let reported_own_tokens = report.own_pending_prefill_tokens as f64;
        // Waiting tokens in a report may include cached ones, which need no prefill.
        let waiting_limit = f64::from(report.waiting_requests) * self.mean_prefilled_tokens;
        let waiting_tokens = (report.waiting_prompt_tokens as f64).min(waiting_limit);
        let tokens_of_others = (waiting_tokens - reported_own_tokens).max(0.0) * weight;
        let tokens_since_report = (own_tokens - reported_own_tokens).max(0.0);
        LoadEstimate {
            requests: own_requests
                + requests_of_others
                + requests_since_report * effective_other_nodes,
            pending_prefill_tokens: own_tokens
                + tokens_of_others
                + tokens_since_report * effective_other_nodes,
        }
    }

    /// Updates the means by a request's occupancy and prefilled tokens.
    pub fn observe_request_cost(&mut self, occupancy_s: f64, prefilled_tokens: u32) {
        self.mean_occupancy_s += (occupancy_s - self.mean_occupancy_s) * SMOOTHING;
        let prefilled_tokens = f64::from(prefilled_tokens);
        self.mean_prefilled_tokens += (prefilled_tokens - self.mean_prefilled_tokens) * SMOOTHING;
    }

    /// Adjusts the cache lifetime by whether a prefix last used `age_s` ago was still cached.
    pub fn observe_cache_age(&mut self, age_s: f64, was_cached: bool, config: &RoutingConfig) {
        let lifetime_s = self.cache_lifetime_s;
        let target_s = match was_cached {
            true if age_s > lifetime_s / 2.0 => age_s * 2.0,
            false if age_s < lifetime_s => age_s,
            true | false => return,
        };
        let smoothed_s = lifetime_s + (target_s - lifetime_s) * SMOOTHING;
        let min_s = config.min_cache_lifetime.as_secs_f64();
        let max_s = config.max_cache_lifetime.as_secs_f64();
        self.cache_lifetime_s = smoothed_s.clamp(min_s, max_s);
    }

    /// Returns the probability that the server has a prefix cached that it is a home of.
    ///
    /// It is low while the incarnation is unconfirmed; after a restart it rises as the requests of
    /// all nodes refill the cache.
    pub fn home_cached_probability(&self, config: &RoutingConfig, now: Instant) -> f64 {
        let is_unconfirmed = self.incarnations.last_seen() != self.incarnations.confirmed();
        if is_unconfirmed {
            return config.home_cached_probability * MIN_REFILLED_FRACTION;
        }
        let Some(restarted_at) = self.restarted_at else { return config.home_cached_probability };
        let age_s = now.saturating_duration_since(restarted_at).as_secs_f64();
        let refilled = 1.0 - (-age_s / config.cache_refill_time.as_secs_f64()).exp();
        config.home_cached_probability * refilled.max(MIN_REFILLED_FRACTION)
    }

    /// Returns the probability that a prefix last used at `used_at` is still cached.
    pub fn cached_probability(
        &self,
        used_at: Instant,
        config: &RoutingConfig,
        now: Instant,
    ) -> f64 {
        let age_s = now.saturating_duration_since(used_at).as_secs_f64();
        let by_age = (-age_s / self.cache_lifetime_s).exp();
        let is_before_gap = self.event_gap_at.is_some_and(|event_gap_at| used_at < event_gap_at);
        if is_before_gap { by_age * config.event_gap_factor } else { by_age }
    }
}

fn is_model_or_adapter(loaded: &LoadedModel, model: &ModelId) -> bool {
    loaded.model == *model || loaded.adapters.contains(model)
}
