//! One request of a caller, from its head to the answer.

use super::answer::answer;
use super::attempt::{self, Answer, AttemptEnd};
use super::refusal::{Refusal, RefusalReason};
use super::{RelayContext, stream};
use crate::adapters::deadline::within;
use crate::adapters::http_server::Reply;
use crate::decision::poison::{Fingerprint, Suspicion};
use crate::decision::relay::configuration::{Caller, Workspace};
use crate::decision::relay::{AdmissionRequest, Choice, Unavailable, UnavailableReason, Wanted};
use crate::decision::relay::{Configuration, Prompt, Route};
use crate::metrics::labels::ReasonLabels;
use crate::ports::RequestFacts;
use crate::types::{Delivery, RequestId, ServerId, ServiceId};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Method, Request, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::Timer;
use smol_str::SmolStr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Part of the latency objective for which a request may wait for a server.
const WAIT_PART: u32 = 8;

/// Time between two looks for a server.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// Least time left for another attempt to make sense.
const LEAST_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Servers that a request may be offered to, those out of reach or full included.
const MOST_SERVERS: usize = 4;

/// Wait before a caller comes back whose request no server ran.
const NOT_RUN_RETRY: Duration = Duration::from_millis(60);

/// Body limit while a configuration names none.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Headers that concern one connection alone.
const CONNECTION_HEADERS: [HeaderName; 9] = [
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

/// Request that was read whole and may be sent.
pub struct RelayedRequest {
    /// Id that the caller chose.
    pub id: RequestId,
    /// Route.
    pub route: Arc<Route>,
    /// Service that serves it.
    pub service: ServiceId,
    /// Workspace of the caller.
    pub workspace: Option<Arc<Workspace>>,
    /// Whether the caller's key must not reach the server.
    pub hides_key: bool,
    /// What the head says.
    pub facts: RequestFacts,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers but for those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the head had arrived.
    pub arrived_at: Instant,
    /// When it must have its answer.
    pub deadline: Instant,
    /// Fingerprint, which is the same if it is sent again.
    pub fingerprint: Fingerprint,
}

impl RelayedRequest {
    /// Returns the priority with which servers are to take it, 0 is the highest.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        self.admission(false, self.arrived_at).priority(own.unwrap_or(self.route.priority))
    }

    /// Returns what decides its admission at `now`; `has_run` tells whether a server ran it in part.
    fn admission(&self, has_run: bool, now: Instant) -> AdmissionRequest {
        let remaining = self.deadline.saturating_duration_since(now);
        AdmissionRequest {
            remaining_ms: remaining.as_secs_f64() * 1_000.0,
            patience_ms: self.route.timeout_ms as f64,
            objective_ms: self.route.latency_objective_ms as f64,
            has_run,
        }
    }

    /// Returns what decides the choice of a server.
    pub fn wanted<'a>(&'a self, tried: &'a [ServerId]) -> Wanted<'a> {
        let isolated = self.workspace.as_ref().filter(|workspace| workspace.is_isolated);
        Wanted {
            service: &self.service,
            prompt: self.facts.prompt.as_ref(),
            wall: isolated.map(|workspace| workspace.name.as_str()),
            priority: self.priority(),
            tried,
        }
    }

    /// Returns the milliseconds since the head arrived.
    pub fn age_ms(&self) -> u128 {
        self.arrived_at.elapsed().as_millis()
    }
}

/// Servers that a request was sent to so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Servers that had it or were out of reach.
    pub tried: Vec<ServerId>,
    /// Servers that may have run it.
    pub sent: u32,
}

impl Attempts {
    /// Whether the route allows no server after the next one.
    pub fn is_next_last(&self, route: &Route) -> bool {
        self.sent + 1 >= route.max_attempts
    }

    /// Counts an attempt unless its server says that it did not run the request.
    pub fn count(&mut self, end: &AttemptEnd) {
        self.sent += match end {
            AttemptEnd::Answered(_) | AttemptEnd::Unknown(_) => 1,
            AttemptEnd::NotRun(_) | AttemptEnd::NotSent(_) => 0,
        };
    }

    /// Takes a resend if route, budget and time allow one.
    pub fn try_resend(&self, context: &RelayContext, request: &RelayedRequest, why: &str) -> bool {
        let now = Instant::now();
        let is_allowed = self.sent < request.route.max_attempts
            && self.tried.len() < MOST_SERVERS
            && now + LEAST_ATTEMPT_TIME < request.deadline
            && context.budget().try_take(&request.service, now);
        if is_allowed {
            let labels = ReasonLabels { reason: why.to_owned() };
            context.metrics.resends.get_or_create(&labels).inc();
            log::info!(
                "event=resend request={} route={} reason={why} sent={} age_ms={}",
                request.id,
                request.route.name,
                self.sent,
                request.age_ms()
            );
        }
        is_allowed
    }
}

