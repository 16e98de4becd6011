//! Messages of admission.

use crate::types::{Priority, WorkspaceId};
use std::time::Instant;
use strum::{Display, IntoStaticStr};

/// Number of a request within one node.
pub type AdmissionId = u64;

/// Request that asks to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Ticket, not used before.
    pub id: AdmissionId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Priority.
    pub priority: Priority,
    /// Prompt tokens and tokens to be generated.
    pub tokens: u32,
    /// When the request is given up.
    pub deadline: Instant,
}

/// Answer to a request that asks to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start,
    /// The request waits; it is refused if it has not started by `until`.
    Wait {
        /// When the request is refused.
        expires_at: Instant,
    },
    /// The request is not run.
    Refuse(Refusal),
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_at: Instant,
}

/// Waiting request that is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusedWaiter {
    /// Ticket.
    pub id: AdmissionId,
    /// Refusal.
    pub refusal: Refusal,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The document does not name the workspace.
    UnknownWorkspace,
    /// The workspace used up its requests a second.
    RequestRate,
    /// The workspace used up its tokens a second.
    TokenRate,
    /// The request would wait, or has waited, longer than its priority allows.
    WaitTooLong,
}
