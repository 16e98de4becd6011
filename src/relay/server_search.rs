//! Search for a server that answers a request: attempts one after the other, or beside each other
//! while servers are silent.

use super::answer::AttemptOutcome;
use super::attempts::{Attempts, MAX_TRIED_SERVERS};
use super::buffered_answer::BufferedAnswer;
use super::peers::forward;
use super::pending_attempts::{EndedAttempt, PendingAttempts, SERVER_CHECK_PERIOD};
use super::refusal::{Refusal, RefusalReason};
use super::request::RelayedRequest;
use super::server_choice::{choose_server, choose_server_now, log_choice};
use super::{RelayContext, stream, stream_origin};
use crate::adapters::deadline::timeout_at;
use crate::adapters::http_server::Reply;
use crate::decision::relay::{
    Failover, FailoverStep, GiveUpReason, NotTriedReason, PeerNode, UnavailableReason,
};
use crate::types::{Delivery, PeerError, ServerId, Step};
use http::StatusCode;
use smol_str::SmolStr;
use std::mem;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Retry delay of a caller whose request no server ran.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time before the deadline at which the failure that a server answered is forwarded, if no other
/// server has answered.
const FAILURE_MARGIN: Duration = Duration::from_millis(100);

/// What the search for a server that answers has led to.
pub struct SearchResult {
    /// The answer for the caller, or for the node that sent the request.
    pub served: Result<Reply, Refusal>,
    /// Server that the request was last sent to, if it was.
    pub server: Option<ServerId>,
}

/// Sends the request of a caller to servers until one answers, and returns that answer.
pub async fn serve(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
) -> Result<Reply, Refusal> {
    context.resend_budget().count_first_attempt(&request.service, Instant::now());
    let software = stream_origin::find_software(context, request).await?;
    let attempts = Attempts { software, ..Attempts::default() };
    ServerSearch::new(context, request, attempts).run().await.served
}

/// Sends the request of another node to a server, and to others only if it certainly did not run it.
pub async fn serve_forwarded(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: Attempts,
) -> SearchResult {
    ServerSearch::new(context, request, attempts).run().await
}

/// Whether a request may be sent to another server.
#[derive(Clone, Debug, Eq, PartialEq)]
enum NextAttempt {
    /// It may, since no server got it.
    Free,
    /// It may if the resend budget allows it.
    Resend(SmolStr),
    /// It may not.
    Forbidden,
}

/// Search for a server that answers a request.
struct ServerSearch<'a> {
    context: &'a Arc<RelayContext>,
    request: &'a Arc<RelayedRequest>,
    attempts: Attempts,
    /// Possible runs before this search, at the node that sent the request.
    runs_before: u32,
    /// Server that the request was last sent to by this node.
    last_server: Option<ServerId>,
    pending: PendingAttempts,
    failover: Failover,
    /// Servers that could not be reached.
    failed_connections: usize,
    next_attempt: NextAttempt,
    /// Failure that a server answered, forwarded if no other server answers.
    failure: Option<BufferedAnswer>,
    /// Refusal if no server answers.
    refusal: Refusal,
}

impl<'a> ServerSearch<'a> {
    fn new(
        context: &'a Arc<RelayContext>,
        request: &'a Arc<RelayedRequest>,
        attempts: Attempts,
    ) -> Self {
        Self {
            context,
            request,
            runs_before: attempts.possible_runs,
            attempts,
            last_server: None,
            failed_connections: 0,
            pending: PendingAttempts::default(),
            failover: Failover::new(request.deadline, Instant::now()),
            next_attempt: NextAttempt::Free,
            failure: None,
            refusal: Refusal::new(RefusalReason::TimedOut),
        }
    }

