//! Republishing of the configuration as a snapshot, while this node holds the lease for it.

use super::ControlState;
use crate::decision::leases::LeaseKind;
use crate::ports::LogStream;
use std::time::{Instant, SystemTime};

impl ControlState {
    /// Appends a snapshot to the stream `configuration` if one is due and this node holds the lease.
    pub(super) fn tick_republish(&mut self, now: Instant) {
        if self.held_lease(LeaseKind::ConfigurationSnapshot).is_none() {
            return;
        }
        let due =
            self.snapshot_schedule.take_due_snapshot(&self.configuration, now, SystemTime::now());
        let Some(payload) = due else { return };
        let log = self.context.log.clone();
        let bytes = payload.len();
        self.context.spawn(async move {
            match log.append(LogStream::Configuration, payload).await {
                Ok(offset) => {
                    log::info!("event=configuration_republished offset={offset} bytes={bytes}");
                }
                Err(error) => log::warn!("event=configuration_republish_failed {error}"),
            }
        });
    }
}
