//! Queue of messages to a partner that are sent within a byte budget. A member record replaces the
//! queued one of the same member.

use super::message::PartnerMessage;
use crate::decision::leaving::LeavingNotice;
use crate::decision::membership::MemberRecord;
use crate::decision::poison::Strike;
use crate::types::InstanceId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of items in one message.
const MAX_BATCH_ITEMS: usize = 32;

/// Maximum number of queued items of each kind; further ones are dropped.
const MAX_QUEUED_ITEMS: usize = 4_096;

/// Queue of items for one partner.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    leaving: BTreeSet<LeavingNotice>,
    strikes: BTreeSet<Strike>,
    members: BTreeMap<InstanceId, MemberRecord>,
}

impl Outbox {
    /// Queues notices of leaving servers.
    pub fn add_leaving(&mut self, notices: impl IntoIterator<Item = LeavingNotice>) {
        let free = MAX_QUEUED_ITEMS.saturating_sub(self.leaving.len());
        self.leaving.extend(notices.into_iter().take(free));
    }

    /// Queues strikes.
    pub fn add_strikes(&mut self, strikes: impl IntoIterator<Item = Strike>) {
        let free = MAX_QUEUED_ITEMS.saturating_sub(self.strikes.len());
        self.strikes.extend(strikes.into_iter().take(free));
    }

    /// Queues member records.
    pub fn add_members(&mut self, records: impl IntoIterator<Item = MemberRecord>) {
        for record in records {
            if self.members.len() < MAX_QUEUED_ITEMS || self.members.contains_key(&record.instance)
            {
                self.members.insert(record.instance.clone(), record);
            }
        }
    }

    /// Removes and returns the next message: leaving servers first, then strikes, then members.
    pub fn take_next(&mut self) -> Option<PartnerMessage> {
        if !self.leaving.is_empty() {
            return Some(PartnerMessage::Leaving(take_batch(&mut self.leaving)));
        }
        if !self.strikes.is_empty() {
            return Some(PartnerMessage::Strikes(take_batch(&mut self.strikes)));
        }
        let mut records = Vec::new();
        while records.len() < MAX_BATCH_ITEMS {
            let Some((_, record)) = self.members.pop_first() else { break };
            records.push(record);
        }
        (!records.is_empty()).then_some(PartnerMessage::Members(records))
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.strikes.is_empty() && self.members.is_empty()
    }
}

/// Removes and returns up to [`MAX_BATCH_ITEMS`] items, lowest first.
fn take_batch<T: Ord>(items: &mut BTreeSet<T>) -> Vec<T> {
    let mut batch = Vec::new();
    while batch.len() < MAX_BATCH_ITEMS {
        let Some(item) = items.pop_first() else { break };
        batch.push(item);
    }
    batch
}
