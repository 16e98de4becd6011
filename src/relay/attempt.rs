//! One attempt of a request: sends it to a server and receives the head of the answer.

use super::RelayContext;
use super::buffered_answer::{self, BufferedAnswer};
use super::control::{CutExchange, RelayControlEvent};
use super::request::RelayedRequest;
use super::suspects::KeyList;
use crate::adapters::connection_pool::PooledExchange;
use crate::decision::leaving::LeavingNotice;
use crate::decision::poison::RankedKey;
use crate::decision::relay::pause::Pause;
use crate::decision::relay::server::{PendingPrefill, Server, ServerLoad};
use crate::decision::relay::{Choice, Prompt};
use crate::metrics::labels::ReasonLabels;
use crate::ports::{AnswerHead, ForwardHead};
use crate::types::{Delivery, Incarnation, PeerError, ServerId, Step};
use anyhow::anyhow;
use http::{Request, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use strum::Display;

/// Time for which a server that rejected a request as full gets no new ones.
const FULL_PERIOD: Duration = Duration::from_millis(120);

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
}

/// What has arrived of an answer.
pub enum Received {
    /// Its head.
    Answer(Box<Answer>),
    /// Nothing; the attempt has ended.
    Nothing(AttemptOutcome),
}

/// Answer whose head has arrived.
pub struct Answer {
    /// Exchange from which the body can be read.
    pub exchange: PooledExchange,
    /// Head of the answer, as read by the dialect.
    pub head: AnswerHead,
    /// The attempt, which counts towards the load of the server.
    pub in_flight: InFlightAttempt,
}

/// How far an answer had come when its exchange was cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutStage {
    /// Its head had not arrived.
    Head,
    /// A buffered body had not arrived completely.
    Body,
    /// A stream had not ended.
    Stream,
    /// The answer ended with its connection, which a crash may have ended as well.
    End,
}

/// Attempt that counts towards the load of its server until dropped.
pub struct InFlightAttempt {
    context: Arc<RelayContext>,
    /// Server that the request was sent to.
    pub server: ServerId,
    /// Number of the attempt.
    attempt: u64,
    load: ServerLoad,
    /// Whether the prompt has been prefilled.
    is_prefilled: bool,
    sent_at: Instant,
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    /// Keys of the request with the crashes that were known when it was sent.
    suspect_keys: Vec<RankedKey>,
}

impl InFlightAttempt {
    fn new(context: Arc<RelayContext>, request: &RelayedRequest, choice: &Choice) -> Self {
        let attempt = context.next_number.fetch_add(1, Ordering::Relaxed);
        let (server, load) = (choice.server.clone(), choice.load);
        let now = Instant::now();
        let suspect_keys = context.crash_evidence().ranked(request.suspect_keys.all(), now);
        let mut fleet = context.fleet();
        let incarnation = fleet.server(&server).and_then(|server| server.entry.started_unix_ms);
        fleet.begin_request(&server, attempt, load, now);
        if let Some(prompt) = request.head.prompt.as_ref().filter(|prompt| prompt.is_decode_heavy())
        {
            fleet.decode_rate.add(prompt.expected_output_tokens(), now);
        }
        if let Some(prompt) = &choice.prompt {
            let is_announced = request.head.prompt.as_ref().is_some_and(Prompt::is_worth_storing);
            fleet.prefixes.add_cached(&prompt.keys, &server, is_announced, now);
            if prompt.save_to.is_some() {
                fleet.prefixes.mark_saving(&prompt.keys, now);
            }
            if let Some(store) = &mut fleet.kv_store {
                store.take(prompt.fetch_s, prompt.save_s, now);
            }
        }
        drop(fleet);
        Self {
            context,
            server,
            attempt,
            load,
            is_prefilled: false,
            sent_at: now,
            address: choice.address,
            incarnation,
            suspect_keys,
        }
    }

    /// Records that the server sent something. The first time, the prompt counts as prefilled.
    pub fn record_contact(&mut self) {
        let mut fleet = self.context.fleet();
        if let Some(server) = fleet.server_mut(&self.server) {
            server.health.record_contact(Instant::now());
        }
        if !self.is_prefilled {
            self.is_prefilled = true;
            fleet.finish_prefill(&self.server, self.attempt, self.load.pending_prefill);
            self.load.pending_prefill = PendingPrefill::default();
        }
    }

    /// Records whether the server succeeded, and how many milliseconds later than expected it
    /// answered.
    pub fn record_outcome(&self, succeeded: bool, delay_ms: f64) {
        if let Some(server) = self.context.fleet().server_mut(&self.server) {
            server.health.record_outcome(succeeded, delay_ms, Instant::now());
        }
    }
}

impl fmt::Display for InFlightAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { server, sent_at, suspect_keys, .. } = self;
        let keys = KeyList(suspect_keys);
        write!(f, "server={server} sent_ms={} keys={keys}", sent_at.elapsed().as_millis())
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.context.fleet().end_request(&self.server, self.attempt, self.load);
    }
}

