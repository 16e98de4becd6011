//! When a node reads the topics of the record store.
//!
//! A few nodes of each topic follow it with reads that wait, and tell the others. Every node knows
//! how long ago the store was last known to hold nothing newer, by its own reads or by what partners
//! tell; a node for which that is too long ago reads by itself. The calls thus don't grow with the
//! nodes, and a node without partners still learns of each record in time.

use super::RecordTopic;
use crate::types::InstanceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Nodes that follow a topic: one is left if the store turns away or loses two of them.
const FOLLOWERS: usize = 3;

/// Time for which a follower's read waits; others rely on the store's answers being that recent.
const FOLLOWER_READ_WAIT: Duration = Duration::from_millis(700);

/// Time between two reads of a follower, so that one answer brings the records of a burst.
const FOLLOWER_READ_GAP: Duration = Duration::from_millis(150);

/// Age of what is known at which a node that does not follow reads: records are to be in force
/// within three seconds.
const STALE_AFTER: Duration = Duration::from_millis(1_900);

/// Time between the reads of nodes that find out at once that nobody follows: the first one's
/// answer reaches the others meanwhile.
const STALE_READ_STAGGER: Duration = Duration::from_millis(60);

/// Steps that a node waits at most.
const MAX_STAGGER_STEPS: usize = 8;

/// Time for which a node whose read failed does not count itself among the followers.
const FAILED_READ_BACKOFF: Duration = Duration::from_millis(2_000);

/// What a node does next about a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read now, and have the store wait for records until then.
    Read {
        /// Until when the store waits.
        wait_until: Instant,
    },
    /// Nothing before then.
    Wait(Instant),
}

#[derive(Clone, Copy, Debug, Default)]
struct TopicSchedule {
    /// Nodes that come before this one among the followers.
    rank: usize,
    /// When the store was known to hold nothing newer.
    confirmed_at: Option<Instant>,
    answered_at: Option<Instant>,
    failed_at: Option<Instant>,
}

/// Reads of all topics.
#[derive(Clone, Debug, Default)]
pub struct ReadSchedule {
    topics: BTreeMap<RecordTopic, TopicSchedule>,
}

impl ReadSchedule {
    /// Takes in which nodes live, this one included.
    pub fn set_nodes(&mut self, me: &InstanceId, live: &[InstanceId], topics: &[RecordTopic]) {
        for topic in topics {
            let seed = *topic as u64;
            let position = |node: &InstanceId| xxh3_64_with_seed(node.as_bytes(), seed);
            let own = position(me);
            let rank = live.iter().filter(|node| position(node) < own).count();
            self.topics.entry(*topic).or_default().rank = rank;
        }
    }

    /// Takes in that a topic was known at `at` to hold nothing that this node does not know.
    pub fn confirm(&mut self, topic: RecordTopic, at: Instant) {
        let confirmed_at = &mut self.topics.entry(topic).or_default().confirmed_at;
        *confirmed_at = (*confirmed_at).max(Some(at));
    }

    /// Takes in that the store answered a read.
    pub fn record_answer(&mut self, topic: RecordTopic, now: Instant) {
        let schedule = self.topics.entry(topic).or_default();
        schedule.answered_at = Some(now);
        schedule.failed_at = None;
    }

    /// Takes in that a read failed.
    pub fn record_failure(&mut self, topic: RecordTopic, now: Instant) {
        self.topics.entry(topic).or_default().failed_at = Some(now);
    }

    /// Returns how long ago the topic was known to hold nothing newer, none if it never was.
    pub fn age(&self, topic: RecordTopic, now: Instant) -> Option<Duration> {
        let confirmed_at = self.topics.get(&topic)?.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Returns what to do next about `topic`.
    pub fn next_read(&self, topic: RecordTopic, now: Instant) -> NextRead {
        let schedule = self.topics.get(&topic).copied().unwrap_or_default();
        let has_failed = schedule.failed_at.is_some_and(|at| now < at + FAILED_READ_BACKOFF);
        let (due_at, wait) = if schedule.rank < FOLLOWERS && !has_failed {
            (schedule.answered_at.map(|at| at + FOLLOWER_READ_GAP), FOLLOWER_READ_WAIT)
        } else {
            let steps = schedule.rank.saturating_sub(FOLLOWERS).min(MAX_STAGGER_STEPS) as u32;
            (
                schedule.confirmed_at.map(|at| at + STALE_AFTER + STALE_READ_STAGGER * steps),
                Duration::ZERO,
            )
        };
        match due_at {
            Some(due_at) if now < due_at => NextRead::Wait(due_at),
            _ => NextRead::Read { wait_until: now + wait },
        }
    }
}
