//! Handling of one request: admission, attempts at servers, and the answer or refusal.

use super::attempt::AttemptOutcome;
use super::buffered_answer::BufferedAnswer;
use super::pending_attempts::{PendingAttempts, SERVER_CHECK_PERIOD};
use super::refusal::{Refusal, RefusalReason};
use super::request::{RelayedRequest, receive};
use super::{RelayContext, stream, suspects};
use crate::adapters::deadline::timeout_at;
use crate::adapters::http_server::Reply;
use crate::decision::relay::{
    Choice, Failover, FailoverStep, GiveUpReason, NotTriedReason, Prompt, Unavailable,
    UnavailableReason,
};
use crate::metrics::labels::ReasonLabels;
use crate::types::{Delivery, PeerError, RequestId, ServerId, Step};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use smol::Timer;
use smol_str::SmolStr;
use std::mem;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Divisor of the latency objective that gives the maximum wait for an available server.
const WAIT_OBJECTIVE_DIVISOR: u32 = 8;

/// Time between two attempts to choose a server while all are closed.
const CHOICE_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Minimum remaining time for a resend.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Maximum servers tried for a request, including those that are unreachable or full.
const MAX_TRIED_SERVERS: usize = 4;

/// Retry delay of a caller whose request no server ran.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time before the deadline at which the failure that a server answered is forwarded, if no other
/// server has answered.
const FAILURE_MARGIN: Duration = Duration::from_millis(100);

/// Attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Servers that were tried, including unreachable ones.
    pub tried: Vec<ServerId>,
    /// Number of attempts in which the server may have run the request.
    pub possible_runs: u32,
}

impl Attempts {
    /// Records that the request was sent to a server, which may run it.
    pub fn begin(&mut self, server: &ServerId) {
        self.tried.push(server.clone());
        self.possible_runs += 1;
    }

    /// Records the outcome of an attempt: a server that certainly did not run the request does not
    /// count.
    pub fn end(&mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Streaming(_)
            | AttemptOutcome::Answered(_)
            | AttemptOutcome::Unknown(_) => {}
            AttemptOutcome::NotRun(_) | AttemptOutcome::NotSent(_) => self.possible_runs -= 1,
        }
    }

    /// Whether the route and the remaining time allow another attempt.
    pub fn allow_another(
        &self,
        context: &RelayContext,
        request: &RelayedRequest,
        now: Instant,
    ) -> bool {
        self.possible_runs < request.route.max_attempts
            && self.tried.len() < MAX_TRIED_SERVERS
            && now + MIN_ATTEMPT_TIME < request.deadline
            && (self.possible_runs == 0 || suspects::may_resend(context, request, now))
    }

    /// Takes a resend from the budget if route, budget and remaining time allow one; returns
    /// whether they do.
    pub fn try_resend(
        &self,
        context: &RelayContext,
        request: &RelayedRequest,
        reason: &str,
    ) -> bool {
        let now = Instant::now();
        let is_allowed = self.allow_another(context, request, now)
            && context.resend_budget().try_take(&request.service, now);
        if is_allowed {
            let labels = ReasonLabels { reason: reason.to_owned() };
            context.metrics.resends.get_or_create(&labels).inc();
            log::info!(
                "event=resend request={} route={} reason={reason} sent={} age_ms={}",
                request.id,
                request.route.name,
                self.possible_runs,
                request.age_ms()
            );
        }
        is_allowed
    }
}

/// Handles a request and returns the answer for the caller.
pub async fn handle(context: Arc<RelayContext>, request: Request<Incoming>) -> Reply {
    let arrived_at = Instant::now();
    let head = context.ports.dialect.read_request(request.headers());
    let id = head.id.clone();
    let received = receive(&context, request, head, arrived_at).await;
    let request = match received {
        Ok(request) => Arc::new(request),
        Err(refusal) => {
            log_refusal(id.as_ref(), None, refusal, arrived_at);
            return refusal.reply(&context, id.as_ref());
        }
    };
    let mut unanswered =
        UnansweredRequest { context: &context, request: &request, is_answered: false };
    let served = serve(&context, &request).await;
    unanswered.is_answered = true;
    match served {
        Ok(reply) => reply,
        Err(refusal) => {
            log_refusal(Some(&request.id), Some(&request.route.name), refusal, arrived_at);
            stream::count_outcome(&context, &request, "refused");
            refusal.reply(&context, Some(&request.id))
        }
    }
}

