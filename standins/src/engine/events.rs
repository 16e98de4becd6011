//! Cache events of an engine, shown late and with gaps.

use super::cache::LevelChange;
use super::prompt::BLOCK_TOKENS;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Instant;

/// Largest number of events kept.
const KEPT_EVENTS: usize = 20_000;
/// Largest number of events in one page.
const PAGE_EVENTS: usize = 2_000;

/// Cache event in the form that callers see.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// A prefix is cached.
    Stored {
        /// Sequence number.
        sequence: u64,
        /// Key that the request named for the level.
        prefix_key: u64,
        /// Tokens up to the end of the level.
        tokens: u32,
    },
    /// A prefix is no longer wholly cached.
    Evicted {
        /// Sequence number.
        sequence: u64,
        /// Key that the request named for the level.
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

/// Events of one incarnation.
#[derive(Default)]
pub struct EventLog {
    next_sequence: u64,
    events: VecDeque<(Instant, Event)>,
}

impl EventLog {
    /// Records `change`, to be shown from `shown_at` on, or leaves a gap if it is `lost`.
    pub fn record(&mut self, change: LevelChange, shown_at: Instant, lost: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if lost {
            return;
        }
        let event = match change {
            LevelChange::Stored { key, blocks } => {
                let tokens = u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS);
                Event::Stored { sequence, prefix_key: key, tokens }
            }
            LevelChange::Evicted { key } => Event::Evicted { sequence, prefix_key: key },
        };
        self.events.push_back((shown_at, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from sequence number `from` on that show at `now`, and the number to ask
    /// for next.
    pub fn page(&self, from: u64, now: Instant) -> (Vec<Event>, u64) {
        let shown = self.events.iter().take_while(|(shown_at, _)| *shown_at <= now);
        let events: Vec<Event> = shown
            .map(|(_, event)| *event)
            .filter(|event| event.sequence() >= from)
            .take(PAGE_EVENTS)
            .collect();
        let next = events.last().map_or(from, |event| event.sequence() + 1);
        (events, next)
    }

    /// Returns the sequence number that the next event will get.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }
}
