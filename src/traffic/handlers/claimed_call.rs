//! Non-idempotent calls with an idempotency key: run only after the key has been claimed.

use super::service_call::call_once;
use crate::control::ClaimsMessage;
use crate::decision::claims::{
    ClaimId, ClaimRequest, ClaimVerdict, Fingerprint, KeyHash, NotRunReason, RunEnding,
    UnknownReason, hash_key, key_created_at,
};
use crate::document::ServiceServer;
use crate::ports::{ServiceCall, ServiceResponse};
use crate::traffic::{Failure, FailureCode, RunState, TrafficContext};
use crate::types::{IdempotencyKey, RequestId, ServiceId, WorkspaceId};
use async_channel::Receiver;
use std::sync::Arc;
use std::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Longest idempotency key in bytes.
const LONGEST_KEY_BYTES: usize = 256;

/// What a key is claimed for.
#[derive(Clone, Copy, Debug)]
pub struct ClaimScope<'a> {
    /// Request.
    pub request: &'a RequestId,
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Service that is called.
    pub service: &'a str,
}

/// Runs a non-idempotent call at most once. A call without a key has a single attempt; nothing can
/// tell that a caller sends it again.
pub async fn call(
    context: &TrafficContext,
    scope: ClaimScope<'_>,
    servers: &[ServiceServer],
    call: &ServiceCall,
    deadline: Instant,
) -> Result<ServiceResponse, Failure> {
    let Some(key) = idempotency_key(call)? else {
        return call_once(context, servers, call, deadline).await;
    };
    let hash = hash_key(scope.workspace, &ServiceId::from(scope.service), &key);
    let request = ClaimRequest {
        request_id: scope.request.clone(),
        key: hash,
        fingerprint: fingerprint(call),
        key_created_at: key_created_at(&key),
        deadline,
    };
    let mut ticket = ClaimTicket::begin(context, request)?;
    match ticket.verdict().await {
        Some(ClaimVerdict::Run { start_deadline, .. }) if Instant::now() < start_deadline => {
            ticket.ending = RunEnding::OutcomeUnknown;
            let result = call_once(context, servers, call, deadline).await;
            ticket.ending = run_ending(&result);
            result
        }
        Some(ClaimVerdict::Run { .. }) => Err(not_run(NotRunReason::ClaimTimeout)),
        Some(ClaimVerdict::Answer(answer)) => Ok(answer.as_ref().clone()),
        Some(ClaimVerdict::NotRun { reason, retry_at }) => {
            Err(Failure { retry_at, ..not_run(reason) })
        }
        Some(ClaimVerdict::OutcomeUnknown(reason)) => Err(outcome_unknown(reason)),
        None => Err(outcome_unknown(UnknownReason::UnderWay)),
    }
}

fn idempotency_key(call: &ServiceCall) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(value) = call.headers.get("idempotency-key") else { return Ok(None) };
    match value.to_str() {
        Ok(key) if (1..=LONGEST_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => {
            let message = format!("idempotency-key must have 1 to {LONGEST_KEY_BYTES} characters");
            Err(Failure::not_run(FailureCode::InvalidKey, message))
        }
    }
}

fn fingerprint(call: &ServiceCall) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

fn run_ending(result: &Result<ServiceResponse, Failure>) -> RunEnding {
    match result {
        Ok(response) => RunEnding::Answer(Arc::new(response.clone())),
        Err(failure) => match failure.run_state {
            RunState::NotRun => RunEnding::NotRun,
            RunState::OutcomeUnknown => RunEnding::OutcomeUnknown,
        },
    }
}

fn not_run(reason: NotRunReason) -> Failure {
    let code = match reason {
        NotRunReason::KeyFromFuture => FailureCode::InvalidKey,
        NotRunReason::KeyReused => FailureCode::KeyAlreadyUsed,
        NotRunReason::Overloaded => FailureCode::Overloaded,
        NotRunReason::LogDown
        | NotRunReason::ClaimTimeout
        | NotRunReason::Releasing
        | NotRunReason::ClaimsHidden
        | NotRunReason::EarlierNotRun => FailureCode::ClaimUnavailable,
    };
    Failure::not_run(code, format!("the call was not run: {reason}"))
}

fn outcome_unknown(reason: UnknownReason) -> Failure {
    let code = match reason {
        UnknownReason::KeyTooOld => FailureCode::InvalidKey,
        UnknownReason::ClaimedElsewhere
        | UnknownReason::AnswerNotKept
        | UnknownReason::UnderWay => FailureCode::KeyAlreadyUsed,
    };
    Failure::unknown(code, format!("an earlier sending of the call may have run: {reason}"))
}

/// Claim of a call under way. When it is dropped, also because the caller went away, the control
/// thread learns how the call ended.
struct ClaimTicket<'a> {
    context: &'a TrafficContext,
    key: KeyHash,
    verdicts: Receiver<ClaimVerdict>,
    claim: Option<ClaimId>,
    ending: RunEnding,
}

impl<'a> ClaimTicket<'a> {
    fn begin(context: &'a TrafficContext, request: ClaimRequest) -> Result<Self, Failure> {
        let (reply, verdicts) = async_channel::bounded(1);
        let key = request.key;
        if !context.send_claim(ClaimsMessage::Begin { request, reply }) {
            return Err(not_run(NotRunReason::Overloaded));
        }
        Ok(Self { context, key, verdicts, claim: None, ending: RunEnding::NotRun })
    }

    async fn verdict(&mut self) -> Option<ClaimVerdict> {
        let verdict = self.verdicts.recv().await.ok();
        self.note_claim(verdict.as_ref());
        verdict
    }

    fn note_claim(&mut self, verdict: Option<&ClaimVerdict>) {
        if let Some(ClaimVerdict::Run { claim, .. }) = verdict {
            self.claim = Some(*claim);
        }
    }
}

impl Drop for ClaimTicket<'_> {
    fn drop(&mut self) {
        self.verdicts.close();
        let unread = self.verdicts.try_recv().ok();
        self.note_claim(unread.as_ref());
        let Some(claim) = self.claim else { return };
        let ended = ClaimsMessage::Ended { claim, key: self.key, ending: self.ending.clone() };
        if !self.context.send_claim(ended) {
            log::warn!("event=claim_ending_lost claim={claim}");
        }
    }
}
