//! State of the power account: what covers what, at every later moment.

use super::account::{PowerLack, PowerSource, SourceId};
use super::messages::{PowerAnswer, PowerRequest, TOTAL_PARTS};
use crate::document::Document;
use crate::types::{Priority, RequestId, ServerId};
use std::collections::BTreeMap;
use std::time::Instant;

/// Request that a server runs.
#[derive(Clone, Debug)]
pub(super) struct RunningWork {
    pub(super) server: ServerId,
    pub(super) watts: u64,
    pub(super) priority: Priority,
    pub(super) work_deadline: Instant,
    pub(super) start_number: u64,
    pub(super) is_shed: bool,
}

/// Request that was refused.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) watts: u64,
    pub(super) work_deadline: Instant,
}

/// Sources of power and the work that they cover.
#[derive(Debug, Default)]
pub(super) struct AccountState {
    pub(super) shared_watts: u64,
    pub(super) request_watts: BTreeMap<ServerId, u64>,
    pub(super) sources: BTreeMap<SourceId, PowerSource>,
    pub(super) running: BTreeMap<RequestId, RunningWork>,
    pub(super) last_start: u64,
    pub(super) refused: BTreeMap<RequestId, Refusal>,
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
    pub(super) fn try_start(&mut self, start: &PowerRequest, now: Instant) -> PowerAnswer {
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
        if self.is_covered(now) && self.is_startable(now) {
            return PowerAnswer::Started;
        }
        self.running.remove(&start.request);
        let refusal = Refusal { watts, work_deadline: start.work_deadline };
        self.refused.insert(start.request.clone(), refusal);
        PowerAnswer::Lacking
    }

    /// Whether at every moment from `now` on the sources cover the work that may still run.
    pub(super) fn is_covered(&self, now: Instant) -> bool {
        self.committed_beyond(None) <= self.watts_beyond(now)
            && self.sources.values().filter(|source| source.deadline > now).all(|source| {
                self.committed_beyond(Some(source.deadline)) <= self.watts_beyond(source.deadline)
            })
    }

    /// Whether the sources that cover new work cover all work.
    fn is_startable(&self, now: Instant) -> bool {
        let parts = self.startable_parts(now);
        self.committed_beyond(None) <= watts_of_parts(parts, self.shared_watts)
    }

    /// Parts of the sources that cover new work at `now`.
    fn startable_parts(&self, now: Instant) -> u64 {
        self.sources
            .values()
            .filter(|source| source.deadline > now && source.start_deadline > now)
            .map(|source| source.parts)
            .sum()
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
    pub(super) fn watts_beyond(&self, moment: Instant) -> u64 {
        watts_of_parts(self.parts_beyond(moment), self.shared_watts)
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

    /// Parts of the share that can be taken away while the rest covers the work at every moment.
    pub(super) fn uncommitted_parts(&self, now: Instant) -> u64 {
        let Some(share) = self.sources.get(&SourceId::Share) else { return 0 };
        if share.deadline <= now || !self.is_covered(now) {
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

    pub(super) fn take_shed(&mut self, now: Instant) -> Vec<RequestId> {
        let mut shed = Vec::new();
        if self.is_covered(now) {
            return shed;
        }
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

    pub(super) fn take_lack(&mut self, now: Instant) -> Option<PowerLack> {
        let refused = std::mem::take(&mut self.refused);
        let needed_until = refused.values().map(|refusal| refusal.work_deadline).max()?;
        let refused_watts: u64 = refused.values().map(|refusal| refusal.watts).sum();
        let lacking_parts = |committed_watts: u64, parts: u64| {
            let wanted_watts = (committed_watts + refused_watts).min(self.shared_watts);
            parts_of_watts(wanted_watts, self.shared_watts).saturating_sub(parts)
        };
        let parts = self
            .sources
            .values()
            .map(|source| source.deadline)
            .filter(|moment| *moment > now && *moment < needed_until)
            .map(|moment| {
                lacking_parts(self.committed_beyond(Some(moment)), self.parts_beyond(moment))
            })
            .chain([lacking_parts(self.committed_beyond(None), self.startable_parts(now))])
            .max()
            .unwrap_or(0);
        (parts > 0).then_some(PowerLack { parts, needed_until })
    }
}
