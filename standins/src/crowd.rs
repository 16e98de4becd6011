//! Crowds of callers that misbehave: they send bodies and heads that never end or are too large, read
//! nothing, or keep connections open.

use crate::runtime;
use crate::watched_process::Peak;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::TcpStream;
use smol::{Task, Timer};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of one write.
const WRITE_BYTES: usize = 16 * 1024;

/// Bytes of a piece of a body that is sent piece by piece, and the time between two pieces.
const PIECE_BYTES: usize = 8 * 1024;
const PIECE_PERIOD: Duration = Duration::from_millis(5);

/// Bytes by which a caller stops short of the end.
const MISSING_BYTES: usize = 100;

/// Bytes of a small body, and of a head that does not end.
const SMALL_BODY_BYTES: usize = 31_000;
const UNFINISHED_HEAD_BYTES: usize = 7_000;

/// Factor by which a body is larger than the limit.
const OVERSIZE_FACTOR: usize = 50;

/// Requests that one caller sends at once without waiting for answers.
const PIPELINED_REQUESTS: usize = 20;

/// Time after which a caller whose connection was closed opens a new one.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Memory of a process that a crowd comes to.
pub const MEMORY_MB: usize = 48;
/// Descriptors of such a process.
pub const MAX_DESCRIPTORS: usize = 1_200;

/// Descriptors that callers may take; the others are for servers, the store and other nodes.
pub const MAX_OPEN_DESCRIPTORS: usize = MAX_DESCRIPTORS * 3 / 4;

/// Largest body that such a process allows.
pub const MAX_BODY_BYTES: usize = 1_000_000;

/// Callers of a crowd.
pub const CALLERS: usize = 1_500;

/// Time for which the callers come again.
pub const CROWD_TIME: Duration = Duration::from_secs(4);

/// Asserts that a process has stayed within its memory, and has left descriptors.
///
/// # Panics
///
/// It has not.
pub fn assert_within_bounds(peak: Peak) {
    let held_bytes = peak.resident_bytes + peak.unread_bytes;
    assert!(held_bytes <= MEMORY_MB << 20, "{held_bytes} bytes held of {MEMORY_MB} MB: {peak:?}");
    assert!(peak.descriptors <= MAX_OPEN_DESCRIPTORS, "{} descriptors open", peak.descriptors);
}

/// What each caller of a crowd does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Sends a whole body of the largest size and stays.
    WholeBody,
    /// Sends a body of the largest size at once, stops just short of its end and stays.
    UnfinishedBody,
    /// The same, piece by piece.
    UnfinishedPieces,
    /// Sends a body of the largest size in chunks of 8 KiB and stops just short of its end.
    UnfinishedLargeChunks,
    /// Sends chunks of one byte and stops short of the end.
    UnfinishedSmallChunks,
    /// Announces a body far over the limit and sends it.
    AnnouncedOversize,
    /// Sends chunks far over the limit.
    UnannouncedOversize,
    /// Sends a small body, stops just short of its end and stays.
    UnfinishedSmallBody,
    /// Sends a head that does not end.
    UnfinishedHead,
    /// Opens a connection and sends nothing.
    Idle,
    /// Sends requests and reads none of the answers.
    UnreadAnswers,
}

/// [`CALLERS`] that behave alike, each with one connection at a time.
pub struct Crowd {
    /// What they do.
    pub behaviour: Behaviour,
    /// Listener that they connect to.
    pub address: SocketAddr,
    /// Returns the request line and headers of a request, each with its line end, without the headers that
    /// tell the length of the body.
    pub head: fn() -> String,
}

impl Crowd {
    /// Lets all callers run for [`CROWD_TIME`]; callers whose connections are closed come again.
    pub fn run(self) {
        let deadline = Instant::now() + CROWD_TIME;
        let crowd = Arc::new(self);
        let callers: Vec<Task<()>> = (0..CALLERS)
            .map(|_| {
                let crowd = Arc::clone(&crowd);
                runtime::spawn(async move {
                    let ended = async {
                        Timer::at(deadline).await;
                    };
                    crowd.call_again_and_again().or(ended).await;
                })
            })
            .collect();
        smol::block_on(async {
            for caller in callers {
                caller.await;
            }
        });
    }

