//! Receives requests: matches the route, authenticates the caller and reads the body.

use super::RelayContext;
use super::attempts::Attempts;
use super::outdated_configuration::wait_until_current;
use super::peers::message::ForwardedRequest;
use super::quota::QuotaGrant;
use super::refusal::{Refusal, RefusalReason};
use super::suspects::{self, Probe, SuspectKeys};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::caller_memory::{BodyFault, Room, read_request_body};
use crate::decision::poison::{Fingerprint, Suspicion};
use crate::decision::relay::configuration::{Caller, MAX_PERIOD_MS, Workspace};
use crate::decision::relay::{
    AdmissionRequest, Authorization, BeginVersions, Configuration, Prompt, RetrySafety, Route,
    ServerQuery,
};
use crate::ports::RequestHead;
use crate::types::{RequestId, ServiceId};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Uri, header};
use smol_str::SmolStr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum body size if the configuration sets none.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time after which a caller whose body found no room may return.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Complete request, ready to be sent to a server.
pub struct RelayedRequest {
    /// Id chosen by the caller.
    pub id: RequestId,
    /// Matching route.
    pub route: Arc<Route>,
    /// Service of the route that gets the request.
    pub service: ServiceId,
    /// Authorization when the request arrived. Runs use [`RelayedRequest::authorize`].
    pub authorization: Authorization,
    /// Head of the request, as read by the dialect.
    pub head: RequestHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Room of the body.
    pub room: Room,
    /// When the head arrived.
    pub arrived_at: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Until when the caller waits, or would if the route allowed it.
    pub caller_deadline: Instant,
    /// Hash of workspace, path and body, which is the same when the caller retries.
    pub fingerprint: Fingerprint,
    /// Keys under which crashes of servers are recorded.
    pub suspect_keys: SuspectKeys,
    /// Attempts at the node that sent the request, `None` if a caller did.
    pub forwarded_attempts: Option<Attempts>,
    /// Last event that this node has sent on of the stream, `None` if the caller says.
    pub resume_after: Option<SmolStr>,
    /// Grant of the workspace's quota, `None` without a quota.
    pub quota_grant: Option<QuotaGrant>,
    /// Probe that the request holds if its keys are suspected to crash servers.
    _probe: Option<Probe>,
}

impl RelayedRequest {
    /// Returns the authorization for a run that is sent now.
    ///
    /// # Errors
    ///
    /// The caller's key was revoked since the request arrived.
    pub fn authorize(&self, context: &RelayContext) -> Result<Authorization, Refusal> {
        let newest = context.configuration.load();
        let Some(newest) = newest.as_ref() else { return Ok(self.authorization.clone()) };
        self.authorization.renew(newest, self.head.api_key.as_deref()).ok_or_else(|| {
            log::info!("event=key_revoked request={} age_ms={}", self.id, self.age_ms());
            Refusal::new(match self.is_forwarded() {
                // The node that sent the request answers its caller.
                true => RefusalReason::NotRun,
                false => RefusalReason::UnknownKey,
            })
        })
    }

    /// Returns the priority at the servers; 0 is the highest.
    pub fn priority(&self, authorization: &Authorization) -> u8 {
        let workspace = authorization.workspace.as_ref();
        let workspace_priority = workspace.and_then(|workspace| workspace.priority);
        self.admission(false, self.arrived_at)
            .server_priority(workspace_priority.unwrap_or(self.route.priority))
    }

    /// Returns the facts that decide admission at `now`; `has_started` says whether a server has
    /// run part of the request.
    pub fn admission(&self, has_started: bool, now: Instant) -> AdmissionRequest {
        let remaining = self.deadline.saturating_duration_since(now);
        AdmissionRequest {
            remaining_ms: remaining.as_secs_f64() * 1_000.0,
            timeout_ms: self.route.timeout_ms as f64,
            latency_objective_ms: self.route.latency_objective_ms as f64,
            has_started,
        }
    }

