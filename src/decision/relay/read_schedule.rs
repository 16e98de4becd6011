//! Schedule by which a node reads the topics of the record store.
//!
//! A few nodes per topic, its followers, read it with long polls and share the records with the
//! others. Every node knows when its view of a topic was last confirmed as complete, by its own
//! reads or by partners; a node whose confirmation is too old reads the topic itself. The number of
//! calls thus does not grow with the number of nodes, and a node without partners still learns of
//! each record in time.
//!
//! A digest tells how old the sender's confirmation was when it was sent. The time on its way is not
//! known, so that a confirmation looks younger at its receiver. It is therefore taken over once, as
//! it first arrived: nodes that pass it on and back would otherwise keep it young for ever.

use super::RecordTopic;
use crate::types::{InstanceId, LogPosition};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Followers per topic: one remains if the store rejects or loses the reads of two.
const FOLLOWERS: usize = 3;

/// Duration of a follower's long poll; other nodes rely on confirmations being that recent.
const FOLLOWER_READ_WAIT: Duration = Duration::from_millis(700);

/// Time between two reads of a follower, so that one answer carries all records of a burst.
const FOLLOWER_READ_GAP: Duration = Duration::from_millis(150);

/// Age of the confirmation at which other nodes read the topic: records must take effect within
/// three seconds.
const STALE_AFTER: Duration = Duration::from_millis(1_900);

/// Time between the reads of nodes whose confirmations expire together: the answer to the first
/// read reaches the others meanwhile.
const STALE_READ_STAGGER: Duration = Duration::from_millis(60);

/// Maximum number of staggered steps by which a node delays its read.
const MAX_STAGGER_STEPS: usize = 8;

/// Time after a failed read during which a node does not act as a follower.
const FAILED_READ_BACKOFF: Duration = Duration::from_millis(2_000);

/// Time that a digest is taken to travel between two nodes.
const DIGEST_TRANSIT: Duration = Duration::from_millis(150);

/// Time after which a node that knows of newer records, and has not got them from partners, reads them
/// itself: the link of the store carries many times what that of a node does.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a node that knows of newer records decides by those that it has. With the way of the
/// news it ends before the records must be in force.
const MAX_LAG: Duration = Duration::from_millis(1_000);

/// Time after which a node that no partner has told of newer records goes on with those that it has.
const EVIDENCE_LIFETIME: Duration = Duration::from_millis(1_000);

/// Time after which a reader that has confirmed nothing is forgotten.
const READER_LIFETIME: Duration = Duration::from_secs(60);

/// Which read of the store confirms a view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Hash of the id of the node that has read the store.
    #[serde(rename = "r")]
    pub reader: u64,
    /// Number of the read, which rises with each read of that node.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Live node that may follow a topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reader {
    /// Id of the run.
    pub instance: InstanceId,
    /// Percent of a core that it may use, 0 if unknown.
    pub processor_percent: u32,
}

/// What a node does next about a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read now with a long poll.
    Read {
        /// Until when the store may hold the answer back for new records.
        wait_until: Instant,
    },
    /// Read nothing before this time.
    Wait(Instant),
}

/// Read schedule of one topic.
#[derive(Clone, Debug, Default)]
struct TopicSchedule {
    /// Number of nodes that rank before this one among the followers.
    rank: usize,
    /// Last time at which this node's view of the topic was complete.
    confirmed_at: Option<Instant>,
    /// The read that has confirmed it, `None` if a node of an earlier build did not tell.
    confirmation: Option<Confirmation>,
    /// Newest read of each node, and when it became known.
    reads: BTreeMap<u64, (u64, Instant)>,
    /// When the store last answered a read of this node.
    answered_at: Option<Instant>,
    /// When a read of this node failed, `None` after a later answer.
    failed_at: Option<Instant>,
    /// When a read of this node last failed.
    last_failed_at: Option<Instant>,
    /// What partners know and this node lacks.
    newer: Option<NewerRecords>,
}

