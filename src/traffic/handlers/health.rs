//! Liveness and readiness probes.

use crate::adapters::http_server::Reply;
use crate::traffic::TrafficContext;
use crate::traffic::reply::text_reply;
use http::StatusCode;
use std::sync::atomic::Ordering;

/// Returns the reply to a liveness probe, always success.
pub fn live() -> Reply {
    text_reply(StatusCode::OK, "ok\n")
}

/// Returns the reply to a readiness probe: success while the node has a document and does not
/// drain.
pub fn ready(context: &TrafficContext) -> Reply {
    if context.is_draining.load(Ordering::Acquire) {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    if context.snapshot.load().document.is_none() {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    text_reply(StatusCode::OK, "ready\n")
}
