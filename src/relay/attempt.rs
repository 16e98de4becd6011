//! One attempt of a request: sends it to a server and receives the head of the answer.

use super::RelayContext;
use super::answer_head::{
    find_answer_fault, find_late_answer, heed_server, is_misdirected, learn_prefill_rate,
    record_not_run, update_weights,
};
use super::buffered_answer::{self, BufferedAnswer};
use super::control::RelayControlEvent;
use super::end_proof::{EndProof, prove_end};
use super::in_flight::{CutStage, InFlightAttempt, begins_by, choice_weights, request_crash_check};
use super::peers::reach;
use super::request::RelayedRequest;
use super::server_choice::PlannedRun;
use crate::adapters::connection_pool::PooledExchange;
use crate::decision::relay::server::Server;
use crate::decision::relay::{Choice, RetrySafety};
use crate::metrics::labels::ReasonLabels;
use crate::ports::{AnswerHead, ForwardHead};
use crate::types::{Delivery, Incarnation, PeerError, PeerResult, ServerId, Step};
use anyhow::anyhow;
use bytes::{Bytes, BytesMut};
use futures_lite::future::pending;
use http::Request;
use http_body_util::Full;
use smol::Timer;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::Display;

/// Period at which an attempt checks whether newer weights were announced.
const OUTDATED_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time by which a request may reach its server later than the withdrawal allows for: a connection is opened
/// after the server's deadline was worked out.
const CONNECTION_OPEN_TIME: Duration = Duration::from_millis(200);

/// Time in which a server must tell which process it is.
pub const PROCESS_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The server began a stream.
    Streaming(Box<Answer>),
    /// The server answered completely, possibly with a failure.
    Answered(Box<BufferedAnswer>),
    /// The server did not run the request and never will.
    NotRun(NotRunReason),
    /// The request did not reach the server.
    NotSent(PeerError),
    /// The server may have run the request.
    Unknown(PeerError),
}

/// Why a server did not run a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// The server was full or was replacing its weights.
    Full,
    /// Another server listens at the address.
    Misdirected,
    /// The server has loaded other weights.
    OtherWeights,
    /// Another node, by way of which the request was sent, has refused it.
    NodeRefused,
}

/// What has arrived of an answer.
pub enum ReceivedHead {
    /// Its head.
    Answer(Box<Answer>),
    /// Nothing; the attempt has ended.
    None(AttemptOutcome),
}

/// Answer whose head has arrived.
pub struct Answer {
    /// Exchange from which the body can be read.
    pub exchange: PooledExchange,
    /// Head of the answer, as read by the dialect.
    pub head: AnswerHead,
    /// The attempt, which counts towards the load of the server.
    pub in_flight: InFlightAttempt,
    end_proof: Option<EndProof>,
}

impl Answer {
    /// Returns an answer whose head has arrived.
    pub fn new(exchange: PooledExchange, head: AnswerHead, in_flight: InFlightAttempt) -> Self {
        Self { exchange, head, in_flight, end_proof: None }
    }

    /// Returns the next data of the body, `None` at its end. A body that ends with its connection is
    /// complete only if its server has outlived it: the connections of a process that is killed end in
    /// the same way.
    ///
    /// # Errors
    ///
    /// The connection was lost, the server was, or the deadline passed.
    pub async fn next_data(&mut self, deadline: Instant) -> PeerResult<Option<Bytes>> {
        if self.end_proof.is_none() {
            let data = self.exchange.next_data(deadline).await?;
            if data.is_some() || self.exchange.framing.proves_completeness() {
                return Ok(data);
            }
        }
        let in_flight = &self.in_flight;
        let proof = self.end_proof.get_or_insert_with(|| prove_end(in_flight, deadline));
        let proved = proof.await;
        self.end_proof = None;
        proved.map(|()| None)
    }

