//! Connections of callers within the account: who is admitted, and who is closed for others.

use super::{CallerMemory, RETRY_PERIOD, State};
use crate::decision::caller_memory::{CONNECTION_BYTES, ConnectionId, ConnectionState};
use async_channel::Receiver;
use futures_lite::{FutureExt, future};
use smol::Timer;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a connection for which there is no room is closed.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Period between two log lines of connections that were given up.
const LOG_PERIOD: Duration = Duration::from_millis(500);

/// Place of an open connection in the account; dropping it gives the place back.
#[derive(Debug)]
pub struct ConnectionSlot {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    /// Closed when the connection is given up.
    given_up: Receiver<Infallible>,
}

/// Connections that were given up since the last log line.
#[derive(Debug, Default)]
pub(super) struct GivenUpConnections {
    count: u64,
    logged_at: Option<Instant>,
}

impl GivenUpConnections {
    fn record(&mut self, listener: &str, reason: &str, open: usize, now: Instant) {
        self.count += 1;
        if self.logged_at.is_some_and(|at| now < at + LOG_PERIOD) {
            return;
        }
        self.logged_at = Some(now);
        let count = std::mem::take(&mut self.count);
        log::warn!(
            "event=connections_given_up listener={listener} count={count} last={reason} open={open}"
        );
    }
}

impl CallerMemory {
    /// Returns the place of a connection that was accepted, once there is one; `None` if there is none in
    /// time, so that the connection must be closed.
    pub async fn admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let deadline = Instant::now() + ADMISSION_TIMEOUT;
        loop {
            if let Some(slot) = self.try_admit() {
                return Some(slot);
            }
            if self.make_place() {
                // The connection that was given up closes before the next one is accepted.
                future::yield_now().await;
                continue;
            }
            if Instant::now() >= deadline {
                self.record_given_up(&mut self.lock(), "new", Instant::now());
                return None;
            }
            Timer::after(RETRY_PERIOD).await;
        }
    }

    fn try_admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut state = self.lock();
        let id = state.account.open_connection(Instant::now())?;
        let (open, given_up) = async_channel::bounded(1);
        state.open.insert(id, open);
        self.observe(&state);
        Some(ConnectionSlot { memory: Arc::clone(self), id, given_up })
    }

    /// Gives up a connection for a new one; returns whether there is one. Asks for a buffer as well where
    /// those leave no room.
    fn make_place(&self) -> bool {
        let mut state = self.lock();
        let is_given_up = self.give_up_connection(&mut state);
        if !is_given_up && !state.account.has_room(CONNECTION_BYTES) {
            self.give_up_buffer(&mut state);
        }
        is_given_up
    }

    /// Closes the connection that has been without use for longest; returns whether there is one.
    pub(super) fn give_up_connection(&self, state: &mut State) -> bool {
        let now = Instant::now();
        let Some((id, waited_for)) = state.account.give_up_connection(now) else { return false };
        state.open.remove(&id);
        self.record_given_up(state, waited_for.into(), now);
        self.observe(state);
        true
    }

    fn record_given_up(&self, state: &mut State, reason: &str, now: Instant) {
        self.metrics.given_up_connections.inc();
        let open = state.account.connections();
        state.given_up_connections.record(self.listener, reason, open, now);
    }
}

impl ConnectionSlot {
    /// Records that a request has arrived, until what is returned is dropped.
    pub fn begin_request(self: &Arc<Self>) -> EndedRequest {
        self.change(ConnectionState::Serving);
        EndedRequest(Arc::clone(self))
    }

    /// Records that nothing more is served, and that the caller still sends.
    pub fn begin_closing(&self) {
        self.change(ConnectionState::Closing);
    }

    /// Records that the caller reads nothing of what is written, or that it does.
    pub fn record_blocked(&self, is_blocked: bool) {
        self.memory.lock().account.record_blocked(self.id, is_blocked, Instant::now());
    }

    /// Records that the caller did not stop sending in time, so that its connection is reset.
    pub fn record_reset(&self) {
        self.memory.record_given_up(&mut self.memory.lock(), "still_sending", Instant::now());
    }

    /// Returns the output of `future`, `None` if the connection is given up first.
    pub async fn unless_given_up<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let output = async { Some(future.await) };
        let given_up = async {
            let _closed = self.given_up.recv().await;
            None
        };
        output.or(given_up).await
    }

    fn change(&self, state: ConnectionState) {
        self.memory.lock().account.change_connection(self.id, state, Instant::now());
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.open.remove(&self.id);
        state.account.close_connection(self.id);
        self.memory.observe(&state);
    }
}

/// Records the end of a request when it is dropped.
#[derive(Debug)]
pub struct EndedRequest(Arc<ConnectionSlot>);

impl Drop for EndedRequest {
    fn drop(&mut self) {
        self.0.change(ConnectionState::Idle);
    }
}
