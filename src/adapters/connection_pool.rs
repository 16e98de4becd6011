//! Pool of HTTP/1.1 connections to backend servers, or to other nodes.
//!
//! A connection is reused only if the caller releases it after it has read the complete answer. In
//! all other cases it is closed.

use super::deadline::timeout_at;
use super::framing::Framing;
use super::guarded_stream::{GuardedStream, UndeliveredBytes};
use super::piecewise_body::PiecewiseBody;
use crate::links::Identity;
use crate::links::node_connection::authenticate_dialer;
use crate::types::{Delivery, PeerError, PeerResult, ServerId, Step};
use anyhow::anyhow;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use rustix::net::sockopt;
use smol::net::TcpStream;
use smol::{Executor, Task};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

/// Maximum time to open a connection: several round trips between availability zones, but less
/// than the first retransmission of a lost packet takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which the kernel closes a connection with unacknowledged bytes. It is longer than the
/// second or so for which a sound server may fall silent, and ends before the second keepalive probe.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 1_900;

/// Idle time before the first keepalive probe. With the next two constants and
/// [`UNACKNOWLEDGED_TIMEOUT_MS`], which also limits unanswered probes, the kernel detects a silent
/// peer within two seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the kernel closes a connection. The timeout for
/// unacknowledged bytes goes before this number.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum read buffer of a connection.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

struct Connection {
    sender: SendRequest<PiecewiseBody>,
    undelivered: UndeliveredBytes,
    /// Performs the I/O; dropping it closes the connection.
    _driver: Task<()>,
}

struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

type IdleConnections = HashMap<(ServerId, SocketAddr), Vec<IdleConnection>>;

/// Pool of idle connections by server and address.
pub struct ConnectionPool {
    executor: Weak<Executor<'static>>,
    /// Identity that this node proves on a new connection, `None` for connections to servers.
    identity: Option<Identity>,
    idle: Mutex<IdleConnections>,
}

/// Answer whose body is still being received on a connection of the pool.
pub struct PooledExchange {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// How the answer tells where its body ends; an answer without a body has the length 0.
    pub framing: Framing,
    body: Incoming,
    connection: Connection,
    key: (ServerId, SocketAddr),
    /// Whether the connection was opened for this exchange.
    pub is_new_connection: bool,
    /// Whether the peer is another node.
    pub is_with_node: bool,
}

impl ConnectionPool {
    /// Returns an empty pool, which runs the I/O of its connections on `executor`.
    pub fn new(executor: Weak<Executor<'static>>) -> Self {
        Self { executor, identity: None, idle: Mutex::default() }
    }

    /// Returns an empty pool of connections to other nodes, on which both ends authenticate.
    pub fn of_nodes(executor: Weak<Executor<'static>>, identity: Identity) -> Self {
        Self { executor, identity: Some(identity), idle: Mutex::default() }
    }

