//! Quotas of workspaces: asks the owners for a grant before a request is sent to a server.

use super::RelayContext;
use super::metrics::{QuotaLabels, RouteLabels};
use super::peers::queries;
use super::refusal::{Refusal, RefusalReason};
use super::request::RelayedRequest;
use crate::adapters::deadline::timeout_at;
use crate::decision::relay::quota::{Quota, QuotaAnswer, QuotaCorrection, QuotaQuery};
use crate::links::Datagram;
use crate::types::WorkspaceId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time in which an owner must answer: several round trips between availability zones, and the time
/// that busy nodes take.
const QUERY_PERIOD: Duration = Duration::from_millis(200);

/// Time after which the next owner is asked, since datagrams may be lost.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(40);

/// Time after which a grant is not used, since the process was paused meanwhile.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Delay after which a caller is told to come back if no owner has answered.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Largest number of workspaces that metrics tell apart.
const MAX_LABELLED_WORKSPACES: usize = 256;

/// Grant of an owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    workspace: WorkspaceId,
    units: u64,
    /// Owner that granted it.
    owner: SocketAddr,
}

/// What the owners have answered.
#[derive(Default)]
struct Answers {
    answered: Vec<SocketAddr>,
    /// Denial with the shortest time to return.
    denied: Option<Denial>,
}

#[derive(Clone, Copy)]
struct Denial {
    retry_ms: u32,
    level: i64,
    revision: u64,
}

/// Returns the request with a grant if its workspace has a quota.
///
/// # Errors
///
/// A request over the quota, or owners that do not answer.
pub async fn check(
    context: &RelayContext,
    mut request: RelayedRequest,
) -> Result<RelayedRequest, Refusal> {
    let Some(workspace) = request.authorization.workspace.clone() else { return Ok(request) };
    let Some(quota) = workspace.quota else { return Ok(request) };
    let prompt = request.head.prompt.as_ref();
    let usage = prompt.map(|prompt| (prompt.prompt_tokens, prompt.max_output_tokens));
    let query = query(context, &request, &workspace.name, quota, quota.units(usage));
    if !quota.allows(query.units) {
        count(context, &query, "too_small");
        return Err(Refusal::new(RefusalReason::QuotaTooSmall));
    }
    let asked_at = Instant::now();
    let granted = ask_owners(context, &request, &query).await;
    let labels = RouteLabels { route: request.route.name.to_string() };
    context.metrics.quota_wait.observe(&labels, asked_at.elapsed());
    match granted {
        Ok(owner) => {
            let QuotaQuery { workspace, units, .. } = query.clone();
            if asked_at.elapsed() > GRANT_LIFETIME {
                give_back(context, owner, workspace, units);
                return Err(unknown(context, &query));
            }
            count(context, &query, "granted");
            request.quota_grant = Some(QuotaGrant { workspace, units, owner });
            Ok(request)
        }
        Err(Some(denial)) => {
            log::info!(
                "event=quota_denied request={} workspace={} units={} level={} revision={} \
                 retry_ms={} waited_ms={}",
                request.id,
                query.workspace,
                query.units,
                denial.level,
                denial.revision,
                denial.retry_ms,
                asked_at.elapsed().as_millis()
            );
            count(context, &query, "denied");
            let retry_at = Instant::now() + Duration::from_millis(denial.retry_ms.into());
            Err(Refusal::with_retry(RefusalReason::OverQuota, retry_at))
        }
        Err(None) => Err(unknown(context, &query)),
    }
}

fn unknown(context: &RelayContext, query: &QuotaQuery) -> Refusal {
    count(context, query, "unknown");
    Refusal::with_retry(RefusalReason::QuotaUnknown, Instant::now() + UNKNOWN_RETRY_DELAY)
}

fn query(
    context: &RelayContext,
    request: &RelayedRequest,
    workspace: &WorkspaceId,
    quota: Quota,
    units: u64,
) -> QuotaQuery {
    let configuration = context.configuration.load();
    let revision = configuration.as_ref().map_or(0, |configuration| configuration.revision);
    QuotaQuery {
        workspace: workspace.clone(),
        limit: quota.limit(revision, &context.settings.quota_window),
        units,
        priority: request.route.priority,
        sender_age_ms: u32::try_from(context.started_at.elapsed().as_millis()).unwrap_or(u32::MAX),
        seen_permille: context.quotas().seen_permille(),
    }
}

