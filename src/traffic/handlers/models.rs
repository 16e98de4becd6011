//! List of the models that callers may use.

use crate::adapters::caller_body::CallerBody;
use crate::adapters::http_server::Reply;
use crate::traffic::authenticate::authenticate;
use crate::traffic::generation_request::not_ready;
use crate::traffic::reply::json_reply;
use crate::traffic::{Failure, TrafficContext};
use http::{Request, StatusCode};
use serde_json::{Value, json};

/// Returns the models and adapters of the document in force.
pub fn handle(context: &TrafficContext, request: &Request<CallerBody>) -> Result<Reply, Failure> {
    let snapshot = context.snapshot.load();
    let document = snapshot.document.as_ref().ok_or_else(not_ready)?;
    authenticate(request.headers(), &snapshot)?;
    let models = document.models.keys();
    let adapters = document.models.values().flat_map(|model| &model.adapters);
    let data: Vec<Value> = models
        .chain(adapters)
        .map(|id| json!({ "id": id, "object": "model", "owned_by": "site" }))
        .collect();
    Ok(json_reply(StatusCode::OK, &json!({ "object": "list", "data": data })))
}
