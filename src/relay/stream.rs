//! Event streams: forwarded as they arrive, and resumed at another server where the route allows
//! it.

use super::RelayContext;
use super::attempt::{Answer, AttemptOutcome, NotRunReason};
use super::attempts::Attempts;
use super::buffered_answer::return_to_pool;
use super::in_flight::{self, CutStage};
use super::metrics::AnswerLabels;
use super::pending_attempts::{EndedAttempt, PendingAttempts, SERVER_CHECK_PERIOD};
use super::request::{RelayedRequest, end_to_end_headers};
use super::server_choice::{choose_server_now, log_choice};
use super::suspects;
use crate::adapters::deadline::timeout_at;
use crate::adapters::framing::Framing;
use crate::adapters::http_server::{BodyAborted, Reply};
use crate::decision::relay::event_splitter::EventTooLong;
use crate::decision::relay::{
    Choice, EventSplitter, Failover, FailoverStep, GiveUpReason, NotTriedReason, RetrySafety,
};
use crate::types::{DeadlinePassed, Delivery, PeerError, PeerResult, ServerId, Step};
use anyhow::anyhow;
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future;
use futures_lite::stream::unfold;
use futures_util::future::select_all;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::Display;

/// Time in which another server must continue a stream that is moved off its server.
const MAX_MOVE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time after which moving a stream off its server is tried again; one or two requests end
/// meanwhile, so that another server may have room.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which a silent server is read again before another one is tried: its data may have
/// arrived while the node itself stood still.
const SILENCE_RECHECK_PERIOD: Duration = Duration::from_millis(10);

/// Why the answer of a server was cut.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum CutCause {
    /// The connection or the stream on it was broken off.
    Broken,
    /// The deadline of the request passed.
    Deadline,
}

/// What a stream waits for.
enum StreamEvent {
    /// The current server sent data, ended its answer or broke it off.
    Received(PeerResult<Option<Bytes>>),
    /// A server that was asked to resume the stream sent data, ended its answer or broke it off.
    Continued {
        /// Index among the candidates.
        index: usize,
        /// What it sent.
        received: PeerResult<Option<Bytes>>,
    },
    /// An attempt to resume the stream at another server has ended.
    Attempted(EndedAttempt),
}

/// Counts a request by its outcome.
pub fn count_outcome(context: &RelayContext, request: &RelayedRequest, outcome: &str) {
    let (route, outcome) = (request.route.name.to_string(), outcome.to_owned());
    context.metrics.requests.get_or_create(&AnswerLabels { route, outcome }).inc();
}

/// Stream that is being forwarded to a caller.
struct RelayedStream {
    context: Arc<RelayContext>,
    request: Arc<RelayedRequest>,
    attempts: Attempts,
    failover: Failover,
    /// Answer of the current server, `None` after it was interrupted or the stream has ended.
    answer: Option<Answer>,
    /// Answers of other servers that resume the stream and have sent no data yet.
    candidates: Vec<Answer>,
    /// Attempts to resume the stream at other servers.
    pending: PendingAttempts,
    /// Until when the current answer is not read, `None` unless the stream is being moved.
    moving_until: Option<Instant>,
    /// Whether the current silence of the server was recorded as a failure.
    is_silence_recorded: bool,
    /// Splits the stream into whole events, `None` if the answer is not an event stream.
    splitter: Option<EventSplitter>,
    is_resumable: bool,
    /// Server and framing of the last answer that was interrupted.
    last_answer: Option<(ServerId, Framing)>,
    forwarded_bytes: usize,
    /// Longest time between two forwarded pieces.
    max_pause: Duration,
    last_data_at: Option<Instant>,
    /// Milliseconds from the arrival of the request to the head of the answer.
    first_answer_ms: u128,
    is_ended: bool,
    /// Earliest time of the next move to another server, `None` before the first.
    next_move_at: Option<Instant>,
}

