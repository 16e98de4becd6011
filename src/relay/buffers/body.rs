//! Bodies within the budget: of requests and answers while they arrive, and of answers while callers take
//! them.

use super::{Buffers, Room, lock};
use crate::adapters::http_server::BodyAborted;
use crate::decision::relay::buffer_budget::UNCOUNTED_BYTES;
use crate::types::NoRoom;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

/// Maximum bytes of a large answer or event that a connection is given at once.
const PIECE_BYTES: usize = UNCOUNTED_BYTES;

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
    unread: Arc<Mutex<Bytes>>,
    room: Room,
}

impl UnreadBody {
    /// Returns a body of `bytes`, which take `room`.
    pub fn new(bytes: Bytes, room: Room) -> Self {
        let unread = Arc::new(Mutex::new(bytes));
        room.begin_sending(&unread);
        Self { unread, room }
    }
}

impl Body for UnreadBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let mut unread = lock(&self.unread);
        if self.room.is_given_up() {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        if unread.is_empty() {
            return Poll::Ready(None);
        }
        let piece = take_piece(&mut unread);
        // Unlocked before the budget is: a buffer is given up in the opposite order.
        drop(unread);
        self.room.record_progress(piece.len());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        // The caller must not take an answer that was given up for complete.
        lock(&self.unread).is_empty() && !self.room.is_given_up()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(lock(&self.unread).len() as u64)
    }
}

/// Takes the next piece of `bytes`. The HTTP library copies what it is given, whatever its size, and then
/// asks for more only once little is left.
pub fn take_piece(bytes: &mut Bytes) -> Bytes {
    bytes.split_to(bytes.len().min(PIECE_BYTES))
}
