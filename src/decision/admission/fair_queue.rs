//! Queue of waiting requests: strict priority, then start-time fair queueing over workspaces.

use super::AdmissionId;
use crate::types::{Priority, WorkspaceId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;
use strum::IntoEnumIterator;

/// Request in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Identifier of the request.
    pub id: AdmissionId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Tokens that the workspace is charged with when the request starts.
    pub tokens: u32,
    /// When the request is refused if it has not started.
    pub expires_at: Instant,
}

/// Waiters of one priority by workspace, each workspace first in, first out.
type WorkspaceQueues = BTreeMap<WorkspaceId, VecDeque<Waiter>>;

/// Queue of waiting requests.
///
/// A workspace is charged when its request starts, not when it arrives, so that it does not pay for
/// refused requests.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<Priority, WorkspaceQueues>,
    /// Virtual time up to which each workspace has been charged, in tokens.
    finish_tags: BTreeMap<WorkspaceId, u64>,
    /// Highest start tag of a request that has started, in tokens.
    virtual_time: u64,
}

impl FairQueue {
    /// Adds a waiter at the end of its workspace's queue.
    pub fn push(&mut self, waiter: Waiter) {
        let queues = self.queues.entry(waiter.priority).or_default();
        queues.entry(waiter.workspace.clone()).or_default().push_back(waiter);
    }

    /// Removes the next waiter among the workspaces that `may_start`, and charges its workspace.
    pub fn pop(&mut self, may_start: impl Fn(&WorkspaceId) -> bool) -> Option<Waiter> {
        let (priority, workspace) = self.next_queue(may_start)?;
        let waiter = self.pop_front_of(priority, &workspace)?;
        self.charge(&workspace, waiter.tokens);
        Some(waiter)
    }

    /// Charges `workspace` with `tokens` for a request that starts.
    pub fn charge(&mut self, workspace: &WorkspaceId, tokens: u32) {
        let start = self.start_tag(workspace);
        self.virtual_time = self.virtual_time.max(start);
        self.finish_tags.insert(workspace.clone(), start + u64::from(tokens.max(1)));
        self.finish_tags.retain(|_, finish| *finish > self.virtual_time);
    }

    /// Removes the waiter with `id`.
    pub fn remove(&mut self, id: AdmissionId) -> Option<Waiter> {
        let removed = self.remove_where(|waiter| waiter.id == id);
        removed.into_iter().next()
    }

    /// Removes the waiters that have expired.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Waiter> {
        self.remove_where(|waiter| waiter.expires_at <= now)
    }

    /// Returns how many waiters would start before a new one of `workspace` and `priority`.
    pub fn requests_ahead(&self, workspace: &WorkspaceId, priority: Priority) -> usize {
        let higher: usize = self
            .queues
            .range(priority..)
            .filter(|(other, _)| **other > priority)
            .flat_map(|(_, queues)| queues.values())
            .map(VecDeque::len)
            .sum();
        let Some(queues) = self.queues.get(&priority) else { return higher };
        let own_waiters = queues.get(workspace).map_or(0, VecDeque::len);
        let other_waiters: usize = queues
            .iter()
            .filter(|(other, _)| *other != workspace)
            .map(|(_, queue)| queue.len().min(own_waiters + 1))
            .sum();
        higher + own_waiters + other_waiters
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.queues.values().flat_map(BTreeMap::values).map(VecDeque::len).sum()
    }

    /// Returns whether the queue has no waiters.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(BTreeMap::is_empty)
    }

    /// Returns the highest priority with a workspace that may start, and the workspace with the
    /// lowest start tag there.
    fn next_queue(
        &self,
        may_start: impl Fn(&WorkspaceId) -> bool,
    ) -> Option<(Priority, WorkspaceId)> {
        Priority::iter().rev().find_map(|priority| {
            let queues = self.queues.get(&priority)?;
            let workspace = queues
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
        let queues = self.queues.get_mut(&priority)?;
        let queue = queues.get_mut(workspace)?;
        let waiter = queue.pop_front();
        if queue.is_empty() {
            queues.remove(workspace);
        }
        waiter
    }

    fn remove_where(&mut self, matches: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let mut removed = Vec::new();
        for queues in self.queues.values_mut() {
            for queue in queues.values_mut() {
                removed.extend(queue.iter().filter(|waiter| matches(waiter)).cloned());
                queue.retain(|waiter| !matches(waiter));
            }
            queues.retain(|_, queue| !queue.is_empty());
        }
        removed
    }
}
