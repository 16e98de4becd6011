//! Splits an event stream into complete events, so that another server can resume after the last
//! event that the caller received.

use super::EventPosition;
use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Maximum bytes of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The server sent an event that exceeds the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Splitter of one event stream.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes received after the last complete event.
    partial: BytesMut,
    position: EventPosition,
    /// Whether the current answer has completed an event.
    has_event: bool,
    last_event_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// An event is longer than the limit.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventTooLong> {
        let Some(end) = self.position.advance(&data) else {
            self.partial.extend_from_slice(&data);
            let is_within_limit = self.partial.len() <= MAX_EVENT_BYTES;
            return if is_within_limit { Ok(Bytes::new()) } else { Err(EventTooLong) };
        };
        let complete = self.complete(data, end);
        self.has_event |= has_field(&complete);
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the incomplete event with the first `end` bytes of `data`, and keeps the others.
    fn complete(&mut self, mut data: Bytes, end: usize) -> Bytes {
        let remaining = data.split_off(end);
        if !self.partial.is_empty() {
            self.partial.extend_from_slice(&data);
            data = self.partial.split().freeze();
        }
        self.partial.extend_from_slice(&remaining);
        data
    }

    /// Takes the bytes received after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the incomplete event of an answer that another one continues.
    pub fn begin_answer(&mut self) {
        self.partial.clear();
        self.position = EventPosition::default();
        self.has_event = false;
    }

    /// Whether the received bytes end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.position.is_inside_event()
    }

    /// Whether the current answer has completed an event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the last id among the complete events, `None` if none had one.
    pub fn last_event_id(&self) -> Option<&SmolStr> {
        self.last_event_id.as_ref()
    }
}

fn lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    events.split(|byte| matches!(byte, b'\n' | b'\r'))
}

/// Whether there is anything but comments and blank lines.
fn has_field(events: &[u8]) -> bool {
    lines(events).any(|line| line.first().is_some_and(|byte| *byte != b':'))
}

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let values = lines(events).rev().filter_map(|line| line.strip_prefix(b"id:"));
    let text = values.filter_map(|value| std::str::from_utf8(value).ok()).next()?;
    Some(SmolStr::new(text.trim()))
}
