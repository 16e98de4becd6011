//! Suspensions of the machine. The monotonic clock stops meanwhile, so deadlines measured with it
//! expire too late: suspensions are detected, or counted in.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Minimum growth of the clocks' difference that counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Compares the boot-time clock, which includes suspension, with the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    /// Lead of the boot-time clock at the last check.
    offset: Duration,
}

impl SuspensionDetector {
    /// Returns a detector of suspensions from now on.
    pub fn new() -> Self {
        Self { offset: clock_offset() }
    }

    /// Returns for how long the machine was suspended since the last call, `None` if it was not.
    pub fn take_suspension(&mut self) -> Option<Duration> {
        let offset = clock_offset();
        let gap = offset.saturating_sub(self.offset);
        self.offset = offset;
        (gap >= MIN_SUSPENSION).then_some(gap)
    }
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self::new()
    }
}

/// Clock that goes on while the machine is suspended, as moments of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Lead of the boot-time clock at the creation.
    lead_at_start: Duration,
}

impl BootClock {
    /// Returns a clock that agrees with the monotonic clock until the next suspension.
    pub fn new() -> Self {
        Self::with_lead(clock_offset())
    }

    /// Returns a clock that is created while the boot-time clock leads the monotonic one by `lead`.
    pub fn with_lead(lead: Duration) -> Self {
        Self { lead_at_start: lead }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Instant {
        self.at(Instant::now(), clock_offset())
    }

    /// Returns the moment at which the monotonic clock shows `monotonic`, and the boot-time clock leads
    /// it by `lead`.
    pub fn at(&self, monotonic: Instant, lead: Duration) -> Instant {
        monotonic + lead.saturating_sub(self.lead_at_start)
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the lead of the boot-time clock over the monotonic clock.
fn clock_offset() -> Duration {
    read_clock(ClockId::Boottime).saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
