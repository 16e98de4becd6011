//! Leases: appends their records to the log and provides the leases that this node holds.

use super::{ControlContext, ControlState};
use crate::decision::leases::{HeldLease, LeaseCommand, LeaseEvent, LeaseKind};
use crate::metrics::LeaseLabels;
use crate::ports::{LogPage, LogStream};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Instant;
use strum::IntoEnumIterator;

impl ControlState {
    /// Folds the records of a page of the stream `leases`.
    pub(super) fn apply_lease_page(&mut self, page: LogPage, now: Instant) {
        let from_offset = self.leases.next_offset();
        self.apply_lease_event(LeaseEvent::Page { page, from_offset }, now);
    }

    /// Acquires and renews leases, unless the node stops or has no document yet.
    pub(super) fn tick_leases(&mut self, now: Instant) {
        let desired: BTreeSet<LeaseKind> = match &self.document {
            Some(_) if !self.is_stopping => LeaseKind::iter().collect(),
            _ => BTreeSet::new(),
        };
        self.apply_lease_event(LeaseEvent::Desired(desired), now);
        self.update_lease_metrics(now);
    }

    fn update_lease_metrics(&self, now: Instant) {
        let metrics = &self.context.metrics;
        let held = LeaseKind::iter().filter(|kind| self.leases.held(*kind, now).is_some());
        metrics.leases_held.set(i64::try_from(held.count()).unwrap_or(i64::MAX));
        for kind in LeaseKind::iter() {
            let labels = LeaseLabels { lease: kind.to_string() };
            let number = i64::try_from(self.leases.fencing_number(kind)).unwrap_or(i64::MAX);
            metrics.lease_fencing_number.get_or_create(&labels).set(number);
        }
    }

    /// Releases all leases for the shutdown of the node.
    pub(super) fn release_leases(&mut self, now: Instant) {
        self.apply_lease_event(LeaseEvent::Stop, now);
    }

    /// Returns the lease of `kind` if this node holds it now.
    pub(super) fn held_lease(&self, kind: LeaseKind) -> Option<HeldLease> {
        self.leases.held(kind, Instant::now())
    }

    fn apply_lease_event(&mut self, event: LeaseEvent, now: Instant) {
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

/// Appends `record` to `stream` as JSON. A failure is only logged: the decision that created the
/// record repeats it until it is read back.
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