    /// Returns a request that another node sent.
    pub fn forwarded(
        context: &Arc<RelayContext>,
        forwarded: ForwardedRequest,
        room: Room,
    ) -> Result<Self, Refusal> {
        let ForwardedRequest { id, authorization, uri, headers, body, .. } = forwarded;
        let head = context.ports.dialect.read_request(&headers);
        let fingerprint = fingerprint(authorization.workspace.as_deref(), &uri, &body);
        check_poison(context, fingerprint)?;
        let suspect_keys = SuspectKeys::new(head.prompt.as_ref(), fingerprint);
        let probe = suspects::admit(context, &id, &suspect_keys)?;
        Ok(Self {
            id,
            route: forwarded.route,
            service: forwarded.service,
            authorization,
            head,
            method: forwarded.method,
            uri,
            headers,
            body,
            room,
            arrived_at: forwarded.arrived_at,
            deadline: forwarded.deadline,
            caller_deadline: forwarded.caller_deadline,
            fingerprint,
            suspect_keys,
            forwarded_attempts: Some(forwarded.attempts),
            resume_after: forwarded.last_event_id,
            quota_grant: None,
            _probe: probe,
        })
    }

    /// Whether another node sent the request.
    pub fn is_forwarded(&self) -> bool {
        self.forwarded_attempts.is_some()
    }

    /// Whether the caller resumes a stream that an earlier attempt of it has begun.
    pub fn is_resumption(&self) -> bool {
        let names_stream = self.head.resumes.is_some() || self.head.last_event_id.is_some();
        names_stream && self.route.retry_safety == RetrySafety::ResumableStream
    }

    /// Returns the query that selects the server of the next attempt.
    pub fn server_query<'a>(
        &'a self,
        attempts: &'a Attempts,
        authorization: &'a Authorization,
        begins_at: Option<&'a BeginVersions>,
    ) -> ServerQuery<'a> {
        ServerQuery {
            service: &self.service,
            prompt: self.head.prompt.as_ref(),
            isolated_workspace: authorization.isolated_workspace(),
            cache_group: authorization.cache_group,
            priority: self.priority(authorization),
            latency_objective: Duration::from_millis(self.route.latency_objective_ms),
            max_event_gap: Duration::from_millis(self.route.max_event_gap_ms),
            software: attempts.software.as_ref(),
            begins_at,
            tried: &attempts.tried,
        }
    }

    /// Returns the ids of the shared parts of the prompt, separated by commas.
    pub fn part_ids(&self) -> String {
        self.head.prompt.as_ref().map_or_else(String::new, Prompt::shared_part_ids)
    }

    /// Returns the milliseconds since the request arrived.
    pub fn age_ms(&self) -> u128 {
        self.arrived_at.elapsed().as_millis()
    }
}

