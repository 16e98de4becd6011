//! Units that were granted within a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Resolution of the window.
const SLOT: Duration = Duration::from_millis(100);

/// Units by the time at which they were granted.
#[derive(Clone, Debug)]
pub(super) struct WindowSum {
    /// Begin of a slot and the units in it, oldest first.
    slots: VecDeque<(Instant, i64)>,
    sum: i64,
    last_slot_at: Instant,
}

impl WindowSum {
    /// Returns an empty sum.
    pub(super) fn new(now: Instant) -> Self {
        Self { slots: VecDeque::new(), sum: 0, last_slot_at: now }
    }

    /// Adds units that are granted now; removes the newest ones if negative.
    pub(super) fn add(&mut self, units: i64, now: Instant) {
        if self.slots.is_empty() || now >= self.last_slot_at + SLOT {
            self.slots.push_back((now, 0));
            self.last_slot_at = now;
        }
        if let Some((_, slot_units)) = self.slots.back_mut() {
            *slot_units += units;
            self.sum += units;
        }
    }

    /// Returns the units within the window that ends now.
    pub(super) fn sum(&mut self, window: Duration, now: Instant) -> i64 {
        while let Some((slot_at, units)) = self.slots.front() {
            if *slot_at + SLOT + window > now {
                break;
            }
            self.sum -= units;
            self.slots.pop_front();
        }
        self.sum
    }
}
