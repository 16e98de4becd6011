//! Buffers of requests and answers, which draw on one budget of the node.

mod body;

pub use self::body::{BufferedBody, UnreadBody, take_piece};
use crate::decision::relay::buffer_budget::{BufferBudget, BufferId, Growth, UNCOUNTED_BYTES};
use crate::types::NoRoom;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use smol::Timer;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Share of a node's memory that buffers may take.
const MEMORY_SHARE: usize = 6;

/// Minimum and maximum size of the budget.
const MIN_BUDGET_BYTES: usize = 8 * 1024 * 1024;
const MAX_BUDGET_BYTES: usize = 256 * 1024 * 1024;

/// Period at which a buffer without room asks again.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Bytes that may arrive after a buffer has asked for room.
const READ_BYTES: usize = 64 * 1024;

/// Budget of the buffers of a node.
#[derive(Debug)]
pub struct Buffers {
    state: Mutex<State>,
    held_bytes: Gauge,
    given_up: Counter,
}

#[derive(Debug)]
struct State {
    budget: BufferBudget,
    /// Closed when the buffer is given up.
    open: HashMap<BufferId, Sender<Infallible>>,
    /// Complete answers of which their callers have not taken all.
    unread: HashMap<BufferId, Arc<Mutex<Bytes>>>,
}

/// Room of one buffer; dropping it gives the room back.
#[derive(Debug)]
pub struct Room {
    buffers: Arc<Buffers>,
    id: BufferId,
    /// Closed when the buffer is given up, `None` for as long as the buffer does not count.
    given_up: Option<Receiver<Infallible>>,
}

impl Buffers {
    /// Returns the budget of a node that has `memory_bytes`.
    pub fn new(memory_bytes: usize, held_bytes: Gauge, given_up: Counter) -> Arc<Self> {
        let limit_bytes = (memory_bytes / MEMORY_SHARE).clamp(MIN_BUDGET_BYTES, MAX_BUDGET_BYTES);
        let (open, unread) = Default::default();
        let state = State { budget: BufferBudget::new(limit_bytes), open, unread };
        Arc::new(Self { state: Mutex::new(state), held_bytes, given_up })
    }

    /// Returns the room of a new buffer, which is empty.
    pub fn open(self: &Arc<Self>) -> Room {
        let id = self.lock().budget.open();
        Room { buffers: Arc::clone(self), id, given_up: None }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn resize(&self, id: BufferId, bytes: usize) -> Growth {
        let mut state = self.lock();
        let growth = state.budget.resize(id, bytes, Instant::now());
        self.held_bytes.set(i64::try_from(state.budget.held_bytes()).unwrap_or(i64::MAX));
        growth
    }

    /// Gives up a buffer so that others get on.
    fn give_up_one(&self) {
        let mut state = self.lock();
        let Some(id) = state.budget.give_up_one(Instant::now()) else { return };
        state.open.remove(&id);
        let unread = state.unread.remove(&id);
        self.given_up.inc();
        log::warn!(
            "event=buffer_given_up bytes={} held={} is_unread={}",
            state.budget.buffer_bytes(id),
            state.budget.held_bytes(),
            unread.is_some()
        );
        if let Some(unread) = unread {
            // The connection does not ask for more while its caller reads nothing.
            lock(&unread).clear();
            state.budget.close(id);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Room {
    /// Records that a caller begins to take `bytes`, which are dropped if the buffer is given up.
    fn begin_sending(&self, bytes: &Arc<Mutex<Bytes>>) {
        if self.given_up.is_some() {
            let mut state = self.buffers.lock();
            state.budget.begin_sending(self.id, Instant::now());
            state.unread.insert(self.id, Arc::clone(bytes));
        }
    }

    /// Sets the size of the buffer; waits until there is room.
    ///
    /// # Errors
    ///
    /// The buffer was given up, or there was no room until `deadline`.
    pub async fn resize(&mut self, bytes: usize, deadline: Instant) -> Result<(), NoRoom> {
        if bytes <= UNCOUNTED_BYTES && self.given_up.is_none() {
            return Ok(());
        }
        if self.given_up.is_none() {
            let (open, given_up) = async_channel::bounded(1);
            self.buffers.lock().open.insert(self.id, open);
            self.given_up = Some(given_up);
        }
        loop {
            if self.is_given_up() {
                return Err(NoRoom);
            }
            if self.buffers.resize(self.id, bytes) == Growth::Granted {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(NoRoom);
            }
            self.buffers.give_up_one();
            Timer::after(RETRY_PERIOD).await;
        }
    }

    /// Sets the size of the buffer to what it keeps and what the next read may add; waits until there is
    /// room.
    ///
    /// # Errors
    ///
    /// As [`resize`](Self::resize).
    pub async fn reserve_read(
        &mut self,
        kept_bytes: usize,
        deadline: Instant,
    ) -> Result<(), NoRoom> {
        let next_read_bytes = if kept_bytes > UNCOUNTED_BYTES { READ_BYTES } else { 0 };
        self.resize(kept_bytes + next_read_bytes, deadline).await
    }

    /// Records that bytes have arrived.
    pub fn record_progress(&self, bytes: usize) {
        if self.given_up.is_some() {
            self.buffers.lock().budget.record_progress(self.id, bytes, Instant::now());
        }
    }

    /// Records that all bytes have arrived; the buffer is not given up any more.
    pub fn complete(&self) {
        if self.given_up.is_some() {
            self.buffers.lock().budget.complete(self.id);
        }
    }

    /// Returns once the buffer was given up.
    pub async fn given_up(&self) -> NoRoom {
        match &self.given_up {
            Some(given_up) => {
                let _closed = given_up.recv().await;
                NoRoom
            }
            None => std::future::pending().await,
        }
    }

    fn is_given_up(&self) -> bool {
        self.given_up.as_ref().is_some_and(Receiver::is_closed)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if self.given_up.is_none() {
            return;
        }
        let mut state = self.buffers.lock();
        state.open.remove(&self.id);
        state.unread.remove(&self.id);
        state.budget.close(self.id);
        let held_bytes = state.budget.held_bytes();
        self.buffers.held_bytes.set(i64::try_from(held_bytes).unwrap_or(i64::MAX));
    }
}
