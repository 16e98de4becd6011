//! Answers that are passed on whole.

use super::RelayContext;
use super::attempt::Answer;
use super::request::{RelayedRequest, end_to_end_headers};
use super::stream;
use crate::adapters::connection_pool::PooledExchange;
use crate::adapters::http_server::Reply;
use crate::ports::AnswerFacts;
use crate::traffic::reply::full_body;
use crate::types::PeerResult;
use http::Response;
use std::time::{Duration, Instant};

/// Largest answer that is held in memory.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Idle time after which a connection is not used again if its server names none.
const DEFAULT_IDLE: Duration = Duration::from_millis(500);

/// Time before a server closes an idle connection from which it is not used again.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Reads the whole answer and returns it for the caller.
///
/// # Errors
///
/// The answer broke off.
pub async fn answer(
    context: &RelayContext,
    request: &RelayedRequest,
    mut received: Answer,
) -> PeerResult<Reply> {
    let read = received.exchange.read_all(ANSWER_LIMIT_BYTES, request.deadline).await;
    let body = read.inspect_err(|error| {
        received.ticket.note_outcome(false, 0.0);
        log::info!("event=answer_broken request={} {error}", request.id);
    })?;
    let status = received.exchange.status;
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = status;
    *reply.headers_mut() = end_to_end_headers(received.exchange.headers.clone());
    let outcome = if status.is_success() { "complete" } else { "failed" };
    log::info!(
        "event=answered request={} route={} outcome={outcome} status={} server={} age_ms={}",
        request.id,
        request.route.name,
        status.as_u16(),
        received.ticket.server,
        request.age_ms()
    );
    context.metrics.observe_first_answer(&request.route.name, request.arrived_at);
    stream::count(context, request, outcome);
    let Answer { exchange, facts, ticket } = received;
    keep(context, exchange, &facts);
    drop(ticket);
    Ok(reply)
}

/// Keeps the connection of a complete answer for later requests.
pub fn keep(context: &RelayContext, exchange: PooledExchange, facts: &AnswerFacts) {
    if facts.closes {
        return;
    }
    let idle = match facts.keep_alive_s {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => DEFAULT_IDLE,
    };
    context.pool.keep(exchange, Instant::now() + idle);
}
