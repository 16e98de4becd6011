//! Callers: each arrival is a task of its own, open loop.

use crate::document::bearer_key;
use crate::exchange::{self, AttemptResult};
use crate::omniscient::Omniscient;
use crate::outcome::{CallKind, Ending, KeyedCall, Outcome, Outcomes};
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

/// Time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Attempts of a caller whose connection broke or whose outcome is unknown.
const MOST_ATTEMPTS: u32 = 3;
/// Attempts of the caller of a poison request, who sends again after every ending but an answer.
const MOST_POISON_ATTEMPTS: u32 = 5;
/// Pause of a caller before it sends again.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// What all callers of a run share.
pub struct Run {
    /// Site.
    pub site: Site,
    /// Texts and arrivals.
    pub workload: Workload,
    /// Chooser that replaces the nodes under the omniscient policy.
    pub omniscient: Option<Omniscient>,
    /// Outcomes.
    pub outcomes: Outcomes,
    /// Calls sent.
    pub sent: AtomicUsize,
    /// Start of the run.
    pub started_at: Instant,
}

impl Run {
    /// Makes the call of `arrival` and records how it ended.
    pub async fn call(self: Arc<Self>, arrival: Arrival) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        match &arrival.call {
            Call::Model(call) => self.model_call(&arrival, call).await,
            Call::IdempotentService => self.service_call(&arrival, false).await,
            Call::NonIdempotentService => self.service_call(&arrival, true).await,
        }
    }

    /// Records a call that this run does not make.
    pub fn skip(&self, arrival: &Arrival) {
        self.outcomes.add(Outcome {
            kind: CallKind::Service,
            at: arrival.at,
            first_token: None,
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
        let body = self.workload.body(arrival.workspace, call).to_string();
        let mut last_node = None;
        let mut attempts = 0;
        let result = loop {
            attempts += 1;
            let deadline = Instant::now() + CALL_TIMEOUT;
            let result = match &self.omniscient {
                Some(omniscient) => {
                    omniscient.attempt(&self.site, arrival, call, &prompt, &body, &expected).await
                }
                None => {
                    let send = |address| {
                        let request = self.model_request(arrival, call, &body);
                        exchange::model_attempt(address, request, &expected, deadline)
                    };
                    self.on_node(arrival, &mut last_node, send).await
                }
            };
            if !sends_again(&result, attempts, call.is_poison) {
                break result;
            }
            smol::Timer::after(RESEND_PAUSE).await;
        };
        let kind = if call.is_poison { CallKind::Poison } else { CallKind::Model };
        self.record(arrival, kind, &result, attempts);
    }

    async fn service_call(&self, arrival: &Arrival, once: bool) {
        let key = if once { format!("call-{}", arrival.number) } else { String::new() };
        let mut endings = Vec::new();
        let mut last_node = None;
        let result = loop {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let send = |address| {
                let request = self.service_request(arrival, &key);
                exchange::service_attempt(address, request, &key, deadline)
            };
            let result = self.on_node(arrival, &mut last_node, send).await;
            endings.push(result.ending);
            let attempts = u32::try_from(endings.len()).unwrap_or(u32::MAX);
            if !sends_again(&result, attempts, false) {
                break result;
            }
            smol::Timer::after(RESEND_PAUSE).await;
        };
        let attempts = u32::try_from(endings.len()).unwrap_or(u32::MAX);
        if once {
            self.outcomes.add_keyed(KeyedCall { key, endings });
        }
        self.record(arrival, CallKind::Service, &result, attempts);
    }

    /// Makes an attempt through the balancer, on another node than the last attempt if possible.
    async fn on_node<F>(
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
        let arrived_at = self.started_at + arrival.at;
        let first_token = result.first_token_at.map(|at| at.saturating_duration_since(arrived_at));
        self.outcomes.add(Outcome {
            kind,
            at: arrival.at,
            first_token,
            ending: result.ending,
            code: result.code.clone(),
            attempts,
        });
    }
}

fn sends_again(result: &AttemptResult, attempts: u32, is_poison: bool) -> bool {
    if is_poison {
        return result.ending != Ending::Answered && attempts < MOST_POISON_ATTEMPTS;
    }
    // A key in use or used elsewhere will not give another answer.
    let is_claimed = result.code.as_deref() == Some("key_already_used");
    let may_have_run = matches!(result.ending, Ending::ConnectionLost | Ending::OutcomeUnknown);
    may_have_run && !is_claimed && attempts < MOST_ATTEMPTS
}