/// Answers a request.
pub async fn handle(context: Arc<RelayContext>, request: Request<Incoming>) -> Reply {
    let arrived_at = Instant::now();
    let facts = context.ports.dialect.read_request(request.headers());
    let id = facts.id.clone();
    let admitted = admit(&context, request, facts, arrived_at).await;
    let request = match admitted {
        Ok(request) => Arc::new(request),
        Err(refusal) => {
            log_refusal(id.as_ref(), None, refusal, arrived_at);
            return refusal.reply(&context, id.as_ref());
        }
    };
    let unanswered = Unanswered { context: &context, request: &request };
    let served = serve(&context, &request).await;
    std::mem::forget(unanswered);
    match served {
        Ok(reply) => reply,
        Err(refusal) => {
            log_refusal(Some(&request.id), Some(&request.route.name), refusal, arrived_at);
            stream::count(&context, &request, "refused");
            refusal.reply(&context, Some(&request.id))
        }
    }
}

/// Request without an answer yet; dropped with the request's task when its caller leaves.
struct Unanswered<'a> {
    context: &'a RelayContext,
    request: &'a RelayedRequest,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        stream::count(self.context, self.request, "left");
        log::info!(
            "event=left request={} route={} age_ms={}",
            self.request.id,
            self.request.route.name,
            self.request.age_ms()
        );
    }
}

fn log_refusal(id: Option<&RequestId>, route: Option<&SmolStr>, refusal: Refusal, since: Instant) {
    let retry_ms =
        refusal.retry_at.map_or(0, |at| at.saturating_duration_since(Instant::now()).as_millis());
    log::info!(
        "event=refused request={} route={} reason={} status={} retry_ms={retry_ms} age_ms={}",
        id.map_or("none", |id| id.as_str()),
        route.map_or("none", |route| route.as_str()),
        refusal.reason.name(),
        refusal.reason.status().as_u16(),
        since.elapsed().as_millis()
    );
}

/// Checks a request and reads its body.
async fn admit(
    context: &RelayContext,
    request: Request<Incoming>,
    facts: RequestFacts,
    arrived_at: Instant,
) -> Result<RelayedRequest, Refusal> {
    let configuration = context.configuration.load_full();
    let Some(configuration) =
        configuration.filter(|_| context.knows_servers.load(Ordering::Acquire))
    else {
        return Err(Refusal::unconfigured(arrived_at));
    };
    let (route, workspace) = find_route(&configuration, &request, &facts)?;
    let id = facts.id.clone().ok_or(Refusal::new(RefusalReason::NoRequestId))?;
    let service = route
        .service(xxh3_64(id.as_bytes()))
        .cloned()
        .ok_or(Refusal::new(RefusalReason::NoRoute))?;
    let patience_ms = facts.patience_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = arrived_at + Duration::from_millis(patience_ms);
    let limit_bytes = configuration.limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
    let (parts, body) = request.into_parts();
    let body = read_body(body, limit_bytes, deadline).await?;
    let uri = parts.uri.path_and_query().map_or(parts.uri.clone(), |path| path.clone().into());
    let fingerprint = fingerprint(workspace.as_deref(), &uri, &body);
    check_poison(context, fingerprint)?;
    Ok(RelayedRequest {
        id,
        route,
        service,
        hides_key: configuration.has_workspaces(),
        workspace,
        facts,
        method: parts.method,
        uri,
        headers: end_to_end_headers(parts.headers),
        body,
        arrived_at,
        deadline,
        fingerprint,
    })
}

type RouteAndWorkspace = (Arc<Route>, Option<Arc<Workspace>>);

fn find_route(
    configuration: &Configuration,
    request: &Request<Incoming>,
    facts: &RequestFacts,
) -> Result<RouteAndWorkspace, Refusal> {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(request.uri().host()).unwrap_or_default();
    let route = configuration
        .route(host, request.uri().path())
        .ok_or(Refusal::new(RefusalReason::NoRoute))?;
    match configuration.caller(route, facts.key.as_deref()) {
        Caller::Anonymous => Ok((Arc::clone(route), None)),
        Caller::Workspace(workspace) => Ok((Arc::clone(route), Some(workspace))),
        Caller::Unknown => Err(Refusal::new(RefusalReason::UnknownKey)),
    }
}

async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    loop {
        let frame = match within(deadline, body.frame()).await {
            Err(_) => return Err(Refusal::new(RefusalReason::TimedOut)),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(error))) => {
                log::debug!("event=request_body_broken error=\"{error}\"");
                return Err(Refusal::new(RefusalReason::BodyIncomplete));
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > limit_bytes {
            return Err(Refusal::new(RefusalReason::BodyTooLarge));
        }
        whole.extend_from_slice(&data);
    }
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

/// Drops the headers that concern one connection alone.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}

