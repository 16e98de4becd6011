//! Metrics of callers' requests.

use super::generation::Usage;
use super::generation_request::GenerationRequest;
use super::{Failure, TrafficContext};
use crate::decision::routing::RouteDecision;
use crate::metrics::{FailureLabels, PeerLabels, ReasonLabels, WorkspaceLabels};
use crate::types::PeerError;
use std::time::{Duration, Instant};

impl TrafficContext {
    /// Counts a request that ended in `failure`.
    pub fn count_failure(&self, failure: &Failure) {
        let labels =
            FailureLabels { code: failure.code.to_string(), run: failure.run_state.to_string() };
        self.metrics.failures.get_or_create(&labels).inc();
    }

    /// Counts a routing decision by its reason.
    pub fn count_decision(&self, decision: &RouteDecision) {
        let labels = ReasonLabels { reason: decision.reason.to_string() };
        self.metrics.route_decisions.get_or_create(&labels).inc();
    }

    /// Records the time to first token of a request, measured from its arrival.
    pub fn observe_first_token(&self, request: &GenerationRequest, now: Instant) {
        let timeout = Duration::from_millis(self.settings.limits.request_timeout_ms);
        let time_left = request.deadline.saturating_duration_since(now);
        let time_to_first_token = timeout.saturating_sub(time_left);
        self.metrics.first_token_seconds.observe(&request_labels(request), time_to_first_token);
    }

    /// Counts a complete answer and its tokens. Recomputed tokens are those that `decision`
    /// expected in the cache and that had to be prefilled again.
    pub fn count_answer(
        &self,
        request: &GenerationRequest,
        usage: Usage,
        decision: &RouteDecision,
    ) {
        let labels = request_labels(request);
        let recomputed_tokens = decision.expected_hit_tokens.saturating_sub(usage.cached_tokens);
        let metrics = &self.metrics;
        metrics.answers.get_or_create(&labels).inc();
        metrics.prompt_tokens.get_or_create(&labels).inc_by(usage.prompt_tokens.into());
        metrics.cached_tokens.get_or_create(&labels).inc_by(usage.cached_tokens.into());
        metrics.recomputed_tokens.get_or_create(&labels).inc_by(recomputed_tokens.into());
    }

    /// Counts a failed exchange with a peer of the kind `peer`.
    pub fn count_peer_error(&self, peer: &str, error: &PeerError) {
        self.metrics.peer_errors.get_or_create(&PeerLabels::new(peer, error)).inc();
    }
}

fn request_labels(request: &GenerationRequest) -> WorkspaceLabels {
    WorkspaceLabels { workspace: request.workspace.to_string() }
}
