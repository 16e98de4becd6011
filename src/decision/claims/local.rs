//! Claims that this node has made and not yet forgotten.

use super::fold::KeyOwner;
use super::messages::{ClaimCommand, ClaimRequest, ClaimVerdict, NotRunReason, UnknownReason};
use super::record::{ClaimEntry, ClaimId, Fingerprint, KeyHash};
use crate::types::RequestId;
use std::time::{Instant, SystemTime};

/// Claim of this node.
#[derive(Debug)]
pub(super) struct LocalClaim {
    pub claim: ClaimId,
    pub fingerprint: Fingerprint,
    pub key_created_at: Option<SystemTime>,
    pub phase: Phase,
    /// Sendings of the call that wait for a verdict.
    pub callers: Vec<Caller>,
}

/// Phase of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The claim is queued or appended, and its fate has not been read.
    Waiting { reuse_until: Instant },
    /// All callers were told "not run"; the record may still turn up on the log.
    GivenUp { reuse_until: Instant },
    /// The claim owns the key, was not run, and its release is on the way.
    Releasing { forget_at: Instant },
    /// The call is under way.
    Running { forget_at: Instant },
    /// The call ended and may have run.
    Ended { forget_at: Instant },
}

/// Sending of a call.
#[derive(Debug)]
pub(super) struct Caller {
    pub request_id: RequestId,
    pub deadline: Instant,
}

/// Time at which something about a key falls due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct KeyDeadline {
    pub at: Instant,
    pub key: KeyHash,
}

impl LocalClaim {
    /// Returns a claim that waits for its fate, without callers.
    pub fn new(claim: ClaimId, request: &ClaimRequest, reuse_until: Instant) -> Self {
        Self {
            claim,
            fingerprint: request.fingerprint,
            key_created_at: request.key_created_at,
            phase: Phase::Waiting { reuse_until },
            callers: Vec::new(),
        }
    }

    /// Entry to append.
    pub fn entry(&self, key: KeyHash) -> ClaimEntry {
        ClaimEntry::Claim { claim: self.claim, key, fingerprint: self.fingerprint }
    }

    /// Whether the claim waits for its fate.
    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }
}

/// Verdict on a call that is not run.
pub(super) fn not_run(reason: NotRunReason, retry_at: Option<Instant>) -> ClaimVerdict {
    ClaimVerdict::NotRun { reason, retry_at }
}

/// Verdict on a call whose key another claim owns.
pub(super) fn owned_verdict(owner: KeyOwner, fingerprint: Fingerprint) -> ClaimVerdict {
    if owner.fingerprint == fingerprint {
        ClaimVerdict::OutcomeUnknown(UnknownReason::ClaimedElsewhere)
    } else {
        not_run(NotRunReason::KeyReused, None)
    }
}

/// Gives all callers the same verdict.
pub(super) fn answer_all(
    callers: Vec<Caller>,
    verdict: &ClaimVerdict,
    commands: &mut Vec<ClaimCommand>,
) {
    for caller in callers {
        let verdict = verdict.clone();
        commands.push(ClaimCommand::Verdict { request_id: caller.request_id, verdict });
    }
}
