//! Metrics endpoint in the OpenMetrics text format.

use crate::adapters::http_server::Reply;
use crate::metrics::encode;
use crate::traffic::TrafficContext;
use crate::traffic::reply::text_reply;
use http::StatusCode;

/// Returns all metrics of the node.
pub fn handle(context: &TrafficContext) -> Reply {
    match encode(&context.registry) {
        Ok(text) => text_reply(StatusCode::OK, text),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
