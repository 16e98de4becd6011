//! Runs requests that may crash servers one at a time and apart from other nodes' suspects.

use crate::control::Snapshot;
use crate::decision::routing::{RouteDecision, RouteQuery};
use crate::types::ServerId;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use std::sync::Arc;
use std::time::Instant;

/// Lets one suspect of this node run at a time.
#[derive(Debug)]
pub struct SuspectGate {
    slot: Arc<Semaphore>,
}

/// The one place of a running suspect; given back when dropped.
pub type SuspectPermit = SemaphoreGuardArc;

impl Default for SuspectGate {
    fn default() -> Self {
        Self { slot: Arc::new(Semaphore::new(1)) }
    }
}

impl SuspectGate {
    /// Waits until no other suspect of this node runs.
    pub async fn enter(&self) -> SuspectPermit {
        self.slot.acquire_arc().await
    }
}

/// Chooses a server for a suspect: nodes of different rank begin at different parts of the list of
/// servers, so that a crash points at one suspect.
pub fn route_suspect(
    snapshot: &Snapshot,
    query: &RouteQuery,
    now: Instant,
) -> Option<RouteDecision> {
    let document = snapshot.document.as_ref()?;
    let all = document.servers.keys();
    let servers: Vec<&ServerId> = all.filter(|server| !query.excluded.contains(server)).collect();
    let stride = (servers.len() / snapshot.live_nodes.max(1) as usize).max(1);
    let first = snapshot.node_rank as usize * stride;
    let mut in_turn = (0..servers.len()).map(|step| servers[(first + step) % servers.len()]);
    in_turn.find_map(|chosen| {
        let mut query = query.clone();
        let others = document.servers.keys().filter(|server| *server != chosen);
        query.excluded = others.cloned().collect();
        snapshot.routing.route(&query, now)
    })
}
