//! Listener of partner links.

use super::ControlContext;
use super::links::LinkOpener;
use crate::adapters::caller_memory::{CallerMemory, ConnectionSlot};
use crate::adapters::http_server;
use futures_lite::FutureExt;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Maximum connections that have not proved their key.
const MAX_UNPROVEN_CONNECTIONS: usize = 32;

/// Accepts partner links, forever.
pub(super) async fn listen(context: ControlContext, opener: LinkOpener, listener: TcpListener) {
    let opener = Rc::new(opener);
    let unproven = CallerMemory::of_connections(MAX_UNPROVEN_CONNECTIONS);
    loop {
        let (stream, slot) = http_server::accept(&listener, &unproven).await;
        context.spawn(accept_link(context.clone(), Rc::clone(&opener), stream, slot));
    }
}

async fn accept_link(
    context: ControlContext,
    opener: Rc<LinkOpener>,
    stream: TcpStream,
    slot: ConnectionSlot,
) {
    let identity = opener.identity();
    let accepted = async { Some(crate::links::accept(stream, &identity).await) };
    let given_up = async {
        slot.given_up().await;
        None
    };
    let accepted = accepted.or(given_up).await;
    drop(slot);
    match accepted {
        Some(Ok(link)) => opener.run(&context, link, false).await,
        Some(Err(error)) => log::warn!("event=link_refused {error}"),
        None => log::debug!("event=link_refused reason=too_many_handshakes"),
    }
}
