//! Memory that callers can make a node hold: one account of their connections, their requests, and the
//! buffers of requests and answers.
//!
//! A buffer that finds no room waits. What its bytes come from is not read meanwhile, so that the sender
//! waits as well. Where nothing gets on, the largest buffer without progress is given up. Large buffers
//! take a part of the memory only, and small ones are part of what their request counts, so that faulty
//! servers and large requests do not keep ordinary requests from being served. A complete answer is given
//! up only if its caller reads nothing of it while others wait. A connection is given up only if none is
//! left: the one that has been without a request, or whose caller has read nothing, for longest.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// Bytes that a buffer may hold without counting by itself.
pub const UNCOUNTED_BYTES: usize = 32 * 1024;

/// Bytes that a connection counts: its task, its buffers, and what the kernel has received for it.
pub const CONNECTION_BYTES: usize = 48 * 1024;

/// Bytes that a request counts: its state, what is being read of it, and buffers that do not count by
/// themselves.
pub const REQUEST_BYTES: usize = 64 * 1024;

/// Memory of a node that is not for callers: its own state, and connections to servers, store and nodes.
const OWN_BYTES: usize = 24 * 1024 * 1024;

/// Part of the rest that callers may take, in percent; the allocator needs some beside what is counted.
const MEMORY_PERCENT: usize = 60;

/// Parts of what callers may take: one half for large buffers, one for connections.
const LARGE_BUFFERS_SHARE: usize = 2;
const CONNECTIONS_SHARE: usize = 2;

/// Minimum and maximum for large buffers: the minimum holds the largest body and its growth.
const MIN_LARGE_BYTES: usize = 8 * 1024 * 1024;
const MAX_LARGE_BYTES: usize = 256 * 1024 * 1024;

/// Minimum of connections and requests beside the large buffers.
const MIN_SMALL_BYTES: usize = 4 * 1024 * 1024;

/// Part of a node's descriptors that callers' connections may take.
const DESCRIPTORS_SHARE: usize = 2;

/// Bytes whose arrival counts as progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Time without progress after which a buffer may be given up for others.
const STALL_TIME: Duration = Duration::from_millis(300);

/// Time after which a complete answer of which its caller reads nothing may be given up for others.
const UNREAD_TIME: Duration = Duration::from_millis(2_000);

/// Time without a whole head after which a connection may be given up for a new one.
const IDLE_TIME: Duration = Duration::from_millis(100);

/// Number of a buffer.
pub type BufferId = u64;

/// Number of a connection.
pub type ConnectionId = u64;

/// Limits of the account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerMemoryLimits {
    /// Bytes of connections, requests and large buffers together.
    pub total_bytes: usize,
    /// Bytes of buffers that hold more than [`UNCOUNTED_BYTES`].
    pub large_bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

impl CallerMemoryLimits {
    /// Returns the limits of a node with `memory_bytes` and `max_descriptors`.
    pub fn of_node(memory_bytes: usize, max_descriptors: usize) -> Self {
        let share_bytes = memory_bytes.saturating_sub(OWN_BYTES) / 100 * MEMORY_PERCENT;
        let large_bytes = share_bytes / LARGE_BUFFERS_SHARE;
        let large_bytes = large_bytes.clamp(MIN_LARGE_BYTES, MAX_LARGE_BYTES);
        let total_bytes = share_bytes.max(large_bytes + MIN_SMALL_BYTES);
        let connections = total_bytes / CONNECTIONS_SHARE / CONNECTION_BYTES;
        Self {
            total_bytes,
            large_bytes,
            connections: connections.min(max_descriptors / DESCRIPTORS_SHARE).max(1),
        }
    }

