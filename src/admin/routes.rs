//! Routes of the administration API: the method, path and minimum role of each.

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
    /// Recent edits and their outcomes.
    History,
    /// Validates changes without applying them.
    Validate,
    /// Submits an edit and waits for its outcome.
    SubmitEdit,
    /// Recent edit with a given id, and its outcome.
    FindEdit,
    /// Restores a document whose records expired from the log while no node was running.
    Restore,
    /// Status of the answering node.
    Status,
    /// Nodes and the revision that each has in force.
    Nodes,
    /// Backend servers as the answering node sees them.
    Servers,
    /// Leases and their holders.
    Leases,
    /// Power budget of the answering node.
    Power,
    /// Server that a request would be routed to, and the cache state of its prompt.
    Explain,
    /// Recent routing decisions of the answering node.
    Decisions,
    /// Metrics in the OpenMetrics text format.
    Metrics,
    /// OpenAPI description of this API.
    Openapi,
}

/// Route matched by a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MatchedRoute {
    /// Route that the method and path of the request match.
    pub route: AdminRoute,
    /// Value of the path parameter, none if the route has none.
    pub parameter: Option<SmolStr>,
}

impl AdminRoute {
    /// Returns the HTTP method.
    pub fn method(self) -> Method {
        match self {
            Self::Validate | Self::SubmitEdit | Self::Restore | Self::Explain => Method::POST,
            _ => Method::GET,
        }
    }

    /// Returns the path template; a segment in braces is a parameter.
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

    /// Returns the minimum role of a caller, none if the route needs no key.
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
/// [`ErrorCode::UnknownPath`], or [`ErrorCode::UnknownMethod`] if the path has a route with another
/// method.
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

/// Matches `path` with a template: returns none if it does not match, otherwise the value of the
/// parameter, if the template has one.
fn match_path(template: &str, path: &str) -> Option<Option<SmolStr>> {
    let Some((prefix, _)) = template.split_once('{') else {
        return (template == path).then_some(None);
    };
    let parameter = path.strip_prefix(prefix)?;
    let is_segment = !parameter.is_empty() && !parameter.contains('/');
    is_segment.then(|| Some(parameter.into()))
}
