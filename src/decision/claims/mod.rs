//! At most one run of a non-idempotent call: claims of idempotency keys in the order of the log.
//!
//! A claim is appended before the call is sent; the first claim on a free key, in log order, owns
//! it. Ownership is learnt from reading the log alone, never from the answer to an append.

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

/// Wait that a refused caller is told if the log is up.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claims of this node and the fold of all claims.
#[derive(Debug)]
pub struct ClaimsState {
    settings: ClaimsSettings,
    instance_hash: u64,
    next_sequence: u64,
    pending_claims: usize,
    fold: ClaimFold,
    queue: AppendQueue,
    kept: KeptAnswers,
    local: HashMap<KeyHash, LocalClaim>,
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
            queue: AppendQueue::new(settings.appends_per_s),
            kept: KeptAnswers::new(settings.max_kept_answers_bytes),
            local: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Applies `event` and returns what to do.
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
                self.queue.set_share(self.settings.appends_per_s, nodes);
            }
            ClaimEvent::Tick => {}
        }
        commands.extend(self.queue.start(now));
        commands
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.fold.next_offset()
    }

    /// Number of keys remembered from the log.
    pub fn tracked_keys(&self) -> usize {
        self.fold.len()
    }

    /// Number of calls that wait for a claim.
    pub fn pending_claims(&self) -> usize {
        self.pending_claims
    }

    /// When a refused caller may send again.
    fn retry_at(&self, now: Instant) -> Option<Instant> {
        self.queue.down_until().or(Some(now + RETRY_AFTER))
    }
}