/// Sends a request to servers until one answers, and passes the answer on.
async fn serve(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
) -> Result<Reply, Refusal> {
    context.budget().count_first(&request.service, Instant::now());
    let mut attempts = Attempts::default();
    loop {
        let choice = choose(context, request, &attempts).await?;
        let is_last = attempts.is_next_last(&request.route);
        attempts.tried.push(choice.server.clone());
        let end = attempt::send(context, request, &choice, None, is_last).await;
        attempts.count(&end);
        let retried = match end {
            AttemptEnd::NotSent(error) if error.delivery == Delivery::NotSent => {
                attempts.tried.len() < MOST_SERVERS
            }
            AttemptEnd::NotSent(_) => false,
            AttemptEnd::NotRun(reason) => {
                attempts.try_resend(context, request, &reason.to_string())
            }
            AttemptEnd::Unknown(error) => {
                let is_repeatable = request.route.repetition.is_repeatable();
                if !is_repeatable || !attempts.try_resend(context, request, "unknown") {
                    return Err(unknown_refusal(request, &error));
                }
                true
            }
            AttemptEnd::Answered(received) => {
                match pass_on(context, request, &mut attempts, *received).await? {
                    Some(reply) => return Ok(reply),
                    None => true,
                }
            }
        };
        if !retried {
            return Err(Refusal::until(RefusalReason::NotRun, Instant::now() + NOT_RUN_RETRY));
        }
    }
}

/// Returns the answer for the caller, or none if the request is to be sent once more.
async fn pass_on(
    context: &Arc<RelayContext>,
    request: &Arc<RelayedRequest>,
    attempts: &mut Attempts,
    received: Answer,
) -> Result<Option<Reply>, Refusal> {
    let is_failure = received.exchange.status.is_server_error();
    let is_repeatable = request.route.repetition.is_repeatable();
    if is_failure && is_repeatable && attempts.try_resend(context, request, "server_error") {
        return Ok(None);
    }
    if !is_failure && request.route.repetition.is_stream() {
        return Ok(Some(stream::answer(context, request, attempts.clone(), received)));
    }
    match answer(context, request, received).await {
        Ok(reply) => Ok(Some(reply)),
        Err(_) if is_repeatable && attempts.try_resend(context, request, "answer_broken") => {
            Ok(None)
        }
        Err(error) => Err(unknown_refusal(request, &error)),
    }
}

fn unknown_refusal(request: &RelayedRequest, error: &crate::types::PeerError) -> Refusal {
    let is_late = Instant::now() >= request.deadline;
    let reason = match error.step {
        _ if is_late => RefusalReason::TimedOut,
        crate::types::Step::Decode => RefusalReason::BadAnswer,
        _ => RefusalReason::OutcomeUnknown,
    };
    Refusal::new(reason)
}

/// Returns the server for the next attempt; waits a little if one will be free soon.
pub async fn choose(
    context: &RelayContext,
    request: &RelayedRequest,
    attempts: &Attempts,
) -> Result<Choice, Refusal> {
    let objective = Duration::from_millis(request.route.latency_objective_ms);
    let wait_until = Instant::now() + objective / WAIT_PART;
    loop {
        let now = Instant::now();
        let chosen = context.fleet().choose(request.wanted(&attempts.tried), now);
        match chosen {
            Ok(choice) => {
                check_overload(request, &choice, attempts.sent > 0, now)?;
                log_choice(request, &choice);
                return Ok(choice);
            }
            Err(Unavailable { reason, retry_at }) => {
                let may_wait = reason == UnavailableReason::Closed && now < wait_until;
                if !may_wait {
                    let reason = RefusalReason::Unavailable(reason);
                    return Err(Refusal::until(reason, retry_at));
                }
                Timer::after(WAIT_STEP).await;
            }
        }
    }
}

/// Refuses a request that would wait too long at the chosen server.
fn check_overload(
    request: &RelayedRequest,
    choice: &Choice,
    has_run: bool,
    now: Instant,
) -> Result<(), Refusal> {
    match request.admission(has_run, now).refused_until(choice.expected_ms, now) {
        None => Ok(()),
        Some(retry_at) => {
            log::info!(
                "event=overloaded request={} server={} expected_ms={:.0} remaining_ms={}",
                request.id,
                choice.server,
                choice.expected_ms,
                request.deadline.saturating_duration_since(now).as_millis()
            );
            Err(Refusal::until(RefusalReason::Overloaded, retry_at))
        }
    }
}

fn log_choice(request: &RelayedRequest, choice: &Choice) {
    let prompt = choice.prompt.as_ref();
    let declared = request.facts.prompt.as_ref();
    let (runner_up, runner_up_ms) = match &choice.runner_up {
        Some((server, cost_ms)) => (server.as_str(), *cost_ms),
        None => ("none", 0.0),
    };
    log::info!(
        "event=routed request={} route={} server={} zone={} cost_ms={:.0} expected_ms={:.0} runner_up={runner_up} \
         runner_up_ms={runner_up_ms:.0} weights={} rank={} fetches={} saves={} tokens={}/{}/{} age_ms={}",
        request.id,
        request.route.name,
        choice.server,
        choice.availability_zone,
        choice.cost_ms,
        choice.expected_ms,
        prompt.map_or(0, |prompt| prompt.weights),
        prompt.map_or(0, |prompt| prompt.rank),
        prompt.is_some_and(|prompt| prompt.fetch_from.is_some()),
        prompt.is_some_and(|prompt| prompt.save_to.is_some()),
        declared.map_or(0, Prompt::shared_tokens),
        declared.map_or(0, Prompt::own_tokens),
        declared.map_or(0, Prompt::expected_output_tokens),
        request.age_ms()
    );
}
