//! What the head of an answer tells about its server.

use super::RelayContext;
use super::answer::NotRunReason;
use super::attempt::suspend_server;
use super::control::{RelayControlEvent, log_brittle, log_limit};
use super::request::RelayedRequest;
use crate::decision::leaving::LeavingNotice;
use crate::decision::relay::pause::Pause;
use crate::decision::relay::{Choice, NamedLimit};
use crate::ports::AnswerHead;
use crate::types::{Delivery, Incarnation, PeerError, ServerId, Step};
use anyhow::anyhow;
use http::StatusCode;
use std::time::{Duration, Instant};

/// Time for which a server that rejected a request as full gets no new ones.
const FULL_PERIOD: Duration = Duration::from_millis(120);

/// Records the weights that the answer reports, if they are not the expected ones.
pub fn update_weights(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    head: &AnswerHead,
) {
    let Some(model) = request.head.prompt.as_ref().map(|prompt| &prompt.model) else { return };
    let Some(revision) = head.weights.filter(|_| !is_misdirected(choice, head)) else { return };
    let expected = choice.prompt.as_ref().map(|prompt| prompt.weights);
    if expected != Some(revision) {
        log::info!(
            "event=weights_learned server={} revision={revision} believed={}",
            choice.server,
            expected.unwrap_or_default()
        );
        context.fleet().set_weights(&choice.server, model, revision);
    }
}

/// Learns the prefill rate of the service from when an answer began.
pub fn learn_prefill_rate(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    answer_ms: f64,
) {
    let Some(prompt) = &choice.prompt else { return };
    let changed = context.fleet().learn_prefill_rate(&request.service, prompt, answer_ms);
    if let Some(tokens_per_ms) = changed {
        log::info!(
            "event=prefill_rate_learned service={} tokens_per_ms={tokens_per_ms:.0} request={}",
            request.service,
            request.id
        );
    }
}

/// Records that the server is leaving, wants a pause or has a limit, if its answer says so to a
/// request that was sent at `sent_at`.
pub fn heed_server(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    incarnation: Incarnation,
    head: &AnswerHead,
    sent_at: Instant,
) {
    let server = &choice.server;
    heed_limit(context, request, server, incarnation, head, sent_at);
    heed_brittleness(context, request, server, head, sent_at);
    if head.is_leaving {
        let notice = LeavingNotice { server: server.clone(), incarnation };
        if context.fleet().departures.add(&notice) {
            log::info!("event=server_leaving server={server} source=answer request={}", request.id);
            context.notify_control(RelayControlEvent::ServersLeaving(vec![notice]));
        }
    }
    if let Some(pause) = head.pause_ms.map(|pause_ms| Pause::new(pause_ms, fastrand::f64())) {
        let now = Instant::now();
        if let Some(server) = context.fleet().server_mut(server)
            && server.incarnation() == incarnation
        {
            server.pause_until(pause.end(now));
        }
        log::info!(
            "event=server_paused server={server} for_ms={} asked_ms={} request={}",
            pause.end(now).saturating_duration_since(now).as_millis(),
            head.pause_ms.unwrap_or_default(),
            request.id
        );
    }
}

/// Records the limit that the answer names, or the end of one. Only an answer that the server itself
/// has signed ends a limit.
fn heed_limit(
    context: &RelayContext,
    request: &RelayedRequest,
    server: &ServerId,
    incarnation: Incarnation,
    head: &AnswerHead,
    sent_at: Instant,
) {
    let rate = match head.limit {
        NamedLimit::Rate(rate) => Some(rate),
        NamedLimit::None if head.is_signed => None,
        NamedLimit::None | NamedLimit::Unreadable => return,
    };
    let now = Instant::now();
    let learned = context.fleet().limits.learn(server, incarnation, rate, sent_at, now);
    if let Some(announcement) = learned {
        log_limit(&announcement, request.id.as_str());
        context.notify_control(RelayControlEvent::LimitLearned(announcement));
    }
}

