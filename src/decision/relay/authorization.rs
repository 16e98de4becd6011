//! What the configuration allows a request: whose it is, and whose KV cache it may use.
//!
//! Requests may run several times, long after they arrived. Each run needs the authorization of the
//! configuration in force when it is sent.

use super::configuration::{CacheGroup, Configuration, Workspace};
use crate::types::WorkspaceId;
use std::sync::Arc;

/// Authorization of a request by one revision of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Authorization {
    /// Revision of the configuration, 0 if a node of an earlier build has not told.
    pub revision: u64,
    /// Workspace that holds the caller's key, `None` if the caller is anonymous.
    pub workspace: Option<Arc<Workspace>>,
    /// Workspaces that share KV cache with that one unless it is isolated.
    pub cache_group: CacheGroup,
    /// Whether the caller's API key is removed before the request is sent to a server.
    pub strips_api_key: bool,
}

impl Authorization {
    /// Returns the authorization of a caller by `configuration`.
    pub fn new(configuration: &Configuration, workspace: Option<Arc<Workspace>>) -> Self {
        Self {
            revision: configuration.revision,
            workspace,
            cache_group: configuration.cache_group(),
            strips_api_key: configuration.has_workspaces(),
        }
    }

    /// Returns the authorization by `configuration` if that is newer, `None` if the caller's key was
    /// revoked.
    pub fn renew(&self, configuration: &Configuration, api_key: Option<&str>) -> Option<Self> {
        if configuration.revision <= self.revision {
            return Some(self.clone());
        }
        let workspace = match &self.workspace {
            None => None,
            Some(_) => match configuration.workspace(api_key) {
                Some(workspace) => Some(Arc::clone(workspace)),
                // The sender may know a newer configuration than this node.
                None if self.revision == 0 => return Some(self.clone()),
                None => return None,
            },
        };
        let mut renewed = Self::new(configuration, workspace);
        renewed.strips_api_key |= self.strips_api_key;
        Some(renewed)
    }

    /// Returns the name of the workspace if it has cache isolation.
    pub fn isolated_workspace(&self) -> Option<&str> {
        let isolated = self.workspace.as_ref().filter(|workspace| workspace.is_isolated);
        isolated.map(|workspace| workspace.name.as_str())
    }

    /// Whether a run that was planned with this authorization may be sent with `current`.
    pub fn covers(&self, current: &Self) -> bool {
        let same_caller = self.workspace_name() == current.workspace_name();
        let same_cache = self.isolated_workspace() == current.isolated_workspace()
            && self.cache_group == current.cache_group;
        same_caller && same_cache && self.strips_api_key == current.strips_api_key
    }

    /// Returns the name of the workspace, `None` if the caller is anonymous.
    pub fn workspace_name(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }
}