/// Returns the answer for the caller; its body is forwarded as it arrives. The first data of one of
/// the `pending` attempts is forwarded instead if it comes before that of the answer.
pub fn forward_stream(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: Attempts,
    pending: PendingAttempts,
    received: Answer,
) -> Reply {
    context.metrics.observe_first_answer(&request.route.name, request.arrived_at);
    let status = received.exchange.status;
    let headers = end_to_end_headers(received.exchange.headers.clone());
    let is_event_stream = is_event_stream(&headers);
    let retry_safety = request.route.retry_safety;
    let open_answers = 1 + u32::try_from(pending.len()).unwrap_or(u32::MAX - 1);
    let relayed = RelayedStream {
        context: Arc::clone(context),
        request: Arc::clone(request),
        attempts,
        failover: Failover::of_stream(request.deadline, open_answers, Instant::now()),
        answer: Some(received),
        candidates: Vec::new(),
        pending,
        moving_until: None,
        is_silence_recorded: false,
        splitter: is_event_stream.then(EventSplitter::default),
        is_resumable: is_event_stream && retry_safety == RetrySafety::ResumableStream,
        last_answer: None,
        forwarded_bytes: 0,
        max_pause: Duration::ZERO,
        last_data_at: None,
        first_answer_ms: request.age_ms(),
        is_ended: false,
        next_move_at: None,
    };
    let frames = unfold(relayed, |mut relayed| async move {
        let data = relayed.next_data().await?;
        Some((data.map(Frame::data), relayed))
    });
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Whether the answer declares events, or declares nothing.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(header::CONTENT_TYPE) else { return true };
    content_type.as_bytes().to_ascii_lowercase().starts_with(b"text/event-stream")
}

impl RelayedStream {
    /// Returns the next data for the caller, `None` at the end of a complete stream.
    async fn next_data(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        if self.is_alone() {
            // The time that the caller took to read is no silence of the server.
            self.failover.record_wait(Instant::now());
        }
        while !self.is_ended {
            self.update_move();
            let now = Instant::now();
            let event = match self.failover.step(self.may_resume(now), now) {
                FailoverStep::Wait { until } => self.next_event(until).await,
                FailoverStep::TryAnother => self.try_another().await,
                FailoverStep::GiveUp(reason) => return Some(Err(self.abort(reason))),
            };
            let received = match event {
                Some(StreamEvent::Received(received)) => received,
                Some(StreamEvent::Continued { index, received }) => {
                    match self.continue_with(index, received) {
                        Some(received) => received,
                        None => continue,
                    }
                }
                Some(StreamEvent::Attempted(ended)) => {
                    self.end_attempt(ended);
                    continue;
                }
                None => {
                    self.check_pending();
                    continue;
                }
            };
            if let Some(data) = self.handle_received(received) {
                return data;
            }
        }
        None
    }

    /// Whether only the current answer is open.
    fn is_alone(&self) -> bool {
        self.answer.is_some() && self.pending.is_empty() && self.candidates.is_empty()
    }

    /// Waits for the next event; the current server goes first if several have happened.
    async fn next_event(&mut self, until: Instant) -> Option<StreamEvent> {
        let Self { answer, candidates, pending, request, moving_until, .. } = self;
        let until = match pending.is_empty() {
            true => until,
            false => until.min(Instant::now() + SERVER_CHECK_PERIOD),
        };
        let until = moving_until.map_or(until, |moving_until| until.min(moving_until));
        let read = answer.as_mut().filter(|_| moving_until.is_none());
        let received = async {
            match read {
                Some(answer) => {
                    StreamEvent::Received(answer.exchange.next_data(request.deadline).await)
                }
                None => future::pending().await,
            }
        };
        let continued = next_continued(candidates, request.deadline);
        let attempted = async { StreamEvent::Attempted(pending.next_ended().await) };
        timeout_at(until, received.or(continued).or(attempted)).await.ok()
    }

    /// Handles what a candidate sent; returns it if the candidate becomes the current answer.
    fn continue_with(
        &mut self,
        index: usize,
        received: PeerResult<Option<Bytes>>,
    ) -> Option<PeerResult<Option<Bytes>>> {
        let candidate = self.candidates.swap_remove(index);
        let is_end_proven = candidate.exchange.framing.proves_completeness();
        let error = match received {
            Ok(None) if !is_end_proven => anyhow!("the connection ended before the first event"),
            Ok(data) => {
                self.resume_from(candidate);
                return Some(Ok(data));
            }
            Err(error) => error.into(),
        };
        candidate.in_flight.record_outcome(false, 0.0);
        in_flight::request_crash_check(&self.request, &candidate.in_flight, CutStage::Stream);
        log::info!(
            "event=candidate_failed request={} {} error=\"{error:#}\"",
            self.request.id,
            candidate.in_flight
        );
        let now = Instant::now();
        self.failover.record_failed_answer(now);
        self.record_failed_candidate(now);
        None
    }

