//! Naive reference of the fair queue: one list, scanned in full at each step.

use coriandertide::decision::admission::fair_queue::Waiter;
use coriandertide::types::{Priority, WorkspaceId};
use std::collections::BTreeMap;

/// Waiters in order of arrival, and the finish tag of each workspace.
#[derive(Default)]
pub struct NaiveQueue {
    pub waiting: Vec<Waiter>,
    finish_tags: BTreeMap<WorkspaceId, u64>,
    virtual_time: u64,
}

impl NaiveQueue {
    pub fn pop(&mut self, may_start: impl Fn(&WorkspaceId) -> bool) -> Option<Waiter> {
        let candidates = self.waiting.iter().enumerate().filter(|(_, w)| may_start(&w.workspace));
        let next = candidates.min_by_key(|(index, waiter)| {
            (
                std::cmp::Reverse(waiter.priority),
                self.start_tag(&waiter.workspace),
                waiter.workspace.clone(),
                *index,
            )
        });
        let index = next.map(|(index, _)| index)?;
        let waiter = self.waiting.remove(index);
        self.charge(&waiter.workspace, waiter.tokens);
        Some(waiter)
    }

    pub fn charge(&mut self, workspace: &WorkspaceId, tokens: u32) {
        let start_tag = self.start_tag(workspace);
        self.virtual_time = self.virtual_time.max(start_tag);
        self.finish_tags.insert(workspace.clone(), start_tag + u64::from(tokens.max(1)));
    }

    pub fn requests_ahead(&self, workspace: &WorkspaceId, priority: Priority) -> usize {
        let count = |matches: &dyn Fn(&Waiter) -> bool| {
            self.waiting.iter().filter(|waiter| matches(waiter)).count()
        };
        let higher = count(&|waiter| waiter.priority > priority);
        let own = count(&|w| w.priority == priority && w.workspace == *workspace);
        let names: std::collections::BTreeSet<_> =
            self.waiting.iter().map(|waiter| &waiter.workspace).collect();
        let others: usize = names
            .into_iter()
            .filter(|name| *name != workspace)
            .map(|name| count(&|w| w.priority == priority && w.workspace == *name).min(own + 1))
            .sum();
        higher + own + others
    }

    fn start_tag(&self, workspace: &WorkspaceId) -> u64 {
        self.finish_tags.get(workspace).copied().unwrap_or(0).max(self.virtual_time)
    }
}
