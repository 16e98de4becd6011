//! Claim requests: refused at once, attached to an existing claim, or queued as a new claim.

use super::ClaimsState;
use super::local::{Caller, KeyDeadline, LocalClaim, Phase, not_run, verdict_for_owned_key};
use super::messages::{ClaimCommand, ClaimRequest, ClaimVerdict, NotRunReason, UnknownReason};
use super::record::ClaimId;
use std::time::Instant;

/// Maximum requests of one call that may wait for its answer.
const MAX_CALLERS_PER_CLAIM: usize = 8;

impl ClaimsState {
    /// Handles a new request for a claim; a verdict that is already known is returned at once.
    pub(super) fn begin(
        &mut self,
        request: ClaimRequest,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let verdict = match self.local_claims.get(&request.key) {
            Some(local) => self.join_local_claim(local.phase, &request, now),
            None => self.create_claim(&request, now),
        };
        if let Some(verdict) = verdict {
            commands.push(ClaimCommand::Verdict { request_id: request.request_id, verdict });
        }
    }

    /// Returns the verdict on a request whose key this node has claimed, or adds the request to
    /// the claim's callers.
    fn join_local_claim(
        &mut self,
        phase: Phase,
        request: &ClaimRequest,
        now: Instant,
    ) -> Option<ClaimVerdict> {
        let local = self.local_claims.get(&request.key)?;
        if matches!(phase, Phase::Releasing { .. }) {
            return Some(not_run(NotRunReason::Releasing, self.retry_at(now)));
        }
        if local.fingerprint != request.fingerprint {
            return Some(not_run(NotRunReason::KeyReused, None));
        }
        match phase {
            Phase::Ended { .. } => Some(match self.kept_answers.get(request.key) {
                Some(answer) => ClaimVerdict::Answer(answer),
                None => ClaimVerdict::OutcomeUnknown(UnknownReason::AnswerNotKept),
            }),
            Phase::TimedOut { reuse_until } => self.reuse_claim(reuse_until, request, now),
            Phase::Pending { .. } | Phase::Running { .. } | Phase::Releasing { .. } => {
                if local.callers.len() >= MAX_CALLERS_PER_CLAIM {
                    return Some(ClaimVerdict::OutcomeUnknown(UnknownReason::UnderWay));
                }
                self.add_caller(request, now);
                None
            }
        }
    }

    /// Queues a timed-out claim again under the same claim id.
    fn reuse_claim(
        &mut self,
        reuse_until: Instant,
        request: &ClaimRequest,
        now: Instant,
    ) -> Option<ClaimVerdict> {
        if let Some(refusal) = self.claim_refusal(now) {
            return Some(refusal);
        }
        let local = self.local_claims.get_mut(&request.key)?;
        local.phase = Phase::Pending { reuse_until };
        self.append_queue.push(local.entry(request.key));
        self.pending_claims += 1;
        self.add_caller(request, now);
        None
    }

    /// Queues a new claim, or returns the verdict on a request that can't be claimed.
    fn create_claim(&mut self, request: &ClaimRequest, now: Instant) -> Option<ClaimVerdict> {
        if let Some(owner) = self.fold.owner(request.key) {
            return Some(verdict_for_owned_key(owner, request.fingerprint));
        }
        if self.is_key_too_old(request.key_created_at) {
            return Some(ClaimVerdict::OutcomeUnknown(UnknownReason::KeyTooOld));
        }
        if let Some(refusal) = self.claim_refusal(now) {
            return Some(refusal);
        }
        let claim = ClaimId { instance_hash: self.instance_hash, sequence: self.next_sequence };
        self.next_sequence += 1;
        let local = LocalClaim::new(claim, request, now + self.settings.claim_reuse());
        self.append_queue.push(local.entry(request.key));
        self.local_claims.insert(request.key, local);
        self.pending_claims += 1;
        self.add_caller(request, now);
        None
    }

    /// Verdict on every new claim while claims cannot be made, if that is so.
    fn claim_refusal(&self, now: Instant) -> Option<ClaimVerdict> {
        if self.fold.may_lack_claims(now) {
            return Some(not_run(NotRunReason::ClaimsHidden, self.retry_at(now)));
        }
        if let Some(log_down_until) =
            self.append_queue.log_down_until().filter(|until| now < *until)
        {
            return Some(not_run(NotRunReason::LogDown, Some(log_down_until)));
        }
        if self.pending_claims >= self.settings.max_pending_claims {
            return Some(not_run(NotRunReason::Overloaded, self.retry_at(now)));
        }
        None
    }

    fn add_caller(&mut self, request: &ClaimRequest, now: Instant) {
        let Some(local) = self.local_claims.get_mut(&request.key) else { return };
        let deadline = if local.is_pending() {
            request.deadline.min(now + self.settings.claim_timeout())
        } else {
            request.deadline
        };
        local.callers.push(Caller { request_id: request.request_id.clone(), deadline });
        self.deadlines.insert(KeyDeadline { at: deadline, key: request.key });
    }
}
