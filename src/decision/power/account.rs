//! Account of the watts that a node may commit; shared by control and traffic threads.
//!
//! Each source of power has a deadline. A request may start only while, at every later moment,
//! the sources that last beyond it cover the requests whose own deadlines lie beyond it. A source
//! that lapses therefore never leaves running work behind.

use super::account_state::{AccountState, Refusal, shared_watts};
use super::messages::{PowerAnswer, PowerRequest};
use crate::document::Document;
use crate::types::{InstanceId, RequestId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use strum::Display;

/// Id of a source of power.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum SourceId {
    /// The node's own share.
    Share,
    /// Grant of a partner.
    Grant {
        /// Partner.
        giver: InstanceId,
        /// Number of the grant within the partner.
        grant: u64,
    },
}

/// Parts that the node may use until a deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PowerSource {
    /// Parts.
    pub parts: u64,
    /// From when the parts may no longer be used.
    pub deadline: Instant,
    /// From when the parts cover no new work.
    pub start_deadline: Instant,
}

/// Power that was refused since it was last taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PowerLack {
    /// Parts that the refused requests need beside what the node has.
    pub parts: u64,
    /// Latest deadline of the refused requests.
    pub needed_until: Instant,
}

/// Account of the watts that a node may commit.
#[derive(Debug, Default)]
pub struct PowerAccount {
    state: Mutex<AccountState>,
}

impl PowerAccount {
    /// Commits the draw of a request until [`PowerAccount::finish`], if the allowance covers it.
    /// `now` must be read immediately before the call.
    pub fn try_start(&self, start: &PowerRequest, now: Instant) -> PowerAnswer {
        self.lock().try_start(start, now)
    }

    /// Ends the draw of a request; to be called when the server no longer runs it.
    pub fn finish(&self, request: &RequestId) {
        self.lock().running.remove(request);
    }

    /// Sets the budget and draws of `document`.
    pub fn set_document(&self, document: &Document) {
        let mut state = self.lock();
        state.shared_watts = shared_watts(document);
        state.request_watts = document
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), u64::from(server.request_watts)))
            .collect();
        let AccountState { request_watts, running, .. } = &mut *state;
        for work in running.values_mut() {
            if let Some(watts) = request_watts.get(&work.server) {
                work.watts = *watts;
            }
        }
    }

    /// Adds or replaces a source. Replacing it by a smaller one may leave work to be shed.
    pub fn set_source(&self, id: SourceId, source: PowerSource) {
        self.lock().sources.insert(id, source);
    }

    /// Postpones the time from when a source covers no new work.
    pub fn extend_start_deadline(&self, id: &SourceId, start_deadline: Instant) {
        if let Some(source) = self.lock().sources.get_mut(id) {
            source.start_deadline = source.start_deadline.max(start_deadline);
        }
    }

    /// Reduces a source to `parts` if the running work does not need the rest.
    pub fn try_reduce(&self, id: &SourceId, parts: u64, now: Instant) -> bool {
        self.lock().try_reduce(id, parts, now)
    }

    /// Whether running work needs a source.
    pub fn is_source_needed(&self, id: &SourceId, now: Instant) -> bool {
        let mut state = self.lock();
        let Some(source) = state.sources.remove(id) else { return false };
        let is_needed = !state.is_covered(now);
        state.sources.insert(id.clone(), source);
        is_needed
    }

    /// Returns the latest deadline of the running work.
    pub fn last_work_deadline(&self) -> Option<Instant> {
        self.lock().running.values().map(|work| work.work_deadline).max()
    }

    /// Removes a source, for work that no longer runs or must be shed.
    pub fn remove_source(&self, id: &SourceId) {
        self.lock().sources.remove(id);
    }

    /// Returns the parts of the node's share that running work does not need at `now`.
    pub fn uncommitted_parts(&self, now: Instant) -> u64 {
        self.lock().uncommitted_parts(now)
    }

    /// Takes up to `most_parts` that running work does not need away from the node's share.
    pub fn take_uncommitted(&self, most_parts: u64, now: Instant) -> u64 {
        let mut state = self.lock();
        let taken_parts = state.uncommitted_parts(now).min(most_parts);
        if let Some(share) = state.sources.get_mut(&SourceId::Share) {
            share.parts -= taken_parts;
        }
        taken_parts
    }

    /// Returns, once, the running requests that the allowance no longer covers: lowest priority
    /// first, then latest start first.
    pub fn take_shed(&self, now: Instant) -> Vec<RequestId> {
        self.lock().take_shed(now)
    }

    /// Counts `requests` of the highest draw as refused, with work until `work_deadline`.
    pub fn add_lack(&self, requests: u64, work_deadline: Instant) {
        let mut state = self.lock();
        let most_watts = state.request_watts.values().copied().max().unwrap_or(0);
        let refusal = Refusal { watts: most_watts * requests, work_deadline };
        state.refused.insert(RequestId::default(), refusal);
    }

    /// Returns and clears the power that was refused.
    pub fn take_lack(&self, now: Instant) -> Option<PowerLack> {
        self.lock().take_lack(now)
    }

    /// Returns the watts that may be committed at `now`.
    pub fn allowed_watts(&self, now: Instant) -> u64 {
        self.lock().watts_beyond(now)
    }

    /// Returns the watts committed.
    pub fn committed_watts(&self) -> u64 {
        self.lock().running.values().map(|work| work.watts).sum()
    }

    /// Returns the watts that all nodes share: the budget less the idle draw.
    pub fn shared_watts(&self) -> u64 {
        self.lock().shared_watts
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
