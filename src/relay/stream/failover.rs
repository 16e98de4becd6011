//! Failover of a stream: other servers resume it when its own is silent, is to be closed, or has
//! broken off.

use super::candidate::{Candidate, CandidateStep};
use super::{RelayedStream, StreamEvent, StreamHead, is_event_stream};
use crate::decision::relay::{Authorization, EventSplitter, NotTriedReason, PeerNode};
use crate::relay::answer::{Answer, AttemptOutcome, NotRunReason};
use crate::relay::in_flight::{self, CutStage};
use crate::relay::outdated_weights;
use crate::relay::peers::forward;
use crate::relay::pending_attempts::EndedAttempt;
use crate::relay::refusal::Refusal;
use crate::relay::server_choice::{PlannedRun, choose_server_now, log_choice};
use crate::types::{DeadlinePassed, PeerError, PeerResult};
use bytes::Bytes;
use smol_str::SmolStr;
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

/// Where a stream is resumed.
enum NextHop {
    /// At a server.
    Server(Box<PlannedRun>),
    /// By way of another node.
    Node(PeerNode, Authorization),
}

/// Why the answer of a server was cut.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum CutCause {
    /// The connection or the stream on it was broken off.
    Broken,
    /// The deadline of the request passed.
    Deadline,
}

impl RelayedStream {
    /// Drops all answers and attempts but the current one.
    pub(super) fn abandon_others(&mut self) {
        self.pending.abandon(&self.request);
        for candidate in self.candidates.drain(..) {
            log::info!(
                "event=attempt_abandoned request={} {}",
                self.request.id,
                candidate.answer.in_flight
            );
        }
        self.moving_until = None;
    }

    /// Returns the event after which another server goes on, `None` if that is for the caller's
    /// request to say.
    fn last_event_id(&self) -> Option<SmolStr> {
        let last = self.splitter.as_ref().and_then(|splitter| splitter.last_event_id().cloned());
        last.or_else(|| self.request.resume_after.clone())
    }

    /// Whether the answer can go on with the stream, by its head. Any may begin it.
    fn is_alike(&self, answer: &Answer) -> bool {
        let Some(head) = &self.head else { return true };
        let is_event_stream = is_event_stream(&answer.exchange.headers);
        answer.exchange.status == head.status && is_event_stream == self.splitter.is_some()
    }

    /// Whether another server can go on: what was sent of the stream has an id.
    fn is_continuable(&self) -> bool {
        self.is_resumable && (self.last_data_at.is_none() || self.last_event_id().is_some())
    }

    pub(super) fn may_resume(&self, now: Instant) -> bool {
        self.is_continuable() && self.attempts.allow_another(&self.context, &self.request, now)
    }

    /// Handles what a candidate sent; returns all that it has sent if it becomes the current answer.
    pub(super) fn continue_with(
        &mut self,
        index: usize,
        received: PeerResult<Option<Bytes>>,
    ) -> Option<PeerResult<Option<Bytes>>> {
        let error = match self.candidates[index].receive(received) {
            CandidateStep::Waits => return None,
            CandidateStep::Continues(data) => {
                let candidate = self.candidates.swap_remove(index);
                self.abandon_others();
                match self.head {
                    None => self.begin_with(candidate.answer),
                    Some(_) => self.resume_from(candidate.answer),
                }
                return Some(Ok(data));
            }
            CandidateStep::Failed(error) => error,
        };
        let Candidate { answer, .. } = self.candidates.swap_remove(index);
        answer.in_flight.record_outcome(false, 0.0);
        in_flight::request_crash_check(&self.request, &answer.in_flight, CutStage::Stream);
        log::info!(
            "event=candidate_failed request={} {} error=\"{error:#}\"",
            self.request.id,
            answer.in_flight
        );
        let now = Instant::now();
        self.failover.record_failed_answer(now);
        self.record_failed_candidate(now);
        self.failover.record_crash_check(now);
        None
    }

    /// Drops the servers that were asked to go on with the stream and have not begun before their weights
    /// were outdated for too long.
    pub(super) fn drop_outdated_candidates(&mut self) {
        let now = Instant::now();
        let is_outdated = |candidate: &Candidate| {
            candidate.answer.in_flight.begins_by().is_some_and(|begins_by| now >= begins_by)
        };
        while let Some(index) = self.candidates.iter().position(is_outdated) {
            let Candidate { answer, .. } = self.candidates.swap_remove(index);
            let error = outdated_weights::outdated(&answer.in_flight.server);
            log::info!(
                "event=candidate_failed request={} {} error=\"{error}\"",
                self.request.id,
                answer.in_flight
            );
            self.failover.record_failed_answer(now);
            self.record_failed_candidate(now);
        }
    }

    /// Records that the servers whose answers are still open are silent, or ends a failed move.
    pub(super) fn record_failed_candidate(&mut self, now: Instant) {
        let is_open = self.answer.is_some()
            || !self.candidates.is_empty()
            || self.head.is_none() && !self.pending.is_empty();
        if self.moving_until.is_some() && self.is_alone() {
            self.end_move(now);
        } else if is_open {
            self.failover.record_silence(now);
        }
    }

    /// Begins or ends moving the stream to another server.
    pub(super) fn update_move(&mut self) {
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
        let server = self.answer.as_ref().and_then(|answer| answer.in_flight.known_server());
        let server = server.and_then(|server| fleet.server(server));
        has_begun && server.is_some_and(|server| server.is_evicted(now))
    }

