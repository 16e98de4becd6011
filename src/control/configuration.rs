//! Follows the `configuration` stream and puts its documents in force.

use super::ControlState;
use crate::admin::ConfigurationView;
use crate::decision::configuration::{ConfigurationCommand, ConfigurationEvent};
use crate::logging::Quoted;
use crate::ports::LogPage;
use std::sync::Arc;
use std::time::Instant;

impl ControlState {
    /// Folds in the records of `page` and puts the resulting document in force if it changed.
    pub(super) fn apply_configuration(&mut self, page: LogPage, now: Instant) {
        self.apply_configuration_event(ConfigurationEvent::LogRead(page), now);
    }

    /// Applies an event to the follower and carries out its commands.
    pub(super) fn apply_configuration_event(&mut self, event: ConfigurationEvent, now: Instant) {
        let commands = self.configuration.apply(event);
        let is_shown = self.admin.configuration.expired_to == self.configuration.expired_to();
        if commands.is_empty() && is_shown {
            return;
        }
        for command in commands {
            self.carry_out_configuration(command, now);
        }
        self.publish_configuration();
    }

    /// Makes the configuration visible to the administration API and to monitoring.
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

    fn carry_out_configuration(&mut self, command: ConfigurationCommand, now: Instant) {
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
            ConfigurationCommand::ReportMalformedRecord(bad) => {
                self.context.metrics.configuration_bad_records.inc();
                log::error!(
                    "event=bad_configuration_record offset={} fault={}",
                    bad.offset,
                    Quoted(&bad.reason)
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

fn gauge_value(offset: u64) -> i64 {
    i64::try_from(offset).unwrap_or(i64::MAX)
}
