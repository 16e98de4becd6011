//! Runs one request: waits, prefills and decodes, and sends each frame after the link delay.

use super::answer;
use super::request::{Endpoint, GenerateRequest};
use super::shared::{EngineShared, RequestGuard};
use anyhow::bail;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::{Stream, future};
use http_body::Frame;
use serde_json::{Value, json};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Maximum frames buffered ahead of the reader.
const MAX_BUFFERED_FRAMES: usize = 64;

type BodyFrame = anyhow::Result<Frame<Bytes>>;

/// Response body that generates its frames while it is polled.
///
/// Dropping it, for example when the caller disconnects, ends the request.
pub(crate) struct GeneratedBody {
    writer: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    frames: Pin<Box<Receiver<BodyFrame>>>,
}

impl GeneratedBody {
    /// Returns the body for an accepted request whose link has the one-way delay `link_delay`.
    pub fn new(
        shared: Arc<EngineShared>,
        request: GenerateRequest,
        guard: RequestGuard,
        link_delay: Duration,
    ) -> Self {
        let (sender, frames) = async_channel::bounded(MAX_BUFFERED_FRAMES);
        let writer = async move {
            if let Err(error) = run(&shared, &request, guard, link_delay, &sender).await {
                // Sending fails only if the body has been dropped, which ends the request as well.
                let _ = sender.send(Err(error)).await;
            }
        };
        Self { writer: Some(Box::pin(writer)), frames: Box::pin(frames) }
    }
}

impl Stream for GeneratedBody {
    type Item = BodyFrame;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        if let Some(writer) = &mut self.writer
            && writer.as_mut().poll(context).is_ready()
        {
            self.writer = None;
        }
        self.frames.as_mut().poll_next(context)
    }
}

async fn run(
    shared: &Arc<EngineShared>,
    request: &GenerateRequest,
    guard: RequestGuard,
    link_delay: Duration,
    frames: &Sender<BodyFrame>,
) -> anyhow::Result<()> {
    let cancelled = guard.cancelled.clone();
    let cancellation = async {
        let _ = cancelled.recv().await;
        bail!("the request was cancelled")
    };
    let timeout = async {
        match request.time_limit {
            Some(limit) => smol::Timer::after(limit).await,
            None => future::pending().await,
        };
        bail!("the request exceeded its time limit")
    };
    let generation = generate(shared, request, guard, link_delay, frames);
    future::or(generation, future::or(cancellation, timeout)).await
}

async fn generate(
    shared: &Arc<EngineShared>,
    request: &GenerateRequest,
    guard: RequestGuard,
    link_delay: Duration,
    frames: &Sender<BodyFrame>,
) -> anyhow::Result<()> {
    guard.started.recv().await?;
    shared.crash_if_poisoned(&request.prompt);
    let (prefill_ends_at, mut record) = guard.start_prefill(request);
    let max_cached = u64::from(shared.config.ground_truth.max_cached_tokens(&guard.blocks));
    let available = record.cached_tokens + record.imported_tokens;
    record.wasted_tokens = max_cached.min(record.prompt_tokens).saturating_sub(available);
    shared.config.ground_truth.count_prefill(record);
    smol::Timer::at(prefill_ends_at).await;
    guard.end_prefill(request);
    let frame_interval = shared.frame_interval();
    // Each frame is sent when its first token is generated.
    let mut due_at = prefill_ends_at + link_delay + frame_interval / shared.config.tokens_per_frame;
    let frame_count =
        answer::frame_count(request.completion_tokens, shared.config.tokens_per_frame);
    for number in request.resume_from_frame..frame_count {
        wait_until(due_at).await;
        frames
            .send(Ok(event(number, &text_chunk(request, number, number + 1 == frame_count))))
            .await?;
        due_at += frame_interval;
    }
    wait_until(due_at).await;
    frames.send(Ok(event(frame_count, &usage_chunk(request, &record)))).await?;
    frames.send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))).await?;
    Ok(())
}

async fn wait_until(due_at: Instant) {
    if due_at > Instant::now() {
        smol::Timer::at(due_at).await;
    }
}

fn event(number: u64, chunk: &Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("id: {number}\ndata: {chunk}\n\n")))
}

fn text_chunk(request: &GenerateRequest, number: u64, is_last: bool) -> Value {
    let finish_reason = if is_last { json!("length") } else { Value::Null };
    let text = answer::frame_text(&request.model, &request.prompt, number);
    let choice = match request.endpoint {
        Endpoint::Chat if number == 0 => {
            json!({"index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": finish_reason})
        }
        Endpoint::Chat => {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason})
        }
        Endpoint::Completion => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
    };
    chunk(request, &[choice], &Value::Null)
}

fn usage_chunk(request: &GenerateRequest, record: &crate::ground_truth::PrefillRecord) -> Value {
    let cached_tokens = record.cached_tokens + record.imported_tokens;
    let usage = json!({
        "prompt_tokens": record.prompt_tokens,
        "completion_tokens": request.completion_tokens,
        "total_tokens": record.prompt_tokens + u64::from(request.completion_tokens),
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    });
    chunk(request, &[], &usage)
}

fn chunk(request: &GenerateRequest, choices: &[Value], usage: &Value) -> Value {
    let object = match request.endpoint {
        Endpoint::Chat => "chat.completion.chunk",
        Endpoint::Completion => "text_completion",
    };
    json!({
        "id": request.id,
        "object": object,
        "created": 0,
        "model": request.model,
        "choices": choices,
        "usage": usage,
    })
}