    /// Records that the servers whose answers are still open are silent, or ends a failed move.
    fn record_failed_candidate(&mut self, now: Instant) {
        if self.moving_until.is_some() && self.is_alone() {
            self.end_move(now);
        } else if self.answer.is_some() || !self.candidates.is_empty() {
            self.failover.record_silence(now);
        }
    }

    /// Handles what the current server sent. Returns what the caller gets, `None` if that is not
    /// known yet; the inner `None` ends the stream.
    fn handle_received(
        &mut self,
        received: PeerResult<Option<Bytes>>,
    ) -> Option<Option<Result<Bytes, BodyAborted>>> {
        let interruption = match received {
            Ok(Some(data)) => {
                self.record_contact();
                return match self.take_whole_events(data) {
                    Ok(events) if events.is_empty() => None,
                    Ok(events) => Some(Some(Ok(self.record_data(events)))),
                    Err(BodyAborted) => Some(Some(Err(self.abort_with("event_too_long")))),
                };
            }
            Ok(None) => match self.find_truncation() {
                Some(truncation) => truncation,
                None => return Some(self.finish().map(Ok)),
            },
            Err(error) => error,
        };
        self.interrupt(&interruption);
        None
    }

    /// Records that the current server goes on, so that no other one is needed.
    fn record_contact(&mut self) {
        if let Some(answer) = &mut self.answer {
            answer.in_flight.record_contact();
        }
        self.abandon_others();
        self.failover.record_data(Instant::now());
        self.is_silence_recorded = false;
    }

    /// Drops all answers and attempts but the current one.
    fn abandon_others(&mut self) {
        self.pending.abandon(&self.request);
        for candidate in self.candidates.drain(..) {
            log::info!(
                "event=attempt_abandoned request={} {}",
                self.request.id,
                candidate.in_flight
            );
        }
        self.moving_until = None;
    }

    fn may_resume(&self, now: Instant) -> bool {
        self.is_resumable && self.attempts.allow_another(&self.context, &self.request, now)
    }

    /// Returns the whole events that `data` completes; all of `data` if the answer is not an event
    /// stream.
    fn take_whole_events(&mut self, data: Bytes) -> Result<Bytes, BodyAborted> {
        let Some(splitter) = &mut self.splitter else { return Ok(data) };
        match splitter.push(data) {
            Ok(events) => Ok(events),
            Err(EventTooLong) if self.is_resumable => Err(BodyAborted),
            Err(EventTooLong) => Ok(splitter.take_partial()),
        }
    }

    /// Returns an error if the body that has just ended is not the whole stream. A server that
    /// crashes closes its connections, which ends a body that has neither a length nor chunks.
    fn find_truncation(&self) -> Option<PeerError> {
        let (answer, splitter) = (self.answer.as_ref()?, self.splitter.as_ref()?);
        let framing = answer.exchange.framing;
        let fault = if splitter.is_inside_event() {
            "the stream ended inside an event"
        } else if framing == Framing::ConnectionClose && !splitter.has_event() {
            "the connection ended before the first event"
        } else {
            return None;
        };
        let error = anyhow!("{fault} (framing {framing})");
        let server = answer.in_flight.server.clone();
        Some(PeerError::new(Step::ReadBody, server, Delivery::Unknown, error))
    }

    /// Updates the statistics for data that is about to be forwarded.
    fn record_data(&mut self, data: Bytes) -> Bytes {
        let now = Instant::now();
        if let Some(last) = self.last_data_at {
            self.max_pause = self.max_pause.max(now.saturating_duration_since(last));
        }
        self.last_data_at = Some(now);
        self.forwarded_bytes += data.len();
        data
    }

