//! Account of the watts that a node may commit; shared by control and traffic threads.
//!
//! Each source of power has a deadline. A request may start only while, at every later moment,
//! the sources that last beyond it cover the requests whose own deadlines lie beyond it. A source
//! that lapses therefore never leaves running work behind.

use super::messages::{PowerAnswer, PowerRequest, TOTAL_PARTS};
use crate::document::Document;
use crate::types::{Priority, RequestId, ServerId};
use std::collections::BTreeMap;
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
        giver: crate::types::InstanceId,
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
}

/// Power that was refused since it was last taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PowerLack {
    /// Parts that the refused requests need beside what the node has.
    pub parts: u64,
    /// Latest deadline of the refused requests.
    pub needed_until: Instant,
}

#[derive(Clone, Debug)]
struct RunningWork {
    server: ServerId,
    watts: u64,
    priority: Priority,
    work_deadline: Instant,
    start_number: u64,
    is_shed: bool,
}

#[derive(Clone, Debug)]
struct Refusal {
    watts: u64,
    work_deadline: Instant,
}

#[derive(Debug, Default)]
struct AccountState {
    shared_watts: u64,
    request_watts: BTreeMap<ServerId, u64>,
    sources: BTreeMap<SourceId, PowerSource>,
    running: BTreeMap<RequestId, RunningWork>,
    last_start: u64,
    refused: BTreeMap<RequestId, Refusal>,
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

    /// Reduces a source to `parts` if the running work does not need the rest.
    pub fn try_reduce(&self, id: &SourceId, parts: u64, now: Instant) -> bool {
        self.lock().try_reduce(id, parts, now)
    }

