//! Event streams: passed on as they arrive, and gone on with at another server where the route
//! allows it.

use super::RelayContext;
use super::answer::keep;
use super::attempt::{self, Answer, AttemptEnd};
use super::exchange::{Attempts, RelayedRequest, choose, end_to_end_headers};
use super::metrics::AnswerLabels;
use crate::adapters::http_server::{BrokenBody, Reply};
use crate::decision::relay::{EventSplitter, Repetition};
use crate::types::PeerError;
use bytes::Bytes;
use futures_lite::stream::unfold;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Silence of a server after which a stream that can be resumed goes on at another one: several
/// times the pause that callers accept, and less than the one after which they leave.
const STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// Counts a request by its outcome.
pub fn count(context: &RelayContext, request: &RelayedRequest, outcome: &str) {
    let (route, outcome) = (request.route.name.to_string(), outcome.to_owned());
    context.metrics.requests.get_or_create(&AnswerLabels { route, outcome }).inc();
}

/// Stream on its way to a caller.
struct RelayedStream {
    context: Arc<RelayContext>,
    request: Arc<RelayedRequest>,
    attempts: Attempts,
    answer: Option<Answer>,
    /// Splits the stream if it can be resumed.
    splitter: Option<EventSplitter>,
    sent_bytes: usize,
    longest_pause: Duration,
    last_data_at: Option<Instant>,
    first_ms: u128,
    is_over: bool,
}

/// Returns the answer for the caller, whose body is passed on as it arrives.
pub fn answer(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: Attempts,
    received: Answer,
) -> Reply {
    let first_answer = request.arrived_at.elapsed().as_secs_f64();
    context.metrics.first_answer.observe(&request.route.name, first_answer);
    let status = received.exchange.status;
    let headers = end_to_end_headers(received.exchange.headers.clone());
    let is_resumable = request.route.repetition == Repetition::ResumableStream;
    let relayed = RelayedStream {
        context: Arc::clone(context),
        request: Arc::clone(request),
        attempts,
        answer: Some(received),
        splitter: is_resumable.then(EventSplitter::default),
        sent_bytes: 0,
        longest_pause: Duration::ZERO,
        last_data_at: None,
        first_ms: request.age_ms(),
        is_over: false,
    };
    let frames = unfold(relayed, |mut relayed| async move {
        let data = relayed.next().await?;
        Some((data.map(Frame::data), relayed))
    });
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

impl RelayedStream {
    /// Returns what the caller gets next, none at the end of a complete stream.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        while !self.is_over {
            let deadline = self.read_deadline();
            let answer = self.answer.as_mut()?;
            match answer.exchange.next_data(deadline).await {
                Ok(Some(data)) => {
                    answer.ticket.note_heard();
                    match self.whole_events(data) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return Some(Ok(self.count_data(events))),
                        Err(BrokenBody) => return Some(Err(self.break_off("event_too_long"))),
                    }
                }
                Ok(None) => return self.complete().map(Ok),
                Err(error) => {
                    if !self.resume(&error).await {
                        return Some(Err(self.break_off("server_broke_off")));
                    }
                }
            }
        }
        None
    }

    fn read_deadline(&self) -> Instant {
        let request = &self.request;
        let may_resume = self.splitter.is_some() && self.attempts.sent < request.route.max_attempts;
        if !may_resume {
            return request.deadline;
        }
        request.deadline.min(Instant::now() + STREAM_SILENCE)
    }

    fn whole_events(&mut self, data: Bytes) -> Result<Bytes, BrokenBody> {
        match &mut self.splitter {
            None => Ok(data),
            Some(splitter) => splitter.push(&data).map_err(|_| BrokenBody),
        }
    }

    fn count_data(&mut self, data: Bytes) -> Bytes {
        let now = Instant::now();
        if let Some(last) = self.last_data_at {
            self.longest_pause = self.longest_pause.max(now.saturating_duration_since(last));
        }
        self.last_data_at = Some(now);
        self.sent_bytes += data.len();
        data
    }

    /// Ends a complete stream; returns what the server sent behind its last whole event.
    fn complete(&mut self) -> Option<Bytes> {
        self.is_over = true;
        if let Some(Answer { exchange, facts, ticket }) = self.answer.take() {
            keep(&self.context, exchange, &facts);
            self.log("complete", &ticket.server);
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_rest);
        rest.filter(|rest| !rest.is_empty())
    }

    fn break_off(&mut self, reason: &str) -> BrokenBody {
        self.is_over = true;
        let server = self.answer.take().map(|answer| answer.ticket.server.clone());
        log::info!("event=stream_broken request={} reason={reason}", self.request.id);
        self.log("broken", server.as_deref().unwrap_or("none"));
        BrokenBody
    }

    /// Goes on at another server after the last whole event; returns whether that worked.
    async fn resume(&mut self, error: &PeerError) -> bool {
        let broken = self.answer.take();
        if let Some(answer) = &broken {
            answer.ticket.note_outcome(false, 0.0);
        }
        drop(broken);
        log::info!("event=stream_cut request={} {error}", self.request.id);
        let Some(splitter) = &mut self.splitter else { return false };
        splitter.take_rest();
        let last_event_id = splitter.last_event_id().cloned();
        while self.attempts.try_resend(&self.context, &self.request, "resume") {
            let Ok(choice) = choose(&self.context, &self.request, &self.attempts).await else {
                return false;
            };
            let is_last = self.attempts.is_next_last(&self.request.route);
            self.attempts.tried.push(choice.server.clone());
            self.attempts.sent += 1;
            let after = last_event_id.clone();
            let end = attempt::send(&self.context, &self.request, &choice, after, is_last).await;
            if let AttemptEnd::Answered(answer) = end
                && answer.exchange.status.is_success()
            {
                self.answer = Some(*answer);
                self.context.metrics.resumed_streams.inc();
                return true;
            }
        }
        false
    }

    fn log(&self, outcome: &str, server: &str) {
        count(&self.context, &self.request, outcome);
        log::info!(
            "event=answered request={} route={} outcome={outcome} server={server} first_ms={} \
             bytes={} longest_pause_ms={} attempts={} age_ms={}",
            self.request.id,
            self.request.route.name,
            self.first_ms,
            self.sent_bytes,
            self.longest_pause.as_millis(),
            self.attempts.sent,
            self.request.age_ms()
        );
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if let Some(answer) = self.answer.take() {
            self.log("left", &answer.ticket.server);
        }
    }
}
