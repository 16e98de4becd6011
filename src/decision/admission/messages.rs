//! Requests to admission and its decisions.

use crate::types::{Priority, WorkspaceId};
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Identifier of a request in admission, unique within the node.
pub type AdmissionId = u64;

/// Request for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Identifier that no earlier request of the node had.
    pub id: AdmissionId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Prompt tokens plus tokens to be generated.
    pub tokens: u32,
    /// When the request times out.
    pub deadline: Instant,
}

/// Decision on a request for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start,
    /// The request waits in the queue.
    Wait {
        /// When the request is refused if it has not started.
        expires_at: Instant,
    },
    /// The request does not run.
    Refuse(Refusal),
}

/// Refusal of a request, with the time at which to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Earliest time at which the caller should retry.
    pub retry_at: Instant,
}

/// Waiter that is refused because its wait expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusedWaiter {
    /// Identifier of the request.
    pub id: AdmissionId,
    /// Refusal to return to the caller.
    pub refusal: Refusal,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace is not in the document.
    UnknownWorkspace,
    /// The workspace exceeds its requests per second.
    RequestRate,
    /// The workspace exceeds its tokens per second.
    TokenRate,
    /// The request would wait, or has waited, longer than its priority allows.
    WaitTooLong,
}
