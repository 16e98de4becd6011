//! Listener of requests of other nodes.

use super::gateway;
use crate::adapters::caller_memory::{CallerMemory, ConnectionSlot};
use crate::adapters::deadline::timeout_at;
use crate::adapters::http_server::{self, Handler, ListenerLimits};
use crate::links::MAX_UNPROVEN_CONNECTIONS;
use crate::links::node_connection::authenticate_listener;
use crate::relay::RelayContext;
use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::Executor;
use smol::net::{TcpListener, TcpStream};
use std::convert::Infallible;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// Time in which a connection must be authenticated.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of a connection: what callers send is in the bodies.
const LIMITS: ListenerLimits = ListenerLimits { head_bytes: 8 * 1024, head_timeout_ms: 60_000 };

/// Accepts connections of other nodes until `drain` closes, after which they finish their requests.
pub async fn serve(
    context: Arc<RelayContext>,
    listener: TcpListener,
    executor: Weak<Executor<'static>>,
    drain: Receiver<Infallible>,
) {
    let metrics = &context.metrics.caller_memory;
    let unproven = CallerMemory::of_connections("peers", MAX_UNPROVEN_CONNECTIONS, metrics);
    let proven = CallerMemory::of_connections("peers", usize::MAX, metrics);
    loop {
        let accepted = async { Some(http_server::accept(&listener, &unproven).await) };
        let stopped = async {
            let _closed = drain.recv().await;
            None
        };
        let Some((stream, slot)) = accepted.or(stopped).await else { return };
        let Some(executor) = executor.upgrade() else { return };
        let (context, proven, drain) = (Arc::clone(&context), Arc::clone(&proven), drain.clone());
        executor.spawn(serve_connection(context, stream, slot, proven, drain)).detach();
    }
}

async fn serve_connection(
    context: Arc<RelayContext>,
    mut stream: TcpStream,
    slot: ConnectionSlot,
    proven: Arc<CallerMemory>,
    drain: Receiver<Infallible>,
) {
    let deadline = Instant::now() + AUTHENTICATION_TIMEOUT;
    let authenticated = authenticate_listener(&mut stream, &context.identity);
    let authenticated = slot.unless_given_up(timeout_at(deadline, authenticated)).await;
    let Some(authenticated) = authenticated else { return };
    if let Err(error) = authenticated.map_err(anyhow::Error::from).flatten() {
        log::warn!("event=node_connection_refused error=\"{error:#}\"");
        return;
    }
    let Some(slot) = proven.admit().await else { return };
    let handler: Handler =
        Arc::new(move |request| Box::pin(gateway::handle(Arc::clone(&context), request)));
    http_server::serve_connection(stream, slot, handler, LIMITS, drain).await;
}
