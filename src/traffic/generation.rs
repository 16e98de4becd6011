//! Runs a model request: attempts on servers, resume after a failure, and the frames in order.

use super::generation_request::GenerationRequest;
use super::{Failure, FailureCode, TrafficContext};
use crate::control::TrafficReport;
use crate::decision::retry::{self, FailedAttempt, GiveUpReason, RetryDecision};
use crate::decision::routing::{
    AnswerFeedback, AnswerTiming, PrefixLevel, RouteDecision, RouteQuery, RoutingView, SentRequest,
};
use crate::metrics::ReasonLabels;
use crate::ports::{EngineFrame, EngineRequest, FrameStream};
use crate::types::{Delivery, PeerError, ServerId, Step};
use futures_lite::StreamExt;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a caller should come back when no server can take its request.
const NO_SERVER_RETRY: Duration = Duration::from_millis(1_000);

/// Tokens of a completed answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that came from a cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Next part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Chunk in the published form.
    Chunk(Value),
    /// End of the complete answer.
    End(Usage),
}

/// Model request under way.
pub struct Generation {
    context: Arc<TrafficContext>,
    request: GenerationRequest,
    attempt: Option<Attempt>,
    attempts: u32,
    excluded: Vec<ServerId>,
    next_frame: u64,
    any_delivery_unknown: bool,
}

/// Attempt on a server; counted as under way until it is dropped.
struct Attempt {
    decision: RouteDecision,
    view: RoutingView,
    pending_prefill_tokens: u32,
    sent_at: Instant,
    first_token_at: Option<Instant>,
    frames: Option<FrameStream>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.view.end(&self.decision.server, self.pending_prefill_tokens);
    }
}

