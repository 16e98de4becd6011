//! Folds the stream `configuration` and puts its documents in force.

use super::ControlState;
use crate::admin::ConfigurationView;
use crate::decision::configuration::{ConfigurationCommand, ConfigurationEvent};
use crate::logging::Quoted;
use crate::ports::LogPage;
use std::sync::Arc;
use std::time::Instant;

impl ControlState {
    /// Folds the records of `page` and puts the resulting document in force if it changed.
    pub(super) fn apply_configuration_page(&mut self, page: LogPage, now: Instant) {
        self.apply_configuration_event(ConfigurationEvent::LogRead(page), now);
    }

    /// Applies an event to the follower and executes the resulting commands.
    pub(super) fn apply_configuration_event(&mut self, event: ConfigurationEvent, now: Instant) {
        let commands = self.configuration.apply(event);
        let is_expiry_published =
            self.admin.configuration.expired_to == self.configuration.expired_to();
        if commands.is_empty() && is_expiry_published {
            return;
        }
        for command in commands {
            self.execute_configuration_command(command, now);
        }
        self.publish_configuration();
    }

    /// Updates the configuration in the administration view and in the metrics.
    fn publish_configuration(&mut self) {
        let view = ConfigurationView::from(&self.configuration);
        let metrics = &self.context.metrics;
        metrics.document_revision.set(gauge_value(view.announcement.in_force));
        let accepted = view.state.as_ref().map_or(0, |state| state.revision);
        metrics.document_accepted_revision.set(gauge_value(accepted));
        let is_held_back = view.held_back.is_some() || view.newer_record.is_some();
        metrics.document_held_back.set(i64::from(is_held_back));
        Arc::make_mut(&mut self.admin).configuration = Arc::new(view);
        self.publish_nodes();
    }

    fn execute_configuration_command(&mut self, command: ConfigurationCommand, now: Instant) {
        match command {
            ConfigurationCommand::PutInForce(document) => self.put_in_force(document, now),
            ConfigurationCommand::Announce(announcement) => {
                log::debug!(
                    "event=configuration_read offset={} in_force={}",
                    announcement.offset,
                    announcement.in_force
                );
                self.announce_configuration();
            }
            ConfigurationCommand::ReportMalformedRecord(record) => {
                self.context.metrics.configuration_bad_records.inc();
                log::error!(
                    "event=bad_configuration_record offset={} fault={}",
                    record.offset,
                    Quoted(&record.reason)
                );
            }
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

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
