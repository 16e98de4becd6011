//! Sends requests by way of other nodes while this one has lost the servers of their service.

use super::message::{self, ANSWERED, FORWARD_PATH, OUTCOME, REFUSED, SERVER, SOFTWARE};
use crate::adapters::connection_pool::PooledExchange;
use crate::decision::relay::{Authorization, PeerNode};
use crate::relay::RelayContext;
use crate::relay::answer::{Answer, AttemptOutcome, NotRunReason, ReceivedHead};
use crate::relay::answer_head::find_signature_fault;
use crate::relay::attempts::Attempts;
use crate::relay::in_flight::InFlightAttempt;
use crate::relay::request::RelayedRequest;
use crate::types::{Delivery, PeerError, ServerId, SoftwareVersion, Step};
use anyhow::anyhow;
use http::{HeaderMap, HeaderName, Request, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Instant;

/// Returns the node by way of which the request is sent, `None` if it is sent directly or no node
/// reaches its service. It has found `failed` servers unreachable.
pub fn choose_gateway(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
    failed: usize,
) -> Option<PeerNode> {
    let now = Instant::now();
    let draw = fastrand::f64();
    if context.reach().is_direct(&request.service, failed, draw, now) {
        return None;
    }
    find_gateway(context, request, attempts)
}

/// Returns a node that reaches the service of the request, `None` if none is known or another node
/// sent the request.
pub fn find_gateway(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
) -> Option<PeerNode> {
    if request.is_forwarded() {
        return None;
    }
    context.gateways().choose(&request.service, &attempts.tried, Instant::now())
}

/// Logs by way of which node a request is sent.
pub fn log_forwarding(request: &RelayedRequest, node: &PeerNode) {
    log::info!(
        "event=forwarded request={} route={} node={} zone={} age_ms={}",
        request.id,
        request.route.name,
        node.instance,
        node.availability_zone,
        request.age_ms()
    );
}

/// What has arrived of an answer by way of another node.
pub struct ForwardedAnswer {
    /// The head of the answer, or the outcome of the attempt.
    pub received: ReceivedHead,
    /// Server that the node last sent the request to, `None` if it has told none.
    pub server: Option<ServerId>,
}

impl From<AttemptOutcome> for ForwardedAnswer {
    fn from(outcome: AttemptOutcome) -> Self {
        Self { received: ReceivedHead::None(outcome), server: None }
    }
}

/// Sends the request to another node, which spends one run on it, and waits for the head of the
/// answer.
pub async fn send(
    context: &Arc<RelayContext>,
    request: &RelayedRequest,
    authorization: &Authorization,
    node: &PeerNode,
    attempts: &Attempts,
    last_event_id: Option<SmolStr>,
) -> ForwardedAnswer {
    // The message holds the body once more until the node has it.
    let mut room = context.caller_memory.open();
    if let Err(error) = room.resize(request.body.len(), request.deadline).await {
        let peer = node.instance.clone();
        let error = PeerError::new(Step::Connect, peer, Delivery::NotSent, error);
        return ForwardedAnswer::from(AttemptOutcome::NotSent(error));
    }
    room.complete();
    let sent_at = Instant::now();
    let body = message::encode(
        request,
        authorization,
        attempts,
        &context.identity.record.instance,
        last_event_id,
        sent_at,
    );
    let mut outgoing = Request::new(Full::new(body));
    *outgoing.method_mut() = http::Method::POST;
    *outgoing.uri_mut() = http::Uri::from_static(FORWARD_PATH);
    let _in_flight = ForwardedAttempt::begin(context, node);
    let sent =
        context.peer_pool.send(&node.instance, node.address, outgoing, request.deadline).await;
    let mut exchange = match sent {
        Ok(exchange) => exchange,
        Err(error) => {
            log::info!(
                "event=forward_failed request={} node={} {error}",
                request.id,
                node.instance
            );
            context.gateways().record_failure(&node.instance, Instant::now());
            let is_sent = error.delivery != Delivery::NotSent;
            return ForwardedAnswer::from(match is_sent {
                true => AttemptOutcome::Unknown(error),
                false => AttemptOutcome::NotSent(error),
            });
        }
    };
    let server = take_text(&mut exchange.headers, &SERVER);
    let received = match read_outcome(&mut exchange) {
        Some(Outcome::Answered(software)) => {
            let head = context.ports.dialect.read_answer(exchange.status, &exchange.headers);
            if let Some(fault) = find_signature_fault(request, exchange.status, &head) {
                decode_failure(request, node, anyhow!("{fault} (status {})", exchange.status))
            } else {
                let server = server.clone();
                let in_flight =
                    InFlightAttempt::by_node(Arc::clone(context), node, server, software);
                ReceivedHead::Answer(Box::new(Answer::new(exchange, head, in_flight)))
            }
        }
        Some(Outcome::Refused) => {
            log::info!(
                "event=forward_refused request={} node={} status={}",
                request.id,
                node.instance,
                exchange.status.as_u16()
            );
            let head = context.ports.dialect.read_answer(exchange.status, &exchange.headers);
            let is_of_request = head.request_id.as_ref() == Some(&request.id);
            let is_not_run = is_of_request && exchange.status == StatusCode::SERVICE_UNAVAILABLE;
            let peer = node.instance.clone();
            ReceivedHead::None(match is_not_run {
                true => AttemptOutcome::NotRun(NotRunReason::NodeRefused),
                false => {
                    let error = anyhow!("the node refused with {}", exchange.status);
                    let error = PeerError::new(Step::Refused, peer, Delivery::Unknown, error);
                    AttemptOutcome::Unknown(error)
                }
            })
        }
        None => decode_failure(request, node, anyhow!("the answer lacks its outcome")),
    };
    ForwardedAnswer { received, server }
}

enum Outcome {
    /// A server of this software version has answered.
    Answered(SoftwareVersion),
    /// The node has refused the request.
    Refused,
}

/// Takes the outcome out of the headers of an answer.
fn read_outcome(exchange: &mut PooledExchange) -> Option<Outcome> {
    let headers: &mut HeaderMap = &mut exchange.headers;
    let outcome = headers.remove(OUTCOME)?;
    let software = take_text(headers, &SOFTWARE).unwrap_or_default();
    if outcome == REFUSED {
        return Some(Outcome::Refused);
    }
    (outcome == ANSWERED).then_some(Outcome::Answered(software))
}

fn take_text(headers: &mut HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    let value = headers.remove(name)?;
    value.to_str().ok().map(SmolStr::new)
}

fn decode_failure(request: &RelayedRequest, node: &PeerNode, error: anyhow::Error) -> ReceivedHead {
    let error = PeerError::new(Step::Decode, node.instance.clone(), Delivery::Unknown, error);
    log::info!("event=forward_failed request={} node={} {error}", request.id, node.instance);
    ReceivedHead::None(AttemptOutcome::Unknown(error))
}

/// Request that another node sends on, until its head has arrived.
struct ForwardedAttempt<'a> {
    context: &'a RelayContext,
    node: &'a PeerNode,
}

impl<'a> ForwardedAttempt<'a> {
    fn begin(context: &'a RelayContext, node: &'a PeerNode) -> Self {
        context.gateways().begin_request(&node.instance);
        Self { context, node }
    }
}

impl Drop for ForwardedAttempt<'_> {
    fn drop(&mut self) {
        self.context.gateways().end_request(&self.node.instance);
    }
}
