//! Cache events of an engine, delayed and with gaps where events are lost.

use super::cache::LevelChange;
use super::prompt::BLOCK_TOKENS;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Instant;

/// Maximum events retained; beyond it the oldest are dropped.
const MAX_EVENTS: usize = 20_000;
/// Maximum events in one page.
const MAX_PAGE_EVENTS: usize = 2_000;

/// Cache event in the JSON format of the engine protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// A prefix is now cached whole.
    Stored {
        /// Sequence number.
        sequence: u64,
        /// Prefix key.
        prefix_key: u64,
        /// Number of tokens in the prefix.
        tokens: u32,
    },
    /// A prefix is no longer cached whole.
    Evicted {
        /// Sequence number.
        sequence: u64,
        /// Prefix key.
        prefix_key: u64,
    },
}

impl Event {
    fn sequence(&self) -> u64 {
        match self {
            Self::Stored { sequence, .. } | Self::Evicted { sequence, .. } => *sequence,
        }
    }
}

/// Cache events of one incarnation.
#[derive(Default)]
pub struct EventLog {
    next_sequence: u64,
    /// Events with the time from which each is visible.
    events: VecDeque<(Instant, Event)>,
}

impl EventLog {
    /// Records `change` as an event that is visible from `visible_at`.
    ///
    /// If `is_lost`, the event is left out, and the gap shows in the sequence numbers.
    pub fn record(&mut self, change: LevelChange, visible_at: Instant, is_lost: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if is_lost {
            return;
        }
        let event = match change {
            LevelChange::Stored { key, blocks } => {
                let tokens = u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS);
                Event::Stored { sequence, prefix_key: key, tokens }
            }
            LevelChange::Evicted { key } => Event::Evicted { sequence, prefix_key: key },
        };
        self.events.push_back((visible_at, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from sequence number `from` that are visible at `now`, and the sequence
    /// number from which the next page starts.
    pub fn page(&self, from: u64, now: Instant) -> (Vec<Event>, u64) {
        let visible = self.events.iter().take_while(|(visible_at, _)| *visible_at <= now);
        let events: Vec<Event> = visible
            .map(|(_, event)| *event)
            .filter(|event| event.sequence() >= from)
            .take(MAX_PAGE_EVENTS)
            .collect();
        let next = events.last().map_or(from, |event| event.sequence() + 1);
        (events, next)
    }

    /// Returns the sequence number of the next event.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }
}
