//! Schedule by which a node reads the topics of the record store.
//!
//! A few nodes per topic, its followers, read it with long polls and share the records with the
//! others. Every node knows when its view of a topic was last confirmed as complete, by its own
//! reads or by partners; a node whose confirmation is too old reads the topic itself. The number of
//! calls thus does not grow with the number of nodes, and a node without partners still learns of
//! each record in time.

use super::RecordTopic;
use crate::types::InstanceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

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
#[derive(Clone, Copy, Debug, Default)]
struct TopicSchedule {
    /// Number of nodes that rank before this one among the followers.
    rank: usize,
    /// Last time at which this node's view of the topic was complete.
    confirmed_at: Option<Instant>,
    /// When the store last answered a read of this node.
    answered_at: Option<Instant>,
    /// When a read of this node failed, `None` after a later answer.
    failed_at: Option<Instant>,
}

/// Read schedule of all topics.
#[derive(Clone, Debug, Default)]
pub struct ReadSchedule {
    topics: BTreeMap<RecordTopic, TopicSchedule>,
}

impl ReadSchedule {
    /// Sets the live nodes, including this one, and ranks the followers of each topic.
    pub fn set_nodes(&mut self, me: &InstanceId, live: &[InstanceId], topics: &[RecordTopic]) {
        for topic in topics {
            let seed = *topic as u64;
            let position = |node: &InstanceId| xxh3_64_with_seed(node.as_bytes(), seed);
            let own_position = position(me);
            let rank = live.iter().filter(|node| position(node) < own_position).count();
            self.topics.entry(*topic).or_default().rank = rank;
        }
    }

    /// Records that this node's view of a topic was complete at `at`.
    pub fn confirm(&mut self, topic: RecordTopic, at: Instant) {
        let confirmed_at = &mut self.topics.entry(topic).or_default().confirmed_at;
        *confirmed_at = (*confirmed_at).max(Some(at));
    }

    /// Records that the store answered a read.
    pub fn record_answer(&mut self, topic: RecordTopic, now: Instant) {
        let schedule = self.topics.entry(topic).or_default();
        schedule.answered_at = Some(now);
        schedule.failed_at = None;
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self, topic: RecordTopic, now: Instant) {
        self.topics.entry(topic).or_default().failed_at = Some(now);
    }

    /// Returns the time since the view of a topic was complete, `None` if it never was.
    pub fn age(&self, topic: RecordTopic, now: Instant) -> Option<Duration> {
        let confirmed_at = self.topics.get(&topic)?.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Returns what to do next about `topic`.
    pub fn next_read(&self, topic: RecordTopic, now: Instant) -> NextRead {
        let schedule = self.topics.get(&topic).copied().unwrap_or_default();
        let has_failed = schedule.failed_at.is_some_and(|at| now < at + FAILED_READ_BACKOFF);
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
