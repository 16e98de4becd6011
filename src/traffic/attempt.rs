//! One attempt of a model request on a server.

use super::power_hold::PowerHold;
use crate::control::TrafficReport;
use crate::decision::routing::{AnswerTiming, PrefixLevel, RouteDecision, RoutingView};
use crate::ports::{EngineAnswer, EngineFrame, FrameStream};
use crate::types::{Delivery, Incarnation, PeerError, PeerResult, Step};
use futures_lite::StreamExt;
use std::time::Instant;

/// Attempt on a server; counted as under way until it is dropped.
pub struct Attempt {
    decision: RouteDecision,
    view: RoutingView,
    pending_prefill_tokens: u32,
    sent_at: Instant,
    first_token_at: Option<Instant>,
    answer: Option<RunningAnswer>,
    seen_incarnation: Option<Incarnation>,
    power: PowerHold,
}

struct RunningAnswer {
    incarnation: Incarnation,
    frames: FrameStream,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.view.end_request(&self.decision.server, self.pending_prefill_tokens);
    }
}

impl Attempt {
    /// Returns an attempt on the chosen server that is about to be sent.
    pub fn begin(
        decision: RouteDecision,
        view: RoutingView,
        levels: &[PrefixLevel],
        power: PowerHold,
    ) -> Self {
        let prompt_tokens = levels.last().map_or(0, |level| level.tokens);
        let pending_prefill_tokens = prompt_tokens.saturating_sub(decision.expected_hit_tokens);
        view.begin_request(&decision.server, pending_prefill_tokens);
        let seen_incarnation = view.incarnation(&decision.server);
        Self {
            decision,
            view,
            pending_prefill_tokens,
            sent_at: Instant::now(),
            first_token_at: None,
            answer: None,
            seen_incarnation,
            power,
        }
    }

    /// Takes in that the server runs the request; returns the load report that it sent, if any.
    pub fn run(&mut self, answer: EngineAnswer) -> Option<TrafficReport> {
        let EngineAnswer { incarnation, load, frames } = answer;
        self.answer = Some(RunningAnswer { incarnation, frames });
        let (server, requested_at) = (self.decision.server.clone(), self.sent_at);
        load.map(|report| TrafficReport::Load { server, report, requested_at })
    }

    /// Returns the choice of the server.
    pub fn decision(&self) -> &RouteDecision {
        &self.decision
    }

    /// Returns the incarnation of the server: as it names itself, else as it was last seen.
    pub fn incarnation(&self) -> Option<Incarnation> {
        let named = self.answer.as_ref().map(|answer| answer.incarnation);
        named.or(self.seen_incarnation)
    }

    /// Returns the next frame; a stream that ends without its last frame is an error.
    pub async fn next_frame(&mut self) -> PeerResult<EngineFrame> {
        let Some(answer) = &mut self.answer else { return Err(self.cut()) };
        match answer.frames.next().await {
            Some(result) => result,
            None => Err(self.cut()),
        }
    }

    /// Takes in that a frame came in order.
    pub fn note_frame(&mut self) {
        if self.first_token_at.is_some() {
            return;
        }
        self.first_token_at = Some(Instant::now());
        let prefill_tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.view.finish_prefill(&self.decision.server, prefill_tokens);
    }

    /// Takes in that the answer is complete, so that the server no longer draws power for it.
    pub fn complete(&mut self) {
        self.power.release();
    }

    /// Returns the times of an answer that ended at `ended_at`, none before its first token.
    pub fn timing(&self, ended_at: Instant) -> Option<AnswerTiming> {
        let first_token_at = self.first_token_at?;
        let expectation = self.decision.expectation;
        Some(AnswerTiming { sent_at: self.sent_at, first_token_at, ended_at, expectation })
    }

    /// Returns an error of this attempt.
    pub fn error(&self, step: Step, source: anyhow::Error) -> PeerError {
        PeerError::new(step, self.decision.server.clone(), Delivery::Unknown, source)
    }

    fn cut(&self) -> PeerError {
        self.error(Step::ReadBody, anyhow::anyhow!("stream was cut"))
    }
}
