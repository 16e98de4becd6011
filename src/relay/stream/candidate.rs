//! Answer of another server that is to continue a stream.

use crate::adapters::caller_memory::Room;
use crate::decision::relay::EventSplitter;
use crate::decision::relay::event_splitter::EventTooLong;
use crate::relay::answer::Answer;
use crate::types::PeerResult;
use anyhow::anyhow;
use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;
use std::time::Instant;

/// What a candidate does after it has sent something.
pub(super) enum CandidateStep {
    /// It has not sent a whole event yet.
    Waits,
    /// It continues the stream with this, `None` if it ended it.
    Continues(Option<Bytes>),
    /// It cannot continue the stream.
    Failed(anyhow::Error),
}

/// Answer of another server. It continues the stream once it has sent a whole event: a server that
/// sends bytes without end must not take the stream from a sound one that is silent.
pub(super) struct Candidate {
    pub(super) answer: Answer,
    splitter: EventSplitter,
    /// All that has arrived.
    received: BytesMut,
    /// Room of what has arrived.
    room: Room,
}

impl Candidate {
    /// Returns the answer of a server that was asked to go on after `last_event_id`.
    pub(super) fn new(answer: Answer, last_event_id: Option<SmolStr>, room: Room) -> Self {
        let splitter = EventSplitter::resumed_after(last_event_id);
        Self { answer, splitter, received: BytesMut::new(), room }
    }

    /// Returns the next data of the answer, `None` at its end.
    pub(super) async fn next_data(&mut self, deadline: Instant) -> PeerResult<Option<Bytes>> {
        let kept_bytes = self.received.capacity() + self.splitter.partial_bytes();
        self.answer.next_data_within(&mut self.room, kept_bytes, deadline).await
    }

    /// Handles what the server sent. Any data continues what is not an event stream.
    pub(super) fn receive(
        &mut self,
        received: PeerResult<Option<Bytes>>,
        is_event_stream: bool,
    ) -> CandidateStep {
        let data = match received {
            Ok(Some(data)) => data,
            Ok(None) if self.splitter.is_inside_event() => {
                return CandidateStep::Failed(anyhow!("the stream ended inside an event"));
            }
            Ok(None) if self.answer.exchange.framing.proves_completeness() => {
                return CandidateStep::Continues(None);
            }
            Ok(None) => {
                let error = anyhow!("the connection ended before the first event");
                return CandidateStep::Failed(error);
            }
            Err(error) => return CandidateStep::Failed(error.into()),
        };
        self.answer.in_flight.record_contact();
        if !is_event_stream {
            return CandidateStep::Continues(Some(data));
        }
        self.received.extend_from_slice(&data);
        let pushed = self.splitter.push(data);
        if self.splitter.has_foreign_text() {
            return CandidateStep::Failed(anyhow!("the answer does not go on with the stream"));
        }
        match pushed {
            Ok(events) if events.is_empty() => CandidateStep::Waits,
            Ok(_) => CandidateStep::Continues(Some(self.received.split().freeze())),
            Err(EventTooLong) => CandidateStep::Failed(anyhow!("the first event is too long")),
        }
    }
}
