//! Token bucket whose rate can change.

use std::time::{Duration, Instant};

/// Maximum wait that a bucket reports, also if its rate is 0.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Token bucket whose level may go negative.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Units that may be taken now.
    level: f64,
    /// Units added per second.
    rate_per_s: f64,
    /// Maximum level.
    burst: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self { level: burst, rate_per_s, burst, updated_at: now }
    }

    /// Changes rate and burst; keeps the fraction to which the bucket is filled.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.level = if self.burst > 0.0 { self.level / self.burst * burst } else { burst };
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    /// Returns when `cost` can be taken; a cost above the burst needs only a full bucket.
    pub fn available_at(&mut self, cost: f64, now: Instant) -> Instant {
        self.refill(now);
        let missing = cost.min(self.burst) - self.level;
        if missing <= 0.0 {
            return now;
        }
        let wait_s = (missing / self.rate_per_s).min(MAX_WAIT.as_secs_f64());
        now + Duration::from_secs_f64(wait_s)
    }

    /// Takes `cost`; a level below zero delays later requests until it has refilled.
    pub fn take(&mut self, cost: f64, now: Instant) {
        self.refill(now);
        self.level -= cost;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + elapsed_s * self.rate_per_s).min(self.burst);
    }
}