    /// Reads the whole body, at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// As [`next_data`](Self::next_data), or the body is too long.
    pub async fn read_all(&mut self, max_bytes: usize, deadline: Instant) -> PeerResult<Bytes> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next_data(deadline).await? {
            if body.len() + data.len() > max_bytes {
                let error = anyhow!("body exceeds {max_bytes} bytes");
                let server = self.in_flight.server.clone();
                return Err(PeerError::new(Step::ReadBody, server, Delivery::Unknown, error));
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }
}

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
    let outgoing = outgoing_request(context, request, run, last_event_id, sent_at);
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

/// Returns whether another process than that of its entry may answer for the chosen server. The process
/// is asked before a stream goes on there. A stream that begins there after a sign that the process may
/// have ended is not delayed; the process is asked beside it.
///
/// # Errors
///
/// A stream cannot go on there: the process does not answer, or is another one.
async fn check_process(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    goes_on: bool,
) -> PeerResult<bool> {
    if request.route.retry_safety != RetrySafety::ResumableStream {
        return Ok(false);
    }
    let now = Instant::now();
    let unusable =
        |error| PeerError::new(Step::Send, choice.server.clone(), Delivery::NotSent, error);
    let Some(process) = entry_process(context, choice, now) else {
        return Err(unusable(anyhow!("the server's entry has changed")));
    };
    let Some(expected) = process.incarnation else { return Ok(false) };
    if goes_on || request.is_resumption() {
        let deadline = request.deadline.min(now + PROCESS_CHECK_TIMEOUT);
        return match ask_process(context, &choice.server, choice.address, deadline).await {
            Ok(Some(found)) if found != expected => {
                Err(unusable(anyhow!("the server started again: {found} instead of {expected}")))
            }
            Ok(_) => Ok(false),
            Err(error) => {
                suspend_server(context, choice);
                Err(unusable(error.into()))
            }
        };
    }
    if process.must_ask {
        let (server, address) = (choice.server.clone(), choice.address);
        context.notify_control(RelayControlEvent::ProcessDoubted { server, address });
    }
    Ok(process.is_doubted)
}

/// Process of a server by its entry.
struct EntryProcess {
    incarnation: Option<Incarnation>,
    /// Whether it may have ended.
    is_doubted: bool,
    /// Whether it is to be asked now.
    must_ask: bool,
}

/// Returns the process of the chosen server, `None` if its entry has changed since.
fn entry_process(context: &RelayContext, choice: &Choice, now: Instant) -> Option<EntryProcess> {
    let mut fleet = context.fleet();
    let server = fleet.server_mut(&choice.server)?;
    (server.entry.software == choice.software).then(|| EntryProcess {
        incarnation: server.entry.started_unix_ms,
        is_doubted: server.is_process_doubted(),
        must_ask: server.take_process_check(now),
    })
}

/// Asks the process of a server for its start, and records it.
///
/// # Errors
///
/// The process does not answer.
pub async fn ask_process(
    context: &RelayContext,
    server: &ServerId,
    address: SocketAddr,
    deadline: Instant,
) -> PeerResult<Option<Incarnation>> {
    let found = context.ports.engines.incarnation(server, address, deadline).await?;
    if let Some(known) = context.fleet().server_mut(server) {
        let expected = known.incarnation();
        let found = found.unwrap_or(expected);
        known.confirm_process(found, Instant::now());
        if found != expected {
            log::info!("event=process_replaced server={server} expected={expected} found={found}");
        }
    }
    Ok(found)
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

/// Waits until the weights of the chosen server have been outdated for so long that no request may begin
/// on them; never returns while they are current.
pub async fn await_outdated(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
) -> ReceivedHead {
    let Some(weights) = choice_weights(context, request, choice) else { return pending().await };
    loop {
        let now = Instant::now();
        match begins_by(context, &weights) {
            Some(begins_by) if now >= begins_by => break,
            Some(begins_by) => Timer::at(begins_by).await,
            None => Timer::after(OUTDATED_CHECK_PERIOD).await,
        };
    }
    let error = outdated(&choice.server);
    log::info!("event=attempt_outdated request={} weights={} {error}", request.id, weights.1);
    ReceivedHead::None(AttemptOutcome::Unknown(error))
}

/// Returns until when the server may work on a run. One that may not begin later, since the weights are
/// outdated, is told so: not every server notices that a waiting request was withdrawn.
fn run_deadline(context: &RelayContext, request: &RelayedRequest, choice: &Choice) -> Instant {
    let weights = choice_weights(context, request, choice);
    let begins_by = weights.and_then(|weights| begins_by(context, &weights));
    let begins_by = begins_by.and_then(|begins_by| begins_by.checked_sub(CONNECTION_OPEN_TIME));
    begins_by.map_or(request.deadline, |begins_by| begins_by.min(request.deadline))
}

/// Returns the error of an attempt that has not begun on weights before these were outdated for too long.
pub fn outdated(server: &ServerId) -> PeerError {
    let error = anyhow!("the request has not begun, and the weights are outdated");
    PeerError::new(Step::Refused, server.clone(), Delivery::Unknown, error)
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
    now: Instant,
) -> Request<Full<Bytes>> {
    let PlannedRun { choice, authorization } = run;
    let remaining = run_deadline(context, request, choice).saturating_duration_since(now);
    let prompt = choice.prompt.as_ref();
    let head = ForwardHead {
        server: choice.server.clone(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1),
        workspace: authorization.workspace_name().cloned(),
        strips_api_key: authorization.strips_api_key,
        priority: prompt.map(|_| request.priority(authorization)),
        weights: prompt.map(|prompt| prompt.weights),
        cache_salt: prompt.map(|prompt| prompt.cache_salt.clone()),
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
