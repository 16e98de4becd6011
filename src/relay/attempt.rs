//! One attempt of a request: sends it to a server and receives the head of the answer.

use super::RelayContext;
use super::answer::{Answer, AttemptOutcome, ReceivedHead};
use super::answer_head::{
    find_answer_fault, find_late_answer, heed_server, is_misdirected, learn_prefill_rate,
    record_not_run, update_weights,
};
use super::buffered_answer;
use super::control::RelayControlEvent;
use super::in_flight::{CutStage, InFlightAttempt, request_crash_check};
use super::outdated_weights::work_deadline;
use super::peers::reach;
use super::process_check::check_process;
use super::request::RelayedRequest;
use super::server_choice::PlannedRun;
use crate::decision::relay::Choice;
use crate::decision::relay::server::Server;
use crate::metrics::labels::ReasonLabels;
use crate::ports::ForwardHead;
use crate::types::{Delivery, Incarnation, PeerError, RequestId, ServiceId, Step};
use anyhow::anyhow;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use smol_str::{SmolStr, format_smolstr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sends `request` to the chosen server and waits for the head of its answer.
pub async fn send(
    context: &Arc<RelayContext>,
    request: &RelayedRequest,
    run: &PlannedRun,
    last_event_id: Option<SmolStr>,
) -> ReceivedHead {
    let choice = &run.choice;
    let is_doubted = match check_process(context, request, choice, last_event_id.is_some()).await {
        Ok(is_doubted) => is_doubted,
        Err(error) => {
            log::info!("event=process_unknown request={} {error}", request.id);
            return ReceivedHead::None(AttemptOutcome::NotSent(error));
        }
    };
    if !request.authorize(context).is_ok_and(|current| run.authorization.covers(&current)) {
        let error = anyhow!("the authorization has changed");
        log::info!("event=run_unauthorized request={} server={}", request.id, choice.server);
        let error = PeerError::new(Step::Send, choice.server.clone(), Delivery::NotSent, error);
        return ReceivedHead::None(AttemptOutcome::NotSent(error));
    }
    let sent_at = Instant::now();
    let incarnation = context.fleet().server(&choice.server).map_or(0, Server::incarnation);
    if !try_take_permits(context, request, choice, incarnation, sent_at) {
        return ReceivedHead::None(AttemptOutcome::NotSent(limit_reached(request, choice)));
    }
    let mut in_flight = InFlightAttempt::new(Arc::clone(context), request, choice, is_doubted);
    let deadline = work_deadline(request, in_flight.begins_by());
    let remaining = deadline.saturating_duration_since(sent_at);
    let outgoing = outgoing_request(context, request, run, last_event_id, remaining);
    let sent = context.pool.send(&choice.server, choice.address, outgoing, request.deadline);
    let exchange = match sent.await {
        Ok(exchange) => exchange,
        Err(error) => {
            if error.delivery == Delivery::NotSent {
                let mut fleet = context.fleet();
                fleet.limits.give_back(&choice.server, incarnation, Instant::now());
                fleet.brittle.settle(&choice.server);
            }
            return ReceivedHead::None(handle_failure(context, request, choice, &in_flight, error));
        }
    };
    in_flight.record_contact();
    if exchange.is_new_connection {
        reach::record_opened(context, &request.service);
    }
    let head = context.ports.dialect.read_answer(exchange.status, &exchange.headers);
    if let Some(error) = find_late_answer(request, choice, &head, exchange.is_new_connection) {
        log::warn!("event=late_answer request={} {error}", request.id);
        in_flight.record_outcome(false, 0.0);
        return ReceivedHead::None(AttemptOutcome::Unknown(error));
    }
    update_weights(context, request, choice, &head);
    if !is_misdirected(choice, &head) {
        heed_server(context, request, choice, incarnation, &head, sent_at);
    }
    if head.is_not_run {
        let reason = record_not_run(context, request, choice, exchange.status, &head);
        log::info!(
            "event=not_run request={} server={} status={} reason={reason} has_id={} weights={} \
             believed={}",
            request.id,
            choice.server,
            exchange.status.as_u16(),
            head.request_id.is_some(),
            head.weights.unwrap_or_default(),
            choice.prompt.as_ref().map_or(0, |prompt| prompt.weights)
        );
        return ReceivedHead::None(AttemptOutcome::NotRun(reason));
    }
    let answer_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let succeeded = !exchange.status.is_server_error();
    if succeeded {
        learn_prefill_rate(context, request, choice, answer_ms);
    }
    in_flight.record_outcome(succeeded, answer_ms - choice.expected_ms);
    if let Some(error) = find_answer_fault(request, choice, exchange.status, &head) {
        in_flight.record_outcome(false, 0.0);
        return ReceivedHead::None(AttemptOutcome::Unknown(error));
    }
    if succeeded
        && let Some(prompt) = choice.prompt.as_ref().filter(|prompt| prompt.save_to.is_some())
    {
        context.fleet().prefixes.add_stored(&prompt.keys, Instant::now());
        context.notify_control(RelayControlEvent::PrefixesStored);
    }
    ReceivedHead::Answer(Box::new(Answer::new(exchange, head, in_flight)))
}

/// Takes the permits to send a request to a server that names a limit or is brittle; returns whether
/// there were any.
fn try_take_permits(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    incarnation: Incarnation,
    now: Instant,
) -> bool {
    let mut fleet = context.fleet();
    let in_flight = fleet.server(&choice.server).map_or(0, |server| server.local_load.requests);
    let (service, server) = (&request.service, &choice.server);
    fleet.brittle.next_permit_at(service, server, in_flight, now).is_none()
        && fleet.limits.try_take(server, incarnation, now)
        && fleet.brittle.try_take(service, server, in_flight, now)
}

/// Receives the rest of an answer unless it is a stream.
pub async fn receive(
    context: &RelayContext,
    request: &RelayedRequest,
    received: ReceivedHead,
) -> AttemptOutcome {
    let answer = match received {
        ReceivedHead::Answer(answer) => answer,
        ReceivedHead::None(outcome) => return outcome,
    };
    if answer.exchange.status.is_success() && request.route.retry_safety.is_stream() {
        return AttemptOutcome::Streaming(answer);
    }
    match buffered_answer::read(context, request, *answer).await {
        Ok(answer) => AttemptOutcome::Answered(Box::new(answer)),
        Err(error) => AttemptOutcome::Unknown(error),
    }
}

fn outgoing_request(
    context: &RelayContext,
    request: &RelayedRequest,
    run: &PlannedRun,
    last_event_id: Option<SmolStr>,
    remaining: Duration,
) -> Request<Full<Bytes>> {
    let PlannedRun { choice, authorization } = run;
    let prompt = choice.prompt.as_ref();
    let is_for_model = prompt.is_some() || may_have_model(context, &request.service);
    let cache_salt = match prompt {
        Some(prompt) => Some(prompt.cache_salt.clone()),
        None => is_for_model.then(|| unshared_salt(&request.id)),
    };
    let head = ForwardHead {
        server: choice.server.clone(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1),
        workspace: authorization.workspace_name().cloned(),
        strips_api_key: authorization.strips_api_key,
        priority: is_for_model.then(|| request.priority(authorization)),
        weights: prompt.map(|prompt| prompt.weights),
        cache_salt,
        fetch_from: prompt.and_then(|prompt| prompt.fetch_from),
        save_to: prompt.and_then(|prompt| prompt.save_to),
        last_event_id,
    };
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    context.ports.dialect.write_request(outgoing.headers_mut(), &head);
    outgoing
}

/// Whether a service may have a model, and keep the parts of prompts: any that is not known to have none.
fn may_have_model(context: &RelayContext, service: &ServiceId) -> bool {
    let configuration = context.configuration.load();
    let service =
        configuration.as_ref().and_then(|configuration| configuration.services.get(service));
    service.is_none_or(|service| service.engine.is_some())
}

/// Returns the salt of a request whose prompt could not be read. It shares no cache: which workspaces and
/// weights it would share it with is not known.
fn unshared_salt(request: &RequestId) -> SmolStr {
    format_smolstr!("request/{request}")
}

/// Returns the error of an attempt whose server took its last request for now since it was chosen.
fn limit_reached(request: &RelayedRequest, choice: &Choice) -> PeerError {
    log::info!("event=limit_reached request={} server={}", request.id, choice.server);
    let error = anyhow!("the server takes no more requests for now");
    PeerError::new(Step::Send, choice.server.clone(), Delivery::NotSent, error)
}

/// Records a failed attempt and returns its outcome.
fn handle_failure(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    in_flight: &InFlightAttempt,
    error: PeerError,
) -> AttemptOutcome {
    let labels = ReasonLabels { reason: error.step.to_string() };
    context.metrics.server_failures.get_or_create(&labels).inc();
    log::info!(
        "event=attempt_failed request={} route={} {in_flight} parts={} {error}",
        request.id,
        request.route.name,
        request.part_ids()
    );
    if error.delivery == Delivery::NotSent {
        if error.step == Step::Connect {
            suspend_server(context, choice);
            reach::record_unreachable(context, &request.service, &choice.server);
        }
        return AttemptOutcome::NotSent(error);
    }
    in_flight.record_outcome(false, 0.0);
    if error.is_disconnect() {
        request_crash_check(request, in_flight, CutStage::Head);
    }
    AttemptOutcome::Unknown(error)
}

/// Closes the connections to a server and sends it no requests for a while.
pub fn suspend_server(context: &RelayContext, choice: &Choice) {
    context.pool.close_idle_connections(&choice.server);
    let now = Instant::now();
    let Some(until) = context.fleet().server_mut(&choice.server).map(|server| {
        server.doubt_process(now);
        server.health.record_unreachable(now)
    }) else {
        return;
    };
    let for_ms = until.saturating_duration_since(now).as_millis();
    log::info!("event=server_suspended server={} for_ms={for_ms}", choice.server);
}
