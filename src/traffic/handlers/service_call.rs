//! Calls to plain services, which are HTTP services other than the model engines.

use super::claimed_call::{self, ClaimScope};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::caller_memory::UnreadBody;
use crate::adapters::http_server::Reply;
use crate::decision::retry::{self, FailedAttempt, RetryDecision};
use crate::document::{Service, ServiceServer};
use crate::ports::{ServiceCall, ServiceResponse};
use crate::traffic::authenticate::authenticate;
use crate::traffic::generation_request::not_ready;
use crate::traffic::{Failure, FailureCode, TrafficContext, body};
use crate::types::{Delivery, NoRoom, PeerError, RequestId};
use http::{HeaderMap, Method, Request, Response};
use http_body_util::BodyExt;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Request headers that are forwarded to the service.
const FORWARDED_REQUEST_HEADERS: [&str; 4] =
    ["content-type", "accept", "idempotency-key", "user-agent"];

/// Response headers that are forwarded to the caller.
const FORWARDED_RESPONSE_HEADERS: [&str; 3] = ["content-type", "etag", "location"];

/// Delay after which a caller may retry a call that no server ran.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Forwards a call to `/services/{name}/...` to a server of the service.
pub async fn handle(
    context: &TrafficContext,
    request: Request<CallerBody>,
) -> Result<Reply, Failure> {
    let arrived_at = Instant::now();
    let snapshot = context.snapshot.load_full();
    let document = snapshot.document.as_ref().ok_or_else(not_ready)?;
    let (parts, incoming) = request.into_parts();
    let workspace = authenticate(&parts.headers, &snapshot)?;
    let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (name, path) = split_target(target)?;
    let service = document.services.get(name).ok_or_else(|| {
        Failure::not_run(FailureCode::ServiceNotFound, format!("service `{name}` is not served"))
    })?;
    let limits = context.settings.limits;
    let read_deadline = arrived_at + Duration::from_millis(limits.read_timeout_ms);
    let (body, _room) = body::read(context, incoming, read_deadline).await?;
    let id = context.new_request_id();
    let call = ServiceCall {
        method: parts.method,
        path: path.into(),
        headers: forwarded_headers(&parts.headers, &id),
        body,
    };
    let deadline = arrived_at + Duration::from_millis(service.timeout_ms);
    let servers = rank_servers(service, &context.settings.availability_zone, &id);
    let response = if is_non_idempotent(service, &call.method, &call.path) {
        let scope = ClaimScope { request: &id, workspace: &workspace, service: name };
        claimed_call::run_at_most_once(context, scope, &servers, &call, deadline).await
    } else {
        call_with_retries(context, &servers, &call, deadline).await
    }?;
    service_reply(context, response, deadline).await
}

/// Splits a request target into the service name and the path and query sent to the service.
fn split_target(target: &str) -> Result<(&str, &str), Failure> {
    let rest = target.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if path.starts_with('/') {
        return Ok((name, path));
    }
    let message = "the path must be /services/{name}/…";
    Err(Failure::not_run(FailureCode::UnknownPath, message))
}

fn forwarded_headers(headers: &HeaderMap, id: &RequestId) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in FORWARDED_REQUEST_HEADERS {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name, value.clone());
        }
    }
    forwarded.insert("x-request-id", id.parse().expect("a request id is a valid header value"));
    forwarded
}

/// Returns whether a call must not be repeated.
///
/// A path with escapes, backslashes, parameters, dot segments or empty segments may be equivalent
/// to another path. It counts as non-idempotent if the document lists any path for its method.
fn is_non_idempotent(service: &Service, method: &Method, target: &str) -> bool {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let is_ambiguous =
        path.contains(['%', '\\', ';']) || path.contains("//") || path.contains("/.");
    service.non_idempotent.iter().any(|pattern| {
        pattern.method == method.as_str()
            && (is_ambiguous || path.starts_with(pattern.path_prefix.as_str()))
    })
}

