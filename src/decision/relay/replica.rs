//! Replica of the keyed records that the operator and the servers write, fed by the record store
//! and by partners. Of two records of a key, the one with the higher offset holds, whichever way it
//! came.

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
    /// Configuration and weights, written by the operator.
    Operator,
    /// Backend servers, written by themselves.
    Servers,
}

/// Record of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// Topic.
    pub topic: RecordTopic,
    /// Key.
    pub key: SmolStr,
    /// Offset within the topic.
    pub offset: LogOffset,
    /// Value, none if the key was deleted.
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

#[derive(Clone, Debug, Default)]
struct TopicReplica {
    records: BTreeMap<SmolStr, KeyedRecord>,
    /// Offset below which every key's newest record is known, none before the first listing.
    known_below: Option<LogOffset>,
}

/// Part of a topic, as one node sends it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDelta {
    /// Topic.
    pub topic: RecordTopic,
    /// Offset from which on the part holds every key's newest record, none for all of them.
    pub from: Option<LogOffset>,
    /// Offset below which the sender knows every key's newest record.
    pub known_below: LogOffset,
    /// Records.
    pub records: Vec<KeyedRecord>,
}

/// Records of all topics.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    topics: BTreeMap<RecordTopic, TopicReplica>,
}

impl Replica {
    /// Takes in `record`; returns whether it is newer than what was known. Below the offset up to
    /// which all is known there is no news: a record there that is unknown was deleted since.
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

    /// Takes in the records that follow a known offset; returns those that are news.
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

    /// Takes in a listing of `topic`; returns the records that are news, deletions among them.
    ///
    /// A key that the listing lacks was deleted before `end`, unless its record is later than that.
    pub fn apply_listing(&mut self, topic: RecordTopic, listing: TopicListing) -> Vec<KeyedRecord> {
        let mut updates: Vec<KeyedRecord> = Vec::new();
        let listed: Vec<&SmolStr> = listing.records.iter().map(|record| &record.key).collect();
        let known = self.topics.entry(topic).or_default();
        let last_listed = listing.end.saturating_sub(1);
        let is_missing = |record: &&KeyedRecord| {
            record.value.is_some() && record.offset < last_listed && !listed.contains(&&record.key)
        };
        for record in known.records.values().filter(is_missing) {
            let key = record.key.clone();
            updates.push(KeyedRecord { topic, key, offset: last_listed, value: None });
        }
        let end = listing.end;
        updates.extend(listing.records);
        updates.retain(|record| self.apply(record));
        self.raise_known_below(topic, end);
        updates
    }

    /// Takes in what a partner sent; returns the records that are news.
    pub fn apply_delta(&mut self, delta: TopicDelta) -> Vec<KeyedRecord> {
        let is_complete = delta.from.is_none_or(|from| self.known_below(delta.topic) >= Some(from));
        let mut records = delta.records;
        records.retain(|record| record.topic == delta.topic && self.apply(record));
        if is_complete {
            self.raise_known_below(delta.topic, delta.known_below);
        }
        records
    }

    /// Returns the offset below which every key's newest record is known, none before the first
    /// listing.
    pub fn known_below(&self, topic: RecordTopic) -> Option<LogOffset> {
        self.topics.get(&topic).and_then(|topic| topic.known_below)
    }

    /// Returns what a partner lacks that knows the records below `from`.
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
