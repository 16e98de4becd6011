//! Answer that may begin or continue a stream.

use super::is_event_stream;
use crate::adapters::caller_memory::Room;
use crate::decision::relay::EventSplitter;
use crate::decision::relay::event_splitter::EventTooLong;
use crate::relay::answer::Answer;
use crate::types::PeerResult;
use anyhow::anyhow;
use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;
use std::time::Instant;

/// Maximum bytes that a candidate sends without a whole event, or in an answer that is no event stream.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

/// What a candidate does after it has sent something.
pub(super) enum CandidateStep {
    /// It has not sent a whole event yet.
    Waits,
    /// It goes on with the stream with this, `None` if it ended it.
    Continues(Option<Bytes>),
    /// It cannot go on with the stream.
    Failed(anyhow::Error),
}

/// Answer of a server. It goes on with the stream once it has sent a whole event: a server that sends bytes
/// without end must not take the stream from a sound one that is silent.
pub(super) struct Candidate {
    pub(super) answer: Answer,
    /// Finds whole events, `None` if the answer is not an event stream, which counts once it is whole.
    splitter: Option<EventSplitter>,
    /// All that has arrived.
    received: BytesMut,
    /// Room of what has arrived.
    room: Room,
}

impl Candidate {
    /// Returns the answer of a server that was asked to go on after `last_event_id`.
    pub(super) fn new(answer: Answer, last_event_id: Option<SmolStr>, room: Room) -> Self {
        let is_event_stream = is_event_stream(&answer.exchange.headers);
        let splitter = is_event_stream.then(|| EventSplitter::resumed_after(last_event_id));
        Self { answer, splitter, received: BytesMut::new(), room }
    }

    /// Returns the next data of the answer, `None` at its end.
    pub(super) async fn next_data(&mut self, deadline: Instant) -> PeerResult<Option<Bytes>> {
        let partial_bytes = self.splitter.as_ref().map_or(0, EventSplitter::partial_bytes);
        let kept_bytes = self.received.capacity() + partial_bytes;
        self.answer.next_data_within(&mut self.room, kept_bytes, deadline).await
    }

    /// Handles what the server sent.
    pub(super) fn receive(&mut self, received: PeerResult<Option<Bytes>>) -> CandidateStep {
        match received {
            Ok(Some(data)) => self.receive_data(data),
            Ok(None) => self.end(),
            Err(error) => CandidateStep::Failed(error.into()),
        }
    }

    fn receive_data(&mut self, data: Bytes) -> CandidateStep {
        self.answer.in_flight.record_contact();
        if self.received.len() + data.len() > MAX_KEPT_BYTES {
            return CandidateStep::Failed(anyhow!("no whole event in {MAX_KEPT_BYTES} bytes"));
        }
        self.received.extend_from_slice(&data);
        let Some(splitter) = &mut self.splitter else { return CandidateStep::Waits };
        let pushed = splitter.push(data);
        if splitter.has_event() {
            // Whatever follows the event is checked once more.
            return CandidateStep::Continues(Some(self.received.split().freeze()));
        }
        if splitter.has_foreign_text() {
            return CandidateStep::Failed(anyhow!("the answer does not go on with the stream"));
        }
        match pushed {
            Ok(_) => CandidateStep::Waits,
            Err(EventTooLong) => CandidateStep::Failed(anyhow!("the first event is too long")),
        }
    }

    fn end(&mut self) -> CandidateStep {
        let is_inside_event = self.splitter.as_ref().is_some_and(EventSplitter::is_inside_event);
        if is_inside_event {
            return CandidateStep::Failed(anyhow!("the stream ended inside an event"));
        }
        if !self.answer.exchange.framing.proves_completeness() {
            return CandidateStep::Failed(anyhow!("the connection ended before the first event"));
        }
        let rest = self.received.split().freeze();
        CandidateStep::Continues(Some(rest).filter(|rest| !rest.is_empty()))
    }
}
