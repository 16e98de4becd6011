//! Folds the `configuration` stream and puts its documents in force.

use super::ControlState;
use crate::decision::configuration::{ConfigurationRecord, RecordEffect, checked_document};
use crate::ports::{LogPage, LogRecord};
use std::sync::Arc;
use std::time::Instant;

impl ControlState {
    /// Folds in the records of `page` and puts the resulting document in force if it changed.
    pub(super) fn apply_configuration(&mut self, page: &LogPage, now: Instant) {
        let mut changed = false;
        for record in &page.records {
            changed |= self.fold_configuration(record);
        }
        if !changed {
            return;
        }
        match checked_document(&self.configuration) {
            Ok(document) => self.put_in_force(Arc::new(document), now),
            Err(faults) => {
                let faults = faults.to_string().replace('\n', "; ");
                log::error!("event=document_not_understood faults=\"{faults}\"");
            }
        }
    }

    fn fold_configuration(&mut self, at: &LogRecord) -> bool {
        if at.offset <= self.configuration.applied {
            return false;
        }
        let record = match ConfigurationRecord::decode(&at.payload) {
            Ok(record) => record,
            Err(fault) => {
                log::error!(
                    "event=bad_configuration_record offset={} fault=\"{fault}\"",
                    at.offset
                );
                self.configuration.skip(at.offset);
                return false;
            }
        };
        if let (0, ConfigurationRecord::Snapshot(snapshot)) = (self.configuration.applied, &record)
        {
            self.configuration = snapshot.state.clone();
            self.configuration.applied = at.offset;
            return true;
        }
        self.configuration.fold(at, &record) == RecordEffect::Changed
    }
}
