//! Progress of claims: what the log, the ends of calls and time do to them.

use super::ClaimsState;
use super::fold::{FoldedEntry, KeyOwner};
use super::local::{KeyDeadline, LocalClaim, Phase, answer_all, not_run, owned_verdict};
use super::messages::{ClaimCommand, ClaimVerdict, NotRunReason, RunEnding, UnknownReason};
use super::record::{ClaimEntry, ClaimId, KeyHash};
use crate::ports::LogPage;
use crate::types::LogOffset;
use std::mem;
use std::time::{Duration, Instant, SystemTime};

impl ClaimsState {
    pub(super) fn end_append(
        &mut self,
        batch: u64,
        offset: Option<LogOffset>,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        if !self.queue.end(batch, offset.is_some(), now) {
            return;
        }
        match offset {
            Some(offset) if offset >= self.fold.next_offset() => {
                commands.push(ClaimCommand::ReadThrough(offset));
            }
            Some(_) => {}
            None => self.drop_unwanted_entries(),
        }
    }

    pub(super) fn fold_page(
        &mut self,
        page: &LogPage,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        for entry in self.fold.apply(page, now) {
            match entry {
                FoldedEntry::Owns { claim, key } if claim.instance_hash == self.instance_hash => {
                    self.own(claim, key, now, commands);
                }
                FoldedEntry::Lost { claim, key, owner }
                    if claim.instance_hash == self.instance_hash =>
                {
                    self.lose(claim, key, owner, commands);
                }
                FoldedEntry::Released { claim, key }
                    if claim.instance_hash == self.instance_hash =>
                {
                    self.take_local(claim, key);
                }
                FoldedEntry::Owns { .. }
                | FoldedEntry::Lost { .. }
                | FoldedEntry::Released { .. } => {}
            }
        }
    }

    /// Runs the call of a claim that owns its key, or releases the key.
    fn own(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        now: Instant,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let forget_at = now + Duration::from_millis(self.settings.dedup_window_ms());
        let is_own = |local: &&mut LocalClaim| local.claim == claim;
        let Some(local) = self.local.get_mut(&key).filter(is_own) else {
            self.queue.push(ClaimEntry::Release { claim, key });
            return;
        };
        self.deadlines.insert(KeyDeadline { at: forget_at, key });
        self.pending_claims -= usize::from(local.is_waiting());
        let refusal = self.own_refusal(key, now);
        let timeout = not_run(NotRunReason::ClaimTimeout, self.retry_at(now));
        let Some(local) = self.local.get_mut(&key) else { return };
        if refusal.is_some() || local.callers.is_empty() {
            let verdict = refusal.unwrap_or(timeout);
            answer_all(mem::take(&mut local.callers), &verdict, commands);
            local.phase = Phase::Releasing { forget_at };
            self.queue.push(ClaimEntry::Release { claim, key });
            return;
        }
        let runner = local.callers.remove(0);
        local.phase = Phase::Running { forget_at };
        let verdict = ClaimVerdict::Run { claim, start_deadline: runner.deadline };
        commands.push(ClaimCommand::Verdict { request_id: runner.request_id, verdict });
    }

    /// Why the claim of `key`, which owns it, must not run, if so.
    fn own_refusal(&self, key: KeyHash, now: Instant) -> Option<ClaimVerdict> {
        let key_created_at = self.local.get(&key).and_then(|local| local.key_created_at);
        if self.fold.is_blind(now) {
            return Some(not_run(NotRunReason::ClaimsHidden, self.retry_at(now)));
        }
        if self.is_too_old(key_created_at) {
            return Some(ClaimVerdict::OutcomeUnknown(UnknownReason::KeyTooOld));
        }
        let latest = self.fold.latest() + Duration::from_millis(self.settings.clock_skew_ms);
        let in_future = key_created_at.is_some_and(|key_created_at| key_created_at > latest);
        in_future.then(|| not_run(NotRunReason::KeyFromFuture, None))
    }

    fn lose(
        &mut self,
        claim: ClaimId,
        key: KeyHash,
        owner: KeyOwner,
        commands: &mut Vec<ClaimCommand>,
    ) {
        let Some(local) = self.take_local(claim, key) else { return };
        self.pending_claims -= usize::from(local.is_waiting());
        answer_all(local.callers, &owned_verdict(owner, local.fingerprint), commands);
    }

