//! Replica of the keyed records that operators and servers write, updated from the record store and
//! from partners. Of two records with the same key the one with the higher offset is valid,
//! whatever the order of arrival.

use crate::types::LogOffset;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use strum::{Display, EnumIter, IntoStaticStr};

/// Topic of keyed records.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RecordTopic {
    /// Configuration and weights, written by operators.
    Operator,
    /// Backend servers, written by the servers themselves.
    Servers,
}

/// Newest value of a key, or its deletion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// Topic.
    pub topic: RecordTopic,
    /// Key.
    pub key: SmolStr,
    /// Offset within the topic.
    pub offset: LogOffset,
    /// Value, `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Newest records of a topic, as listed by the store.
#[derive(Clone, Debug, Default)]
pub struct TopicListing {
    /// Newest record of each key.
    pub records: Vec<KeyedRecord>,
    /// Offset of the next record when the listing began.
    pub end: LogOffset,
}

/// Records of one topic.
#[derive(Clone, Debug, Default)]
struct TopicReplica {
    records: BTreeMap<SmolStr, KeyedRecord>,
    /// Offset below which the newest record of every key is known, `None` before the first listing.
    known_below: Option<LogOffset>,
}

/// Records of a topic that one node sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDelta {
    /// Topic.
    pub topic: RecordTopic,
    /// Offset from which the delta is complete, `None` if it holds all records.
    pub from: Option<LogOffset>,
    /// Offset below which the sender knows the newest record of every key.
    pub known_below: LogOffset,
    /// Newest record of each key from that offset.
    pub records: Vec<KeyedRecord>,
}

/// Records of all topics.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    topics: BTreeMap<RecordTopic, TopicReplica>,
}

impl Replica {
    /// Applies `record` and returns whether it is newer than the known one of its key. Below
    /// `known_below` nothing is new: an unknown record there has been deleted since.
    fn apply(&mut self, record: &KeyedRecord) -> bool {
        let topic = self.topics.entry(record.topic).or_default();
        if topic.known_below > Some(record.offset) {
            return false;
        }
        let known = topic.records.get(&record.key);
        if known.is_some_and(|known| known.offset >= record.offset) {
            return false;
        }
        topic.records.insert(record.key.clone(), record.clone());
        true
    }

    /// Applies records that follow a known offset and returns the new ones.
    pub fn apply_records(
        &mut self,
        topic: RecordTopic,
        mut records: Vec<KeyedRecord>,
        next_offset: LogOffset,
    ) -> Vec<KeyedRecord> {
        records.retain(|record| self.apply(record));
        self.raise_known_below(topic, next_offset);
        records
    }

    /// Applies a listing of `topic` and returns the new records, including deletions.
    ///
    /// A key that the listing lacks was deleted before `end`, unless its known record is later than
    /// that.
    pub fn apply_listing(&mut self, topic: RecordTopic, listing: TopicListing) -> Vec<KeyedRecord> {
        let mut updates: Vec<KeyedRecord> = Vec::new();
        let listed: Vec<&SmolStr> = listing.records.iter().map(|record| &record.key).collect();
        let replica = self.topics.entry(topic).or_default();
        let last_listed = listing.end.saturating_sub(1);
        let is_deleted = |record: &&KeyedRecord| {
            record.value.is_some() && record.offset < last_listed && !listed.contains(&&record.key)
        };
        for record in replica.records.values().filter(is_deleted) {
            let key = record.key.clone();
            updates.push(KeyedRecord { topic, key, offset: last_listed, value: None });
        }
        let end = listing.end;
        updates.extend(listing.records);
        updates.retain(|record| self.apply(record));
        self.raise_known_below(topic, end);
        updates
    }

    /// Applies a partner's delta and returns the new records.
    pub fn apply_delta(&mut self, delta: TopicDelta) -> Vec<KeyedRecord> {
        let is_complete = delta.from.is_none_or(|from| self.known_below(delta.topic) >= Some(from));
        let mut records = delta.records;
        records.retain(|record| record.topic == delta.topic && self.apply(record));
        if is_complete {
            self.raise_known_below(delta.topic, delta.known_below);
        }
        records
    }

    /// Returns the offset below which the newest record of every key is known, `None` before the
    /// first listing.
    pub fn known_below(&self, topic: RecordTopic) -> Option<LogOffset> {
        self.topics.get(&topic).and_then(|topic| topic.known_below)
    }

    /// Returns the records that a partner lacks if it knows all records below `from`, or all
    /// records without `from`; `None` before the first listing.
    pub fn delta(&self, topic: RecordTopic, from: Option<LogOffset>) -> Option<TopicDelta> {
        let known_below = self.known_below(topic)?;
        let known = self.topics.get(&topic)?;
        let is_later = |record: &&KeyedRecord| from.is_none_or(|from| record.offset >= from);
        let records = known.records.values().filter(is_later).cloned().collect();
        Some(TopicDelta { topic, from, known_below, records })
    }

    fn raise_known_below(&mut self, topic: RecordTopic, known_below: LogOffset) {
        let known = &mut self.topics.entry(topic).or_default().known_below;
        *known = (*known).max(Some(known_below));
    }
}
