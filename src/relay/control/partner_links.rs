//! Tasks that open, accept and run the partner links of a node.

use super::RelayControlEvent;
use crate::adapters::caller_memory::CallerMemory;
use crate::adapters::http_server;
use crate::decision::membership::MemberStatus;
use crate::links::{Identity, Link, MAX_UNPROVEN_CONNECTIONS, accept_unproven};
use crate::relay::RelayContext;
use smol::net::TcpListener;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Maximum messages that wait to be sent over a link.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Accepts and runs partner links until the thread stops.
pub(super) async fn accept_links(
    context: Arc<RelayContext>,
    identity: Rc<RefCell<Identity>>,
    listener: TcpListener,
) {
    let executor = smol::LocalExecutor::new();
    let metrics = &context.metrics.caller_memory;
    let unproven = CallerMemory::of_connections("partners", MAX_UNPROVEN_CONNECTIONS, metrics);
    let accept = async {
        loop {
            let (stream, slot) = http_server::accept(&listener, &unproven).await;
            // Other nodes still find the address in the store and dial it after this node left.
            if identity.borrow().record.status == MemberStatus::Left {
                log::debug!("event=link_refused reason=left");
                continue;
            }
            let (context, identity) = (Arc::clone(&context), Rc::clone(&identity));
            let task = async move {
                let own_identity = identity.borrow().clone();
                if let Some(link) = accept_unproven(stream, slot, &own_identity).await {
                    run_link(&context, link, false).await;
                }
            };
            executor.spawn(task).detach();
        }
    };
    executor.run(accept).await
}

/// Opens a link to the node at `address` and runs it until it ends.
pub(super) async fn dial(
    context: Arc<RelayContext>,
    identity: Rc<RefCell<Identity>>,
    address: SocketAddr,
) {
    let own_identity = identity.borrow().clone();
    match crate::links::dial(address, &own_identity).await {
        Ok(link) => run_link(&context, link, true).await,
        Err(error) => {
            log::debug!("event=link_failed {error}");
            if context.control_events.send(RelayControlEvent::DialFailed(address)).await.is_err() {
                log::debug!("event=control_stopped");
            }
        }
    }
}

/// Runs an open link until it ends.
async fn run_link(context: &RelayContext, link: Link, dialed: bool) {
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let peer = link.peer().clone();
    let (outgoing, outgoing_queue) = async_channel::bounded(MAX_QUEUED_MESSAGES);
    let (incoming, incoming_queue) = async_channel::bounded(1);
    let events = &context.control_events;
    let opened = RelayControlEvent::LinkOpened { link: number, peer, dialed, outgoing };
    if events.send(opened).await.is_err() {
        return;
    }
    let forward = async {
        while let Ok(message) = incoming_queue.recv().await {
            if events.send(RelayControlEvent::LinkReceived { link: number, message }).await.is_err()
            {
                return;
            }
        }
    };
    let (end, ()) = futures_lite::future::zip(link.run(outgoing_queue, incoming), forward).await;
    if events.send(RelayControlEvent::LinkEnded { link: number, end }).await.is_err() {
        log::debug!("event=control_stopped");
    }
}
