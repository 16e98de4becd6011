//! Leases on the platform's log: at most one node at a time holds each lease.
//!
//! A lease is a record on the stream `leases`. Each record names the offset of the record it
//! replaces, so log order alone decides the holder and every node computes the same one. The
//! holder counts its deadline from before it sent the append, and extends it only after it has
//! read its own record back. All other nodes count from when they read the record, plus a margin
//! for clock drift.

pub mod deadlines;
pub mod messages;
pub mod settings;
pub mod stream;
pub mod table;

pub use deadlines::{drift_margin, reader_deadline};
pub use messages::{LeaseAction, LeaseCommand, LeaseEvent, LeaseKind, LeaseRecord};
pub use settings::LeaseSettings;
pub use stream::StreamRecord;
pub use table::LeaseStreamRecord;

use crate::ports::LogPage;
use crate::types::{InstanceId, LogOffset};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use table::LeaseTable;

/// Lease that this node holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Fencing number of orders under the lease: offset of the record that acquired it.
    pub fencing_number: LogOffset,
    /// From when this node may no longer use the lease, unless it renews it before.
    pub deadline: Instant,
    /// Earliest time for orders to servers that don't check fencing numbers; by then the orders of
    /// earlier holders have taken effect.
    pub unfenced_orders_allowed_at: Instant,
}

/// Record that was sent to the log and has not been read back.
#[derive(Clone, Debug)]
struct PendingAppend {
    record: LeaseRecord,
    first_sent_at: Instant,
    repeat_at: Instant,
}

/// Leases as read from the log, and those that this node holds; owned by the control thread.
#[derive(Clone, Debug)]
pub struct LeaseState {
    instance: InstanceId,
    settings: LeaseSettings,
    table: LeaseTable,
    held: BTreeMap<LeaseKind, HeldLease>,
    pending: BTreeMap<LeaseKind, PendingAppend>,
    desired: BTreeSet<LeaseKind>,
    last_attempt: u64,
}

impl LeaseState {
    /// Returns the state of a node that has read nothing.
    pub fn new(instance: InstanceId, settings: LeaseSettings) -> Self {
        Self {
            table: LeaseTable::new(&instance, settings.lease_ms),
            instance,
            settings,
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            desired: BTreeSet::new(),
            last_attempt: 0,
        }
    }

    /// Applies `event` and returns the resulting commands.
    pub fn apply(&mut self, event: LeaseEvent, now: Instant) -> Vec<LeaseCommand> {
        match event {
            LeaseEvent::Page { page, from_offset } => self.fold_page(&page, from_offset, now),
            LeaseEvent::Desired(kinds) => {
                self.desired = kinds;
                self.tick(now)
            }
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Stop => self.stop(now),
        }
    }

    /// Returns the lease of `kind` if this node may use it at `now`, which must be read immediately
    /// before each order.
    pub fn held(&self, kind: LeaseKind, now: Instant) -> Option<HeldLease> {
        self.held.get(&kind).copied().filter(|held| now < held.deadline)
    }

    /// Returns the last holder of `kind` as read from the log, even if its lease has lapsed.
    pub fn holder(&self, kind: LeaseKind) -> Option<&InstanceId> {
        self.table.entry(kind)?.holder.as_ref()
    }

    /// Returns the fencing number of the last acquisition of `kind`, 0 if none was read.
    pub fn fencing_number(&self, kind: LeaseKind) -> LogOffset {
        self.table.entry(kind).map_or(0, |entry| entry.fencing_number)
    }

    /// Returns the offset to read the log from next.
    pub fn next_offset(&self) -> LogOffset {
        self.table.next_offset()
    }

