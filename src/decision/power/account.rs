//! Account of the watts that a node may commit; shared by control and traffic threads.
//!
//! Each source of power has a deadline, and so has each request. A request may start only if, at
//! every later moment, the sources that are still valid cover the requests that may still run. A
//! source that expires therefore never leaves running requests without power.

use super::account_state::{AccountState, RefusedRequest, shared_watts};
use super::messages::{PowerAnswer, PowerRequest};
use crate::document::Document;
use crate::types::{InstanceId, RequestId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use strum::Display;

/// Identifies a source of power.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum SourceId {
    /// The node's own share.
    Share,
    /// Grant received from a partner.
    Grant {
        /// Partner that granted it.
        giver: InstanceId,
        /// Number of the grant, unique within the partner.
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
    /// From when the parts cover no new requests.
    pub start_deadline: Instant,
}

/// Power that recent refused requests lacked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PowerDeficit {
    /// Parts that the refused requests need beyond those of the node.
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
    /// Commits the watts of a request until [`PowerAccount::finish`] if the sources cover it. `now`
    /// must be read immediately before the call.
    pub fn try_start(&self, start: &PowerRequest, now: Instant) -> PowerAnswer {
        self.lock().try_start(start, now)
    }

    /// Frees the watts of a request; call it when the server no longer runs the request.
    pub fn finish(&self, request: &RequestId) {
        self.lock().running.remove(request);
    }

    /// Sets the budget and the watts of a request on each server from `document`.
    pub fn set_document(&self, document: &Document) {
        let mut state = self.lock();
        state.shared_watts = shared_watts(document);
        state.request_watts = document
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), u64::from(server.request_watts)))
            .collect();
        let AccountState { request_watts, running, .. } = &mut *state;
        for request in running.values_mut() {
            if let Some(watts) = request_watts.get(&request.server) {
                request.watts = *watts;
            }
        }
    }

    /// Adds or replaces a source; a smaller one may no longer cover the running requests.
    pub fn set_source(&self, id: SourceId, source: PowerSource) {
        self.lock().sources.insert(id, source);
    }

    /// Moves the time from when a source covers no new requests to `start_deadline`, if later.
    pub fn extend_start_deadline(&self, id: &SourceId, start_deadline: Instant) {
        if let Some(source) = self.lock().sources.get_mut(id) {
            source.start_deadline = source.start_deadline.max(start_deadline);
        }
    }

    /// Reduces a source to `parts` if the running requests do not need the rest; returns whether it
    /// did.
    pub fn try_reduce(&self, id: &SourceId, parts: u64, now: Instant) -> bool {
        self.lock().try_reduce(id, parts, now)
    }

    /// Whether the running requests would not be covered without a source.
    pub fn is_source_needed(&self, id: &SourceId, now: Instant) -> bool {
        let mut state = self.lock();
        let Some(source) = state.sources.remove(id) else { return false };
        let is_needed = !state.is_covered(now);
        state.sources.insert(id.clone(), source);
        is_needed
    }

    /// Returns the latest deadline of the running requests.
    pub fn last_work_deadline(&self) -> Option<Instant> {
        self.lock().running.values().map(|running| running.work_deadline).max()
    }

    /// Removes a source, even if running requests need it.
    pub fn remove_source(&self, id: &SourceId) {
        self.lock().sources.remove(id);
    }

    /// Returns the parts of the node's share that running requests do not need from `now` on.
    pub fn uncommitted_parts(&self, now: Instant) -> u64 {
        self.lock().uncommitted_parts(now)
    }

    /// Removes up to `max_parts` that running requests do not need from the node's share; returns
    /// how many.
    pub fn take_uncommitted(&self, max_parts: u64, now: Instant) -> u64 {
        let mut state = self.lock();
        let taken_parts = state.uncommitted_parts(now).min(max_parts);
        if let Some(share) = state.sources.get_mut(&SourceId::Share) {
            share.parts -= taken_parts;
        }
        taken_parts
    }

    /// Returns the running requests that the sources no longer cover, each of them once: lowest
    /// priority first, then latest start first.
    pub fn take_requests_to_shed(&self, now: Instant) -> Vec<RequestId> {
        self.lock().take_requests_to_shed(now)
    }

    /// Adds `requests` refused requests of the highest wattage that run until `work_deadline`.
    pub fn add_deficit(&self, requests: u64, work_deadline: Instant) {
        let mut state = self.lock();
        let max_watts = state.request_watts.values().copied().max().unwrap_or(0);
        let refusal = RefusedRequest { watts: max_watts * requests, work_deadline };
        state.refused.insert(RequestId::default(), refusal);
    }

    /// Returns the power that requests refused since the last call lacked.
    pub fn take_deficit(&self, now: Instant) -> Option<PowerDeficit> {
        self.lock().take_deficit(now)
    }

    /// Returns the watts that may be committed at `now`.
    pub fn allowed_watts(&self, now: Instant) -> u64 {
        self.lock().watts_after(now)
    }

    /// Returns the watts committed to running requests.
    pub fn committed_watts(&self) -> u64 {
        self.lock().running.values().map(|running| running.watts).sum()
    }

    /// Returns the watts that the nodes divide among them: the budget less the idle draw.
    pub fn shared_watts(&self) -> u64 {
        self.lock().shared_watts
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