    async fn call_again_and_again(&self) {
        loop {
            // A refused or closed connection is what the callers are here to provoke.
            let _ended = self.call().await;
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    async fn call(&self) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.address).await?;
        self.send(&mut stream).await?;
        if self.behaviour == Behaviour::UnreadAnswers {
            return std::future::pending().await;
        }
        let mut received = [0; 512];
        while stream.read(&mut received).await? > 0 {}
        Ok(())
    }

    async fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        let most_bytes = MAX_BODY_BYTES - MISSING_BYTES;
        match self.behaviour {
            Behaviour::WholeBody => {
                self.send_head(stream, Some(MAX_BODY_BYTES)).await?;
                send_bytes(stream, MAX_BODY_BYTES, WRITE_BYTES, None).await
            }
            Behaviour::UnfinishedBody => {
                self.send_head(stream, Some(MAX_BODY_BYTES)).await?;
                send_bytes(stream, most_bytes, WRITE_BYTES, None).await
            }
            Behaviour::UnfinishedPieces => {
                self.send_head(stream, Some(MAX_BODY_BYTES)).await?;
                send_bytes(stream, most_bytes, PIECE_BYTES, Some(PIECE_PERIOD)).await
            }
            Behaviour::UnfinishedLargeChunks => {
                self.send_head(stream, None).await?;
                send_chunks(stream, most_bytes, PIECE_BYTES).await
            }
            Behaviour::UnfinishedSmallChunks => {
                self.send_head(stream, None).await?;
                send_chunks(stream, most_bytes, 1).await
            }
            Behaviour::AnnouncedOversize => {
                let bytes = MAX_BODY_BYTES * OVERSIZE_FACTOR;
                self.send_head(stream, Some(bytes)).await?;
                send_bytes(stream, bytes, WRITE_BYTES, None).await
            }
            Behaviour::UnannouncedOversize => {
                self.send_head(stream, None).await?;
                send_chunks(stream, MAX_BODY_BYTES * OVERSIZE_FACTOR, PIECE_BYTES).await
            }
            Behaviour::UnfinishedSmallBody => {
                self.send_head(stream, Some(SMALL_BODY_BYTES)).await?;
                send_bytes(stream, SMALL_BODY_BYTES - MISSING_BYTES, WRITE_BYTES, None).await
            }
            Behaviour::UnfinishedHead => {
                let line = format!("x-line: {}", "x".repeat(UNFINISHED_HEAD_BYTES));
                stream.write_all(format!("{}{line}", (self.head)()).as_bytes()).await
            }
            Behaviour::Idle => Ok(()),
            Behaviour::UnreadAnswers => {
                for _ in 0..PIPELINED_REQUESTS {
                    self.send_head(stream, Some(0)).await?;
                }
                Ok(())
            }
        }
    }

    /// Sends the head of a request with a body of `length_bytes`, or in chunks.
    async fn send_head(
        &self,
        stream: &mut TcpStream,
        length_bytes: Option<usize>,
    ) -> io::Result<()> {
        let mut head = (self.head)();
        let written = match length_bytes {
            Some(bytes) => write!(head, "content-length: {bytes}\r\n\r\n"),
            None => write!(head, "transfer-encoding: chunked\r\n\r\n"),
        };
        written.map_err(io::Error::other)?;
        stream.write_all(head.as_bytes()).await
    }
}

/// Sends `bytes`, waiting for `period` after each piece.
async fn send_bytes(
    stream: &mut TcpStream,
    bytes: usize,
    piece_bytes: usize,
    period: Option<Duration>,
) -> io::Result<()> {
    let piece = [b'x'; WRITE_BYTES];
    let mut unsent = bytes;
    while unsent > 0 {
        let length = unsent.min(piece_bytes);
        stream.write_all(&piece[..length]).await?;
        unsent -= length;
        if let Some(period) = period {
            Timer::after(period).await;
        }
    }
    Ok(())
}

/// Sends chunks of `chunk_bytes` that hold `bytes` together, without the last chunk.
async fn send_chunks(stream: &mut TcpStream, bytes: usize, chunk_bytes: usize) -> io::Result<()> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let chunks_per_write = (WRITE_BYTES / chunk.len()).max(1);
    let write = chunk.repeat(chunks_per_write);
    let mut unsent = bytes / chunk_bytes;
    while unsent > 0 {
        let chunks = unsent.min(chunks_per_write);
        stream.write_all(&write.as_bytes()[..chunks * chunk.len()]).await?;
        unsent -= chunks;
    }
    Ok(())
}
