//! Splits the bytes of an event stream into whole events, so that another server can go on after
//! the last one that the caller has.

use bytes::{Bytes, BytesMut};
use smol_str::SmolStr;

/// Bytes of one event at most; a longer one is no event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The server sent an event that exceeds the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Splitter of one event stream.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event_id: Option<SmolStr>,
}

impl EventSplitter {
    /// Adds received bytes and returns the whole events that are complete with them.
    ///
    /// # Errors
    ///
    /// An event longer than the limit.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventTooLong> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let Some(end) = last_event_end(&self.partial[searched..]) else {
            let is_bounded = self.partial.len() <= MAX_EVENT_BYTES;
            return if is_bounded { Ok(Bytes::new()) } else { Err(EventTooLong) };
        };
        let whole = self.partial.split_to(searched + end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_event_id = Some(id);
        }
        Ok(whole)
    }

    /// Returns what follows the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last whole event.
    pub fn last_event_id(&self) -> Option<&SmolStr> {
        self.last_event_id.as_ref()
    }
}

/// Returns the offset behind the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (1..=bytes.len()).rev().find(|&end| {
        let head = &bytes[..end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    })
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = values.filter_map(|value| std::str::from_utf8(value).ok()).next()?;
    Some(SmolStr::new(text.trim()))
}
