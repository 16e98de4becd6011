//! HTTP/1.1 server with limits on request heads and connections, and graceful shutdown.

use super::caller_body::{AnsweredBody, CallerBody};
use super::caller_memory::{CallerMemory, ConnectionSlot};
use super::caller_stream::CallerStream;
use super::deadline::timeout_at;
use super::guarded_stream::GuardedStream;
use anyhow::Context;
use arc_swap::ArcSwap;
use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http::{Request, Response, Version};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt;
use smol::Executor;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// The body of a response was aborted. The connection is closed so that the response does not look
/// complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response body was aborted")
    }
}

impl std::error::Error for BodyAborted {}

/// Body of a [`Reply`].
pub type ReplyBody = UnsyncBoxBody<Bytes, BodyAborted>;

/// HTTP response to a caller.
pub type Reply = Response<ReplyBody>;

/// Future of a [`Reply`].
pub type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Function that handles requests.
pub type Handler = Arc<dyn Fn(Request<CallerBody>) -> ReplyFuture + Send + Sync>;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum bytes of a request's head; hyper accepts heads of up to 8 KiB in any case.
    pub head_bytes: usize,
    /// Milliseconds in which a caller must send a head.
    pub head_timeout_ms: u64,
}

/// Minimum read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Receive buffer of a caller's connection in the kernel, which doubles it for its own needs.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Time and bytes for which a caller that still sends may read a refusal before its connection is reset.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// Buffer for what is discarded.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// Binds the listener `name`, so that its port is known before [`serve`] runs.
///
/// # Errors
///
/// The address cannot be bound; the error names the listener.
pub fn bind(address: SocketAddr, name: &str) -> anyhow::Result<TcpListener> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        smol::Async::new(listener)
    });
    let listener = bound.with_context(|| format!("step=bind listener={name} address={address}"))?;
    Ok(listener.into())
}

/// Binds the listener `name` of callers, whose connections hold few bytes that nobody has read.
///
/// # Errors
///
/// As [`bind`].
pub fn bind_callers(address: SocketAddr, name: &str) -> anyhow::Result<TcpListener> {
    let listener = bind(address, name)?;
    // Connections take the size over from their listener.
    if let Err(error) = sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES) {
        log::warn!("event=receive_buffer_not_set listener={name} error=\"{error}\"");
    }
    Ok(listener)
}

/// Accepts connections within `memory` until `drain` closes, after which open connections finish their
/// requests.
///
/// Connections are tasks on `executor`. The reference to it is weak, so dropping the executor
/// closes them. A connection keeps the limits that were in force when it was opened.
pub async fn serve(
    listener: TcpListener,
    executor: Weak<Executor<'static>>,
    handler: Handler,
    limits: Arc<ArcSwap<ListenerLimits>>,
    memory: Arc<CallerMemory>,
    drain: Receiver<Infallible>,
) {
    loop {
        let stopped = async {
            let _closed = drain.recv().await;
            None
        };
        let accepted = async { Some(accept(&listener, &memory).await) };
        let Some((stream, slot)) = accepted.or(stopped).await else { return };
        let Some(executor) = executor.upgrade() else { return };
        let (handler, limits) = (Arc::clone(&handler), **limits.load());
        executor.spawn(serve_connection(stream, slot, handler, limits, drain.clone())).detach();
    }
}

/// Returns the next connection for which there is room; closes those for which there is none.
pub async fn accept(
    listener: &TcpListener,
    memory: &Arc<CallerMemory>,
) -> (TcpStream, ConnectionSlot) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                if let Some(slot) = memory.admit().await {
                    return (stream, slot);
                }
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves an open connection until it ends or is given up; once `drain` closes, after its current
/// request.
pub async fn serve_connection(
    stream: TcpStream,
    slot: ConnectionSlot,
    handler: Handler,
    limits: ListenerLimits,
    drain: Receiver<Infallible>,
) {
    let slot = Arc::new(slot);
    let served = async {
        let may_still_send = serve_requests(&stream, &slot, handler, limits, drain).await;
        if may_still_send {
            slot.begin_closing();
            discard_unread(&stream, &slot).await;
        }
    };
    slot.unless_given_up(served).await;
}

/// Serves the requests of a connection until it ends; returns whether its caller may still be sending.
async fn serve_requests(
    stream: &TcpStream,
    slot: &Arc<ConnectionSlot>,
    handler: Handler,
    limits: ListenerLimits,
    drain: Receiver<Infallible>,
) -> bool {
    if stream.set_nodelay(true).is_err() {
        return false;
    }
    let ends_with_connection = AtomicBool::new(false);
    let has_unanswered_request = AtomicBool::new(false);
    let has_unread_body = Arc::new(AtomicBool::new(false));
    let service = service_fn(|request: Request<Incoming>| {
        ends_with_connection.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        let served_request = slot.begin_request();
        let reply =
            handler(request.map(|body| CallerBody::new(body, Arc::clone(&has_unread_body))));
        has_unanswered_request.store(true, Ordering::Relaxed);
        let has_unanswered_request = &has_unanswered_request;
        async move {
            let reply = reply.await;
            has_unanswered_request.store(false, Ordering::Relaxed);
            Ok::<_, Infallible>(reply.map(|body| AnsweredBody::new(body, served_request)))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(
            FuturesIo::new(CallerStream::new(stream.clone(), Arc::clone(slot))),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let finished = async { Some(connection.as_mut().await) };
    let draining = async {
        let _closed = drain.recv().await;
        None
    };
    let result = match finished.or(draining).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    let Err(error) = result else { return has_unread_body.load(Ordering::Relaxed) };
    if has_unanswered_request.load(Ordering::Relaxed) {
        log::info!("event=connection_lost_before_answer error=\"{error}\"");
    } else {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
    // Without chunks the end of the connection would complete an aborted reply; a reset does not.
    if ends_with_connection.load(Ordering::Relaxed)
        && let Err(error) = sockopt::set_socket_linger(stream, Some(Duration::ZERO))
    {
        log::warn!("event=connection_not_reset error=\"{error}\"");
    }
    error.is_parse()
}

/// Reads what a caller still sends after its refusal, for a while: closing a connection with unread bytes
/// resets it, and the caller could not read the refusal.
async fn discard_unread(stream: &TcpStream, slot: &ConnectionSlot) {
    if let Err(error) = stream.shutdown(Shutdown::Write) {
        log::debug!("event=shutdown_failed error=\"{error}\"");
        return;
    }
    let mut reader = GuardedStream::new(stream.clone());
    let discard = async {
        let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_DISCARDED_BYTES {
            match reader.read(&mut buffer).await {
                Ok(bytes) if bytes > 0 => discarded_bytes += bytes,
                // The caller has stopped, or its connection is lost: there is nobody to tell.
                Ok(_) | Err(_) => return true,
            }
        }
        false
    };
    let has_stopped = timeout_at(Instant::now() + CLOSING_TIMEOUT, discard).await;
    if !has_stopped.unwrap_or(false) {
        slot.record_reset();
    }
}
