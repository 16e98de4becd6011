//! Handling of one request: admission, attempts at servers, and the answer or refusal.

use super::attempt::{self, Answer, AttemptOutcome};
use super::buffered_answer::forward_buffered;
use super::refusal::{Refusal, RefusalReason};
use super::request::{RelayedRequest, receive};
use super::{RelayContext, stream};
use crate::adapters::http_server::Reply;
use crate::decision::relay::{Choice, Unavailable, UnavailableReason};
use crate::decision::relay::{Prompt, Route};
use crate::metrics::labels::ReasonLabels;
use crate::types::{Delivery, PeerError, RequestId, ServerId, Step};
use http::Request;
use hyper::body::Incoming;
use smol::Timer;
use smol_str::SmolStr;
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

/// Attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Servers that were tried, including unreachable ones.
    pub tried: Vec<ServerId>,
    /// Number of attempts in which the server may have run the request.
    pub possible_runs: u32,
}

impl Attempts {
    /// Whether the route allows no attempt after the next one.
    pub fn is_next_last(&self, route: &Route) -> bool {
        self.possible_runs + 1 >= route.max_attempts
    }

    /// Counts an attempt unless the server certainly did not run the request.
    pub fn record(&mut self, outcome: &AttemptOutcome) {
        self.possible_runs += match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => 1,
            AttemptOutcome::NotRun(_) | AttemptOutcome::NotSent(_) => 0,
        };
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
        let is_allowed = self.possible_runs < request.route.max_attempts
            && self.tried.len() < MAX_TRIED_SERVERS
            && now + MIN_ATTEMPT_TIME < request.deadline
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
    context.resend_budget().count_first_attempt(&request.service, Instant::now());
    let mut attempts = Attempts::default();
    loop {
        let choice = choose_server(context, request, &attempts).await?;
        let is_last = attempts.is_next_last(&request.route);
        attempts.tried.push(choice.server.clone());
        let outcome = attempt::send(context, request, &choice, None, is_last).await;
        attempts.record(&outcome);
        let is_retry_allowed = match outcome {
            AttemptOutcome::NotSent(error) if error.delivery == Delivery::NotSent => {
                attempts.tried.len() < MAX_TRIED_SERVERS
            }
            AttemptOutcome::NotSent(_) => false,
            AttemptOutcome::NotRun(reason) => {
                attempts.try_resend(context, request, &reason.to_string())
            }
            AttemptOutcome::Unknown(error) => {
                let is_retryable = request.route.retry_safety.is_retryable();
                if !is_retryable || !attempts.try_resend(context, request, "unknown") {
                    return Err(failure_refusal(request, &error));
                }
                true
            }
            AttemptOutcome::Answered(received) => {
                match forward_answer(context, request, &mut attempts, *received).await? {
                    Some(reply) => return Ok(reply),
                    None => true,
                }
            }
        };
        if !is_retry_allowed {
            return Err(Refusal::with_retry(
                RefusalReason::NotRun,
                Instant::now() + NOT_RUN_RETRY_DELAY,
            ));
        }
    }
}

/// Returns the answer for the caller, `None` if the request must be sent again.
async fn forward_answer(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: &mut Attempts,
    received: Answer,
) -> Result<Option<Reply>, Refusal> {
    let is_failure = received.exchange.status.is_server_error();
    let is_retryable = request.route.retry_safety.is_retryable();
    if is_failure && is_retryable && attempts.try_resend(context, request, "server_error") {
        return Ok(None);
    }
    if received.exchange.status.is_success() && request.route.retry_safety.is_stream() {
        return Ok(Some(stream::forward_stream(context, request, attempts.clone(), received)));
    }
    match forward_buffered(context, request, received).await {
        Ok(reply) => Ok(Some(reply)),
        Err(_) if is_retryable && attempts.try_resend(context, request, "answer_broken") => {
            Ok(None)
        }
        Err(error) => Err(failure_refusal(request, &error)),
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
        let chosen = context.fleet().choose(request.server_query(&attempts.tried), now);
        match chosen {
            Ok(choice) => {
                check_overload(request, &choice, attempts.possible_runs > 0, now)?;
                log_choice(request, &choice);
                return Ok(choice);
            }
            Err(Unavailable { reason, retry_at }) => {
                let may_wait = reason == UnavailableReason::Closed && now < wait_until;
                if !may_wait {
                    let reason = RefusalReason::Unavailable(reason);
                    return Err(Refusal::with_retry(reason, retry_at));
                }
                Timer::after(CHOICE_POLL_PERIOD).await;
            }
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

fn log_choice(request: &RelayedRequest, choice: &Choice) {
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
