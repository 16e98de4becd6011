//! Runs a model request: attempts on servers, resumption after failures, and relaying of frames.

use super::attempt::Attempt;
use super::generation_request::GenerationRequest;
use super::power_commitment::{PowerCommitment, PoweredAttempt};
use super::shed_signals::ShedSignal;
use super::suspect_gate::{SuspectPermit, route_suspect};
use super::{Failure, FailureCode, TrafficContext};
use crate::adapters::deadline::timeout_at;
use crate::control::{Snapshot, TrafficReport};
use crate::decision::frame_order::{FrameAction, FrameOrder, FramePosition};
use crate::decision::poison::Suspicion;
use crate::decision::retry::{self, FailedAttempt, GiveUpReason, RetryDecision};
use crate::decision::routing::{AnswerFeedback, RouteDecision, RouteQuery, SentRequest};
use crate::ports::{EngineFrame, EngineRequest};
use crate::types::{Delivery, Incarnation, PeerError, ServerId, Step};
use futures_lite::FutureExt;
use serde_json::Value;
use smol::Timer;
use smol_str::format_smolstr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay after which a caller may retry a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Time allowed for confirming a crash and exchanging strikes with partners.
const STRIKE_EXCHANGE_TIME: Duration = Duration::from_millis(150);

/// Token counts of a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that came from a cache.
    pub cached_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
}

/// Item of an answer stream.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerItem {
    /// Chunk in the format of the endpoint.
    Chunk(Value),
    /// End of the answer, which is complete.
    End(Usage),
}

/// Model request in progress, run by one or more attempts.
///
/// If an attempt fails, the next one resumes the answer at the first frame not yet relayed.
pub struct Generation {
    context: Arc<TrafficContext>,
    request: GenerationRequest,
    attempt: Option<Attempt>,
    shed_signal: Option<ShedSignal>,
    suspect_permit: Option<SuspectPermit>,
    attempts: u32,
    /// Servers on which an attempt failed.
    excluded: Vec<ServerId>,
    frame_order: FrameOrder,
    /// Whether a server may have acted on an attempt that failed or was stopped.
    any_delivery_unknown: bool,
}

/// Error of [`Generation::start_attempt`].
enum AttemptError {
    /// The request cannot be sent and fails without a retry.
    Final(Failure),
    /// The exchange with the server failed.
    Peer(PeerError),
}

impl Generation {
    /// Returns a request that has not been sent yet; a suspect first waits until no other one runs.
    pub async fn new(
        context: Arc<TrafficContext>,
        request: GenerationRequest,
        is_suspect: bool,
    ) -> Self {
        context.retry_budget().record_first_attempt(Instant::now());
        let mut generation = Self {
            context,
            request,
            attempt: None,
            shed_signal: None,
            suspect_permit: None,
            attempts: 0,
            excluded: Vec::new(),
            frame_order: FrameOrder::default(),
            any_delivery_unknown: false,
        };
        if is_suspect {
            generation.acquire_suspect_permit().await;
        }
        generation
    }

    /// Returns the request.
    pub fn request(&self) -> &GenerationRequest {
        &self.request
    }

    /// Counts a failure that ended the answer after its first item.
    pub fn count_failure(&self, failure: &Failure) {
        self.context.count_failure(failure);
    }

    /// Returns the next item of the answer, retrying failed attempts; a returned failure is final.
    pub async fn next_item(&mut self) -> Result<AnswerItem, Failure> {
        loop {
            if self.attempt.is_none() {
                match self.start_attempt().await {
                    Ok(()) => {}
                    Err(AttemptError::Final(failure)) => return Err(failure),
                    Err(AttemptError::Peer(error)) => {
                        self.fail_attempt(&error).await?;
                        continue;
                    }
                }
            }
            let result = self.next_frame().await?;
            match result.and_then(|frame| self.accept_frame(frame)) {
                Ok(Some(item)) => return Ok(item),
                Ok(None) => {}
                Err(error) => self.fail_attempt(&error).await?,
            }
        }
    }

    /// Returns the next frame of the attempt, or a failure if its power is withdrawn first.
    async fn next_frame(&mut self) -> Result<Result<EngineFrame, PeerError>, Failure> {
        let (Some(attempt), Some(shed_signal)) = (&mut self.attempt, &self.shed_signal) else {
            return Err(self.no_server_failure());
        };
        let frame = async { Some(attempt.next_frame().await) };
        let shed = async {
            let _closed = shed_signal.recv().await;
            None
        };
        match frame.or(shed).await {
            Some(result) => Ok(result),
            None => {
                self.attempt = None;
                self.any_delivery_unknown = true;
                let message = String::from("stopped to keep the site within its power budget");
                Err(self.failure(FailureCode::PowerWithdrawn, message))
            }
        }
    }