/// Sends `request` to the chosen server and waits for the head of its answer.
pub async fn send(
    context: &Arc<RelayContext>,
    request: &RelayedRequest,
    choice: &Choice,
    last_event_id: Option<SmolStr>,
) -> Received {
    let sent_at = Instant::now();
    let incarnation = context.fleet().server(&choice.server).map_or(0, Server::incarnation);
    let mut in_flight = InFlightAttempt::new(Arc::clone(context), request, choice);
    let outgoing = outgoing_request(context, request, choice, last_event_id, sent_at);
    let sent = context.pool.send(&choice.server, choice.address, outgoing, request.deadline);
    let exchange = match sent.await {
        Ok(exchange) => exchange,
        Err(error) => {
            return Received::Nothing(handle_failure(context, request, choice, &in_flight, error));
        }
    };
    in_flight.record_contact();
    let head = context.ports.dialect.read_answer(exchange.status, &exchange.headers);
    update_weights(context, request, choice, &head);
    if !is_misdirected(choice, &head) {
        heed_server(context, request, choice, incarnation, &head);
    }
    if head.is_not_run {
        let reason = record_not_run(context, request, choice, exchange.status, &head);
        log::info!(
            "event=not_run request={} server={} status={} reason={reason} weights={} believed={}",
            request.id,
            choice.server,
            exchange.status.as_u16(),
            head.weights.unwrap_or_default(),
            choice.prompt.as_ref().map_or(0, |prompt| prompt.weights)
        );
        return Received::Nothing(AttemptOutcome::NotRun(reason));
    }
    let answer_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let succeeded = !exchange.status.is_server_error();
    if succeeded {
        learn_prefill_rate(context, request, choice, answer_ms);
    }
    in_flight.record_outcome(succeeded, answer_ms - choice.expected_ms);
    if let Some(error) = find_answer_fault(request, choice, exchange.status, &head) {
        in_flight.record_outcome(false, 0.0);
        return Received::Nothing(AttemptOutcome::Unknown(error));
    }
    if succeeded
        && let Some(prompt) = choice.prompt.as_ref().filter(|prompt| prompt.save_to.is_some())
    {
        context.fleet().prefixes.add_stored(&prompt.keys, Instant::now());
        context.notify_control(RelayControlEvent::PrefixesStored);
    }
    Received::Answer(Box::new(Answer { exchange, head, in_flight }))
}

/// Receives the rest of an answer unless it is a stream.
pub async fn receive(
    context: &RelayContext,
    request: &RelayedRequest,
    received: Received,
) -> AttemptOutcome {
    let answer = match received {
        Received::Answer(answer) => answer,
        Received::Nothing(outcome) => return outcome,
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
    choice: &Choice,
    last_event_id: Option<SmolStr>,
    now: Instant,
) -> Request<Full<bytes::Bytes>> {
    let remaining = request.deadline.saturating_duration_since(now);
    let workspace = request.workspace.as_ref();
    let prompt = choice.prompt.as_ref();
    let head = ForwardHead {
        server: choice.server.clone(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        strips_api_key: request.strips_api_key,
        priority: prompt.map(|_| request.priority()),
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
fn suspend_server(context: &RelayContext, choice: &Choice) {
    context.pool.close_idle_connections(&choice.server);
    let now = Instant::now();
    let Some(until) = context
        .fleet()
        .server_mut(&choice.server)
        .map(|server| server.health.record_unreachable(now))
    else {
        return;
    };
    let for_ms = until.saturating_duration_since(now).as_millis();
    log::info!("event=server_suspended server={} for_ms={for_ms}", choice.server);
}

/// Makes the control thread check whether the server of a cut exchange crashed; a crash is a strike
/// against the request and its prompt parts.
pub fn request_crash_check(request: &RelayedRequest, in_flight: &InFlightAttempt, stage: CutStage) {
    in_flight.context.notify_control(RelayControlEvent::ExchangeCut(CutExchange {
        server: in_flight.server.clone(),
        address: in_flight.address,
        incarnation: in_flight.incarnation.unwrap_or_default(),
        // Streams of sound requests are cut by the same crash, so that only prompts with a chain of
        // crashes are refused.
        fingerprint: (stage == CutStage::Head).then_some(request.fingerprint),
        keys: in_flight.suspect_keys.clone(),
        is_ended: stage == CutStage::End,
    }));
}

/// Records the weights that the answer reports, if they are not the expected ones.
fn update_weights(
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
fn learn_prefill_rate(
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

/// Records that the server is leaving or wants a pause, if its answer says so.
fn heed_server(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    incarnation: Incarnation,
    head: &AnswerHead,
) {
    let server = &choice.server;
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

/// Whether another server listens at the address.
fn is_misdirected(choice: &Choice, head: &AnswerHead) -> bool {
    head.server.as_ref().is_some_and(|server| *server != choice.server)
}

/// Records why the server did not run the request, so that the next choice avoids it.
fn record_not_run(
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
    if let Some(server) = context.fleet().server_mut(&choice.server) {
        server.set_full_until(now + FULL_PERIOD);
    }
    NotRunReason::Full
}

/// Returns an error if the answer cannot be the answer of a server that ran this request.
fn find_answer_fault(
    request: &RelayedRequest,
    choice: &Choice,
    status: StatusCode,
    head: &AnswerHead,
) -> Option<PeerError> {
    let promises_no_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let fault = if head.request_id.as_ref() != Some(&request.id) {
        "the answer belongs to another request"
    } else if status.is_success() && !head.is_signed {
        "the answer is not signed"
    } else if head.has_content_encoding {
        "the answer is encoded"
    } else if promises_no_run || status.is_informational() {
        "the status contradicts that the request was run"
    } else {
        return None;
    };
    let error = anyhow!("{fault} (status {status})");
    Some(PeerError::new(Step::Decode, choice.server.clone(), Delivery::Unknown, error))
}
