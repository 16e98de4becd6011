//! Bodies on a caller's connection: of its requests, and of the answers to it.

use super::caller_memory::EndedRequest;
use super::http_server::{BodyAborted, ReplyBody};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// Frames after which a reader lets other tasks run: each chunk is a frame, whatever its size.
const MAX_TURN_FRAMES: usize = 128;

/// Body of a request, of which it records whether it was read to its end.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    /// Frames read since other tasks could last run.
    turn_frames: usize,
    has_ended: bool,
    is_unread: Arc<AtomicBool>,
}

impl CallerBody {
    /// Returns a body that sets `is_unread` if it is dropped before its end.
    pub fn new(incoming: Incoming, is_unread: Arc<AtomicBool>) -> Self {
        let has_ended = incoming.is_end_stream();
        Self { incoming, turn_frames: 0, has_ended, is_unread }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.turn_frames >= MAX_TURN_FRAMES {
            self.turn_frames = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(cx) else {
            self.turn_frames = 0;
            return Poll::Pending;
        };
        self.turn_frames += 1;
        self.has_ended = frame.is_none() || self.incoming.is_end_stream();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if !self.has_ended {
            self.is_unread.store(true, Ordering::Relaxed);
        }
    }
}

/// Body of a reply, which ends its request once it was written or dropped.
pub struct AnsweredBody {
    body: ReplyBody,
    _request: EndedRequest,
}

impl AnsweredBody {
    /// Returns the body of the reply to `request`.
    pub fn new(body: ReplyBody, request: EndedRequest) -> Self {
        Self { body, _request: request }
    }
}

impl Body for AnsweredBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
