//! HTTP/1.1 server with a limit on request heads and graceful shutdown.

use super::guarded_stream::GuardedStream;
use anyhow::Context;
use arc_swap::ArcSwap;
use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::FutureExt;
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
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

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
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> ReplyFuture + Send + Sync>;

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

/// Accepts connections until `drain` closes, after which open connections finish their requests.
///
/// Connections are tasks on `executor`. The reference to it is weak, so dropping the executor
/// closes them. A connection keeps the limits that were in force when it was opened.
pub async fn serve(
    listener: TcpListener,
    executor: Weak<Executor<'static>>,
    handler: Handler,
    limits: Arc<ArcSwap<ListenerLimits>>,
    drain: Receiver<Infallible>,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _closed = drain.recv().await;
            None
        };
        let stream = match accepted.or(stopped).await {
            None => return,
            Some(Ok((stream, _peer))) => stream,
            Some(Err(error)) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                smol::Timer::after(Duration::from_millis(10)).await;
                continue;
            }
        };
        let Some(executor) = executor.upgrade() else { return };
        executor
            .spawn(serve_connection(stream, Arc::clone(&handler), **limits.load(), drain.clone()))
            .detach();
    }
}

/// Serves an open connection until it ends; once `drain` closes, after its current request.
pub async fn serve_connection(
    stream: TcpStream,
    handler: Handler,
    limits: ListenerLimits,
    drain: Receiver<Infallible>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let socket = stream.clone();
    let ends_with_connection = AtomicBool::new(false);
    let has_unanswered_request = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        ends_with_connection.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        let reply = handler(request);
        has_unanswered_request.store(true, Ordering::Relaxed);
        let has_unanswered_request = &has_unanswered_request;
        async move {
            let reply = reply.await;
            has_unanswered_request.store(false, Ordering::Relaxed);
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(FuturesIo::new(GuardedStream::new(stream)), service);
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
    let Err(error) = result else { return };
    if has_unanswered_request.load(Ordering::Relaxed) {
        log::info!("event=connection_lost_before_answer error=\"{error}\"");
    } else {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
    // Without chunks the end of the connection would complete an aborted reply; a reset does not.
    if ends_with_connection.load(Ordering::Relaxed)
        && let Err(error) = sockopt::set_socket_linger(&socket, Some(Duration::ZERO))
    {
        log::warn!("event=connection_not_reset error=\"{error}\"");
    }
}
