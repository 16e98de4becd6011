//! Routes of the administration API: methods, paths and the least role for each.

use super::error::{AdminError, ErrorCode};
use crate::document::OwnerRole;
use http::Method;
use smol_str::SmolStr;
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

/// Route of the administration API.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum AdminRoute {
    /// Accepted document with the revisions of its sections.
    Document,
    /// Recent edits with their outcomes.
    History,
    /// Validates changes without making them.
    Validate,
    /// Makes an edit and waits for its outcome.
    SubmitEdit,
    /// Outcome of an edit by its id.
    FindEdit,
    /// Restores a document that expired on the log while no node ran.
    Restore,
    /// State of the answering node.
    Status,
    /// Nodes and the revisions they have in force.
    Nodes,
    /// Backend servers as the answering node sees them.
    Servers,
    /// Leases and their holders.
    Leases,
    /// Power of the answering node.
    Power,
    /// Where a request would go, and what is known of its prefixes.
    Explain,
    /// Recent routing decisions of the answering node.
    Decisions,
    /// Metrics in the OpenMetrics text format.
    Metrics,
    /// This description of the API.
    Openapi,
}

/// Route matched by a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MatchedRoute {
    /// Route.
    pub route: AdminRoute,
    /// Last part of the path where the route's path ends in a parameter.
    pub parameter: Option<SmolStr>,
}

impl AdminRoute {
    /// Returns the method.
    pub fn method(self) -> Method {
        match self {
            Self::Validate | Self::SubmitEdit | Self::Restore | Self::Explain => Method::POST,
            _ => Method::GET,
        }
    }

    /// Returns the path; a part in braces is a parameter.
    pub fn path(self) -> &'static str {
        match self {
            Self::Document => "/admin/v1/document",
            Self::History => "/admin/v1/history",
            Self::Validate => "/admin/v1/validate",
            Self::SubmitEdit => "/admin/v1/edits",
            Self::FindEdit => "/admin/v1/edits/{edit_id}",
            Self::Restore => "/admin/v1/restore",
            Self::Status => "/admin/v1/status",
            Self::Nodes => "/admin/v1/nodes",
            Self::Servers => "/admin/v1/servers",
            Self::Leases => "/admin/v1/leases",
            Self::Power => "/admin/v1/power",
            Self::Explain => "/admin/v1/explain",
            Self::Decisions => "/admin/v1/decisions",
            Self::Metrics => "/metrics",
            Self::Openapi => "/admin/v1/openapi.json",
        }
    }

    /// Returns the least role of a caller; none if no key is asked for.
    pub fn min_role(self) -> Option<OwnerRole> {
        match self {
            Self::Metrics | Self::Openapi => None,
            Self::SubmitEdit => Some(OwnerRole::Editor),
            Self::Restore => Some(OwnerRole::Administrator),
            _ => Some(OwnerRole::Reader),
        }
    }
}

/// Finds the route of a request.
///
/// # Errors
///
/// A path at which nothing is served, or one that takes another method.
pub fn find_route(method: &Method, path: &str) -> Result<MatchedRoute, AdminError> {
    let mut other_method = None;
    for route in AdminRoute::iter() {
        let Some(parameter) = match_path(route.path(), path) else {
            continue;
        };
        if route.method() == *method {
            return Ok(MatchedRoute { route, parameter });
        }
        other_method = Some(route.method());
    }
    Err(match other_method {
        Some(expected) => {
            let message = format!("{path} takes {expected}, not {method}");
            AdminError::new(ErrorCode::UnknownMethod, message)
        }
        None => AdminError::new(ErrorCode::UnknownPath, format!("nothing is served at {path}")),
    })
}

/// Returns the parameter, none within if the template has none, if `path` matches.
fn match_path(template: &str, path: &str) -> Option<Option<SmolStr>> {
    let Some((fixed, _)) = template.split_once('{') else {
        return (template == path).then_some(None);
    };
    let parameter = path.strip_prefix(fixed)?;
    let is_part = !parameter.is_empty() && !parameter.contains('/');
    is_part.then(|| Some(parameter.into()))
}
