//! Queue of waiting requests: strict priority, then start-time fair queueing over workspaces.

use super::AdmissionId;
use crate::types::{Priority, WorkspaceId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;
use strum::IntoEnumIterator;

/// Waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Ticket.
    pub id: AdmissionId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Priority.
    pub priority: Priority,
    /// Tokens that the request is charged with once it starts.
    pub tokens: u32,
    /// When the request is refused.
    pub expires_at: Instant,
}

/// Requests of one priority, first come first within a workspace.
type WorkspaceQueues = BTreeMap<WorkspaceId, VecDeque<Waiter>>;

/// Queue of waiting requests.
///
/// A workspace is charged when its request starts, not when it arrives, so that refused requests
/// cost it nothing.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<Priority, WorkspaceQueues>,
    finish_tags: BTreeMap<WorkspaceId, u64>,
    virtual_time: u64,
}

impl FairQueue {
    /// Adds a request at the end of its workspace's lane.
    pub fn push(&mut self, waiting: Waiter) {
        let lanes = self.lanes.entry(waiting.priority).or_default();
        lanes.entry(waiting.workspace.clone()).or_default().push_back(waiting);
    }

    /// Takes the next request of a workspace that `may_start`, and charges it.
    pub fn pop(&mut self, may_start: impl Fn(&WorkspaceId) -> bool) -> Option<Waiter> {
        let (priority, workspace) = self.next_lane(may_start)?;
        let waiting = self.pop_front_of(priority, &workspace)?;
        self.charge(&workspace, waiting.tokens);
        Some(waiting)
    }

    /// Charges `workspace` with a request that starts.
    pub fn charge(&mut self, workspace: &WorkspaceId, tokens: u32) {
        let start = self.start_tag(workspace);
        self.virtual_time = self.virtual_time.max(start);
        self.finish_tags.insert(workspace.clone(), start + u64::from(tokens.max(1)));
        self.finish_tags.retain(|_, finish| *finish > self.virtual_time);
    }

    /// Removes the request with `ticket`.
    pub fn remove(&mut self, id: AdmissionId) -> Option<Waiter> {
        let removed = self.remove_where(|waiting| waiting.id == id);
        removed.into_iter().next()
    }

    /// Removes the requests that are to be refused at `now`.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Waiter> {
        self.remove_where(|waiting| waiting.expires_at <= now)
    }

    /// Returns how many requests would start before a new one of `workspace` and `priority`.
    pub fn requests_ahead(&self, workspace: &WorkspaceId, priority: Priority) -> usize {
        let higher: usize = self
            .lanes
            .range(priority..)
            .filter(|(other, _)| **other > priority)
            .flat_map(|(_, lanes)| lanes.values())
            .map(VecDeque::len)
            .sum();
        let Some(lanes) = self.lanes.get(&priority) else { return higher };
        let own = lanes.get(workspace).map_or(0, VecDeque::len);
        let others: usize = lanes
            .iter()
            .filter(|(other, _)| *other != workspace)
            .map(|(_, lane)| lane.len().min(own + 1))
            .sum();
        higher + own + others
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.lanes.values().flat_map(BTreeMap::values).map(VecDeque::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(BTreeMap::is_empty)
    }

    fn next_lane(
        &self,
        may_start: impl Fn(&WorkspaceId) -> bool,
    ) -> Option<(Priority, WorkspaceId)> {
        Priority::iter().rev().find_map(|priority| {
            let lanes = self.lanes.get(&priority)?;
            let workspace = lanes
                .keys()
                .filter(|workspace| may_start(workspace))
                .min_by_key(|workspace| self.start_tag(workspace))?;
            Some((priority, workspace.clone()))
        })
    }

    fn start_tag(&self, workspace: &WorkspaceId) -> u64 {
        self.finish_tags.get(workspace).copied().unwrap_or(0).max(self.virtual_time)
    }

    fn pop_front_of(&mut self, priority: Priority, workspace: &WorkspaceId) -> Option<Waiter> {
        let lanes = self.lanes.get_mut(&priority)?;
        let lane = lanes.get_mut(workspace)?;
        let waiting = lane.pop_front();
        if lane.is_empty() {
            lanes.remove(workspace);
        }
        waiting
    }

    fn remove_where(&mut self, matches: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let mut removed = Vec::new();
        for lanes in self.lanes.values_mut() {
            for lane in lanes.values_mut() {
                removed.extend(lane.iter().filter(|waiting| matches(waiting)).cloned());
                lane.retain(|waiting| !matches(waiting));
            }
            lanes.retain(|_, lane| !lane.is_empty());
        }
        removed
    }
}
