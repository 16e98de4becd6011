//! Replica of the keyed records that operators and servers write, updated from the record store and
//! from partners. Of two records with the same key the one with the higher position is valid,
//! whatever the order of arrival. Positions of a restored store follow all earlier ones.

use super::record_packing::PackedRecords;
use crate::types::{LogPosition, log_position};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
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
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// Topic.
    pub topic: RecordTopic,
    /// Key.
    pub key: SmolStr,
    /// Position within the topic.
    #[serde(rename = "offset")]
    pub position: LogPosition,
    /// Value, `None` if the key was deleted.
    pub value: Option<Bytes>,
}

impl KeyedRecord {
    /// Approximate size of the encoded record.
    fn size_bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }

    fn is_base(&self) -> bool {
        self.value.as_ref().is_some_and(|value| value.len() >= MIN_BASE_BYTES)
    }
}

/// Newest records of a topic, as listed by the store.
#[derive(Clone, Debug, Default)]
pub struct TopicListing {
    /// Newest record of each key.
    pub records: Vec<KeyedRecord>,
    /// Position of the next record when the listing began.
    pub end: LogPosition,
}

/// Records of one topic.
#[derive(Clone, Debug, Default)]
struct TopicReplica {
    records: BTreeMap<SmolStr, KeyedRecord>,
    /// Position below which the newest record of every key is known, `None` before the first listing.
    known_below: Option<LogPosition>,
    /// Large records that were replaced, newest first.
    replaced: VecDeque<KeyedRecord>,
}

impl TopicReplica {
    /// Keeps a replaced record if it may serve as a base for a later one.
    fn keep_replaced(&mut self, record: KeyedRecord) {
        if !record.is_base() {
            return;
        }
        self.replaced.push_front(record);
        let mut kept_bytes = 0;
        self.replaced.retain(|record| {
            kept_bytes += record.size_bytes();
            kept_bytes <= MAX_REPLACED_BYTES
        });
        self.replaced.truncate(MAX_REPLACED_RECORDS);
    }
}

/// Position from which a delta is complete if it is one of several messages; earlier builds send
/// these one after the other.
const PART_FROM: LogPosition = LogPosition::MAX;

/// Size of a value from which it serves as a base for later versions of it.
const MIN_BASE_BYTES: usize = 2 * 1024;

/// Maximum number of bases that a request names.
const MAX_BASES: usize = 8;

/// Maximum number and bytes of replaced records that are kept for partners that have no later ones.
const MAX_REPLACED_RECORDS: usize = 4;
const MAX_REPLACED_BYTES: usize = 1024 * 1024;

/// Approximate encoded size of a record without its key and value.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Request for the records of a topic that the sender lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordsRequest {
    /// Topic.
    pub topic: RecordTopic,
    /// Position below which the sender knows the newest record of every key, `None` if it knows
    /// nothing.
    pub known_below: Option<LogPosition>,
    /// Last key of the pages that the sender has, `None` for the first page.
    #[serde(default)]
    pub after: Option<SmolStr>,
    /// Whether the sender asks for further pages; earlier builds do not.
    #[serde(default)]
    pub is_paged: bool,
    /// Positions of large records that the sender has, `None` if it cannot read packed records, as
    /// earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bases: Option<Vec<LogPosition>>,
}

/// Records of a topic that one node sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDelta {
    /// Topic.
    pub topic: RecordTopic,
    /// Position from which the delta is complete, `None` if it holds all records.
    pub from: Option<LogPosition>,
    /// Position below which the sender knows the newest record of every key.
    pub known_below: LogPosition,
    /// Newest record of each key from that position.
    pub records: Vec<KeyedRecord>,
    /// Last key of the pages before this one, `None` for the first page.
    #[serde(default)]
    pub after: Option<SmolStr>,
    /// Whether further pages follow on request.
    #[serde(default)]
    pub has_more: bool,
    /// The records in compressed form, if the request allows it; `records` is empty then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<PackedRecords>,
}

