//! Watches the store of kept KV cache: whether it answers, and whether it lost what it kept.

use super::RelayEvent;
use crate::relay::RelayContext;
use smol::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that a look may take, the wait at the store included.
const LOOK_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time between two looks at a store that answers.
const LOOK_PERIOD: Duration = Duration::from_millis(1_500);

/// Wait before the next look after a failed one, or while there is no such store.
const RETRY_PERIOD: Duration = Duration::from_millis(300);

/// Watches the store whose address is in `configured`, without end.
pub(super) async fn watch(context: Arc<RelayContext>, configured: Rc<Cell<Option<SocketAddr>>>) {
    let mut known: Option<(SocketAddr, u64)> = None;
    let mut since = 0;
    let mut is_answering = false;
    loop {
        let Some(address) = configured.get() else {
            Timer::after(RETRY_PERIOD).await;
            continue;
        };
        let asked_at = Instant::now();
        let deadline = asked_at + LOOK_TIMEOUT;
        match context.ports.engines.poll_kv_store(address, since, deadline).await {
            Ok(look) => {
                since = look.next_event;
                let run = look.incarnation.map(|run| (address, run));
                let is_emptied = known.is_some() && run.is_some() && known != run;
                if is_emptied || !is_answering {
                    is_answering = true;
                    send(&context, Some(address), is_emptied).await;
                }
                known = run.or(known);
                Timer::at(asked_at + LOOK_PERIOD).await;
            }
            Err(error) => {
                if is_answering {
                    log::warn!("event=kv_store_failed {error}");
                    is_answering = false;
                    send(&context, None, false).await;
                }
                Timer::after(RETRY_PERIOD).await;
            }
        }
    }
}

async fn send(context: &RelayContext, address: Option<SocketAddr>, is_emptied: bool) {
    let event = RelayEvent::KvStore { address, is_emptied };
    if context.control.send(event).await.is_err() {
        log::debug!("event=control_stopped");
    }
}
