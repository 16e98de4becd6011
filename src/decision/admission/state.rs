//! Admission state of a node.

use super::fair_queue::Waiter;
use super::{
    AdmissionConfig, AdmissionDecision, AdmissionId, AdmissionRequest, FairQueue, MIN_RETRY_DELAY,
    Refusal, RefusalReason, RefusedWaiter, TokenBucket,
};
use crate::decision::power::shared_watts;
use crate::document::{Document, Workspace};
use crate::types::WorkspaceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new observation in the moving average of the service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// Estimated service time before the first request has ended.
const INITIAL_SERVICE_TIME_S: f64 = 1.0;

/// Admission state of a node: rate limits, running requests and the queue.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    workspaces: HashMap<WorkspaceId, WorkspaceLimits>,
    queue: FairQueue,
    running: HashMap<AdmissionId, RunningRequest>,
    max_running: usize,
    mean_service_time_s: f64,
}

/// This node's share of a workspace's limits.
#[derive(Clone, Debug)]
struct WorkspaceLimits {
    /// Limit on the requests per second.
    requests: TokenBucket,
    /// Limit on the prompt and output tokens per second.
    tokens: TokenBucket,
    running: usize,
    max_running: usize,
}

/// Request that was admitted and has not ended.
#[derive(Clone, Debug)]
struct RunningRequest {
    workspace: WorkspaceId,
    started_at: Instant,
}

