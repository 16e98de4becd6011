//! Lease kept in a register of the record store that is replaced conditionally: the one who replaces
//! the newest record holds the lease, and the record's number is the fencing number.
//!
//! A holder counts its deadline from before it replaced the record. Everybody else counts from when
//! they first knew of the record, plus a drift margin, so that a successor starts later.

use crate::decision::leases::reader_deadline;
use crate::types::InstanceId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Number of a register record; each replacement has a higher one.
pub type FencingNumber = u64;

/// Record of the register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisterRecord {
    /// Number, 0 before the first record.
    pub number: FencingNumber,
    /// Instance that holds the lease.
    pub holder: InstanceId,
}

#[derive(Clone, Debug)]
struct KnownRecord {
    record: RegisterRecord,
    free_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    number: FencingNumber,
    deadline: Instant,
}

/// Lease as one node sees and holds it.
#[derive(Clone, Debug)]
pub struct RegisterLease {
    instance: InstanceId,
    lease_ms: u64,
    known: Option<KnownRecord>,
    held: Option<HeldLease>,
}

impl RegisterLease {
    /// Returns the lease of a node that knows nothing yet.
    pub fn new(instance: InstanceId, lease_ms: u64) -> Self {
        Self { instance, lease_ms, known: None, held: None }
    }

    /// Takes in the newest record, read from the register or told by a partner.
    pub fn observe(&mut self, record: RegisterRecord, now: Instant) {
        let known_number = self.known.as_ref().map(|known| known.record.number);
        if known_number.is_some_and(|known| record.number <= known) {
            return;
        }
        if self.held.is_some_and(|held| record.number > held.number) {
            self.held = None;
        }
        let is_free = record.number == 0;
        let free_at = if is_free { now } else { reader_deadline(now, self.lease_ms) };
        self.known = Some(KnownRecord { record, free_at });
    }

    /// Returns the newest record known.
    pub fn known(&self) -> Option<&RegisterRecord> {
        self.known.as_ref().map(|known| &known.record)
    }

    /// Returns the number of the record to replace, if this node may take or renew the lease now.
    pub fn replaceable_number(&self, now: Instant) -> Option<FencingNumber> {
        let known = self.known.as_ref()?;
        let is_own = known.record.holder == self.instance;
        (is_own || now >= known.free_at).then_some(known.record.number)
    }

    /// Takes in that this node replaced the register's record at `sent_at`.
    pub fn acquire(&mut self, number: FencingNumber, sent_at: Instant) {
        let deadline = sent_at + Duration::from_millis(self.lease_ms);
        self.held = Some(HeldLease { number, deadline });
        let record = RegisterRecord { number, holder: self.instance.clone() };
        let free_at = reader_deadline(sent_at, self.lease_ms);
        self.known = Some(KnownRecord { record, free_at });
    }

    /// Drops the lease, after a fence was hit or the process was suspended.
    pub fn drop_lease(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number if the lease is held at `now`.
    pub fn fencing_number(&self, now: Instant) -> Option<FencingNumber> {
        self.held.filter(|held| now < held.deadline).map(|held| held.number)
    }

    /// Whether a held lease has less than half of its time left.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let half = Duration::from_millis(self.lease_ms / 2);
        self.held.is_some_and(|held| now + half >= held.deadline)
    }
}