    async fn run(mut self) -> SearchResult {
        let refusal = loop {
            let now = Instant::now();
            let failure_deadline = self.failure_deadline();
            if failure_deadline.is_some_and(|failure_deadline| now >= failure_deadline) {
                break Refusal::new(RefusalReason::TimedOut);
            }
            match self.failover.step(self.may_try_another(now), now) {
                FailoverStep::TryAnother => self.try_server().await,
                FailoverStep::Wait { until } => {
                    let until = failure_deadline.map_or(until, |deadline| until.min(deadline));
                    if let Some(answered) = self.wait_for_answer(until).await {
                        let server = self.last_server.clone();
                        let served = answered.or_else(|refusal| self.give_up(refusal));
                        return SearchResult { served, server };
                    }
                }
                FailoverStep::GiveUp(GiveUpReason::NoServer) => break self.final_refusal(),
                FailoverStep::GiveUp(GiveUpReason::DeadlinePassed) => {
                    break Refusal::new(RefusalReason::TimedOut);
                }
            }
        };
        let server = self.last_server.clone();
        SearchResult { served: self.give_up(refusal), server }
    }

    fn may_try_another(&self, now: Instant) -> bool {
        match self.next_attempt {
            NextAttempt::Free => self.attempts.tried.len() < MAX_TRIED_SERVERS,
            NextAttempt::Resend(_) => self.attempts.allow_another(self.context, self.request, now),
            NextAttempt::Forbidden => false,
        }
    }

    /// Sends the request to the best available server, if budget and load allow it.
    async fn try_server(&mut self) {
        let (context, request) = (self.context, self.request);
        let gateway =
            forward::choose_gateway(context, request, &self.attempts, self.failed_connections);
        if let Some(node) = gateway {
            return self.try_node(node);
        }
        let chosen = match self.pending.is_empty() {
            true => choose_server(context, request, &self.attempts).await,
            false => choose_server_now(context, request, &self.attempts, Instant::now()),
        };
        let run = match chosen {
            Ok(run) => run,
            Err(refusal) => {
                if is_out_of_reach(refusal.reason)
                    && let Some(node) = forward::find_gateway(context, request, &self.attempts)
                {
                    return self.try_node(node);
                }
                self.refusal = refusal;
                return self.failover.record_not_tried(NotTriedReason::Unavailable, Instant::now());
            }
        };
        if let NextAttempt::Resend(reason) = &self.next_attempt
            && !self.attempts.try_resend(context, request, reason)
        {
            return self.failover.record_not_tried(NotTriedReason::Budget, Instant::now());
        }
        log_choice(request, &run.choice);
        self.attempts.begin(&run.choice.server);
        self.last_server = Some(run.choice.server.clone());
        let last_event_id = request.resume_after.clone();
        self.pending.begin(context, request, run, last_event_id);
        self.failover.record_sent();
    }

    /// Sends the request by way of another node, if the budget allows it.
    fn try_node(&mut self, node: PeerNode) {
        let (context, request) = (self.context, self.request);
        let authorization = match request.authorize(context) {
            Ok(authorization) => authorization,
            Err(refusal) => {
                self.refusal = refusal;
                return self.failover.record_not_tried(NotTriedReason::Unavailable, Instant::now());
            }
        };
        if let NextAttempt::Resend(reason) = &self.next_attempt
            && !self.attempts.try_resend(context, request, reason)
        {
            return self.failover.record_not_tried(NotTriedReason::Budget, Instant::now());
        }
        forward::log_forwarding(request, &node);
        let attempts = self.attempts.clone();
        self.attempts.begin_by_node(&node.instance);
        self.pending.begin_by_node(context, request, authorization, node, attempts, None);
        self.failover.record_sent();
    }

    /// Waits for a server to answer; returns the answer for the caller if one did, or a refusal if a stream
    /// has not begun at any server.
    async fn wait_for_answer(&mut self, until: Instant) -> Option<Result<Reply, Refusal>> {
        let until = until.min(Instant::now() + SERVER_CHECK_PERIOD);
        if let Ok(ended) = timeout_at(until, self.pending.next_ended()).await {
            return self.end_attempt(ended).await;
        }
        if self.request.route.retry_safety.is_retryable()
            && self.pending.becomes_overdue(self.context, self.request)
        {
            self.next_attempt = NextAttempt::Resend("overdue".into());
            self.failover.record_silence(Instant::now());
        }
        None
    }

