//! Schedule for republishing the state as a snapshot, so that the log always holds a base.

use super::follower::ConfigurationFollower;
use super::record::{ConfigurationRecord, Snapshot};
use bytes::Bytes;
use std::time::{Duration, Instant, SystemTime};

/// Time after which a snapshot that has not been read back from the log is appended again.
const RETRY_PERIOD: Duration = Duration::from_secs(10);

/// Schedule of snapshots on the node that holds the lease for them.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotSchedule {
    period: Duration,
    next_append_at: Option<Instant>,
}

impl SnapshotSchedule {
    /// Returns a schedule that keeps the latest base record younger than `period`, plus the time
    /// that an append takes.
    pub fn new(period: Duration) -> Self {
        Self { period, next_append_at: None }
    }

    /// Returns the payload to append now, if any. `wall_now` is compared with append times by the
    /// log's clock.
    pub fn take_due_snapshot(
        &mut self,
        follower: &ConfigurationFollower,
        now: Instant,
        wall_now: SystemTime,
    ) -> Option<Bytes> {
        let state = follower.state()?;
        let is_complete = follower.newer_record().is_none() && state.applied > 0;
        let is_recent = follower.base_appended_at().is_some_and(|at| wall_now < at + self.period);
        if is_recent {
            self.next_append_at = None;
        }
        let is_waiting = self.next_append_at.is_some_and(|at| now < at);
        if !is_complete || is_recent || is_waiting {
            return None;
        }
        self.next_append_at = Some(now + RETRY_PERIOD);
        let snapshot = Snapshot { state: state.as_ref().clone() };
        Some(ConfigurationRecord::Snapshot(snapshot).encode())
    }
}
