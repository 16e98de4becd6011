//! Holds model requests until admission lets them start or refuses them.

use crate::control::Snapshot;
use crate::decision::admission::{
    Admission, AdmissionConfig, AdmissionRequest, Refusal, RefusalReason, Ticket, Verdict,
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
    waiting: HashMap<Ticket, Sender<Option<Refusal>>>,
    next_ticket: Ticket,
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
pub struct Admitted {
    gate: Arc<AdmissionGate>,
    ticket: Ticket,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.gate.finish(self.ticket);
    }
}

impl Default for AdmissionGate {
    fn default() -> Self {
        let config = AdmissionConfig::default();
        let state = GateState {
            admission: Admission::new(config),
            limits: LimitsInForce::default(),
            waiting: HashMap::new(),
            next_ticket: 0,
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
    ) -> Result<Admitted, Refusal> {
        let (admitted, wait) = self.offer(request, snapshot)?;
        let Some(wait) = wait else { return Ok(admitted) };
        let decided = async { wait.decided.recv().await.unwrap_or(None) };
        let expired = async {
            Timer::at(wait.until).await;
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
    ) -> Result<(Admitted, Option<Wait>), Refusal> {
        let now = Instant::now();
        let mut state = self.lock();
        state.update_limits(snapshot, now);
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let request = AdmissionRequest {
            ticket,
            workspace: request.workspace,
            priority: request.priority,
            tokens: request.tokens,
            deadline: request.deadline,
        };
        let verdict = state.admission.offer(request, now);
        let wait = match verdict {
            Verdict::Start => None,
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Wait { until } => {
                let (decide, decided) = async_channel::bounded(1);
                state.waiting.insert(ticket, decide);
                Some(Wait { until, decided })
            }
        };
        Ok((Admitted { gate: Arc::clone(self), ticket }, wait))
    }

    fn expire(&self) {
        let mut state = self.lock();
        for refused in state.admission.expire(Instant::now()) {
            state.decide(refused.ticket, Some(refused.refusal));
        }
    }

    fn finish(&self, ticket: Ticket) {
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let started = state.admission.finish(ticket, Instant::now());
        state.start(started);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wait of a request for its decision.
struct Wait {
    until: Instant,
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

    fn start(&mut self, started: Vec<Ticket>) {
        for ticket in started {
            self.decide(ticket, None);
        }
    }

    fn decide(&mut self, ticket: Ticket, refusal: Option<Refusal>) {
        let Some(decide) = self.waiting.remove(&ticket) else { return };
        if decide.try_send(refusal).is_err() {
            log::debug!("event=admission_caller_left ticket={ticket}");
        }
    }
}

/// Returns whether a refusal is by the workspace's own limits.
pub fn is_own_limit(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::UnknownWorkspace | RefusalReason::RequestRate | RefusalReason::TokenRate => {
            true
        }
        RefusalReason::WaitTooLong => false,
    }
}
