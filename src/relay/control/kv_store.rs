//! Polls the external store of KV cache: whether it answers, and whether it lost its contents.

use super::RelayControlEvent;
use crate::relay::RelayContext;
use smol::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of a poll, including the time that the store itself waits for changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Period at which a store that answers is polled.
const POLL_PERIOD: Duration = Duration::from_millis(1_500);

/// Delay after a failed poll, and between checks whether a store is configured.
const RETRY_PERIOD: Duration = Duration::from_millis(300);

/// Polls the store at the address in `configured_address` and sends an event when its state
/// changes.
pub(super) async fn poll_store(
    context: Arc<RelayContext>,
    configured_address: Rc<Cell<Option<SocketAddr>>>,
) {
    let mut known_incarnation: Option<(SocketAddr, u64)> = None;
    let mut since = 0;
    let mut is_answering = false;
    loop {
        let Some(address) = configured_address.get() else {
            Timer::after(RETRY_PERIOD).await;
            continue;
        };
        let polled_at = Instant::now();
        let deadline = polled_at + POLL_TIMEOUT;
        match context.ports.engines.poll_kv_store(address, since, deadline).await {
            Ok(state) => {
                since = state.next_event;
                let incarnation = state.incarnation.map(|incarnation| (address, incarnation));
                let is_emptied = known_incarnation.is_some()
                    && incarnation.is_some()
                    && known_incarnation != incarnation;
                if is_emptied || !is_answering {
                    is_answering = true;
                    send_state(&context, Some(address), is_emptied).await;
                }
                known_incarnation = incarnation.or(known_incarnation);
                Timer::at(polled_at + POLL_PERIOD).await;
            }
            Err(error) => {
                if is_answering {
                    log::warn!("event=kv_store_failed {error}");
                    is_answering = false;
                    send_state(&context, None, false).await;
                }
                Timer::after(RETRY_PERIOD).await;
            }
        }
    }
}

async fn send_state(context: &RelayContext, address: Option<SocketAddr>, is_emptied: bool) {
    let event = RelayControlEvent::KvStoreChanged { address, is_emptied };
    if context.control_events.send(event).await.is_err() {
        log::debug!("event=control_stopped");
    }
}
