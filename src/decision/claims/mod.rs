//! Claims of idempotency keys, so that a non-idempotent call runs at most once.
//!
//! A node appends a claim to the log before it sends the call; the first claim on a free key, in
//! log order, owns the key. Only records read from the log decide ownership, not the answer to an
//! append: an append without an answer may still have taken effect.

pub mod append_queue;
mod begin;
pub mod fold;
pub mod kept_answers;
pub mod key_created_at;
mod local;
pub mod messages;
mod progress;
pub mod record;
pub mod settings;

pub use key_created_at::key_created_at;
pub use messages::*;
pub use record::{ClaimEntry, ClaimId, Fingerprint, KeyHash, encode_record, hash_key};
pub use settings::ClaimsSettings;

use crate::types::{InstanceId, LogOffset};
use append_queue::AppendQueue;
use fold::ClaimFold;
use kept_answers::KeptAnswers;
use local::{KeyDeadline, LocalClaim};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Wait before the retry of a refused request while the log is up.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Claims of this node, and the owners of all keys as read from the log.
#[derive(Debug)]
pub struct ClaimsState {
    settings: ClaimsSettings,
    /// [`ClaimId::instance_hash`] of this node's claims.
    instance_hash: u64,
    next_sequence: u64,
    /// Local claims in [`local::Phase::Pending`].
    pending_claims: usize,
    fold: ClaimFold,
    append_queue: AppendQueue,
    kept_answers: KeptAnswers,
    local_claims: HashMap<KeyHash, LocalClaim>,
    deadlines: BTreeSet<KeyDeadline>,
}

impl ClaimsState {
    /// Returns the state of a node that has just started as `instance`.
    pub fn new(instance: &InstanceId, settings: ClaimsSettings) -> Self {
        Self {
            settings,
            instance_hash: xxhash_rust::xxh3::xxh3_64(instance.as_bytes()),
            next_sequence: 1,
            pending_claims: 0,
            fold: ClaimFold::new(settings.dedup_window_ms()),
            append_queue: AppendQueue::new(settings.appends_per_s),
            kept_answers: KeptAnswers::new(settings.max_kept_answers_bytes),
            local_claims: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Applies `event` and returns the resulting commands.
    pub fn apply(&mut self, event: ClaimEvent, now: Instant) -> Vec<ClaimCommand> {
        let mut commands = Vec::new();
        self.expire(now, &mut commands);
        match event {
            ClaimEvent::Begin(request) => self.begin(request, now, &mut commands),
            ClaimEvent::AppendEnded { batch, offset } => {
                self.end_append(batch, offset, now, &mut commands);
            }
            ClaimEvent::Page(page) => self.fold_page(&page, now, &mut commands),
            ClaimEvent::RunEnded { claim, key, ending } => {
                self.end_run(claim, key, ending, now, &mut commands);
            }
            ClaimEvent::LiveNodes(nodes) => {
                self.append_queue.set_rate(self.settings.appends_per_s, nodes);
            }
            ClaimEvent::Tick => {}
        }
        commands.extend(self.append_queue.start_append(now));
        commands
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.fold.next_offset()
    }

    /// Number of keys with claims in the deduplication window.
    pub fn tracked_keys(&self) -> usize {
        self.fold.len()
    }

    /// Number of claims whose record has not been read back from the log.
    pub fn pending_claims(&self) -> usize {
        self.pending_claims
    }

    /// When a refused request may be retried.
    fn retry_at(&self, now: Instant) -> Option<Instant> {
        self.append_queue.log_down_until().or(Some(now + RETRY_DELAY))
    }
}
