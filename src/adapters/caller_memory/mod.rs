//! Memory that callers make a node hold: connections, requests, and buffers of requests and answers.

mod buffered;
mod connection;

pub use self::buffered::{BodyFault, BufferedBody, UnreadBody, read_request_body, take_piece};
pub use self::connection::{ConnectionSlot, EndedRequest};
use crate::decision::caller_memory::{
    self as account, BufferId, CallerMemoryLimits, Growth, REQUEST_BYTES, UNCOUNTED_BYTES,
};
use crate::types::NoRoom;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use rustix::process::{Resource, getrlimit};
use smol::Timer;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Period at which a buffer or a connection without room asks again.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Bytes that may arrive after a buffer has asked for room.
const READ_BYTES: usize = 64 * 1024;

/// Memory of a node whose settings do not tell.
pub const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// Descriptors of a process that may open any number.
const UNLIMITED_DESCRIPTORS: usize = 1 << 20;

/// Returns the limits of a node that may use `memory_bytes`, and open `max_descriptors` or as many as the
/// system allows.
pub fn limits_of_node(memory_bytes: usize, max_descriptors: Option<usize>) -> CallerMemoryLimits {
    let max_descriptors = max_descriptors.unwrap_or_else(system_descriptors);
    CallerMemoryLimits::of_node(memory_bytes, max_descriptors)
}

fn system_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.and_then(|limit| usize::try_from(limit).ok());
    limit.unwrap_or(UNLIMITED_DESCRIPTORS)
}

/// Metrics of the memory of callers; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct CallerMemoryMetrics {
    /// Bytes of large buffers.
    pub buffered_bytes: Gauge,
    /// Bytes that connections, requests and large buffers count together.
    pub held_bytes: Gauge,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Requests and answers that were given up.
    pub given_up_buffers: Counter,
    /// Connections that were closed for others, or that were not accepted.
    pub given_up_connections: Counter,
}

impl CallerMemoryMetrics {
    /// Registers the metrics with `registry`, with names that begin with `prefix`.
    pub fn register(&self, registry: &mut Registry, prefix: &str) {
        registry.register_with_unit(
            format!("{prefix}buffered"),
            "Requests and answers that the node holds",
            Unit::Bytes,
            self.buffered_bytes.clone(),
        );
        registry.register_with_unit(
            format!("{prefix}caller_memory"),
            "What callers make the node hold, as it counts",
            Unit::Bytes,
            self.held_bytes.clone(),
        );
        registry.register(
            format!("{prefix}caller_connections"),
            "Open connections of callers",
            self.connections.clone(),
        );
        registry.register(
            format!("{prefix}given_up_buffers"),
            "Requests and answers given up for want of memory",
            self.given_up_buffers.clone(),
        );
        registry.register(
            format!("{prefix}given_up_connections"),
            "Connections of callers closed or not accepted for want of memory or descriptors",
            self.given_up_connections.clone(),
        );
    }
}

/// Memory of the callers of a node, or of one of its listeners.
#[derive(Debug)]
pub struct CallerMemory {
    /// Name of the listener in log lines.
    listener: &'static str,
    state: Mutex<State>,
    metrics: CallerMemoryMetrics,
}

#[derive(Debug)]
struct State {
    account: account::CallerMemory,
    /// Closed when the buffer or the connection is given up.
    open: HashMap<u64, Sender<Infallible>>,
    /// Complete answers of which their callers have not taken all.
    unread: HashMap<BufferId, Arc<Mutex<Bytes>>>,
    given_up_connections: connection::GivenUpConnections,
}

/// Room of one buffer; dropping it gives the room back.
#[derive(Debug)]
pub struct Room {
    memory: Arc<CallerMemory>,
    id: BufferId,
    /// Closed when the buffer is given up, `None` for as long as the buffer does not count.
    given_up: Option<Receiver<Infallible>>,
}

impl CallerMemory {
    /// Returns an empty account of the callers of a node.
    pub fn new(limits: CallerMemoryLimits, metrics: CallerMemoryMetrics) -> Arc<Self> {
        Self::of_listener("callers", limits, metrics)
    }

