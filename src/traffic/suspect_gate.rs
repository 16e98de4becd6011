//! Runs suspects (requests that may crash servers) one at a time on a node, and spreads those of
//! different nodes over the servers, so that a crash has one likely cause.

use crate::control::Snapshot;
use crate::decision::routing::{RouteDecision, RouteQuery};
use crate::types::ServerId;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use std::sync::Arc;
use std::time::Instant;

/// Limits this node to one running suspect.
#[derive(Debug)]
pub struct SuspectGate {
    semaphore: Arc<Semaphore>,
}

/// Permit to run a suspect, released when dropped.
pub type SuspectPermit = SemaphoreGuardArc;

impl Default for SuspectGate {
    fn default() -> Self {
        Self { semaphore: Arc::new(Semaphore::new(1)) }
    }
}

impl SuspectGate {
    /// Waits until no other suspect of this node runs, and returns the permit.
    pub async fn acquire(&self) -> SuspectPermit {
        self.semaphore.acquire_arc().await
    }
}

/// Chooses a server for a suspect, or `None` if no server is eligible.
///
/// Each node starts its search at another offset of the server list, by its rank among the live
/// nodes, so that suspects of different nodes run on different servers if there are enough.
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
    let mut rotated = (0..servers.len()).map(|offset| servers[(first + offset) % servers.len()]);
    rotated.find_map(|chosen| {
        let mut query = query.clone();
        let others = document.servers.keys().filter(|server| *server != chosen);
        query.excluded = others.cloned().collect();
        snapshot.routing.route(&query, now)
    })
}
