//! Non-idempotent calls. A call with an idempotency key runs only after the key has been claimed.

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

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Request, workspace and service for which an idempotency key is claimed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimScope<'a> {
    /// Request id.
    pub request: &'a RequestId,
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Name of the service.
    pub service: &'a str,
}

/// Runs a non-idempotent call at most once.
///
/// A call without an idempotency key is sent without a claim, since a repetition by its caller
/// cannot be recognized.
pub async fn run_at_most_once(
    context: &TrafficContext,
    scope: ClaimScope<'_>,
    servers: &[ServiceServer],
    call: &ServiceCall,
    deadline: Instant,
) -> Result<ServiceResponse, Failure> {
    let Some(key) = idempotency_key(call)? else {
        return call_once(context, servers, call, deadline).await;
    };
    let key_hash = hash_key(scope.workspace, &ServiceId::from(scope.service), &key);
    let request = ClaimRequest {
        request_id: scope.request.clone(),
        key: key_hash,
        fingerprint: hash_call(call),
        key_created_at: key_created_at(&key),
        deadline,
    };
    let mut guard = ClaimGuard::begin(context, request)?;
    match guard.receive_verdict().await {
        Some(ClaimVerdict::Run { start_deadline, .. }) if Instant::now() < start_deadline => {
            guard.ending = RunEnding::OutcomeUnknown;
            let result = call_once(context, servers, call, deadline).await;
            guard.ending = run_ending(&result);
            result
        }
        Some(ClaimVerdict::Run { .. }) => Err(not_run_failure(NotRunReason::ClaimTimeout)),
        Some(ClaimVerdict::Answer(answer)) => Ok(answer.as_ref().clone()),
        Some(ClaimVerdict::NotRun { reason, retry_at }) => {
            Err(Failure { retry_at, ..not_run_failure(reason) })
        }
        Some(ClaimVerdict::OutcomeUnknown(reason)) => Err(outcome_unknown_failure(reason)),
        None => Err(outcome_unknown_failure(UnknownReason::UnderWay)),
    }
}

fn idempotency_key(call: &ServiceCall) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(value) = call.headers.get("idempotency-key") else { return Ok(None) };
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => {
            let message = format!("idempotency-key must have 1 to {MAX_KEY_BYTES} characters");
            Err(Failure::not_run(FailureCode::InvalidKey, message))
        }
    }
}

fn hash_call(call: &ServiceCall) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for field in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
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

fn not_run_failure(reason: NotRunReason) -> Failure {
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

fn outcome_unknown_failure(reason: UnknownReason) -> Failure {
    let code = match reason {
        UnknownReason::KeyTooOld => FailureCode::InvalidKey,
        UnknownReason::ClaimedElsewhere
        | UnknownReason::AnswerNotKept
        | UnknownReason::UnderWay => FailureCode::KeyAlreadyUsed,
    };
    Failure::outcome_unknown(code, format!("an earlier sending of the call may have run: {reason}"))
}

/// Claim of a call in progress. Dropping it, also because the caller disconnected, reports to the
/// control thread how the call ended.
struct ClaimGuard<'a> {
    context: &'a TrafficContext,
    key: KeyHash,
    verdict_receiver: Receiver<ClaimVerdict>,
    claim: Option<ClaimId>,
    ending: RunEnding,
}

impl<'a> ClaimGuard<'a> {
    fn begin(context: &'a TrafficContext, request: ClaimRequest) -> Result<Self, Failure> {
        let (reply, verdict_receiver) = async_channel::bounded(1);
        let key = request.key;
        if !context.send_claims_message(ClaimsMessage::Begin { request, reply }) {
            return Err(not_run_failure(NotRunReason::Overloaded));
        }
        Ok(Self { context, key, verdict_receiver, claim: None, ending: RunEnding::NotRun })
    }

    async fn receive_verdict(&mut self) -> Option<ClaimVerdict> {
        let verdict = self.verdict_receiver.recv().await.ok();
        self.set_claim(verdict.as_ref());
        verdict
    }

    fn set_claim(&mut self, verdict: Option<&ClaimVerdict>) {
        if let Some(ClaimVerdict::Run { claim, .. }) = verdict {
            self.claim = Some(*claim);
        }
    }
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        // The verdict may have arrived after the caller disconnected.
        self.verdict_receiver.close();
        let unread_verdict = self.verdict_receiver.try_recv().ok();
        self.set_claim(unread_verdict.as_ref());
        let Some(claim) = self.claim else { return };
        let ended = ClaimsMessage::Ended { claim, key: self.key, ending: self.ending.clone() };
        if !self.context.send_claims_message(ended) {
            log::warn!("event=claim_ending_lost claim={claim}");
        }
    }
}
