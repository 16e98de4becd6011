//! Members known to a node and the merge of records about them.

use super::messages::{MemberRecord, MemberStatus};
use crate::types::InstanceId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Record of a member and when its status expires.
#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    /// When a suspect is declared dead, or a member that is dead or left is forgotten.
    expires_at: Option<Instant>,
}

/// Members known to a node, itself excluded.
#[derive(Clone, Debug)]
pub struct Members {
    members: BTreeMap<InstanceId, MemberEntry>,
    suspicion_timeout: Duration,
    dead_retention: Duration,
    change_count: u64,
}

impl Members {
    /// Returns an empty set that declares suspects dead after `suspicion_timeout` and forgets
    /// members `dead_retention` after they died or left.
    pub fn new(suspicion_timeout: Duration, dead_retention: Duration) -> Self {
        Self { members: BTreeMap::new(), suspicion_timeout, dead_retention, change_count: 0 }
    }

    /// Returns the record of `instance`, if it is known.
    pub fn get(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        self.members.get(instance).map(|member| &member.record)
    }

    /// Returns all records, including those of members that are dead or left.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns how often a record was added, replaced or removed.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the members that are alive or suspect.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.status <= MemberStatus::Suspect)
    }

    /// Returns the live member whose partner listener is at `address`.
    pub fn live_by_address(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.live().find(|record| record.address == address)
    }

    /// Stores `record` unless it is outdated; returns whether it was stored.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if self.is_outdated(record) {
            return false;
        }
        let expires_at = self.expiry(record.status, now);
        let member = MemberEntry { record: record.clone(), expires_at };
        self.members.insert(record.instance.clone(), member);
        self.change_count += 1;
        self.declare_earlier_runs_dead(record, now);
        true
    }

    /// Raises the status of a member to `status`; returns the changed record, or none if the member
    /// is unknown or its status is not lower.
    pub fn raise_status(
        &mut self,
        instance: &InstanceId,
        status: MemberStatus,
        now: Instant,
    ) -> Option<MemberRecord> {
        let raised = MemberRecord { status, ..self.get(instance)?.clone() };
        self.merge(&raised, now).then_some(raised)
    }

    /// Declares overdue suspects dead and forgets members that have been dead or left for long
    /// enough; returns the records of those declared dead.
    pub fn expire(&mut self, now: Instant) -> Vec<MemberRecord> {
        let is_expired =
            |member: &MemberEntry| member.expires_at.is_some_and(|expires_at| expires_at <= now);
        let expired: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| is_expired(member))
            .map(|member| member.record.clone())
            .collect();
        let mut declared_dead = Vec::new();
        for record in expired {
            match record.status {
                MemberStatus::Suspect => {
                    declared_dead.extend(self.raise_status(
                        &record.instance,
                        MemberStatus::Dead,
                        now,
                    ));
                }
                MemberStatus::Alive | MemberStatus::Dead | MemberStatus::Left => {
                    self.members.remove(&record.instance);
                    self.change_count += 1;
                }
            }
        }
        declared_dead
    }

    /// Returns a digest of the live members and `local`; equal sets have equal digests.
    pub fn digest(&self, local: &MemberRecord) -> u64 {
        self.live()
            .chain([local])
            .map(|record| xxh3_64(record.instance.as_bytes()).wrapping_mul(record.version + 1))
            .fold(0, u64::wrapping_add)
    }

    /// Whether `record` is superseded by one of the set or is about an unknown run that has ended.
    fn is_outdated(&self, record: &MemberRecord) -> bool {
        let Some(current) = self.get(&record.instance) else {
            let newer_run = |other: &MemberRecord| {
                other.address == record.address && run_order(other) > run_order(record)
            };
            return record.status >= MemberStatus::Dead || self.live().any(newer_run);
        };
        current.status == MemberStatus::Left
            || record.status != MemberStatus::Left
                && (current.version, current.status) >= (record.version, record.status)
    }

    fn expiry(&self, status: MemberStatus, now: Instant) -> Option<Instant> {
        match status {
            MemberStatus::Alive => None,
            MemberStatus::Suspect => Some(now + self.suspicion_timeout),
            MemberStatus::Dead | MemberStatus::Left => Some(now + self.dead_retention),
        }
    }

    /// Declares earlier runs at the address of `record` dead.
    fn declare_earlier_runs_dead(&mut self, record: &MemberRecord, now: Instant) {
        let earlier: Vec<InstanceId> = self
            .live()
            .filter(|other| other.address == record.address)
            .filter(|other| run_order(other) < run_order(record))
            .map(|other| other.instance.clone())
            .collect();
        for instance in earlier {
            self.raise_status(&instance, MemberStatus::Dead, now);
        }
    }
}

/// Order of the runs at one address: by start time, then by instance id.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct RunOrder<'a> {
    started_unix_ms: u64,
    instance: &'a InstanceId,
}

fn run_order(record: &MemberRecord) -> RunOrder<'_> {
    RunOrder { started_unix_ms: record.started_unix_ms, instance: &record.instance }
}
