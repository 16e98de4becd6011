//! Bodies within the budget: of requests and answers while they arrive, and of answers while callers take
//! them.

use super::{CallerMemory, Room, lock};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::deadline::timeout_at;
use crate::adapters::http_server::BodyAborted;
use crate::types::NoRoom;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Maximum bytes of a large answer or event that a connection is given at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Time after which a request, or a body, that finds no room is refused: callers give up a request that
/// nobody reads after a second.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(800);

/// Bytes whose arrival is recorded at once.
const PROGRESS_BYTES: usize = 4 * 1024;

/// Bytes that arrive piece by piece, within the budget.
#[derive(Debug)]
pub struct BufferedBody {
    data: Vec<u8>,
    /// Bytes whose arrival is not recorded yet.
    unrecorded_bytes: usize,
    room: Room,
}

impl BufferedBody {
    /// Returns an empty buffer of an answer.
    pub fn new(memory: &Arc<CallerMemory>) -> Self {
        Self::in_room(memory.open())
    }

    /// Returns an empty buffer of a new request; waits until there is room.
    ///
    /// # Errors
    ///
    /// There was no room until `deadline`.
    pub async fn of_request(memory: &Arc<CallerMemory>, deadline: Instant) -> Result<Self, NoRoom> {
        Ok(Self::in_room(memory.open_request(deadline).await?))
    }

    fn in_room(room: Room) -> Self {
        Self { data: Vec::new(), unrecorded_bytes: 0, room }
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

    /// Makes the buffer hold `capacity` bytes without growing; waits until there is room.
    ///
    /// # Errors
    ///
    /// As [`extend`](Self::extend).
    async fn reserve(&mut self, capacity: usize, deadline: Instant) -> Result<(), NoRoom> {
        self.room.resize(capacity, deadline).await?;
        self.data.reserve_exact(capacity - self.data.len());
        Ok(())
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
            self.reserve(capacity, deadline).await?;
        }
        self.data.extend_from_slice(bytes);
        self.unrecorded_bytes += bytes.len();
        if self.unrecorded_bytes >= PROGRESS_BYTES {
            self.room.record_progress(std::mem::take(&mut self.unrecorded_bytes));
        }
        Ok(())
    }

    /// Returns all bytes, with the room that they take until it is dropped.
    pub fn finish(self) -> (Bytes, Room) {
        self.room.complete();
        (self.data.into(), self.room)
    }
}

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyFault {
    /// It is longer than allowed.
    TooLarge,
    /// It ended early, or its chunks are malformed.
    Broken(hyper::Error),
    /// It did not arrive in time.
    TimedOut,
    /// There is no room for it.
    NoRoom,
}

impl From<NoRoom> for BodyFault {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// Reads the body of a new request, of at most `max_bytes`; one that announces more, or more than there is
/// room for, is not read.
///
/// # Errors
///
/// The body is not whole at `deadline`, too long or malformed, or there is no room for it.
pub async fn read_request_body(
    memory: &Arc<CallerMemory>,
    mut body: CallerBody,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, Room), BodyFault> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyFault::TooLarge);
    }
    let room_deadline = || deadline.min(Instant::now() + MAX_ROOM_WAIT);
    let mut whole = BufferedBody::of_request(memory, room_deadline()).await?;
    if let Some(bytes) = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok()) {
        whole.reserve(bytes, room_deadline()).await?;
    }
    loop {
        let given_up = async { Err(whole.room().given_up().await) };
        let received = async { Ok(body.frame().await) };
        let received = timeout_at(deadline, received.or(given_up)).await;
        let frame = match received.map_err(|_| BodyFault::TimedOut)?? {
            None => return Ok(whole.finish()),
            Some(frame) => frame.map_err(BodyFault::Broken)?,
        };
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        whole.extend(&data, room_deadline()).await?;
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
