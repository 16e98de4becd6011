//! Memory for what a node holds of requests and answers: one limit for the sum of all buffers.
//!
//! A buffer that finds no room waits. What its bytes come from is not read meanwhile, so that the sender
//! waits as well. Where nothing gets on, the largest buffer without progress is given up. Small buffers
//! always have room, so that faulty servers do not keep sound requests from being served. A complete
//! answer is given up only if its caller reads nothing of it while others wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bytes that each buffer may hold without counting.
pub const UNCOUNTED_BYTES: usize = 32 * 1024;

/// Bytes whose arrival counts as progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Time without progress after which a buffer may be given up for others.
const STALL_TIME: Duration = Duration::from_millis(300);

/// Time after which a complete answer of which its caller reads nothing may be given up for others.
const UNREAD_TIME: Duration = Duration::from_millis(2_000);

/// Number of a buffer.
pub type BufferId = u64;

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
    bytes: usize,
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

/// Budget of all buffers of a node.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit_bytes: usize,
    held_bytes: usize,
    next_id: BufferId,
    /// Buffers that hold more than [`UNCOUNTED_BYTES`].
    buffers: BTreeMap<BufferId, Buffer>,
}

impl BufferBudget {
    /// Returns a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, held_bytes: 0, next_id: 0, buffers: BTreeMap::new() }
    }

    /// Returns the number of a new buffer.
    pub fn open(&mut self) -> BufferId {
        self.next_id += 1;
        self.next_id
    }

    /// Sets the size of a buffer, if there is room for it.
    pub fn resize(&mut self, id: BufferId, bytes: usize, now: Instant) -> Growth {
        let counted = if bytes <= UNCOUNTED_BYTES { 0 } else { bytes };
        let known = self.buffer_bytes(id);
        if counted > known && self.held_bytes - known + counted > self.limit_bytes {
            if let Some(buffer) = self.buffers.get_mut(&id) {
                buffer.state = BufferState::Waiting;
            }
            return Growth::Full;
        }
        self.held_bytes = self.held_bytes - known + counted;
        if counted == 0 {
            self.buffers.remove(&id);
            return Growth::Granted;
        }
        let state = BufferState::Filling;
        let new = Buffer { bytes: counted, progressed_at: now, new_bytes: 0, state };
        let buffer = self.buffers.entry(id).or_insert(new);
        if buffer.state == BufferState::Waiting {
            *buffer = new;
        }
        buffer.bytes = counted;
        Growth::Granted
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
        stalled.max_by_key(|(_, buffer)| buffer.bytes).map(|(id, _)| *id)
    }

    /// Removes a buffer.
    pub fn close(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.remove(&id) {
            self.held_bytes -= buffer.bytes;
        }
    }

    /// Returns the bytes that all buffers hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the size of a buffer, 0 if it does not count.
    pub fn buffer_bytes(&self, id: BufferId) -> usize {
        self.buffers.get(&id).map_or(0, |buffer| buffer.bytes)
    }
}