    async fn start_attempt(&mut self) -> Result<(), AttemptError> {
        let snapshot = self.context.snapshot.load_full();
        let query = self.route_query();
        let decision = self.route(&snapshot, &query).map_err(AttemptError::Final)?;
        log_decision(&query, &decision, self.attempts);
        self.context.decisions.push(&query, &decision);
        self.context.count_decision(&decision);
        let power = self.commit_power(&decision).await.map_err(AttemptError::Final)?;
        self.attempts += 1;
        let engine_request = self.build_engine_request(&decision);
        let address = decision.address;
        self.context.report(TrafficReport::Sent(SentRequest {
            server: decision.server.clone(),
            runner_up: decision.runner_up.clone(),
            levels: query.levels.clone(),
        }));
        let view = snapshot.routing.clone();
        let attempt = self.attempt.insert(Attempt::begin(decision, view, &query.levels, power));
        let answer = self.context.engines.generate(address, engine_request).await;
        match answer {
            Ok(answer) => {
                if let Some(report) = attempt.set_answer(answer) {
                    self.context.report(report);
                }
                Ok(())
            }
            Err(error) => {
                if error.delivery != Delivery::Unknown {
                    attempt.release_power();
                }
                Err(AttemptError::Peer(error))
            }
        }
    }

    fn route_query(&self) -> RouteQuery {
        RouteQuery {
            request: self.request.id.clone(),
            workspace: self.request.workspace.clone(),
            model: self.request.model.clone(),
            levels: self.request.levels.clone(),
            excluded: self.excluded.clone(),
        }
    }

    fn route(&self, snapshot: &Snapshot, query: &RouteQuery) -> Result<RouteDecision, Failure> {
        let now = Instant::now();
        let decision = if self.suspect_permit.is_some() {
            route_suspect(snapshot, query, now)
        } else {
            snapshot.routing.route(query, now)
        };
        let decision = decision.ok_or_else(|| self.no_server_failure())?;
        self.check_wait(&decision, now)?;
        Ok(decision)
    }

    /// Refuses a request that has not been sent yet if its expected wait on the chosen server
    /// exceeds the maximum for its priority.
    fn check_wait(&self, decision: &RouteDecision, now: Instant) -> Result<(), Failure> {
        let admission = self.context.admission.config();
        let priority = self.request.priority;
        let wait = Duration::from_millis(decision.expectation.wait_ms.into());
        if self.attempts > 0 || wait <= admission.max_wait(priority) {
            return Ok(());
        }
        let message = format!("the best server would start it after {} ms", wait.as_millis());
        let retry_at = admission.wait_refusal(priority, wait, now).retry_at;
        Err(Failure::not_run(FailureCode::Overloaded, message).retry_at(retry_at))
    }

    /// Commits the watts of an attempt, waiting for them up to the maximum for the priority.
    async fn commit_power(&mut self, decision: &RouteDecision) -> Result<PowerCommitment, Failure> {
        let attempt = PoweredAttempt {
            key: format_smolstr!("{}#{}", self.request.id, self.attempts),
            request: self.request.id.clone(),
            server: decision.server.clone(),
            address: decision.address,
            priority: self.request.priority,
            work_deadline: self.request.deadline,
        };
        self.shed_signal = Some(self.context.shed_signals.register(attempt.key.clone()));
        let max_wait = self.context.admission.config().max_wait(self.request.priority);
        let wait_deadline = self.request.deadline.min(Instant::now() + max_wait);
        let committed =
            PowerCommitment::commit(Arc::clone(&self.context), attempt, wait_deadline).await;
        committed.map_err(|refusal| self.failure(FailureCode::Overloaded, refusal.to_string()))
    }

