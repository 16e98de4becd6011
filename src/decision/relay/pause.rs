//! Pause that a server has asked a node for.
//!
//! Each node is told its own time, but a server that turns many nodes away at once would get all of
//! their requests back in the same instant. Every node therefore stays away a little longer, by a
//! random part of the pause.

use std::time::{Duration, Instant};

/// Maximum pause that is heeded: a longer one would take the server out of service by mistake, and
/// it can ask again.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Maximum extension of a pause, as a fraction of it.
const MAX_EXTENSION: f64 = 0.15;

/// Minimum range of the extension.
const MIN_EXTENSION_RANGE: Duration = Duration::from_millis(250);

/// Pause that a server has asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    length: Duration,
    extension: Duration,
}

impl Pause {
    /// Returns the pause of `pause_ms`, extended by the fraction `random` (0 to 1) of the longest
    /// extension.
    pub fn new(pause_ms: u64, random: f64) -> Self {
        let length = Duration::from_millis(pause_ms).min(MAX_PAUSE);
        if length.is_zero() {
            return Self { length, extension: Duration::ZERO };
        }
        let range = length.mul_f64(MAX_EXTENSION).max(MIN_EXTENSION_RANGE);
        Self { length, extension: range.mul_f64(random.clamp(0.0, 1.0)) }
    }

    /// Returns when a pause that was asked for at `now` ends.
    pub fn end(self, now: Instant) -> Instant {
        now + self.length + self.extension
    }
}
