//! Position in an event stream, whose events end with a blank line.

/// Where the bytes of an event stream that were received so far end.
///
/// Lines end with a line feed, a carriage return, or both.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EventPosition {
    /// Before the first event, or after a blank line.
    #[default]
    BetweenEvents,
    /// In a line of an event.
    InLine,
    /// In an event, after a line feed.
    AfterLineFeed,
    /// In an event, after a carriage return that a line feed may follow.
    AfterCarriageReturn,
    /// After a blank line that ends with a carriage return, which a line feed may follow.
    AfterBlankLine,
}

impl EventPosition {
    /// Advances over `data` and returns the offset after the last event that ends in it.
    pub fn advance(&mut self, data: &[u8]) -> Option<usize> {
        let mut last_end = None;
        for (offset, byte) in data.iter().enumerate() {
            *self = self.after(*byte);
            if *self == Self::BetweenEvents {
                last_end = Some(offset + 1);
            }
        }
        last_end
    }

    /// Returns the length of the first event in `data`, `None` if it does not end there. A blank line
    /// before an event counts as one.
    pub fn first_event_bytes(data: &[u8]) -> Option<usize> {
        let mut position = Self::default();
        let end = data.iter().position(|byte| {
            position = position.after(*byte);
            position == Self::BetweenEvents
        })?;
        Some(end + 1)
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(self) -> bool {
        !matches!(self, Self::BetweenEvents | Self::AfterBlankLine)
    }

    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::BetweenEvents, b'\n' | b'\r') => Self::BetweenEvents,
            (Self::AfterLineFeed | Self::AfterBlankLine, b'\n') => Self::BetweenEvents,
            (Self::AfterCarriageReturn | Self::AfterBlankLine, b'\r') => Self::BetweenEvents,
            (Self::AfterLineFeed, b'\r') => Self::AfterBlankLine,
            (Self::InLine | Self::AfterCarriageReturn, b'\n') => Self::AfterLineFeed,
            (Self::InLine, b'\r') => Self::AfterCarriageReturn,
            _ => Self::InLine,
        }
    }
}
