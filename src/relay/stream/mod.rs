//! Event streams: forwarded as they arrive, and resumed at another server where the route allows
//! it.

mod candidate;
mod failover;
mod outcome;
mod received;

use self::candidate::Candidate;
pub use self::outcome::count_outcome;
use crate::adapters::caller_memory::{Room, take_piece};
use crate::adapters::deadline::timeout_at;
use crate::adapters::framing::Framing;
use crate::adapters::http_server::{BodyAborted, Reply};
use crate::decision::relay::streams::unproven_software;
use crate::decision::relay::{EventSplitter, Failover, FailoverStep, RetrySafety};
use crate::relay::RelayContext;
use crate::relay::answer::Answer;
use crate::relay::attempts::Attempts;
use crate::relay::outdated_weights;
use crate::relay::peers::gateway::software_header;
use crate::relay::peers::message::SOFTWARE;
use crate::relay::pending_attempts::{EndedAttempt, PendingAttempts, SERVER_CHECK_PERIOD};
use crate::relay::refusal::{Refusal, RefusalReason};
use crate::relay::request::{RelayedRequest, end_to_end_headers};
use crate::types::{PeerError, PeerResult, ServerId, SoftwareVersion};
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future;
use futures_lite::stream::unfold;
use futures_util::future::select_all;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use smol_str::SmolStr;
use std::mem;
use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// Stream that is being forwarded to a caller.
struct RelayedStream {
    context: Arc<RelayContext>,
    request: Arc<RelayedRequest>,
    attempts: Attempts,
    failover: Failover,
    /// Answer of the current server, `None` after it was interrupted or the stream has ended.
    answer: Option<Answer>,
    /// Answers of other servers that resume the stream.
    candidates: Vec<Candidate>,
    /// Attempts to resume the stream at other servers.
    pending: PendingAttempts,
    /// Until when the current answer is not read, `None` unless the stream is being moved.
    moving_until: Option<Instant>,
    /// Whether the current silence of the server was recorded as a failure.
    is_silence_recorded: bool,
    /// Head that the caller gets, `None` before a server has begun the stream.
    head: Option<StreamHead>,
    /// Splits the stream into whole events, `None` if the answer is not an event stream.
    splitter: Option<EventSplitter>,
    /// Room of the event that the splitter keeps until it is whole.
    room: Room,
    is_resumable: bool,
    /// Server and framing of the last answer that was interrupted.
    last_answer: Option<(ServerId, Framing)>,
    forwarded_bytes: usize,
    /// Bytes without a whole event since another server was last to be asked, or the last event.
    partial_bytes: usize,
    /// When the last whole event arrived, `None` before the first.
    last_progress_at: Option<Instant>,
    /// Longest time between two forwarded pieces.
    max_pause: Duration,
    last_data_at: Option<Instant>,
    /// Milliseconds from the arrival of the request to the head of the answer.
    first_answer_ms: u128,
    is_ended: bool,
    /// Earliest time of the next move to another server, `None` before the first.
    next_move_at: Option<Instant>,
}

/// Head of a stream, by the server that began it.
struct StreamHead {
    status: StatusCode,
    headers: HeaderMap,
    software: SoftwareVersion,
}

impl StreamHead {
    fn new(request: &RelayedRequest, answer: &Answer) -> Self {
        let software = answer.in_flight.proven_software();
        Self {
            status: answer.exchange.status,
            headers: end_to_end_headers(answer.exchange.headers.clone()),
            software: software.unwrap_or_else(|| unproven_software(&request.id)),
        }
    }
}

/// Returns the answer for the caller; its body is forwarded as it arrives. A stream that may be resumed begins
/// with the first server that has sent a whole event, of the one whose head is `received` and those of the
/// `pending` attempts; any other one, and one that another node has sent, with that head.
///
/// # Errors
///
/// No server has begun the stream.
pub async fn forward_stream(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: Attempts,
    pending: PendingAttempts,
    received: Answer,
) -> Result<Reply, Refusal> {
    context.metrics.observe_first_answer(&request.route.name, request.arrived_at);
    let mut relayed = RelayedStream::new(context, request, attempts, pending);
    // The node that sent a request learns the server from the head, and waits for a whole event itself.
    if !relayed.is_resumable || request.is_forwarded() {
        relayed.begin_with(received);
        return Ok(relayed.into_reply(Bytes::new()));
    }
    let room = context.caller_memory.open();
    relayed.candidates.push(Candidate::new(received, resumed_after(request), room));
    match relayed.next_data().await {
        Some(Ok(first)) => Ok(relayed.into_reply(first)),
        None => Ok(relayed.into_reply(Bytes::new())),
        Some(Err(BodyAborted)) if Instant::now() >= request.deadline => {
            Err(Refusal::new(RefusalReason::TimedOut))
        }
        Some(Err(BodyAborted)) => Err(Refusal::new(RefusalReason::OutcomeUnknown)),
    }
}

/// Returns the event after which the first answer of a resumable stream goes on.
fn resumed_after(request: &RelayedRequest) -> Option<SmolStr> {
    if request.route.retry_safety != RetrySafety::ResumableStream {
        return None;
    }
    request.resume_after.clone().or_else(|| request.head.last_event_id.clone())
}