    /// Returns the limits of a listener that takes `connections` and no bodies.
    pub fn of_connections(connections: usize) -> Self {
        let total_bytes = connections.saturating_mul(CONNECTION_BYTES);
        Self { total_bytes, large_bytes: 0, connections }
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionState {
    /// For a request.
    Idle,
    /// For its answer to be written.
    Serving,
    /// For its caller to read a refusal and to stop sending.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    state: ConnectionState,
    since: Instant,
    /// Since when the caller reads nothing of what is written, `None` if it does.
    blocked_since: Option<Instant>,
}

impl Connection {
    /// Returns when the connection may be given up for others, `None` while it is served.
    fn expendable_at(&self) -> Option<Instant> {
        // The end of an answer may be on its way after its request has ended.
        if let Some(since) = self.blocked_since {
            return Some(since + UNREAD_TIME);
        }
        match self.state {
            ConnectionState::Idle | ConnectionState::Closing => Some(self.since + IDLE_TIME),
            ConnectionState::Serving => None,
        }
    }
}

/// Whether a buffer may hold more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Growth {
    /// It may.
    Granted,
    /// Others hold too much.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Buffer {
    /// Bytes beyond those of a request, 0 up to [`UNCOUNTED_BYTES`].
    bytes: usize,
    /// Bytes of the request that the buffer belongs to, 0 for an answer.
    request_bytes: usize,
    progressed_at: Instant,
    /// Bytes that have arrived since then.
    new_bytes: usize,
    state: BufferState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BufferState {
    /// More bytes may arrive.
    Filling,
    /// There is no room for more.
    Waiting,
    /// All has arrived.
    Complete,
    /// All has arrived, and a caller reads it.
    Sending,
    /// It was given up, and holds its bytes until it is closed.
    GivenUp,
}

impl Buffer {
    fn filling(bytes: usize, request_bytes: usize, now: Instant) -> Self {
        let state = BufferState::Filling;
        Self { bytes, request_bytes, progressed_at: now, new_bytes: 0, state }
    }
}

/// Account of all connections, requests and buffers of a node.
#[derive(Clone, Debug)]
pub struct CallerMemory {
    limits: CallerMemoryLimits,
    /// Bytes of all large buffers.
    large_bytes: usize,
    /// Bytes of all requests.
    requests_bytes: usize,
    next_id: u64,
    /// Buffers that hold more than [`UNCOUNTED_BYTES`], or that belong to a request.
    buffers: BTreeMap<BufferId, Buffer>,
    connections: BTreeMap<ConnectionId, Connection>,
}

impl CallerMemory {
    /// Returns an empty account.
    pub fn new(limits: CallerMemoryLimits) -> Self {
        Self {
            limits,
            large_bytes: 0,
            requests_bytes: 0,
            next_id: 0,
            buffers: BTreeMap::new(),
            connections: BTreeMap::new(),
        }
    }

    /// Adds a connection, `None` if there is no room.
    pub fn open_connection(&mut self, now: Instant) -> Option<ConnectionId> {
        if self.connections.len() >= self.limits.connections || !self.has_room(CONNECTION_BYTES) {
            return None;
        }
        let id = self.open();
        let state = ConnectionState::Idle;
        self.connections.insert(id, Connection { state, since: now, blocked_since: None });
        Some(id)
    }

    /// Records what a connection waits for from now on.
    pub fn change_connection(&mut self, id: ConnectionId, state: ConnectionState, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.state, connection.since) = (state, now);
        }
    }

