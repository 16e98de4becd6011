//! State of the power account: whether the sources cover the requests at every later moment.

use super::account::{PowerDeficit, PowerSource, SourceId};
use super::messages::{PowerAnswer, PowerRequest, TOTAL_PARTS};
use crate::document::Document;
use crate::types::{Priority, RequestId, ServerId};
use std::collections::BTreeMap;
use std::time::Instant;

/// Request that a server runs, and the watts committed to it.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) server: ServerId,
    pub(super) watts: u64,
    pub(super) priority: Priority,
    pub(super) work_deadline: Instant,
    /// Number of the start within this account; later starts are shed first.
    pub(super) start_number: u64,
    /// Whether it has been returned for cancellation.
    pub(super) is_shed: bool,
}

/// Request that was refused for lack of power.
#[derive(Clone, Debug)]
pub(super) struct RefusedRequest {
    pub(super) watts: u64,
    pub(super) work_deadline: Instant,
}

/// Sources of power and the requests that they cover.
#[derive(Debug, Default)]
pub(super) struct AccountState {
    /// Budget less the idle draw of all servers.
    pub(super) shared_watts: u64,
    /// Watts of one request on each server.
    pub(super) request_watts: BTreeMap<ServerId, u64>,
    pub(super) sources: BTreeMap<SourceId, PowerSource>,
    pub(super) running: BTreeMap<RequestId, RunningRequest>,
    pub(super) last_start_number: u64,
    pub(super) refused: BTreeMap<RequestId, RefusedRequest>,
}

/// Returns the watts that all nodes together may commit: the budget less the idle draw of all
/// servers.
pub fn shared_watts(document: &Document) -> u64 {
    let idle_watts: u64 =
        document.servers.values().map(|server| u64::from(server.idle_watts)).sum();
    u64::from(document.site.budget_watts).saturating_sub(idle_watts)
}

/// Converts parts to watts of `shared_watts`, rounded down.
pub fn parts_to_watts(parts: u64, shared_watts: u64) -> u64 {
    let watts = u128::from(parts) * u128::from(shared_watts) / u128::from(TOTAL_PARTS);
    u64::try_from(watts).unwrap_or(u64::MAX)
}

/// Converts watts to parts of `shared_watts`, rounded up.
pub fn watts_to_parts(watts: u64, shared_watts: u64) -> u64 {
    if shared_watts == 0 {
        return if watts == 0 { 0 } else { TOTAL_PARTS };
    }
    let parts = (u128::from(watts) * u128::from(TOTAL_PARTS)).div_ceil(u128::from(shared_watts));
    u64::try_from(parts).unwrap_or(u64::MAX).min(TOTAL_PARTS)
}

impl AccountState {
    pub(super) fn try_start(&mut self, start: &PowerRequest, now: Instant) -> PowerAnswer {
        let Some(&watts) = self.request_watts.get(&start.server) else {
            return PowerAnswer::Impossible;
        };
        if watts > self.shared_watts || self.running.contains_key(&start.request) {
            return PowerAnswer::Impossible;
        }
        self.refused.remove(&start.request);
        self.last_start_number += 1;
        let running = RunningRequest {
            server: start.server.clone(),
            watts,
            priority: start.priority,
            work_deadline: start.work_deadline,
            start_number: self.last_start_number,
            is_shed: false,
        };
        self.running.insert(start.request.clone(), running);
        if self.is_covered(now) && self.can_start_all(now) {
            return PowerAnswer::Started;
        }
        self.running.remove(&start.request);
        let refusal = RefusedRequest { watts, work_deadline: start.work_deadline };
        self.refused.insert(start.request.clone(), refusal);
        PowerAnswer::Lacking
    }

    /// Whether the sources cover the requests that may still run at every moment from `now` on.
    pub(super) fn is_covered(&self, now: Instant) -> bool {
        self.committed_watts_after(None) <= self.watts_after(now)
            && self.sources.values().filter(|source| source.deadline > now).all(|source| {
                self.committed_watts_after(Some(source.deadline))
                    <= self.watts_after(source.deadline)
            })
    }

    /// Whether the sources that cover new requests are enough for all running ones.
    fn can_start_all(&self, now: Instant) -> bool {
        let parts = self.parts_for_new_requests(now);
        self.committed_watts_after(None) <= parts_to_watts(parts, self.shared_watts)
    }

