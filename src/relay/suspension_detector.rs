//! Notices that the whole machine was suspended: the monotonic clock stands still meanwhile, so that
//! deadlines kept by it would hold too long.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Gap between the two clocks from which the machine counts as suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Compares the clock that counts suspension with the one that does not.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    offset: Duration,
}

impl SuspensionDetector {
    /// Returns a clock that compares from now on.
    pub fn new() -> Self {
        Self { offset: clock_offset() }
    }

    /// Returns for how long the machine was suspended since the last call, if it was.
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

/// Returns by how much the boot-time clock is ahead of the monotonic one.
fn clock_offset() -> Duration {
    read_clock(ClockId::Boottime).saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
