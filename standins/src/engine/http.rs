//! HTTP endpoints of an engine.

use super::generation::GeneratedBody;
use super::models::{Order, OrderOutcome};
use super::request::{Endpoint, GenerateRequest};
use super::shared::{EngineShared, Refusal};
use crate::http_server::{HandlerResult, error_response, json_response, query_number};
use crate::runtime::lock;
use anyhow::bail;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Milliseconds after which a refused caller may retry.
const RETRY_AFTER_MS: &str = "200";

/// Handles `request` after the one-way delay of its link, and delays the response by the same time.
///
/// Responses to generation requests are not delayed, but the frames of their streams are.
pub(crate) async fn answer(shared: Arc<EngineShared>, request: Request<Bytes>) -> HandlerResult {
    let Some(link_delay) = shared.link_delay(&request) else {
        smol::Timer::after(Duration::from_secs(1)).await;
        bail!("the link between the availability zones is cut");
    };
    smol::Timer::after(link_delay).await;
    let path = request.uri().path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            return generate(shared, Endpoint::Chat, &request, link_delay);
        }
        (&Method::POST, "/v1/completions") => {
            return generate(shared, Endpoint::Completion, &request, link_delay);
        }
        (&Method::GET, "/load") => {
            json_response(StatusCode::OK, &lock(&shared.state).published_report.clone())
        }
        (&Method::GET, "/events") => events(&shared, &request),
        (&Method::POST, "/orders") => order(&shared, &request),
        (&Method::POST, _) => cancel(&shared, &path),
        _ => error_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
    };
    smol::Timer::after(link_delay).await;
    response
}

fn generate(
    shared: Arc<EngineShared>,
    endpoint: Endpoint,
    request: &Request<Bytes>,
    link_delay: Duration,
) -> HandlerResult {
    let request = match GenerateRequest::parse(endpoint, request) {
        Ok(request) => request,
        Err(error) => {
            return error_response(StatusCode::BAD_REQUEST, "body", &format!("{error:#}"));
        }
    };
    let guard = match shared.enqueue(&request) {
        Ok(guard) => guard,
        Err(refusal) => return refuse(refusal),
    };
    let (incarnation, load) = {
        let state = lock(&shared.state);
        (state.incarnation, serde_json::to_string(&state.published_report)?)
    };
    let id = request.id.clone();
    let body = GeneratedBody::new(shared, request, guard, link_delay);
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header("x-request-id", id)
        .header("x-incarnation", incarnation)
        .header("x-load", load)
        .body(StreamBody::new(body).boxed_unsync())?;
    Ok(response)
}

fn refuse(refusal: Refusal) -> HandlerResult {
    match refusal {
        Refusal::QueueFull => {
            let status = StatusCode::TOO_MANY_REQUESTS;
            let mut response = error_response(status, "queue_full", "the queue is full")?;
            let retry_after = http::HeaderValue::from_static(RETRY_AFTER_MS);
            response.headers_mut().insert("retry-after-ms", retry_after);
            Ok(response)
        }
        Refusal::WeightsVersion => {
            let message = "the engine serves another version of the weights";
            error_response(StatusCode::CONFLICT, "weights_version", message)
        }
        Refusal::ModelNotLoaded => {
            let message = "the model is not loaded";
            error_response(StatusCode::NOT_FOUND, "model_not_loaded", message)
        }
    }
}

fn events(shared: &EngineShared, request: &Request<Bytes>) -> HandlerResult {
    let from = query_number(request, "from").unwrap_or(0);
    let state = lock(&shared.state);
    let (events, next_event) = state.events.page(from, Instant::now());
    let incarnation = state.incarnation;
    let page = json!({"incarnation": incarnation, "next_event": next_event, "events": events});
    json_response(StatusCode::OK, &page)
}

fn order(shared: &Arc<EngineShared>, request: &Request<Bytes>) -> HandlerResult {
    let order: Order = match serde_json::from_slice(request.body()) {
        Ok(order) => order,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, "body", &error.to_string()),
    };
    match shared.apply_order(&order) {
        OrderOutcome::Accepted(_) => json_response(StatusCode::OK, &json!({"outcome": "accepted"})),
        OrderOutcome::Fenced => json_response(StatusCode::CONFLICT, &json!({"outcome": "fenced"})),
    }
}

fn cancel(shared: &EngineShared, path: &str) -> HandlerResult {
    let id = path.strip_prefix("/requests/").and_then(|rest| rest.strip_suffix("/cancel"));
    let Some(id) = id else {
        return error_response(StatusCode::NOT_FOUND, "not_found", "no such path");
    };
    if let Some(cancel) = lock(&shared.state).cancels.get(id) {
        // A second cancel of the same request finds the channel full.
        let _ = cancel.try_send(());
    }
    json_response(StatusCode::OK, &json!({}))
}