/// Records that partners know and this node lacks.
#[derive(Clone, Copy, Debug)]
struct NewerRecords {
    /// Position below which a partner knew more when this node first heard of it.
    position: LogPosition,
    since: Instant,
    /// When a partner last told so.
    told_at: Instant,
}

/// Read schedule of all topics.
#[derive(Clone, Debug, Default)]
pub struct ReadSchedule {
    topics: BTreeMap<RecordTopic, TopicSchedule>,
    /// Hash of the id of this node.
    reader: u64,
    /// Number of the last read of this node.
    last_read: u64,
}

impl TopicSchedule {
    /// Records that the view was complete at `at`, by a read.
    fn confirm(&mut self, at: Instant, read: Option<Confirmation>) {
        if self.confirmed_at.is_none_or(|confirmed_at| at > confirmed_at) {
            self.confirmed_at = Some(at);
            self.confirmation = read;
        }
    }

    /// Records a read of a node; returns whether it is newer than those known.
    fn add_read(&mut self, read: Confirmation, now: Instant) -> bool {
        let known = self.reads.get(&read.reader);
        if known.is_some_and(|(number, _)| *number >= read.number) {
            return false;
        }
        self.reads.insert(read.reader, (read.number, now));
        self.reads.retain(|_, (_, known_at)| now < *known_at + READER_LIFETIME);
        true
    }
}

impl ReadSchedule {
    /// Sets the live nodes, including this one, and ranks the followers of each topic: the nodes with the
    /// most processor time, whose links are the widest as well, read large records sooner.
    pub fn set_nodes(&mut self, me: &InstanceId, live: &[Reader], topics: &[RecordTopic]) {
        self.reader = xxh3_64(me.as_bytes());
        for topic in topics {
            let seed = *topic as u64;
            let position = |node: &Reader| {
                let hash = xxh3_64_with_seed(node.instance.as_bytes(), seed);
                (Reverse(node.processor_percent), hash)
            };
            let own_position = live.iter().find(|node| node.instance == *me).map(position);
            let is_before = |node: &&Reader| own_position.is_some_and(|own| position(node) < own);
            let rank = live.iter().filter(is_before).count();
            self.topics.entry(*topic).or_default().rank = rank;
        }
    }

    /// Returns the number of nodes that rank before this one among the followers of a topic.
    pub fn rank(&self, topic: RecordTopic) -> usize {
        self.topics.get(&topic).map_or(0, |schedule| schedule.rank)
    }

    /// Records that this node has read the store, and that its view was complete at `at`.
    pub fn confirm(&mut self, topic: RecordTopic, at: Instant, now: Instant) {
        self.last_read += 1;
        let read = Confirmation { reader: self.reader, number: self.last_read };
        let schedule = self.topics.entry(topic).or_default();
        schedule.add_read(read, now);
        schedule.confirm(at, Some(read));
        // The store knows of all records, also where a partner has told of others.
        schedule.newer.take_if(|newer| at >= newer.since);
    }

    /// Records that by a partner's digest, which has just arrived, the view was complete `age` before
    /// it was sent. A read that is known confirms nothing anew.
    pub fn confirm_by(
        &mut self,
        topic: RecordTopic,
        read: Option<Confirmation>,
        age: Duration,
        now: Instant,
    ) {
        let schedule = self.topics.entry(topic).or_default();
        let is_new = read.is_none_or(|read| schedule.add_read(read, now));
        let complete_at = now.checked_sub(age.saturating_add(DIGEST_TRANSIT));
        if let Some(complete_at) = complete_at.filter(|_| is_new) {
            schedule.confirm(complete_at, read);
        }
    }

