//! Leases: carries the decision's records to the log and tells the other parts what is held.

use super::{ControlContext, ControlState};
use crate::decision::leases::{HeldLease, LeaseCommand, LeaseEvent, LeaseKind};
use crate::metrics::LeaseLabels;
use crate::ports::{LogPage, LogStream};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Instant;
use strum::IntoEnumIterator;

impl ControlState {
    /// Folds in records of the stream `leases`.
    pub(super) fn apply_lease_page(&mut self, page: LogPage, now: Instant) {
        let from_offset = self.leases.next_offset();
        self.advance_leases(LeaseEvent::Page { page, from_offset }, now);
    }

    /// Renews and takes leases; a node without a document has no use for them.
    pub(super) fn tick_leases(&mut self, now: Instant) {
        let desired: BTreeSet<LeaseKind> = match &self.document {
            Some(_) if !self.is_stopping => LeaseKind::iter().collect(),
            _ => BTreeSet::new(),
        };
        self.advance_leases(LeaseEvent::Desired(desired), now);
        self.export_leases(now);
    }

    fn export_leases(&self, now: Instant) {
        let metrics = &self.context.metrics;
        let held = LeaseKind::iter().filter(|kind| self.leases.held(*kind, now).is_some());
        metrics.leases_held.set(i64::try_from(held.count()).unwrap_or(i64::MAX));
        for kind in LeaseKind::iter() {
            let labels = LeaseLabels { lease: kind.to_string() };
            let number = i64::try_from(self.leases.fencing_number(kind)).unwrap_or(i64::MAX);
            metrics.lease_fencing_number.get_or_create(&labels).set(number);
        }
    }

    /// Gives held leases up.
    pub(super) fn stop_leases(&mut self, now: Instant) {
        self.advance_leases(LeaseEvent::Stop, now);
    }

    /// Returns the lease of `kind` if this node holds it now.
    pub(super) fn held_lease(&self, kind: LeaseKind) -> Option<HeldLease> {
        self.leases.held(kind, Instant::now())
    }

    fn advance_leases(&mut self, event: LeaseEvent, now: Instant) {
        for command in self.leases.apply(event, now) {
            match command {
                LeaseCommand::Append(record) => {
                    append_record(&self.context, LogStream::Leases, &record);
                }
                LeaseCommand::Acquired { kind, fencing_number } => {
                    log::info!("event=lease_acquired lease={kind} fencing_number={fencing_number}");
                }
                LeaseCommand::Lost { kind } => {
                    log::warn!(
                        "event=lease_lost lease={kind} holder={}",
                        self.leases.holder(kind).map_or("none", |holder| holder.as_str())
                    );
                }
            }
        }
    }
}

/// Appends `record` to `stream`, in JSON. Its author repeats it until it reads it back.
pub(super) fn append_record(context: &ControlContext, stream: LogStream, record: &impl Serialize) {
    let payload = match serde_json::to_vec(record) {
        Ok(payload) => payload,
        Err(error) => {
            log::error!("event=record_not_encoded stream={stream} error=\"{error}\"");
            return;
        }
    };
    let log = context.log.clone();
    context.spawn(async move {
        if let Err(error) = log.append(stream, payload.into()).await {
            log::warn!("event=append_failed stream={stream} {error}");
        }
    });
}
