//! Immutable snapshots of the control state, read by the traffic threads.

use crate::admin::AdminView;
use crate::decision::poison::PoisonView;
use crate::decision::routing::RoutingView;
use crate::document::Document;
use crate::types::WorkspaceId;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::sync::Arc;

/// Immutable snapshot of the control state.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Document in force, `None` before the first one is known.
    pub document: Option<Arc<Document>>,
    /// Workspaces by the hashes of their API keys.
    pub api_keys: Arc<ApiKeyIndex>,
    /// View of the routing state.
    pub routing: RoutingView,
    /// View of the strikes against requests that crashed servers.
    pub poison: PoisonView,
    /// Estimated number of live nodes, this one included.
    pub live_nodes: u32,
    /// View for the administration API.
    pub admin: Arc<AdminView>,
    /// Rank of this node among the live nodes, from 0; a hash while no other node is known.
    pub node_rank: u32,
}

/// Workspaces by the hashes of their API keys.
#[derive(Clone, Debug, Default)]
pub struct ApiKeyIndex {
    workspaces: HashMap<SmolStr, WorkspaceId>,
}

impl ApiKeyIndex {
    /// Returns the index of the workspaces of `document`.
    pub fn new(document: &Document) -> Self {
        let pairs = document.workspaces.iter().flat_map(|(name, workspace)| {
            workspace.key_hashes.iter().map(|hash| (hash.clone(), name.clone()))
        });
        Self { workspaces: pairs.collect() }
    }

    /// Returns the workspace that has an API key with this SHA-256 hash.
    pub fn workspace(&self, hash: &str) -> Option<&WorkspaceId> {
        self.workspaces.get(hash)
    }
}
