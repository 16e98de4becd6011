//! Stream of a caller's connection, which tells the account while the caller reads nothing.

use super::caller_memory::ConnectionSlot;
use super::guarded_stream::GuardedStream;
use futures_lite::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Stream of a caller's connection.
pub struct CallerStream {
    stream: GuardedStream,
    slot: Arc<ConnectionSlot>,
    is_blocked: bool,
}

impl CallerStream {
    /// Returns a stream of the connection that has `slot`.
    pub fn new(stream: TcpStream, slot: Arc<ConnectionSlot>) -> Self {
        Self { stream: GuardedStream::new(stream), slot, is_blocked: false }
    }

    fn record_write<T>(&mut self, written: Poll<T>) -> Poll<T> {
        let is_blocked = written.is_pending();
        if is_blocked != self.is_blocked {
            self.is_blocked = is_blocked;
            self.slot.record_blocked(is_blocked);
        }
        written
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, data);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
