//! What the servers of a stream send: whole events, truncations and text that is no event.

use super::RelayedStream;
use crate::adapters::framing::Framing;
use crate::adapters::http_server::BodyAborted;
use crate::decision::relay::event_splitter::EventTooLong;
use crate::decision::relay::streams::unproven_software;
use crate::relay::stream_origin;
use crate::types::{Delivery, PeerError, PeerResult, Step};
use anyhow::anyhow;
use bytes::Bytes;
use std::time::Instant;

/// Bytes of an unfinished event from which a stream makes progress: events of models are shorter.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;

impl RelayedStream {
    /// Handles what the current server sent; returns what the caller gets now, `None` if nothing.
    pub(super) fn handle_received(
        &mut self,
        received: PeerResult<Option<Bytes>>,
    ) -> Option<Result<Bytes, BodyAborted>> {
        let interruption = match received {
            Ok(Some(data)) => {
                let received_bytes = data.len();
                return match self.take_whole_events(data) {
                    Ok(events) if events.is_empty() => {
                        self.record_partial_event(received_bytes);
                        None
                    }
                    Ok(events) => {
                        self.record_contact();
                        Some(Ok(self.record_data(events)))
                    }
                    Err(BodyAborted) => Some(Err(self.abort_with("event_too_long"))),
                };
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

    /// Records bytes of an unfinished event. They count as progress once there are some kilobytes: a
    /// stalled server may send a byte now and then.
    fn record_partial_event(&mut self, bytes: usize) {
        self.partial_bytes += bytes;
        if self.partial_bytes >= MIN_PROGRESS_BYTES {
            self.record_contact();
        } else if let Some(answer) = &mut self.answer {
            answer.in_flight.record_contact();
        }
    }

    /// Records that the current server goes on, so that no other one is needed.
    pub(super) fn record_contact(&mut self) {
        self.partial_bytes = 0;
        if let Some(answer) = &mut self.answer {
            answer.in_flight.record_contact();
        }
        self.abandon_others();
        self.failover.record_data(Instant::now());
        self.is_silence_recorded = false;
    }

    /// Returns the whole events that `data` completes; all of `data` if the answer is not an event
    /// stream.
    pub(super) fn take_whole_events(&mut self, data: Bytes) -> Result<Bytes, BodyAborted> {
        let Some(splitter) = &mut self.splitter else { return Ok(data) };
        match splitter.push(data) {
            Ok(events) => Ok(events),
            Err(EventTooLong) if self.is_resumable => Err(BodyAborted),
            Err(EventTooLong) => Ok(splitter.take_partial()),
        }
    }

    /// Returns an error if the current server has sent something else than events.
    pub(super) fn find_foreign_text(&self) -> Option<PeerError> {
        let answer = self.answer.as_ref()?;
        self.splitter.as_ref().filter(|splitter| splitter.has_foreign_text())?;
        let error = anyhow!("the answer does not go on with the stream");
        let server = answer.in_flight.server.clone();
        Some(PeerError::new(Step::Decode, server, Delivery::Unknown, error))
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
