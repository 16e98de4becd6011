//! Handling of finished appends, log pages, ended calls and passed deadlines.

use super::ClaimsState;
use super::fold::{EntryOutcome, KeyOwner};
use super::local::{KeyDeadline, LocalClaim, Phase, not_run, send_verdict, verdict_for_owned_key};
use super::messages::{ClaimCommand, ClaimVerdict, NotRunReason, RunEnding, UnknownReason};
use super::record::{ClaimEntry, ClaimId, KeyHash};
use crate::ports::LogPage;
use crate::types::LogOffset;
use std::mem;
use std::time::{Duration, Instant, SystemTime};

impl ClaimsState {
    /// Handles the result of an append; `offset` is none if the append may have failed.
    pub(super) fn end_append(
        &mut self,
        batch: u64,
        offset: Option<LogOffset>,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        if !self.append_queue.finish_append(batch, offset.is_some(), now) {
            return;
        }
        match offset {
            Some(offset) if offset >= self.fold.next_offset() => {
                commands.push(ClaimCommand::ReadThrough(offset));
            }
            Some(_) => {}
            None => self.drop_abandoned_claims(),
        }
    }

    /// Folds a page of the log and decides the claims of this node that are in it.
    pub(super) fn fold_page(
        &mut self,
        page: &LogPage,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        for outcome in self.fold.apply(page, now) {
            match outcome {
                EntryOutcome::Acquired { claim, key }
                    if claim.instance_hash == self.instance_hash =>
                {
                    self.run_or_release(claim, key, now, commands);
                }
                EntryOutcome::Rejected { claim, key, owner }
                    if claim.instance_hash == self.instance_hash =>
                {
                    self.reject_claim(claim, key, owner, commands);
                }
                EntryOutcome::Released { claim, key }
                    if claim.instance_hash == self.instance_hash =>
                {
                    self.remove_local_claim(claim, key);
                }
                EntryOutcome::Acquired { .. }
                | EntryOutcome::Rejected { .. }
                | EntryOutcome::Released { .. } => {}
            }
        }
    }

    /// Lets the first caller of a claim that now owns its key run the call. Releases the key if the
    /// call must not run, no caller is left, or this node no longer has the claim.
    fn run_or_release(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let remove_at = now + Duration::from_millis(self.settings.dedup_window_ms());
        let is_this_claim = |local: &&mut LocalClaim| local.claim == claim;
        let Some(local) = self.local_claims.get_mut(&key).filter(is_this_claim) else {
            self.append_queue.push(ClaimEntry::Release { claim, key });
            return;
        };
        self.deadlines.insert(KeyDeadline { at: remove_at, key });
        self.pending_claims -= usize::from(local.is_pending());
        let refusal = self.run_refusal(key, now);
        let timeout = not_run(NotRunReason::ClaimTimeout, self.retry_at(now));
        let Some(local) = self.local_claims.get_mut(&key) else { return };
        if refusal.is_some() || local.callers.is_empty() {
            let verdict = refusal.unwrap_or(timeout);
            send_verdict(mem::take(&mut local.callers), &verdict, commands);
            local.phase = Phase::Releasing { remove_at };
            self.append_queue.push(ClaimEntry::Release { claim, key });
            return;
        }
        let runner = local.callers.remove(0);
        local.phase = Phase::Running { remove_at };
        let verdict = ClaimVerdict::Run { claim, start_deadline: runner.deadline };
        commands.push(ClaimCommand::Verdict { request_id: runner.request_id, verdict });
    }

    /// Verdict if the claim that owns `key` must not run its call.
    fn run_refusal(&self, key: KeyHash, now: Instant) -> Option<ClaimVerdict> {
        let key_created_at = self.local_claims.get(&key).and_then(|local| local.key_created_at);
        if self.fold.may_lack_claims(now) {
            return Some(not_run(NotRunReason::ClaimsHidden, self.retry_at(now)));
        }
        if self.is_key_too_old(key_created_at) {
            return Some(ClaimVerdict::OutcomeUnknown(UnknownReason::KeyTooOld));
        }
        let latest_created_at =
            self.fold.latest_append_at() + Duration::from_millis(self.settings.clock_skew_ms);
        let is_in_future =
            key_created_at.is_some_and(|key_created_at| key_created_at > latest_created_at);
        is_in_future.then(|| not_run(NotRunReason::KeyFromFuture, None))
    }

    /// Answers the callers of a claim whose key another claim owns, and removes the claim.
    fn reject_claim(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        owner: KeyOwner,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let Some(local) = self.remove_local_claim(claim, key) else { return };
        self.pending_claims -= usize::from(local.is_pending());
        send_verdict(local.callers, &verdict_for_owned_key(owner, local.fingerprint), commands);
    }

