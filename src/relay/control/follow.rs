//! Follows the topics of the store, and announces the node there.

use super::RelayEvent;
use super::state::ControlState;
use crate::decision::relay::{NextRead, ReadSchedule, RecordTopic};
use crate::metrics::labels::ReasonLabels;
use crate::ports::{AnnouncedNode, RecordPage};
use crate::relay::RelayContext;
use crate::types::{LogOffset, PeerError, PeerResult};
use smol::Timer;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Longest time without a look whether the topic is to be read: partners come and go meanwhile.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// First wait after a failed call.
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest wait after failed calls.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// Period in which a node without a partner looks for announced nodes again.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);

/// Starts the tasks.
pub(super) fn start(state: &ControlState, partner_address: SocketAddr) {
    for topic in RecordTopic::iter() {
        state.spawn(follow(Arc::clone(&state.context), Rc::clone(&state.record_watch), topic));
    }
    let name = state.context.settings.instance_name.clone();
    state.spawn(announce(Arc::clone(&state.context), name, partner_address));
}

/// Wait between failed calls, and whether the store counts as lost.
struct Retry {
    call: &'static str,
    wait: Duration,
    is_lost: bool,
}

impl Retry {
    fn new(call: &'static str) -> Self {
        Self { call, wait: FIRST_RETRY, is_lost: false }
    }

    fn succeeded(&mut self) {
        if self.is_lost {
            log::info!("event=store_regained call={}", self.call);
        }
        *self = Self::new(self.call);
    }

    async fn failed(&mut self, context: &RelayContext, error: &PeerError) {
        let labels = ReasonLabels { reason: self.call.to_owned() };
        context.metrics.store_failures.get_or_create(&labels).inc();
        if self.is_lost {
            log::debug!("event=store_call_failed call={} {error}", self.call);
        } else {
            log::warn!("event=store_lost call={} {error}", self.call);
            self.is_lost = true;
        }
        Timer::after(self.wait).await;
        self.wait = (self.wait * 2).min(LONGEST_RETRY);
    }
}

async fn follow(context: Arc<RelayContext>, watch: Rc<RefCell<ReadSchedule>>, topic: RecordTopic) {
    let mut retry = Retry::new(match topic {
        RecordTopic::Operator => "follow_operator",
        RecordTopic::Servers => "follow_servers",
    });
    let mut from = None;
    loop {
        let next = watch.borrow().next_read(topic, Instant::now());
        let wait_until = match next {
            NextRead::Read { wait_until } => wait_until,
            NextRead::Wait(until) => {
                Timer::at(until.min(Instant::now() + LOOK_PERIOD)).await;
                continue;
            }
        };
        let step = match from {
            None => list(&context, topic).await.map(Some),
            Some(offset) => read(&context, topic, offset, wait_until).await,
        };
        match step {
            Ok(next) => {
                from = next;
                watch.borrow_mut().record_answer(topic, Instant::now());
                retry.succeeded();
            }
            Err(error) => {
                watch.borrow_mut().record_failure(topic, Instant::now());
                retry.failed(&context, &error).await;
            }
        }
    }
}

async fn list(context: &RelayContext, topic: RecordTopic) -> PeerResult<LogOffset> {
    count_call(context, "list");
    let asked_at = Instant::now();
    let listing = context.ports.store.list(topic).await?;
    let end = listing.end;
    send(context, RelayEvent::Listed { topic, listing, asked_at }).await;
    Ok(end)
}

/// Reads on from `offset`; returns where to go on, or none if the topic is to be listed again.
async fn read(
    context: &RelayContext,
    topic: RecordTopic,
    offset: LogOffset,
    wait_until: Instant,
) -> PeerResult<Option<LogOffset>> {
    count_call(context, "read");
    let asked_at = Instant::now();
    match context.ports.store.poll(topic, offset, wait_until).await? {
        RecordPage::Expired => {
            log::info!("event=records_expired topic={topic} offset={offset}");
            Ok(None)
        }
        RecordPage::Records { records, next_offset } => {
            // Without a record the store has waited to the end.
            let confirmed_at = if records.is_empty() { wait_until } else { asked_at };
            let event = RelayEvent::Records { topic, records, next_offset, confirmed_at };
            send(context, event).await;
            Ok(Some(next_offset))
        }
    }
}

/// Announces the node once, and looks for other nodes until it has partners.
async fn announce(context: Arc<RelayContext>, name: SmolStr, address: SocketAddr) {
    let node = AnnouncedNode { name, address };
    let mut retry = Retry::new("announce");
    loop {
        count_call(&context, "announce");
        match context.ports.store.announce(&node).await {
            Ok(()) => break,
            Err(error) => retry.failed(&context, &error).await,
        }
    }
    let mut retry = Retry::new("announced");
    loop {
        if context.metrics.links.get() == 0 {
            count_call(&context, "announced");
            match context.ports.store.announced_nodes().await {
                Ok(nodes) => {
                    retry.succeeded();
                    send(&context, RelayEvent::Announced(nodes)).await;
                }
                Err(error) => {
                    retry.failed(&context, &error).await;
                    continue;
                }
            }
        }
        Timer::after(DISCOVERY_PERIOD).await;
    }
}

fn count_call(context: &RelayContext, call: &str) {
    let labels = ReasonLabels { reason: call.to_owned() };
    context.metrics.store_calls.get_or_create(&labels).inc();
}

async fn send(context: &RelayContext, event: RelayEvent) {
    if context.control.send(event).await.is_err() {
        log::debug!("event=control_stopped");
    }
}