    fn take_local(&mut self, claim: ClaimId, key: KeyHash) -> Option<LocalClaim> {
        self.local.get(&key).filter(|local| local.claim == claim)?;
        self.local.remove(&key)
    }

    /// Drops queued claims that no caller waits for.
    fn drop_unwanted_entries(&mut self) {
        let local = &self.local;
        self.queue.retain(|entry| match entry {
            ClaimEntry::Release { .. } => true,
            ClaimEntry::Claim { claim, key, .. } => {
                local.get(key).is_some_and(|local| local.claim == *claim && local.is_waiting())
            }
        });
    }

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
        let Some(local) = self.local.get_mut(&key).filter(is_running) else { return };
        let callers = mem::take(&mut local.callers);
        let forget_at = now + Duration::from_millis(self.settings.kept_answer_ms);
        local.phase = Phase::Ended { forget_at };
        self.deadlines.insert(KeyDeadline { at: forget_at, key });
        let verdict = match ending {
            RunEnding::Answer(answer) => {
                self.kept.insert(key, &answer);
                ClaimVerdict::Answer(answer)
            }
            RunEnding::NotRun => {
                let forget_at = now + Duration::from_millis(self.settings.dedup_window_ms());
                local.phase = Phase::Releasing { forget_at };
                self.deadlines.insert(KeyDeadline { at: forget_at, key });
                self.queue.push(ClaimEntry::Release { claim, key });
                not_run(NotRunReason::EarlierNotRun, retry_at)
            }
            RunEnding::OutcomeUnknown => ClaimVerdict::OutcomeUnknown(UnknownReason::AnswerNotKept),
        };
        answer_all(callers, &verdict, commands);
    }

    pub(super) fn expire(&mut self, now: Instant, commands: &mut Vec<ClaimCommand>) {
        while self.deadlines.first().is_some_and(|deadline| deadline.at <= now) {
            let Some(deadline) = self.deadlines.pop_first() else { return };
            self.expire_key(deadline.key, now, commands);
        }
    }

    fn expire_key(&mut self, key: KeyHash, now: Instant, commands: &mut Vec<ClaimCommand>) {
        let retry_at = self.retry_at(now);
        let Some(local) = self.local.get_mut(&key) else { return };
        let callers = mem::take(&mut local.callers);
        let (expired, waiting) = callers.into_iter().partition(|caller| caller.deadline <= now);
        local.callers = waiting;
        match local.phase {
            Phase::Waiting { reuse_until } => {
                answer_all(expired, &not_run(NotRunReason::ClaimTimeout, retry_at), commands);
                if local.callers.is_empty() {
                    local.phase = Phase::GivenUp { reuse_until };
                    self.pending_claims -= 1;
                    self.deadlines.insert(KeyDeadline { at: reuse_until.max(now), key });
                    self.drop_unwanted_entries();
                }
            }
            Phase::GivenUp { reuse_until: forget_at }
            | Phase::Releasing { forget_at }
            | Phase::Running { forget_at }
            | Phase::Ended { forget_at } => {
                let verdict = ClaimVerdict::OutcomeUnknown(UnknownReason::UnderWay);
                answer_all(expired, &verdict, commands);
                if forget_at <= now {
                    self.forget(key, commands);
                }
            }
        }
    }

    /// Forgets a local claim; what it owns on the log stays.
    fn forget(&mut self, key: KeyHash, commands: &mut Vec<ClaimCommand>) {
        self.kept.remove(key);
        let Some(local) = self.local.remove(&key) else { return };
        let verdict = ClaimVerdict::OutcomeUnknown(UnknownReason::AnswerNotKept);
        answer_all(local.callers, &verdict, commands);
    }

    pub(super) fn is_too_old(&self, key_created_at: Option<SystemTime>) -> bool {
        let age = key_created_at
            .and_then(|key_created_at| self.fold.latest().duration_since(key_created_at).ok());
        age.is_some_and(|age| age > Duration::from_millis(self.settings.key_age_ms))
    }
}