    /// Asks another server to continue the stream. Nothing of the current answer is forwarded
    /// meanwhile, since the other one would repeat it.
    fn begin_move(&mut self, now: Instant) {
        self.next_move_at = Some(now + MOVE_RETRY_DELAY);
        let next_hop = self.choose_next_hop(0, now);
        if next_hop.is_ok_and(|next_hop| self.resume_at(next_hop, "evicted")) {
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
    pub(super) async fn try_another(&mut self) -> Option<StreamEvent> {
        if self.answer.is_some() {
            let event = self.next_event(Instant::now() + SILENCE_RECHECK_PERIOD).await;
            if event.is_some() {
                return event;
            }
        }
        let now = Instant::now();
        let Ok(next_hop) = self.choose_next_hop(1, now) else {
            self.failover.record_not_tried(NotTriedReason::Unavailable, now);
            return None;
        };
        if !self.resume_at(next_hop, "resume") {
            self.failover.record_not_tried(NotTriedReason::Budget, now);
            return None;
        }
        if let Some(silent) = self.answer.as_ref().filter(|_| !self.is_silence_recorded) {
            self.is_silence_recorded = true;
            silent.in_flight.record_outcome(false, 0.0);
        }
        None
    }

    /// Returns where the stream is resumed; `failed` servers were found unreachable.
    fn choose_next_hop(&self, failed: usize, now: Instant) -> Result<NextHop, Refusal> {
        let Self { context, request, attempts, .. } = self;
        match forward::choose_gateway(context, request, attempts, failed) {
            Some(node) => Ok(NextHop::Node(node, request.authorize(context)?)),
            None => choose_server_now(context, request, attempts, now)
                .map(|run| NextHop::Server(Box::new(run))),
        }
    }

    /// Sends the request to the chosen server or node if the resend budget allows it; returns
    /// whether it does.
    fn resume_at(&mut self, next_hop: NextHop, reason: &str) -> bool {
        if !self.attempts.try_resend(&self.context, &self.request, reason) {
            return false;
        }
        let (context, request) = (&self.context, &self.request);
        let last_event_id = self.last_event_id();
        match next_hop {
            NextHop::Server(run) => {
                log_choice(request, &run.choice);
                self.attempts.begin(&run.choice.server);
                self.pending.begin(context, request, *run, last_event_id);
            }
            NextHop::Node(node, authorization) => {
                forward::log_forwarding(request, &node);
                let attempts = self.attempts.clone();
                self.attempts.begin_by_node(&node.instance);
                let pending = &mut self.pending;
                pending.begin_by_node(
                    context,
                    request,
                    authorization,
                    node,
                    attempts,
                    last_event_id,
                );
            }
        }
        self.failover.record_sent();
        true
    }

    /// Drops the answer of a server that broke it off.
    pub(super) fn interrupt(&mut self, error: &PeerError) {
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
    pub(super) fn end_attempt(&mut self, ended: EndedAttempt) {
        self.attempts.end(&ended);
        let EndedAttempt { server, outcome, .. } = ended;
        let now = Instant::now();
        match outcome {
            AttemptOutcome::Streaming(answer) if self.is_alike(&answer) => {
                let room = self.context.caller_memory.open();
                self.candidates.push(Candidate::new(*answer, self.last_event_id(), room));
                return self.failover.record_wait(now);
            }
            AttemptOutcome::Streaming(answer) => {
                answer.in_flight.record_outcome(false, 0.0);
                log::info!(
                    "event=candidate_failed request={} {} error=\"another kind of answer, status {}\"",
                    self.request.id,
                    answer.in_flight,
                    answer.exchange.status.as_u16()
                );
                self.failover.record_failed_answer(now);
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

    /// Begins the stream with the answer of a server, which has sent a whole event.
    pub(super) fn begin_with(&mut self, answer: Answer) {
        let head = StreamHead::new(&self.request, &answer);
        let is_event_stream = is_event_stream(&head.headers);
        self.is_resumable &= is_event_stream;
        self.splitter.take_if(|_| !is_event_stream);
        if self.request.is_forwarded() {
            // The node that sent the request binds its caller's stream to this version.
            self.attempts.software = Some(head.software.clone());
        }
        self.head = Some(head);
        self.answer = Some(answer);
    }

    /// Continues the stream with the answer of another server.
    fn resume_from(&mut self, answer: Answer) {
        let left = self.answer.replace(answer);
        log::info!(
            "event=stream_resumed request={} from={} from_software={} to={} to_software={} bytes={}",
            self.request.id,
            left.as_ref().map_or("none", |left| left.in_flight.server.as_str()),
            left.as_ref().map_or("none", |left| left.in_flight.software.as_str()),
            self.answer.as_ref().map_or("none", |answer| answer.in_flight.server.as_str()),
            self.answer.as_ref().map_or("none", |answer| answer.in_flight.software.as_str()),
            self.forwarded_bytes
        );
        self.splitter.iter_mut().for_each(EventSplitter::begin_answer);
        self.context.metrics.resumed_streams.inc();
    }

    /// Records the silence of the servers that were asked to resume the stream.
    pub(super) fn check_pending(&mut self) {
        let is_overdue = self.pending.becomes_overdue(&self.context, &self.request);
        if is_overdue && self.moving_until.is_none() {
            self.failover.record_silence(Instant::now());
        }
    }
}
