//! Set of known members and the merge of records about them.

use super::messages::{MemberRecord, MemberStatus};
use crate::types::InstanceId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Member with the time at which its status changes by itself.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// When a suspect counts as dead, or a dead node is forgotten.
    deadline: Option<Instant>,
}

/// Known members but for the node itself.
#[derive(Clone, Debug)]
pub struct Members {
    members: BTreeMap<InstanceId, Member>,
    suspicion_timeout: Duration,
    forget_after: Duration,
    changes: u64,
}

impl Members {
    /// Returns an empty set.
    pub fn new(suspicion_timeout: Duration, forget_after: Duration) -> Self {
        Self { members: BTreeMap::new(), suspicion_timeout, forget_after, changes: 0 }
    }

    /// Record of a member.
    pub fn get(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        self.members.get(instance).map(|member| &member.record)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Number of changes so far.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Members that are alive or only suspected.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.status <= MemberStatus::Suspect)
    }

    /// Live member that listens on `address`.
    pub fn live_at(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.live().find(|record| record.address == address)
    }

    /// Merges `record`; returns whether it said anything new.
    pub fn merge(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if self.is_known(record) {
            return false;
        }
        let deadline = self.deadline(record.status, now);
        let member = Member { record: record.clone(), deadline };
        self.members.insert(record.instance.clone(), member);
        self.changes += 1;
        self.replace_earlier_runs(record, now);
        true
    }

    /// Sets the status of a member that is below it; returns the changed record.
    pub fn raise(
        &mut self,
        instance: &InstanceId,
        status: MemberStatus,
        now: Instant,
    ) -> Option<MemberRecord> {
        let raised = MemberRecord { status, ..self.get(instance)?.clone() };
        self.merge(&raised, now).then_some(raised)
    }

    /// Lets suspects die and forgets the dead; returns the records of those that died.
    pub fn expire(&mut self, now: Instant) -> Vec<MemberRecord> {
        let is_due = |member: &Member| member.deadline.is_some_and(|deadline| deadline <= now);
        let due: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| is_due(member))
            .map(|member| member.record.clone())
            .collect();
        let mut died = Vec::new();
        for record in due {
            match record.status {
                MemberStatus::Suspect => {
                    died.extend(self.raise(&record.instance, MemberStatus::Dead, now));
                }
                MemberStatus::Alive | MemberStatus::Dead | MemberStatus::Left => {
                    self.members.remove(&record.instance);
                    self.changes += 1;
                }
            }
        }
        died
    }

    /// Digest of the live members and `me`; equal sets have equal digests.
    pub fn digest(&self, me: &MemberRecord) -> u64 {
        self.live()
            .chain([me])
            .map(|record| xxh3_64(record.instance.as_bytes()).wrapping_mul(record.version + 1))
            .fold(0, u64::wrapping_add)
    }

    fn is_known(&self, record: &MemberRecord) -> bool {
        let Some(known) = self.get(&record.instance) else {
            let newer_run = |other: &MemberRecord| {
                other.address == record.address && run_order(other) > run_order(record)
            };
            return record.status >= MemberStatus::Dead || self.live().any(newer_run);
        };
        known.status == MemberStatus::Left
            || record.status != MemberStatus::Left
                && (known.version, known.status) >= (record.version, record.status)
    }

    fn deadline(&self, status: MemberStatus, now: Instant) -> Option<Instant> {
        match status {
            MemberStatus::Alive => None,
            MemberStatus::Suspect => Some(now + self.suspicion_timeout),
            MemberStatus::Dead | MemberStatus::Left => Some(now + self.forget_after),
        }
    }

    /// Marks earlier runs at the address of `record` as dead.
    fn replace_earlier_runs(&mut self, record: &MemberRecord, now: Instant) {
        let earlier: Vec<InstanceId> = self
            .live()
            .filter(|other| other.address == record.address)
            .filter(|other| run_order(other) < run_order(record))
            .map(|other| other.instance.clone())
            .collect();
        for instance in earlier {
            self.raise(&instance, MemberStatus::Dead, now);
        }
    }
}

/// Order of runs at one address.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct RunOrder<'a> {
    started_unix_ms: u64,
    instance: &'a InstanceId,
}

fn run_order(record: &MemberRecord) -> RunOrder<'_> {
    RunOrder { started_unix_ms: record.started_unix_ms, instance: &record.instance }
}
