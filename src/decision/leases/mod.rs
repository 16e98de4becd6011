//! Leases on the platform's log: who may give orders, until when, under which fencing number.
//!
//! A lease is a record on the stream `leases`. Each record names the offset of the record it
//! replaces, so log order alone decides who holds a lease and every reader computes the same
//! holder. A holder counts its deadline from before the append was sent and extends it only when
//! it reads its own record back; everybody else counts from when they read the record, plus a
//! drift margin.

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

use crate::types::{InstanceId, LogOffset};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use table::LeaseTable;

/// Lease that this node holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Offset of the record that acquired the lease.
    pub fencing_number: LogOffset,
    /// From when the lease may no longer be used.
    pub deadline: Instant,
    /// From when orders to servers that ignore fencing numbers may be given.
    pub unfenced_orders_allowed_at: Instant,
}

/// Append that has not been read back yet.
#[derive(Clone, Debug)]
struct PendingAppend {
    record: LeaseRecord,
    first_sent_at: Instant,
    repeat_at: Instant,
}

/// Leases as one node sees and holds them; owned by the control thread.
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
    /// Returns the state of a node that has read nothing yet.
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

    /// Applies `event` and returns what to do.
    pub fn apply(&mut self, event: LeaseEvent, now: Instant) -> Vec<LeaseCommand> {
        match event {
            LeaseEvent::Page { page, from_offset } => self.read_page(&page, from_offset, now),
            LeaseEvent::Desired(kinds) => {
                self.desired = kinds;
                self.tick(now)
            }
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Stop => self.stop(now),
        }
    }

    /// Returns the held lease of `kind` if it may be used at `now`. To be called with the time
    /// read immediately before each order.
    pub fn held(&self, kind: LeaseKind, now: Instant) -> Option<HeldLease> {
        self.held.get(&kind).copied().filter(|held| now < held.deadline)
    }

    /// Returns who holds `kind` as far as the log was read, lapsed or not.
    pub fn holder(&self, kind: LeaseKind) -> Option<&InstanceId> {
        self.table.entry(kind)?.holder.as_ref()
    }

    /// Returns the fencing number of the last acquisition of `kind`, 0 if none was read.
    pub fn fencing_number(&self, kind: LeaseKind) -> LogOffset {
        self.table.entry(kind).map_or(0, |entry| entry.fencing_number)
    }

    /// Returns the offset to read the log from.
    pub fn next_offset(&self) -> LogOffset {
        self.table.next_offset()
    }

    fn read_page(
        &mut self,
        page: &crate::ports::LogPage,
        from_offset: LogOffset,
        now: Instant,
    ) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        for record in self.table.fold_page(page, from_offset, now) {
            if record.holder == self.instance {
                self.confirm(&record, &mut commands);
            } else if self.held.remove(&record.kind).is_some() {
                commands.push(LeaseCommand::Lost { kind: record.kind });
            }
        }
        self.pending.retain(|kind, pending| pending.record.replaces == self.table.offset(*kind));
        commands
    }

    fn confirm(&mut self, record: &LeaseRecord, commands: &mut Vec<LeaseCommand>) {
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
        commands.extend(self.table.upkeep(now).map(LeaseCommand::Append));
        for kind in self.desired.clone() {
            if let Some(record) = self.next_append(kind, now) {
                commands.push(LeaseCommand::Append(StreamRecord::Change(record)));
            }
        }
        commands
    }

    fn drop_lapsed(&mut self, now: Instant, commands: &mut Vec<LeaseCommand>) {
        self.held.retain(|kind, held| {
            let lasts = now < held.deadline;
            if !lasts {
                commands.push(LeaseCommand::Lost { kind: *kind });
            }
            lasts
        });
    }

    fn next_append(&mut self, kind: LeaseKind, now: Instant) -> Option<LeaseRecord> {
        if let Some(pending) = self.pending.get_mut(&kind) {
            if now < pending.repeat_at {
                return None;
            }
            pending.repeat_at = now + Duration::from_millis(self.settings.repeat_ms);
            return Some(pending.record.clone());
        }
        let due = match self.held(kind, now) {
            Some(held) => now >= self.renew_at(held),
            None => self.table.is_open_to(&self.instance, kind, now),
        };
        due.then(|| {
            let action = LeaseAction::Hold { lease_ms: self.settings.lease_ms };
            self.send(kind, action, now)
        })
    }

    fn renew_at(&self, held: HeldLease) -> Instant {
        held.deadline - Duration::from_millis(self.settings.lease_ms - self.settings.renew_ms)
    }

    fn send(&mut self, kind: LeaseKind, action: LeaseAction, now: Instant) -> LeaseRecord {
        self.last_attempt += 1;
        let record = LeaseRecord {
            kind,
            holder: self.instance.clone(),
            attempt: self.last_attempt,
            replaces: self.table.offset(kind),
            action,
        };
        let pending = PendingAppend {
            record: record.clone(),
            first_sent_at: now,
            repeat_at: now + Duration::from_millis(self.settings.repeat_ms),
        };
        self.pending.insert(kind, pending);
        record
    }

    fn stop(&mut self, now: Instant) -> Vec<LeaseCommand> {
        self.desired.clear();
        let kinds: Vec<LeaseKind> = self.held.keys().copied().collect();
        self.held.clear();
        kinds
            .into_iter()
            .map(|kind| self.send(kind, LeaseAction::Release, now))
            .map(|record| LeaseCommand::Append(StreamRecord::Change(record)))
            .collect()
    }
}