    /// Records that the caller reads nothing of what is written, or that it does.
    pub fn record_blocked(&mut self, id: ConnectionId, is_blocked: bool, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.blocked_since = is_blocked.then_some(now);
        }
    }

    /// Removes the connection that is to be given up so that a new one or a request gets room, with what
    /// it waited for: the one that could have been for longest. `None` if all are in use.
    pub fn give_up_connection(&mut self, now: Instant) -> Option<(ConnectionId, ConnectionState)> {
        let expendable = self.connections.iter().filter_map(|(id, connection)| {
            let at = connection.expendable_at().filter(|at| *at <= now)?;
            Some((at, *id, connection.state))
        });
        let (_, id, state) = expendable.min_by_key(|(at, id, _)| (*at, *id))?;
        self.connections.remove(&id);
        Some((id, state))
    }

    /// Removes a connection that has ended.
    pub fn close_connection(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of a new buffer.
    pub fn open(&mut self) -> BufferId {
        self.next_id += 1;
        self.next_id
    }

    /// Counts a request and returns the number of its buffer, `None` if there is no room.
    pub fn begin_request(&mut self, now: Instant) -> Option<BufferId> {
        if !self.has_room(REQUEST_BYTES) {
            return None;
        }
        let id = self.open();
        self.requests_bytes += REQUEST_BYTES;
        self.buffers.insert(id, Buffer::filling(0, REQUEST_BYTES, now));
        Some(id)
    }

    /// Sets the size of a buffer, if there is room for it.
    pub fn resize(&mut self, id: BufferId, bytes: usize, now: Instant) -> Growth {
        let counted = if bytes <= UNCOUNTED_BYTES { 0 } else { bytes };
        let known = self.buffer_bytes(id);
        let more = counted.saturating_sub(known);
        if more > 0 && (self.large_bytes + more > self.limits.large_bytes || !self.has_room(more)) {
            if let Some(buffer) = self.buffers.get_mut(&id) {
                buffer.state = BufferState::Waiting;
            }
            return Growth::Full;
        }
        self.large_bytes = self.large_bytes - known + counted;
        let request_bytes = self.buffers.get(&id).map_or(0, |buffer| buffer.request_bytes);
        if counted + request_bytes == 0 {
            self.buffers.remove(&id);
            return Growth::Granted;
        }
        let new = Buffer::filling(counted, request_bytes, now);
        let buffer = self.buffers.entry(id).or_insert(new);
        if buffer.state == BufferState::Waiting {
            *buffer = new;
        }
        buffer.bytes = counted;
        Growth::Granted
    }

    /// Whether `bytes` more may be held.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.total_bytes() + bytes <= self.limits.total_bytes
    }

    /// Records that bytes of a buffer have arrived, or that its caller has taken them.
    pub fn record_progress(&mut self, id: BufferId, bytes: usize, now: Instant) {
        let Some(buffer) = self.buffers.get_mut(&id) else { return };
        buffer.new_bytes += bytes;
        if buffer.new_bytes >= PROGRESS_BYTES {
            (buffer.new_bytes, buffer.progressed_at) = (0, now);
        }
    }

    /// Records that all bytes of a buffer have arrived; it is not given up any more.
    pub fn complete(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.state = BufferState::Complete;
        }
    }

    /// Records that a caller begins to read a complete buffer.
    pub fn begin_sending(&mut self, id: BufferId, now: Instant) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            (buffer.state, buffer.progressed_at) = (BufferState::Sending, now);
        }
    }

    /// Returns the buffer to give up so that others get on: the largest that its sender does not fill, or
    /// else the largest that its caller does not read, or else the largest that waits. `None` if one is
    /// being given up already, or all have made progress lately.
    pub fn give_up_one(&mut self, now: Instant) -> Option<BufferId> {
        if self.buffers.values().any(|buffer| buffer.state == BufferState::GivenUp) {
            return None;
        }
        let id = self
            .largest_stalled(BufferState::Filling, STALL_TIME, now)
            .or_else(|| self.largest_stalled(BufferState::Sending, UNREAD_TIME, now))
            .or_else(|| self.largest_stalled(BufferState::Waiting, STALL_TIME, now))?;
        self.buffers.get_mut(&id)?.state = BufferState::GivenUp;
        Some(id)
    }

    fn largest_stalled(
        &self,
        state: BufferState,
        stall_time: Duration,
        now: Instant,
    ) -> Option<BufferId> {
        let stalled = self.buffers.iter().filter(|(_, buffer)| {
            buffer.state == state && now >= buffer.progressed_at + stall_time
        });
        let largest =
            stalled.max_by_key(|(_, buffer)| (buffer.bytes, Reverse(buffer.progressed_at)));
        largest.map(|(id, _)| *id)
    }

    /// Removes a buffer.
    pub fn close(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.remove(&id) {
            self.large_bytes -= buffer.bytes;
            self.requests_bytes -= buffer.request_bytes;
        }
    }

    /// Returns the bytes that all large buffers hold.
    pub fn held_bytes(&self) -> usize {
        self.large_bytes
    }

    /// Returns the bytes that connections, requests and large buffers count together.
    pub fn total_bytes(&self) -> usize {
        self.connections.len() * CONNECTION_BYTES + self.requests_bytes + self.large_bytes
    }

    /// Returns the size of a buffer, 0 if it does not count.
    pub fn buffer_bytes(&self, id: BufferId) -> usize {
        self.buffers.get(&id).map_or(0, |buffer| buffer.bytes)
    }
}
