//! Choice of the server for the next attempt of a request.

use super::RelayContext;
use super::attempts::Attempts;
use super::control::RelayControlEvent;
use super::refusal::{Refusal, RefusalReason};
use super::request::RelayedRequest;
use crate::decision::relay::{
    Authorization, BeginVersions, Choice, Prompt, Unavailable, UnavailableReason,
};
use crate::types::ServiceId;
use smol::Timer;
use std::time::{Duration, Instant};

/// Divisor of the latency objective that gives the maximum wait for an available server.
const WAIT_OBJECTIVE_DIVISOR: u32 = 8;

/// Longest wait of a resumed stream for one of the servers that may go on with it.
const MAX_RESUMPTION_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait of a new stream for the record of a software version: some calls to the store.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(400);

/// Time between two attempts to choose a server while all are closed.
const CHOICE_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Server for the next attempt, and what the request was allowed when it was chosen.
#[derive(Clone, Debug)]
pub struct PlannedRun {
    /// The chosen server.
    pub choice: Choice,
    /// Authorization by which it was chosen.
    pub authorization: Authorization,
}

/// Returns the server for the next attempt. Waits a short time if all servers are closed, or take no
/// more requests for that time.
pub async fn choose_server(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
) -> Result<PlannedRun, Refusal> {
    let objective = Duration::from_millis(request.route.latency_objective_ms);
    let max_wait = match attempts.software {
        Some(_) => MAX_RESUMPTION_WAIT,
        None => objective / WAIT_OBJECTIVE_DIVISOR,
    };
    let mut wait_until = Instant::now() + max_wait;
    loop {
        let now = Instant::now();
        let chosen = choose_server_now(context, request, attempts, now);
        if chosen.as_ref().is_err_and(awaits_record) {
            wait_until = wait_until.max(request.arrived_at + MAX_RECORD_WAIT + CHOICE_POLL_PERIOD);
        }
        let is_worth_waiting = chosen.as_ref().is_err_and(|refusal| match refusal.reason {
            RefusalReason::Unavailable(
                UnavailableReason::Closed | UnavailableReason::UnrecordedSoftware,
            ) => true,
            RefusalReason::Unavailable(UnavailableReason::Limited) => {
                refusal.retry_at.is_some_and(|retry_at| retry_at <= wait_until)
            }
            RefusalReason::Unavailable(
                UnavailableReason::Unreachable | UnavailableReason::Paused,
            ) => {
                let is_soon = refusal.retry_at.is_some_and(|retry_at| retry_at <= wait_until);
                attempts.software.is_some() && is_soon
            }
            _ => false,
        });
        if !is_worth_waiting || now >= wait_until {
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
) -> Result<PlannedRun, Refusal> {
    let authorization = request.authorize(context)?;
    let begins_at = begin_versions(context, request, attempts, now);
    let query = request.server_query(attempts, &authorization, begins_at.as_ref());
    let chosen = context.fleet().choose(query, now);
    match chosen {
        Ok(choice) => {
            let has_started = attempts.possible_runs > 0 || attempts.software.is_some();
            check_overload(request, &choice, has_started, now)?;
            Ok(PlannedRun { choice, authorization })
        }
        Err(Unavailable { reason, retry_at }) => {
            if reason == UnavailableReason::UnrecordedSoftware {
                request_record(context, &request.service);
            }
            Err(Refusal::with_retry(RefusalReason::Unavailable(reason), retry_at))
        }
    }
}

/// Returns the software versions at which a stream may begin, `None` if it has begun or is no stream.
fn begin_versions(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
    now: Instant,
) -> Option<BeginVersions> {
    if attempts.software.is_some() || !request.route.retry_safety.is_stream() {
        return None;
    }
    let has_waited = now >= request.arrived_at + MAX_RECORD_WAIT;
    let origins = context.origins();
    Some(origins.recorded_versions().begin_versions(&request.service, has_waited, now))
}

/// Asks the control thread for the record of a version of a service.
fn request_record(context: &RelayContext, service: &ServiceId) {
    if context.origins().recorded_versions_mut().request(service) {
        log::info!("event=version_awaited service={service}");
        context.notify_control(RelayControlEvent::VersionsWanted);
    }
}

/// Whether a request that was refused waits for the record of a version.
fn awaits_record(refusal: &Refusal) -> bool {
    refusal.reason == RefusalReason::Unavailable(UnavailableReason::UnrecordedSoftware)
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
        "event=routed request={} route={} server={} zone={} software={} resumes={} cost_ms={:.0} expected_ms={:.0} runner_up={runner_up} \
         runner_up_ms={runner_up_ms:.0} weights={} rank={} fetches={} saves={} tokens={}/{}/{} age_ms={}",
        request.id,
        request.route.name,
        choice.server,
        choice.availability_zone,
        choice.software,
        request.head.resumes.as_deref().unwrap_or("none"),
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
