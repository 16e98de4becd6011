//! Messages of the claims decision.

use super::record::{ClaimEntry, ClaimId, Fingerprint, KeyHash};
use crate::ports::{LogPage, ServiceResponse};
use crate::types::{LogOffset, RequestId};
use std::sync::Arc;
use std::time::{Instant, SystemTime};
use strum::{Display, IntoStaticStr};

/// Call that needs a claim before it may run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Request.
    pub request_id: RequestId,
    /// Key.
    pub key: KeyHash,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Creation time that the key carries.
    pub key_created_at: Option<SystemTime>,
    /// When the caller's wait ends.
    pub deadline: Instant,
}

/// Event that changes the claims state.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A call asks to run.
    Begin(ClaimRequest),
    /// The append of a batch ended.
    AppendEnded {
        /// Number of the batch.
        batch: u64,
        /// Offset, or none if the append may or may not have taken effect.
        offset: Option<LogOffset>,
    },
    /// A page of the stream was read.
    Page(LogPage),
    /// A call that was told to run ended.
    RunEnded {
        /// Claim of the call.
        claim: ClaimId,
        /// Key of the call.
        key: KeyHash,
        /// Ending.
        ending: RunEnding,
    },
    /// The number of live nodes, this one included, changed.
    LiveNodes(u32),
    /// Time passed.
    Tick,
}

/// How a call that was told to run ended.
#[derive(Clone, Debug)]
pub enum RunEnding {
    /// The service answered.
    Answer(Arc<ServiceResponse>),
    /// No byte reached a server, or the server says that it did not act.
    NotRun,
    /// The service may have acted.
    OutcomeUnknown,
}

/// What the caller of the decision must do.
#[derive(Clone, Debug)]
pub enum ClaimCommand {
    /// Append a batch, and report the end under its number.
    Append {
        /// Number of the batch.
        batch: u64,
        /// Entries.
        entries: Vec<ClaimEntry>,
    },
    /// Read the stream until the record at this offset has been seen.
    ReadThrough(LogOffset),
    /// Tell a request its verdict. Each request gets exactly one.
    Verdict {
        /// Request.
        request_id: RequestId,
        /// Verdict.
        verdict: ClaimVerdict,
    },
}

/// Verdict on a call.
#[derive(Clone, Debug)]
pub enum ClaimVerdict {
    /// Send the call once, unless `start_deadline` has passed, and report how it ended.
    Run {
        /// Claim that owns the key.
        claim: ClaimId,
        /// When the call must have been started; past it the call ends as not run.
        start_deadline: Instant,
    },
    /// The call ran for an earlier sending; this is its answer.
    Answer(Arc<ServiceResponse>),
    /// This sending of the call was not run and will not be.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// When the caller may send again, if that can help.
        retry_at: Option<Instant>,
    },
    /// An earlier sending of the call may have run.
    OutcomeUnknown(UnknownReason),
}

impl ClaimVerdict {
    /// Reason of the verdict, for metrics.
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
    /// The log takes no appends or is not readable.
    LogDown,
    /// The claim was not decided in time.
    ClaimTimeout,
    /// The time that the key carries lies in the future.
    KeyFromFuture,
    /// The key was used for another call.
    KeyReused,
    /// An earlier claim of the key is being released.
    Releasing,
    /// Too many calls wait for claims.
    Overloaded,
    /// Records were lost or cannot be read, so that earlier claims may be hidden.
    ClaimsHidden,
    /// The earlier sending that this one waited for was not run.
    EarlierNotRun,
}

/// Why the outcome of a call is not known.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UnknownReason {
    /// Another node, or an earlier run of this one, owns the key.
    ClaimedElsewhere,
    /// The call ran here, but its answer is no longer kept or was not received.
    AnswerNotKept,
    /// The call is still under way here.
    UnderWay,
    /// The key is older than the age up to which keys hold. This sending was not run; whether an
    /// earlier one was is forgotten.
    KeyTooOld,
}
