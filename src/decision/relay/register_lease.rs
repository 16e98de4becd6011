//! Lease in a register of the record store that supports conditional replacement. The node that
//! replaces the newest record holds the lease, and the number of its record is the fencing number.
//!
//! The holder counts the lease period from before it replaced the record. All other nodes count it
//! from when they first knew of the record and add a margin for clock drift, so that a successor
//! starts only after the holder has stopped.
//!
//! A restored store may lack the record of the current holder and give out its number again. Numbers
//! are positions, so that those of a later era are higher; and a node acquires the lease only after
//! it has known the store's era for as long as a lease of an earlier era can last.

use crate::decision::leases::reader_deadline;
use crate::types::{InstanceId, LogPosition, StoreEra, log_position};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Number of a register record; each replacement has a higher one. It is the record's position, so
/// that numbers after a restore of the store are higher than those before.
pub type FencingNumber = LogPosition;

/// Record of the register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisterRecord {
    /// Fencing number, 0 before the first record.
    pub number: FencingNumber,
    /// Instance that holds the lease.
    pub holder: InstanceId,
}

/// Newest known record.
#[derive(Clone, Debug)]
struct KnownRecord {
    record: RegisterRecord,
    /// When its lease has certainly expired.
    free_at: Instant,
}

/// Lease held by this node.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    number: FencingNumber,
    /// When this node must stop acting as the holder.
    deadline: Instant,
}

/// One node's view of the lease.
#[derive(Clone, Debug)]
pub struct RegisterLease {
    instance: InstanceId,
    lease_ms: u64,
    known: Option<KnownRecord>,
    held: Option<HeldLease>,
    /// Newest known era of the store, and when leases of earlier eras have certainly expired.
    era: Option<(StoreEra, Instant)>,
}

impl RegisterLease {
    /// Returns the lease of a node that has not read the register yet.
    pub fn new(instance: InstanceId, lease_ms: u64) -> Self {
        Self { instance, lease_ms, known: None, held: None, era: None }
    }

    /// Records that the store is in `era`. A lease held under an earlier era ends at its deadline.
    pub fn observe_era(&mut self, era: StoreEra, now: Instant) {
        if self.era.is_none_or(|(known, _)| era > known) {
            self.era = Some((era, reader_deadline(now, self.lease_ms)));
        }
    }

    /// Applies a record read from the register or received from a partner, if it is the newest.
    pub fn observe(&mut self, record: RegisterRecord, now: Instant) {
        let known_number = self.known.as_ref().map(|known| known.record.number);
        if known_number.is_some_and(|known| record.number <= known) {
            return;
        }
        if self.held.is_some_and(|held| record.number > held.number) {
            self.held = None;
        }
        self.observe_era(log_position::era(record.number), now);
        let is_unclaimed = log_position::offset(record.number) == 0;
        let free_at = if is_unclaimed { now } else { reader_deadline(now, self.lease_ms) };
        self.known = Some(KnownRecord { record, free_at });
    }

    /// Returns the newest known record.
    pub fn known(&self) -> Option<&RegisterRecord> {
        self.known.as_ref().map(|known| &known.record)
    }

    /// Whether the register must be read: no record is known, or only one of an earlier era, which
    /// can neither be replaced nor be held any more.
    pub fn needs_read(&self) -> bool {
        let Some(known) = &self.known else { return true };
        let known_era = log_position::era(known.record.number);
        self.era.is_some_and(|(era, _over_at)| known_era < era)
    }

    /// Returns the number of the record to replace if this node may acquire or renew the lease now.
    pub fn replaceable_number(&self, now: Instant) -> Option<FencingNumber> {
        let known = self.known.as_ref()?;
        let is_renewal = self.held.is_some_and(|held| held.number == known.record.number);
        let is_holder = known.record.holder == self.instance;
        let may_replace = is_renewal || self.are_earlier_eras_over(known.record.number, now);
        (may_replace && (is_holder || now >= known.free_at)).then_some(known.record.number)
    }

    /// Whether no lease of an era before that of `number` can be held any more. A store that was
    /// never restored has none.
    fn are_earlier_eras_over(&self, number: FencingNumber, now: Instant) -> bool {
        let Some((era, over_at)) = self.era else { return false };
        log_position::era(number) == era && (era == 0 || now >= over_at)
    }

    /// Records that this node replaced the register's record with a request sent at `sent_at`.
    pub fn acquire(&mut self, number: FencingNumber, sent_at: Instant) {
        let deadline = sent_at + Duration::from_millis(self.lease_ms);
        self.held = Some(HeldLease { number, deadline });
        let record = RegisterRecord { number, holder: self.instance.clone() };
        let free_at = reader_deadline(sent_at, self.lease_ms);
        self.known = Some(KnownRecord { record, free_at });
    }

    /// Drops the held lease, after an order was fenced off or the process was suspended.
    pub fn drop_lease(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number if this node holds the lease at `now`.
    pub fn fencing_number(&self, now: Instant) -> Option<FencingNumber> {
        self.held.filter(|held| now < held.deadline).map(|held| held.number)
    }

    /// Whether at most half of the held lease's period is left.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let half = Duration::from_millis(self.lease_ms / 2);
        self.held.is_some_and(|held| now + half >= held.deadline)
    }
}
