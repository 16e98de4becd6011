//! Buffers of requests and answers, which draw on one budget of the node.

use crate::adapters::http_server::BodyAborted;
use crate::decision::relay::buffer_budget::{BufferBudget, BufferId, Growth, UNCOUNTED_BYTES};
use crate::types::NoRoom;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use smol::Timer;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
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

/// Maximum bytes of a large answer or event that a connection is given at once.
const PIECE_BYTES: usize = UNCOUNTED_BYTES;

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
    unread: HashMap<BufferId, Arc<Mutex<Unread>>>,
}

/// What a caller has not taken of a complete answer.
#[derive(Debug)]
enum Unread {
    /// The bytes that are left.
    Bytes(Bytes),
    /// They were given up.
    GivenUp,
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
            *lock(&unread) = Unread::GivenUp;
            state.budget.close(id);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Room {
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

/// Bytes that arrive piece by piece, within the budget.
#[derive(Debug)]
pub struct BufferedBody {
    data: Vec<u8>,
    room: Room,
}

impl BufferedBody {
    /// Returns an empty buffer.
    pub fn new(buffers: &Arc<Buffers>) -> Self {
        Self { data: Vec::new(), room: buffers.open() }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Returns the room of the buffer.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// Adds bytes; waits until there is room.
    ///
    /// # Errors
    ///
    /// The buffer was given up, or there was no room until `deadline`.
    pub async fn extend(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), NoRoom> {
        let needed = self.data.len() + bytes.len();
        if needed > self.data.capacity() {
            let capacity = needed.max(self.data.capacity() * 3 / 2).next_multiple_of(1024);
            self.room.resize(capacity, deadline).await?;
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(bytes);
        self.room.record_progress(bytes.len());
        Ok(())
    }

    /// Returns all bytes, with the room that they take until it is dropped.
    pub fn finish(self) -> (Bytes, Room) {
        self.room.complete();
        (self.data.into(), self.room)
    }
}

/// Body of a complete answer, which its caller takes piece by piece; it keeps its room until the last
/// piece is taken.
pub struct UnreadBody {
    unread: Arc<Mutex<Unread>>,
    room: Room,
}

impl UnreadBody {
    /// Returns a body of `bytes`, which take `room`.
    pub fn new(bytes: Bytes, room: Room) -> Self {
        let unread = Arc::new(Mutex::new(Unread::Bytes(bytes)));
        if room.given_up.is_some() {
            let mut state = room.buffers.lock();
            state.budget.begin_sending(room.id, Instant::now());
            state.unread.insert(room.id, Arc::clone(&unread));
        }
        Self { unread, room }
    }

    fn remaining_bytes(&self) -> usize {
        match &*lock(&self.unread) {
            Unread::Bytes(bytes) => bytes.len(),
            // The caller must not take the answer for complete.
            Unread::GivenUp => PIECE_BYTES,
        }
    }
}

impl Body for UnreadBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let piece = match &mut *lock(&self.unread) {
            Unread::Bytes(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Unread::Bytes(bytes) => take_piece(bytes),
            Unread::GivenUp => return Poll::Ready(Some(Err(BodyAborted))),
        };
        self.room.record_progress(piece.len());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes() as u64)
    }
}

/// Takes the next piece of `bytes`. The HTTP library copies what it is given, whatever its size, and then
/// asks for more only once little is left.
pub fn take_piece(bytes: &mut Bytes) -> Bytes {
    bytes.split_to(bytes.len().min(PIECE_BYTES))
}
