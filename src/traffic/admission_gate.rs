//! Holds model requests until admission lets them start or refuses them.

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

/// Gate in front of all model requests of a node.
pub struct AdmissionGate {
    config: AdmissionConfig,
    state: Mutex<GateState>,
}

struct GateState {
    admission: Admission,
    limits: LimitsInForce,
    waiting: HashMap<AdmissionId, Sender<Option<Refusal>>>,
    next_id: AdmissionId,
}

/// What the limits in force were worked out from.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
struct LimitsInForce {
    document: LogOffset,
    live_nodes: u32,
}

/// Request that asks to pass the gate.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Priority.
    pub priority: Priority,
    /// Prompt tokens and tokens to be generated.
    pub tokens: u32,
    /// When the request is given up.
    pub deadline: Instant,
}

/// Place of an admitted request; given back when dropped.
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
            limits: LimitsInForce::default(),
            waiting: HashMap::new(),
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
        let (admitted, wait) = self.offer(request, snapshot)?;
        let Some(wait) = wait else { return Ok(admitted) };
        let decided = async { wait.decided.recv().await.unwrap_or(None) };
        let expired = async {
            Timer::at(wait.expires_at).await;
            self.expire();
            wait.decided.recv().await.unwrap_or(None)
        };
        match decided.or(expired).await {
            None => Ok(admitted),
            Some(refusal) => Err(refusal),
        }
    }

    /// Returns the settings of admission.
    pub fn config(&self) -> &AdmissionConfig {
        &self.config
    }

    /// Returns the numbers of running and waiting requests.
    pub fn occupancy(&self) -> (usize, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.waiting())
    }

    fn offer(
        self: &Arc<Self>,
        request: GateRequest,
        snapshot: &Snapshot,
    ) -> Result<(AdmissionPermit, Option<Wait>), Refusal> {
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
        let wait = match decision {
            AdmissionDecision::Start => None,
            AdmissionDecision::Refuse(refusal) => return Err(refusal),
            AdmissionDecision::Wait { expires_at } => {
                let (decide, decided) = async_channel::bounded(1);
                state.waiting.insert(id, decide);
                Some(Wait { expires_at, decided })
            }
        };
        Ok((AdmissionPermit { gate: Arc::clone(self), id }, wait))
    }

    fn expire(&self) {
        let mut state = self.lock();
        for refused in state.admission.expire(Instant::now()) {
            state.decide(refused.id, Some(refused.refusal));
        }
    }

    fn finish(&self, id: AdmissionId) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        let started = state.admission.finish(id, Instant::now());
        state.start(started);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wait of a request for its decision.
struct Wait {
    expires_at: Instant,
    decided: Receiver<Option<Refusal>>,
}

impl GateState {
    fn update_limits(&mut self, snapshot: &Snapshot, now: Instant) {
        let Some(document) = &snapshot.document else { return };
        let limits = LimitsInForce { document: document.offset, live_nodes: snapshot.live_nodes };
        if self.limits == limits {
            return;
        }
        self.limits = limits;
        let started = self.admission.set_limits(document, limits.live_nodes, now);
        self.start(started);
    }

    fn start(&mut self, started: Vec<AdmissionId>) {
        for id in started {
            self.decide(id, None);
        }
    }

    fn decide(&mut self, id: AdmissionId, refusal: Option<Refusal>) {
        let Some(decide) = self.waiting.remove(&id) else { return };
        if decide.try_send(refusal).is_err() {
            log::debug!("event=admission_caller_left ticket={id}");
        }
    }
}

/// Returns whether a refusal is by the workspace's own limits.
pub fn is_workspace_limit(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::UnknownWorkspace | RefusalReason::RequestRate | RefusalReason::TokenRate => {
            true
        }
        RefusalReason::WaitTooLong => false,
    }
}