    fn build_engine_request(&self, decision: &RouteDecision) -> EngineRequest {
        let time_left = self.request.deadline.saturating_duration_since(Instant::now());
        EngineRequest {
            request_id: self.request.id.clone(),
            path: self.request.endpoint.path(),
            body: self.request.body.clone(),
            priority: self.request.priority,
            weights_version: self.request.weights_version.clone(),
            resume_from_frame: self.frame_order.next_frame(),
            prefix_levels: self.request.levels.clone(),
            import_keys: decision.import_keys.clone(),
            time_limit_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the item to relay for a frame, `None` for a frame relayed before; a gap is an error.
    fn accept_frame(&mut self, frame: EngineFrame) -> Result<Option<AnswerItem>, PeerError> {
        let position = match &frame {
            EngineFrame::Piece { number, .. } => FramePosition::Piece(*number),
            EngineFrame::End { number, .. } => FramePosition::End(*number),
        };
        match self.frame_order.accept(position) {
            FrameAction::Relay => {}
            FrameAction::Skip => return Ok(None),
            FrameAction::Refuse(fault) => return Err(self.attempt_error(fault.into())),
        }
        if self.frame_order.next_frame() == 1 {
            self.context.observe_first_token(&self.request, Instant::now());
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.record_frame();
        }
        match frame {
            EngineFrame::Piece { chunk, .. } => Ok(Some(AnswerItem::Chunk(chunk))),
            EngineFrame::End { prompt_tokens, cached_tokens, completion_tokens, .. } => {
                let usage = Usage { prompt_tokens, cached_tokens, completion_tokens };
                self.complete_attempt(usage);
                Ok(Some(AnswerItem::End(usage)))
            }
        }
    }

    fn complete_attempt(&mut self, usage: Usage) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.release_power();
        self.context.count_answer(&self.request, usage, attempt.decision());
        let is_first = self.attempts == 1;
        let timing = attempt.timing(Instant::now()).filter(|_| is_first);
        log::debug!(
            "event=answered request={} server={} prompt_tokens={} cached_tokens={} \
             first_token_ms={}",
            self.request.id,
            attempt.decision().server,
            usage.prompt_tokens,
            usage.cached_tokens,
            timing.map_or(0, |timing| (timing.first_token_at - timing.sent_at).as_millis()),
        );
        self.context.report(TrafficReport::Answer(AnswerFeedback {
            server: attempt.decision().server.clone(),
            incarnation: attempt.incarnation().unwrap_or_default(),
            model: self.request.model.clone(),
            workspace: self.request.workspace.clone(),
            levels: self.request.levels.clone(),
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            timing,
        }));
        if self.suspect_permit.is_some() {
            self.context.report(TrafficReport::SuspectCompleted(self.request.fingerprint));
        }
    }

    /// Ends the attempt after an error; returns a failure if the request is not retried.
    async fn fail_attempt(&mut self, error: &PeerError) -> Result<(), Failure> {
        let Some(attempt) = self.attempt.take() else { return Ok(()) };
        let server = attempt.decision().server.clone();
        let incarnation = attempt.incarnation();
        drop(attempt);
        self.context.count_peer_error("engine", error);
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
            self.frame_order.next_frame(),
        );
        self.excluded.push(server.clone());
        let suspicion = if error.is_disconnect() {
            self.suspicion_after_cut(server, incarnation).await
        } else {
            Suspicion::None
        };
        if matches!(suspicion, Suspicion::Refused { .. }) {
            let message = String::from("this request crashed more than one backend server");
            return Err(self.failure(FailureCode::PoisonRequest, message));
        }
        match decision {
            RetryDecision::GiveUp(reason) => Err(self.no_retry_failure(reason)),
            RetryDecision::Retry => {
                self.context.metrics.retries.inc();
                if suspicion == Suspicion::Suspect {
                    self.acquire_suspect_permit().await;
                }
                Ok(())
            }
        }
    }

    /// Reports a connection that broke during the answer, waits until the crash could be confirmed
    /// and strikes received from partners, and returns the suspicion against the request.
    async fn suspicion_after_cut(
        &mut self,
        server: ServerId,
        incarnation: Option<Incarnation>,
    ) -> Suspicion {
        let fingerprint = self.request.fingerprint;
        self.context.report(TrafficReport::AnswerInterrupted { server, incarnation, fingerprint });
        Timer::after(STRIKE_EXCHANGE_TIME).await;
        self.context.snapshot.load().poison.suspicion(fingerprint, Instant::now())
    }

    /// Waits until no other suspect of this node runs; returns without a permit at the deadline.
    async fn acquire_suspect_permit(&mut self) {
        if self.suspect_permit.is_some() {
            return;
        }
        let permit = timeout_at(self.request.deadline, self.context.suspects.acquire()).await;
        self.suspect_permit = permit.ok();
    }

    fn no_retry_failure(&self, reason: GiveUpReason) -> Failure {
        let message = format!("{} attempts failed, then no further one: {reason}", self.attempts);
        self.failure(FailureCode::UpstreamFailed, message)
    }

    fn no_server_failure(&self) -> Failure {
        let message = format!("no backend server can take model `{}` now", self.request.model);
        self.failure(FailureCode::NoServer, message)
    }

    /// Returns a failure of this request; its run state follows from the attempts so far.
    fn failure(&self, code: FailureCode, message: String) -> Failure {
        let failure = if self.any_delivery_unknown || self.frame_order.next_frame() > 0 {
            Failure::outcome_unknown(code, message)
        } else {
            Failure::not_run(code, message)
        };
        match code {
            FailureCode::PoisonRequest => failure,
            _ => failure.retry_at(Instant::now() + RETRY_DELAY),
        }
    }

    fn attempt_error(&self, source: anyhow::Error) -> PeerError {
        match &self.attempt {
            Some(attempt) => attempt.error(Step::Decode, source),
            None => PeerError::new(Step::Decode, "", Delivery::Unknown, source),
        }
    }
}

fn log_decision(query: &RouteQuery, decision: &RouteDecision, attempts: u32) {
    let runner_up = decision.runner_up.as_deref().unwrap_or("none");
    let prompt_tokens = query.levels.last().map_or(0, |level| level.tokens);
    log::info!(
        "event=routed request={} workspace={} model={} server={} runner_up={runner_up} \
         prompt_tokens={prompt_tokens} expected_hit_tokens={} queued_requests={} wait_ms={} \
         reason={} is_home={} attempts={attempts}",
        query.request,
        query.workspace,
        query.model,
        decision.server,
        decision.expected_hit_tokens,
        decision.queued_requests,
        decision.expectation.wait_ms,
        decision.reason,
        decision.expectation.is_home,
    );
}
