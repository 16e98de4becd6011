//! What the servers of a stream send: whole events, truncations and text that is no event.

use super::RelayedStream;
use crate::adapters::framing::Framing;
use crate::adapters::http_server::BodyAborted;
use crate::decision::relay::EventSplitter;
use crate::decision::relay::event_splitter::EventTooLong;
use crate::decision::relay::streams::unproven_software;
use crate::relay::stream_origin;
use crate::types::{Delivery, PeerError, PeerResult, Step};
use anyhow::anyhow;
use bytes::Bytes;
use std::time::{Duration, Instant};

/// Bytes of an unfinished event that postpone the question to another server: events of models are shorter, and
/// a stalled server may send a byte now and then.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;

/// Time after a whole event in which bytes of the next one postpone that question.
const MAX_EVENT_PERIOD: Duration = Duration::from_millis(2_000);

impl RelayedStream {
    /// Handles what the current server sent; returns what the caller gets now, `None` if nothing.
    pub(super) fn handle_received(
        &mut self,
        received: PeerResult<Option<Bytes>>,
    ) -> Option<Result<Bytes, BodyAborted>> {
        let interruption = match received {
            Ok(Some(data)) => {
                let (received_bytes, known_events) = (data.len(), self.event_count());
                match self.take_whole_events(data) {
                    Ok(events) => {
                        if self.event_count() == known_events {
                            self.record_partial_event(received_bytes);
                        } else {
                            self.record_progress();
                        }
                        return (!events.is_empty()).then(|| Ok(self.record_data(events)));
                    }
                    Err(error) => error,
                }
            }
            Ok(None) => match self.find_truncation() {
                Some(truncation) => truncation,
                None => return self.finish().map(Ok),
            },
            Err(error) => error,
        };
        self.interrupt(&interruption);
        None
    }

    /// Returns the number of whole events so far; any data of an answer that is no event stream counts.
    fn event_count(&self) -> Option<usize> {
        self.splitter.as_ref().map(EventSplitter::events)
    }

    /// Records bytes without a whole event. Some kilobytes of one postpone the question to another server for a
    /// while; they are no reason to drop one that was asked.
    fn record_partial_event(&mut self, bytes: usize) {
        if self.splitter.is_none() {
            return self.record_progress();
        }
        if let Some(answer) = &mut self.answer {
            answer.in_flight.record_contact();
        }
        self.partial_bytes += bytes;
        let now = Instant::now();
        let is_recent =
            self.last_progress_at.is_some_and(|progress_at| now < progress_at + MAX_EVENT_PERIOD);
        if self.partial_bytes >= MIN_PROGRESS_BYTES && self.is_alone() && is_recent {
            self.partial_bytes = 0;
            self.failover.record_wait(now);
        }
    }

    /// Records that the current server goes on, so that no other one is needed.
    pub(super) fn record_progress(&mut self) {
        self.partial_bytes = 0;
        self.last_progress_at = Some(Instant::now());
        if let Some(answer) = &mut self.answer {
            answer.in_flight.record_contact();
        }
        self.abandon_others();
        self.failover.record_data(Instant::now());
        self.is_silence_recorded = false;
    }

    /// Returns the whole events that `data` completes; all of `data` if the answer is not an event
    /// stream.
    ///
    /// # Errors
    ///
    /// An event is too long for a stream that another server can go on with.
    pub(super) fn take_whole_events(&mut self, data: Bytes) -> PeerResult<Bytes> {
        let Some(splitter) = &mut self.splitter else { return Ok(data) };
        match splitter.push(data) {
            Ok(events) => Ok(events),
            Err(EventTooLong) if self.is_resumable => {
                Err(self.decode_error("an event is too long"))
            }
            Err(EventTooLong) => Ok(splitter.take_partial()),
        }
    }

    fn decode_error(&self, fault: &'static str) -> PeerError {
        let answer = self.answer.as_ref();
        let server = answer.map(|answer| answer.in_flight.server.clone()).unwrap_or_default();
        PeerError::new(Step::Decode, server, Delivery::Unknown, anyhow!(fault))
    }

    /// Returns an error if the current server has sent something else than events.
    pub(super) fn find_foreign_text(&self) -> Option<PeerError> {
        self.answer.as_ref()?;
        self.splitter.as_ref().filter(|splitter| splitter.has_foreign_text())?;
        Some(self.decode_error("the answer does not go on with the stream"))
    }

    /// Returns an error if the body that has just ended is not the whole stream.
    pub(super) fn find_truncation(&self) -> Option<PeerError> {
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

    /// Records that data is about to be forwarded: from now on the stream goes on only at the
    /// software version that wrote it.
    pub(super) fn record_data(&mut self, data: Bytes) -> Bytes {
        let now = Instant::now();
        self.bind_software();
        if let Some(last) = self.last_data_at {
            self.max_pause = self.max_pause.max(now.saturating_duration_since(last));
        }
        self.last_data_at = Some(now);
        self.forwarded_bytes += data.len();
        data
    }

    fn bind_software(&mut self) {
        let Some(answer) = self.answer.as_ref().filter(|_| self.last_data_at.is_none()) else {
            return;
        };
        let proven = answer.in_flight.proven_software();
        let is_proven = proven.is_some();
        let software = proven.unwrap_or_else(|| {
            log::info!("event=software_unproven request={} {}", self.request.id, answer.in_flight);
            unproven_software(&self.request.id)
        });
        if self.is_resumable {
            stream_origin::record_origin(&self.context, &self.request, &software);
        }
        self.is_resumable &= is_proven;
        self.attempts.software = Some(software);
    }
}
