//! Messages of the claims decision.

use super::record::{ClaimEntry, ClaimId, Fingerprint, KeyHash};
use crate::ports::{LogPage, ServiceResponse};
use crate::types::{LogOffset, RequestId};
use std::sync::Arc;
use std::time::{Instant, SystemTime};
use strum::{Display, IntoStaticStr};

/// Request for permission to run a call, identified by its idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Id of the request.
    pub request_id: RequestId,
    /// Idempotency key of the call.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Creation time embedded in the key, if any.
    pub key_created_at: Option<SystemTime>,
    /// When the request times out.
    pub deadline: Instant,
}

/// Event that changes the claims state.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A request needs a verdict.
    Begin(ClaimRequest),
    /// The append of a batch ended.
    AppendEnded {
        /// Number of the batch.
        batch: u64,
        /// Offset of the record, or none if the append may or may not have taken effect.
        offset: Option<LogOffset>,
    },
    /// A page of the stream was read.
    Page(LogPage),
    /// A call with the verdict [`ClaimVerdict::Run`] ended.
    RunEnded {
        /// Claim of the call.
        claim: ClaimId,
        /// Key of the call.
        key: KeyHash,
        /// How the call ended.
        ending: RunEnding,
    },
    /// The number of live nodes, this one included, changed.
    LiveNodes(u32),
    /// Time passed.
    Tick,
}

/// How a call with the verdict [`ClaimVerdict::Run`] ended.
#[derive(Clone, Debug)]
pub enum RunEnding {
    /// The service answered.
    Answer(Arc<ServiceResponse>),
    /// No byte reached the service, or the service reports that it did not act.
    NotRun,
    /// The service may have acted.
    OutcomeUnknown,
}

/// Command of the claims decision.
#[derive(Clone, Debug)]
pub enum ClaimCommand {
    /// Append the batch and report the result with [`ClaimEvent::AppendEnded`].
    Append {
        /// Number of the batch.
        batch: u64,
        /// Entries.
        entries: Vec<ClaimEntry>,
    },
    /// Read the stream at least up to the record at this offset.
    ReadThrough(LogOffset),
    /// Send the verdict to the request. Each request gets exactly one.
    Verdict {
        /// Id of the request.
        request_id: RequestId,
        /// Verdict.
        verdict: ClaimVerdict,
    },
}

/// Verdict on a request for a call.
#[derive(Clone, Debug)]
pub enum ClaimVerdict {
    /// Send the call once, unless `start_deadline` has passed, and report how it ended with
    /// [`ClaimEvent::RunEnded`].
    Run {
        /// Claim that owns the key.
        claim: ClaimId,
        /// Latest start of the call; after it the call counts as not run.
        start_deadline: Instant,
    },
    /// The call ran for an earlier request; this is its answer.
    Answer(Arc<ServiceResponse>),
    /// The call was not run for this request and will not be.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// When the caller may retry, none if a retry cannot succeed.
        retry_at: Option<Instant>,
    },
    /// The call may have run for an earlier request.
    OutcomeUnknown(UnknownReason),
}

impl ClaimVerdict {
    /// Label of the verdict in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Run { .. } => "run",
            Self::Answer(_) => "kept_answer",
            Self::NotRun { reason, .. } => reason.into(),
            Self::OutcomeUnknown(reason) => reason.into(),
        }
    }
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// Appends to the log fail.
    LogDown,
    /// The claim was not read back from the log in time.
    ClaimTimeout,
    /// The creation time in the key lies in the future.
    KeyFromFuture,
    /// The key was already used for a call with another fingerprint.
    KeyReused,
    /// An earlier claim of the key is being released.
    Releasing,
    /// Too many claims are pending.
    Overloaded,
    /// Records were lost or cannot be read, so that earlier claims may be unknown.
    ClaimsHidden,
    /// This request waited for an earlier one, for which the call was not run.
    EarlierNotRun,
}

/// Why the outcome of a call is not known.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UnknownReason {
    /// The claim that owns the key was made by another node, or by this node before a restart.
    ClaimedElsewhere,
    /// The call ran on this node, but its answer was not received or is no longer kept.
    AnswerNotKept,
    /// The call is still running on this node.
    UnderWay,
    /// The key is older than the maximum age. The call was not run for this request, but may have
    /// run for an earlier one.
    KeyTooOld,
}
