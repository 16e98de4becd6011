//! What an attempt brings: the answer of a server, or why there is none.

use super::buffered_answer::BufferedAnswer;
use super::end_proof::{EndProof, prove_end};
use super::in_flight::InFlightAttempt;
use crate::adapters::caller_memory::{BufferedBody, CallerMemory, Room};
use crate::adapters::connection_pool::PooledExchange;
use crate::ports::AnswerHead;
use crate::types::{Delivery, PeerError, PeerResult, Step};
use anyhow::anyhow;
use bytes::Bytes;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::time::Instant;
use strum::Display;

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The server began a stream.
    Streaming(Box<Answer>),
    /// The server answered completely, possibly with a failure.
    Answered(Box<BufferedAnswer>),
    /// The server did not run the request and never will.
    NotRun(NotRunReason),
    /// The request did not reach the server.
    NotSent(PeerError),
    /// The server may have run the request.
    Unknown(PeerError),
}

/// Why a server did not run a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// The server was full or was replacing its weights.
    Full,
    /// Another server listens at the address.
    Misdirected,
    /// The server has loaded other weights.
    OtherWeights,
    /// Another node, by way of which the request was sent, has refused it.
    NodeRefused,
}

/// What has arrived of an answer.
pub enum ReceivedHead {
    /// Its head.
    Answer(Box<Answer>),
    /// Nothing; the attempt has ended.
    None(AttemptOutcome),
}

/// Answer whose head has arrived.
pub struct Answer {
    /// Exchange from which the body can be read.
    pub exchange: PooledExchange,
    /// Head of the answer, as read by the dialect.
    pub head: AnswerHead,
    /// The attempt, which counts towards the load of the server.
    pub in_flight: InFlightAttempt,
    end_proof: Option<EndProof>,
}

impl Answer {
    /// Returns an answer whose head has arrived.
    pub fn new(exchange: PooledExchange, head: AnswerHead, in_flight: InFlightAttempt) -> Self {
        Self { exchange, head, in_flight, end_proof: None }
    }

    /// Returns the next data of the body, `None` at its end. A body that ends with its connection is
    /// complete only if its server has outlived it: the connections of a process that is killed end in
    /// the same way.
    ///
    /// # Errors
    ///
    /// The connection was lost, the server was, or the deadline passed.
    pub async fn next_data(&mut self, deadline: Instant) -> PeerResult<Option<Bytes>> {
        if self.end_proof.is_none() {
            let data = self.exchange.next_data(deadline).await?;
            if data.is_some() || self.exchange.framing.proves_completeness() {
                return Ok(data);
            }
        }
        let in_flight = &self.in_flight;
        let proof = self.end_proof.get_or_insert_with(|| prove_end(in_flight, deadline));
        let proved = proof.await;
        self.end_proof = None;
        proved.map(|()| None)
    }

    /// Returns the next data of the body, `None` at its end, once there is room for it beside the
    /// `kept_bytes` of the buffer that it is added to.
    ///
    /// # Errors
    ///
    /// As [`next_data`](Self::next_data), or there is no room.
    pub async fn next_data_within(
        &mut self,
        room: &mut Room,
        kept_bytes: usize,
        deadline: Instant,
    ) -> PeerResult<Option<Bytes>> {
        let reserved = room.reserve_read(kept_bytes, deadline).await;
        reserved.map_err(|error| self.body_error(error))?;
        let given_up = async { Err(room.given_up().await) };
        let received = async { Ok(self.next_data(deadline).await) };
        let received = received.or(given_up).await;
        let data = received.map_err(|error| self.body_error(error))??;
        room.record_progress(data.as_ref().map_or(0, Bytes::len));
        Ok(data)
    }

    /// Reads the whole body, at most `max_bytes`, within the account `memory`.
    ///
    /// # Errors
    ///
    /// As [`next_data`](Self::next_data), or the body is too long, or there is no room for it.
    pub async fn read_all(
        &mut self,
        max_bytes: usize,
        deadline: Instant,
        memory: &Arc<CallerMemory>,
    ) -> PeerResult<(Bytes, Room)> {
        let mut body = BufferedBody::new(memory);
        loop {
            let given_up = async { Err(body.room().given_up().await) };
            let received = async { Ok(self.next_data(deadline).await) };
            let received = received.or(given_up).await.map_err(|error| self.body_error(error))?;
            let Some(data) = received? else { return Ok(body.finish()) };
            if body.len() + data.len() > max_bytes {
                return Err(self.body_error(anyhow!("body exceeds {max_bytes} bytes")));
            }
            body.extend(&data, deadline).await.map_err(|error| self.body_error(error))?;
        }
    }

    /// Returns an error in the body of the answer.
    pub fn body_error(&self, error: impl Into<anyhow::Error>) -> PeerError {
        let server = self.in_flight.server.clone();
        PeerError::new(Step::ReadBody, server, Delivery::Unknown, error.into())
    }
}
