//! Metrics in the text form that monitoring systems scrape.

use crate::adapters::http_server::Reply;
use crate::traffic::TrafficContext;
use crate::traffic::reply::text_reply;
use http::StatusCode;

/// Answers with all metrics of the node.
pub fn handle(_context: &TrafficContext) -> Reply {
    text_reply(StatusCode::OK, "")
}