    fn fold_page(
        &mut self,
        page: &LogPage,
        from_offset: LogOffset,
        now: Instant,
    ) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        for record in self.table.fold_page(page, from_offset, now) {
            if record.holder == self.instance {
                self.apply_own_record(&record, &mut commands);
            } else if self.held.remove(&record.kind).is_some() {
                commands.push(LeaseCommand::Lost { kind: record.kind });
            }
        }
        self.pending
            .retain(|kind, pending| pending.record.replaces == self.table.last_offset(*kind));
        commands
    }

    /// Applies a record of this instance that took effect. Only a pending append extends the lease:
    /// the send time of other records is unknown.
    fn apply_own_record(&mut self, record: &LeaseRecord, commands: &mut Vec<LeaseCommand>) {
        let fencing_number = self.fencing_number(record.kind);
        let LeaseAction::Hold { lease_ms } = record.action else {
            self.held.remove(&record.kind);
            return;
        };
        let Some(pending) = self.pending.get(&record.kind) else { return };
        if pending.record.attempt != record.attempt {
            return;
        }
        let deadline = pending.first_sent_at + Duration::from_millis(lease_ms);
        let renewed =
            self.held.get(&record.kind).filter(|held| held.fencing_number == fencing_number);
        let unfenced_orders_allowed_at = match renewed {
            Some(held) => held.unfenced_orders_allowed_at,
            None => pending.first_sent_at + Duration::from_millis(self.settings.order_transit_ms),
        };
        if renewed.is_none() {
            commands.push(LeaseCommand::Acquired { kind: record.kind, fencing_number });
        }
        let held = HeldLease { fencing_number, deadline, unfenced_orders_allowed_at };
        self.held.insert(record.kind, held);
    }

    fn tick(&mut self, now: Instant) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        self.drop_lapsed(now, &mut commands);
        commands.extend(self.table.take_due_maintenance(now).map(LeaseCommand::Append));
        for kind in self.desired.clone() {
            if let Some(record) = self.due_append(kind, now) {
                commands.push(LeaseCommand::Append(StreamRecord::Change(record)));
            }
        }
        commands
    }

    fn drop_lapsed(&mut self, now: Instant, commands: &mut Vec<LeaseCommand>) {
        self.held.retain(|kind, held| {
            let is_valid = now < held.deadline;
            if !is_valid {
                commands.push(LeaseCommand::Lost { kind: *kind });
            }
            is_valid
        });
    }

    /// Returns the record to append for `kind`: a pending one to repeat, or a new one that acquires
    /// or renews the lease.
    fn due_append(&mut self, kind: LeaseKind, now: Instant) -> Option<LeaseRecord> {
        if let Some(pending) = self.pending.get_mut(&kind) {
            if now < pending.repeat_at {
                return None;
            }
            pending.repeat_at = now + Duration::from_millis(self.settings.repeat_append_after_ms);
            return Some(pending.record.clone());
        }
        let is_due = match self.held(kind, now) {
            Some(held) => now >= self.renew_at(held),
            None => self.table.can_acquire(&self.instance, kind, now),
        };
        is_due.then(|| {
            let action = LeaseAction::Hold { lease_ms: self.settings.lease_ms };
            self.start_append(kind, action, now)
        })
    }

    /// Returns when to renew: `renew_after_ms` after the append behind the deadline was first sent.
    fn renew_at(&self, held: HeldLease) -> Instant {
        held.deadline - Duration::from_millis(self.settings.lease_ms - self.settings.renew_after_ms)
    }

    /// Creates a record and keeps it as pending until it is read back.
    fn start_append(&mut self, kind: LeaseKind, action: LeaseAction, now: Instant) -> LeaseRecord {
        self.last_attempt += 1;
        let record = LeaseRecord {
            kind,
            holder: self.instance.clone(),
            attempt: self.last_attempt,
            replaces: self.table.last_offset(kind),
            action,
        };
        let pending = PendingAppend {
            record: record.clone(),
            first_sent_at: now,
            repeat_at: now + Duration::from_millis(self.settings.repeat_append_after_ms),
        };
        self.pending.insert(kind, pending);
        record
    }

    /// Releases all held leases, and acquires none from now on.
    fn stop(&mut self, now: Instant) -> Vec<LeaseCommand> {
        self.desired.clear();
        let kinds: Vec<LeaseKind> = self.held.keys().copied().collect();
        self.held.clear();
        kinds
            .into_iter()
            .map(|kind| self.start_append(kind, LeaseAction::Release, now))
            .map(|record| LeaseCommand::Append(StreamRecord::Change(record)))
            .collect()
    }
}