    /// Ends a complete stream; returns the data after the last whole event, if any.
    fn finish(&mut self) -> Option<Bytes> {
        self.is_ended = true;
        self.abandon_others();
        if let Some(answer) = self.answer.take() {
            self.log_outcome("complete", Some(&answer));
            if answer.exchange.framing.proves_completeness() {
                suspects::acquit(&self.context, &self.request);
            } else {
                in_flight::request_crash_check(&self.request, &answer.in_flight, CutStage::End);
            }
            return_to_pool(&self.context, answer.exchange, &answer.head);
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_partial);
        rest.filter(|rest| !rest.is_empty())
    }

    /// Ends an incomplete stream that no server continues.
    fn abort(&mut self, reason: GiveUpReason) -> BodyAborted {
        self.abort_with(match reason {
            GiveUpReason::DeadlinePassed => "time_over",
            GiveUpReason::NoServer if self.is_resumable => "no_server_goes_on",
            GiveUpReason::NoServer => "server_broke_off",
        })
    }

    /// Ends an incomplete stream and logs why.
    fn abort_with(&mut self, reason: &str) -> BodyAborted {
        self.is_ended = true;
        self.abandon_others();
        let answer = self.answer.take();
        log::info!("event=stream_broken request={} reason={reason}", self.request.id);
        self.log_outcome("broken", answer.as_ref());
        BodyAborted
    }

    /// Begins or ends moving the stream to another server.
    fn update_move(&mut self) {
        let now = Instant::now();
        if self.moving_until.is_some_and(|moving_until| now >= moving_until) {
            self.end_move(now);
        }
        if self.should_move(now) {
            self.begin_move(now);
        }
    }

    /// Whether the stream must leave its server and can be resumed at another one now.
    fn should_move(&self, now: Instant) -> bool {
        if !self.is_alone() || !self.may_resume(now) || self.next_move_at.is_some_and(|at| now < at)
        {
            return false;
        }
        let has_begun = self.splitter.as_ref().is_some_and(|s| s.last_event_id().is_some());
        let fleet = self.context.fleet();
        let server = self.answer.as_ref().and_then(|answer| fleet.server(&answer.in_flight.server));
        has_begun && server.is_some_and(|server| server.is_evicted(now))
    }

    /// Asks another server to continue the stream. Nothing of the current answer is forwarded
    /// meanwhile, since the other one would repeat it.
    fn begin_move(&mut self, now: Instant) {
        self.next_move_at = Some(now + MOVE_RETRY_DELAY);
        let chosen = choose_server_now(&self.context, &self.request, &self.attempts, now);
        if chosen.is_ok_and(|choice| self.resume_at(choice, "evicted")) {
            self.moving_until = Some(self.request.deadline.min(now + MAX_MOVE_PERIOD));
        }
    }

    /// Goes on with the current answer after no other server has continued it.
    fn end_move(&mut self, now: Instant) {
        self.abandon_others();
        self.failover.record_data(now);
    }

    /// Sends the request to another server, after the last whole event, beside the open answers,
    /// unless one of these has sent something meanwhile.
    async fn try_another(&mut self) -> Option<StreamEvent> {
        if self.answer.is_some() {
            let event = self.next_event(Instant::now() + SILENCE_RECHECK_PERIOD).await;
            if event.is_some() {
                return event;
            }
        }
        let now = Instant::now();
        let chosen = choose_server_now(&self.context, &self.request, &self.attempts, now);
        let Ok(choice) = chosen else {
            self.failover.record_not_tried(NotTriedReason::Unavailable, now);
            return None;
        };
        if !self.resume_at(choice, "resume") {
            self.failover.record_not_tried(NotTriedReason::Budget, now);
            return None;
        }
        if let Some(silent) = self.answer.as_ref().filter(|_| !self.is_silence_recorded) {
            self.is_silence_recorded = true;
            silent.in_flight.record_outcome(false, 0.0);
        }
        None
    }

    /// Sends the request to the chosen server if the resend budget allows it; returns whether it
    /// does.
    fn resume_at(&mut self, choice: Choice, reason: &str) -> bool {
        if !self.attempts.try_resend(&self.context, &self.request, reason) {
            return false;
        }
        log_choice(&self.request, &choice);
        let last_event_id = self.splitter.as_ref().and_then(|s| s.last_event_id().cloned());
        self.attempts.begin(&choice.server);
        self.pending.begin(&self.context, &self.request, choice, last_event_id);
        self.failover.record_sent();
        true
    }

