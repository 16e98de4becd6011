//! Ring buffer of recent routing decisions, shown by the administration API.

use super::messages::DecisionReply;
use crate::decision::routing::{RouteDecision, RouteQuery};
use smol_str::ToSmolStr;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of decisions kept.
const MAX_DECISIONS: usize = 256;

/// Recent routing decisions of a node.
#[derive(Debug, Default)]
pub struct RecentDecisions {
    decisions: Mutex<VecDeque<DecisionReply>>,
}

impl RecentDecisions {
    /// Adds a decision; drops the oldest one if the buffer is full.
    pub fn push(&self, query: &RouteQuery, decision: &RouteDecision) {
        let reply = decision_reply(query, decision);
        let mut decisions = self.lock();
        if decisions.len() >= MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(reply);
    }

    /// Returns the decisions, oldest first.
    pub fn list(&self) -> Vec<DecisionReply> {
        self.lock().iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<DecisionReply>> {
        self.decisions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a decision into its form in the API.
pub fn decision_reply(query: &RouteQuery, decision: &RouteDecision) -> DecisionReply {
    DecisionReply {
        request: query.request.clone(),
        workspace: query.workspace.clone(),
        model: query.model.clone(),
        server: decision.server.clone(),
        runner_up: decision.runner_up.clone(),
        reason: decision.reason.to_smolstr(),
        prompt_tokens: query.levels.last().map_or(0, |level| level.tokens),
        expected_hit_tokens: decision.expected_hit_tokens,
        queued_requests: decision.queued_requests,
    }
}
