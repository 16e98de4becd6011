//! Messages that wait for a partner within the byte budget; the latest record of a member takes the
//! place of earlier ones.

use super::message::PartnerMessage;
use crate::decision::leaving::LeavingNotice;
use crate::decision::membership::MemberRecord;
use crate::decision::poison::Strike;
use crate::types::InstanceId;
use std::collections::{BTreeMap, BTreeSet};

/// Items in one message at most.
const BATCH_ITEMS: usize = 32;

/// Items of each kind that wait at most; further ones are dropped.
const WAITING_ITEMS: usize = 4_096;

/// Messages to one partner that wait for the byte budget.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    leaving: BTreeSet<LeavingNotice>,
    strikes: BTreeSet<Strike>,
    members: BTreeMap<InstanceId, MemberRecord>,
}

impl Outbox {
    /// Adds notices of leaving servers.
    pub fn add_leaving(&mut self, notices: impl IntoIterator<Item = LeavingNotice>) {
        let room = WAITING_ITEMS.saturating_sub(self.leaving.len());
        self.leaving.extend(notices.into_iter().take(room));
    }

    /// Adds strikes.
    pub fn add_strikes(&mut self, strikes: impl IntoIterator<Item = Strike>) {
        let room = WAITING_ITEMS.saturating_sub(self.strikes.len());
        self.strikes.extend(strikes.into_iter().take(room));
    }

    /// Adds records of members.
    pub fn add_members(&mut self, records: impl IntoIterator<Item = MemberRecord>) {
        for record in records {
            if self.members.len() < WAITING_ITEMS || self.members.contains_key(&record.instance) {
                self.members.insert(record.instance.clone(), record);
            }
        }
    }

    /// Takes the next message: leaving servers first, then strikes, then members.
    pub fn take_next(&mut self) -> Option<PartnerMessage> {
        if !self.leaving.is_empty() {
            return Some(PartnerMessage::Leaving(take_first(&mut self.leaving)));
        }
        if !self.strikes.is_empty() {
            return Some(PartnerMessage::Strikes(take_first(&mut self.strikes)));
        }
        let mut records = Vec::new();
        while records.len() < BATCH_ITEMS {
            let Some((_, record)) = self.members.pop_first() else { break };
            records.push(record);
        }
        (!records.is_empty()).then_some(PartnerMessage::Members(records))
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.strikes.is_empty() && self.members.is_empty()
    }
}

fn take_first<T: Ord>(items: &mut BTreeSet<T>) -> Vec<T> {
    let mut taken = Vec::new();
    while taken.len() < BATCH_ITEMS {
        let Some(item) = items.pop_first() else { break };
        taken.push(item);
    }
    taken
}