/// Logs and counts a request whose task is dropped before it was answered, since the caller left.
struct UnansweredRequest<'a> {
    context: &'a RelayContext,
    request: &'a RelayedRequest,
    is_answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        stream::count_outcome(self.context, self.request, "left");
        log::info!(
            "event=left request={} route={} age_ms={}",
            self.request.id,
            self.request.route.name,
            self.request.age_ms()
        );
    }
}

fn log_refusal(id: Option<&RequestId>, route: Option<&SmolStr>, refusal: Refusal, since: Instant) {
    let retry_ms =
        refusal.retry_at.map_or(0, |at| at.saturating_duration_since(Instant::now()).as_millis());
    log::info!(
        "event=refused request={} route={} reason={} status={} retry_ms={retry_ms} age_ms={}",
        id.map_or("none", |id| id.as_str()),
        route.map_or("none", |route| route.as_str()),
        refusal.reason.name(),
        refusal.reason.status().as_u16(),
        since.elapsed().as_millis()
    );
}

/// Sends a request to servers until one answers, and returns that answer.
async fn serve(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
) -> Result<Reply, Refusal> {
    let now = Instant::now();
    context.resend_budget().count_first_attempt(&request.service, now);
    let mut search = ServerSearch {
        context,
        request,
        attempts: Attempts::default(),
        pending: PendingAttempts::default(),
        failover: Failover::new(request.deadline, now),
        next_attempt: NextAttempt::Free,
        failure: None,
        refusal: Refusal::new(RefusalReason::TimedOut),
    };
    loop {
        let now = Instant::now();
        let failure_deadline = search.failure_deadline();
        if failure_deadline.is_some_and(|failure_deadline| now >= failure_deadline) {
            return search.give_up(Refusal::new(RefusalReason::TimedOut));
        }
        match search.failover.step(search.may_try_another(now), now) {
            FailoverStep::TryAnother => search.try_server().await,
            FailoverStep::Wait { until } => {
                let until =
                    failure_deadline.map_or(until, |failure_deadline| until.min(failure_deadline));
                if let Some(reply) = search.wait_for_answer(until).await {
                    return Ok(reply);
                }
            }
            FailoverStep::GiveUp(GiveUpReason::NoServer) => {
                let refusal = search.final_refusal();
                return search.give_up(refusal);
            }
            FailoverStep::GiveUp(GiveUpReason::DeadlinePassed) => {
                return search.give_up(Refusal::new(RefusalReason::TimedOut));
            }
        }
    }
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
    pending: PendingAttempts,
    failover: Failover,
    next_attempt: NextAttempt,
    /// Failure that a server answered, forwarded if no other server answers.
    failure: Option<BufferedAnswer>,
    /// Refusal if no server answers.
    refusal: Refusal,
}

