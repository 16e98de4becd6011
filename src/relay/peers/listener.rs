//! Listener of requests of other nodes.

use super::gateway;
use crate::adapters::deadline::timeout_at;
use crate::adapters::http_server::{self, Handler, ListenerLimits};
use crate::links::node_connection::authenticate_listener;
use crate::relay::RelayContext;
use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Timer};
use std::convert::Infallible;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// Time in which a connection must be authenticated.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits of a connection: what callers send is in the bodies.
const LIMITS: ListenerLimits = ListenerLimits { head_bytes: 8 * 1024, head_timeout_ms: 60_000 };

/// Accepts connections of other nodes until `drain` closes, after which they finish their requests.
pub async fn serve(
    context: Arc<RelayContext>,
    listener: TcpListener,
    executor: Weak<Executor<'static>>,
    drain: Receiver<Infallible>,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            let _closed = drain.recv().await;
            None
        };
        match accepted.or(stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                let Some(executor) = executor.upgrade() else { return };
                let connection = serve_connection(Arc::clone(&context), stream, drain.clone());
                executor.spawn(connection).detach();
            }
            Some(Err(error)) => {
                log::warn!("event=accept_failed listener=peers error=\"{error}\"");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    context: Arc<RelayContext>,
    mut stream: TcpStream,
    drain: Receiver<Infallible>,
) {
    let deadline = Instant::now() + AUTHENTICATION_TIMEOUT;
    let authenticated = authenticate_listener(&mut stream, &context.identity);
    let authenticated = timeout_at(deadline, authenticated).await.map_err(anyhow::Error::from);
    if let Err(error) = authenticated.flatten() {
        log::warn!("event=node_connection_refused error=\"{error:#}\"");
        return;
    }
    let handler: Handler =
        Arc::new(move |request| Box::pin(gateway::handle(Arc::clone(&context), request)));
    http_server::serve_connection(stream, handler, LIMITS, drain).await;
}
