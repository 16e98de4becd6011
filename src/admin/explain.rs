//! Handler that shows where a request would be routed, without sending it.

use super::error::{AdminError, ErrorCode};
use super::messages::{ExplainReply, ExplainRequest};
use super::recent_decisions::decision_reply;
use super::server::AdminContext;
use crate::decision::routing::{PrefixScope, RouteQuery, prompt_levels};
use crate::types::RequestId;
use std::time::Instant;

/// Routes the request without sending it; returns the decision and the cache state of its prompt.
///
/// # Errors
///
/// [`ErrorCode::NotReady`] if the node has no document, [`ErrorCode::InvalidRequest`] if the model
/// is missing, or the model or workspace is not in the document.
pub fn explain(
    context: &AdminContext,
    request: ExplainRequest,
    now: Instant,
) -> Result<ExplainReply, AdminError> {
    let snapshot = context.traffic.snapshot.load();
    let not_ready = || AdminError::new(ErrorCode::NotReady, "the node has no document yet");
    let document = snapshot.document.as_ref().ok_or_else(not_ready)?;
    let invalid = |message: String| AdminError::new(ErrorCode::InvalidRequest, message);
    let model = request.request["model"]
        .as_str()
        .ok_or_else(|| invalid(String::from("request.model: must be the name of a model")))?;
    let served_model = document
        .models
        .get(model)
        .ok_or_else(|| invalid(format!("request.model: `{model}` is not in the document")))?;
    if !document.workspaces.contains_key(&request.workspace) {
        return Err(invalid(format!("workspace: `{}` is not in the document", request.workspace)));
    }
    let model = model.into();
    let scope = PrefixScope {
        workspace: &request.workspace,
        model: &model,
        weights_version: &served_model.weights_version,
    };
    let query = RouteQuery {
        request: RequestId::new_static("explain"),
        levels: prompt_levels(scope, &request.request),
        workspace: request.workspace,
        model,
        excluded: Vec::new(),
    };
    let decision = snapshot.routing.route(&query, now);
    Ok(ExplainReply {
        decision: decision.map(|decision| decision_reply(&query, &decision)),
        levels: snapshot.routing.level_beliefs(&query.levels, now),
        model: query.model,
    })
}