impl TopicDelta {
    /// Whether other messages of an earlier build follow without a request.
    pub fn is_part(&self) -> bool {
        self.from == Some(PART_FROM)
    }
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
        if topic.known_below > Some(record.position) {
            return false;
        }
        let known = topic.records.get(&record.key);
        if known.is_some_and(|known| known.position >= record.position) {
            return false;
        }
        if let Some(replaced) = topic.records.insert(record.key.clone(), record.clone()) {
            topic.keep_replaced(replaced);
        }
        true
    }

    /// Applies records that follow a known position and returns the new ones.
    pub fn apply_records(
        &mut self,
        topic: RecordTopic,
        mut records: Vec<KeyedRecord>,
        next_position: LogPosition,
    ) -> Vec<KeyedRecord> {
        records.retain(|record| self.apply(record));
        self.raise_known_below(topic, next_position);
        records
    }

    /// Applies a listing of `topic` and returns the new records, including deletions.
    ///
    /// A key that the listing lacks was deleted before `end`, unless its known record is later than
    /// that. The listing of a restored store may lack records of operators that they are about to
    /// write again; these stay.
    pub fn apply_listing(&mut self, topic: RecordTopic, listing: TopicListing) -> Vec<KeyedRecord> {
        let mut updates: Vec<KeyedRecord> = Vec::new();
        let keeps_unlisted =
            topic == RecordTopic::Operator && self.is_restored_by(topic, listing.end);
        let listed: Vec<&SmolStr> = listing.records.iter().map(|record| &record.key).collect();
        let replica = self.topics.entry(topic).or_default();
        let last_listed = listing.end.saturating_sub(1);
        let is_deleted = |record: &&KeyedRecord| {
            !keeps_unlisted
                && record.value.is_some()
                && record.position < last_listed
                && !listed.contains(&&record.key)
        };
        for record in replica.records.values().filter(is_deleted) {
            let key = record.key.clone();
            updates.push(KeyedRecord { topic, key, position: last_listed, value: None });
        }
        let end = listing.end;
        updates.extend(listing.records);
        updates.retain(|record| self.apply(record));
        self.raise_known_below(topic, end);
        updates
    }

    /// Applies a partner's delta and returns the new records.
    pub fn apply_delta(&mut self, delta: TopicDelta) -> Vec<KeyedRecord> {
        let continues_known =
            delta.from.is_none_or(|from| self.known_below(delta.topic) >= Some(from));
        let is_complete = continues_known && !delta.has_more;
        let mut records = delta.records;
        records.retain(|record| record.topic == delta.topic && self.apply(record));
        if is_complete {
            self.raise_known_below(delta.topic, delta.known_below);
        }
        records
    }

    /// Returns the position below which the newest record of every key is known, `None` before the
    /// first listing.
    pub fn known_below(&self, topic: RecordTopic) -> Option<LogPosition> {
        self.topics.get(&topic).and_then(|topic| topic.known_below)
    }

    /// Whether records up to `position` come from a store that was restored since this replica
    /// last followed the topic.
    pub fn is_restored_by(&self, topic: RecordTopic, position: LogPosition) -> bool {
        let known_era = self.known_below(topic).map(log_position::era);
        known_era.is_some_and(|known_era| log_position::era(position) > known_era)
    }

    /// Returns the records that a partner requests, in pages of about `max_bytes` that are ordered
    /// by key; `None` before the first listing.
    pub fn delta(&self, request: &RecordsRequest, max_bytes: usize) -> Option<TopicDelta> {
        let RecordsRequest { topic, known_below: from, after, is_paged, bases: _ } =
            request.clone();
        let known_below = self.known_below(topic)?;
        let known = self.topics.get(&topic)?;
        let start = after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let later = known.records.range::<SmolStr, _>((start, Bound::Unbounded));
        let mut remaining = later
            .map(|(_, record)| record)
            .filter(|record| from.is_none_or(|from| record.position >= from))
            .peekable();
        let mut records: Vec<KeyedRecord> = Vec::new();
        let mut page_bytes = 0;
        while let Some(record) = remaining
            .next_if(|record| records.is_empty() || page_bytes + record.size_bytes() <= max_bytes)
        {
            page_bytes += record.size_bytes();
            records.push(record.clone());
        }
        records.sort_by_key(|record| record.position);
        let has_more = remaining.peek().is_some();
        let from = if has_more && !is_paged { Some(PART_FROM) } else { from };
        Some(TopicDelta { topic, from, known_below, records, after, has_more, packed: None })
    }

    /// Returns the positions of the records that a partner may use as bases for what this node lacks.
    pub fn bases(&self, topic: RecordTopic) -> Vec<LogPosition> {
        let records = self.topics.get(&topic).into_iter().flat_map(|topic| topic.records.values());
        records
            .filter(|record| record.is_base())
            .take(MAX_BASES)
            .map(|base| base.position)
            .collect()
    }

    /// Returns the value of the large record at a position, also if it was replaced lately.
    pub fn value_at(&self, topic: RecordTopic, position: LogPosition) -> Option<&Bytes> {
        let topic = self.topics.get(&topic)?;
        let mut known = topic.records.values().chain(&topic.replaced);
        known.find(|record| record.position == position)?.value.as_ref()
    }

    fn raise_known_below(&mut self, topic: RecordTopic, known_below: LogPosition) {
        let known = &mut self.topics.entry(topic).or_default().known_below;
        *known = (*known).max(Some(known_below));
    }
}