impl ServerSearch<'_> {
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
        let chosen = match self.pending.is_empty() {
            true => choose_server(context, request, &self.attempts).await,
            false => choose_server_now(context, request, &self.attempts, Instant::now()),
        };
        let choice = match chosen {
            Ok(choice) => choice,
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
        log_choice(request, &choice);
        self.attempts.begin(&choice.server);
        self.pending.begin(context, request, choice, None);
        self.failover.record_sent();
    }

    /// Waits for a server to answer; returns the answer for the caller if one did.
    async fn wait_for_answer(&mut self, until: Instant) -> Option<Reply> {
        let until = until.min(Instant::now() + SERVER_CHECK_PERIOD);
        if let Ok(ended) = timeout_at(until, self.pending.next_ended()).await {
            return self.end_attempt(ended.outcome);
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
    fn end_attempt(&mut self, outcome: AttemptOutcome) -> Option<Reply> {
        self.attempts.end(&outcome);
        let mut is_crash_checked = false;
        match outcome {
            AttemptOutcome::NotSent(error) => {
                let is_free = error.delivery == Delivery::NotSent;
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
                return Some(stream::forward_stream(
                    self.context,
                    self.request,
                    attempts,
                    pending,
                    *answer,
                ));
            }
            AttemptOutcome::Answered(answer) => {
                let is_retryable = self.request.route.retry_safety.is_retryable();
                if !answer.status.is_server_error() || !is_retryable {
                    self.pending.abandon(self.request);
                    return Some(answer.forward(self.context, self.request));
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
    /// not run if a server may have run it.
    fn final_refusal(&self) -> Refusal {
        let promises_no_run = self.refusal.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        if promises_no_run && self.attempts.possible_runs > 0 {
            return Refusal::new(RefusalReason::OutcomeUnknown);
        }
        self.refusal
    }

    /// Returns the answer for the caller after all servers have failed.
    fn give_up(self, refusal: Refusal) -> Result<Reply, Refusal> {
        match self.failure {
            Some(failure) => {
                let Self { mut pending, context, request, .. } = self;
                pending.abandon(request);
                Ok(failure.forward(context, request))
            }
            None => Err(refusal),
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

/// Returns the server for the next attempt. Waits a short time if all servers are closed.
pub async fn choose_server(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
) -> Result<Choice, Refusal> {
    let objective = Duration::from_millis(request.route.latency_objective_ms);
    let wait_until = Instant::now() + objective / WAIT_OBJECTIVE_DIVISOR;
    loop {
        let now = Instant::now();
        let chosen = choose_server_now(context, request, attempts, now);
        let is_closed = chosen.as_ref().is_err_and(|refusal| {
            refusal.reason == RefusalReason::Unavailable(UnavailableReason::Closed)
        });
        if !is_closed || now >= wait_until {
            return chosen;
        }
        Timer::after(CHOICE_POLL_PERIOD).await;
    }
}

/// Returns the server for the next attempt at `now`.
pub fn choose_server_now(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
    now: Instant,
) -> Result<Choice, Refusal> {
    let chosen = context.fleet().choose(request.server_query(&attempts.tried), now);
    match chosen {
        Ok(choice) => {
            check_overload(request, &choice, attempts.possible_runs > 0, now)?;
            Ok(choice)
        }
        Err(Unavailable { reason, retry_at }) => {
            Err(Refusal::with_retry(RefusalReason::Unavailable(reason), retry_at))
        }
    }
}

/// Returns a refusal if the request would wait too long at the chosen server.
fn check_overload(
    request: &RelayedRequest,
    choice: &Choice,
    has_started: bool,
    now: Instant,
) -> Result<(), Refusal> {
    match request.admission(has_started, now).refusal_retry_at(choice.expected_ms, now) {
        None => Ok(()),
        Some(retry_at) => {
            log::info!(
                "event=overloaded request={} server={} expected_ms={:.0} remaining_ms={}",
                request.id,
                choice.server,
                choice.expected_ms,
                request.deadline.saturating_duration_since(now).as_millis()
            );
            Err(Refusal::with_retry(RefusalReason::Overloaded, retry_at))
        }
    }
}

/// Logs to which server a request is sent, and why.
pub fn log_choice(request: &RelayedRequest, choice: &Choice) {
    let prompt = choice.prompt.as_ref();
    let declared = request.head.prompt.as_ref();
    let (runner_up, runner_up_ms) = match &choice.runner_up {
        Some((server, cost_ms)) => (server.as_str(), *cost_ms),
        None => ("none", 0.0),
    };
    log::info!(
        "event=routed request={} route={} server={} zone={} cost_ms={:.0} expected_ms={:.0} runner_up={runner_up} \
         runner_up_ms={runner_up_ms:.0} weights={} rank={} fetches={} saves={} tokens={}/{}/{} age_ms={}",
        request.id,
        request.route.name,
        choice.server,
        choice.availability_zone,
        choice.cost_ms,
        choice.expected_ms,
        prompt.map_or(0, |prompt| prompt.weights),
        prompt.map_or(0, |prompt| prompt.rank),
        prompt.is_some_and(|prompt| prompt.fetch_from.is_some()),
        prompt.is_some_and(|prompt| prompt.save_to.is_some()),
        declared.map_or(0, Prompt::shared_tokens),
        declared.map_or(0, Prompt::unshared_tokens),
        declared.map_or(0, Prompt::expected_output_tokens),
        request.age_ms()
    );
}
