//! What a node grants by itself soon after its start, before the owners of quotas can grant: an equal
//! share of the rate for each node. After a start of all nodes at once nobody else grants; after the
//! start of a few, their shares are small.

use super::messages::QuotaQuery;
use crate::types::WorkspaceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after a node's start in which it uses its share.
const START_PERIOD: Duration = Duration::from_millis(2_500);

/// Maximum workspaces with a share.
const MAX_SHARES: usize = 4_096;

/// Shares of a node that has just started.
#[derive(Clone, Debug)]
pub(super) struct StartShares {
    started_at: Instant,
    announced: usize,
    /// Units taken by workspace.
    taken: HashMap<WorkspaceId, f64>,
}

impl StartShares {
    /// Returns the shares of a node that starts now.
    pub(super) fn new(now: Instant) -> Self {
        Self { started_at: now, announced: 0, taken: HashMap::new() }
    }

    /// Sets how many nodes have announced themselves.
    pub(super) fn set_announced(&mut self, nodes: usize) {
        self.announced = nodes;
    }

    /// Returns how many nodes have announced themselves, 0 if that is unknown.
    pub(super) fn announced(&self) -> usize {
        self.announced
    }

    /// Takes the units of a request from the share of one of `nodes` nodes; returns whether it may be
    /// sent on.
    ///
    /// Most requests are larger than the share, so that each passes with the probability at which the
    /// nodes together grant what the share adds up to.
    pub(super) fn take(
        &mut self,
        query: &QuotaQuery,
        nodes: usize,
        draw: f64,
        now: Instant,
    ) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        if age > START_PERIOD {
            self.taken.clear();
            return false;
        }
        let share = query.limit.rate_per_s as f64 * age.as_secs_f64() / nodes.max(1) as f64;
        let is_full = self.taken.len() >= MAX_SHARES && !self.taken.contains_key(&query.workspace);
        if is_full {
            return false;
        }
        let taken = self.taken.entry(query.workspace.clone()).or_default();
        let left = share - *taken;
        if left < draw * query.units as f64 {
            return false;
        }
        *taken += query.units as f64;
        true
    }
}
