//! HTTP/1.1 client that opens one connection for each request.
//!
//! The connection makes progress only while the response is read. Dropping the [`Exchange`] closes
//! it, which shows the peer that the response is no longer awaited.

use super::deadline::timeout_at;
use super::guarded_stream::GuardedStream;
use super::piecewise_body::PiecewiseBody;
use crate::types::{Delivery, PeerError, PeerResult, Step};
use bytes::{Bytes, BytesMut};
use futures_lite::future::poll_fn;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection};
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_str::{SmolStr, ToSmolStr};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum read buffer of a connection, and so the maximum of a response's head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Future that performs the I/O of a connection.
type Driver = Pin<Box<Connection<FuturesIo<GuardedStream>, PiecewiseBody>>>;

/// Response whose body is still being received.
pub struct Exchange {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    peer: SmolStr,
    body: Incoming,
    driver: Option<Driver>,
}

/// Sends `request` to `address` and returns once the head of the response has arrived.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> PeerResult<Exchange> {
    let peer = address.to_smolstr();
    let stream = connect(address, &peer, deadline).await?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(FuturesIo::new(GuardedStream::new(stream)))
        .await
        .map_err(|error| PeerError::new(Step::Connect, peer.clone(), Delivery::NotSent, error))?;
    let mut driver: Option<Driver> = Some(Box::pin(connection));
    let mut response = Box::pin(sender.send_request(request.map(PiecewiseBody::from)));
    let head = poll_fn(|cx| {
        drive(&mut driver, cx);
        response.as_mut().poll(cx)
    });
    let head_error = |error: anyhow::Error| {
        PeerError::new(Step::ReadHead, peer.clone(), Delivery::Unknown, error)
    };
    let head = timeout_at(deadline, head).await.map_err(|error| head_error(error.into()))?;
    let (parts, body) = head.map_err(|error| head_error(error.into()))?.into_parts();
    Ok(Exchange { status: parts.status, headers: parts.headers, peer, body, driver })
}

async fn connect(address: SocketAddr, peer: &SmolStr, deadline: Instant) -> PeerResult<TcpStream> {
    let connect_error = |error: anyhow::Error| {
        PeerError::new(Step::Connect, peer.clone(), Delivery::NotSent, error)
    };
    let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|error| connect_error(error.into()))?
        .map_err(|error| connect_error(error.into()))?;
    stream.set_nodelay(true).map_err(|error| connect_error(error.into()))?;
    Ok(stream)
}

/// Polls the connection, and drops it once it has closed.
fn drive(driver: &mut Option<Driver>, cx: &mut Context<'_>) {
    let Some(connection) = driver else { return };
    if connection.as_mut().poll(cx).is_ready() {
        *driver = None;
    }
}

impl Exchange {
    /// Returns the next chunk of the body, `None` at its end.
    pub async fn next_data(&mut self, deadline: Instant) -> PeerResult<Option<Bytes>> {
        let next = poll_fn(|cx| self.poll_data(cx));
        match timeout_at(deadline, next).await {
            Ok(result) => result,
            Err(error) => Err(self.error(Step::ReadBody, error.into())),
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<PeerResult<Option<Bytes>>> {
        drive(&mut self.driver, cx);
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => return Poll::Ready(Ok(None)),
                Some(Err(error)) => {
                    return Poll::Ready(Err(self.error(Step::ReadBody, error.into())));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Ok(Some(data)));
                    }
                }
            }
        }
    }

    /// Reads the whole body, at most `max_bytes`.
    pub async fn read_all(&mut self, max_bytes: usize, deadline: Instant) -> PeerResult<Bytes> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next_data(deadline).await? {
            if body.len() + data.len() > max_bytes {
                let error = anyhow::anyhow!("body exceeds {max_bytes} bytes");
                return Err(self.error(Step::ReadBody, error));
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Returns an error at `step` after the request was sent, so the peer may have acted on it.
    pub fn error(&self, step: Step, source: anyhow::Error) -> PeerError {
        PeerError::new(step, self.peer.clone(), Delivery::Unknown, source)
    }

    /// Returns the error for a peer that refused the request without acting on it.
    pub fn refusal(&self, source: anyhow::Error) -> PeerError {
        PeerError::new(Step::Refused, self.peer.clone(), Delivery::Refused, source)
    }
}

/// Sends `request` and decodes the response's JSON body; a status other than success is an error.
pub async fn fetch_json<T: DeserializeOwned>(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
    deadline: Instant,
) -> PeerResult<T> {
    let mut exchange = send(address, request, deadline).await?;
    let body = exchange.read_all(max_bytes, deadline).await?;
    if !exchange.status.is_success() {
        let error = anyhow::anyhow!("status {}", exchange.status);
        return Err(exchange.error(Step::Refused, error));
    }
    serde_json::from_slice(&body).map_err(|error| exchange.error(Step::Decode, error.into()))
}
