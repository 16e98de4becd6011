//! Calls that ask to run: refused at once, joined to an earlier sending, or queued for a claim.

use super::ClaimsState;
use super::local::{Caller, KeyDeadline, LocalClaim, Phase, not_run, owned_verdict};
use super::messages::{ClaimCommand, ClaimRequest, ClaimVerdict, NotRunReason, UnknownReason};
use super::record::ClaimId;
use std::time::Instant;

/// Sendings of one call that may wait for its answer.
const JOINED_CALLS: usize = 8;

impl ClaimsState {
    pub(super) fn begin(
        &mut self,
        request: ClaimRequest,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let verdict = match self.local.get(&request.key) {
            Some(local) => self.begin_again(local.phase, &request, now),
            None => self.begin_new(&request, now),
        };
        if let Some(verdict) = verdict {
            commands.push(ClaimCommand::Verdict { request_id: request.request_id, verdict });
        }
    }

    /// Answers a call whose key this node has claimed, or adds it to the claim's callers.
    fn begin_again(
        &mut self,
        phase: Phase,
        request: &ClaimRequest,
        now: Instant,
    ) -> Option<ClaimVerdict> {
        let local = self.local.get(&request.key)?;
        if matches!(phase, Phase::Releasing { .. }) {
            return Some(not_run(NotRunReason::Releasing, self.retry_at(now)));
        }
        if local.fingerprint != request.fingerprint {
            return Some(not_run(NotRunReason::KeyReused, None));
        }
        match phase {
            Phase::Ended { .. } => Some(match self.kept.get(request.key) {
                Some(answer) => ClaimVerdict::Answer(answer),
                None => ClaimVerdict::OutcomeUnknown(UnknownReason::AnswerNotKept),
            }),
            Phase::GivenUp { reuse_until } => self.take_up_again(reuse_until, request, now),
            Phase::Waiting { .. } | Phase::Running { .. } | Phase::Releasing { .. } => {
                if local.callers.len() >= JOINED_CALLS {
                    return Some(ClaimVerdict::OutcomeUnknown(UnknownReason::UnderWay));
                }
                self.add_caller(request, now);
                None
            }
        }
    }

    /// Waits again for a claim that was given up, under the same claim id.
    fn take_up_again(
        &mut self,
        reuse_until: Instant,
        request: &ClaimRequest,
        now: Instant,
    ) -> Option<ClaimVerdict> {
        if let Some(refusal) = self.claim_refusal(now) {
            return Some(refusal);
        }
        let local = self.local.get_mut(&request.key)?;
        local.phase = Phase::Waiting { reuse_until };
        self.queue.push(local.entry(request.key));
        self.pending_claims += 1;
        self.add_caller(request, now);
        None
    }

    /// Refuses a call at once, or queues a claim for it.
    fn begin_new(&mut self, request: &ClaimRequest, now: Instant) -> Option<ClaimVerdict> {
        if let Some(owner) = self.fold.owner(request.key) {
            return Some(owned_verdict(owner, request.fingerprint));
        }
        if self.is_too_old(request.key_created_at) {
            return Some(ClaimVerdict::OutcomeUnknown(UnknownReason::KeyTooOld));
        }
        if let Some(refusal) = self.claim_refusal(now) {
            return Some(refusal);
        }
        let claim = ClaimId { instance_hash: self.instance_hash, sequence: self.next_sequence };
        self.next_sequence += 1;
        let local = LocalClaim::new(claim, request, now + self.settings.claim_reuse());
        self.queue.push(local.entry(request.key));
        self.local.insert(request.key, local);
        self.pending_claims += 1;
        self.add_caller(request, now);
        None
    }

    /// Why no claim can be made now, if so.
    fn claim_refusal(&self, now: Instant) -> Option<ClaimVerdict> {
        if self.fold.is_blind(now) {
            return Some(not_run(NotRunReason::ClaimsHidden, self.retry_at(now)));
        }
        if let Some(down_until) = self.queue.down_until().filter(|until| now < *until) {
            return Some(not_run(NotRunReason::LogDown, Some(down_until)));
        }
        if self.pending_claims >= self.settings.max_pending_claims {
            return Some(not_run(NotRunReason::Overloaded, self.retry_at(now)));
        }
        None
    }

    fn add_caller(&mut self, request: &ClaimRequest, now: Instant) {
        let Some(local) = self.local.get_mut(&request.key) else { return };
        let deadline = if local.is_waiting() {
            request.deadline.min(now + self.settings.claim_timeout())
        } else {
            request.deadline
        };
        local.callers.push(Caller { request_id: request.request_id.clone(), deadline });
        self.deadlines.insert(KeyDeadline { at: deadline, key: request.key });
    }
}
