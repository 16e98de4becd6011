//! TCP stream for the HTTP library, which reads for as long as bytes arrive that do not complete
//! what it parses.

use futures_lite::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Bytes after which a reader lets other tasks run.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// Maximum bytes of an answer that lead to neither a head nor data. The HTTP library buffers fewer
/// before it delivers what it has.
const MAX_UNDELIVERED_BYTES: usize = 128 * 1024;

/// Count of the bytes that were read since something was last delivered to the reader of an answer.
#[derive(Clone, Debug, Default)]
pub struct UndeliveredBytes(Arc<AtomicUsize>);

impl UndeliveredBytes {
    /// Records that a request was sent, or that a head or data was delivered.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let undelivered = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if undelivered <= MAX_UNDELIVERED_BYTES {
            return Ok(());
        }
        let error = format!("{undelivered} bytes without a head or data");
        Err(io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

/// TCP stream whose reader lets other tasks run, and which fails when bytes without end deliver
/// nothing.
#[derive(Debug)]
pub struct GuardedStream {
    stream: TcpStream,
    /// Bytes read since other tasks could last run.
    turn_bytes: usize,
    /// `None` if only the turns of the reader are limited.
    undelivered: Option<UndeliveredBytes>,
}

impl GuardedStream {
    /// Returns a stream whose reader lets other tasks run.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, turn_bytes: 0, undelivered: None }
    }

    /// Returns a stream that fails as well when too many bytes were read since `undelivered` was
    /// reset.
    pub fn with_limit(stream: TcpStream, undelivered: UndeliveredBytes) -> Self {
        Self { stream, turn_bytes: 0, undelivered: Some(undelivered) }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buffer) else {
            self.turn_bytes = 0;
            return Poll::Pending;
        };
        let bytes = read?;
        self.turn_bytes += bytes;
        if let Some(undelivered) = &self.undelivered {
            undelivered.add(bytes)?;
        }
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
