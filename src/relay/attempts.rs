//! Attempts of a request so far, and the limits of further ones.

use super::answer::AttemptOutcome;
use super::pending_attempts::EndedAttempt;
use super::request::RelayedRequest;
use super::{RelayContext, quota, suspects};
use crate::metrics::labels::ReasonLabels;
use crate::types::{InstanceId, ServerId, SoftwareVersion};
use std::fmt;
use std::time::{Duration, Instant};

/// Minimum remaining time for a resend.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Maximum servers tried for a request, including those that are unreachable or full.
pub const MAX_TRIED_SERVERS: usize = 4;

/// Attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Servers that were tried, including unreachable ones, and nodes by way of which the request
    /// was sent, until they tell which server they tried.
    pub tried: Vec<ServerId>,
    /// Those of them that may have run the request, as far as this node knows.
    pub ran_at: Vec<ServerId>,
    /// Number of attempts in which the server may have run the request, over all nodes.
    pub possible_runs: u32,
    /// Number of attempts by way of other nodes.
    pub hops: u32,
    /// Software version that began the stream, at which alone it goes on; `None` before its first
    /// event.
    pub software: Option<SoftwareVersion>,
}

impl Attempts {
    /// Records that the request was sent to a server, which may run it.
    pub fn begin(&mut self, server: &ServerId) {
        self.tried.push(server.clone());
        self.ran_at.push(server.clone());
        self.possible_runs += 1;
    }

    /// Records that the request was sent to another node, which hands it to a server. Whatever
    /// becomes of it there counts as one run, unless the node tells that no server ran it.
    pub fn begin_by_node(&mut self, node: &InstanceId) {
        self.begin(node);
        self.hops += 1;
    }

    /// Records that `node` has sent the request to `server`. The node may take the request again.
    fn record_server(&mut self, node: &InstanceId, server: &ServerId) {
        for servers in [&mut self.tried, &mut self.ran_at] {
            if let Some(entry) = servers.iter_mut().rev().find(|entry| *entry == node) {
                *entry = server.clone();
            }
        }
    }

    /// Records the end of an attempt: a server that certainly did not run the request does not
    /// count.
    pub fn end(&mut self, ended: &EndedAttempt) {
        match ended.outcome {
            AttemptOutcome::Streaming(_)
            | AttemptOutcome::Answered(_)
            | AttemptOutcome::Unknown(_) => {}
            AttemptOutcome::NotRun(_) | AttemptOutcome::NotSent(_) => {
                self.possible_runs -= 1;
                if let Some(index) = self.ran_at.iter().rposition(|ran| *ran == ended.server) {
                    self.ran_at.remove(index);
                }
            }
        }
        if let Some(server) = &ended.server_of_node {
            self.record_server(&ended.server, server);
        }
    }

    /// Whether the route and the remaining time allow another attempt.
    pub fn allow_another(
        &self,
        context: &RelayContext,
        request: &RelayedRequest,
        now: Instant,
    ) -> bool {
        self.possible_runs < request.route.max_attempts
            && self.tried.len() < MAX_TRIED_SERVERS
            && now + MIN_ATTEMPT_TIME < request.deadline
            && (self.possible_runs == 0 || suspects::may_resend(context, request, now))
    }

    /// Takes a resend from the budget if route, budget and remaining time allow one; returns
    /// whether they do.
    pub fn try_resend(
        &self,
        context: &RelayContext,
        request: &RelayedRequest,
        reason: &str,
    ) -> bool {
        let now = Instant::now();
        let is_allowed = self.allow_another(context, request, now)
            && context.resend_budget().try_take(&request.service, now);
        if is_allowed {
            let labels = ReasonLabels { reason: reason.to_owned() };
            context.metrics.resends.get_or_create(&labels).inc();
            if self.possible_runs > 0 {
                quota::charge_again(context, request);
            }
            log::info!(
                "event=resend request={} route={} reason={reason} sent={} age_ms={}",
                request.id,
                request.route.name,
                self.possible_runs,
                request.age_ms()
            );
        }
        is_allowed
    }
}

impl fmt::Display for Attempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "runs={} hops={} tried={}", self.possible_runs, self.hops, self.tried.join(","))
    }
}
