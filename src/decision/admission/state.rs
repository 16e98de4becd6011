//! State machine of admission on one node.

use super::fair_queue::Waiting;
use super::{
    AdmissionConfig, AdmissionRequest, FairQueue, Refusal, RefusalReason, Refused, SHORTEST_RETRY,
    Ticket, TokenBucket, Verdict,
};
use crate::decision::power::shared_watts;
use crate::document::{Document, Workspace};
use crate::types::WorkspaceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new sample in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Service time assumed before the first request has ended.
const FIRST_SERVICE_TIME_S: f64 = 1.0;

/// Admission of one node.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    workspaces: HashMap<WorkspaceId, WorkspaceLimits>,
    queue: FairQueue,
    running: HashMap<Ticket, Running>,
    running_limit: usize,
    service_time_s: f64,
}

#[derive(Clone, Debug)]
struct WorkspaceLimits {
    requests: TokenBucket,
    tokens: TokenBucket,
    running: usize,
    running_limit: usize,
}

#[derive(Clone, Debug)]
struct Running {
    workspace: WorkspaceId,
    started_at: Instant,
}

impl Admission {
    /// Returns the state of a node that knows no document yet and starts nothing.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            workspaces: HashMap::new(),
            queue: FairQueue::default(),
            running: HashMap::new(),
            running_limit: 0,
            service_time_s: FIRST_SERVICE_TIME_S,
        }
    }

    /// Takes this node's share of the limits in `document` among `live_nodes`; returns the
    /// requests that start.
    pub fn set_limits(
        &mut self,
        document: &Document,
        live_nodes: u32,
        now: Instant,
    ) -> Vec<Ticket> {
        let nodes = f64::from(live_nodes.max(1));
        let slots = running_slots(document) as f64;
        self.running_limit = share(slots * self.config.running_factor, nodes);
        self.workspaces
            .retain(|name, limits| limits.running > 0 || document.workspaces.contains_key(name));
        for (name, workspace) in &document.workspaces {
            self.set_workspace(name, workspace, nodes, now);
        }
        self.start_waiting(now)
    }

    fn set_workspace(
        &mut self,
        name: &WorkspaceId,
        workspace: &Workspace,
        nodes: f64,
        now: Instant,
    ) {
        let burst_s = self.config.burst_s;
        let requests_per_s = f64::from(workspace.requests_per_s) / nodes;
        let tokens_per_s = workspace.tokens_per_s as f64 / nodes;
        let request_burst = (requests_per_s * burst_s).max(1.0);
        let token_burst = tokens_per_s * burst_s;
        let limits = self.workspaces.entry(name.clone()).or_insert_with(|| WorkspaceLimits {
            requests: TokenBucket::new(requests_per_s, request_burst, now),
            tokens: TokenBucket::new(tokens_per_s, token_burst, now),
            running: 0,
            running_limit: 0,
        });
        limits.requests.set_rate(requests_per_s, request_burst, now);
        limits.tokens.set_rate(tokens_per_s, token_burst, now);
        limits.running_limit = share(f64::from(workspace.concurrent_requests), nodes);
    }

    /// Decides on a new request.
    pub fn offer(&mut self, request: AdmissionRequest, now: Instant) -> Verdict {
        if let Err(refusal) = self.take_rates(&request, now) {
            return Verdict::Refuse(refusal);
        }
        if self.queue.is_empty() && self.has_room() && self.may_start(&request.workspace) {
            self.queue.charge(&request.workspace, request.tokens);
            self.start(request.ticket, request.workspace, now);
            return Verdict::Start;
        }
        let longest_wait = self.config.longest_wait(request.priority);
        let wait = self.expected_wait(&request);
        if wait > longest_wait || now + wait >= request.deadline {
            return Verdict::Refuse(self.config.wait_refusal(request.priority, wait, now));
        }
        let until = request.deadline.min(now + longest_wait);
        self.queue.push(Waiting {
            ticket: request.ticket,
            workspace: request.workspace,
            priority: request.priority,
            tokens: request.tokens,
            until,
        });
        if self.start_waiting(now).contains(&request.ticket) {
            return Verdict::Start;
        }
        Verdict::Wait { until }
    }

    /// Ends a running or waiting request; returns the requests that start.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) -> Vec<Ticket> {
        if self.queue.remove(ticket).is_some() {
            return Vec::new();
        }
        let Some(running) = self.running.remove(&ticket) else { return Vec::new() };
        if let Some(limits) = self.workspaces.get_mut(&running.workspace) {
            limits.running -= 1;
        }
        let service_time_s = now.saturating_duration_since(running.started_at).as_secs_f64();
        self.service_time_s += SERVICE_TIME_WEIGHT * (service_time_s - self.service_time_s);
        self.start_waiting(now)
    }

    /// Refuses the requests that have waited too long.
    pub fn expire(&mut self, now: Instant) -> Vec<Refused> {
        let retry_at = now + Duration::from_secs_f64(self.service_time_s).max(SHORTEST_RETRY);
        let refusal = Refusal { reason: RefusalReason::WaitTooLong, retry_at };
        self.queue
            .remove_expired(now)
            .into_iter()
            .map(|waiting| Refused { ticket: waiting.ticket, refusal })
            .collect()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn take_rates(&mut self, request: &AdmissionRequest, now: Instant) -> Result<(), Refusal> {
        let refuse = |reason, retry_at| Err(Refusal { reason, retry_at });
        let Some(limits) = self.workspaces.get_mut(&request.workspace) else {
            return refuse(RefusalReason::UnknownWorkspace, now + SHORTEST_RETRY);
        };
        let tokens = f64::from(request.tokens);
        let requests_at = limits.requests.available_at(1.0, now);
        if requests_at > now {
            return refuse(RefusalReason::RequestRate, requests_at);
        }
        let tokens_at = limits.tokens.available_at(tokens, now);
        if tokens_at > now {
            return refuse(RefusalReason::TokenRate, tokens_at);
        }
        limits.requests.take(1.0, now);
        limits.tokens.take(tokens, now);
        Ok(())
    }

    fn expected_wait(&self, request: &AdmissionRequest) -> Duration {
        let ahead = self.queue.ahead(&request.workspace, request.priority) as f64;
        let by_node = (ahead + 1.0) / self.running_limit.max(1) as f64;
        Duration::from_secs_f64(by_node * self.service_time_s)
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.has_room() {
            let workspaces = &self.workspaces;
            let next = self.queue.pop(|workspace| has_own_room(workspaces, workspace));
            let Some(waiting) = next else { break };
            started.push(waiting.ticket);
            self.start(waiting.ticket, waiting.workspace, now);
        }
        started
    }

    fn start(&mut self, ticket: Ticket, workspace: WorkspaceId, now: Instant) {
        if let Some(limits) = self.workspaces.get_mut(&workspace) {
            limits.running += 1;
        }
        self.running.insert(ticket, Running { workspace, started_at: now });
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.running_limit
    }

    fn may_start(&self, workspace: &WorkspaceId) -> bool {
        has_own_room(&self.workspaces, workspace)
    }
}

fn has_own_room(
    workspaces: &HashMap<WorkspaceId, WorkspaceLimits>,
    workspace: &WorkspaceId,
) -> bool {
    workspaces.get(workspace).is_some_and(|limits| limits.running < limits.running_limit)
}

/// Returns how many requests the servers run at once within the power budget.
fn running_slots(document: &Document) -> u64 {
    let slots = document.servers.values().map(|server| u64::from(server.concurrent_requests));
    let most_watts = document.servers.values().map(|server| server.request_watts).max();
    let by_power = shared_watts(document) / u64::from(most_watts.unwrap_or(1).max(1));
    slots.sum::<u64>().min(by_power)
}

/// Returns a node's share of `total`, at least 1.
fn share(total: f64, nodes: f64) -> usize {
    (total / nodes).ceil().max(1.0) as usize
}
