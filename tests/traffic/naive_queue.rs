//! Naive twin of the fair queue: one list, scanned whole at each step.

use coriandertide::decision::admission::fair_queue::Waiter;
use coriandertide::types::{Priority, WorkspaceId};
use std::collections::BTreeMap;

/// Waiting requests in the order of their arrival, and the work that each workspace was charged.
#[derive(Default)]
pub struct NaiveQueue {
    pub waiting: Vec<Waiter>,
    finish: BTreeMap<WorkspaceId, u64>,
    virtual_time: u64,
}

impl NaiveQueue {
    pub fn pop(&mut self, may_start: impl Fn(&WorkspaceId) -> bool) -> Option<Waiter> {
        let candidates = self.waiting.iter().enumerate().filter(|(_, w)| may_start(&w.workspace));
        let next = candidates.min_by_key(|(index, waiting)| {
            (
                std::cmp::Reverse(waiting.priority),
                self.start(&waiting.workspace),
                waiting.workspace.clone(),
                *index,
            )
        });
        let index = next.map(|(index, _)| index)?;
        let waiting = self.waiting.remove(index);
        self.charge(&waiting.workspace, waiting.tokens);
        Some(waiting)
    }

    pub fn charge(&mut self, workspace: &WorkspaceId, tokens: u32) {
        let start = self.start(workspace);
        self.virtual_time = self.virtual_time.max(start);
        self.finish.insert(workspace.clone(), start + u64::from(tokens.max(1)));
    }

    pub fn requests_ahead(&self, workspace: &WorkspaceId, priority: Priority) -> usize {
        let count = |matches: &dyn Fn(&Waiter) -> bool| {
            self.waiting.iter().filter(|waiting| matches(waiting)).count()
        };
        let higher = count(&|waiting| waiting.priority > priority);
        let own = count(&|w| w.priority == priority && w.workspace == *workspace);
        let names: std::collections::BTreeSet<_> =
            self.waiting.iter().map(|waiting| &waiting.workspace).collect();
        let others: usize = names
            .into_iter()
            .filter(|name| *name != workspace)
            .map(|name| count(&|w| w.priority == priority && w.workspace == *name).min(own + 1))
            .sum();
        higher + own + others
    }

    fn start(&self, workspace: &WorkspaceId) -> u64 {
        self.finish.get(workspace).copied().unwrap_or(0).max(self.virtual_time)
    }
}
