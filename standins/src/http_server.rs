//! HTTP server on a loopback port, and the forms of answers that the stand-ins give.

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

/// Largest number of times that a restarted server tries to bind its port again.
const BIND_ATTEMPTS: u32 = 50;
/// Pause between two such attempts.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, anyhow::Error>;
/// Answer of a handler; an error closes the connection without an answer.
pub type HandlerResult = anyhow::Result<Response<Body>>;
/// Future of a handler's answer.
pub type HandlerFuture = Pin<Box<dyn Future<Output = HandlerResult> + Send>>;
/// Function that answers requests whose bodies have been read.
pub type Handler = Arc<dyn Fn(Request<Bytes>) -> HandlerFuture + Send + Sync>;

/// Server that listens until it is stopped or dropped; its connections end with it.
pub struct HttpServer {
    address: SocketAddr,
    task: Task<()>,
}

impl HttpServer {
    /// Starts a server on a free loopback port.
    pub fn start(handler: Handler) -> anyhow::Result<Self> {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        Self::serve(listener, handler)
    }

    /// Starts a server on the port that a stopped server has left.
    pub async fn restart(address: SocketAddr, handler: Handler) -> anyhow::Result<Self> {
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(listener) = bind(address) {
                return Self::serve(listener, handler);
            }
            smol::Timer::after(BIND_PAUSE).await;
        }
        Self::serve(bind(address)?, handler)
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub async fn stop(self) {
        self.task.cancel().await;
    }

    fn serve(listener: TcpListener, handler: Handler) -> anyhow::Result<Self> {
        let address = listener.local_addr().context("address of a stand-in")?;
        Ok(Self { address, task: runtime::spawn(accept(listener, handler)) })
    }
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)
        .with_context(|| format!("stand-in cannot listen on {address}"))?;
    Ok(smol::Async::new(listener)?.into())
}

async fn accept(listener: TcpListener, handler: Handler) {
    // The connections run on an executor of the server's own, which ends them when it is dropped.
    let connections = Executor::new();
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => connections.spawn(serve(stream, handler.clone())).detach(),
                Err(error) => log::debug!("event=accept_failed error=\"{error}\""),
            }
        }
    };
    connections.run(accepting).await
}

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

/// Returns a body that holds `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer in JSON.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HandlerResult {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full_body(serde_json::to_vec(value)?))?;
    Ok(response)
}

/// Returns a refusal in the form that all stand-ins use.
pub fn error_response(status: StatusCode, code: &str, message: &str) -> HandlerResult {
    let error = json!({"error": {"message": message, "type": "stand_in_error", "code": code}});
    json_response(status, &error)
}

/// Returns the value of `name` in the query of `request`, if it is a number.
pub fn query_number(request: &Request<Bytes>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