    /// Removes `claim` if it is this node's claim of `key`.
    fn remove_local_claim(&mut self, claim: ClaimId, key: KeyHash) -> Option<LocalClaim> {
        self.local_claims.get(&key).filter(|local| local.claim == claim)?;
        self.local_claims.remove(&key)
    }

    /// Drops queued claims for which no caller waits.
    fn drop_abandoned_claims(&mut self) {
        let local = &self.local_claims;
        self.append_queue.retain(|entry| match entry {
            ClaimEntry::Release { .. } => true,
            ClaimEntry::Claim { claim, key, .. } => {
                local.get(key).is_some_and(|local| local.claim == *claim && local.is_pending())
            }
        });
    }

    /// Handles the end of a call that this node ran: answers its callers, and releases the key if
    /// the call was not run.
    pub(super) fn end_run(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        ending: RunEnding,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let retry_at = self.retry_at(now);
        let is_running = |local: &&mut LocalClaim| {
            local.claim == claim && matches!(local.phase, Phase::Running { .. })
        };
        let Some(local) = self.local_claims.get_mut(&key).filter(is_running) else { return };
        let callers = mem::take(&mut local.callers);
        let remove_at = now + Duration::from_millis(self.settings.kept_answer_ms);
        local.phase = Phase::Ended { remove_at };
        self.deadlines.insert(KeyDeadline { at: remove_at, key });
        let verdict = match ending {
            RunEnding::Answer(answer) => {
                self.kept_answers.insert(key, &answer);
                ClaimVerdict::Answer(answer)
            }
            RunEnding::NotRun => {
                let remove_at = now + Duration::from_millis(self.settings.dedup_window_ms());
                local.phase = Phase::Releasing { remove_at };
                self.deadlines.insert(KeyDeadline { at: remove_at, key });
                self.append_queue.push(ClaimEntry::Release { claim, key });
                not_run(NotRunReason::EarlierNotRun, retry_at)
            }
            RunEnding::OutcomeUnknown => ClaimVerdict::OutcomeUnknown(UnknownReason::AnswerNotKept),
        };
        send_verdict(callers, &verdict, commands);
    }

    /// Handles all deadlines up to `now`.
    pub(super) fn expire(&mut self, now: Instant, commands: &mut Vec<ClaimCommand>) {
        while self.deadlines.first().is_some_and(|deadline| deadline.at <= now) {
            let Some(deadline) = self.deadlines.pop_first() else { return };
            self.expire_key(deadline.key, now, commands);
        }
    }

    /// Answers the callers of `key` whose deadline has passed, and removes its claim once due.
    fn expire_key(&mut self, key: KeyHash, now: Instant, commands: &mut Vec<ClaimCommand>) {
        let retry_at = self.retry_at(now);
        let Some(local) = self.local_claims.get_mut(&key) else { return };
        let callers = mem::take(&mut local.callers);
        let (expired, remaining) = callers.into_iter().partition(|caller| caller.deadline <= now);
        local.callers = remaining;
        match local.phase {
            Phase::Pending { reuse_until } => {
                send_verdict(expired, &not_run(NotRunReason::ClaimTimeout, retry_at), commands);
                if local.callers.is_empty() {
                    local.phase = Phase::TimedOut { reuse_until };
                    self.pending_claims -= 1;
                    self.deadlines.insert(KeyDeadline { at: reuse_until.max(now), key });
                    self.drop_abandoned_claims();
                }
            }
            Phase::TimedOut { reuse_until: remove_at }
            | Phase::Releasing { remove_at }
            | Phase::Running { remove_at }
            | Phase::Ended { remove_at } => {
                let verdict = ClaimVerdict::OutcomeUnknown(UnknownReason::UnderWay);
                send_verdict(expired, &verdict, commands);
                if remove_at <= now {
                    self.remove_expired_claim(key, commands);
                }
            }
        }
    }

    /// Removes a local claim; a key that it owns on the log stays owned.
    fn remove_expired_claim(&mut self, key: KeyHash, commands: &mut Vec<ClaimCommand>) {
        self.kept_answers.remove(key);
        let Some(local) = self.local_claims.remove(&key) else { return };
        let verdict = ClaimVerdict::OutcomeUnknown(UnknownReason::AnswerNotKept);
        send_verdict(local.callers, &verdict, commands);
    }

    /// Whether the log's clock is beyond the maximum age of a key created at `key_created_at`.
    pub(super) fn is_key_too_old(&self, key_created_at: Option<SystemTime>) -> bool {
        let age = key_created_at
            .and_then(|created_at| self.fold.latest_append_at().duration_since(created_at).ok());
        age.is_some_and(|age| age > Duration::from_millis(self.settings.key_age_ms))
    }
}