impl Generation {
    /// Returns a request that has not been sent yet.
    pub fn new(context: Arc<TrafficContext>, request: GenerationRequest) -> Self {
        context.retry_budget().earn(Instant::now());
        Self {
            context,
            request,
            attempt: None,
            attempts: 0,
            excluded: Vec::new(),
            next_frame: 0,
            any_delivery_unknown: false,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &GenerationRequest {
        &self.request
    }

    /// Returns the next part; after an error the answer cannot go on.
    pub async fn next_part(&mut self) -> Result<Part, Failure> {
        loop {
            let result = match self.attempt.as_mut().and_then(|attempt| attempt.frames.as_mut()) {
                Some(frames) => frames.next().await.unwrap_or_else(|| Err(cut_stream())),
                None => match self.start_attempt().await {
                    Ok(()) => continue,
                    Err(AttemptError::NoServer) => return Err(self.no_server()),
                    Err(AttemptError::Peer(error)) => Err(error),
                },
            };
            match result.and_then(|frame| self.accept(frame)) {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(error) => self.fail_attempt(&error)?,
            }
        }
    }

    async fn start_attempt(&mut self) -> Result<(), AttemptError> {
        let snapshot = self.context.snapshot.load_full();
        let query = RouteQuery {
            request: self.request.id.clone(),
            workspace: self.request.workspace.clone(),
            model: self.request.model.clone(),
            levels: self.request.levels.clone(),
            excluded: self.excluded.clone(),
        };
        let decision =
            snapshot.routing.route(&query, Instant::now()).ok_or(AttemptError::NoServer)?;
        log_decision(&query, &decision, self.attempts);
        self.context.decisions.push(&query, &decision);
        let reason = ReasonLabels { reason: decision.reason.to_string() };
        self.context.metrics.route_decisions.get_or_create(&reason).inc();
        self.attempts += 1;
        let engine_request = self.engine_request(&decision);
        let address = decision.address;
        self.context.report(TrafficReport::Sent(SentRequest {
            server: decision.server.clone(),
            runner_up: decision.runner_up.clone(),
            levels: query.levels.clone(),
        }));
        self.attempt = Some(Attempt::begin(decision, snapshot.routing.clone(), &query.levels));
        let frames = self.context.engines.generate(address, engine_request).await;
        let frames = frames.map_err(AttemptError::Peer)?;
        if let Some(attempt) = &mut self.attempt {
            attempt.frames = Some(frames);
        }
        Ok(())
    }

    fn engine_request(&self, decision: &RouteDecision) -> EngineRequest {
        let time_left = self.request.deadline.saturating_duration_since(Instant::now());
        EngineRequest {
            request_id: self.request.id.clone(),
            path: self.request.endpoint.path(),
            body: self.request.body.clone(),
            priority: self.request.priority,
            weights_version: self.request.weights_version.clone(),
            resume_from_frame: self.next_frame,
            prefix_levels: self.request.levels.clone(),
            import_keys: decision.import_keys.clone(),
            time_limit_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Takes a frame in order; skips one that has been relayed and refuses one that is too early.
    fn accept(&mut self, frame: EngineFrame) -> Result<Option<Part>, PeerError> {
        let number = match &frame {
            EngineFrame::Piece { number, .. } | EngineFrame::End { number, .. } => *number,
        };
        if number > self.next_frame {
            let error = anyhow::anyhow!("frame {number} came before frame {}", self.next_frame);
            return Err(self.attempt_error(Step::Decode, error));
        }
        if number < self.next_frame {
            return match frame {
                EngineFrame::Piece { .. } => Ok(None),
                EngineFrame::End { .. } => {
                    let error = anyhow::anyhow!("answer ended before frame {}", self.next_frame);
                    Err(self.attempt_error(Step::Decode, error))
                }
            };
        }
        self.next_frame += 1;
        if let Some(attempt) = &mut self.attempt {
            attempt.note_frame();
        }
        match frame {
            EngineFrame::Piece { chunk, .. } => Ok(Some(Part::Chunk(chunk))),
            EngineFrame::End {
                prompt_tokens,
                cached_tokens,
                completion_tokens,
                incarnation,
                ..
            } => {
                let usage = Usage { prompt_tokens, cached_tokens, completion_tokens };
                self.report_answer(usage, incarnation);
                Ok(Some(Part::End(usage)))
            }
        }
    }

    fn report_answer(&self, usage: Usage, incarnation: u64) {
        let Some(attempt) = &self.attempt else { return };
        self.context.report(TrafficReport::Answer(AnswerFeedback {
            server: attempt.decision.server.clone(),
            incarnation,
            model: self.request.model.clone(),
            workspace: self.request.workspace.clone(),
            levels: self.request.levels.clone(),
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            timing: attempt.timing(self.attempts, Instant::now()),
        }));
    }

    /// Ends the attempt; returns the final failure if no further attempt is made.
    fn fail_attempt(&mut self, error: &PeerError) -> Result<(), Failure> {
        let Some(attempt) = self.attempt.take() else { return Ok(()) };
        let server = attempt.decision.server.clone();
        drop(attempt);
        if error.delivery == Delivery::Unknown {
            self.any_delivery_unknown = true;
        }
        if error.delivery != Delivery::Refused {
            self.context.report(TrafficReport::AttemptFailed { server: server.clone() });
        }
        let failed = FailedAttempt {
            attempts: self.attempts,
            delivery: error.delivery,
            deadline: self.request.deadline,
        };
        let decision = retry::decide(failed, &mut self.context.retry_budget(), Instant::now());
        log::info!(
            "event=attempt_failed request={} server={server} attempts={} frames={} then={decision:?} {error}",
            self.request.id,
            self.attempts,
            self.next_frame,
        );
        self.excluded.push(server);
        match decision {
            RetryDecision::Retry => Ok(()),
            RetryDecision::GiveUp(reason) => Err(self.given_up(reason)),
        }
    }

    fn given_up(&self, reason: GiveUpReason) -> Failure {
        let message = format!("{} attempts failed, then no further one: {reason}", self.attempts);
        self.failure(FailureCode::UpstreamFailed, message)
    }

    fn no_server(&self) -> Failure {
        let message = format!("no backend server can take model `{}` now", self.request.model);
        self.failure(FailureCode::NoServer, message)
    }

    fn failure(&self, code: FailureCode, message: String) -> Failure {
        let failure = if self.any_delivery_unknown || self.next_frame > 0 {
            Failure::unknown(code, message)
        } else {
            Failure::not_run(code, message)
        };
        failure.retry_at(Instant::now() + NO_SERVER_RETRY)
    }

    fn attempt_error(&self, step: Step, source: anyhow::Error) -> PeerError {
        let peer = self.attempt.as_ref().map(|attempt| attempt.decision.server.clone());
        PeerError::new(step, peer.unwrap_or_default(), Delivery::Unknown, source)
    }
}

enum AttemptError {
    NoServer,
    Peer(PeerError),
}

impl Attempt {
    fn begin(decision: RouteDecision, view: RoutingView, levels: &[PrefixLevel]) -> Self {
        let prompt_tokens = levels.last().map_or(0, |level| level.tokens);
        let pending_prefill_tokens = prompt_tokens.saturating_sub(decision.expected_hit_tokens);
        view.begin(&decision.server, pending_prefill_tokens);
        let sent_at = Instant::now();
        Self { decision, view, pending_prefill_tokens, sent_at, first_token_at: None, frames: None }
    }

    /// Takes in that a frame came.
    fn note_frame(&mut self) {
        if self.first_token_at.is_some() {
            return;
        }
        self.first_token_at = Some(Instant::now());
        let prefill_tokens = std::mem::take(&mut self.pending_prefill_tokens);
        self.view.first_token(&self.decision.server, prefill_tokens);
    }

    /// Returns the times of an answer that ended at `ended_at`, none after a resume.
    fn timing(&self, attempts: u32, ended_at: Instant) -> Option<AnswerTiming> {
        let first_token_at = self.first_token_at.filter(|_| attempts == 1)?;
        let expectation = self.decision.expectation;
        Some(AnswerTiming { sent_at: self.sent_at, first_token_at, ended_at, expectation })
    }
}

fn cut_stream() -> PeerError {
    PeerError::new(Step::ReadBody, "", Delivery::Unknown, anyhow::anyhow!("stream was cut"))
}

fn log_decision(query: &RouteQuery, decision: &RouteDecision, attempts: u32) {
    let runner_up = decision.runner_up.as_deref().unwrap_or("none");
    let prompt_tokens = query.levels.last().map_or(0, |level| level.tokens);
    log::info!(
        "event=routed request={} workspace={} model={} server={} runner_up={runner_up} \
         prompt_tokens={prompt_tokens} expected_hit_tokens={} queued_requests={} reason={} \
         attempts={attempts}",
        query.request,
        query.workspace,
        query.model,
        decision.server,
        decision.expected_hit_tokens,
        decision.queued_requests,
        decision.reason,
    );
}