    /// Parts of the sources that cover new requests at `now`.
    fn parts_for_new_requests(&self, now: Instant) -> u64 {
        self.sources
            .values()
            .filter(|source| source.deadline > now && source.start_deadline > now)
            .map(|source| source.parts)
            .sum()
    }

    /// Watts of the running requests with a deadline after `moment`, or of all of them.
    fn committed_watts_after(&self, moment: Option<Instant>) -> u64 {
        self.running
            .values()
            .filter(|running| moment.is_none_or(|moment| running.work_deadline > moment))
            .map(|running| running.watts)
            .sum()
    }

    /// Parts of the sources with a deadline after `moment`.
    fn parts_after(&self, moment: Instant) -> u64 {
        self.sources
            .values()
            .filter(|source| source.deadline > moment)
            .map(|source| source.parts)
            .sum()
    }

    /// Watts of the sources with a deadline after `moment`.
    pub(super) fn watts_after(&self, moment: Instant) -> u64 {
        parts_to_watts(self.parts_after(moment), self.shared_watts)
    }

    pub(super) fn try_reduce(&mut self, id: &SourceId, parts: u64, now: Instant) -> bool {
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

    /// Parts that the share can lose while the running requests stay covered at every moment.
    pub(super) fn uncommitted_parts(&self, now: Instant) -> u64 {
        let Some(share) = self.sources.get(&SourceId::Share) else { return 0 };
        if share.deadline <= now || !self.is_covered(now) {
            return 0;
        }
        let surplus_after = |moment: Instant, committed_watts: u64| {
            let needed_parts = watts_to_parts(committed_watts, self.shared_watts);
            self.parts_after(moment).saturating_sub(needed_parts)
        };
        self.sources
            .values()
            .map(|source| source.deadline)
            .filter(|moment| *moment > now && *moment < share.deadline)
            .map(|moment| surplus_after(moment, self.committed_watts_after(Some(moment))))
            .chain([surplus_after(now, self.committed_watts_after(None)), share.parts])
            .min()
            .unwrap_or(0)
    }

    pub(super) fn take_requests_to_shed(&mut self, now: Instant) -> Vec<RequestId> {
        let mut shed = Vec::new();
        if self.is_covered(now) {
            return shed;
        }
        // Requests already shed no longer count; the full map is swapped back at the end.
        let mut swapped_running = self.running.clone();
        swapped_running.retain(|_, running| !running.is_shed);
        std::mem::swap(&mut swapped_running, &mut self.running);
        while !self.is_covered(now) {
            let candidate = self
                .running
                .iter()
                .min_by_key(|(_, running)| {
                    (running.priority, std::cmp::Reverse(running.start_number))
                })
                .map(|(request, _)| request.clone());
            let Some(request) = candidate else { break };
            self.running.remove(&request);
            shed.push(request);
        }
        std::mem::swap(&mut swapped_running, &mut self.running);
        for request in &shed {
            if let Some(running) = self.running.get_mut(request) {
                running.is_shed = true;
            }
        }
        shed
    }

    pub(super) fn take_deficit(&mut self, now: Instant) -> Option<PowerDeficit> {
        let refused = std::mem::take(&mut self.refused);
        let needed_until = refused.values().map(|refusal| refusal.work_deadline).max()?;
        let refused_watts: u64 = refused.values().map(|refusal| refusal.watts).sum();
        let missing_parts = |committed_watts: u64, parts: u64| {
            let needed_watts = (committed_watts + refused_watts).min(self.shared_watts);
            watts_to_parts(needed_watts, self.shared_watts).saturating_sub(parts)
        };
        let parts = self
            .sources
            .values()
            .map(|source| source.deadline)
            .filter(|moment| *moment > now && *moment < needed_until)
            .map(|moment| {
                missing_parts(self.committed_watts_after(Some(moment)), self.parts_after(moment))
            })
            .chain([missing_parts(
                self.committed_watts_after(None),
                self.parts_for_new_requests(now),
            )])
            .max()
            .unwrap_or(0);
        (parts > 0).then_some(PowerDeficit { parts, needed_until })
    }
}