/// Records that the servers of the service are brittle, or no longer. Only an answer that a server has
/// signed ends it.
fn heed_brittleness(
    context: &RelayContext,
    request: &RelayedRequest,
    server: &ServerId,
    head: &AnswerHead,
    sent_at: Instant,
) {
    let now = Instant::now();
    let mut fleet = context.fleet();
    if !head.is_not_run {
        fleet.brittle.settle(server);
    }
    if head.brittle.is_none() && !head.is_signed {
        return;
    }
    let learned = fleet.brittle.learn(&request.service, head.brittle, sent_at, now);
    drop(fleet);
    if let Some(notice) = learned {
        log_brittle(&notice, request.id.as_str());
        context.notify_control(RelayControlEvent::BrittleLearned(notice));
    }
}

/// Whether another server listens at the address.
pub fn is_misdirected(choice: &Choice, head: &AnswerHead) -> bool {
    head.server.as_ref().is_some_and(|server| *server != choice.server)
}

/// Records why the server did not run the request, so that the next choice avoids it.
pub fn record_not_run(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    status: StatusCode,
    head: &AnswerHead,
) -> NotRunReason {
    let now = Instant::now();
    if is_misdirected(choice, head) {
        suspend_server(context, choice);
        return NotRunReason::Misdirected;
    }
    if let Some(prompt) = &choice.prompt
        && status == StatusCode::MISDIRECTED_REQUEST
    {
        if head.weights.is_none() {
            let model = request.head.prompt.as_ref().map(|prompt| prompt.model.clone());
            model.iter().for_each(|model| {
                context.fleet().record_weights_mismatch(&choice.server, model, prompt.weights);
            });
        }
        return NotRunReason::OtherWeights;
    }
    let mut fleet = context.fleet();
    let in_flight = fleet.server(&choice.server).map_or(0, |server| server.local_load.requests);
    let others = in_flight.saturating_sub(1);
    fleet.brittle.record_rejection(&request.service, &choice.server, others, now);
    if let Some(server) = fleet.server_mut(&choice.server) {
        server.set_full_until(now + FULL_PERIOD);
    }
    NotRunReason::Full
}

/// Returns an error if the answer names another request, or if it promises that one has not run and
/// names none, on a connection that carried others: a second answer of the server to what was sent
/// before. What it promises does not hold for this request, which may be running.
pub fn find_late_answer(
    request: &RelayedRequest,
    choice: &Choice,
    head: &AnswerHead,
    is_new_connection: bool,
) -> Option<PeerError> {
    let error = match &head.request_id {
        Some(id) if *id == request.id => return None,
        Some(other) => anyhow!("the answer belongs to request {other}"),
        None if head.is_not_run && !is_new_connection => anyhow!("the refusal names no request"),
        None => return None,
    };
    Some(PeerError::new(Step::Decode, choice.server.clone(), Delivery::Unknown, error))
}

/// Returns an error if the answer cannot be the answer of a server that ran this request.
pub fn find_answer_fault(
    request: &RelayedRequest,
    choice: &Choice,
    status: StatusCode,
    head: &AnswerHead,
) -> Option<PeerError> {
    let fault = find_signature_fault(request, status, head)?;
    let error = anyhow!("{fault} (status {status})");
    Some(PeerError::new(Step::Decode, choice.server.clone(), Delivery::Unknown, error))
}

/// Returns why the answer cannot be that of a server that ran this request, `None` if it can.
pub fn find_signature_fault(
    request: &RelayedRequest,
    status: StatusCode,
    head: &AnswerHead,
) -> Option<&'static str> {
    let promises_no_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if head.request_id.as_ref() != Some(&request.id) {
        Some("the answer belongs to another request")
    } else if status.is_success() && !head.is_signed {
        Some("the answer is not signed")
    } else if head.has_content_encoding {
        Some("the answer is encoded")
    } else if promises_no_run || status.is_informational() {
        Some("the status contradicts that the request was run")
    } else {
        None
    }
}
