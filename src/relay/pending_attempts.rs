//! Attempts of one request whose servers have not begun a stream, or not answered completely.

use super::RelayContext;
use super::answer::AttemptOutcome;
use super::attempt;
use super::attempts::Attempts;
use super::outdated_weights;
use super::peers::forward::{self, ForwardedAnswer};
use super::request::RelayedRequest;
use super::server_choice::PlannedRun;
use crate::decision::relay::{Authorization, Fleet, PeerNode};
use crate::types::ServerId;
use futures_lite::FutureExt;
use futures_lite::future::poll_fn;
use smol_str::SmolStr;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use std::time::{Duration, Instant};
use strum::Display;

/// Period at which a retryable request checks whether its server is silent or slow.
pub const SERVER_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Number of latency objectives after which a server counts as slow: from the request to the head of an answer
/// other than a stream, and from the head of any answer that is read whole to its end.
const SLOW_AFTER_OBJECTIVES: u32 = 2;

/// Time after which another node that sends a stream on counts as slow: whether the server is silent
/// is not known here, and its prompt may take that long.
const MAX_NODE_SILENCE: Duration = Duration::from_millis(1_500);

/// Why an attempt is overdue.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum OverdueReason {
    /// The server is silent or left the list of servers.
    Silent,
    /// The server is slow.
    Slow,
}

/// Attempt that has ended.
pub struct EndedAttempt {
    /// Server or node that the request was sent to.
    pub server: ServerId,
    /// Server that the node has sent it to, if it was a node and has told.
    pub server_of_node: Option<ServerId>,
    /// Outcome.
    pub outcome: AttemptOutcome,
}

/// What an attempt ends with.
struct AttemptEnd {
    outcome: AttemptOutcome,
    server_of_node: Option<ServerId>,
}

struct PendingAttempt {
    server: ServerId,
    /// Whether another node sends the request on.
    is_by_node: bool,
    sent_at: Instant,
    /// When the head of the answer arrived, unset before that.
    head_at: Arc<OnceLock<Instant>>,
    is_overdue: bool,
    end: AttemptFuture,
}

/// Attempt that is under way.
type AttemptFuture = Pin<Box<dyn Future<Output = AttemptEnd> + Send>>;

/// Attempts of one request whose servers have not begun a stream, or not answered completely,
/// oldest first. Dropping an attempt closes its connection.
#[derive(Default)]
pub struct PendingAttempts {
    attempts: Vec<PendingAttempt>,
}

impl PendingAttempts {
    /// Sends the request to the chosen server.
    pub fn begin(
        &mut self,
        context: &Arc<RelayContext>,
        request: &Arc<RelayedRequest>,
        run: PlannedRun,
        last_event_id: Option<SmolStr>,
    ) {
        let (context, request) = (Arc::clone(context), Arc::clone(request));
        self.push(run.choice.server.clone(), false, |head_at| {
            Box::pin(async move {
                let received = attempt::send(&context, &request, &run, last_event_id);
                let outdated = outdated_weights::await_outdated(&context, &request, &run.choice);
                let received = received.or(outdated).await;
                record_head(&head_at);
                let outcome = attempt::receive(&context, &request, received).await;
                AttemptEnd { outcome, server_of_node: None }
            })
        });
    }

    /// Sends the request by way of another node.
    pub fn begin_by_node(
        &mut self,
        context: &Arc<RelayContext>,
        request: &Arc<RelayedRequest>,
        authorization: Authorization,
        node: PeerNode,
        attempts: Attempts,
        last_event_id: Option<SmolStr>,
    ) {
        let (context, request) = (Arc::clone(context), Arc::clone(request));
        self.push(node.instance.clone(), true, |head_at| {
            Box::pin(async move {
                let sent = forward::send(
                    &context,
                    &request,
                    &authorization,
                    &node,
                    &attempts,
                    last_event_id,
                );
                let ForwardedAnswer { received, server } = sent.await;
                record_head(&head_at);
                let outcome = attempt::receive(&context, &request, received).await;
                AttemptEnd { outcome, server_of_node: server }
            })
        });
    }

    /// Adds an attempt, whose future is told where to record that the head of the answer has arrived.
    fn push(
        &mut self,
        server: ServerId,
        is_by_node: bool,
        begin: impl FnOnce(Arc<OnceLock<Instant>>) -> AttemptFuture,
    ) {
        let head_at = Arc::default();
        let end = begin(Arc::clone(&head_at));
        let sent_at = Instant::now();
        let is_overdue = false;
        let attempt = PendingAttempt { server, is_by_node, sent_at, head_at, is_overdue, end };
        self.attempts.push(attempt);
    }

    /// Returns the number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is pending.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Waits until an attempt ends and removes it; never returns without attempts.
    pub async fn next_ended(&mut self) -> EndedAttempt {
        poll_fn(|cx| {
            for index in 0..self.attempts.len() {
                let polled = self.attempts[index].end.as_mut().poll(cx);
                if let Poll::Ready(AttemptEnd { outcome, server_of_node }) = polled {
                    let server = self.attempts.remove(index).server;
                    return Poll::Ready(EndedAttempt { server, server_of_node, outcome });
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Returns true once the server of the newest attempt is silent, or slow if the request is not
    /// a stream, and false again afterwards. That counts as a failure of the server.
    pub fn becomes_overdue(&mut self, context: &RelayContext, request: &RelayedRequest) -> bool {
        let Some(newest) = self.attempts.last_mut() else { return false };
        if newest.is_overdue {
            return false;
        }
        let now = Instant::now();
        let mut fleet = context.fleet();
        let Some(reason) = overdue_reason(&fleet, request, newest, now) else { return false };
        if let Some(server) = fleet.server_mut(&newest.server) {
            server.health.record_outcome(false, 0.0, now);
        }
        drop(fleet);
        newest.is_overdue = true;
        log::info!(
            "event=attempt_overdue request={} route={} server={} reason={reason} sent_ms={}",
            request.id,
            request.route.name,
            newest.server,
            newest.sent_at.elapsed().as_millis()
        );
        true
    }

    /// Drops the attempts, since another server answers.
    pub fn abandon(&mut self, request: &RelayedRequest) {
        for attempt in self.attempts.drain(..) {
            log::info!(
                "event=attempt_abandoned request={} server={} sent_ms={}",
                request.id,
                attempt.server,
                attempt.sent_at.elapsed().as_millis()
            );
        }
    }
}

fn record_head(head_at: &OnceLock<Instant>) {
    // Each attempt has one head.
    let _is_first = head_at.set(Instant::now());
}

fn overdue_reason(
    fleet: &Fleet,
    request: &RelayedRequest,
    attempt: &PendingAttempt,
    now: Instant,
) -> Option<OverdueReason> {
    let objective = Duration::from_millis(request.route.latency_objective_ms.max(1));
    if let Some(head_at) = attempt.head_at.get() {
        // A body may have no end.
        let is_slow = now >= *head_at + objective * SLOW_AFTER_OBJECTIVES;
        return is_slow.then_some(OverdueReason::Slow);
    }
    let is_silent = || fleet.server(&attempt.server).is_none_or(|server| server.is_silent(now));
    if !attempt.is_by_node && is_silent() {
        return Some(OverdueReason::Silent);
    }
    let is_stream = request.route.retry_safety.is_stream();
    let max_wait = match (is_stream, attempt.is_by_node) {
        (true, false) => return None,
        (true, true) => MAX_NODE_SILENCE,
        (false, _) => objective * SLOW_AFTER_OBJECTIVES,
    };
    (now >= attempt.sent_at + max_wait).then_some(OverdueReason::Slow)
}
