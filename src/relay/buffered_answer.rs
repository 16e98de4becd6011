//! Answers that are read completely before they are forwarded.

use super::answer::Answer;
use super::attempts::Attempts;
use super::in_flight::{self, CutStage};
use super::request::{RelayedRequest, end_to_end_headers};
use super::{RelayContext, stream, suspects};
use crate::adapters::caller_memory::{Room, UnreadBody};
use crate::adapters::connection_pool::PooledExchange;
use crate::adapters::framing::Framing;
use crate::adapters::http_server::Reply;
use crate::ports::AnswerHead;
use crate::types::{PeerResult, ServerId};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use std::time::{Duration, Instant};

/// Maximum size of a buffered answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Idle time after which a connection is not reused, if the server announces no keep-alive timeout.
const DEFAULT_IDLE_PERIOD: Duration = Duration::from_millis(500);

/// Idle time after which a connection to another node is not reused; its listener waits longer.
const NODE_IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Longest idle time that counts; a server may announce more than a clock can hold.
const MAX_IDLE_PERIOD: Duration = Duration::from_secs(3_600);

/// Time before the announced keep-alive timeout from which a connection is not reused.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Complete answer of a server.
#[derive(Debug)]
pub struct BufferedAnswer {
    /// Status.
    pub status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    room: Room,
    server: ServerId,
    framing: Framing,
}

/// Reads the complete answer.
///
/// # Errors
///
/// An answer that ends early, is too large or misses the deadline.
pub async fn read(
    context: &RelayContext,
    request: &RelayedRequest,
    mut received: Answer,
) -> PeerResult<BufferedAnswer> {
    let read = received.read_all(MAX_ANSWER_BYTES, request.deadline, &context.caller_memory).await;
    let (body, room) = read.inspect_err(|error| {
        received.in_flight.record_outcome(false, 0.0);
        if error.is_disconnect() {
            in_flight::request_crash_check(request, &received.in_flight, CutStage::Body);
        }
        log::info!("event=answer_broken request={} {} {error}", request.id, received.in_flight);
    })?;
    let Answer { exchange, head, in_flight, .. } = received;
    let answer = BufferedAnswer {
        status: exchange.status,
        headers: exchange.headers.clone(),
        body,
        room,
        server: in_flight.server.clone(),
        framing: exchange.framing,
    };
    return_to_pool(context, exchange, &head);
    Ok(answer)
}

impl BufferedAnswer {
    /// Returns the answer for the caller.
    pub fn forward(
        self,
        context: &RelayContext,
        request: &RelayedRequest,
        attempts: &Attempts,
    ) -> Reply {
        let Self { status, headers, body, room, server, framing } = self;
        let outcome = if status.is_success() { "complete" } else { "failed" };
        log::info!(
            "event=answered request={} route={} outcome={outcome} status={} server={server} \
             framing={framing} {attempts} age_ms={}",
            request.id,
            request.route.name,
            status.as_u16(),
            request.age_ms()
        );
        context.metrics.observe_first_answer(&request.route.name, request.arrived_at);
        stream::count_outcome(context, request, outcome);
        if status.is_success() {
            suspects::acquit(context, request);
        }
        let mut reply = Response::new(UnreadBody::new(body, room).boxed_unsync());
        *reply.status_mut() = status;
        *reply.headers_mut() = end_to_end_headers(headers);
        reply
    }
}

/// Returns the connection of a complete answer to the pool, unless the server closes it.
pub fn return_to_pool(context: &RelayContext, exchange: PooledExchange, head: &AnswerHead) {
    if exchange.is_with_node {
        return context.peer_pool.release(exchange, Instant::now() + NODE_IDLE_PERIOD);
    }
    if head.closes_connection {
        return;
    }
    let idle = match head.keep_alive_s {
        Some(seconds) => {
            Duration::from_secs(seconds).min(MAX_IDLE_PERIOD).saturating_sub(IDLE_MARGIN)
        }
        None => DEFAULT_IDLE_PERIOD,
    };
    context.pool.release(exchange, Instant::now() + idle);
}
