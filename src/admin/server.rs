//! HTTP server of the administration API: authenticates a request and calls its handler.

use super::access::{AdminCaller, authenticate};
use super::error::{AdminError, ErrorCode};
use super::routes::{AdminRoute, MatchedRoute, find_route};
use super::{AdminView, edit, explain, openapi, read, restore};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::http_server::Reply;
use crate::metrics::{ReasonLabels, encode};
use crate::ports::LogService;
use crate::traffic::authenticate::bearer_key;
use crate::traffic::reply::{json_reply, text_reply};
use crate::traffic::{FailureCode, TrafficContext, body};
use http::request::Parts;
use http::{Request, StatusCode};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Value of the `retry-after` header of replies with status 503 or 504, which callers get while the
/// node or the log is not ready.
const RETRY_AFTER_S: u64 = 2;

/// Shared state of the handlers.
pub struct AdminContext {
    /// Context of the traffic threads, with the latest control snapshot.
    pub traffic: Arc<TrafficContext>,
    /// Log service of the platform.
    pub log: Arc<dyn LogService>,
}

impl AdminContext {
    /// Returns the latest view of the control state.
    pub fn view(&self) -> Arc<AdminView> {
        Arc::clone(&self.traffic.snapshot.load().admin)
    }
}

/// Handles a request and returns its reply; also counts it by outcome.
pub async fn dispatch(context: Arc<AdminContext>, request: Request<CallerBody>) -> Reply {
    let (parts, body) = request.into_parts();
    let result = handle(&context, &parts, body).await;
    let code: &'static str = result.as_ref().err().map_or("ok", |error| error.code.into());
    let labels = ReasonLabels { reason: code.to_owned() };
    context.traffic.metrics.admin_requests.get_or_create(&labels).inc();
    result.unwrap_or_else(|error| {
        log::info!("event=admin_refused path={} code={}", parts.uri.path(), error.code);
        error_reply(error)
    })
}

async fn handle(
    context: &AdminContext,
    parts: &Parts,
    body: CallerBody,
) -> Result<Reply, AdminError> {
    let matched = find_route(&parts.method, parts.uri.path())?;
    let Some(role) = matched.route.min_role() else {
        return handle_public(context, matched.route);
    };
    let caller = authenticate_caller(context, parts)?;
    caller.require_role(role)?;
    match matched.route {
        AdminRoute::Validate => {
            let request = read_json(context, body).await?;
            ok_reply(&edit::validate(&context.view(), &request)?)
        }
        AdminRoute::SubmitEdit => {
            let request = read_json(context, body).await?;
            ok_reply(&edit::submit(context, &caller, request).await?)
        }
        AdminRoute::Restore => {
            let request = read_json(context, body).await?;
            ok_reply(&restore::restore(context, request).await?)
        }
        AdminRoute::Explain => {
            let request = read_json(context, body).await?;
            ok_reply(&explain::explain(context, request, Instant::now())?)
        }
        _ => handle_read(context, parts, &matched),
    }
}

fn handle_read(
    context: &AdminContext,
    parts: &Parts,
    matched: &MatchedRoute,
) -> Result<Reply, AdminError> {
    let view = context.view();
    let now = Instant::now();
    match matched.route {
        AdminRoute::Document => ok_reply(&read::document(&view)?),
        AdminRoute::History => ok_reply(&read::history(&view, section_parameter(parts).as_ref())?),
        AdminRoute::FindEdit => {
            let edit_id = matched.parameter.as_deref().unwrap_or_default();
            ok_reply(&read::find_edit(&view, edit_id)?)
        }
        AdminRoute::Status => ok_reply(&read::status(context, &view, now)),
        AdminRoute::Nodes => ok_reply(&read::nodes(&view)),
        AdminRoute::Servers => ok_reply(&read::servers(context, now)),
        AdminRoute::Leases => ok_reply(&read::leases(&view)),
        AdminRoute::Power => ok_reply(&view.power),
        AdminRoute::Decisions => ok_reply(&read::decisions(context)),
        other => handle_public(context, other),
    }
}

/// Handles a route that requires no key: the metrics and the OpenAPI description.
fn handle_public(context: &AdminContext, route: AdminRoute) -> Result<Reply, AdminError> {
    if route == AdminRoute::Openapi {
        return ok_reply(&openapi::description());
    }
    let text = encode(&context.traffic.registry)
        .map_err(|error| AdminError::new(ErrorCode::NotReady, error.to_string()))?;
    Ok(text_reply(StatusCode::OK, text))
}

fn authenticate_caller(context: &AdminContext, parts: &Parts) -> Result<AdminCaller, AdminError> {
    let snapshot = context.traffic.snapshot.load();
    let bootstrap_key_hash = context.traffic.settings.bootstrap_key_hash.as_ref();
    authenticate(bearer_key(&parts.headers), snapshot.document.as_deref(), bootstrap_key_hash)
}

/// Returns the value of the query parameter `section`, if given.
fn section_parameter(parts: &Parts) -> Option<SmolStr> {
    let pairs = parts.uri.query().unwrap_or_default().split('&');
    pairs.filter_map(|pair| pair.strip_prefix("section=")).next().map(SmolStr::from)
}

async fn read_json<T: DeserializeOwned>(
    context: &AdminContext,
    body: CallerBody,
) -> Result<T, AdminError> {
    let limits = context.traffic.settings.limits;
    let deadline = Instant::now() + Duration::from_millis(limits.read_timeout_ms);
    let (bytes, _room) = body::read(&context.traffic, body, deadline).await.map_err(|failure| {
        let code = match failure.code {
            FailureCode::NoRoom => ErrorCode::NotReady,
            _ => ErrorCode::InvalidRequest,
        };
        AdminError::new(code, failure.message)
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|error| AdminError::new(ErrorCode::InvalidRequest, error.to_string()))
}

fn ok_reply(body: &impl serde::Serialize) -> Result<Reply, AdminError> {
    Ok(json_reply(StatusCode::OK, body))
}

fn error_reply(error: AdminError) -> Reply {
    let status = error.code.status();
    let mut reply = json_reply(status, &error.into_reply());
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT {
        reply.headers_mut().insert("retry-after", RETRY_AFTER_S.into());
    }
    reply
}
