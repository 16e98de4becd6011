//! HTTP/1 server on a loopback port, and helpers to build responses.

use crate::runtime;
use anyhow::Context as _;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use serde_json::json;
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Task};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Maximum retries of a restarted server that cannot bind its previous port yet.
const MAX_BIND_RETRIES: u32 = 50;
/// Pause between two attempts to bind.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, anyhow::Error>;
/// Response of a handler; an error closes the connection without a response.
pub type HandlerResult = anyhow::Result<Response<Body>>;
/// Future returned by a [`Handler`].
pub type HandlerFuture = Pin<Box<dyn Future<Output = HandlerResult> + Send>>;
/// Request handler; the request body has been read in full.
pub type Handler = Arc<dyn Fn(Request<Bytes>) -> HandlerFuture + Send + Sync>;

/// Running HTTP server; stopping or dropping it closes the listener and all connections.
pub struct HttpServer {
    address: SocketAddr,
    task: Task<()>,
}

impl HttpServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(handler: Handler) -> anyhow::Result<Self> {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        Self::listen(listener, handler)
    }

    /// Starts a server on the address of a stopped server, retrying while the port is still in use.
    ///
    /// # Errors
    ///
    /// Returns an error if the port stays in use.
    pub async fn restart(address: SocketAddr, handler: Handler) -> anyhow::Result<Self> {
        for _ in 0..MAX_BIND_RETRIES {
            if let Ok(listener) = bind(address) {
                return Self::listen(listener, handler);
            }
            smol::Timer::after(BIND_RETRY_PAUSE).await;
        }
        Self::listen(bind(address)?, handler)
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub async fn stop(self) {
        self.task.cancel().await;
    }

    fn listen(listener: TcpListener, handler: Handler) -> anyhow::Result<Self> {
        let address = listener.local_addr().context("listening address of a stand-in")?;
        Ok(Self { address, task: runtime::spawn(accept_connections(listener, handler)) })
    }
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("stand-in cannot listen on {address}"))?;
    Ok(smol::Async::new(listener)?.into())
}

async fn accept_connections(listener: TcpListener, handler: Handler) {
    // A local executor, so that cancelling this task drops all connections as well.
    let connections = Executor::new();
    let accept_loop = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => connections.spawn(serve(stream, handler.clone())).detach(),
                Err(error) => log::debug!("event=accept_failed error=\"{error}\""),
            }
        }
    };
    connections.run(accept_loop).await
}

/// Serves the requests of one connection.
async fn serve(stream: TcpStream, handler: Handler) {
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await?.to_bytes();
            handler(Request::from_parts(head, body)).await
        }
    });
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let served = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::trace!("event=connection_ended error=\"{error}\"");
    }
}

/// Returns a body with the content `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a JSON response.
///
/// # Errors
///
/// Returns an error if `value` cannot be serialized.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HandlerResult {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full_body(serde_json::to_vec(value)?))?;
    Ok(response)
}

/// Returns an error response in the JSON format common to all stand-ins.
///
/// # Errors
///
/// Returns an error if the response cannot be built.
pub fn error_response(status: StatusCode, code: &str, message: &str) -> HandlerResult {
    let error = json!({"error": {"message": message, "type": "stand_in_error", "code": code}});
    json_response(status, &error)
}

/// Returns the numeric query parameter `name` of `request`, if present and valid.
pub fn query_number(request: &Request<Bytes>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