/// Whether the answer declares events, or declares nothing.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(header::CONTENT_TYPE) else { return true };
    content_type.as_bytes().to_ascii_lowercase().starts_with(b"text/event-stream")
}

impl RelayedStream {
    /// Returns a stream that no server has begun.
    fn new(
        context: &Arc<RelayContext>,
        request: &Arc<RelayedRequest>,
        attempts: Attempts,
        pending: PendingAttempts,
    ) -> Self {
        let open_answers = 1 + u32::try_from(pending.len()).unwrap_or(u32::MAX - 1);
        Self {
            context: Arc::clone(context),
            request: Arc::clone(request),
            attempts,
            failover: Failover::of_stream(request.deadline, open_answers, Instant::now()),
            answer: None,
            candidates: Vec::new(),
            pending,
            moving_until: None,
            is_silence_recorded: false,
            head: None,
            splitter: Some(EventSplitter::resumed_after(resumed_after(request))),
            room: context.caller_memory.open(),
            is_resumable: request.route.retry_safety == RetrySafety::ResumableStream,
            last_answer: None,
            forwarded_bytes: 0,
            partial_bytes: 0,
            last_progress_at: None,
            max_pause: Duration::ZERO,
            last_data_at: None,
            first_answer_ms: request.age_ms(),
            is_ended: false,
            next_move_at: None,
        }
    }

    /// Returns the answer for the caller, whose body begins with `first`.
    fn into_reply(mut self, first: Bytes) -> Reply {
        let mut reply_head = Response::new(());
        if let Some(head) = &mut self.head {
            *reply_head.status_mut() = head.status;
            *reply_head.headers_mut() = mem::take(&mut head.headers);
            if self.request.is_forwarded() {
                reply_head.headers_mut().insert(SOFTWARE, software_header(&head.software));
            }
        }
        let frames = unfold((self, first), |(mut relayed, mut unread)| async move {
            if unread.is_empty() {
                match relayed.next_data().await? {
                    Ok(data) => unread = data,
                    Err(error) => {
                        // The HTTP library writes the head and the events before it asks for the error,
                        // which closes the connection.
                        future::yield_now().await;
                        return Some((Err(error), (relayed, unread)));
                    }
                }
            }
            let piece = take_piece(&mut unread);
            Some((Ok(Frame::data(piece)), (relayed, unread)))
        });
        reply_head.map(|()| StreamBody::new(frames).boxed_unsync())
    }

    /// Returns the next data for the caller, `None` at the end of a complete stream. Before the stream has begun,
    /// the first data is that of the server that begins it.
    async fn next_data(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        if self.is_alone() {
            // The time that the caller took to read is no silence of the server.
            self.failover.record_wait(Instant::now());
        }
        while !self.is_ended {
            if let Some(fault) = self.find_foreign_text() {
                self.interrupt(&fault);
            }
            if let Some(fault) = self.find_outdated() {
                self.interrupt(&fault);
            }
            self.drop_outdated_candidates();
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
                return Some(data);
            }
        }
        None
    }

    /// Returns an error if the server has not begun the stream, and may not begin it any more since its
    /// weights are outdated.
    fn find_outdated(&self) -> Option<PeerError> {
        let answer = self.answer.as_ref().filter(|_| self.last_data_at.is_none())?;
        let begins_by = answer.in_flight.begins_by()?;
        (Instant::now() >= begins_by).then(|| outdated_weights::outdated(&answer.in_flight.server))
    }

    /// Whether only the current answer is open.
    fn is_alone(&self) -> bool {
        self.answer.is_some() && self.pending.is_empty() && self.candidates.is_empty()
    }

    /// Waits for the next event; the current server goes first if several have happened.
    async fn next_event(&mut self, until: Instant) -> Option<StreamEvent> {
        let Self { answer, candidates, pending, request, moving_until, last_data_at, .. } = self;
        let (room, splitter) = (&mut self.room, &self.splitter);
        let kept_bytes = splitter.as_ref().map_or(0, EventSplitter::partial_bytes);
        let must_check = !pending.is_empty() || !candidates.is_empty() || last_data_at.is_none();
        let until = match must_check {
            true => until.min(Instant::now() + SERVER_CHECK_PERIOD),
            false => until,
        };
        let until = moving_until.map_or(until, |moving_until| until.min(moving_until));
        let read = answer.as_mut().filter(|_| moving_until.is_none());
        let received = async {
            match read {
                Some(answer) => {
                    let data = answer.next_data_within(room, kept_bytes, request.deadline).await;
                    StreamEvent::Received(data)
                }
                None => future::pending().await,
            }
        };
        let continued = next_continued(candidates, request.deadline);
        let attempted = async { StreamEvent::Attempted(pending.next_ended().await) };
        timeout_at(until, received.or(continued).or(attempted)).await.ok()
    }
}

/// Waits until one of the candidates sends something; never returns without candidates.
async fn next_continued(candidates: &mut [Candidate], deadline: Instant) -> StreamEvent {
    if candidates.is_empty() {
        return future::pending().await;
    }
    let next = candidates.iter_mut().map(|candidate| Box::pin(candidate.next_data(deadline)));
    let (received, index, _others) = select_all(next).await;
    StreamEvent::Continued { index, received }
}