    /// Applies the outcome of an attempt; returns the answer for the caller if it was one.
    async fn end_attempt(&mut self, ended: EndedAttempt) -> Option<Result<Reply, Refusal>> {
        self.attempts.end(&ended);
        let mut is_crash_checked = false;
        match ended.outcome {
            AttemptOutcome::NotSent(error) => {
                let is_free = error.delivery == Delivery::NotSent;
                self.failed_connections += usize::from(error.step == Step::Connect);
                self.refuse_not_run();
                self.next_attempt =
                    if is_free { NextAttempt::Free } else { NextAttempt::Forbidden };
            }
            AttemptOutcome::NotRun(reason) => {
                self.refuse_not_run();
                self.next_attempt = NextAttempt::Resend(reason.to_string().into());
            }
            AttemptOutcome::Unknown(error) => {
                is_crash_checked = error.is_disconnect() && self.request.head.prompt.is_some();
                self.refusal = failure_refusal(self.request, &error);
                self.next_attempt = self.resend_if_retryable("unknown");
            }
            AttemptOutcome::Streaming(answer) => {
                let (attempts, pending) = (self.attempts.clone(), mem::take(&mut self.pending));
                let forwarded =
                    stream::forward_stream(self.context, self.request, attempts, pending, *answer);
                return Some(forwarded.await);
            }
            AttemptOutcome::Answered(answer) => {
                let is_retryable = self.request.route.retry_safety.is_retryable();
                if !answer.status.is_server_error() || !is_retryable {
                    self.pending.abandon(self.request);
                    return Some(Ok(answer.forward(self.context, self.request, &self.attempts)));
                }
                self.next_attempt = self.resend_if_retryable("server_error");
                self.failure = Some(*answer);
            }
        }
        let now = Instant::now();
        self.failover.record_failed_answer(now);
        if is_crash_checked {
            self.failover.record_crash_check(now);
        }
        if !self.pending.is_empty() {
            // A further server was tried since these are overdue.
            self.failover.record_silence(now);
        }
        None
    }

    /// Returns the refusal after all servers have failed. It does not promise that the request has
    /// not run if a server of this search may have run it.
    fn final_refusal(&self) -> Refusal {
        let promises_no_run = self.refusal.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        if promises_no_run && self.attempts.possible_runs > self.runs_before {
            return Refusal::new(RefusalReason::OutcomeUnknown);
        }
        self.refusal
    }

    /// Returns the answer for the caller after all servers have failed.
    fn give_up(self, refusal: Refusal) -> Result<Reply, Refusal> {
        match self.failure {
            Some(failure) => {
                let Self { mut pending, context, request, attempts, .. } = self;
                pending.abandon(request);
                Ok(failure.forward(context, request, &attempts))
            }
            None => {
                log::info!(
                    "event=search_failed request={} reason={} {}",
                    self.request.id,
                    refusal.reason.name(),
                    self.attempts
                );
                Err(refusal)
            }
        }
    }

    /// Returns when the search for a better answer than a server's failure ends.
    fn failure_deadline(&self) -> Option<Instant> {
        self.failure.as_ref()?;
        self.request.deadline.checked_sub(FAILURE_MARGIN)
    }

    fn resend_if_retryable(&self, reason: &'static str) -> NextAttempt {
        match self.request.route.retry_safety.is_retryable() {
            true => NextAttempt::Resend(SmolStr::new_static(reason)),
            false => NextAttempt::Forbidden,
        }
    }

    fn refuse_not_run(&mut self) {
        let retry_at = Instant::now() + NOT_RUN_RETRY_DELAY;
        self.refusal = Refusal::with_retry(RefusalReason::NotRun, retry_at);
    }
}

/// Whether other nodes may reach servers that this one cannot, or own brittle ones.
fn is_out_of_reach(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Unavailable(
            UnavailableReason::Unreachable
                | UnavailableReason::NoServer
                | UnavailableReason::Limited
        )
    )
}

/// Returns the refusal of a request whose last attempt failed with `error`.
fn failure_refusal(request: &RelayedRequest, error: &PeerError) -> Refusal {
    let is_late = Instant::now() >= request.deadline;
    let reason = match error.step {
        _ if is_late => RefusalReason::TimedOut,
        Step::Decode => RefusalReason::BadAnswer,
        _ => RefusalReason::OutcomeUnknown,
    };
    Refusal::new(reason)
}
