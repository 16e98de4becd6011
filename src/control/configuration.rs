//! Follows the `configuration` stream and puts its documents in force.

use super::ControlState;
use crate::decision::configuration::{ConfigurationCommand, ConfigurationEvent};
use crate::logging::Quoted;
use crate::ports::LogPage;
use std::time::Instant;

impl ControlState {
    /// Folds in the records of `page` and puts the resulting document in force if it changed.
    pub(super) fn apply_configuration(&mut self, page: LogPage, now: Instant) {
        self.apply_configuration_event(ConfigurationEvent::Page(page), now);
    }

    /// Applies an event to the follower and carries out its commands.
    pub(super) fn apply_configuration_event(&mut self, event: ConfigurationEvent, now: Instant) {
        for command in self.configuration.apply(event) {
            self.carry_out_configuration(command, now);
        }
    }

    fn carry_out_configuration(&mut self, command: ConfigurationCommand, now: Instant) {
        match command {
            ConfigurationCommand::PutInForce(document) => self.put_in_force(document, now),
            ConfigurationCommand::Announce(announcement) => {
                log::debug!(
                    "event=configuration_read offset={} in_force={}",
                    announcement.offset,
                    announcement.in_force
                );
            }
            ConfigurationCommand::ReportBadRecord(bad) => log::error!(
                "event=bad_configuration_record offset={} fault={}",
                bad.offset,
                Quoted(&bad.reason)
            ),
            ConfigurationCommand::ReportSnapshotDiffers(offset) => {
                log::error!("event=configuration_snapshot_differs offset={offset}");
            }
            ConfigurationCommand::ReportHeldBack(revision, faults) => log::error!(
                "event=document_held_back revision={revision} faults={}",
                Quoted(faults.to_string().replace('\n', "; "))
            ),
            ConfigurationCommand::ReportNewerFormat(offset, format) => {
                log::error!("event=newer_configuration_record offset={offset} format={format}");
            }
        }
    }
}
