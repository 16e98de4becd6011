//! Counts model requests and their failures.

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

    /// Keeps and counts a routing decision.
    pub fn count_decision(&self, decision: &RouteDecision) {
        let labels = ReasonLabels { reason: decision.reason.to_string() };
        self.metrics.route_decisions.get_or_create(&labels).inc();
    }

    /// Counts the first token of a request.
    pub fn count_first_token(&self, request: &GenerationRequest, now: Instant) {
        let timeout = Duration::from_millis(self.settings.limits.request_timeout_ms);
        let time_left = request.deadline.saturating_duration_since(now);
        let latency = timeout.saturating_sub(time_left);
        self.metrics.first_token_seconds.observe(&labels_of(request), latency);
    }

    /// Counts a complete answer.
    pub fn count_answer(
        &self,
        request: &GenerationRequest,
        usage: Usage,
        decision: &RouteDecision,
    ) {
        let labels = labels_of(request);
        let missed_tokens = decision.expected_hit_tokens.saturating_sub(usage.cached_tokens);
        let metrics = &self.metrics;
        metrics.answers.get_or_create(&labels).inc();
        metrics.prompt_tokens.get_or_create(&labels).inc_by(usage.prompt_tokens.into());
        metrics.cached_tokens.get_or_create(&labels).inc_by(usage.cached_tokens.into());
        metrics.recomputed_tokens.get_or_create(&labels).inc_by(missed_tokens.into());
    }

    /// Counts a failed exchange with a peer of this kind.
    pub fn count_peer_error(&self, peer: &str, error: &PeerError) {
        self.metrics.peer_errors.get_or_create(&PeerLabels::new(peer, error)).inc();
    }
}

fn labels_of(request: &GenerationRequest) -> WorkspaceLabels {
    WorkspaceLabels { workspace: request.workspace.to_string() }
}