    /// Sends `request` to `server` and returns once the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// The step that failed, and whether the server may have received the request.
    pub async fn send(
        &self,
        server: &ServerId,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> PeerResult<PooledExchange> {
        let key = (server.clone(), address);
        let (mut connection, is_new_connection) = self.acquire(&key, deadline).await?;
        connection.undelivered.reset();
        let request = request.map(PiecewiseBody::from);
        let sent = timeout_at(deadline, connection.sender.send_request(request)).await;
        let answer = sent.map_err(|error| head_error(&key, Delivery::Unknown, error.into()))?;
        let answer = answer.map_err(|error| {
            let delivery = if error.is_canceled() { Delivery::NotSent } else { Delivery::Unknown };
            head_error(&key, delivery, error.into())
        })?;
        connection.undelivered.reset();
        let (parts, body) = answer.into_parts();
        let (status, headers) = (parts.status, parts.headers);
        let has_no_body = body.is_end_stream();
        let framing = if has_no_body { Framing::Length } else { Framing::of(&headers) };
        let is_with_node = self.identity.is_some();
        Ok(PooledExchange {
            status,
            headers,
            framing,
            body,
            connection,
            key,
            is_new_connection,
            is_with_node,
        })
    }

    /// Closes idle connections that have expired or that the server has closed.
    pub fn close_expired(&self, now: Instant) {
        self.lock().retain(|_, idle| {
            idle.retain(|conn| now < conn.usable_until && !conn.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to a server.
    pub fn close_idle_connections(&self, server: &ServerId) {
        self.lock().retain(|(id, _), _| id != server);
    }

    /// Returns the connection of `exchange` to the pool; its answer must have been read completely.
    pub fn release(&self, exchange: PooledExchange, usable_until: Instant) {
        let PooledExchange { connection, key, .. } = exchange;
        self.lock().entry(key).or_default().push(IdleConnection { connection, usable_until });
    }

    /// Returns an idle connection that becomes ready within [`READY_TIMEOUT`], or opens a new one,
    /// and whether it is new.
    async fn acquire(
        &self,
        key: &(ServerId, SocketAddr),
        deadline: Instant,
    ) -> PeerResult<(Connection, bool)> {
        while let Some(mut connection) = self.take_idle(key) {
            let ready = timeout_at(Instant::now() + READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok((connection, false));
            }
        }
        Ok((self.open(key, deadline).await?, true))
    }

    fn take_idle(&self, key: &(ServerId, SocketAddr)) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(key)?;
        while let Some(IdleConnection { connection, usable_until }) = connections.pop() {
            if now < usable_until && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(
        &self,
        key: &(ServerId, SocketAddr),
        deadline: Instant,
    ) -> PeerResult<Connection> {
        let connect_error = |error: anyhow::Error| {
            PeerError::new(Step::Connect, key.0.clone(), Delivery::NotSent, error)
        };
        let executor = self.executor.upgrade().ok_or_else(|| connect_error(anyhow!("stopping")))?;
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let mut stream = timeout_at(deadline, TcpStream::connect(key.1))
            .await
            .map_err(|error| connect_error(error.into()))?
            .map_err(|error| connect_error(error.into()))?;
        set_options(&stream).map_err(|error| connect_error(error.into()))?;
        if let Some(identity) = &self.identity {
            let authenticated = authenticate_dialer(&mut stream, identity);
            let authenticated = timeout_at(deadline, authenticated).await;
            authenticated.map_err(Into::into).flatten().map_err(connect_error)?;
        }
        let undelivered = UndeliveredBytes::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(GuardedStream::with_limit(stream, undelivered.clone())))
            .await
            .map_err(|error| connect_error(error.into()))?;
        let driver = executor.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=server_connection_ended error=\"{error}\"");
            }
        });
        Ok(Connection { sender, undelivered, _driver: driver })
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn head_error(key: &(ServerId, SocketAddr), delivery: Delivery, error: anyhow::Error) -> PeerError {
    PeerError::new(Step::ReadHead, key.0.clone(), delivery, error)
}

/// Sets the options with which the kernel detects a silent peer.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}

impl PooledExchange {
    /// Returns the next chunk of the body, `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection was lost, or the deadline passed.
    pub async fn next_data(&mut self, deadline: Instant) -> PeerResult<Option<Bytes>> {
        loop {
            let frame = match timeout_at(deadline, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(self.body_error(error.into())),
                Err(error) => return Err(self.body_error(error.into())),
            };
            if let Ok(data) = frame.into_data() {
                self.connection.undelivered.reset();
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body, at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// The connection was lost, the body is too long, or the deadline passed.
    pub async fn read_all(&mut self, max_bytes: usize, deadline: Instant) -> PeerResult<Bytes> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next_data(deadline).await? {
            if body.len() + data.len() > max_bytes {
                return Err(self.body_error(anyhow!("body exceeds {max_bytes} bytes")));
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Reads the whole body, at most `max_bytes`, for as long as data arrives within `max_gap` of each
    /// other, and until `deadline` at most.
    ///
    /// # Errors
    ///
    /// The connection was lost, the body is too long, or it stopped; the error tells how many bytes had
    /// arrived.
    pub async fn read_all_in_progress(
        &mut self,
        max_bytes: usize,
        max_gap: Duration,
        deadline: Instant,
    ) -> PeerResult<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let next_deadline = deadline.min(Instant::now() + max_gap);
            let data = self.next_data(next_deadline).await.map_err(|mut error| {
                error.source = error.source.context(format!("after {} bytes", body.len()));
                error
            })?;
            let Some(data) = data else { return Ok(body.freeze()) };
            if body.len() + data.len() > max_bytes {
                return Err(self.body_error(anyhow!("body exceeds {max_bytes} bytes")));
            }
            body.extend_from_slice(&data);
        }
    }

    fn body_error(&self, error: anyhow::Error) -> PeerError {
        PeerError::new(Step::ReadBody, self.key.0.clone(), Delivery::Unknown, error)
    }
}