/// Returns the servers in the order to try: those of the own availability zone first, each group
/// in a pseudorandom order seeded with the request id.
fn rank_servers(service: &Service, own_zone: &str, id: &RequestId) -> Vec<ServiceServer> {
    let mut servers = service.servers.clone();
    let rank_hash = |server: &ServiceServer| {
        xxhash_rust::xxh3::xxh3_64_with_seed(
            server.name.as_bytes(),
            xxhash_rust::xxh3::xxh3_64(id.as_bytes()),
        )
    };
    servers.sort_by_key(|server| (server.availability_zone != own_zone, rank_hash(server)));
    servers
}

/// Sends a call at most once: tries the next server only if no byte reached the previous one.
pub(super) async fn call_once(
    context: &TrafficContext,
    servers: &[ServiceServer],
    call: &ServiceCall,
    deadline: Instant,
) -> Result<ServiceResponse, Failure> {
    let mut last_error = None;
    for server in servers {
        log_service_call(call, server, "at_most_once");
        match context.services.call(server.address, call.clone(), deadline).await {
            Ok(response) => return Ok(response),
            Err(error) => {
                context.count_peer_error("service", &error);
                if error.delivery != Delivery::NotSent {
                    return Err(outcome_unknown_failure(&error));
                }
                last_error = Some(error);
            }
        }
    }
    Err(not_run_failure(last_error))
}

/// Sends an idempotent call, with retries on further servers within the retry budget.
async fn call_with_retries(
    context: &TrafficContext,
    servers: &[ServiceServer],
    call: &ServiceCall,
    deadline: Instant,
) -> Result<ServiceResponse, Failure> {
    context.retry_budget().record_first_attempt(Instant::now());
    let mut last_error: Option<PeerError> = None;
    let mut any_delivery_unknown = false;
    for (attempts, server) in (1..).zip(servers) {
        log_service_call(call, server, "idempotent");
        let error = match context.services.call(server.address, call.clone(), deadline).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        context.count_peer_error("service", &error);
        any_delivery_unknown |= error.delivery == Delivery::Unknown;
        let failed = FailedAttempt { attempts, delivery: error.delivery, deadline };
        last_error = Some(error);
        let decision = retry::decide(failed, &mut context.retry_budget(), Instant::now());
        if matches!(decision, RetryDecision::GiveUp(_)) {
            break;
        }
    }
    match last_error {
        Some(error) if any_delivery_unknown => Err(outcome_unknown_failure(&error)),
        last_error => Err(not_run_failure(last_error)),
    }
}

fn log_service_call(call: &ServiceCall, server: &ServiceServer, kind: &str) {
    log::info!(
        "event=service_routed server={} method={} path={} kind={kind}",
        server.name,
        call.method,
        call.path
    );
}

/// Returns the failure of a call that a server may have run, and logs its last error.
fn outcome_unknown_failure(error: &PeerError) -> Failure {
    log::warn!("event=service_call_failed {error}");
    let message = "the call was sent, its outcome is unknown";
    Failure::outcome_unknown(FailureCode::UpstreamFailed, message)
}

/// Returns the failure of a call that no server ran, and logs its last error.
fn not_run_failure(error: Option<PeerError>) -> Failure {
    let detail = error.map_or_else(SmolStr::default, |error| smol_str::format_smolstr!("{error}"));
    log::warn!("event=service_call_not_run {detail}");
    Failure::not_run(FailureCode::NoServer, "no server of the service can be reached")
        .retry_at(Instant::now() + RETRY_DELAY)
}

/// Returns the reply, whose body keeps its room until the caller has taken it.
async fn service_reply(
    context: &TrafficContext,
    response: ServiceResponse,
    deadline: Instant,
) -> Result<Reply, Failure> {
    let mut room = context.caller_memory.open();
    room.resize(response.body.len(), deadline).await.map_err(|NoRoom| {
        let message = "the call was run, the node has no memory for its answer";
        Failure::outcome_unknown(FailureCode::UpstreamFailed, message)
    })?;
    room.complete();
    let mut reply = Response::new(UnreadBody::new(response.body, room).boxed_unsync());
    *reply.status_mut() = response.status;
    for name in FORWARDED_RESPONSE_HEADERS {
        if let Some(value) = response.headers.get(name) {
            reply.headers_mut().insert(name, value.clone());
        }
    }
    Ok(reply)
}
