//! Splits an event stream into complete events, so that another server can resume after the last
//! event that the caller received.

use super::EventPosition;
use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Maximum bytes of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Names of the fields that make an event. Others may stand beside them.
const EVENT_FIELDS: [&[u8]; 3] = [b"data", b"event", b"id"];

/// Name of a field that may stand alone, without an event.
const RETRY_FIELD: &[u8] = b"retry";

/// Mark that may precede a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

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
    /// Events that all answers have completed.
    events: usize,
    last_event_id: Option<SmolStr>,
    /// Event after which the current answer must go on, `None` if it is not resumed.
    resumed_after: Option<SmolStr>,
    /// Whether the current answer has sent something else than events that go on with the stream.
    has_foreign_text: bool,
}

impl EventSplitter {
    /// Returns the splitter of an answer that goes on after an event.
    pub fn resumed_after(event_id: Option<SmolStr>) -> Self {
        Self { resumed_after: event_id, ..Self::default() }
    }

    /// Adds received bytes and returns the events that they complete, up to the first text that is
    /// none.
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
        let mut complete = self.complete(data, end);
        complete.truncate(self.check_events(&complete));
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the length of the events that belong to the stream; the rest is foreign text.
    fn check_events(&mut self, complete: &[u8]) -> usize {
        let mut checked_bytes = 0;
        while !self.has_foreign_text && checked_bytes < complete.len() {
            let rest = &complete[checked_bytes..];
            let event = &rest[..EventPosition::first_event_bytes(rest).unwrap_or(rest.len())];
            if has_field(event, &EVENT_FIELDS) {
                self.has_foreign_text = !self.goes_on_with(event);
                if self.has_foreign_text {
                    break;
                }
                self.has_event = true;
                self.events += 1;
            } else if has_text(event) && !has_field(event, &[RETRY_FIELD]) {
                self.has_foreign_text = true;
                break;
            }
            checked_bytes += event.len();
        }
        checked_bytes
    }

    /// Whether an event may follow: the first one of a resumed answer must have a later id.
    fn goes_on_with(&self, event: &[u8]) -> bool {
        match &self.resumed_after {
            Some(after) if !self.has_event => last_id(event).is_some_and(|id| is_later(&id, after)),
            _ => true,
        }
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

    /// Returns the memory of the bytes received after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        if self.partial.is_empty() { 0 } else { self.partial.capacity() }
    }

    /// Takes the bytes received after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the incomplete event of an answer that another one continues.
    pub fn begin_answer(&mut self) {
        self.partial = BytesMut::new();
        self.position = EventPosition::default();
        self.has_event = false;
        self.has_foreign_text = false;
        self.resumed_after = self.last_event_id.clone().or(self.resumed_after.take());
    }

    /// Whether the current answer has sent something else than events that go on with the stream,
    /// such as the text of an error.
    pub fn has_foreign_text(&self) -> bool {
        self.has_foreign_text
    }

    /// Whether the received bytes end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.position.is_inside_event()
    }

    /// Whether the current answer has completed an event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the number of events that all answers have completed. Comments, blank lines and times of retries
    /// are none.
    pub fn events(&self) -> usize {
        self.events
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
fn has_text(events: &[u8]) -> bool {
    lines(events).any(|line| line.first().is_some_and(|byte| *byte != b':'))
}

/// Whether a line begins with one of the names.
fn has_field(event: &[u8], names: &[&[u8]]) -> bool {
    lines(event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event)).any(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or(line);
        names.contains(&name)
    })
}

/// Whether an event id is later than another one. Ids that are no numbers only differ.
fn is_later(id: &str, after: &str) -> bool {
    match (id.parse::<u64>(), after.parse::<u64>()) {
        (Ok(id), Ok(after)) => id > after,
        _ => id != after,
    }
}

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let values = lines(events).rev().filter_map(|line| line.strip_prefix(b"id:"));
    let text = values.filter_map(|value| std::str::from_utf8(value).ok()).next()?;
    Some(SmolStr::new(text.trim()))
}