    /// Returns the account of another listener, which takes `connections` and no bodies. Those that it
    /// gives up count in `metrics` of the node; the rest of the metrics is of callers.
    pub fn of_connections(
        listener: &'static str,
        connections: usize,
        metrics: &CallerMemoryMetrics,
    ) -> Arc<Self> {
        let given_up_connections = metrics.given_up_connections.clone();
        let metrics = CallerMemoryMetrics { given_up_connections, ..Default::default() };
        Self::of_listener(listener, CallerMemoryLimits::of_connections(connections), metrics)
    }

    fn of_listener(
        listener: &'static str,
        limits: CallerMemoryLimits,
        metrics: CallerMemoryMetrics,
    ) -> Arc<Self> {
        let (open, unread, given_up_connections) = Default::default();
        let account = account::CallerMemory::new(limits);
        let state = State { account, open, unread, given_up_connections };
        Arc::new(Self { listener, state: Mutex::new(state), metrics })
    }

    /// Returns the room of a new buffer, which is empty.
    pub fn open(self: &Arc<Self>) -> Room {
        let id = self.lock().account.open();
        Room { memory: Arc::clone(self), id, given_up: None }
    }

    /// Returns the room of a new request; waits until there is room.
    ///
    /// # Errors
    ///
    /// There was no room until `deadline`.
    pub async fn open_request(self: &Arc<Self>, deadline: Instant) -> Result<Room, NoRoom> {
        loop {
            if let Some(room) = self.begin_request() {
                return Ok(room);
            }
            if Instant::now() >= deadline {
                return Err(NoRoom);
            }
            self.make_room(REQUEST_BYTES);
            Timer::after(RETRY_PERIOD).await;
        }
    }

    fn begin_request(self: &Arc<Self>) -> Option<Room> {
        let mut state = self.lock();
        let id = state.account.begin_request(Instant::now())?;
        let (open, given_up) = async_channel::bounded(1);
        state.open.insert(id, open);
        self.observe(&state);
        Some(Room { memory: Arc::clone(self), id, given_up: Some(given_up) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn observe(&self, state: &State) {
        let gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.metrics.buffered_bytes.set(gauge(state.account.held_bytes()));
        self.metrics.held_bytes.set(gauge(state.account.total_bytes()));
        self.metrics.connections.set(gauge(state.account.connections()));
    }

    fn resize(&self, id: BufferId, bytes: usize) -> Growth {
        let mut state = self.lock();
        let growth = state.account.resize(id, bytes, Instant::now());
        self.observe(&state);
        growth
    }

    /// Gives up as many connections as make room for `bytes`; a buffer if they do not, or if it is large
    /// buffers that take the room.
    fn make_room(&self, bytes: usize) {
        let mut state = self.lock();
        let had_room = state.account.has_room(bytes);
        while !state.account.has_room(bytes) && self.give_up_connection(&mut state) {}
        if had_room || !state.account.has_room(bytes) {
            self.give_up_buffer(&mut state);
        }
    }

    /// Gives up a buffer so that others get on.
    fn give_up_buffer(&self, state: &mut State) {
        let Some(id) = state.account.give_up_one(Instant::now()) else { return };
        state.open.remove(&id);
        let unread = state.unread.remove(&id);
        self.metrics.given_up_buffers.inc();
        log::warn!(
            "event=buffer_given_up bytes={} held={} is_unread={}",
            state.account.buffer_bytes(id),
            state.account.total_bytes(),
            unread.is_some()
        );
        if let Some(unread) = unread {
            // The connection does not ask for more while its caller reads nothing.
            lock(&unread).clear();
            state.account.close(id);
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
            let mut state = self.memory.lock();
            state.account.begin_sending(self.id, Instant::now());
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
            self.memory.lock().open.insert(self.id, open);
            self.given_up = Some(given_up);
        }
        loop {
            if self.is_given_up() {
                return Err(NoRoom);
            }
            if self.memory.resize(self.id, bytes) == Growth::Granted {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(NoRoom);
            }
            self.memory.make_room(bytes);
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
            self.memory.lock().account.record_progress(self.id, bytes, Instant::now());
        }
    }

    /// Records that all bytes have arrived; the buffer is not given up any more.
    pub fn complete(&self) {
        if self.given_up.is_some() {
            self.memory.lock().account.complete(self.id);
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
        let mut state = self.memory.lock();
        state.open.remove(&self.id);
        state.unread.remove(&self.id);
        state.account.close(self.id);
        self.memory.observe(&state);
    }
}