    /// Drops the answer of a server that broke it off.
    fn interrupt(&mut self, error: &PeerError) {
        let is_late = error.source.is::<DeadlinePassed>();
        let cause = if is_late { CutCause::Deadline } else { CutCause::Broken };
        if let Some(answer) = self.answer.take() {
            answer.in_flight.record_outcome(false, 0.0);
            log::info!(
                "event=stream_cut request={} cause={cause} framing={} bytes={} {} parts={} {error}",
                self.request.id,
                answer.exchange.framing,
                self.forwarded_bytes,
                answer.in_flight,
                self.request.part_ids()
            );
            self.last_answer = Some((answer.in_flight.server.clone(), answer.exchange.framing));
            if error.is_disconnect() {
                in_flight::request_crash_check(&self.request, &answer.in_flight, CutStage::Stream);
            }
        }
        let now = Instant::now();
        self.failover.record_failed_answer(now);
        if error.is_disconnect() {
            self.failover.record_crash_check(now);
        }
    }

    /// Applies the outcome of an attempt to resume the stream.
    fn end_attempt(&mut self, ended: EndedAttempt) {
        let EndedAttempt { server, outcome } = ended;
        self.attempts.end(&outcome);
        let now = Instant::now();
        match outcome {
            AttemptOutcome::Streaming(answer) => {
                self.candidates.push(*answer);
                return self.failover.record_wait(now);
            }
            AttemptOutcome::NotRun(NotRunReason::Full) => {
                // It may be tried again: it has room once a request ends, and `choose` skips it
                // until then.
                self.attempts.tried.retain(|tried| *tried != server);
                self.failover.record_full_server(now);
            }
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::NotSent(_)
            | AttemptOutcome::Unknown(_)
            | AttemptOutcome::Answered(_) => self.failover.record_failed_answer(now),
        }
        self.record_failed_candidate(now);
    }

    /// Continues the stream with the answer of another server.
    fn resume_from(&mut self, answer: Answer) {
        self.abandon_others();
        let left = self.answer.replace(answer);
        log::info!(
            "event=stream_resumed request={} from={} to={} bytes={}",
            self.request.id,
            left.as_ref().map_or("none", |left| left.in_flight.server.as_str()),
            self.answer.as_ref().map_or("none", |answer| answer.in_flight.server.as_str()),
            self.forwarded_bytes
        );
        self.splitter.iter_mut().for_each(EventSplitter::begin_answer);
        self.context.metrics.resumed_streams.inc();
    }

    /// Records the silence of the servers that were asked to resume the stream.
    fn check_pending(&mut self) {
        let is_overdue = self.pending.becomes_overdue(&self.context, &self.request);
        if is_overdue && self.moving_until.is_none() {
            self.failover.record_silence(Instant::now());
        }
    }

    fn log_outcome(&self, outcome: &str, answer: Option<&Answer>) {
        count_outcome(&self.context, &self.request, outcome);
        let current =
            answer.map(|answer| (answer.in_flight.server.clone(), answer.exchange.framing));
        let answer = current.or_else(|| self.last_answer.clone());
        log::info!(
            "event=answered request={} route={} outcome={outcome} server={} framing={} \
             first_ms={} bytes={} longest_pause_ms={} attempts={} age_ms={}",
            self.request.id,
            self.request.route.name,
            answer.as_ref().map_or("none", |(server, _)| server.as_str()),
            answer.as_ref().map_or("none", |(_, framing)| framing.into()),
            self.first_answer_ms,
            self.forwarded_bytes,
            self.max_pause.as_millis(),
            self.attempts.possible_runs,
            self.request.age_ms()
        );
    }
}

/// Waits until one of the candidates sends something; never returns without candidates.
async fn next_continued(candidates: &mut [Answer], deadline: Instant) -> StreamEvent {
    if candidates.is_empty() {
        return future::pending().await;
    }
    let next = candidates.iter_mut().map(|answer| Box::pin(answer.exchange.next_data(deadline)));
    let (received, index, _others) = select_all(next).await;
    StreamEvent::Continued { index, received }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if let Some(answer) = self.answer.take() {
            self.log_outcome("left", Some(&answer));
        }
    }
}
