//! Splits an event stream into complete events, so that another server can resume after the last
//! event that the caller received.

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
    last_event_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// An event is longer than the limit.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial[search_start..]) else {
            let is_within_limit = self.partial.len() <= MAX_EVENT_BYTES;
            return if is_within_limit { Ok(Bytes::new()) } else { Err(EventTooLong) };
        };
        let complete = self.partial.split_to(search_start + end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        Ok(complete)
    }

    /// Takes the bytes received after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the last id among the complete events, `None` if none had one.
    pub fn last_event_id(&self) -> Option<&SmolStr> {
        self.last_event_id.as_ref()
    }
}

/// Returns the offset after the last blank line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (1..=bytes.len()).rev().find(|&end| {
        let head = &bytes[..end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    })
}

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = values.filter_map(|value| std::str::from_utf8(value).ok()).next()?;
    Some(SmolStr::new(text.trim()))
}
