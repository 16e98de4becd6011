//! Listener of partner links.

use super::ControlContext;
use super::links::LinkOpener;
use crate::adapters::caller_memory::{CallerMemory, ConnectionSlot};
use crate::adapters::http_server;
use crate::links::{MAX_UNPROVEN_CONNECTIONS, accept_unproven};
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Accepts partner links, forever.
pub(super) async fn listen(context: ControlContext, opener: LinkOpener, listener: TcpListener) {
    let opener = Rc::new(opener);
    let metrics = &context.metrics.caller_memory;
    let unproven = CallerMemory::of_connections("partners", MAX_UNPROVEN_CONNECTIONS, metrics);
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
    if let Some(link) = accept_unproven(stream, slot, &opener.identity()).await {
        opener.run(&context, link, false).await;
    }
}