/// Matches the route, authenticates the caller, reads the body and checks for poison requests.
pub async fn receive(
    context: &Arc<RelayContext>,
    request: Request<CallerBody>,
    head: RequestHead,
    arrived_at: Instant,
) -> Result<RelayedRequest, Refusal> {
    wait_until_current(context, arrived_at).await?;
    let configuration = context.configuration.load_full();
    let Some(configuration) =
        configuration.filter(|_| context.has_server_list.load(Ordering::Acquire))
    else {
        return Err(Refusal::unconfigured(arrived_at));
    };
    let (route, workspace) = find_route(&configuration, &request, &head)?;
    let id = head.id.clone().ok_or(Refusal::new(RefusalReason::NoRequestId))?;
    let service = route
        .service(xxh3_64(head.resumes.as_ref().unwrap_or(&id).as_bytes()))
        .cloned()
        .ok_or(Refusal::new(RefusalReason::NoRoute))?;
    let timeout_ms = head.timeout_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = arrived_at + Duration::from_millis(timeout_ms);
    let caller_timeout_ms = head.timeout_ms.unwrap_or(timeout_ms).min(MAX_PERIOD_MS);
    let caller_deadline = arrived_at + Duration::from_millis(caller_timeout_ms);
    let max_bytes = max_body_bytes(context);
    let (parts, body) = request.into_parts();
    let (body, room) = read_body(context, body, max_bytes, deadline).await?;
    let uri = parts.uri.path_and_query().map_or(parts.uri.clone(), |path| path.clone().into());
    let fingerprint = fingerprint(workspace.as_deref(), &uri, &body);
    check_poison(context, fingerprint)?;
    let suspect_keys = SuspectKeys::new(head.prompt.as_ref(), fingerprint);
    let probe = suspects::admit(context, &id, &suspect_keys)?;
    Ok(RelayedRequest {
        id,
        route,
        service,
        authorization: Authorization::new(&configuration, workspace),
        head,
        method: parts.method,
        uri,
        headers: end_to_end_headers(parts.headers),
        body,
        room,
        arrived_at,
        deadline,
        caller_deadline,
        fingerprint,
        suspect_keys,
        forwarded_attempts: None,
        resume_after: None,
        quota_grant: None,
        _probe: probe,
    })
}

type RouteAndWorkspace = (Arc<Route>, Option<Arc<Workspace>>);

fn find_route(
    configuration: &Configuration,
    request: &Request<CallerBody>,
    head: &RequestHead,
) -> Result<RouteAndWorkspace, Refusal> {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(request.uri().host()).unwrap_or_default();
    let route = configuration
        .route(host, request.uri().path())
        .ok_or(Refusal::new(RefusalReason::NoRoute))?;
    match configuration.caller(route, head.api_key.as_deref()) {
        Caller::Anonymous => Ok((Arc::clone(route), None)),
        Caller::Workspace(workspace) => Ok((Arc::clone(route), Some(workspace))),
        Caller::Unknown => Err(Refusal::new(RefusalReason::UnknownKey)),
    }
}

/// Returns the maximum size of a body by the configuration in force.
pub fn max_body_bytes(context: &RelayContext) -> usize {
    let configuration = context.configuration.load();
    let limits = configuration.as_ref().and_then(|configuration| configuration.limits);
    limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_bytes)
}

/// Reads a body of at most `max_bytes`, within the memory for callers. A body that announces more is
/// refused before it is read.
pub async fn read_body(
    context: &RelayContext,
    body: CallerBody,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, Room), Refusal> {
    let read = read_request_body(&context.caller_memory, body, max_bytes, deadline).await;
    read.map_err(|fault| match fault {
        BodyFault::TooLarge => Refusal::new(RefusalReason::BodyTooLarge),
        BodyFault::TimedOut => Refusal::new(RefusalReason::TimedOut),
        BodyFault::NoRoom => no_room(),
        BodyFault::Broken(error) => {
            log::debug!("event=request_body_broken error=\"{error}\"");
            Refusal::new(RefusalReason::BodyIncomplete)
        }
    })
}

fn no_room() -> Refusal {
    Refusal::with_retry(RefusalReason::NoRoom, Instant::now() + NO_ROOM_RETRY_DELAY)
}

fn fingerprint(workspace: Option<&Workspace>, uri: &Uri, body: &[u8]) -> Fingerprint {
    let seed = workspace.map_or(0, |workspace| xxh3_64(workspace.name.as_bytes()));
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), seed))
}

fn check_poison(context: &RelayContext, fingerprint: Fingerprint) -> Result<(), Refusal> {
    let suspicion = context.poison().view().suspicion(fingerprint, Instant::now());
    match suspicion {
        Suspicion::Refused { .. } => Err(Refusal::new(RefusalReason::Poison)),
        Suspicion::None | Suspicion::Suspect => Ok(()),
    }
}

/// Removes the headers that apply to a single connection, including those that `Connection` lists.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_headers) {
        headers.remove(name);
    }
    headers
}