    /// Whether running work needs a source.
    pub fn needs_source(&self, id: &SourceId, now: Instant) -> bool {
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
    pub fn spare_parts(&self, now: Instant) -> u64 {
        self.lock().spare_parts(now)
    }

    /// Takes up to `most_parts` that running work does not need away from the node's share.
    pub fn take_spare(&self, most_parts: u64, now: Instant) -> u64 {
        let mut state = self.lock();
        let taken_parts = state.spare_parts(now).min(most_parts);
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

/// Returns the watts that nodes may commit together: the budget less the idle draw of all servers.
pub fn shared_watts(document: &Document) -> u64 {
    let idle_watts: u64 =
        document.servers.values().map(|server| u64::from(server.idle_watts)).sum();
    u64::from(document.site.budget_watts).saturating_sub(idle_watts)
}

/// Returns the watts that `parts` of `shared_watts` come to, rounded down.
pub fn watts_of_parts(parts: u64, shared_watts: u64) -> u64 {
    let watts = u128::from(parts) * u128::from(shared_watts) / u128::from(TOTAL_PARTS);
    u64::try_from(watts).unwrap_or(u64::MAX)
}

/// Returns the least parts of `shared_watts` that come to `watts`.
pub fn parts_of_watts(watts: u64, shared_watts: u64) -> u64 {
    if shared_watts == 0 {
        return if watts == 0 { 0 } else { TOTAL_PARTS };
    }
    let parts = (u128::from(watts) * u128::from(TOTAL_PARTS)).div_ceil(u128::from(shared_watts));
    u64::try_from(parts).unwrap_or(u64::MAX).min(TOTAL_PARTS)
}

impl AccountState {
    fn try_start(&mut self, start: &PowerRequest, now: Instant) -> PowerAnswer {
        let Some(&watts) = self.request_watts.get(&start.server) else {
            return PowerAnswer::Impossible;
        };
        if watts > self.shared_watts || self.running.contains_key(&start.request) {
            return PowerAnswer::Impossible;
        }
        self.refused.remove(&start.request);
        self.last_start += 1;
        let work = RunningWork {
            server: start.server.clone(),
            watts,
            priority: start.priority,
            work_deadline: start.work_deadline,
            start_number: self.last_start,
            is_shed: false,
        };
        self.running.insert(start.request.clone(), work);
        if self.is_covered(now) {
            return PowerAnswer::Started;
        }
        self.running.remove(&start.request);
        let refusal = Refusal { watts, work_deadline: start.work_deadline };
        self.refused.insert(start.request.clone(), refusal);
        PowerAnswer::Lacking
    }

    /// Whether at every moment from `now` on the sources cover the work that may still run.
    fn is_covered(&self, now: Instant) -> bool {
        self.committed_beyond(None) <= self.watts_beyond(now)
            && self.sources.values().filter(|source| source.deadline > now).all(|source| {
                self.committed_beyond(Some(source.deadline)) <= self.watts_beyond(source.deadline)
            })
    }

    /// Watts of the running work whose deadline lies beyond `moment`, or of all of it.
    fn committed_beyond(&self, moment: Option<Instant>) -> u64 {
        self.running
            .values()
            .filter(|work| moment.is_none_or(|moment| work.work_deadline > moment))
            .map(|work| work.watts)
            .sum()
    }

    /// Parts of the sources that last beyond `moment`.
    fn parts_beyond(&self, moment: Instant) -> u64 {
        self.sources
            .values()
            .filter(|source| source.deadline > moment)
            .map(|source| source.parts)
            .sum()
    }

    /// Watts of the sources that last beyond `moment`.
    fn watts_beyond(&self, moment: Instant) -> u64 {
        watts_of_parts(self.parts_beyond(moment), self.shared_watts)
    }

    fn try_reduce(&mut self, id: &SourceId, parts: u64, now: Instant) -> bool {
        let Some(source) = self.sources.get_mut(id) else { return parts == 0 };
        let previous_parts = source.parts;
        source.parts = parts.min(previous_parts);
        if self.is_covered(now) {
            return true;
        }
        if let Some(source) = self.sources.get_mut(id) {
            source.parts = previous_parts;
        }
        false
    }

    /// Parts of the share that can be taken away while the rest covers the work at every moment.
    fn spare_parts(&self, now: Instant) -> u64 {
        let Some(share) = self.sources.get(&SourceId::Share) else { return 0 };
        if share.deadline <= now {
            return 0;
        }
        let spare_beyond = |moment: Instant, committed_watts: u64| {
            let needed_parts = parts_of_watts(committed_watts, self.shared_watts);
            self.parts_beyond(moment).saturating_sub(needed_parts)
        };
        self.sources
            .values()
            .map(|source| source.deadline)
            .filter(|moment| *moment > now && *moment < share.deadline)
            .map(|moment| spare_beyond(moment, self.committed_beyond(Some(moment))))
            .chain([spare_beyond(now, self.committed_beyond(None)), share.parts])
            .min()
            .unwrap_or(0)
    }

    fn take_shed(&mut self, now: Instant) -> Vec<RequestId> {
        let mut shed = Vec::new();
        let mut kept = self.running.clone();
        kept.retain(|_, work| !work.is_shed);
        std::mem::swap(&mut kept, &mut self.running);
        while !self.is_covered(now) {
            let worst = self
                .running
                .iter()
                .min_by_key(|(_, work)| (work.priority, std::cmp::Reverse(work.start_number)))
                .map(|(request, _)| request.clone());
            let Some(request) = worst else { break };
            self.running.remove(&request);
            shed.push(request);
        }
        std::mem::swap(&mut kept, &mut self.running);
        for request in &shed {
            if let Some(work) = self.running.get_mut(request) {
                work.is_shed = true;
            }
        }
        shed
    }

    fn take_lack(&mut self, now: Instant) -> Option<PowerLack> {
        let refused = std::mem::take(&mut self.refused);
        let needed_until = refused.values().map(|refusal| refusal.work_deadline).max()?;
        let refused_watts: u64 = refused.values().map(|refusal| refusal.watts).sum();
        let wanted_watts = (self.committed_beyond(None) + refused_watts).min(self.shared_watts);
        let wanted_parts = parts_of_watts(wanted_watts, self.shared_watts);
        let parts = wanted_parts.saturating_sub(self.parts_beyond(now));
        (parts > 0).then_some(PowerLack { parts, needed_until })
    }
}