impl Admission {
    /// Returns the state of a node without a document, which refuses all requests.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            workspaces: HashMap::new(),
            queue: FairQueue::default(),
            running: HashMap::new(),
            max_running: 0,
            mean_service_time_s: INITIAL_SERVICE_TIME_S,
        }
    }

    /// Divides the limits in `document` among `live_nodes` and applies this node's share; returns
    /// the waiters that start.
    pub fn set_limits(
        &mut self,
        document: &Document,
        live_nodes: u32,
        now: Instant,
    ) -> Vec<AdmissionId> {
        let nodes = f64::from(live_nodes.max(1));
        let slots = site_slots(document) as f64;
        self.max_running = node_share(slots * self.config.overcommit_factor, nodes);
        self.workspaces
            .retain(|name, limits| limits.running > 0 || document.workspaces.contains_key(name));
        for (name, workspace) in &document.workspaces {
            self.set_workspace(name, workspace, nodes, now);
        }
        self.start_waiters(now)
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
            max_running: 0,
        });
        limits.requests.set_rate(requests_per_s, request_burst, now);
        limits.tokens.set_rate(tokens_per_s, token_burst, now);
        limits.max_running = node_share(f64::from(workspace.concurrent_requests), nodes);
    }

    /// Starts, queues or refuses a new request.
    pub fn submit(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionDecision {
        if let Err(refusal) = self.consume_rates(&request, now) {
            return AdmissionDecision::Refuse(refusal);
        }
        if self.queue.is_empty() && self.has_free_slot() && self.may_start(&request.workspace) {
            self.queue.charge(&request.workspace, request.tokens);
            self.start(request.id, request.workspace, now);
            return AdmissionDecision::Start;
        }
        let max_wait = self.config.max_wait(request.priority);
        let wait = self.expected_wait(&request);
        if wait > max_wait || now + wait >= request.deadline {
            return AdmissionDecision::Refuse(self.config.wait_refusal(
                request.priority,
                wait,
                now,
            ));
        }
        let expires_at = request.deadline.min(now + max_wait);
        self.queue.push(Waiter {
            id: request.id,
            workspace: request.workspace,
            priority: request.priority,
            tokens: request.tokens,
            expires_at,
        });
        if self.start_waiters(now).contains(&request.id) {
            return AdmissionDecision::Start;
        }
        AdmissionDecision::Wait { expires_at }
    }

    /// Removes a running or waiting request that ended; returns the waiters that start.
    pub fn finish(&mut self, id: AdmissionId, now: Instant) -> Vec<AdmissionId> {
        if self.queue.remove(id).is_some() {
            return Vec::new();
        }
        let Some(running) = self.running.remove(&id) else { return Vec::new() };
        if let Some(limits) = self.workspaces.get_mut(&running.workspace) {
            limits.running -= 1;
        }
        let service_time_s = now.saturating_duration_since(running.started_at).as_secs_f64();
        self.mean_service_time_s +=
            SERVICE_TIME_SMOOTHING * (service_time_s - self.mean_service_time_s);
        self.start_waiters(now)
    }

    /// Removes and refuses the waiters that have expired.
    pub fn expire(&mut self, now: Instant) -> Vec<RefusedWaiter> {
        let retry_at = now + Duration::from_secs_f64(self.mean_service_time_s).max(MIN_RETRY_DELAY);
        let refusal = Refusal { reason: RefusalReason::WaitTooLong, retry_at };
        self.queue
            .remove_expired(now)
            .into_iter()
            .map(|waiter| RefusedWaiter { id: waiter.id, refusal })
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

    /// Charges the request to its workspace's rate limits, or refuses it without a charge.
    fn consume_rates(&mut self, request: &AdmissionRequest, now: Instant) -> Result<(), Refusal> {
        let refuse = |reason, retry_at| Err(Refusal { reason, retry_at });
        let Some(limits) = self.workspaces.get_mut(&request.workspace) else {
            return refuse(RefusalReason::UnknownWorkspace, now + MIN_RETRY_DELAY);
        };
        let tokens = f64::from(request.tokens);
        let request_rate_ok_at = limits.requests.available_at(1.0, now);
        if request_rate_ok_at > now {
            return refuse(RefusalReason::RequestRate, request_rate_ok_at);
        }
        let token_rate_ok_at = limits.tokens.available_at(tokens, now);
        if token_rate_ok_at > now {
            return refuse(RefusalReason::TokenRate, token_rate_ok_at);
        }
        limits.requests.take(1.0, now);
        limits.tokens.take(tokens, now);
        Ok(())
    }

    /// Returns how long a new request would wait, by the number of requests ahead of it and the
    /// mean service time.
    fn expected_wait(&self, request: &AdmissionRequest) -> Duration {
        let requests_ahead = self.queue.requests_ahead(&request.workspace, request.priority) as f64;
        let service_times = (requests_ahead + 1.0) / self.max_running.max(1) as f64;
        Duration::from_secs_f64(service_times * self.mean_service_time_s)
    }

    /// Starts waiters while there are free slots, and returns them.
    fn start_waiters(&mut self, now: Instant) -> Vec<AdmissionId> {
        let mut started = Vec::new();
        while self.has_free_slot() {
            let workspaces = &self.workspaces;
            let next = self.queue.pop(|workspace| workspace_has_slot(workspaces, workspace));
            let Some(waiter) = next else { break };
            started.push(waiter.id);
            self.start(waiter.id, waiter.workspace, now);
        }
        started
    }

    fn start(&mut self, id: AdmissionId, workspace: WorkspaceId, now: Instant) {
        if let Some(limits) = self.workspaces.get_mut(&workspace) {
            limits.running += 1;
        }
        self.running.insert(id, RunningRequest { workspace, started_at: now });
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.max_running
    }

    fn may_start(&self, workspace: &WorkspaceId) -> bool {
        workspace_has_slot(&self.workspaces, workspace)
    }
}

fn workspace_has_slot(
    workspaces: &HashMap<WorkspaceId, WorkspaceLimits>,
    workspace: &WorkspaceId,
) -> bool {
    workspaces.get(workspace).is_some_and(|limits| limits.running < limits.max_running)
}

/// Returns how many requests all servers can run concurrently within the power budget.
fn site_slots(document: &Document) -> u64 {
    let slots = document.servers.values().map(|server| u64::from(server.concurrent_requests));
    let max_request_watts = document.servers.values().map(|server| server.request_watts).max();
    let by_power = shared_watts(document) / u64::from(max_request_watts.unwrap_or(1).max(1));
    slots.sum::<u64>().min(by_power)
}

/// Returns a node's equal share of `total`, rounded up, at least 1.
fn node_share(total: f64, nodes: f64) -> usize {
    (total / nodes).ceil().max(1.0) as usize
}
