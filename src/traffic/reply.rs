//! Responses to callers.

use super::Failure;
use crate::adapters::http_server::{Reply, ReplyBody};
use bytes::Bytes;
use futures_lite::Stream;
use futures_lite::StreamExt;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use serde_json::{Value, json};
use std::time::Instant;

/// Response header of a failed request, with its [`RunState`](super::RunState).
pub const RUN_STATE_HEADER: &str = "x-coriandertide-run";

/// Returns a response body of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a JSON response.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(body).expect("the body serializes to JSON");
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(bytes))
        .expect("a valid response")
}

/// Returns a plain-text response.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", "text/plain; charset=utf-8")
        .body(full_body(text.into()))
        .expect("a valid response")
}

/// Returns a response that streams encoded server-sent events.
pub fn event_stream_reply(events: impl Stream<Item = Bytes> + Send + 'static) -> Reply {
    let frames = events.map(|bytes| Ok(Frame::data(bytes)));
    Response::builder()
        .status(StatusCode::OK)
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("a valid response")
}

/// Returns the response for `failure`, with the time to the earliest retry in two headers.
pub fn failure_reply(failure: &Failure) -> Reply {
    let mut reply = json_reply(failure.code.status(), &failure_body(failure));
    let headers = reply.headers_mut();
    let run_state: &'static str = failure.run_state.into();
    headers.insert(RUN_STATE_HEADER, http::HeaderValue::from_static(run_state));
    if let Some(retry_at) = failure.retry_at {
        let wait = retry_at.saturating_duration_since(Instant::now());
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        headers.insert("retry-after", wait_ms.div_ceil(1_000).max(1).into());
        headers.insert("retry-after-ms", wait_ms.into());
    }
    reply
}

/// Returns the error body for `failure`, in the format of the model endpoints.
pub fn failure_body(failure: &Failure) -> Value {
    json!({
        "error": {
            "message": failure.message,
            "type": failure.code.error_type(),
            "param": null,
            "code": failure.code.to_string(),
            "run": failure.run_state.to_string(),
        }
    })
}
