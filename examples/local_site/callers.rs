//! Callers in an open loop: each arrival runs as its own task, however long earlier ones take.

use crate::document::bearer_key;
use crate::exchange::{self, AttemptResult};
use crate::omniscient::OmniscientRouter;
use crate::outcome::{CallKind, Ending, NonIdempotentCall, Outcome, Outcomes};
use crate::site::Site;
use crate::workload::{Arrival, Call, ModelCall, Workload};
use bytes::Bytes;
use coriandertide_standins::engine::answer;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum attempts of a call whose connection was lost or whose outcome is unknown.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum attempts of a poison request, which is retried after every ending but an answer.
const MAX_POISON_ATTEMPTS: u32 = 5;
/// Pause of a caller before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// State shared by all callers of a run.
pub struct Run {
    /// Site under test.
    pub site: Site,
    /// Prompt texts and arrivals.
    pub workload: Workload,
    /// Router that replaces the nodes under the omniscient policy.
    pub omniscient: Option<OmniscientRouter>,
    /// Outcomes of the calls that have ended.
    pub outcomes: Outcomes,
    /// Number of calls sent.
    pub sent_calls: AtomicUsize,
    /// Start of the run.
    pub started_at: Instant,
}

impl Run {
    /// Makes the call of `arrival` and records its outcome.
    pub async fn call(self: Arc<Self>, arrival: Arrival) {
        self.sent_calls.fetch_add(1, Ordering::Relaxed);
        match &arrival.call {
            Call::Model(call) => self.model_call(&arrival, call).await,
            Call::IdempotentService => self.service_call(&arrival, false).await,
            Call::NonIdempotentService => self.service_call(&arrival, true).await,
        }
    }

    /// Records the call of `arrival` as skipped.
    pub fn record_skipped(&self, arrival: &Arrival) {
        self.outcomes.add(Outcome {
            kind: CallKind::Service,
            arrival_offset: arrival.offset,
            time_to_first_token: None,
            ending: Ending::Skipped,
            code: None,
            attempts: 0,
        });
    }

    async fn model_call(&self, arrival: &Arrival, call: &ModelCall) {
        let prompt = self.workload.prompt(arrival.workspace, call);
        let model = self.workload.model();
        let expected =
            answer::frame_texts(model, &prompt, call.max_tokens, crate::TOKENS_PER_FRAME);
        let body = self.workload.request_body(arrival.workspace, call).to_string();
        let mut last_node = None;
        let mut attempts = 0;
        let result = loop {
            attempts += 1;
            let deadline = Instant::now() + ATTEMPT_TIMEOUT;
            let result = match &self.omniscient {
                Some(omniscient) => {
                    omniscient.attempt(&self.site, arrival, call, &prompt, &body, &expected).await
                }
                None => {
                    let send = |address| {
                        let request = self.model_request(arrival, call, &body);
                        exchange::model_attempt(address, request, &expected, deadline)
                    };
                    self.attempt_via_balancer(arrival, &mut last_node, send).await
                }
            };
            if !should_retry(&result, attempts, call.is_poison) {
                break result;
            }
            smol::Timer::after(RETRY_PAUSE).await;
        };
        let kind = if call.is_poison { CallKind::Poison } else { CallKind::Model };
        self.record(arrival, kind, &result, attempts);
    }

    async fn service_call(&self, arrival: &Arrival, is_non_idempotent: bool) {
        let key =
            if is_non_idempotent { format!("call-{}", arrival.number) } else { String::new() };
        let mut endings = Vec::new();
        let mut last_node = None;
        let result = loop {
            let deadline = Instant::now() + ATTEMPT_TIMEOUT;
            let send = |address| {
                let request = self.service_request(arrival, &key);
                exchange::service_attempt(address, request, &key, deadline)
            };
            let result = self.attempt_via_balancer(arrival, &mut last_node, send).await;
            endings.push(result.ending);
            let attempts = u32::try_from(endings.len()).unwrap_or(u32::MAX);
            if !should_retry(&result, attempts, false) {
                break result;
            }
            smol::Timer::after(RETRY_PAUSE).await;
        };
        let attempts = u32::try_from(endings.len()).unwrap_or(u32::MAX);
        if is_non_idempotent {
            self.outcomes.add_non_idempotent(NonIdempotentCall { key, endings });
        }
        self.record(arrival, CallKind::Service, &result, attempts);
    }

    /// Makes an attempt through the load balancer, on another node than the last one if possible.
    async fn attempt_via_balancer<F>(
        &self,
        arrival: &Arrival,
        last_node: &mut Option<SocketAddr>,
        send: impl FnOnce(SocketAddr) -> F,
    ) -> AttemptResult
    where
        F: Future<Output = AttemptResult>,
    {
        match self.site.balancer.pick(arrival.number, *last_node) {
            Some(node) => {
                *last_node = Some(node.address);
                send(node.address).await
            }
            None => AttemptResult {
                ending: Ending::ConnectionLost,
                code: Some("no_ready_node".to_owned()),
                first_token_at: None,
            },
        }
    }

    fn model_request(
        &self,
        arrival: &Arrival,
        call: &ModelCall,
        body: &str,
    ) -> Request<Full<Bytes>> {
        Request::post("/v1/chat/completions")
            .header("host", "site")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", bearer_key(arrival.workspace)))
            .header("x-priority", call.priority)
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a valid request")
    }

    fn service_request(&self, arrival: &Arrival, key: &str) -> Request<Full<Bytes>> {
        let preset = &self.site.preset;
        let path = format!("/services/{}{}", preset.service, preset.non_idempotent_path);
        let request = if key.is_empty() {
            Request::get(format!("{path}/{}", arrival.number))
        } else {
            Request::post(path).header("idempotency-key", key)
        };
        request
            .header("host", "site")
            .header("authorization", format!("Bearer {}", bearer_key(arrival.workspace)))
            .body(Full::new(Bytes::from_static(b"{\"count\":1}")))
            .expect("a valid request")
    }

    fn record(&self, arrival: &Arrival, kind: CallKind, result: &AttemptResult, attempts: u32) {
        let arrived_at = self.started_at + arrival.offset;
        let time_to_first_token =
            result.first_token_at.map(|at| at.saturating_duration_since(arrived_at));
        self.outcomes.add(Outcome {
            kind,
            arrival_offset: arrival.offset,
            time_to_first_token,
            ending: result.ending,
            code: result.code.clone(),
            attempts,
        });
    }
}

/// Returns whether the caller retries after `attempts` attempts.
fn should_retry(result: &AttemptResult, attempts: u32, is_poison: bool) -> bool {
    if is_poison {
        return result.ending != Ending::Answered && attempts < MAX_POISON_ATTEMPTS;
    }
    // A retry is refused again if the key is in use or belongs to another call.
    let is_key_used = result.code.as_deref() == Some("key_already_used");
    let may_have_run = matches!(result.ending, Ending::ConnectionLost | Ending::OutcomeUnknown);
    may_have_run && !is_key_used && attempts < MAX_ATTEMPTS
}