/// Asks the owners one after the other; returns the one that granted the request, else the denial.
async fn ask_owners(
    context: &RelayContext,
    request: &RelayedRequest,
    query: &QuotaQuery,
) -> Result<SocketAddr, Option<Denial>> {
    let mut owners = context.quotas().owners(&query.workspace);
    if xxh3_64(request.id.as_bytes()) % 2 == 1 {
        owners.reverse();
    }
    let number = queries::next_query_number(context);
    let waiting = context.peer_queries.quotas.begin(number, 4 * owners.len());
    let datagram = Datagram::QuotaQuery { number, query: query.clone() };
    let deadline = request.deadline.min(Instant::now() + QUERY_PERIOD);
    let mut answers = Answers::default();
    let mut asked = 0;
    let granted = loop {
        let unanswered: Vec<SocketAddr> =
            owners.iter().copied().filter(|owner| !answers.answered.contains(owner)).collect();
        if unanswered.is_empty() || Instant::now() >= deadline {
            break None;
        }
        let owner = unanswered[asked % unanswered.len()];
        asked += 1;
        let received = if owner == context.peer_queries.address() {
            Some((owner, context.quotas().answer(query, context.quota_clock.now())))
        } else {
            queries::send(context, &datagram, &[owner]);
            let ask_again_at = deadline.min(Instant::now() + ASK_AGAIN_DELAY);
            timeout_at(ask_again_at, waiting.answers.recv()).await.ok().and_then(Result::ok)
        };
        let Some((owner, answer)) = received else { continue };
        if answers.add(owner, answer) {
            break Some(owner);
        }
    };
    // A further grant may have arrived while one was found.
    while let Ok((owner, answer)) = waiting.answers.try_recv() {
        if answer == QuotaAnswer::Granted {
            give_back(context, owner, query.workspace.clone(), query.units);
        }
    }
    granted.ok_or(answers.denied)
}

impl Answers {
    /// Adds an answer; returns whether it is a grant.
    fn add(&mut self, owner: SocketAddr, answer: QuotaAnswer) -> bool {
        self.answered.push(owner);
        match answer {
            QuotaAnswer::Granted => return true,
            QuotaAnswer::NotOwner => {}
            QuotaAnswer::Denied { retry_ms, level, revision } => {
                let is_sooner = self.denied.is_none_or(|denied| retry_ms < denied.retry_ms);
                if is_sooner {
                    self.denied = Some(Denial { retry_ms, level, revision });
                }
            }
        }
        false
    }
}

/// Gives the grant of a request back that no server has run.
pub fn give_back_grant(context: &RelayContext, request: &RelayedRequest) {
    let Some(QuotaGrant { workspace, units, owner }) = request.quota_grant.clone() else { return };
    give_back(context, owner, workspace, units);
}

/// Gives units back to the owner that granted them.
pub fn give_back(context: &RelayContext, owner: SocketAddr, workspace: WorkspaceId, units: u64) {
    let units = i64::try_from(units).unwrap_or(i64::MAX);
    correct(context, owner, QuotaCorrection { workspace, units });
}

/// Charges a request once more, since a second server may run it.
pub fn charge_again(context: &RelayContext, request: &RelayedRequest) {
    let Some(QuotaGrant { workspace, units, owner }) = request.quota_grant.clone() else { return };
    let units = -i64::try_from(units).unwrap_or(i64::MAX);
    correct(context, owner, QuotaCorrection { workspace, units });
}

fn correct(context: &RelayContext, owner: SocketAddr, correction: QuotaCorrection) {
    if owner == context.peer_queries.address() {
        context.quotas().correct(&correction, context.quota_clock.now());
    } else {
        queries::send(context, &Datagram::QuotaCorrection(correction), &[owner]);
    }
}

fn count(context: &RelayContext, query: &QuotaQuery, outcome: &str) {
    let configuration = context.configuration.load();
    let is_labelled = configuration
        .as_ref()
        .is_some_and(|configuration| configuration.workspace_count() <= MAX_LABELLED_WORKSPACES);
    let workspace = if is_labelled { query.workspace.to_string() } else { "all".to_owned() };
    let labels = QuotaLabels { workspace, outcome: outcome.to_owned() };
    context.metrics.quota_units.get_or_create(&labels).inc_by(query.units);
}
