//! Event streams: forwarded as they arrive, and resumed at another server where the route allows
//! it.

use super::RelayContext;
use super::attempt::{self, Answer, AttemptOutcome, NotRunReason};
use super::buffered_answer::return_to_pool;
use super::exchange::{Attempts, choose_server};
use super::metrics::AnswerLabels;
use super::request::{RelayedRequest, end_to_end_headers};
use crate::adapters::deadline::timeout_at;
use crate::adapters::framing::Framing;
use crate::adapters::http_server::{BodyAborted, Reply};
use crate::decision::relay::event_splitter::EventTooLong;
use crate::decision::relay::{Choice, EventSplitter, RetrySafety};
use crate::types::{DeadlinePassed, Delivery, PeerError, Step};
use anyhow::anyhow;
use bytes::Bytes;
use futures_lite::stream::unfold;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use smol::Timer;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::Display;

/// Silence of a server after which a resumable stream moves to another one. It is several times the
/// pause that callers accept and shorter than the one after which they leave.
const MAX_STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// Time after which moving a stream off its server is tried again; one or two requests end
/// meanwhile, so that another server may have room.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which a server is chosen again for an interrupted stream.
const CHOICE_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Why the answer of a server was cut.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum CutCause {
    /// The connection or the stream on it was broken off.
    Broken,
    /// The deadline of the request passed.
    Deadline,
    /// The server sent nothing for [`MAX_STREAM_SILENCE`].
    Silent,
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
    /// Answer of the current server, `None` after it was interrupted or the stream has ended.
    answer: Option<Answer>,
    /// Splits the stream into whole events, `None` if the answer is not an event stream.
    splitter: Option<EventSplitter>,
    is_resumable: bool,
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

/// Returns the answer for the caller; its body is forwarded as it arrives.
pub fn forward_stream(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: Attempts,
    received: Answer,
) -> Reply {
    context.metrics.observe_first_answer(&request.route.name, request.arrived_at);
    let status = received.exchange.status;
    let headers = end_to_end_headers(received.exchange.headers.clone());
    let is_event_stream = is_event_stream(&headers);
    let retry_safety = request.route.retry_safety;
    let relayed = RelayedStream {
        context: Arc::clone(context),
        request: Arc::clone(request),
        attempts,
        answer: Some(received),
        splitter: is_event_stream.then(EventSplitter::default),
        is_resumable: is_event_stream && retry_safety == RetrySafety::ResumableStream,
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
        while !self.is_ended {
            if self.should_move() {
                self.try_move().await;
            }
            let deadline = self.read_deadline();
            let Some(answer) = self.answer.as_mut() else {
                return Some(Err(self.abort("no_server_goes_on")));
            };
            let interruption = match answer.exchange.next_data(deadline).await {
                Ok(Some(data)) => {
                    answer.in_flight.record_contact();
                    match self.take_whole_events(data) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => return Some(Ok(self.record_data(events))),
                        Err(BodyAborted) => return Some(Err(self.abort("event_too_long"))),
                    }
                }
                Ok(None) => match self.find_truncation() {
                    Some(truncation) => truncation,
                    None => return self.finish().map(Ok),
                },
                Err(error) => error,
            };
            if !self.resume_after(&interruption).await {
                let is_late = Instant::now() >= self.request.deadline;
                let reason = if is_late { "time_over" } else { "server_broke_off" };
                return Some(Err(self.abort(reason)));
            }
        }
        None
    }

    /// Returns when the stream stops waiting for data from the current server.
    fn read_deadline(&self) -> Instant {
        if !self.may_resume() {
            return self.request.deadline;
        }
        self.request.deadline.min(Instant::now() + MAX_STREAM_SILENCE)
    }

    fn may_resume(&self) -> bool {
        self.is_resumable && self.attempts.possible_runs < self.request.route.max_attempts
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
        if let Some(answer) = self.answer.take() {
            self.log_outcome("complete", Some(&answer));
            return_to_pool(&self.context, answer.exchange, &answer.head);
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_partial);
        rest.filter(|rest| !rest.is_empty())
    }

    /// Ends an incomplete stream and logs why.
    fn abort(&mut self, reason: &str) -> BodyAborted {
        self.is_ended = true;
        let answer = self.answer.take();
        log::info!("event=stream_broken request={} reason={reason}", self.request.id);
        self.log_outcome("broken", answer.as_ref());
        BodyAborted
    }

    /// Whether the stream must leave its server and can be resumed at another one now.
    fn should_move(&self) -> bool {
        let Some(answer) = self.answer.as_ref().filter(|_| self.may_resume()) else { return false };
        if self.next_move_at.is_some_and(|at| Instant::now() < at) {
            return false;
        }
        let has_begun = self.splitter.as_ref().is_some_and(|s| s.last_event_id().is_some());
        let fleet = self.context.fleet();
        let server = fleet.server(&answer.in_flight.server);
        has_begun && server.is_some_and(|server| server.is_evicted(Instant::now()))
    }

    /// Moves the stream to another server if one accepts it; otherwise it stays at its server.
    async fn try_move(&mut self) {
        let Some(splitter) = &self.splitter else { return };
        let last_event_id = splitter.last_event_id().cloned();
        let now = Instant::now();
        self.next_move_at = Some(now + MOVE_RETRY_DELAY);
        let Ok(choice) = choose_server(&self.context, &self.request, &self.attempts).await else {
            return;
        };
        if !self.attempts.try_resend(&self.context, &self.request, "evicted") {
            return;
        }
        let resume_deadline = self.request.deadline.min(now + MAX_STREAM_SILENCE);
        // The current server continues until the new answer replaces its answer.
        self.continue_at(&choice, last_event_id, resume_deadline).await;
    }

    /// Resumes an interrupted stream at another server, after the last whole event; returns whether
    /// that succeeded.
    async fn resume_after(&mut self, error: &PeerError) -> bool {
        let interrupted = self.answer.take();
        if let Some(answer) = &interrupted {
            answer.in_flight.record_outcome(false, 0.0);
        }
        drop(interrupted);
        let cause = self.cut_cause(error);
        log::info!("event=stream_cut request={} cause={cause} {error}", self.request.id);
        let Some(splitter) = self.splitter.as_ref().filter(|_| self.may_resume()) else {
            return false;
        };
        let last_event_id = splitter.last_event_id().cloned();
        self.resume_elsewhere(last_event_id).await
    }

    fn cut_cause(&self, error: &PeerError) -> CutCause {
        match error.source.is::<DeadlinePassed>() {
            false => CutCause::Broken,
            true if Instant::now() >= self.request.deadline => CutCause::Deadline,
            true => CutCause::Silent,
        }
    }

    /// Sends the request to other servers until one continues after `last_event_id`; returns
    /// whether one did in time.
    async fn resume_elsewhere(&mut self, last_event_id: Option<SmolStr>) -> bool {
        let resume_deadline = self.request.deadline.min(Instant::now() + MAX_STREAM_SILENCE);
        while Instant::now() < resume_deadline {
            let Ok(choice) = choose_server(&self.context, &self.request, &self.attempts).await
            else {
                Timer::after(CHOICE_RETRY_DELAY).await;
                continue;
            };
            if !self.attempts.try_resend(&self.context, &self.request, "resume") {
                return false;
            }
            if self.continue_at(&choice, last_event_id.clone(), self.request.deadline).await {
                return true;
            }
        }
        false
    }

    /// Sends the request to `choice` and takes over its answer; returns whether that succeeded.
    async fn continue_at(
        &mut self,
        choice: &Choice,
        last_event_id: Option<SmolStr>,
        answer_deadline: Instant,
    ) -> bool {
        let is_last_attempt = self.attempts.is_next_last(&self.request.route);
        self.attempts.tried.push(choice.server.clone());
        let sent =
            attempt::send(&self.context, &self.request, choice, last_event_id, is_last_attempt);
        let Ok(outcome) = timeout_at(answer_deadline, sent).await else {
            self.attempts.possible_runs += 1;
            return false;
        };
        self.attempts.record(&outcome);
        match outcome {
            AttemptOutcome::Answered(answer) if answer.exchange.status.is_success() => {
                self.answer = Some(*answer);
                self.splitter.iter_mut().for_each(EventSplitter::begin_answer);
                self.context.metrics.resumed_streams.inc();
                true
            }
            AttemptOutcome::NotRun(NotRunReason::Full) => {
                // It may be tried again: it has room once a request ends, and `choose` skips it
                // until then.
                self.attempts.tried.pop();
                false
            }
            _ => false,
        }
    }

    fn log_outcome(&self, outcome: &str, answer: Option<&Answer>) {
        count_outcome(&self.context, &self.request, outcome);
        log::info!(
            "event=answered request={} route={} outcome={outcome} server={} framing={} \
             first_ms={} bytes={} longest_pause_ms={} attempts={} age_ms={}",
            self.request.id,
            self.request.route.name,
            answer.map_or("none", |answer| answer.in_flight.server.as_str()),
            answer.map_or(String::from("none"), |answer| answer.exchange.framing.to_string()),
            self.first_answer_ms,
            self.forwarded_bytes,
            self.max_pause.as_millis(),
            self.attempts.possible_runs,
            self.request.age_ms()
        );
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if let Some(answer) = self.answer.take() {
            self.log_outcome("left", Some(&answer));
        }
    }
}
