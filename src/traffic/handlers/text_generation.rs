//! Model requests: chat completions and completions, streamed or in one response.

use crate::adapters::caller_body::CallerBody;
use crate::adapters::caller_memory::Room;
use crate::adapters::http_server::Reply;
use crate::control::Snapshot;
use crate::decision::poison::Suspicion;
use crate::traffic::admission_gate::{AdmissionPermit, GateRequest, is_workspace_limit};
use crate::traffic::authenticate::authenticate;
use crate::traffic::generation::{AnswerItem, Generation, Usage};
use crate::traffic::generation_request::{Endpoint, GenerationRequest, RawGenerationRequest};
use crate::traffic::reply::{event_stream_reply, failure_body, json_reply};
use crate::traffic::{Failure, FailureCode, TrafficContext, body};
use bytes::Bytes;
use futures_lite::stream;
use http::{Request, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Runs a model request and returns its reply, which is streamed if the caller requested a stream.
pub async fn handle(
    context: Arc<TrafficContext>,
    endpoint: Endpoint,
    request: Request<CallerBody>,
) -> Result<Reply, Failure> {
    let arrived_at = Instant::now();
    let limits = context.settings.limits;
    let (parts, incoming) = request.into_parts();
    let workspace = authenticate(&parts.headers, &context.snapshot.load())?;
    let read_deadline = arrived_at + Duration::from_millis(limits.read_timeout_ms);
    let (body, room) = body::read(&context, incoming, read_deadline).await?;
    let raw = RawGenerationRequest {
        id: context.new_request_id(),
        endpoint,
        workspace,
        headers: &parts.headers,
        body: &body,
        deadline: arrived_at + Duration::from_millis(limits.request_timeout_ms),
    };
    let snapshot = context.snapshot.load_full();
    let request = GenerationRequest::check(raw, &snapshot)?;
    let is_suspect = check_poison(&request, &snapshot)?;
    let permit = admit(&context, &request, &snapshot).await?;
    let generation = Generation::new(context, request, is_suspect).await;
    let mut running = RunningRequest { generation, _permit: permit, _room: room };
    let first = running.generation.next_item().await?;
    if running.generation.request().is_streamed {
        return Ok(stream_reply(running, first));
    }
    complete_reply(running, first, limits.answer_bytes).await
}

/// Generation with its admission permit, which is released when the answer ends.
struct RunningRequest {
    generation: Generation,
    _permit: AdmissionPermit,
    _room: Room,
}

/// Refuses a request known to crash servers; returns whether it is a suspect.
fn check_poison(request: &GenerationRequest, snapshot: &Snapshot) -> Result<bool, Failure> {
    match snapshot.poison.suspicion(request.fingerprint, Instant::now()) {
        Suspicion::None => Ok(false),
        Suspicion::Suspect => Ok(true),
        Suspicion::Refused { until } => {
            let message = "this request crashed more than one backend server";
            Err(Failure::not_run(FailureCode::PoisonRequest, message).retry_at(until))
        }
    }
}

async fn admit(
    context: &TrafficContext,
    request: &GenerationRequest,
    snapshot: &Snapshot,
) -> Result<AdmissionPermit, Failure> {
    let gate_request = GateRequest {
        workspace: request.workspace.clone(),
        priority: request.priority,
        tokens: request.prompt_tokens().saturating_add(request.max_tokens),
        deadline: request.deadline,
    };
    let admission = context.admission.admit(gate_request, snapshot).await;
    admission.map_err(|refusal| {
        let code = if is_workspace_limit(refusal.reason) {
            FailureCode::RateLimited
        } else {
            FailureCode::Overloaded
        };
        let message = format!("not started: {}", refusal.reason);
        Failure::not_run(code, message).retry_at(refusal.retry_at)
    })
}

/// State of the event stream to a caller.
enum StreamState {
    /// The item is sent next.
    Ready(Box<RunningRequest>, AnswerItem),
    /// The next item is awaited.
    Waiting(Box<RunningRequest>),
    /// The stream has ended.
    Ended,
}

fn stream_reply(running: RunningRequest, first: AnswerItem) -> Reply {
    let state = StreamState::Ready(Box::new(running), first);
    event_stream_reply(stream::unfold(state, next_event))
}

async fn next_event(state: StreamState) -> Option<(Bytes, StreamState)> {
    let (running, item) = match state {
        StreamState::Ready(running, item) => (running, Ok(item)),
        StreamState::Waiting(mut running) => {
            let item = running.generation.next_item().await;
            (running, item)
        }
        StreamState::Ended => return None,
    };
    match item {
        Ok(AnswerItem::Chunk(chunk)) => Some((encode_event(&chunk), StreamState::Waiting(running))),
        Ok(AnswerItem::End(usage)) => {
            Some((end_events(running.generation.request(), usage), StreamState::Ended))
        }
        Err(failure) => {
            running.generation.count_failure(&failure);
            let request = running.generation.request();
            log::info!("event=stream_failed request={} code={}", request.id, failure.code);
            Some((encode_event(&failure_body(&failure)), StreamState::Ended))
        }
    }
}

fn encode_event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn end_events(request: &GenerationRequest, usage: Usage) -> Bytes {
    let mut events = Vec::new();
    if request.include_usage {
        let chunk = json!({
            "id": request.id,
            "object": chunk_object(request.endpoint),
            "model": request.model,
            "choices": [],
            "usage": usage_json(usage),
        });
        events.extend_from_slice(&encode_event(&chunk));
    }
    events.extend_from_slice(DONE_EVENT);
    events.into()
}

async fn complete_reply(
    running: RunningRequest,
    first: AnswerItem,
    limit_bytes: usize,
) -> Result<Reply, Failure> {
    let RunningRequest { mut generation, _permit, _room } = running;
    let mut text = String::new();
    let mut finish_reason = Value::Null;
    let mut item = first;
    let usage = loop {
        match item {
            AnswerItem::End(usage) => break usage,
            AnswerItem::Chunk(chunk) => {
                let choice = &chunk["choices"][0];
                text.push_str(choice_text(generation.request().endpoint, choice));
                if !choice["finish_reason"].is_null() {
                    finish_reason = choice["finish_reason"].clone();
                }
            }
        }
        if text.len() > limit_bytes {
            let message = format!("the answer exceeds {limit_bytes} bytes");
            return Err(Failure::outcome_unknown(FailureCode::AnswerTooLarge, message));
        }
        item = generation.next_item().await?;
    };
    let body = complete_body(generation.request(), &text, &finish_reason, usage);
    Ok(json_reply(StatusCode::OK, &body))
}

fn choice_text(endpoint: Endpoint, choice: &Value) -> &str {
    let text = match endpoint {
        Endpoint::ChatCompletions => &choice["delta"]["content"],
        Endpoint::Completions => &choice["text"],
    };
    text.as_str().unwrap_or_default()
}

fn complete_body(
    request: &GenerationRequest,
    text: &str,
    finish_reason: &Value,
    usage: Usage,
) -> Value {
    let choice = match request.endpoint {
        Endpoint::ChatCompletions => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason,
        }),
        Endpoint::Completions => {
            json!({ "index": 0, "text": text, "finish_reason": finish_reason })
        }
    };
    json!({
        "id": request.id,
        "object": completion_object(request.endpoint),
        "model": request.model,
        "choices": [choice],
        "usage": usage_json(usage),
    })
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

fn chunk_object(endpoint: Endpoint) -> &'static str {
    match endpoint {
        Endpoint::ChatCompletions => "chat.completion.chunk",
        Endpoint::Completions => "text_completion",
    }
}

fn completion_object(endpoint: Endpoint) -> &'static str {
    match endpoint {
        Endpoint::ChatCompletions => "chat.completion",
        Endpoint::Completions => "text_completion",
    }
}
