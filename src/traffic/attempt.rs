//! One attempt to run a model request on a server.

use super::power_commitment::PowerCommitment;
use crate::control::TrafficReport;
use crate::decision::routing::{AnswerTiming, PrefixLevel, RouteDecision, RoutingView};
use crate::ports::{EngineAnswer, EngineFrame, FrameStream};
use crate::types::{Delivery, Incarnation, PeerError, PeerResult, Step};
use futures_lite::StreamExt;
use std::time::Instant;

/// Attempt on a server; counts towards the server's outstanding requests until dropped.
pub struct Attempt {
    decision: RouteDecision,
    view: RoutingView,
    pending_prefill_tokens: u32,
    sent_at: Instant,
    first_token_at: Option<Instant>,
    answer: Option<AnswerStream>,
    last_known_incarnation: Option<Incarnation>,
    power: PowerCommitment,
}

struct AnswerStream {
    incarnation: Incarnation,
    frames: FrameStream,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.view.end_request(&self.decision.server, self.pending_prefill_tokens);
    }
}

impl Attempt {
    /// Starts an attempt on the chosen server, before its request is sent.
    pub fn begin(
        decision: RouteDecision,
        view: RoutingView,
        levels: &[PrefixLevel],
        power: PowerCommitment,
    ) -> Self {
        let prompt_tokens = levels.last().map_or(0, |level| level.tokens);
        let pending_prefill_tokens = prompt_tokens.saturating_sub(decision.expected_hit_tokens);
        view.begin_request(&decision.server, pending_prefill_tokens);
        let last_known_incarnation = view.incarnation(&decision.server);
        Self {
            decision,
            view,
            pending_prefill_tokens,
            sent_at: Instant::now(),
            first_token_at: None,
            answer: None,
            last_known_incarnation,
            power,
        }
    }

    /// Attaches the answer of the server, which now runs the request; returns the load report sent
    /// with it, if any.
    pub fn set_answer(&mut self, answer: EngineAnswer) -> Option<TrafficReport> {
        let EngineAnswer { incarnation, load, frames } = answer;
        self.answer = Some(AnswerStream { incarnation, frames });
        let (server, requested_at) = (self.decision.server.clone(), self.sent_at);
        load.map(|report| TrafficReport::Load { server, report, requested_at })
    }

    /// Returns the routing decision of the attempt.
    pub fn decision(&self) -> &RouteDecision {
        &self.decision
    }

    /// Returns the server's incarnation as reported with the answer, else the last known one.
    pub fn incarnation(&self) -> Option<Incarnation> {
        let reported = self.answer.as_ref().map(|answer| answer.incarnation);
        reported.or(self.last_known_incarnation)
    }

    /// Returns the next frame; a stream that ends without its last frame is an error.
    pub async fn next_frame(&mut self) -> PeerResult<EngineFrame> {
        let Some(answer) = &mut self.answer else { return Err(self.truncated_stream()) };
        match answer.frames.next().await {
            Some(result) => result,
            None => Err(self.truncated_stream()),
        }
    }

    /// Records a frame that arrived in order; the first one ends the prefill.
    pub fn record_frame(&mut self) {
        if self.first_token_at.is_some() {
            return;
        }
        self.first_token_at = Some(Instant::now());
        let prefill_tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.view.finish_prefill(&self.decision.server, prefill_tokens);
    }

    /// Releases the committed watts; call it when the server no longer runs the request.
    pub fn release_power(&mut self) {
        self.power.release();
    }

    /// Returns the timing of an answer that ended at `ended_at`, `None` without a first token.
    pub fn timing(&self, ended_at: Instant) -> Option<AnswerTiming> {
        let first_token_at = self.first_token_at?;
        let expectation = self.decision.expectation;
        Some(AnswerTiming { sent_at: self.sent_at, first_token_at, ended_at, expectation })
    }

    /// Returns an error at `step` of this attempt, with unknown delivery.
    pub fn error(&self, step: Step, source: anyhow::Error) -> PeerError {
        PeerError::new(step, self.decision.server.clone(), Delivery::Unknown, source)
    }

    fn truncated_stream(&self) -> PeerError {
        self.error(Step::ReadBody, anyhow::anyhow!("the stream ended before its last frame"))
    }
}