    /// Records that a partner knows a topic below `position`, which is more than this node knows;
    /// returns whether that is news.
    pub fn observe_newer(
        &mut self,
        topic: RecordTopic,
        position: LogPosition,
        now: Instant,
    ) -> bool {
        let newer = &mut self.topics.entry(topic).or_default().newer;
        let is_news = newer.is_none();
        newer.get_or_insert(NewerRecords { position, since: now, told_at: now }).told_at = now;
        is_news
    }

    /// Records that this node knows a topic below `known`.
    pub fn catch_up(&mut self, topic: RecordTopic, known: Option<LogPosition>) {
        let newer = &mut self.topics.entry(topic).or_default().newer;
        newer.take_if(|newer| known >= Some(newer.position));
    }

    /// Returns since when this node knows that it lacks records of a topic, `None` if it lacks none.
    pub fn behind_since(&self, topic: RecordTopic) -> Option<Instant> {
        Some(self.topics.get(&topic)?.newer?.since)
    }

    /// Returns when this node must not decide by the records that it has, `None` if it lacks none that it
    /// knows of. A node that hears neither from the store nor from partners goes on with what it has.
    pub fn outdated_period(&self, topic: RecordTopic) -> Option<Range<Instant>> {
        let newer = self.topics.get(&topic)?.newer?;
        Some(newer.since + MAX_LAG..newer.told_at + EVIDENCE_LIFETIME)
    }

    /// Returns the read that confirms the view of a topic.
    pub fn confirmation(&self, topic: RecordTopic) -> Option<Confirmation> {
        self.topics.get(&topic)?.confirmation
    }

    /// Records that the store answered a read.
    pub fn record_answer(&mut self, topic: RecordTopic, now: Instant) {
        let schedule = self.topics.entry(topic).or_default();
        schedule.answered_at = Some(now);
        schedule.failed_at = None;
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self, topic: RecordTopic, now: Instant) {
        let schedule = self.topics.entry(topic).or_default();
        schedule.failed_at = Some(now);
        schedule.last_failed_at = Some(now);
    }

    /// Returns when the store last failed a read of this node.
    pub fn last_failed_at(&self, topic: RecordTopic) -> Option<Instant> {
        self.topics.get(&topic)?.last_failed_at
    }

    /// Records that the machine was suspended for `gap`, which the monotonic clock does not count: all
    /// views are older than they look.
    pub fn record_suspension(&mut self, gap: Duration) {
        for schedule in self.topics.values_mut() {
            schedule.confirmed_at = schedule.confirmed_at.and_then(|at| at.checked_sub(gap));
        }
    }

    /// Returns the time since the view of a topic was complete, `None` if it never was.
    pub fn age(&self, topic: RecordTopic, now: Instant) -> Option<Duration> {
        let confirmed_at = self.topics.get(&topic)?.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Returns what to do next about `topic`.
    pub fn next_read(&self, topic: RecordTopic, now: Instant) -> NextRead {
        let unknown = TopicSchedule::default();
        let schedule = self.topics.get(&topic).unwrap_or(&unknown);
        let fetch_at = schedule.newer.map(|newer| newer.since + FETCH_TIMEOUT);
        let has_failed = schedule.failed_at.is_some_and(|at| now < at + FAILED_READ_BACKOFF);
        if fetch_at.is_some_and(|at| now >= at) && !has_failed {
            return NextRead::Read { wait_until: now };
        }
        let (due_at, read_wait) = if schedule.rank < FOLLOWERS && !has_failed {
            (schedule.answered_at.map(|at| at + FOLLOWER_READ_GAP), FOLLOWER_READ_WAIT)
        } else {
            let delay_steps = schedule.rank.saturating_sub(FOLLOWERS).min(MAX_STAGGER_STEPS) as u32;
            (
                schedule.confirmed_at.map(|at| at + STALE_AFTER + STALE_READ_STAGGER * delay_steps),
                Duration::ZERO,
            )
        };
        match due_at {
            Some(due_at) if now < due_at => NextRead::Wait(due_at),
            _ => NextRead::Read { wait_until: now + read_wait },
        }
    }
}
