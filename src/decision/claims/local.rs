//! Claims that this node has made.

use super::fold::KeyOwner;
use super::messages::{ClaimCommand, ClaimRequest, ClaimVerdict, NotRunReason, UnknownReason};
use super::record::{ClaimEntry, ClaimId, Fingerprint, KeyHash};
use crate::types::RequestId;
use std::time::{Instant, SystemTime};

/// Claim made by this node.
#[derive(Debug)]
pub(super) struct LocalClaim {
    pub claim: ClaimId,
    pub fingerprint: Fingerprint,
    pub key_created_at: Option<SystemTime>,
    pub phase: Phase,
    /// Requests of the call that wait for a verdict.
    pub callers: Vec<Caller>,
}

/// Phase of a local claim. The node drops the claim at `remove_at`, or a timed-out one at
/// `reuse_until`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The claim is queued or appended, and its record has not been read from the log.
    Pending { reuse_until: Instant },
    /// All callers got the verdict "not run"; the record may still appear on the log.
    TimedOut { reuse_until: Instant },
    /// The claim owns the key, was not run, and its release is being appended.
    Releasing { remove_at: Instant },
    /// The call is running.
    Running { remove_at: Instant },
    /// The call ended and may have run.
    Ended { remove_at: Instant },
}

/// Request that waits for the verdict on its call.
#[derive(Debug)]
pub(super) struct Caller {
    pub request_id: RequestId,
    pub deadline: Instant,
}

/// Time at which the local claim of a key is checked for expired callers and for removal.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct KeyDeadline {
    pub at: Instant,
    pub key: KeyHash,
}

impl LocalClaim {
    /// Returns a pending claim without callers.
    pub fn new(claim: ClaimId, request: &ClaimRequest, reuse_until: Instant) -> Self {
        Self {
            claim,
            fingerprint: request.fingerprint,
            key_created_at: request.key_created_at,
            phase: Phase::Pending { reuse_until },
            callers: Vec::new(),
        }
    }

    /// Returns the log entry that claims `key`.
    pub fn entry(&self, key: KeyHash) -> ClaimEntry {
        ClaimEntry::Claim { claim: self.claim, key, fingerprint: self.fingerprint }
    }

    /// Whether the claim's record has not been read and a caller still waits for it.
    pub fn is_pending(&self) -> bool {
        matches!(self.phase, Phase::Pending { .. })
    }
}

/// Returns the verdict "not run".
pub(super) fn not_run(reason: NotRunReason, retry_at: Option<Instant>) -> ClaimVerdict {
    ClaimVerdict::NotRun { reason, retry_at }
}

/// Verdict on a call with `fingerprint` whose key belongs to the claim of `owner`.
pub(super) fn verdict_for_owned_key(owner: KeyOwner, fingerprint: Fingerprint) -> ClaimVerdict {
    if owner.fingerprint == fingerprint {
        ClaimVerdict::OutcomeUnknown(UnknownReason::ClaimedElsewhere)
    } else {
        not_run(NotRunReason::KeyReused, None)
    }
}

/// Adds a command that sends `verdict` to each caller.
pub(super) fn send_verdict(
    callers: Vec<Caller>,
    verdict: &ClaimVerdict,
    commands: &mut Vec<ClaimCommand>,
) {
    for caller in callers {
        let verdict = verdict.clone();
        commands.push(ClaimCommand::Verdict { request_id: caller.request_id, verdict });
    }
}
