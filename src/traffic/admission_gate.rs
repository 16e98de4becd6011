//! Asynchronous front end of admission: model requests wait here until they start or are refused.

use crate::control::Snapshot;
use crate::decision::admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionId, AdmissionRequest, Refusal,
    RefusalReason,
};
use crate::types::{LogOffset, Priority, WorkspaceId};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Admission of the model requests of a node.
pub struct AdmissionGate {
    config: AdmissionConfig,
    state: Mutex<GateState>,
}

struct GateState {
    admission: Admission,
    limit_inputs: LimitInputs,
    /// Channel to each waiter; receives the refusal, `None` if the request starts.
    waiters: HashMap<AdmissionId, Sender<Option<Refusal>>>,
    next_id: AdmissionId,
}

/// Inputs from which the limits of admission were last computed.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
struct LimitInputs {
    document_offset: LogOffset,
    live_nodes: u32,
}

/// Request submitted to the gate.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Priority.
    pub priority: Priority,
    /// Prompt tokens plus the maximum tokens to generate.
    pub tokens: u32,
    /// When the request times out.
    pub deadline: Instant,
}

/// Permit of a request that waits or runs; dropping it leaves the queue or frees the slot.
pub struct AdmissionPermit {
    gate: Arc<AdmissionGate>,
    id: AdmissionId,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.finish(self.id);
    }
}

impl Default for AdmissionGate {
    fn default() -> Self {
        let config = AdmissionConfig::default();
        let state = GateState {
            admission: Admission::new(config),
            limit_inputs: LimitInputs::default(),
            waiters: HashMap::new(),
            next_id: 0,
        };
        Self { config, state: Mutex::new(state) }
    }
}

impl AdmissionGate {
    /// Waits until `request` may start or is refused.
    pub async fn admit(
        self: &Arc<Self>,
        request: GateRequest,
        snapshot: &Snapshot,
    ) -> Result<AdmissionPermit, Refusal> {
        let (permit, pending) = self.submit(request, snapshot)?;
        let Some(pending) = pending else { return Ok(permit) };
        let decision = async { pending.decision.recv().await.unwrap_or(None) };
        let expired = async {
            Timer::at(pending.expires_at).await;
            self.expire();
            pending.decision.recv().await.unwrap_or(None)
        };
        match decision.or(expired).await {
            None => Ok(permit),
            Some(refusal) => Err(refusal),
        }
    }

    /// Returns the configuration of admission.
    pub fn config(&self) -> &AdmissionConfig {
        &self.config
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn request_counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.waiting())
    }

    /// Submits `request` to admission; returns its permit, and the decision to await if it waits.
    fn submit(
        self: &Arc<Self>,
        request: GateRequest,
        snapshot: &Snapshot,
    ) -> Result<(AdmissionPermit, Option<PendingDecision>), Refusal> {
        let now = Instant::now();
        let mut state = self.lock();
        state.update_limits(snapshot, now);
        state.next_id += 1;
        let id = state.next_id;
        let request = AdmissionRequest {
            id,
            workspace: request.workspace,
            priority: request.priority,
            tokens: request.tokens,
            deadline: request.deadline,
        };
        let decision = state.admission.submit(request, now);
        let pending = match decision {
            AdmissionDecision::Start => None,
            AdmissionDecision::Refuse(refusal) => return Err(refusal),
            AdmissionDecision::Wait { expires_at } => {
                let (sender, decision) = async_channel::bounded(1);
                state.waiters.insert(id, sender);
                Some(PendingDecision { expires_at, decision })
            }
        };
        Ok((AdmissionPermit { gate: Arc::clone(self), id }, pending))
    }

    fn expire(&self) {
        let mut state = self.lock();
        for refused in state.admission.expire(Instant::now()) {
            state.notify(refused.id, Some(refused.refusal));
        }
    }

    fn finish(&self, id: AdmissionId) {
        let mut state = self.lock();
        state.waiters.remove(&id);
        let started = state.admission.finish(id, Instant::now());
        state.notify_started(started);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decision that a waiting request awaits.
struct PendingDecision {
    expires_at: Instant,
    /// Receives the refusal, `None` if the request starts.
    decision: Receiver<Option<Refusal>>,
}

impl GateState {
    fn update_limits(&mut self, snapshot: &Snapshot, now: Instant) {
        let Some(document) = &snapshot.document else { return };
        let limit_inputs =
            LimitInputs { document_offset: document.offset, live_nodes: snapshot.live_nodes };
        if self.limit_inputs == limit_inputs {
            return;
        }
        self.limit_inputs = limit_inputs;
        let started = self.admission.set_limits(document, limit_inputs.live_nodes, now);
        self.notify_started(started);
    }

    fn notify_started(&mut self, started: Vec<AdmissionId>) {
        for id in started {
            self.notify(id, None);
        }
    }

    fn notify(&mut self, id: AdmissionId, refusal: Option<Refusal>) {
        let Some(sender) = self.waiters.remove(&id) else { return };
        if sender.try_send(refusal).is_err() {
            log::debug!("event=admission_caller_left ticket={id}");
        }
    }
}

/// Returns whether the reason is a limit of the workspace rather than the load of the system.
pub fn is_workspace_limit(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::UnknownWorkspace | RefusalReason::RequestRate | RefusalReason::TokenRate => {
            true
        }
        RefusalReason::WaitTooLong => false,
    }
}
